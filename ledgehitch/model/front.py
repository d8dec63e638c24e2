"""A gateway in virtual time: the decision module, desk and gate of the running one, carried out on the model.

What `gateway/executor.py` does with sockets and tasks is done here with calls at later times; what is decided
is decided by the same modules.
"""

import itertools
import math
from collections.abc import Callable, Sequence
from typing import TYPE_CHECKING, Any

from ledgehitch import interface as say
from ledgehitch.door.decide import AdmissionController, Admit
from ledgehitch.door.names import client_name
from ledgehitch.gateway.executor import COMMAND_TIMEOUT_S, PROBE_TIMEOUT_S
from ledgehitch.interface import Outcome, Package, Row
from ledgehitch.model.media import Loads, MediaHost, Session
from ledgehitch.model.spoilt import OpenGate
from ledgehitch.send_guard import SendForbidden, SendGuard
from ledgehitch.signalling import AbandonViewing, Answer, EndViewing, Kind, ViewingRegistry

if TYPE_CHECKING:
    from ledgehitch.model.day import Ground


class Viewing:
    __slots__ = (
        "package",
        "title",
        "rung",
        "tune_ins",
        "out",
        "sent",
        "host",
        "session",
        "in_force",
        "wanted",
        "telling",
    )

    def __init__(self, package: Package, title: str) -> None:
        self.package, self.title = package, title
        self.rung = self.tune_ins = self.in_force = 0
        self.out = -1  # number of the tune-in that is out
        self.sent = 0.0
        self.host = ""
        self.session: Session | None = None
        self.wanted: int | None = None
        self.telling = False


