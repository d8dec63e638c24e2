"""Coalesces the inputs of one turn of the loop into one run of a decision function."""

from collections.abc import Callable

from ledgehitch.loop.kernel import Loop
from ledgehitch.loop.timers import Timer


class Pump:
    """Runs a decision function after new input, and when the function asked to run again."""

    def __init__(self, loop: Loop, pull: Callable[[], float | None]) -> None:
        """Starts idle.

        `pull` carries out all pending decisions and returns when it is to run again, on the clock of
        `time.monotonic()`, or None. It must not wait.
        """
        self.loop, self._pull = loop, pull
        self._due = False
        self._timer: Timer | None = None
        self._at = 0.0

    def stir(self) -> None:
        """Schedules a run, once all tasks that are ready now have run."""
        if not self._due:
            self._due = True
            self.loop.call_soon(self._run)

    def _run(self) -> None:
        self._due = False
        wake = self._pull()
        # An earlier timer is left in place: it causes at most one run without anything to do.
        if wake is not None and (self._timer is None or self._timer.call is None or wake < self._at):
            if self._timer is not None:
                self.loop.timers.cancel(self._timer)
            self._timer, self._at = self.loop.call_at(wake, self.stir), wake
