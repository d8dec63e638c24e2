"""The life cycle of one gateway process as a state machine: starting, ready, draining, ending, over.

Free of I/O and clock: callers report events and poll `decide`. A drain refuses new viewings and lets the
current ones finish until a deadline; then the remaining viewers are notified that their viewing ends. Viewers
whose request is pending are answered first. A second stop request brings the deadline forward.
"""

import math
from collections import deque
from dataclasses import dataclass
from typing import Literal

Phase = Literal["starting", "ready", "draining", "drained", "ending", "over"]
Then = Literal["stay", "restart", "stop", "leave"]  # after the drain; leave: stop and leave the membership
ENDING_GRACE_S = 1.0  # for ending the remaining viewings, on top of the longest patience
CHECK_INTERVAL_S = 0.1  # between two checks for remaining viewings
STRENGTH: dict[Then, int] = {"stay": 0, "restart": 1, "stop": 2, "leave": 3}


@dataclass(frozen=True)
class Admit:
    """Accept new viewings, or send viewers to another gateway."""

    open: bool


@dataclass(frozen=True)
class EndAllViewings:
    """End all viewings and notify their viewers."""


@dataclass(frozen=True)
class AnnounceLeave:
    """Announce to the other gateways that this one leaves, for good or for a short time."""

    back_soon: bool


@dataclass(frozen=True)
class Exit:
    """Exit with this code, or execute the program anew in the same process."""

    code: int
    restart: bool = False


@dataclass(frozen=True)
class CheckStart:
    """Check that the program to be executed next starts; answer with `on_start_check`."""


@dataclass(frozen=True)
class NotifySupervisor:
    """Send this text to the supervisor (`sd_notify`)."""

    text: str


Decision = Admit | EndAllViewings | AnnounceLeave | Exit | CheckStart | NotifySupervisor


class Life:
    """The state machine of one gateway process."""

    def __init__(self, now: float, max_patience: float) -> None:
        """`max_patience`: seconds that the most patient viewer waits for an answer."""
        self.phase: Phase = "starting"
        self.since = now
        self.then: Then = "stay"
        self.why = ""  # origin of the drain: a ticket of the fleet tool or the name of a signal
        self.drain_deadline = math.inf  # when the remaining viewings are ended
        self._patience = max_patience
        self._end_deadline = math.inf
        self._viewing_count = 0
        self._next_check_at = math.inf
        self._pending: deque[Decision] = deque()

    # ---- inputs --------------------------------------------------------------------------------------------

    def on_serving(self, now: float) -> None:
        """Called when the socket listens and the host list, or its last stored copy, has been read."""
        if self.phase == "starting":
            self._enter_phase(now, "ready")
            self._pending += [Admit(True), NotifySupervisor("READY=1\nSTATUS=serves")]

    def on_viewing_count(self, now: float, viewings: int) -> None:
        """Takes the number of viewings here, those whose request is pending included."""
        self._viewing_count = viewings

    def drain(self, now: float, within: float, then: Then, why: str) -> bool:
        """Stops accepting viewings and gives the current ones `within` seconds to finish.

        Returns whether this changes anything: a drain in progress is never extended or weakened.
        """
        if self.phase == "over":
            return False
        if self.phase == "ending":
            if STRENGTH[then] > STRENGTH[self.then]:
                self.then, self.why = then, why
                return True
            return False
        if self.phase in ("draining", "drained"):
            stronger = STRENGTH[then] > STRENGTH[self.then]
            if not stronger and now + within >= self.drain_deadline:
                return False
            self.then = then if stronger else self.then
            self.why = why if stronger else self.why
            self.drain_deadline = min(self.drain_deadline, now + within)
            if self.phase == "drained":
                self._enter_phase(now, "draining")
        else:
            self.then, self.why, self.drain_deadline = then, why, now + within
            self._enter_phase(now, "draining")
            self._pending += [Admit(False), NotifySupervisor(f"STATUS=drains: {why}")]
        if self.then != "stay":
            self._pending.append(NotifySupervisor("STOPPING=1"))
        self._next_check_at = now
        return True

    def undrain(self, now: float) -> bool:
        """Accepts viewings again, unless viewings are being ended or the process is to restart or stop."""
        if self.phase not in ("draining", "drained") or self.then != "stay":
            return False
        self.drain_deadline, self.why = math.inf, ""
        self._enter_phase(now, "ready")
        self._next_check_at = math.inf
        self._pending += [Admit(True), NotifySupervisor("STATUS=serves")]
        return True

    def on_start_check(self, now: float, starts: bool, why: str = "") -> None:
        """Takes the result of `CheckStart`. If the installed program does not start, as with a broken
        release, this process continues to serve and reports why."""
        if self.phase != "drained" or self.then != "restart":
            return  # a stop was requested meanwhile
        if starts:
            self._finish(now, start_checked=True)
            return
        self.then, self.drain_deadline, self.why = "stay", math.inf, why
        self._enter_phase(now, "ready")
        self._pending += [Admit(True), NotifySupervisor(f"READY=1\nSTATUS=serves, {why}")]

    # ---- decisions -----------------------------------------------------------------------------------------

    def _enter_phase(self, now: float, phase: Phase) -> None:
        self.phase, self.since = phase, now

    def decide(self, now: float) -> Decision | None:
        """Returns the next decision, or None when there is nothing to do."""
        if not self._pending and now >= self._next_check_at:
            self._check(now)
        return self._pending.popleft() if self._pending else None

    def _check(self, now: float) -> None:
        self._next_check_at = now + CHECK_INTERVAL_S
        if self.phase == "draining" and (self._viewing_count == 0 or now >= self.drain_deadline):
            if self._viewing_count:
                self._enter_phase(now, "ending")
                self._end_deadline = now + self._patience + ENDING_GRACE_S
            elif self.then == "stay":
                self._enter_phase(now, "drained")
                self._pending.append(NotifySupervisor("STATUS=drained"))
            else:
                self._finish(now)
                return
        if self.phase == "ending":
            # A viewing whose request was pending at the deadline may have started since, so the decision
            # is repeated until none is left.
            if self._viewing_count and now < self._end_deadline:
                self._pending.append(EndAllViewings())
            elif self.then == "stay":
                self._enter_phase(now, "drained")
                self._pending.append(NotifySupervisor("STATUS=drained"))
            else:
                self._finish(now)
        if self.phase == "drained":
            self._next_check_at = math.inf

    def _finish(self, now: float, start_checked: bool = False) -> None:
        restart = self.then == "restart"
        if restart and not start_checked:
            self._enter_phase(now, "drained")
            self._next_check_at = math.inf
            self._pending.append(CheckStart())
            return
        self._enter_phase(now, "over")
        self._next_check_at = math.inf
        self._pending += [AnnounceLeave(back_soon=self.then != "leave"), Exit(0, restart)]

    def wake_at(self) -> float | None:
        """Returns when to call `decide` again, or None to wait for the next input."""
        if self._pending:
            return 0.0
        return None if self._next_check_at == math.inf else self._next_check_at
