"""Whether a clock goes on as it should, judged beside a second one. Free of I/O.

The first goes on while the machine sleeps, the second may not: only the first running *slower* than the
second, standing still or jumping back is wrong; such a clock would keep a lease longer than it lasts.
"""

from ledgehitch.owners.facts import RATES

LOOKED_OVER = 1.0  # seconds of the second clock between two judgements
GRAIN = 0.02  # seconds by which two readings of one moment may lie apart


class Clock:
    def __init__(self, first: float, second: float) -> None:
        self._first, self._second, self._latest = first, second, first
        self.good = True

    def read(self, first: float, second: float) -> bool:
        """Whether it may be gone by. One that was wrong is trusted again after it went right for a while."""
        if first < self._latest:
            self.good = False
            self._first, self._second = first, second
        self._latest = first
        gone = second - self._second
        if gone >= LOOKED_OVER:
            self.good = first - self._first >= gone * (1.0 - RATES) - GRAIN
            self._first, self._second = first, second
        return self.good
