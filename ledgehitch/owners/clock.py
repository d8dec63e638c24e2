"""Whether a clock goes on as it should, judged beside a second one. Free of I/O.

The first goes on while the machine sleeps, the second may not: only the first running *slower* than the
second, standing still or jumping back is wrong; such a clock would keep a lease longer than it lasts.
"""

from ledgehitch.owners.facts import MAX_CLOCK_DRIFT

CHECK_INTERVAL_S = 1.0  # seconds of the second clock between two judgements
READING_TOLERANCE_S = 0.02  # seconds by which two readings of one moment may lie apart


class ClockCheck:
    def __init__(self, first: float, second: float) -> None:
        self._first, self._second, self._latest = first, second, first
        self.is_good = True

    def check(self, first: float, second: float) -> bool:
        """Whether it may be gone by. One that was wrong is trusted again after it went right for a while."""
        if first < self._latest:
            self.is_good = False
            self._first, self._second = first, second
        self._latest = first
        elapsed = second - self._second
        if elapsed >= CHECK_INTERVAL_S:
            self.is_good = first - self._first >= elapsed * (1.0 - MAX_CLOCK_DRIFT) - READING_TOLERANCE_S
            self._first, self._second = first, second
        return self.is_good
