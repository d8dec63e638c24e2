"""The life of one gateway process: starting, ready, draining, ending, over. Free of I/O and clock.

Inputs say what happened, `decide` is pulled. A drain refuses new viewings and lets what plays end by itself
up to a limit; then the rest are told their end. Who is owed an answer gets it first. A second stop hurries.
"""

import math
from collections import deque
from dataclasses import dataclass
from typing import Literal

Phase = Literal["starting", "ready", "draining", "drained", "ending", "over"]
Then = Literal["stay", "restart", "stop", "leave"]  # leave: stop, and not be counted on any more
ENDING = 1.0  # seconds, beyond patience, that what is left may take to be told its end
AGAIN = 0.1  # seconds between two looks at what is left
RANK: dict[Then, int] = {"stay": 0, "restart": 1, "stop": 2, "leave": 3}


@dataclass(frozen=True)
class Admit:
    """Take new viewings, or send those who ask elsewhere."""

    open: bool


@dataclass(frozen=True)
class EndAllViewings:
    """Tell all that plays here its end."""


@dataclass(frozen=True)
class AnnounceLeave:
    """Tell the other gateways that this one leaves: for good, or to be back soon."""

    back_soon: bool


@dataclass(frozen=True)
class Exit:
    """The process is over: end with this code, or run anew in its place."""

    code: int
    restart: bool = False


@dataclass(frozen=True)
class CheckStart:
    """Check that the program to be executed next starts; answer with `on_start_check`."""


@dataclass(frozen=True)
class NotifySupervisor:
    """Tell the supervisor (`sd_notify`)."""

    text: str


Decision = Admit | EndAllViewings | AnnounceLeave | Exit | CheckStart | NotifySupervisor


class Life:
    def __init__(self, now: float, longest_patience: float) -> None:
        self.phase: Phase = "starting"
        self.since = now
        self.then: Then = "stay"
        self.why = ""  # who asked for the drain, in words: a ticket of the fleet tool or a signal
        self.drain_deadline = math.inf  # when what still plays is told its end
        self._patience = longest_patience
        self._over_by = math.inf
        self._held = 0
        self._look_at = math.inf
        self._due: deque[Decision] = deque()

    # ---- what happens --------------------------------------------------------------------------------------

    def on_serving(self, now: float) -> None:
        """The socket listens and the list has been read, or its last copy."""
        if self.phase == "starting":
            self._enter(now, "ready")
            self._due += [Admit(True), NotifySupervisor("READY=1\nSTATUS=serves")]

    def on_viewing_count(self, now: float, viewings: int) -> None:
        """How many viewings are here: playing, or owed an answer."""
        self._held = viewings

    def drain(self, now: float, within: float, then: Then, why: str) -> bool:
        """Takes no new viewings; what plays may end by itself for `within` seconds. Whether it changes what
        goes on: a drain is never taken back by a longer or weaker one."""
        if self.phase == "over":
            return False
        if self.phase == "ending":
            if RANK[then] > RANK[self.then]:
                self.then, self.why = then, why
                return True
            return False
        if self.phase in ("draining", "drained"):
            stronger = RANK[then] > RANK[self.then]
            if not stronger and now + within >= self.drain_deadline:
                return False
            self.then = then if stronger else self.then
            self.why = why if stronger else self.why
            self.drain_deadline = min(self.drain_deadline, now + within)
            if self.phase == "drained":
                self._enter(now, "draining")
        else:
            self.then, self.why, self.drain_deadline = then, why, now + within
            self._enter(now, "draining")
            self._due += [Admit(False), NotifySupervisor(f"STATUS=drains: {why}")]
        if self.then != "stay":
            self._due.append(NotifySupervisor("STOPPING=1"))
        self._look_at = now
        return True

    def undrain(self, now: float) -> bool:
        """Takes viewings again, unless it is ending what plays or is to stop."""
        if self.phase not in ("draining", "drained") or self.then != "stay":
            return False
        self.drain_deadline, self.why = math.inf, ""
        self._enter(now, "ready")
        self._look_at = math.inf
        self._due += [Admit(True), NotifySupervisor("STATUS=serves")]
        return True

    def on_start_check(self, now: float, good: bool, why: str = "") -> None:
        """Whether the new program starts. Guards against a restart into a broken release: the old one carries
        on, and says why."""
        if self.phase != "drained" or self.then != "restart":
            return  # it was told to stop meanwhile
        if good:
            self._end(now, proven=True)
            return
        self.then, self.drain_deadline, self.why = "stay", math.inf, why
        self._enter(now, "ready")
        self._due += [Admit(True), NotifySupervisor(f"READY=1\nSTATUS=serves, {why}")]

    # ---- what is decided -----------------------------------------------------------------------------------

    def _enter(self, now: float, phase: Phase) -> None:
        self.phase, self.since = phase, now

    def decide(self, now: float) -> Decision | None:
        if not self._due and now >= self._look_at:
            self._look(now)
        return self._due.popleft() if self._due else None

    def _look(self, now: float) -> None:
        self._look_at = now + AGAIN
        if self.phase == "draining" and (self._held == 0 or now >= self.drain_deadline):
            if self._held:
                self._enter(now, "ending")
                self._over_by = now + self._patience + ENDING
            elif self.then == "stay":
                self._enter(now, "drained")
                self._due.append(NotifySupervisor("STATUS=drained"))
            else:
                self._end(now)
                return
        if self.phase == "ending":
            # Guards against a viewing that was owed its answer when the limit passed: it may have begun to
            # play since, so all are told again until none is left.
            if self._held and now < self._over_by:
                self._due.append(EndAllViewings())
            elif self.then == "stay":
                self._enter(now, "drained")
                self._due.append(NotifySupervisor("STATUS=drained"))
            else:
                self._end(now)
        if self.phase == "drained":
            self._look_at = math.inf

    def _end(self, now: float, proven: bool = False) -> None:
        again = self.then == "restart"
        if again and not proven:
            self._enter(now, "drained")
            self._look_at = math.inf
            self._due.append(CheckStart())
            return
        self._enter(now, "over")
        self._look_at = math.inf
        self._due += [AnnounceLeave(back_soon=self.then != "leave"), Exit(0, again)]

    def wake_at(self) -> float | None:
        if self._due:
            return 0.0
        return None if self._look_at == math.inf else self._look_at
