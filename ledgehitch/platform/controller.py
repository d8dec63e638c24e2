"""Executes the decisions of `brain.Gateway` over the platform's two protocols and reports the outcomes back.

Each input goes at once to that module, to the session table (which viewer is owed which response) and to the
failure detector (which media hosts lost their viewings). Once a turn of the loop the decisions of all three
are then executed until none is left. A decision that cannot be executed is reported as an outcome.
"""

import math
import time
from collections.abc import Callable

from ledgehitch import interface
from ledgehitch.brain import Gateway
from ledgehitch.interface import Outcome, Row
from ledgehitch.loop.kernel import Loop
from ledgehitch.loop.pump import Pump
from ledgehitch.platform.failure_detector import (
    ConnectionRefused,
    FailureDetector,
    HostLost,
    OpenConnection,
)
from ledgehitch.platform.host_connection import HostConnection
from ledgehitch.platform.host_connections import HostConnections
from ledgehitch.platform.host_lists import HostLists
from ledgehitch.platform.log import log
from ledgehitch.platform.process_evidence import ProcessEvidence, VerifyProcess, ViewingOver
from ledgehitch.platform.sessions import Release, Response, SessionTable
from ledgehitch.platform.viewer_server import ViewerServer
from ledgehitch.platform.viewing import Viewing, WantedViewing
from ledgehitch.send_guard import SendForbidden, SendGuard

# By the cause that a media host gives.
OUTCOMES = {
    16: Outcome.OK,
    31: Outcome.CANCELLED,
    34: Outcome.FULL,
    41: Outcome.RESET,
    47: Outcome.ERROR,
    102: Outcome.MOOT,
}
REPORT_KINDS = {"kept_up": 1, "tier": 2, "wire": 3, "trunk": 4}
CAUSE_HOST_LOST = 41  # in releases to viewers whose media host was lost


