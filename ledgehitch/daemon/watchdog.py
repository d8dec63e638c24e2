"""Ends a process whose loop stands still, with the place where it stood in the log.

The timer counts the process's own CPU time: one that was stopped from outside, or that waits for work, is not
ended; one that computes without ever coming back to its loop is.
"""

import os
import signal
import traceback
from collections.abc import Callable
from types import FrameType

STOOD_STILL = 70  # exit code


class Watchdog:
    def __init__(self, seconds: float, tell: Callable[[str], None]) -> None:
        """`seconds` of CPU that may pass between two calls of `sign`."""
        self.seconds, self.tell = seconds, tell
        self._before = signal.signal(signal.SIGPROF, self._bark)
        self.sign()

    def sign(self) -> None:
        signal.setitimer(signal.ITIMER_PROF, self.seconds)

    def stop(self) -> None:
        signal.setitimer(signal.ITIMER_PROF, 0.0)
        signal.signal(signal.SIGPROF, self._before)

    def _bark(self, _: int, frame: FrameType | None) -> None:
        stood = "".join(traceback.format_stack(frame, 8)) if frame is not None else ""
        self.tell(f"the loop stood still for {self.seconds:g} s of CPU, the process ends\n{stood}")
        os._exit(STOOD_STILL)
