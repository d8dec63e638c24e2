"""Carries out what the module decides, over the platform's two protocols, and hands in what comes back.

Every input goes to the module (`brain.Gateway`), the desk (who is owed which answer) and the watch (which
viewings a media host took along) at once; one pump a turn of the loop then pulls all three dry. A decision
that cannot be carried out becomes an outcome.
"""

import math
import time
from collections.abc import Callable

from ledgehitch import interface as say
from ledgehitch.brain import Gateway
from ledgehitch.gate import SendForbidden, SendGuard
from ledgehitch.interface import Outcome, Package, Row
from ledgehitch.loop.kernel import Loop
from ledgehitch.loop.pump import Pump
from ledgehitch.loop.timers import Timer
from ledgehitch.platform.desk import Answer, Desk, Release
from ledgehitch.platform.front import Front
from ledgehitch.platform.hosts import Hosts, Line
from ledgehitch.platform.log import log
from ledgehitch.platform.lost import Open, Watch

CAUSES = {
    16: Outcome.OK,
    31: Outcome.CANCELLED,
    34: Outcome.FULL,
    41: Outcome.RESET,
    47: Outcome.ERROR,
    102: Outcome.MOOT,
}
NOTES = {"kept_up": 1, "tier": 2, "wire": 3, "trunk": 4}
CUT = 41  # cause in releases to viewers whose media host was lost


class Viewing:
    """What carrying out needs to know of a viewing; let go with its end."""

    __slots__ = (
        "sid",
        "package",
        "title",
        "blob",
        "rung",
        "tune_ins",
        "host",
        "line",
        "sent_at",
        "until",
        "timer",
        "out",
        "plays",
        "began",
    )

    def __init__(self, sid: str, package: Package, title: str, blob: str) -> None:
        self.sid, self.package, self.title, self.blob = sid, package, title, blob
        self.rung = package.floor
        self.tune_ins = 0
        self.host = ""
        self.line: Line | None = None
        self.sent_at = self.until = self.began = 0.0
        self.timer: Timer | None = None
        self.out = self.plays = False


