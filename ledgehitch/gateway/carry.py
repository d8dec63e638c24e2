"""Carries out what the module decides: set-ups, rungs, probes and words go out, what comes back goes in.

Everything that happens is told to the mind (the module), the desk (who is owed which answer) and the watch
(which media hosts are lost) at once; one pump a turn of the loop then pulls all three dry.
"""

import random
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

import msgspec
import structlog

from ledgehitch import interface as say
from ledgehitch.door.decide import Admit
from ledgehitch.door.names import client_name
from ledgehitch.gate import SendForbidden, SendGuard
from ledgehitch.gateway.doorman import AdmissionService
from ledgehitch.gateway.joins import JoinTimes
from ledgehitch.gateway.mind import RecordedModule
from ledgehitch.gateway.peers import DatagramRejected, PeerCodec
from ledgehitch.gateway.roll import HostEntry
from ledgehitch.gateway.watch import Follow, HostLost, HostMonitor, Unfollow
from ledgehitch.http import Client, ConnectFailed, Interrupted, Response
from ledgehitch.http.events import events_from
from ledgehitch.interface import Outcome, Package
from ledgehitch.loop import Datagrams, Endpoint, Event, Loop, Task, TimedOut
from ledgehitch.loop.pump import Pump
from ledgehitch.signalling import AbandonViewing, Answer, EndViewing, Kind, Offer, ViewingRegistry
from ledgehitch.signalling.sdp import answer_mismatch

LAYER_RELATION = "urn:ietf:params:whep:ext:core:layer"
COMMAND_TIMEOUT_S = 2.0  # seconds for a DELETE, PATCH or layer at a media host
PROBE_TIMEOUT_S = 0.5
log = structlog.get_logger("gateway")


@dataclass(slots=True)
class Viewing:
    """What carrying out needs to know of a viewing; let go with its end."""

    token: str
    method: str
    package: Package
    title: str
    offer: bytes | None  # let go when it plays
    parsed_offer: Offer | None
    asked_at: float = 0.0
    rung: int = 0
    tune_ins: int = 0
    task: Task | None = None  # the tune-in that is out
    host: str = ""
    host_address: str = ""  # address of the host it plays on
    session_path: str = ""  # its resource there
    layer_path: str = ""
    current_rung: int = 0
    next_rung: int | None = None  # a rung that is to be told once the one on its way has arrived
    sending_rung: bool = False
    event_listeners: list[Callable[[str, dict[str, Any]], None]] | None = None


@dataclass
class Counts:
    """Counters named for the question they answer."""

    asked: int = 0
    joined: int = 0  # offers that were another's repeat
    plays: int = 0
    blocked: int = 0
    turned_away: int = 0  # at the door
    aborted: int = 0
    left: int = 0
    ended: int = 0
    outcomes: dict[str, int] = field(default_factory=dict)
    stopped_at_gate: int = 0
    wrong_answers: int = 0
    unknown: int = 0  # news on what this gateway does not hold
    probes: int = 0