class Controller:
    """Connects the decision module with viewers, media hosts, the journal and peers."""

    def __init__(
        self,
        loop: Loop,
        gateway: Gateway,
        sessions: SessionTable,
        guard: SendGuard,
        detector: FailureDetector,
        hosts: HostConnections,
        send_to_peer: Callable[[bytes, int], None],
        report_interval: float = 0.0,
    ) -> None:
        """`report_interval`: seconds between reports of a media host with viewings, 0 where none are sent."""
        self.loop, self.gateway, self.sessions, self.guard, self.detector = (
            loop,
            gateway,
            sessions,
            guard,
            detector,
        )
        self.hosts, self.send_to_peer = hosts, send_to_peer
        self.evidence = ProcessEvidence(report_interval)
        self.host_lists = HostLists(gateway, guard, hosts, self.evidence)
        self.viewers: ViewerServer
        self.viewings: dict[int, Viewing] = {}
        self.counts: dict[str, int] = {}
        self._failed: list[Callable[[], None]] = []  # outcomes of decisions that could not be executed
        self.schedule = Pump(loop, self._execute_decisions).schedule  # to be called after each input

    def count(self, event: str) -> None:
        self.counts[event] = self.counts.get(event, 0) + 1

    # ---- decisions -----------------------------------------------------------------------------------------

    def _execute_decisions(self) -> float:
        """Executes all decisions that are due and returns when it has to run again."""
        while True:
            now = time.monotonic()
            while (decision := self.gateway.decide(now)) is not None:
                self._execute(now, decision)
            done = not self._failed
            failed, self._failed = self._failed, []
            for report_outcome in failed:
                report_outcome()
            while (action := self.detector.decide(now)) is not None:
                match action:
                    case OpenConnection(address):
                        self.hosts.open(address)
                    case ConnectionRefused(address, begun_at):
                        self.evidence.on_refused(now, address, begun_at)
                    case HostLost(address):
                        self._on_host_lost(now, address)
                        done = False
            while (verdict := self.evidence.decide(now, self.hosts.connections_to)) is not None:
                match verdict:
                    case ViewingOver(viewing_id, reason):
                        self._on_viewing_lost(now, viewing_id, reason.value, may_open=True)
                        done = False
                    case VerifyProcess(address):
                        if self.gateway.terms.may_probe:
                            self.hosts.verify(address)
            while (due := self.sessions.decide()) is not None:
                match due:
                    case Response():
                        self.count(due.kind)
                        session = self.sessions.by_session_id.get(due.session_id)
                        if not self.viewers.send_response(due) and session is not None and session.plays:
                            # Its viewer hung up as it began to play: it must not play on.
                            self.count("unheard")
                            self.on_teardown(now, due.session_id)
                            done = False
                    case Release():
                        if not self.viewers.send_release(due):
                            self.sessions.on_release_failed(due)
            if done:
                break
        return min(self.gateway.wake_at() or math.inf, self.detector.wake_at(), self.evidence.wake_at())

    def _execute(self, now: float, decision: interface.Decision) -> None:
        match decision:
            case interface.TuneIn(viewing_id, host, within):
                self._tune_in(now, viewing_id, host, within)
            case interface.SetRung(viewing_id, rung):
                viewing = self.viewings[viewing_id]
                viewing.rung = rung
                if viewing.plays:
                    self.hosts.set_rung(viewing.address, viewing.session_id, viewing.connection, rung)
            case interface.Block(viewing_id, retry_after):
                self._remove(viewing_id)
                self.sessions.on_blocked(viewing_id, retry_after)
            case interface.Abort(viewing_id):
                self._remove(viewing_id)
                self.sessions.on_aborted(viewing_id)
            case interface.Probe(host):
                self.count("probes")
                if not self.hosts.probe(host):
                    failed = Outcome.CONNECT_FAILED
                    self._failed.append(lambda: self.gateway.on_probe_result(now, host, failed, 0.0))
            case interface.Tell(message, recipient):
                self.send_to_peer(message, recipient)
            case interface.Subscribe():
                pass  # the journal is followed all the time

    def _tune_in(self, now: float, viewing_id: int, host: str, within: float) -> None:
        viewing = self.viewings[viewing_id]
        number = viewing.tune_ins
        viewing.tune_ins += 1
        try:
            self.guard.check_send(now, viewing_id, host, within)
        except SendForbidden as error:
            log("send-refused", vw=viewing_id, host=host, why=error)
            self._failed.append(
                lambda: self._on_tune_in_end(now, viewing_id, False, Outcome.MOOT, host, 0.0, number)
            )
            return
        if self.viewers.has_left(self.sessions.by_viewing_id[viewing_id].conn, viewing.session_id):
            self._failed.append(lambda: self._on_viewer_gone(now, viewing_id, host, number))
            return
        time_left = f"{max(1, int(within * 1000))}"
        fields: dict[str, str | int | float] = {
            "class": viewing.package.name,
            "key": viewing.title,
            "left": time_left,
        }
        fields["rung"] = viewing.rung
        viewing.in_flight, viewing.host, viewing.sent_at = True, host, now
        viewing.connection = self.hosts.set_up(viewing.session_id, host, fields, viewing.description)
        if viewing.connection is None:
            # The gateway has no connection to spare, which says nothing about the host.
            self._failed.append(lambda: self.on_connection_lost(now, viewing.session_id, host, Outcome.MOOT))
            return
        viewing.address = viewing.connection.address
        viewing.deadline = now + within
        viewing.timer = self.loop.call_at(viewing.deadline, lambda: self._on_timeout(viewing_id))

    def _on_viewer_gone(self, now: float, viewing_id: int, host: str, number: int) -> None:
        """Drops a tune-in that was not sent because its viewer has gone, and cancels the viewing."""
        self.count("gone")
        session = self.sessions.by_viewing_id.get(viewing_id)
        if session is not None:
            self._on_tune_in_end(now, viewing_id, False, Outcome.MOOT, host, 0.0, number)
            self.on_teardown(now, session.session_id)

    def confirm_delayed_send(self, now: float, session_id: str, connection: HostConnection) -> float | None:
        """Returns the seconds left for a set-up that waited for its connection and is about to be sent.

        Returns None, and reports the outcome, where it must not be sent any more.
        """
        found = self._find(session_id)
        if found is None or not found[1].in_flight or found[1].connection is not connection:
            return None
        viewing_id, viewing = found
        number = viewing.tune_ins - 1
        if self.viewers.has_left(self.sessions.by_viewing_id[viewing_id].conn, session_id):
            self._on_viewer_gone(now, viewing_id, connection.host, number)
            return None
        try:
            self.guard.check_delayed_send(now, viewing_id, connection.host)
            if self.hosts.addresses.get(connection.host) != connection.address:
                raise SendForbidden(3, f"{connection.host} is not listed at {connection.address} any more")
            if not self.gateway.confirm_delayed_send(now, viewing_id):
                raise SendForbidden(4, f"{connection.host} accepts no further set-up now")
        except SendForbidden as error:
            log("held-too-long", vw=viewing_id, host=connection.host, why=error)
            self._on_tune_in_end(
                now, viewing_id, False, Outcome.MOOT, connection.host, now - viewing.sent_at, number
            )
            return None
        return viewing.deadline - now

    def _on_timeout(self, viewing_id: int) -> None:
        viewing = self.viewings.get(viewing_id)
        if viewing is None or not viewing.in_flight:
            return
        if viewing.connection is not None:
            sent = self.hosts.cancel(viewing.connection, viewing.session_id, True)
            outcome = Outcome.TIMEOUT if sent else Outcome.CONNECT_FAILED
            now = time.monotonic()
            self._on_tune_in_end(
                now, viewing_id, False, outcome, viewing.host, now - viewing.sent_at, viewing.tune_ins - 1
            )

    # ---- viewers' requests ---------------------------------------------------------------------------------

    def on_setup(
        self,
        now: float,
        conn: int,
        session_id: str,
        cseq: str,
        wanted: WantedViewing,
        patience: float,
        description: bytes,
    ) -> bool:
        """Accepts a set-up; returns False if its id is open already."""
        viewing_id = self.sessions.on_setup(conn, session_id, cseq)
        if viewing_id is None:
            return False
        self.count("asked")
        self.viewings[viewing_id] = Viewing(session_id, wanted.package, wanted.title, description)
        self.guard.on_viewing_request(viewing_id, wanted.package, patience)
        self.gateway.on_viewing_request(
            now,
            viewing_id,
            wanted.package.name,
            wanted.title,
            wanted.first_cell,
            wanted.cells,
            wanted.top_rung,
            patience,
        )
        self.schedule()
        return True

    def on_handover(self, now: float, conn: int, session_id: str, wanted: WantedViewing, host: str) -> bool:
        """Accepts a viewing that plays already; returns False if its media host is not listed."""
        address = self.hosts.addresses.get(host)
        if address is None:
            return False
        viewing_id = self.sessions.on_handover(conn, session_id)
        if viewing_id is None:
            return True
        self.count("handed_over")
        viewing = self.viewings[viewing_id] = Viewing(session_id, wanted.package, wanted.title, b"")
        viewing.host, viewing.address, viewing.plays, viewing.tune_ins = host, address, True, 1
        self.guard.on_viewing_request(viewing_id, wanted.package, now + wanted.package.patience)
        self.detector.on_viewing_started(now, address)
        self.evidence.on_viewing_started(now, viewing_id, host, address, None)
        self.gateway.on_viewing_handover(
            now,
            viewing_id,
            wanted.package.name,
            wanted.title,
            wanted.first_cell,
            wanted.cells,
            wanted.top_rung,
            host,
        )
        self.schedule()
        return True

    def on_teardown(self, now: float, session_id: str) -> bool:
        """The viewer cancels or ends a viewing; returns whether it was known."""
        found = self.sessions.on_teardown(session_id)
        if found is None:
            return False
        viewing_id, played = found
        if played:
            self.count("ended_by_viewer")
            viewing = self.viewings[viewing_id]
            self.hosts.release(viewing.address, session_id, viewing.connection)
            self._on_viewing_end(now, viewing_id, Outcome.CANCELLED)
        else:
            self._on_viewer_left(now, viewing_id)
        self.schedule()
        return True

    def expire_waiting(self, now: float) -> None:
        """Cancels all tune-ins and has each pending set-up answered; called shortly before SIGKILL."""
        for viewing_id, viewing in list(self.viewings.items()):
            if viewing.in_flight and viewing.connection is not None:
                self._on_timeout(viewing_id)
        self.gateway.expire_waiting(now)
        self.schedule()

    def on_connection_closed(self, conn: int) -> None:
        """A viewers' connection ended.

        The decision module is notified before its next decision, so that no tune-in begins for a viewer that
        has gone.
        """
        now = time.monotonic()
        for viewing_id in self.sessions.on_connection_closed(conn):
            self._on_viewer_left(now, viewing_id)
        self.schedule()

    def _on_viewer_left(self, now: float, viewing_id: int) -> None:
        self.count("left")
        viewing = self.viewings.get(viewing_id)
        if viewing is None:
            return
        self.gateway.on_viewer_left(now, viewing_id)
        if viewing.in_flight and viewing.connection is not None:
            self.hosts.cancel(viewing.connection, viewing.session_id, False)
            self._on_tune_in_end(
                now,
                viewing_id,
                True,
                Outcome.CANCELLED,
                viewing.host,
                now - viewing.sent_at,
                viewing.tune_ins - 1,
            )
        self._remove(viewing_id)

    # ---- messages of media hosts ---------------------------------------------------------------------------

    def _find(self, session_id: str) -> tuple[int, Viewing] | None:
        session = self.sessions.by_session_id.get(session_id)
        viewing = self.viewings.get(session.viewing_id) if session is not None else None
        return (session.viewing_id, viewing) if session is not None and viewing is not None else None

    def on_started(self, now: float, session_id: str, connection: HostConnection, description: str) -> None:
        found = self._find(session_id)
        if found is None or not self.is_at(session_id, connection.address):
            # A late or unsolicited answer: the viewing that may play at the host is ended.
            self.count("late_answers")
            self.hosts.release(connection.address, session_id, connection)
            return
        viewing_id, viewing = found
        if not viewing.in_flight or viewing.connection is not connection:
            # Of an earlier set-up, which was cancelled at its host by the id that the current one has, too.
            self.count("second_answers")
            return
        self._clear_in_flight(viewing)
        viewing.plays, viewing.description = True, b""
        self.guard.on_tune_in_outcome(viewing_id, Outcome.OK)
        self.detector.on_viewing_started(now, viewing.address)
        self.evidence.on_viewing_started(now, viewing_id, viewing.host, viewing.address, connection)
        self.gateway.on_tune_in_success(
            now, viewing_id, viewing.host, viewing.tune_ins - 1, now - viewing.sent_at
        )
        self.sessions.on_playing(viewing_id, description.encode())
        self.schedule()

    def on_finished(
        self,
        now: float,
        session_id: str,
        connection: HostConnection,
        cause: int,
        loads: list[float],
    ) -> None:
        found = self._find(session_id)
        if found is None or not self.is_at(session_id, connection.address):
            self.count("stray_ends")
            return
        viewing_id, viewing = found
        outcome = OUTCOMES.get(cause, Outcome.RESET)
        if viewing.connection is not connection and (
            viewing.in_flight or outcome in (Outcome.FULL, Outcome.ERROR, Outcome.MOOT)
        ):
            # A late duplicate of the outcome of an earlier set-up of this id. Taken for the outcome of the
            # current one, it would make another go out while that is still in flight.
            self.count("second_ends")
            return
        if viewing.plays:
            if outcome == Outcome.OK:
                self.evidence.on_viewing_heard(now, viewing_id, connection, is_report=False)
            # Counted by outcome: causes are arbitrary numbers of the media host.
            self.count(f"over_{outcome.name.lower()}")
            self._on_viewing_end(now, viewing_id, outcome, loads)
            self.sessions.on_ended(viewing_id, cause, notify=outcome != Outcome.CANCELLED)
        else:
            if outcome in (Outcome.OK, Outcome.CANCELLED):
                outcome = Outcome.RESET  # it never played
            self._on_tune_in_end(
                now,
                viewing_id,
                False,
                outcome,
                viewing.host,
                now - viewing.sent_at,
                viewing.tune_ins - 1,
                loads,
            )
        self.schedule()

    def on_connection_lost(self, now: float, session_id: str, host: str, outcome: Outcome) -> None:
        """The connection of a set-up ended before its outcome."""
        found = self._find(session_id)
        if found is not None and found[1].in_flight and found[1].host == host:
            viewing_id, viewing = found
            self._on_tune_in_end(
                now, viewing_id, False, outcome, host, now - viewing.sent_at, viewing.tune_ins - 1
            )

    def on_host_connection_ended(self, address: str, was_lost: bool) -> None:
        self.evidence.on_connection_ended(time.monotonic(), address, was_lost)

    def is_at(self, session_id: str, address: str) -> bool:
        """Whether a viewing of this id plays at an address or is being set up there."""
        found = self._find(session_id)
        return found is not None and found[1].address == address and (found[1].in_flight or found[1].plays)

    def on_notice(
        self, now: float, session_id: str, connection: HostConnection, note: str, value: float
    ) -> None:
        found = self._find(session_id)
        kind = REPORT_KINDS.get(note)
        if found is not None and self.is_at(session_id, connection.address):
            self.evidence.on_viewing_heard(now, found[0], connection, is_report=kind is not None)
        if kind is not None:
            viewing_id = found[0] if found is not None else 0
            self.gateway.on_report(now, viewing_id, connection.host, kind, value)
            self.schedule()

    def on_probe_result(self, now: float, host: str, passed: bool, took: float, loads: list[float]) -> None:
        outcome = Outcome.OK if passed else Outcome.RESET
        self.gateway.on_probe_result(now, host, outcome, took, loads)
        self.schedule()

    # ---- the list of media hosts, and peers ----------------------------------------------------------------

    def on_host_list(self, now: float, how: str, rows: list[tuple[Row, str]]) -> None:
        self.host_lists.apply(now, how, rows)
        self.schedule()

    def on_peer_message(self, now: float, message: bytes) -> None:
        self.gateway.on_peer_message(now, message)
        self.schedule()

    # ---- ends ----------------------------------------------------------------------------------------------

    def _clear_in_flight(self, viewing: Viewing) -> None:
        viewing.in_flight = False
        if viewing.timer is not None:
            self.loop.timers.cancel(viewing.timer)
            viewing.timer = None

    def _on_tune_in_end(
        self,
        now: float,
        viewing_id: int,
        closed: bool,
        outcome: Outcome,
        host: str,
        latency: float,
        tune_in: int,
        loads: list[float] | None = None,
    ) -> None:
        """A tune-in that did not lead to playing has its outcome."""
        viewing = self.viewings.get(viewing_id)
        if viewing is not None:
            self._clear_in_flight(viewing)
            viewing.connection = None
        self.count(outcome.name.lower())
        self.guard.on_tune_in_outcome(viewing_id, outcome)
        self.gateway.on_tune_in_end(now, viewing_id, closed, outcome, host, latency, tune_in, loads or ())
        self.schedule()

    def _on_viewing_end(
        self, now: float, viewing_id: int, outcome: Outcome, loads: list[float] | None = None
    ) -> None:
        """A viewing that played has ended."""
        viewing = self.viewings[viewing_id]
        self.detector.on_viewing_ended(viewing.address)
        self.evidence.on_viewing_ended(viewing_id)
        self.gateway.on_tune_in_end(
            now,
            viewing_id,
            True,
            outcome,
            viewing.host,
            now - viewing.sent_at,
            viewing.tune_ins - 1,
            loads or (),
        )
        self._remove(viewing_id)

    def _on_host_lost(self, now: float, address: str) -> None:
        """No process can be reached at an address."""
        lost = [
            viewing_id
            for viewing_id, viewing in self.viewings.items()
            if viewing.plays and viewing.address == address
        ]
        log("host-lost", at=address, viewings=len(lost))
        for viewing_id in lost:
            self._on_viewing_lost(now, viewing_id, "its media host cannot be reached", may_open=False)
        self.schedule()

    def _on_viewing_lost(self, now: float, viewing_id: int, why: str, may_open: bool) -> None:
        """Ends a viewing for its viewer, and at the process that listens at its address now.

        It may play on there: at a process that is only unreachable, or in place of the one that was told as
        gone. `may_open`: a connection is opened for that where there is none.
        """
        viewing = self.viewings.get(viewing_id)
        if viewing is None or not viewing.plays:
            return
        self.count("lost")
        log("viewing-lost", host=viewing.host, at=viewing.address, session=viewing.session_id, why=why)
        if may_open or viewing.address in self.hosts.connections:
            self.hosts.release(viewing.address, viewing.session_id, viewing.connection)
        self._on_viewing_end(now, viewing_id, Outcome.RESET)
        self.sessions.on_ended(viewing_id, CAUSE_HOST_LOST)

    def _remove(self, viewing_id: int) -> None:
        self.viewings.pop(viewing_id, None)
        self.guard.on_viewing_end(viewing_id)

    def sweep(self, now: float) -> None:
        """Closes connections that are no longer needed."""
        self.hosts.sweep(now)
        self.viewers.sweep(now)