class Carrier:
    def __init__(
        self,
        loop: Loop,
        brain: Gateway,
        desk: Desk,
        gate: SendGuard,
        watch: Watch,
        hosts: Hosts,
        tell: Callable[[bytes, int], None],
    ) -> None:
        self.loop, self.brain, self.desk, self.gate, self.watch = loop, brain, desk, gate, watch
        self.hosts, self.tell = hosts, tell
        self.front: Front
        self.viewings: dict[int, Viewing] = {}
        self.counts: dict[str, int] = {}
        self._undone: list[Callable[[], None]] = []  # outcomes of decisions that could not be carried out
        self.stir = Pump(loop, self._pull).stir  # something was told

    def count(self, what: str) -> None:
        self.counts[what] = self.counts.get(what, 0) + 1

    # ---- the pump ------------------------------------------------------------------------------------------

    def _pull(self) -> float:
        while True:
            now = time.monotonic()
            while (decision := self.brain.decide(now)) is not None:
                self._carry_out(now, decision)
            done = not self._undone
            undone, self._undone = self._undone, []
            for outcome in undone:
                outcome()
            while (owed := self.watch.decide(now)) is not None:
                if isinstance(owed, Open):
                    self.hosts.keep(owed.host)
                else:
                    self._lost(now, owed.host, owed.before)
                    done = False
            while (due := self.desk.decide()) is not None:
                match due:
                    case Answer():
                        self.count(due.kind)
                        entry = self.desk.by_sid.get(due.sid)
                        if not self.front.answer(due) and entry is not None and entry.plays:
                            # Guards against one that plays on for a viewer who hung up as it came up.
                            self.count("unheard")
                            self.torn(now, due.sid)
                            done = False
                    case Release():
                        if not self.front.release(due):
                            self.desk.undelivered(due)
            if done:
                break
        return min(self.brain.wake_at() or math.inf, self.watch.wake_at())

    def _carry_out(self, now: float, decision: say.Decision) -> None:
        match decision:
            case say.TuneIn(viewing_id, host, within):
                self._tune_in(now, viewing_id, host, within)
            case say.SetRung(viewing_id, rung):
                v = self.viewings[viewing_id]
                v.rung = rung
                if v.plays:
                    self.hosts.set_rung(v.host, v.sid, v.line, rung)
            case say.Block(viewing_id, stay_away):
                self._done(viewing_id)
                self.desk.blocked(viewing_id, stay_away)
            case say.Abort(viewing_id):
                self._done(viewing_id)
                self.desk.aborted(viewing_id)
            case say.Probe(host):
                self.count("probes")
                if not self.hosts.probe(host):
                    failed = Outcome.CONNECT_FAILED
                    self._undone.append(lambda: self.brain.on_probe_result(now, host, failed, 0.0))
            case say.Tell(message, recipient):
                self.tell(message, recipient)
            case say.Subscribe():
                pass  # the journal service is listened to all the time

    def _tune_in(self, now: float, viewing_id: int, host: str, within: float) -> None:
        v = self.viewings[viewing_id]
        number = v.tune_ins
        v.tune_ins += 1
        try:
            self.gate.check_send(now, viewing_id, host, within)
        except SendForbidden as why:
            log("stopped", vw=viewing_id, host=host, why=why)
            self._undone.append(lambda: self._ended(now, viewing_id, False, Outcome.MOOT, host, 0.0, number))
            return
        if self.front.gone(self.desk.by_viewing_id[viewing_id].conn, v.sid):
            self._undone.append(lambda: self._gone(now, viewing_id, host, number))
            return
        left = f"{max(1, int(within * 1000))}"
        fields: dict[str, str | int | float] = {"class": v.package.name, "key": v.title, "left": left}
        fields["rung"] = v.rung
        v.out, v.host, v.sent_at = True, host, now
        v.line = self.hosts.set_up(v.sid, host, fields, v.blob)
        if v.line is None:
            # Nothing is known against the host: there was no room for a connection here.
            self._undone.append(lambda: self.broke(now, v.sid, host, Outcome.MOOT))
            return
        v.until = now + within
        v.timer = self.loop.call_at(v.until, lambda: self._timed_out(viewing_id))

    def _gone(self, now: float, viewing_id: int, host: str, number: int) -> None:
        """A tune-in was wanted for a viewer who has gone: it never left, and there is no other."""
        self.count("gone")
        entry = self.desk.by_viewing_id.get(viewing_id)
        if entry is not None:
            self._ended(now, viewing_id, False, Outcome.MOOT, host, 0.0, number)
            self.torn(now, entry.sid)

    def leaves(self, now: float, sid: str, line: Line) -> float | None:
        """A set-up that was held until its connection could take it is about to leave: the seconds left for
        it; None where it must not leave any more, which is its outcome."""
        found = self._of(sid)
        if found is None or not found[1].out or found[1].line is not line:
            return None
        viewing_id, v = found
        number = v.tune_ins - 1
        if self.front.gone(self.desk.by_viewing_id[viewing_id].conn, sid):
            self._gone(now, viewing_id, line.host, number)
            return None
        try:
            self.gate.check_delayed_send(now, viewing_id, line.host)
            if not self.brain.confirm_delayed_send(now, viewing_id):
                raise SendForbidden(4, f"{line.host} takes no more of it now")
        except SendForbidden as why:
            log("held-too-long", vw=viewing_id, host=line.host, why=why)
            self._ended(now, viewing_id, False, Outcome.MOOT, line.host, now - v.sent_at, number)
            return None
        return v.until - now

    def _timed_out(self, viewing_id: int) -> None:
        v = self.viewings.get(viewing_id)
        if v is None or not v.out:
            return
        if v.line is not None:
            left = self.hosts.give_up(v.line, v.sid, True)
            code = Outcome.TIMEOUT if left else Outcome.CONNECT_FAILED
            now = time.monotonic()
            self._ended(now, viewing_id, False, code, v.host, now - v.sent_at, v.tune_ins - 1)

    # ---- what viewers want ---------------------------------------------------------------------------------

    def asked(
        self,
        now: float,
        conn: int,
        sid: str,
        cseq: str,
        package: Package,
        title: str,
        first: int,
        spread: int,
        top: int,
        patience: float,
        blob: str,
    ) -> bool:
        viewing_id = self.desk.asked(conn, sid, cseq)
        if viewing_id is None:
            return False
        self.count("asked")
        self.viewings[viewing_id] = Viewing(sid, package, title, blob)
        self.gate.on_viewing_request(viewing_id, package, patience)
        self.brain.on_viewing_request(now, viewing_id, package.name, title, first, spread, top, patience)
        self.stir()
        return True

    def held(
        self,
        now: float,
        conn: int,
        sid: str,
        package: Package,
        title: str,
        first: int,
        spread: int,
        top: int,
        host: str,
    ) -> bool:
        """One that plays already; whether its media host is one that is there."""
        if host not in self.hosts.at:
            return False
        viewing_id = self.desk.held(conn, sid)
        if viewing_id is None:
            return True
        self.count("handed_over")
        v = self.viewings[viewing_id] = Viewing(sid, package, title, "")
        v.host, v.plays, v.began, v.tune_ins = host, True, now, 1
        self.gate.on_viewing_request(viewing_id, package, now + package.patience)
        self.watch.stands(now, host)
        self.brain.on_viewing_handover(now, viewing_id, package.name, title, first, spread, top, host)
        self.stir()
        return True

    def torn(self, now: float, sid: str) -> bool:
        """The viewer gives up or ends a viewing; whether it was known."""
        found = self.desk.torn(sid)
        if found is None:
            return False
        viewing_id, played = found
        if played:
            self.count("ended_by_viewer")
            v = self.viewings[viewing_id]
            self.hosts.release(v.host, sid, v.line)
            self._over(now, viewing_id, Outcome.CANCELLED)
        else:
            self._left(now, viewing_id)
        self.stir()
        return True

    def last_call(self, now: float) -> None:
        """The process is about to be killed: what is out is given up, what waits gets its final answer."""
        for viewing_id, v in list(self.viewings.items()):
            if v.out and v.line is not None:
                self._timed_out(viewing_id)
        self.brain.expire_waiting(now)
        self.stir()

    def hung_up(self, conn: int) -> None:
        """Guards against a tune-in for a viewer who has gone: the module hears of it before it is asked."""
        now = time.monotonic()
        for viewing_id in self.desk.hung_up(conn):
            self._left(now, viewing_id)
        self.stir()

    def _left(self, now: float, viewing_id: int) -> None:
        self.count("left")
        v = self.viewings.get(viewing_id)
        if v is None:
            return
        self.brain.on_viewer_left(now, viewing_id)
        if v.out and v.line is not None:
            self.hosts.give_up(v.line, v.sid, False)
            self._ended(now, viewing_id, True, Outcome.CANCELLED, v.host, now - v.sent_at, v.tune_ins - 1)
        self._done(viewing_id)

    # ---- what media hosts say ------------------------------------------------------------------------------

    def _of(self, sid: str) -> tuple[int, Viewing] | None:
        entry = self.desk.by_sid.get(sid)
        v = self.viewings.get(entry.viewing_id) if entry is not None else None
        return (entry.viewing_id, v) if entry is not None and v is not None else None

    def started(self, now: float, sid: str, host: str, line: Line, blob: str) -> None:
        found = self._of(sid)
        if found is None or found[1].host != host or not (found[1].out or found[1].plays):
            # Guards against an answer after its time, or one that nobody asked for: what may stand is ended.
            self.count("late_answers")
            self.hosts.release(host, sid, line)
            return
        viewing_id, v = found
        if not v.out or v.line is not line:
            # Of a former set-up of this id: given up there by its id, which is that of the one that is out.
            self.count("second_answers")
            return
        self._in(v)
        v.plays, v.began, v.blob = True, v.sent_at, ""
        self.gate.on_tune_in_outcome(viewing_id, Outcome.OK)
        self.watch.stands(now, host)
        self.brain.on_tune_in_success(now, viewing_id, host, v.tune_ins - 1, now - v.sent_at)
        self.desk.plays(viewing_id, blob)
        self.stir()

    def finished(self, now: float, sid: str, host: str, line: Line, cause: int, loads: list[float]) -> None:
        found = self._of(sid)
        if found is None or found[1].host != host or not (found[1].out or found[1].plays):
            return
        viewing_id, v = found
        code = CAUSES.get(cause, Outcome.RESET)
        if v.line is not line and (v.out or code in (Outcome.FULL, Outcome.ERROR, Outcome.MOOT)):
            # Guards against a second copy, come late, of how a former set-up of this id ended: it would be
            # taken for the end of the one that is out, and another would go out beside it.
            self.count("second_ends")
            return
        if v.plays:
            self.count(f"over_{code.name.lower()}")  # by code: causes are any number a media host likes
            self._over(now, viewing_id, code, loads)
            self.desk.over(viewing_id, cause, owed=code != Outcome.CANCELLED)
        else:
            if code in (Outcome.OK, Outcome.CANCELLED):
                code = Outcome.RESET  # no answer came before
            self._ended(now, viewing_id, False, code, host, now - v.sent_at, v.tune_ins - 1, loads)
        self.stir()

    def broke(self, now: float, sid: str, host: str, how: Outcome) -> None:
        """The connection of a set-up ended before its outcome."""
        found = self._of(sid)
        if found is not None and found[1].out and found[1].host == host:
            viewing_id, v = found
            self._ended(now, viewing_id, False, how, host, now - v.sent_at, v.tune_ins - 1)

    def noticed(self, now: float, sid: str, host: str, note: str, value: float) -> None:
        found = self._of(sid)
        kind = NOTES.get(note)
        if kind is not None:
            self.brain.on_report(now, found[0] if found is not None else 0, host, kind, value)
            self.stir()

    def probed(self, now: float, host: str, passed: bool, took: float, loads: list[float]) -> None:
        code = Outcome.OK if passed else Outcome.RESET
        self.brain.on_probe_result(now, host, code, took, loads)
        self.stir()

    # ---- what the list and others say ----------------------------------------------------------------------

    def listed(self, now: float, how: str, rows: list[tuple[Row, str]]) -> None:
        if how != "incr":
            named = {row.host for row, _ in rows}
            for host in [host for host in self.hosts.at if host not in named]:
                self.hosts.listed(host, "", True)
                self.watch.listed(now, host, True, 0.0)
            self.gate.on_complete_list(now, named)
        for row, address in rows:
            gone = row.state == "terminated"
            self.gate.on_host_state(now, row.host, row.state == "in_service")
            self.hosts.listed(row.host, address, gone, row.started)
            self.watch.listed(now, row.host, gone, row.started)
        self.brain.on_host_list(now, how, [row for row, _ in rows])
        self.stir()

    def peer_said(self, now: float, words: bytes) -> None:
        self.brain.on_peer_message(now, words)
        self.stir()

    # ---- ends ----------------------------------------------------------------------------------------------

    def _in(self, v: Viewing) -> None:
        v.out = False
        if v.timer is not None:
            self.loop.timers.cancel(v.timer)
            v.timer = None

    def _ended(
        self,
        now: float,
        viewing_id: int,
        closed: bool,
        code: Outcome,
        host: str,
        latency: float,
        tune_in: int,
        loads: list[float] | None = None,
    ) -> None:
        """A tune-in that did not come to play has its outcome."""
        v = self.viewings.get(viewing_id)
        if v is not None:
            self._in(v)
            v.line = None
        self.count(code.name.lower())
        self.gate.on_tune_in_outcome(viewing_id, code)
        self.brain.on_tune_in_end(now, viewing_id, closed, code, host, latency, tune_in, loads or ())
        self.stir()

    def _over(self, now: float, viewing_id: int, code: Outcome, loads: list[float] | None = None) -> None:
        """A viewing that played has ended."""
        v = self.viewings[viewing_id]
        self.watch.over(v.host)
        self.brain.on_tune_in_end(
            now, viewing_id, True, code, v.host, now - v.sent_at, v.tune_ins - 1, loads or ()
        )
        self._done(viewing_id)

    def _lost(self, now: float, host: str, before: float) -> None:
        gone = [
            (viewing_id, v)
            for viewing_id, v in self.viewings.items()
            if v.plays and v.host == host and v.began < before
        ]
        log("lost", host=host, viewings=len(gone))
        for viewing_id, v in gone:
            self.count("lost")
            # Guards against one that plays on behind a cut: it is ended should the host ever hear it.
            if host in self.hosts.lines:
                self.hosts.release(host, v.sid, v.line)
            self._over(now, viewing_id, Outcome.RESET)
            self.desk.over(viewing_id, CUT)
        self.stir()

    def _done(self, viewing_id: int) -> None:
        self.viewings.pop(viewing_id, None)
        self.gate.on_viewing_end(viewing_id)

    def sweep(self, now: float) -> None:
        self.hosts.sweep(now)
        self.front.sweep(now)
