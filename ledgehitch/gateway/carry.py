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
from ledgehitch.gateway.doorman import Doorman
from ledgehitch.gateway.joins import Joins
from ledgehitch.gateway.mind import Mind
from ledgehitch.gateway.peers import Peers, Refusal
from ledgehitch.gateway.roll import Line
from ledgehitch.gateway.watch import Follow, Lost, Unfollow, Watch
from ledgehitch.http import Client, ConnectFailed, Interrupted, Response
from ledgehitch.http.events import events_from
from ledgehitch.interface import Outcome, Package
from ledgehitch.loop import Datagrams, Endpoint, Event, Loop, Task, TimedOut
from ledgehitch.loop.pump import Pump
from ledgehitch.signalling import AbandonViewing, Answer, EndViewing, Kind, Offer, ViewingRegistry
from ledgehitch.signalling.sdp import answer_mismatch

LAYER = "urn:ietf:params:whep:ext:core:layer"
PATIENCE_FOR_ORDERS = 2.0  # seconds for a DELETE, PATCH or layer at a media host
PROBE_WITHIN = 0.5
log = structlog.get_logger("gateway")


@dataclass(slots=True)
class Viewing:
    """What carrying out needs to know of a viewing; let go with its end."""

    token: str
    method: str
    package: Package
    title: str
    offer: bytes | None  # let go when it plays
    read: Offer | None
    asked_at: float = 0.0
    rung: int = 0
    tune_ins: int = 0
    task: Task | None = None  # the tune-in that is out
    host: str = ""
    at: str = ""  # address of the host it plays on
    session: str = ""  # its resource there
    layer: str = ""
    in_force: int = 0
    wanted: int | None = None  # a rung that is to be told once the one on its way has arrived
    telling: bool = False
    events: list[Callable[[str, dict[str, Any]], None]] | None = None


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


