"""Executes the decision module's decisions: sends set-ups, rungs, probes and messages, reports results.

Each event is passed at once to the module, to the viewing registry (which connection is owed which answer)
and to the host monitor (which media hosts are lost). Once per turn of the event loop, a pump takes and
executes all pending decisions of the three.
"""

import random
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

import msgspec
import structlog

from ledgehitch import interface
from ledgehitch.door.decide import Admit
from ledgehitch.door.names import client_name
from ledgehitch.gateway.admission import AdmissionService
from ledgehitch.gateway.host_list import HostEntry
from ledgehitch.gateway.host_monitor import Follow, HostLost, HostMonitor, Unfollow
from ledgehitch.gateway.join_times import JoinTimes
from ledgehitch.gateway.peer_codec import DatagramRejected, PeerCodec
from ledgehitch.gateway.recorded_module import RecordedModule
from ledgehitch.http import Client, ConnectFailed, Interrupted, Response
from ledgehitch.http.events import parse_events
from ledgehitch.interface import Outcome, Package
from ledgehitch.loop import Datagrams, Endpoint, Event, Loop, Task, TimedOut
from ledgehitch.loop.pump import Pump
from ledgehitch.send_guard import SendForbidden, SendGuard
from ledgehitch.signalling import AbandonViewing, Answer, EndViewing, Kind, Offer, ViewingRegistry
from ledgehitch.signalling.sdp import answer_mismatch

LAYER_RELATION = "urn:ietf:params:whep:ext:core:layer"
COMMAND_TIMEOUT_S = 2.0  # for a DELETE, PATCH or layer request to a media host
PROBE_TIMEOUT_S = 0.5
log = structlog.get_logger("gateway")


@dataclass(slots=True)
class Viewing:
    """What the executor needs to know about a viewing; dropped when the viewing ends."""

    token: str
    method: str
    package: Package
    title: str
    offer: bytes | None  # released once it plays
    parsed_offer: Offer | None
    asked_at: float = 0.0
    rung: int = 0
    tune_ins: int = 0
    task: Task | None = None  # the tune-in in progress
    host: str = ""
    host_address: str = ""  # address of the host that it plays on
    session_path: str = ""  # path of its session resource at the host
    layer_path: str = ""
    current_rung: int = 0
    next_rung: int | None = None  # sent once the request in progress is answered
    sending_rung: bool = False
    event_listeners: list[Callable[[str, dict[str, Any]], None]] | None = None


@dataclass
class Counts:
    """Counters of the gateway, as shown in its state and logged periodically."""

    asked: int = 0
    joined: int = 0  # repeated offers that were attached to an existing viewing
    plays: int = 0
    blocked: int = 0
    turned_away: int = 0  # rejected by admission control
    aborted: int = 0
    left: int = 0
    ended: int = 0
    outcomes: dict[str, int] = field(default_factory=dict)
    stopped_at_gate: int = 0  # tune-ins refused by the send guard
    wrong_answers: int = 0  # SDP answers that do not match their offer
    unknown: int = 0  # events about viewings that this gateway does not hold, or unreadable ones
    probes: int = 0


