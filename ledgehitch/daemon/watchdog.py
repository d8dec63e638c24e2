"""A watchdog that exits the process when its event loop stalls, and logs the stack.

The timer counts the CPU time of the process: a process that is suspended or waits for work is not ended, one
that computes without returning to its event loop is.
"""

import os
import signal
import traceback
from collections.abc import Callable
from types import FrameType

STALLED_EXIT_CODE = 70


class Watchdog:
    """Watches the event loop of this process; uses SIGPROF."""

    def __init__(self, seconds: float, report: Callable[[str], None]) -> None:
        """`seconds`: CPU time that may pass between two calls of `heartbeat`. `report`: gets the stack."""
        self.seconds, self.report = seconds, report
        self._previous_handler = signal.signal(signal.SIGPROF, self._on_stall)
        self.heartbeat()

    def heartbeat(self) -> None:
        """Restarts the timer; call it from the event loop."""
        signal.setitimer(signal.ITIMER_PROF, self.seconds)

    def stop(self) -> None:
        """Stops the timer and restores the previous signal handler."""
        signal.setitimer(signal.ITIMER_PROF, 0.0)
        signal.signal(signal.SIGPROF, self._previous_handler)

    def _on_stall(self, _: int, frame: FrameType | None) -> None:
        stack = "".join(traceback.format_stack(frame, 8)) if frame is not None else ""
        self.report(f"event loop stalled for {self.seconds:g} s of CPU time, exiting\n{stack}")
        os._exit(STALLED_EXIT_CODE)