class Carrier:
    def __init__(
        self,
        loop: Loop,
        mind: Mind,
        desk: ViewingRegistry,
        gate: SendGuard,
        watch: Watch,
        name: str,
        boot: str,
        chance: random.Random,
        peers: Peers | None = None,
        peer_socket: Datagrams | None = None,
        peer_at: dict[int, Endpoint] | None = None,
        load_fields: tuple[str, ...] = (),
    ) -> None:
        self.loop, self.mind, self.desk, self.gate, self.watch = loop, mind, desk, gate, watch
        self.name, self.boot, self.chance = name, boot, chance
        self.client = Client(loop)
        self.peers, self.peer_socket, self.peer_at = peers, peer_socket, peer_at or {}
        self.load_fields = load_fields
        self.viewings: dict[int, Viewing] = {}
        self.waiting: dict[int, Event] = {}  # connections owed an answer
        self.at: dict[str, str] = {}  # addresses of media hosts
        self.playing_at: dict[str, dict[int, None]] = {}
        self.followers: dict[str, Task] = {}
        self.counts, self.joins = Counts(), Joins()
        self.doorman: Doorman | None = None  # without one everybody is let in as they come
        self._at_door: dict[int, tuple[tuple[int, int], int, float]] = {}  # cells, highest rung, patience
        self.home: Task | None = None  # owns what is carried out, so that it outlives the request
        self.stir = Pump(loop, self._pull).stir  # something was told

    # ---- the pump ------------------------------------------------------------------------------------------

    def _pull(self) -> float:
        now = time.monotonic()
        if self.doorman is not None:
            self._let_in(now, self.doorman)
        for decision in self.mind.pulled(now):
            match decision:
                case say.TuneIn(viewing_id, host, within):
                    self._tune_in(now, viewing_id, host, within)
                case say.SetRung(viewing_id, rung):
                    self._set_rung(viewing_id, rung)
                case say.Block(viewing_id, stay_away):
                    self.counts.blocked += 1
                    self._settled(now, viewing_id, "blocked", advice=stay_away)
                    self._forget(viewing_id)
                case say.Abort(viewing_id):
                    self.counts.aborted += 1
                    self._settled(now, viewing_id, "aborted")
                    self._forget(viewing_id)
                case say.Probe(host):
                    self.counts.probes += 1
                    self._spawn(self._probe, host, name=f"probe {host}")
                case say.Tell(message, recipient):
                    if self.peers and self.peer_socket and recipient in self.peer_at:
                        self.peer_socket.send(
                            self.peers.frame(time.time(), recipient, message), self.peer_at[recipient]
                        )
                case say.Subscribe():
                    pass  # the list's stream is always asked for
        while (due := self.watch.decide(now)) is not None:
            match due:
                case Follow(host):
                    self.followers[host] = self._spawn(self._follow, host, name=f"follow {host}")
                case Unfollow(host):
                    task = self.followers.pop(host, None)
                    if task is not None:
                        task.cancel()
                case Lost(host):
                    self._lost(now, host)
        while (duty := self.desk.decide(now)) is not None:
            match duty:
                case Answer(conn, viewing_id):
                    event = self.waiting.pop(conn, None)
                    if event is not None:
                        event.set(viewing_id)
                case AbandonViewing(viewing_id):
                    self._left(now, viewing_id)
                case EndViewing(viewing_id):
                    self._end(now, viewing_id)
        at_door = self.doorman.door.wake_at() if self.doorman is not None else None
        asks = (self.mind.brain.wake_at(), self.watch.wake_at(), self.desk.wake_at(), at_door)
        return min(at for at in asks if at is not None)

    def _spawn(self, call: Callable[..., None], *args: Any, name: str) -> Task:
        return self.loop.spawn(call, *args, name=name, owner=self.home)

    # ---- viewings ------------------------------------------------------------------------------------------

    def ask(
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
        if self.desk.on_offer(now, conn, key, viewing_id, ufrag):
            self.counts.asked += 1
            self.viewings[viewing_id] = viewing
            if self.doorman is None:
                self._admit(now, viewing_id, cells, top, patience)
            else:
                self._at_door[viewing_id] = cells, top, patience
                name = client_name(self.doorman.secret, viewing.token, "", address, self.doorman.order)
                self.doorman.asked(now, viewing_id, name, viewing.package.name, patience, ticket)
        else:
            self.counts.joined += 1
        self.stir()
        return event

    def _admit(self, now: float, viewing_id: int, cells: tuple[int, int], top: int, patience: float) -> None:
        viewing = self.viewings[viewing_id]
        self.gate.on_viewing_request(viewing_id, viewing.package, patience)
        name, title = viewing.package.name, viewing.title
        self.mind.on_viewing_request(now, viewing_id, name, title, cells[0], cells[1], top, patience)

    def _let_in(self, now: float, doorman: Doorman) -> None:
        """Those whom the door lets in are the module's from here on; the others have their answer."""
        while (decision := doorman.decide(now)) is not None:
            viewing_id = decision.conn
            offer = self._at_door.pop(viewing_id, None)
            if offer is None:
                continue  # its viewer had left
            if isinstance(decision, Admit):
                self._admit(now, viewing_id, *offer)
            else:
                self.counts.turned_away += 1
                self.desk.on_result(
                    now,
                    viewing_id,
                    "blocked",
                    advice=decision.advice,
                    why=decision.why,
                    ticket=decision.ticket,
                )
                self.viewings.pop(viewing_id, None)

    def _settled(
        self, now: float, viewing_id: int, kind: Kind, answer: str = "", advice: float = 0.0
    ) -> None:
        """The module's answer to a viewing: the desk passes it on, the door has room again."""
        self.desk.on_result(now, viewing_id, kind, answer, advice)
        if self.doorman is not None:
            self.doorman.settled(now, viewing_id, kind != "plays")
            if self._at_door:
                self.stir()

    def overdue(self, conn: int, viewing_id: int) -> None:
        """Patience ran out without a decision, which only a fault can bring about: the viewer is told."""
        log.error("no decision within patience", vw=viewing_id)
        self._settled(time.monotonic(), viewing_id, "aborted")
        self._left(time.monotonic(), viewing_id)
        self.waiting.pop(conn, None)

    def hung_up(self, conn: int) -> None:
        event = self.waiting.pop(conn, None)
        self.desk.on_disconnect(time.monotonic(), conn)
        if event is not None:
            event.set(None)
        self.stir()

    def _forget(self, viewing_id: int) -> None:
        v = self.viewings.pop(viewing_id, None)
        self.gate.on_viewing_end(viewing_id)
        if v is not None:
            self.playing_at.get(v.host, {}).pop(viewing_id, None)
            for tell in v.events or ():
                tell("inactive", {})

    def _left(self, now: float, viewing_id: int) -> None:
        """The viewer is gone before the answer: what is out is called back, and its end is told."""
        v = self.viewings.get(viewing_id)
        if v is None:
            return
        self.counts.left += 1
        if self.doorman is not None:
            self.doorman.gone(now, viewing_id)
            if self._at_door.pop(viewing_id, None) is not None:
                self.viewings.pop(viewing_id, None)
                return
        self.mind.on_viewer_left(now, viewing_id)
        if v.task is None:
            self._forget(viewing_id)
        else:
            v.task.cancel()
        self.stir()

    def _end(self, now: float, viewing_id: int) -> None:
        """The viewer of what plays is gone or has ended it."""
        v = self.viewings.get(viewing_id)
        if v is None:
            return
        self.counts.ended += 1
        self.mind.on_tune_in_end(now, viewing_id, True, Outcome.OK, v.host, 0.0, v.tune_ins - 1)
        if v.session:
            self._spawn(self._order, v.at, "DELETE", v.session, name=f"end {viewing_id}")
        self._forget(viewing_id)
        self.stir()

    def ended_there(self, now: float, viewing_id: int, code: int) -> None:
        """The media host ended it."""
        v = self.viewings.get(viewing_id)
        if v is None or not v.session:
            self.counts.unknown += 1
            return
        self.counts.ended += 1
        self.mind.on_tune_in_end(now, viewing_id, True, code, v.host, 0.0, v.tune_ins - 1)
        self.desk.on_viewing_end(now, viewing_id)
        self._forget(viewing_id)
        self.stir()

    def end_all(self) -> None:
        """What plays is told its end, here and at its media host: this gateway goes. Who is owed an answer
        is left alone."""
        now = time.monotonic()
        for viewing_id, v in list(self.viewings.items()):
            if v.session:
                self.desk.on_viewing_end(now, viewing_id)
                self._end(now, viewing_id)

    def _lost(self, now: float, host: str) -> None:
        for viewing_id in list(self.playing_at.get(host, {})):
            self.ended_there(now, viewing_id, Outcome.RESET)

    # ---- tune-ins ------------------------------------------------------------------------------------------

    def _tune_in(self, now: float, viewing_id: int, host: str, within: float) -> None:
        v = self.viewings.get(viewing_id)
        number = v.tune_ins if v is not None else 0
        try:
            self.gate.check_send(now, viewing_id, host, within)
        except SendForbidden as why:
            self.counts.stopped_at_gate += 1
            log.error("stopped at the gate", vw=viewing_id, host=host, why=str(why))
            self.mind.on_tune_in_end(now, viewing_id, False, Outcome.MOOT, host, 0.0, number)
            self.stir()
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
        at = self.at.get(host, "")
        key = f"{self.name}.{self.boot}.{viewing_id}.{number}"
        code, told = Outcome.CANCELLED, False
        try:
            code, loads, response = self._asked_there(v, at, key, within - (time.monotonic() - sent))
            now = time.monotonic()
            self.gate.on_tune_in_outcome(viewing_id, code)
            v.task = None
            told = True
            if code == Outcome.OK and response is not None:
                self._opened(now, viewing_id, v, host, number, at, response, now - sent)
                for kind, value in ((3, loads.get("x0")), (4, loads.get("x1"))):
                    if value is not None:
                        self.mind.on_report(now, viewing_id, host, kind, value)
            else:
                self._failed(now, viewing_id, host, number, code, now - sent, loads)
        finally:
            if not told:
                # Called back: the closed connection tells the media host, and no tune-in is out any more.
                v.task = None
                self.gate.on_tune_in_outcome(viewing_id, Outcome.CANCELLED)
                now = time.monotonic()
                self.mind.on_tune_in_end(now, viewing_id, True, Outcome.CANCELLED, host, now - sent, number)
                # Guards against a fault of ours leaving a viewer without answer; one who left is owed none.
                self._settled(now, viewing_id, "aborted")
                self._forget(viewing_id)
            if code not in (Outcome.OK, Outcome.FULL, Outcome.CONNECT_FAILED):
                # It may have run: whatever came of it there is not wanted.
                self._spawn(self._order, at, "DELETE", f"/tune-ins/{key}", name=f"call back {viewing_id}")
            self.counts.outcomes[code.name] = self.counts.outcomes.get(code.name, 0) + 1
            self.stir()

    def _asked_there(
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
            if self.doorman is not None:
                self.doorman.given_up(time.monotonic())
            return Outcome.TIMEOUT, {}, None
        except ConnectFailed:
            return Outcome.CONNECT_FAILED, {}, None
        except Interrupted:
            return Outcome.RESET, {}, None
        except ValueError:
            return Outcome.ERROR, {}, None
        loads = loads_in(response.header("endpoint-load-metrics"))
        if response.status == 503:
            return Outcome.FULL, loads, response
        if response.status != 201 or not response.header("location"):
            return Outcome.ERROR, loads, response
        wrong = answer_mismatch(v.read, response.body.decode("utf-8", "replace")) if v.read else ""
        if wrong:
            self.counts.wrong_answers += 1
            log.warning("wrong answer to an offer", at=at, why=wrong)
            return Outcome.ERROR, loads, response
        return Outcome.OK, loads, response

    def _opened(
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
        v.at, v.in_force = at, v.rung
        v.session = response.header("location") or ""
        v.layer = link_to(response.header("link"), LAYER)
        v.offer = v.read = None
        self.playing_at.setdefault(host, {})[viewing_id] = None
        self.counts.plays += 1
        self.joins.joined(now, now - v.asked_at)
        self.mind.on_tune_in_success(now, viewing_id, host, number, latency)
        self._settled(now, viewing_id, "plays", response.body.decode("utf-8", "replace"))

    def _failed(
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
        self.mind.on_tune_in_end(now, viewing_id, False, code, host, latency, number, values)

    # ---- what else goes to media hosts ---------------------------------------------------------------------

    def _order(self, at: str, method: str, target: str) -> None:
        try:
            with self.loop.deadline(PATIENCE_FOR_ORDERS):
                self.client.request(at, method, target)
        except (TimedOut, ConnectFailed, Interrupted, ValueError):
            pass  # it is gone, or ends what nobody watches by itself

    def forward_patch(self, v: Viewing, headers: list[tuple[str, str]], body: bytes) -> Response | None:
        """A viewer's PATCH, passed on to where the viewing plays; None when nothing came back."""
        try:
            with self.loop.deadline(PATIENCE_FOR_ORDERS):
                return self.client.request(v.at, "PATCH", v.session, headers, body)
        except (TimedOut, ConnectFailed, Interrupted, ValueError):
            return None

    def _set_rung(self, viewing_id: int, rung: int) -> None:
        v = self.viewings.get(viewing_id)
        if v is None:
            return
        v.rung = rung
        if v.session:
            v.wanted = rung
            if not v.telling:
                v.telling = True
                self._spawn(self._tell_rung, viewing_id, v, name=f"rung {viewing_id}")

    def _tell_rung(self, viewing_id: int, v: Viewing) -> None:
        """Tells the newest rung; one decided while another is on its way waits for that."""
        try:
            while v.wanted is not None and viewing_id in self.viewings:
                rung, v.wanted = v.wanted, None
                body = msgspec.json.encode({"mediaId": "0", "encodingId": str(rung)})
                try:
                    with self.loop.deadline(PATIENCE_FOR_ORDERS):
                        kind = [("Content-Type", "application/json")]
                        told = self.client.request(v.at, "POST", v.layer, kind, body).status == 200
                except (TimedOut, ConnectFailed, Interrupted, ValueError):
                    told = False
                if told:
                    v.in_force = rung
                    for tell in v.events or ():
                        tell("layers", {"encodingId": str(rung)})
                elif v.wanted is None and viewing_id in self.viewings:
                    self.mind.on_report(time.monotonic(), viewing_id, v.host, 2, v.in_force)
                    self.stir()
        finally:
            v.telling = False

    def _probe(self, host: str) -> None:
        sent = time.monotonic()
        code, loads = Outcome.TIMEOUT, {"": 0.0}
        try:
            with self.loop.deadline(PROBE_WITHIN):
                response = self.client.request(self.at.get(host, ""), "GET", "/probe")
            code, loads = Outcome.OK, loads_in(response.header("endpoint-load-metrics"))
        except ConnectFailed:
            code = Outcome.CONNECT_FAILED
        except Interrupted:
            code = Outcome.RESET
        except (TimedOut, ValueError):
            pass
        values = [loads.get(name, -1.0) for name in self.load_fields]
        now = time.monotonic()
        self.mind.on_probe_result(now, host, code, now - sent, values)
        self.stir()

    def _follow(self, host: str) -> None:
        """One event stream to a media host: notes on what plays there, and that it is alive."""
        refused = False
        try:
            target = f"/events?gateway={self.name}.{self.boot}"
            with self.client.stream(self.at[host], target) as (response, parts):
                boot = response.header("boot") or ""
                if response.status != 200 or not boot:
                    return
                self.watch.hello(time.monotonic(), host, boot)
                events = events_from(self._watched(host, parts))
                for name, _, data in events:
                    self._noted(host, name, data)
        except ConnectFailed:
            refused = True
        except (TimedOut, Interrupted, ValueError):
            pass
        finally:
            self.watch.broke(time.monotonic(), host, refused)
            self.stir()

    def _watched(self, host: str, parts: Any) -> Any:
        """Bytes of the stream; ends it when the host gives no sign."""
        while True:
            try:
                with self.loop.deadline(1.0):
                    part = next(parts, None)
            except TimedOut:
                if self.watch.silent(time.monotonic(), host):
                    return
                continue
            if part is None:
                return
            self.watch.sign(time.monotonic(), host)
            yield part

    def _noted(self, host: str, name: str, data: str) -> None:
        try:
            said = msgspec.json.decode(data, type=Note)
        except msgspec.MsgspecError:
            self.counts.unknown += 1
            return
        now = time.monotonic()
        v = self.viewings.get(said.vw)
        mine = v is not None and v.host == host and bool(v.session)
        if name == "note" and (mine or said.kind in (3, 4)):
            self.mind.on_report(now, said.vw, host, said.kind, said.value)
        elif name == "ended" and mine:
            self.ended_there(now, said.vw, said.kind)
        else:
            self.counts.unknown += 1
        self.stir()

    # ---- lists and peers -----------------------------------------------------------------------------------

    def listed(self, how: str, lines: list[Line], ahead: float) -> None:
        now = time.monotonic()
        if how in ("total", "warm_copy"):
            names = {line.host for line in lines}
            self.gate.on_complete_list(now, names)
            for host in [h for h in self.watch.hosts if h not in names]:
                self.watch.listed(now, host, True)
        for line in lines:
            self.at[line.host] = line.at
            self.gate.on_host_state(now, line.host, line.state == "in_service")
            self.watch.listed(now, line.host, line.state == "terminated")
        self.mind.on_host_list(now, how, [line.row(ahead) for line in lines])
        self.stir()

    def hear_peers(self) -> None:
        """Runs as a task: what other gateways say."""
        assert self.peers is not None and self.peer_socket is not None
        while True:
            data, _ = self.peer_socket.receive()
            try:
                _, words = self.peers.words(time.time(), data)
            except Refusal:
                continue
            self.mind.on_peer_message(time.monotonic(), words)
            self.stir()


class Note(msgspec.Struct):
    """News from a media host: 1 share delivered, 2 rung in force, 3 and 4 use of link and uplink; of an
    end, `kind` is the outcome."""

    vw: int
    kind: int
    value: float = 0.0


def loads_in(header: str | None) -> dict[str, float]:
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


def link_to(header: str | None, relation: str) -> str:
    """The target of a Link header field with this relation, empty without one."""
    for part in (header or "").split(","):
        target, _, parameters = part.strip().partition(";")
        if f'rel="{relation}"' in parameters.replace(" ", ""):
            return target.strip().strip("<>")
    return ""
