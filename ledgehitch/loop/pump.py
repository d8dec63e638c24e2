"""Coalesces the inputs of one turn of the loop into one run of a decision function."""

from collections.abc import Callable

from ledgehitch.loop.kernel import Loop
from ledgehitch.loop.timers import Timer


class Pump:
    """Runs a decision function after new input, and when the function asked to run again."""

    def __init__(self, loop: Loop, run_decisions: Callable[[], float | None]) -> None:
        """Starts idle.

        `run_decisions` carries out all pending decisions and returns when it is to run again, on the clock of
        `time.monotonic()`, or None. It must not wait.
        """
        self.loop, self._run_decisions = loop, run_decisions
        self._scheduled = False
        self._timer: Timer | None = None
        self._timer_at = 0.0

    def schedule(self) -> None:
        """Schedules a run, once all tasks that are ready now have run."""
        if not self._scheduled:
            self._scheduled = True
            self.loop.call_soon(self._run)

    def _run(self) -> None:
        self._scheduled = False
        wake_at = self._run_decisions()
        # An earlier timer is left in place: it causes at most one run without anything to do.
        if wake_at is not None and (
            self._timer is None or self._timer.call is None or wake_at < self._timer_at
        ):
            if self._timer is not None:
                self.loop.timers.cancel(self._timer)
            self._timer, self._timer_at = self.loop.call_at(wake_at, self.schedule), wake_at