class Executor:
    """Runs the viewings of one gateway: executes decisions and reports what comes back."""

    def __init__(
        self,
        loop: Loop,
        module: RecordedModule,
        registry: ViewingRegistry,
        send_guard: SendGuard,
        monitor: HostMonitor,
        name: str,
        boot: str,
        rng: random.Random,
        peer_codec: PeerCodec | None = None,
        peer_socket: Datagrams | None = None,
        peer_addresses: dict[int, Endpoint] | None = None,
        load_fields: tuple[str, ...] = (),
    ) -> None:
        self.loop, self.module, self.registry, self.send_guard, self.monitor = (
            loop,
            module,
            registry,
            send_guard,
            monitor,
        )
        self.name, self.boot, self.random = name, boot, rng
        self.client = Client(loop)
        self.peer_codec, self.peer_socket, self.peer_addresses = peer_codec, peer_socket, peer_addresses or {}
        self.load_fields = load_fields
        self.viewings: dict[int, Viewing] = {}
        self.waiting: dict[int, Event] = {}  # by connection: set when its answer is ready
        self.addresses: dict[str, str] = {}  # of media hosts, by name
        self.playing_at: dict[str, dict[int, None]] = {}
        self.followers: dict[str, Task] = {}
        self.counts, self.join_times = Counts(), JoinTimes()
        self.admission: AdmissionService | None = None  # None: every request is admitted at once
        # By viewing: cells, highest rung and patience of a request that waits for admission.
        self._awaiting_admission: dict[int, tuple[tuple[int, int], int, float]] = {}
        self.owner_task: Task | None = None  # owner of spawned tasks, so that they outlive the request
        self.wake = Pump(loop, self._run_decisions).schedule  # call after passing in an event

    # ---- decisions -----------------------------------------------------------------------------------------

    def _run_decisions(self) -> float:
        now = time.monotonic()
        if self.admission is not None:
            self._apply_admission_decisions(now, self.admission)
        for decision in self.module.decisions(now):
            match decision:
                case interface.TuneIn(viewing_id, host, within):
                    self._tune_in(now, viewing_id, host, within)
                case interface.SetRung(viewing_id, rung):
                    self._set_rung(viewing_id, rung)
                case interface.Block(viewing_id, retry_after):
                    self.counts.blocked += 1
                    self._settle(now, viewing_id, "blocked", advice=retry_after)
                    self._forget(viewing_id)
                case interface.Abort(viewing_id):
                    self.counts.aborted += 1
                    self._settle(now, viewing_id, "aborted")
                    self._forget(viewing_id)
                case interface.Probe(host):
                    self.counts.probes += 1
                    self._spawn(self._probe, host, name=f"probe {host}")
                case interface.Tell(message, recipient):
                    if self.peer_codec and self.peer_socket and recipient in self.peer_addresses:
                        self.peer_socket.send(
                            self.peer_codec.frame(time.time(), recipient, message),
                            self.peer_addresses[recipient],
                        )
                case interface.Subscribe():
                    pass  # the host list is always subscribed to
        while (host_decision := self.monitor.decide(now)) is not None:
            match host_decision:
                case Follow(host):
                    self.followers[host] = self._spawn(self._follow, host, name=f"follow {host}")
                case Unfollow(host):
                    task = self.followers.pop(host, None)
                    if task is not None:
                        task.cancel()
                case HostLost(host):
                    self._on_host_lost(now, host)
        while (answer_decision := self.registry.decide(now)) is not None:
            match answer_decision:
                case Answer(conn, viewing_id):
                    event = self.waiting.pop(conn, None)
                    if event is not None:
                        event.set(viewing_id)
                case AbandonViewing(viewing_id):
                    self._on_viewer_left(now, viewing_id)
                case EndViewing(viewing_id):
                    self._end_viewing(now, viewing_id)
        admission_at = self.admission.controller.wake_at() if self.admission is not None else None
        times = (self.module.gateway.wake_at(), self.monitor.wake_at(), self.registry.wake_at(), admission_at)
        return min(wake_at for wake_at in times if wake_at is not None)

    def _spawn(self, call: Callable[..., None], *args: Any, name: str) -> Task:
        return self.loop.spawn(call, *args, name=name, owner=self.owner_task)

    # ---- viewings ------------------------------------------------------------------------------------------

    def on_offer(
        self,
        conn: int,
        key: bytes,
        viewing_id: int,
        viewing: Viewing,
        cells: tuple[int, int],
        top: int,
        patience: float,
        ufrag: str,
        ticket: str = "",
        address: str = "",
    ) -> Event:
        """Takes a viewer's offer on connection `conn`. The returned event is set with the viewing's number
        once the answer is ready, and with None if the client disconnects. `ticket` and `address` are passed
        on to admission control."""
        now = time.monotonic()
        event = self.waiting[conn] = Event(self.loop)
        if self.registry.on_offer(now, conn, key, viewing_id, ufrag):
            self.counts.asked += 1
            self.viewings[viewing_id] = viewing
            if self.admission is None:
                self._admit(now, viewing_id, cells, top, patience)
            else:
                self._awaiting_admission[viewing_id] = cells, top, patience
                name = client_name(self.admission.secret, viewing.token, "", address, self.admission.order)
                self.admission.on_request(now, viewing_id, name, viewing.package.name, patience, ticket)
        else:
            self.counts.joined += 1
        self.wake()
        return event

    def _admit(self, now: float, viewing_id: int, cells: tuple[int, int], top: int, patience: float) -> None:
        viewing = self.viewings[viewing_id]
        self.send_guard.on_viewing_request(viewing_id, viewing.package, patience)
        name, title = viewing.package.name, viewing.title
        self.module.on_viewing_request(now, viewing_id, name, title, cells[0], cells[1], top, patience)

    def _apply_admission_decisions(self, now: float, admission: AdmissionService) -> None:
        """Passes admitted requests to the module and answers the rejected ones."""
        while (decision := admission.decide(now)) is not None:
            viewing_id = decision.conn
            offer = self._awaiting_admission.pop(viewing_id, None)
            if offer is None:
                continue  # its viewer has left
            if isinstance(decision, Admit):
                self._admit(now, viewing_id, *offer)
            else:
                self.counts.turned_away += 1
                self.registry.on_result(
                    now,
                    viewing_id,
                    "blocked",
                    advice=decision.advice,
                    why=decision.why,
                    ticket=decision.ticket,
                )
                self.viewings.pop(viewing_id, None)

    def _settle(self, now: float, viewing_id: int, kind: Kind, answer: str = "", advice: float = 0.0) -> None:
        """Hands the module's answer to the registry, and reports the result to admission control."""
        self.registry.on_result(now, viewing_id, kind, answer, advice)
        if self.admission is not None:
            self.admission.on_result(now, viewing_id, kind != "plays")
            if self._awaiting_admission:
                self.wake()

    def on_overdue(self, conn: int, viewing_id: int) -> None:
        """Answers a viewing without a decision within viewer patience, which only a fault can cause."""
        log.error("no decision within viewer patience; answering aborted", vw=viewing_id)
        self._settle(time.monotonic(), viewing_id, "aborted")
        self._on_viewer_left(time.monotonic(), viewing_id)
        self.waiting.pop(conn, None)

    def on_hang_up(self, conn: int) -> None:
        event = self.waiting.pop(conn, None)
        self.registry.on_disconnect(time.monotonic(), conn)
        if event is not None:
            event.set(None)
        self.wake()

    def _forget(self, viewing_id: int) -> None:
        viewing = self.viewings.pop(viewing_id, None)
        self.send_guard.on_viewing_end(viewing_id)
        if viewing is not None:
            self.playing_at.get(viewing.host, {}).pop(viewing_id, None)
            for notify in viewing.event_listeners or ():
                notify("inactive", {})

    def _on_viewer_left(self, now: float, viewing_id: int) -> None:
        """The viewer left before the answer: cancels the tune-in in progress, whose end is then reported."""
        viewing = self.viewings.get(viewing_id)
        if viewing is None:
            return
        self.counts.left += 1
        if self.admission is not None:
            self.admission.on_viewer_left(now, viewing_id)
            if self._awaiting_admission.pop(viewing_id, None) is not None:
                self.viewings.pop(viewing_id, None)
                return
        self.module.on_viewer_left(now, viewing_id)
        if viewing.task is None:
            self._forget(viewing_id)
        else:
            viewing.task.cancel()
        self.wake()

    def _end_viewing(self, now: float, viewing_id: int) -> None:
        """Ends a playing viewing whose viewer is gone or has deleted it."""
        viewing = self.viewings.get(viewing_id)
        if viewing is None:
            return
        self.counts.ended += 1
        self.module.on_tune_in_end(now, viewing_id, True, Outcome.OK, viewing.host, 0.0, viewing.tune_ins - 1)
        if viewing.session_path:
            self._spawn(
                self._send_command,
                viewing.host_address,
                "DELETE",
                viewing.session_path,
                name=f"end {viewing_id}",
            )
        self._forget(viewing_id)
        self.wake()

    def on_host_ended(self, now: float, viewing_id: int, code: int) -> None:
        """The media host ended the viewing."""
        viewing = self.viewings.get(viewing_id)
        if viewing is None or not viewing.session_path:
            self.counts.unknown += 1
            return
        self.counts.ended += 1
        self.module.on_tune_in_end(now, viewing_id, True, code, viewing.host, 0.0, viewing.tune_ins - 1)
        self.registry.on_viewing_end(now, viewing_id)
        self._forget(viewing_id)
        self.wake()

    def end_all(self) -> None:
        """Ends all playing viewings, here and at their media hosts, as this gateway is leaving. Viewings that
        are still owed an answer are left alone."""
        now = time.monotonic()
        for viewing_id, viewing in list(self.viewings.items()):
            if viewing.session_path:
                self.registry.on_viewing_end(now, viewing_id)
                self._end_viewing(now, viewing_id)

    def _on_host_lost(self, now: float, host: str) -> None:
        for viewing_id in list(self.playing_at.get(host, {})):
            self.on_host_ended(now, viewing_id, Outcome.RESET)

    # ---- tune-ins ------------------------------------------------------------------------------------------

    def _tune_in(self, now: float, viewing_id: int, host: str, within: float) -> None:
        viewing = self.viewings.get(viewing_id)
        number = viewing.tune_ins if viewing is not None else 0
        try:
            self.send_guard.check_send(now, viewing_id, host, within)
        except SendForbidden as why:
            self.counts.stopped_at_gate += 1
            log.error("send guard refused a tune-in", vw=viewing_id, host=host, why=str(why))
            self.module.on_tune_in_end(now, viewing_id, False, Outcome.MOOT, host, 0.0, number)
            self.wake()
            return
        assert viewing is not None
        viewing.tune_ins += 1
        viewing.host = host
        viewing.task = self._spawn(
            self._set_up,
            viewing_id,
            viewing,
            host,
            number,
            within,
            now,
            name=f"tune-in {viewing_id}/{number}",
        )

    def _set_up(
        self, viewing_id: int, viewing: Viewing, host: str, number: int, within: float, sent: float
    ) -> None:
        address = self.addresses.get(host, "")
        key = f"{self.name}.{self.boot}.{viewing_id}.{number}"
        code, reported = Outcome.CANCELLED, False
        try:
            code, loads, response = self._request_set_up(
                viewing, address, key, within - (time.monotonic() - sent)
            )
            now = time.monotonic()
            self.send_guard.on_tune_in_outcome(viewing_id, code)
            viewing.task = None
            reported = True
            if code == Outcome.OK and response is not None:
                self._on_set_up_success(now, viewing_id, viewing, host, number, address, response, now - sent)
                for kind, value in ((3, loads.get("x0")), (4, loads.get("x1"))):
                    if value is not None:
                        self.module.on_report(now, viewing_id, host, kind, value)
            else:
                self._on_set_up_failure(now, viewing_id, host, number, code, now - sent, loads)
        finally:
            if not reported:
                # Cancelled: the closed connection tells the media host, and no tune-in is in progress any
                # more.
                viewing.task = None
                self.send_guard.on_tune_in_outcome(viewing_id, Outcome.CANCELLED)
                now = time.monotonic()
                self.module.on_tune_in_end(now, viewing_id, True, Outcome.CANCELLED, host, now - sent, number)
                # After a fault in the code above the viewer still gets an answer; one who left is owed none.
                self._settle(now, viewing_id, "aborted")
                self._forget(viewing_id)
            if code not in (Outcome.OK, Outcome.FULL, Outcome.CONNECT_FAILED):
                # The set-up may have run: the session that it may have created is not wanted.
                self._spawn(
                    self._send_command,
                    address,
                    "DELETE",
                    f"/tune-ins/{key}",
                    name=f"delete tune-in {viewing_id}",
                )
            self.counts.outcomes[code.name] = self.counts.outcomes.get(code.name, 0) + 1
            self.wake()

    def _request_set_up(
        self, viewing: Viewing, address: str, key: str, within: float
    ) -> tuple[Outcome, dict[str, float], Response | None]:
        target = f"/{viewing.method}/{viewing.package.name}/{viewing.title}?rung={viewing.rung}"
        headers = [
            ("Content-Type", "application/sdp"),
            ("Authorization", f"Bearer {viewing.token}"),
            ("Idempotency-Key", f'"{key}"'),
            ("Gateway", f"{self.name}.{self.boot}"),
        ]
        try:
            with self.loop.deadline(max(within, 0.001)):
                response = self.client.request(address, "POST", target, headers, viewing.offer or b"")
        except TimedOut:
            if self.admission is not None:
                self.admission.on_tune_in_timeout(time.monotonic())
            return Outcome.TIMEOUT, {}, None
        except ConnectFailed:
            return Outcome.CONNECT_FAILED, {}, None
        except Interrupted:
            return Outcome.RESET, {}, None
        except ValueError:
            return Outcome.ERROR, {}, None
        loads = parse_load_report(response.header("endpoint-load-metrics"))
        if response.status == 503:
            return Outcome.FULL, loads, response
        if response.status != 201 or not response.header("location"):
            return Outcome.ERROR, loads, response
        mismatch = (
            answer_mismatch(viewing.parsed_offer, response.body.decode("utf-8", "replace"))
            if viewing.parsed_offer
            else ""
        )
        if mismatch:
            self.counts.wrong_answers += 1
            log.warning("SDP answer does not match its offer", at=address, why=mismatch)
            return Outcome.ERROR, loads, response
        return Outcome.OK, loads, response

    def _on_set_up_success(
        self,
        now: float,
        viewing_id: int,
        viewing: Viewing,
        host: str,
        number: int,
        address: str,
        response: Response,
        latency: float,
    ) -> None:
        viewing.host_address, viewing.current_rung = address, viewing.rung
        viewing.session_path = response.header("location") or ""
        viewing.layer_path = link_target(response.header("link"), LAYER_RELATION)
        viewing.offer = viewing.parsed_offer = None
        self.playing_at.setdefault(host, {})[viewing_id] = None
        self.counts.plays += 1
        self.join_times.record(now, now - viewing.asked_at)
        self.module.on_tune_in_success(now, viewing_id, host, number, latency)
        self._settle(now, viewing_id, "plays", response.body.decode("utf-8", "replace"))

    def _on_set_up_failure(
        self,
        now: float,
        viewing_id: int,
        host: str,
        number: int,
        code: Outcome,
        latency: float,
        loads: dict[str, float],
    ) -> None:
        values = [loads.get(name, -1.0) for name in self.load_fields]
        self.module.on_tune_in_end(now, viewing_id, False, code, host, latency, number, values)

    # ---- other requests to media hosts ---------------------------------------------------------------------

    def _send_command(self, address: str, method: str, target: str) -> None:
        try:
            with self.loop.deadline(COMMAND_TIMEOUT_S):
                self.client.request(address, method, target)
        except (TimedOut, ConnectFailed, Interrupted, ValueError):
            pass  # the host is gone, or ends the unwatched session by itself

    def forward_patch(self, viewing: Viewing, headers: list[tuple[str, str]], body: bytes) -> Response | None:
        """Forwards a viewer's PATCH to the media host of the viewing; returns None without an answer."""
        try:
            with self.loop.deadline(COMMAND_TIMEOUT_S):
                return self.client.request(viewing.host_address, "PATCH", viewing.session_path, headers, body)
        except (TimedOut, ConnectFailed, Interrupted, ValueError):
            return None

    def _set_rung(self, viewing_id: int, rung: int) -> None:
        viewing = self.viewings.get(viewing_id)
        if viewing is None:
            return
        viewing.rung = rung
        if viewing.session_path:
            viewing.next_rung = rung
            if not viewing.sending_rung:
                viewing.sending_rung = True
                self._spawn(self._send_rungs, viewing_id, viewing, name=f"rung {viewing_id}")

    def _send_rungs(self, viewing_id: int, viewing: Viewing) -> None:
        """Sends the newest rung to the media host; one decided during a request is sent after it."""
        try:
            while viewing.next_rung is not None and viewing_id in self.viewings:
                rung, viewing.next_rung = viewing.next_rung, None
                body = msgspec.json.encode({"mediaId": "0", "encodingId": str(rung)})
                try:
                    with self.loop.deadline(COMMAND_TIMEOUT_S):
                        kind = [("Content-Type", "application/json")]
                        accepted = (
                            self.client.request(
                                viewing.host_address, "POST", viewing.layer_path, kind, body
                            ).status
                            == 200
                        )
                except (TimedOut, ConnectFailed, Interrupted, ValueError):
                    accepted = False
                if accepted:
                    viewing.current_rung = rung
                    for notify in viewing.event_listeners or ():
                        notify("layers", {"encodingId": str(rung)})
                elif viewing.next_rung is None and viewing_id in self.viewings:
                    self.module.on_report(time.monotonic(), viewing_id, viewing.host, 2, viewing.current_rung)
                    self.wake()
        finally:
            viewing.sending_rung = False

    def _probe(self, host: str) -> None:
        sent = time.monotonic()
        code, loads = Outcome.TIMEOUT, {"": 0.0}
        try:
            with self.loop.deadline(PROBE_TIMEOUT_S):
                response = self.client.request(self.addresses.get(host, ""), "GET", "/probe")
            code, loads = Outcome.OK, parse_load_report(response.header("endpoint-load-metrics"))
        except ConnectFailed:
            code = Outcome.CONNECT_FAILED
        except Interrupted:
            code = Outcome.RESET
        except (TimedOut, ValueError):
            pass
        values = [loads.get(name, -1.0) for name in self.load_fields]
        now = time.monotonic()
        self.module.on_probe_result(now, host, code, now - sent, values)
        self.wake()

    def _follow(self, host: str) -> None:
        """Reads one media host's event stream: reports on its viewings, and signs that it is alive."""
        refused = False
        try:
            target = f"/events?gateway={self.name}.{self.boot}"
            with self.client.stream(self.addresses[host], target) as (response, parts):
                boot = response.header("boot") or ""
                if response.status != 200 or not boot:
                    return
                self.monitor.on_stream_opened(time.monotonic(), host, boot)
                events = parse_events(self._read_monitored(host, parts))
                for name, _, data in events:
                    self._on_host_event(host, name, data)
        except ConnectFailed:
            refused = True
        except (TimedOut, Interrupted, ValueError):
            pass
        finally:
            self.monitor.on_stream_ended(time.monotonic(), host, refused)
            self.wake()

    def _read_monitored(self, host: str, parts: Any) -> Any:
        """Yields the bytes of an event stream; ends when the host is silent for too long."""
        while True:
            try:
                with self.loop.deadline(1.0):
                    part = next(parts, None)
            except TimedOut:
                if self.monitor.is_silent(time.monotonic(), host):
                    return
                continue
            if part is None:
                return
            self.monitor.on_activity(time.monotonic(), host)
            yield part

    def _on_host_event(self, host: str, name: str, data: str) -> None:
        try:
            event = msgspec.json.decode(data, type=HostEvent)
        except msgspec.MsgspecError:
            self.counts.unknown += 1
            return
        now = time.monotonic()
        viewing = self.viewings.get(event.vw)
        is_ours = viewing is not None and viewing.host == host and bool(viewing.session_path)
        if name == "note" and (is_ours or event.kind in (3, 4)):
            self.module.on_report(now, event.vw, host, event.kind, event.value)
        elif name == "ended" and is_ours:
            self.on_host_ended(now, event.vw, event.kind)
        else:
            self.counts.unknown += 1
        self.wake()

    # ---- lists and peers -----------------------------------------------------------------------------------

    def on_host_list(self, how: str, entries: list[HostEntry], clock_offset: float) -> None:
        now = time.monotonic()
        if how in ("total", "warm_copy"):
            names = {entry.host for entry in entries}
            self.send_guard.on_complete_list(now, names)
            for host in [h for h in self.monitor.hosts if h not in names]:
                self.monitor.on_host_listed(now, host, True)
        for entry in entries:
            self.addresses[entry.host] = entry.at
            self.send_guard.on_host_state(now, entry.host, entry.state == "in_service")
            self.monitor.on_host_listed(now, entry.host, entry.state == "terminated")
        self.module.on_host_list(now, how, [entry.to_row(clock_offset) for entry in entries])
        self.wake()

    def receive_peer_messages(self) -> None:
        """Passes datagrams of other gateways to the module; runs as a task."""
        assert self.peer_codec is not None and self.peer_socket is not None
        while True:
            data, _ = self.peer_socket.receive()
            try:
                _, message = self.peer_codec.unframe(time.time(), data)
            except DatagramRejected:
                continue
            self.module.on_peer_message(time.monotonic(), message)
            self.wake()


class HostEvent(msgspec.Struct):
    """An event from a media host's stream. In a note, `kind` 1 is the share delivered, 2 the rung in force, 3
    and 4 the use of link and uplink. In an end, `kind` is the outcome."""

    vw: int
    kind: int
    value: float = 0.0


def parse_load_report(header: str | None) -> dict[str, float]:
    """Parses a load report in the text form of ORCA: `TEXT cpu_utilization=0.3, named_metrics.x0=0.5`."""
    loads: dict[str, float] = {}
    kind, _, rest = (header or "").partition(" ")
    if kind != "TEXT":
        return loads
    for part in rest.split(","):
        name, _, value = part.strip().partition("=")
        try:
            loads[name.removeprefix("named_metrics.")] = float(value)
        except ValueError:
            continue
    if "application_utilization" in loads:
        loads.setdefault("util", loads["application_utilization"])
    return loads


def link_target(header: str | None, relation: str) -> str:
    """Returns the target of a Link header field with this relation, empty without one."""
    for part in (header or "").split(","):
        target, _, parameters = part.strip().partition(";")
        if f'rel="{relation}"' in parameters.replace(" ", ""):
            return target.strip().strip("<>")
    return ""