class Executor:
    def __init__(
        self,
        loop: Loop,
        mind: RecordedModule,
        desk: ViewingRegistry,
        gate: SendGuard,
        watch: HostMonitor,
        name: str,
        boot: str,
        chance: random.Random,
        peers: PeerCodec | None = None,
        peer_socket: Datagrams | None = None,
        peer_at: dict[int, Endpoint] | None = None,
        load_fields: tuple[str, ...] = (),
    ) -> None:
        self.loop, self.module, self.registry, self.send_guard, self.monitor = loop, mind, desk, gate, watch
        self.name, self.boot, self.random = name, boot, chance
        self.client = Client(loop)
        self.peer_codec, self.peer_socket, self.peer_addresses = peers, peer_socket, peer_at or {}
        self.load_fields = load_fields
        self.viewings: dict[int, Viewing] = {}
        self.waiting: dict[int, Event] = {}  # connections owed an answer
        self.addresses: dict[str, str] = {}  # addresses of media hosts
        self.playing_at: dict[str, dict[int, None]] = {}
        self.followers: dict[str, Task] = {}
        self.counts, self.join_times = Counts(), JoinTimes()
        self.admission: AdmissionService | None = None  # without one everybody is let in as they come
        self._awaiting_admission: dict[
            int, tuple[tuple[int, int], int, float]
        ] = {}  # cells, highest rung, patience
        self.owner_task: Task | None = None  # owns what is carried out, so that it outlives the request
        self.wake = Pump(loop, self._run_decisions).stir  # something was told

    # ---- the pump ------------------------------------------------------------------------------------------

    def _run_decisions(self) -> float:
        now = time.monotonic()
        if self.admission is not None:
            self._apply_admission_decisions(now, self.admission)
        for decision in self.module.decisions(now):
            match decision:
                case say.TuneIn(viewing_id, host, within):
                    self._tune_in(now, viewing_id, host, within)
                case say.SetRung(viewing_id, rung):
                    self._set_rung(viewing_id, rung)
                case say.Block(viewing_id, stay_away):
                    self.counts.blocked += 1
                    self._settle(now, viewing_id, "blocked", advice=stay_away)
                    self._forget(viewing_id)
                case say.Abort(viewing_id):
                    self.counts.aborted += 1
                    self._settle(now, viewing_id, "aborted")
                    self._forget(viewing_id)
                case say.Probe(host):
                    self.counts.probes += 1
                    self._spawn(self._probe, host, name=f"probe {host}")
                case say.Tell(message, recipient):
                    if self.peer_codec and self.peer_socket and recipient in self.peer_addresses:
                        self.peer_socket.send(
                            self.peer_codec.frame(time.time(), recipient, message),
                            self.peer_addresses[recipient],
                        )
                case say.Subscribe():
                    pass  # the list's stream is always asked for
        while (due := self.monitor.decide(now)) is not None:
            match due:
                case Follow(host):
                    self.followers[host] = self._spawn(self._follow, host, name=f"follow {host}")
                case Unfollow(host):
                    task = self.followers.pop(host, None)
                    if task is not None:
                        task.cancel()
                case HostLost(host):
                    self._on_host_lost(now, host)
        while (duty := self.registry.decide(now)) is not None:
            match duty:
                case Answer(conn, viewing_id):
                    event = self.waiting.pop(conn, None)
                    if event is not None:
                        event.set(viewing_id)
                case AbandonViewing(viewing_id):
                    self._on_viewer_left(now, viewing_id)
                case EndViewing(viewing_id):
                    self._end_viewing(now, viewing_id)
        at_door = self.admission.door.wake_at() if self.admission is not None else None
        asks = (self.module.gateway.wake_at(), self.monitor.wake_at(), self.registry.wake_at(), at_door)
        return min(at for at in asks if at is not None)

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
        """A viewer's offer, on connection `conn`: the event is set with the viewing's number when settled.
        `ticket` and `address` are for the door."""
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

    def _apply_admission_decisions(self, now: float, doorman: AdmissionService) -> None:
        """Those whom the door lets in are the module's from here on; the others have their answer."""
        while (decision := doorman.decide(now)) is not None:
            viewing_id = decision.conn
            offer = self._awaiting_admission.pop(viewing_id, None)
            if offer is None:
                continue  # its viewer had left
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
        """The module's answer to a viewing: the desk passes it on, the door has room again."""
        self.registry.on_result(now, viewing_id, kind, answer, advice)
        if self.admission is not None:
            self.admission.on_result(now, viewing_id, kind != "plays")
            if self._awaiting_admission:
                self.wake()

    def on_overdue(self, conn: int, viewing_id: int) -> None:
        """Patience ran out without a decision, which only a fault can bring about: the viewer is told."""
        log.error("no decision within patience", vw=viewing_id)
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
        v = self.viewings.pop(viewing_id, None)
        self.send_guard.on_viewing_end(viewing_id)
        if v is not None:
            self.playing_at.get(v.host, {}).pop(viewing_id, None)
            for tell in v.event_listeners or ():
                tell("inactive", {})

    def _on_viewer_left(self, now: float, viewing_id: int) -> None:
        """The viewer is gone before the answer: what is out is called back, and its end is told."""
        v = self.viewings.get(viewing_id)
        if v is None:
            return
        self.counts.left += 1
        if self.admission is not None:
            self.admission.on_viewer_left(now, viewing_id)
            if self._awaiting_admission.pop(viewing_id, None) is not None:
                self.viewings.pop(viewing_id, None)
                return
        self.module.on_viewer_left(now, viewing_id)
        if v.task is None:
            self._forget(viewing_id)
        else:
            v.task.cancel()
        self.wake()

    def _end_viewing(self, now: float, viewing_id: int) -> None:
        """The viewer of what plays is gone or has ended it."""
        v = self.viewings.get(viewing_id)
        if v is None:
            return
        self.counts.ended += 1
        self.module.on_tune_in_end(now, viewing_id, True, Outcome.OK, v.host, 0.0, v.tune_ins - 1)
        if v.session_path:
            self._spawn(
                self._send_command, v.host_address, "DELETE", v.session_path, name=f"end {viewing_id}"
            )
        self._forget(viewing_id)
        self.wake()

    def on_host_ended(self, now: float, viewing_id: int, code: int) -> None:
        """The media host ended it."""
        v = self.viewings.get(viewing_id)
        if v is None or not v.session_path:
            self.counts.unknown += 1
            return
        self.counts.ended += 1
        self.module.on_tune_in_end(now, viewing_id, True, code, v.host, 0.0, v.tune_ins - 1)
        self.registry.on_viewing_end(now, viewing_id)
        self._forget(viewing_id)
        self.wake()

    def end_all(self) -> None:
        """What plays is told its end, here and at its media host: this gateway goes. Who is owed an answer
        is left alone."""
        now = time.monotonic()
        for viewing_id, v in list(self.viewings.items()):
            if v.session_path:
                self.registry.on_viewing_end(now, viewing_id)
                self._end_viewing(now, viewing_id)

    def _on_host_lost(self, now: float, host: str) -> None:
        for viewing_id in list(self.playing_at.get(host, {})):
            self.on_host_ended(now, viewing_id, Outcome.RESET)

    # ---- tune-ins ------------------------------------------------------------------------------------------

    def _tune_in(self, now: float, viewing_id: int, host: str, within: float) -> None:
        v = self.viewings.get(viewing_id)
        number = v.tune_ins if v is not None else 0
        try:
            self.send_guard.check_send(now, viewing_id, host, within)
        except SendForbidden as why:
            self.counts.stopped_at_gate += 1
            log.error("stopped at the gate", vw=viewing_id, host=host, why=str(why))
            self.module.on_tune_in_end(now, viewing_id, False, Outcome.MOOT, host, 0.0, number)
            self.wake()
            return
        assert v is not None
        v.tune_ins += 1
        v.host = host
        v.task = self._spawn(
            self._set_up, viewing_id, v, host, number, within, now, name=f"tune-in {viewing_id}/{number}"
        )

    def _set_up(
        self, viewing_id: int, v: Viewing, host: str, number: int, within: float, sent: float
    ) -> None:
        at = self.addresses.get(host, "")
        key = f"{self.name}.{self.boot}.{viewing_id}.{number}"
        code, told = Outcome.CANCELLED, False
        try:
            code, loads, response = self._request_set_up(v, at, key, within - (time.monotonic() - sent))
            now = time.monotonic()
            self.send_guard.on_tune_in_outcome(viewing_id, code)
            v.task = None
            told = True
            if code == Outcome.OK and response is not None:
                self._on_set_up_success(now, viewing_id, v, host, number, at, response, now - sent)
                for kind, value in ((3, loads.get("x0")), (4, loads.get("x1"))):
                    if value is not None:
                        self.module.on_report(now, viewing_id, host, kind, value)
            else:
                self._on_set_up_failure(now, viewing_id, host, number, code, now - sent, loads)
        finally:
            if not told:
                # Called back: the closed connection tells the media host, and no tune-in is out any more.
                v.task = None
                self.send_guard.on_tune_in_outcome(viewing_id, Outcome.CANCELLED)
                now = time.monotonic()
                self.module.on_tune_in_end(now, viewing_id, True, Outcome.CANCELLED, host, now - sent, number)
                # Guards against a fault of ours leaving a viewer without answer; one who left is owed none.
                self._settle(now, viewing_id, "aborted")
                self._forget(viewing_id)
            if code not in (Outcome.OK, Outcome.FULL, Outcome.CONNECT_FAILED):
                # It may have run: whatever came of it there is not wanted.
                self._spawn(
                    self._send_command, at, "DELETE", f"/tune-ins/{key}", name=f"call back {viewing_id}"
                )
            self.counts.outcomes[code.name] = self.counts.outcomes.get(code.name, 0) + 1
            self.wake()

    def _request_set_up(
        self, v: Viewing, at: str, key: str, within: float
    ) -> tuple[Outcome, dict[str, float], Response | None]:
        target = f"/{v.method}/{v.package.name}/{v.title}?rung={v.rung}"
        headers = [
            ("Content-Type", "application/sdp"),
            ("Authorization", f"Bearer {v.token}"),
            ("Idempotency-Key", f'"{key}"'),
            ("Gateway", f"{self.name}.{self.boot}"),
        ]
        try:
            with self.loop.deadline(max(within, 0.001)):
                response = self.client.request(at, "POST", target, headers, v.offer or b"")
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
        wrong = (
            answer_mismatch(v.parsed_offer, response.body.decode("utf-8", "replace"))
            if v.parsed_offer
            else ""
        )
        if wrong:
            self.counts.wrong_answers += 1
            log.warning("wrong answer to an offer", at=at, why=wrong)
            return Outcome.ERROR, loads, response
        return Outcome.OK, loads, response

    def _on_set_up_success(
        self,
        now: float,
        viewing_id: int,
        v: Viewing,
        host: str,
        number: int,
        at: str,
        response: Response,
        latency: float,
    ) -> None:
        v.host_address, v.current_rung = at, v.rung
        v.session_path = response.header("location") or ""
        v.layer_path = link_target(response.header("link"), LAYER_RELATION)
        v.offer = v.parsed_offer = None
        self.playing_at.setdefault(host, {})[viewing_id] = None
        self.counts.plays += 1
        self.join_times.record(now, now - v.asked_at)
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

    # ---- what else goes to media hosts ---------------------------------------------------------------------

    def _send_command(self, at: str, method: str, target: str) -> None:
        try:
            with self.loop.deadline(COMMAND_TIMEOUT_S):
                self.client.request(at, method, target)
        except (TimedOut, ConnectFailed, Interrupted, ValueError):
            pass  # it is gone, or ends what nobody watches by itself

    def forward_patch(self, v: Viewing, headers: list[tuple[str, str]], body: bytes) -> Response | None:
        """A viewer's PATCH, passed on to where the viewing plays; None when nothing came back."""
        try:
            with self.loop.deadline(COMMAND_TIMEOUT_S):
                return self.client.request(v.host_address, "PATCH", v.session_path, headers, body)
        except (TimedOut, ConnectFailed, Interrupted, ValueError):
            return None

    def _set_rung(self, viewing_id: int, rung: int) -> None:
        v = self.viewings.get(viewing_id)
        if v is None:
            return
        v.rung = rung
        if v.session_path:
            v.next_rung = rung
            if not v.sending_rung:
                v.sending_rung = True
                self._spawn(self._send_rungs, viewing_id, v, name=f"rung {viewing_id}")

    def _send_rungs(self, viewing_id: int, v: Viewing) -> None:
        """Tells the newest rung; one decided while another is on its way waits for that."""
        try:
            while v.next_rung is not None and viewing_id in self.viewings:
                rung, v.next_rung = v.next_rung, None
                body = msgspec.json.encode({"mediaId": "0", "encodingId": str(rung)})
                try:
                    with self.loop.deadline(COMMAND_TIMEOUT_S):
                        kind = [("Content-Type", "application/json")]
                        told = (
                            self.client.request(v.host_address, "POST", v.layer_path, kind, body).status
                            == 200
                        )
                except (TimedOut, ConnectFailed, Interrupted, ValueError):
                    told = False
                if told:
                    v.current_rung = rung
                    for tell in v.event_listeners or ():
                        tell("layers", {"encodingId": str(rung)})
                elif v.next_rung is None and viewing_id in self.viewings:
                    self.module.on_report(time.monotonic(), viewing_id, v.host, 2, v.current_rung)
                    self.wake()
        finally:
            v.sending_rung = False

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
        """One event stream to a media host: notes on what plays there, and that it is alive."""
        refused = False
        try:
            target = f"/events?gateway={self.name}.{self.boot}"
            with self.client.stream(self.addresses[host], target) as (response, parts):
                boot = response.header("boot") or ""
                if response.status != 200 or not boot:
                    return
                self.monitor.on_stream_opened(time.monotonic(), host, boot)
                events = events_from(self._read_monitored(host, parts))
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
        """Bytes of the stream; ends it when the host gives no sign."""
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
            said = msgspec.json.decode(data, type=HostEvent)
        except msgspec.MsgspecError:
            self.counts.unknown += 1
            return
        now = time.monotonic()
        v = self.viewings.get(said.vw)
        mine = v is not None and v.host == host and bool(v.session_path)
        if name == "note" and (mine or said.kind in (3, 4)):
            self.module.on_report(now, said.vw, host, said.kind, said.value)
        elif name == "ended" and mine:
            self.on_host_ended(now, said.vw, said.kind)
        else:
            self.counts.unknown += 1
        self.wake()

    # ---- lists and peers -----------------------------------------------------------------------------------

    def on_host_list(self, how: str, lines: list[HostEntry], ahead: float) -> None:
        now = time.monotonic()
        if how in ("total", "warm_copy"):
            names = {line.host for line in lines}
            self.send_guard.on_complete_list(now, names)
            for host in [h for h in self.monitor.hosts if h not in names]:
                self.monitor.on_host_listed(now, host, True)
        for line in lines:
            self.addresses[line.host] = line.at
            self.send_guard.on_host_state(now, line.host, line.state == "in_service")
            self.monitor.on_host_listed(now, line.host, line.state == "terminated")
        self.module.on_host_list(now, how, [line.to_row(ahead) for line in lines])
        self.wake()

    def receive_peer_messages(self) -> None:
        """Runs as a task: what other gateways say."""
        assert self.peer_codec is not None and self.peer_socket is not None
        while True:
            data, _ = self.peer_socket.receive()
            try:
                _, words = self.peer_codec.unframe(time.time(), data)
            except DatagramRejected:
                continue
            self.module.on_peer_message(time.monotonic(), words)
            self.wake()


class HostEvent(msgspec.Struct):
    """News from a media host: 1 share delivered, 2 rung in force, 3 and 4 use of link and uplink; of an
    end, `kind` is the outcome."""

    vw: int
    kind: int
    value: float = 0.0


def parse_load_report(header: str | None) -> dict[str, float]:
    """A load report in the text form of ORCA: `TEXT cpu_utilization=0.3, named_metrics.x0=0.5`."""
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
    """The target of a Link header field with this relation, empty without one."""
    for part in (header or "").split(","):
        target, _, parameters = part.strip().partition(";")
        if f'rel="{relation}"' in parameters.replace(" ", ""):
            return target.strip().strip("<>")
    return ""
