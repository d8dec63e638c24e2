"""One pull for all that was told in a turn of the loop, and another when something falls due."""

from collections.abc import Callable

from ledgehitch.loop.kernel import Loop
from ledgehitch.loop.timers import Timer


class Pump:
    def __init__(self, loop: Loop, pull: Callable[[], float | None]) -> None:
        """`pull` carries out all that is due, and gives when it wants to run again: a time of
        `time.monotonic()`, or None. It must not wait."""
        self.loop, self._pull = loop, pull
        self._due = False
        self._timer: Timer | None = None
        self._at = 0.0

    def stir(self) -> None:
        """Something was told: the pull runs when all that is ready now has run."""
        if not self._due:
            self._due = True
            self.loop.call_soon(self._run)

    def _run(self) -> None:
        self._due = False
        wake = self._pull()
        # The timer that is set does where it is early enough: it stirs once for nothing at most.
        if wake is not None and (self._timer is None or self._timer.call is None or wake < self._at):
            if self._timer is not None:
                self.loop.timers.cancel(self._timer)
            self._timer, self._at = self.loop.call_at(wake, self.stir), wake