class Front:
    """One life of a gateway."""

    def __init__(self, ground: "Ground", name: str, life: int, seed: int) -> None:
        self.ground, self.name, self.boot = ground, name, f"b{life}"
        ladder, packages, fleet, terms = ground.facts_of(name)
        now = ground.agenda.now
        self.brain = ground.module(seed, now, ladder, packages, fleet, terms)
        self.desk = ViewingRegistry(ground.secret)
        self.gate = OpenGate(terms.drain_grace) if ground.gates_out else SendGuard(terms.drain_grace)
        self.packages = {p.name: p for p in packages}
        self.load_fields, self.zone = fleet.load_fields, terms.zone
        self.viewings: dict[int, Viewing] = {}
        self.answers: dict[int, Callable[..., None]] = {}  # of connections that are owed one
        self.door: AdmissionController | None = ground.door_of(name, seed)
        self._at_door: dict[int, tuple[tuple[int, int], int, float]] = {}  # cells, highest rung, patience
        self.up, self.still = True, False
        self.stopped_at_gate = 0
        self._backlog: list[tuple[Callable[..., None], tuple[Any, ...]]] = []
        self._viewing_ids = itertools.count(1)
        self._wake = math.inf

    # ---- what arrives --------------------------------------------------------------------------------------

    def take(self, call: Callable[..., None], *args: Any) -> None:
        """Something arrives, or a time of its own comes: it is told, then all decisions are pulled."""
        if not self.up:
            return
        if self.still:
            self._backlog.append((call, args))
            return
        call(*args)
        self._pump()

    def stand_still(self) -> None:
        self.still = True

    def go_on(self) -> None:
        self.still = False
        backlog, self._backlog = self._backlog, []
        for call, args in backlog:
            call(*args)
        self._pump()

    def die(self) -> None:
        self.up = False
        answers, self.answers = self.answers, {}
        for answered in answers.values():
            self.ground.agenda.after(self.ground.hop, answered, "broken", 0.0, "", None)

    def listed(self, how: str, rows: Sequence[Row]) -> None:
        now = self.ground.agenda.now
        if how in ("total", "warm_copy"):
            self.gate.on_complete_list(now, {row.host for row in rows})
        gone = []
        for row in rows:
            self.gate.on_host_state(now, row.host, row.state == "in_service")
            if row.state == "terminated":
                gone.append(row.host)
        self.brain.on_host_list(now, how, rows)
        for host in gone:
            self.lost(host)

    def asked(
        self,
        conn: int,
        key: bytes,
        package: str,
        title: str,
        cells: tuple[int, int],
        top: int,
        patience: float,
        answered: Callable[..., None],
        who: str = "",
        ticket: str = "",
    ) -> None:
        """An offer; `answered` (kind, advice, resource, session, ticket) is called at the viewer's end."""
        now, viewing_id = self.ground.agenda.now, next(self._viewing_ids)
        self.answers[conn] = answered
        if not self.desk.on_offer(now, conn, key, viewing_id):
            return
        self.viewings[viewing_id] = Viewing(self.packages[package], title)
        if self.door is None:
            self._admit(now, viewing_id, cells, top, patience)
            return
        self._at_door[viewing_id] = cells, top, patience
        name = client_name(self.ground.secret, who, "", "")
        self.door.on_request(now, viewing_id, name, package, patience, ticket)

    def _admit(self, now: float, viewing_id: int, cells: tuple[int, int], top: int, patience: float) -> None:
        v = self.viewings[viewing_id]
        self.gate.on_viewing_request(viewing_id, v.package, patience)
        self.brain.on_viewing_request(
            now, viewing_id, v.package.name, v.title, cells[0], cells[1], top, patience
        )

    def hung_up(self, conn: int) -> None:
        if self.answers.pop(conn, None) is not None:
            self.desk.on_disconnect(self.ground.agenda.now, conn)

    def deleted(self, resource: str) -> None:
        self.desk.on_delete(self.ground.agenda.now, resource)

    def told(self, notes: Sequence[tuple[int, str, int, float]]) -> None:
        """Notes of media hosts, each on one viewing: viewing, host, kind, value."""
        now = self.ground.agenda.now
        for viewing_id, host, kind, value in notes:
            v = self.viewings.get(viewing_id)
            if kind in (3, 4) or (v is not None and v.host == host and v.session is not None):
                self.brain.on_report(now, viewing_id, host, kind, value)

    def ended_there(self, viewing_id: int, session: Session, code: int) -> None:
        v = self.viewings.get(viewing_id)
        if v is None or v.session is not session:
            return
        now = self.ground.agenda.now
        self.brain.on_tune_in_end(now, viewing_id, True, code, v.host, 0.0, v.tune_ins - 1)
        self.desk.on_viewing_end(now, viewing_id)
        self._forget(viewing_id)

    def lost(self, host: str) -> None:
        """All that plays there has ended."""
        for viewing_id, v in list(self.viewings.items()):
            if v.host == host and v.session is not None:
                self.ended_there(viewing_id, v.session, Outcome.RESET)

    def peer_said(self, words: bytes) -> None:
        self.brain.on_peer_message(self.ground.agenda.now, words)

    # ---- what is decided -----------------------------------------------------------------------------------

    def _woken(self, at: float) -> None:
        if at == self._wake:
            self._wake = math.inf

    def _let_in(self, now: float, door: AdmissionController) -> None:
        while (decision := door.decide(now)) is not None:
            viewing_id = decision.conn
            offer = self._at_door.pop(viewing_id, None)
            if offer is None:
                continue  # its viewer had left
            if isinstance(decision, Admit):
                self._admit(now, viewing_id, *offer)
            else:
                self.desk.on_result(
                    now,
                    viewing_id,
                    "blocked",
                    advice=decision.advice,
                    why=decision.why,
                    ticket=decision.ticket,
                )
                self.viewings.pop(viewing_id, None)

    def _settled(self, now: float, viewing_id: int, kind: Kind, advice: float = 0.0) -> None:
        self.desk.on_result(now, viewing_id, kind, advice=advice)
        if self.door is not None:
            self.door.on_result(now, viewing_id, kind != "plays")

    def _pump(self) -> None:
        now, g = self.ground.agenda.now, self.ground
        if self.door is not None:
            self._let_in(now, self.door)
        began = g.module_began()
        decisions = []
        while (decision := self.brain.decide(now)) is not None:
            decisions.append(decision)
        g.module_ended(began)
        for decision in decisions:
            match decision:
                case say.TuneIn(viewing_id, host, within):
                    self._tune_in(now, viewing_id, host, within)
                case say.SetRung(viewing_id, rung):
                    self._set_rung(viewing_id, rung)
                case say.Block(viewing_id, stay_away):
                    self._settled(now, viewing_id, "blocked", stay_away)
                    self._forget(viewing_id)
                case say.Abort(viewing_id):
                    self._settled(now, viewing_id, "aborted")
                    self._forget(viewing_id)
                case say.Probe(host):
                    g.agenda.after(g.hop, self._probe, host, now)
                case say.Tell(message, recipient):
                    g.network.send(recipient, message)
                case say.Subscribe():
                    pass
        again = bool(self._at_door) and self.door is not None and self.door.can_admit(now)
        while (duty := self.desk.decide(now)) is not None:
            match duty:
                case Answer(conn, viewing_id):
                    self._answer(now, conn, viewing_id)
                case AbandonViewing(viewing_id):
                    self._left(now, viewing_id)
                    again = True
                case EndViewing(viewing_id):
                    self._end(now, viewing_id)
                    again = True
        if again:
            self._pump()
            return
        at_door = self.door.wake_at() if self.door is not None else None
        wakes = [at for at in (self.brain.wake_at(), self.desk.wake_at(), at_door) if at is not None]
        if wakes and (wake := max(min(wakes), now + 1e-6)) < self._wake:
            self._wake = wake
            g.agenda.at(wake, self.take, self._woken, wake)

    def _answer(self, now: float, conn: int, viewing_id: int) -> None:
        answered, entry = self.answers.pop(conn, None), self.desk.entries.get(viewing_id)
        if answered is None:
            return
        settled = entry.result if entry is not None else None
        v = self.viewings.get(viewing_id)
        if entry is None or settled is None:
            answered_with: tuple[Any, ...] = ("aborted", 0.0, "", None, "")
        else:
            session = v.session if v is not None else None
            advice = float(math.ceil(settled.advice))
            answered_with = (settled.kind, advice, entry.resource, session, settled.ticket)
        self.desk.on_answer_sent(now, conn)
        self.ground.agenda.after(self.ground.hop, answered, *answered_with)

    def _forget(self, viewing_id: int) -> None:
        self.viewings.pop(viewing_id, None)
        self.gate.on_viewing_end(viewing_id)

    def _left(self, now: float, viewing_id: int) -> None:
        v = self.viewings.get(viewing_id)
        if v is None:
            return
        if self.door is not None:
            self.door.on_disconnect(now, viewing_id)
            if self._at_door.pop(viewing_id, None) is not None:
                self.viewings.pop(viewing_id, None)
                return
        self.brain.on_viewer_left(now, viewing_id)
        if v.out >= 0:
            number, v.out = v.out, -1
            self.gate.on_tune_in_outcome(viewing_id, Outcome.CANCELLED)
            self.brain.on_tune_in_end(now, viewing_id, True, Outcome.CANCELLED, v.host, now - v.sent, number)
            self._call_back(viewing_id, v.host, number)
        self._forget(viewing_id)

    def _end(self, now: float, viewing_id: int) -> None:
        v = self.viewings.get(viewing_id)
        if v is None:
            return
        self.brain.on_tune_in_end(now, viewing_id, True, Outcome.OK, v.host, 0.0, v.tune_ins - 1)
        if v.session is not None:
            self.ground.agenda.after(self.ground.hop, self.ground.ends, v.session)
        self._forget(viewing_id)

    # ---- tune-ins ------------------------------------------------------------------------------------------

    def _key(self, viewing_id: int, number: int) -> str:
        return f"{self.name}.{self.boot}.{viewing_id}.{number}"

    def _tune_in(self, now: float, viewing_id: int, host: str, within: float) -> None:
        v, g = self.viewings.get(viewing_id), self.ground
        try:
            self.gate.check_send(now, viewing_id, host, within)
        except SendForbidden:
            self.stopped_at_gate += 1
            self.brain.on_tune_in_end(
                now, viewing_id, False, Outcome.MOOT, host, 0.0, v.tune_ins if v is not None else 0
            )
            g.agenda.at(now, self.take, self._woken, now)
            return
        assert v is not None
        number, v.out, v.host, v.sent = v.tune_ins, v.tune_ins, host, now
        v.tune_ins += 1

        def answered(code: Outcome, loads: Loads, session: Session | None) -> None:
            self._came_back(viewing_id, number, now, code, loads, session)

        key, way = self._key(viewing_id, number), g.way(self, g.hosts[host])
        g.agenda.after(way, g.tune_in, host, key, self, viewing_id, v.package.name, v.title, v.rung, answered)
        g.agenda.at(now + max(within, 0.001), self.take, answered, Outcome.TIMEOUT, {}, None)

    def _came_back(
        self, viewing_id: int, number: int, sent: float, code: Outcome, loads: Loads, session: Session | None
    ) -> None:
        v, now = self.viewings.get(viewing_id), self.ground.agenda.now
        if v is None or v.out != number:
            return  # it was given up before
        v.out = -1
        self.gate.on_tune_in_outcome(viewing_id, code)
        if code == Outcome.TIMEOUT and self.door is not None:
            self.door.on_tune_in_timeout(now)
        if code == Outcome.OK and session is not None:
            v.session, v.in_force = session, v.rung
            self.brain.on_tune_in_success(now, viewing_id, v.host, number, now - sent)
            self._settled(now, viewing_id, "plays")
            for kind, name in ((3, "x0"), (4, "x1")):
                if name in loads:
                    self.brain.on_report(now, viewing_id, v.host, kind, loads[name])
            if session.id not in session.host.sessions:
                self.ended_there(viewing_id, session, Outcome.RESET)
            return
        values = [loads.get(name, -1.0) for name in self.load_fields]
        self.brain.on_tune_in_end(now, viewing_id, False, code, v.host, now - sent, number, values)
        if code not in (Outcome.FULL, Outcome.CONNECT_FAILED):
            self._call_back(viewing_id, v.host, number)

    def _call_back(self, viewing_id: int, host: str, number: int) -> None:
        self.ground.agenda.after(self.ground.hop, self.ground.gave_up, host, self._key(viewing_id, number))

    # ---- rungs and probes ----------------------------------------------------------------------------------

    def _set_rung(self, viewing_id: int, rung: int) -> None:
        v = self.viewings.get(viewing_id)
        if v is None:
            return
        v.rung = rung
        if v.session is not None:
            v.wanted = rung
            if not v.telling:
                v.telling = True
                self._tell_rung(viewing_id, v)

    def _tell_rung(self, viewing_id: int, v: Viewing) -> None:
        assert v.session is not None and v.wanted is not None
        rung, v.wanted = v.wanted, None
        g = self.ground
        g.agenda.after(g.hop, self._rung_there, viewing_id, v, v.session, rung)

    def _rung_there(self, viewing_id: int, v: Viewing, session: Session, rung: int) -> None:
        g, host = self.ground, session.host
        if host.set_rung(session, rung):
            g.send(self, self._rung_told, viewing_id, v, rung, True)
        else:
            silent = host.up and (host.active_faults.hangs or host.active_faults.silent)
            g.agenda.after(
                COMMAND_TIMEOUT_S if silent else g.hop,
                self.take,
                self._rung_told,
                viewing_id,
                v,
                rung,
                False,
            )

    def _rung_told(self, viewing_id: int, v: Viewing, rung: int, told: bool) -> None:
        if self.viewings.get(viewing_id) is not v:
            return
        if told:
            v.in_force = rung
        elif v.wanted is None:
            self.brain.on_report(self.ground.agenda.now, viewing_id, v.host, 2, v.in_force)
        if v.wanted is not None:
            self._tell_rung(viewing_id, v)
        else:
            v.telling = False

    def _probe(self, name: str, sent: float) -> None:
        g = self.ground
        host: MediaHost | None = g.hosts.get(name)
        if host is None or not host.up:
            g.send(self, self._probed, name, Outcome.CONNECT_FAILED, sent, {})
        elif host.active_faults.silent:
            g.agenda.at(sent + PROBE_TIMEOUT_S, self.take, self._probed, name, Outcome.TIMEOUT, sent, {})
        else:
            g.send(self, self._probed, name, Outcome.OK, sent, host.report())

    def _probed(self, name: str, code: Outcome, sent: float, loads: Loads) -> None:
        now = self.ground.agenda.now
        values = [loads.get(field, -1.0) for field in self.load_fields]
        self.brain.on_probe_result(now, name, code, now - sent, values)
