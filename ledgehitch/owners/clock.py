"""Compares the clock used for leases with a second one, to detect faults. Free of I/O.

The lease clock continues while the machine is suspended, the second one may not. So the lease clock is at
fault only when it runs *slower* than the second, stands still or jumps back: it would keep an expired lease.
"""

from ledgehitch.owners.facts import MAX_CLOCK_DRIFT

CHECK_INTERVAL_S = 1.0  # by the second clock
READING_TOLERANCE_S = 0.02  # by which two readings of the same moment may differ


class ClockCheck:
    """Judges a clock from pairs of readings."""

    def __init__(self, first: float, second: float) -> None:
        self._first, self._second, self._latest = first, second, first
        self.is_good = True

    def check(self, first: float, second: float) -> bool:
        """Returns whether the first clock can be trusted; after a fault, once a whole interval was right."""
        if first < self._latest:
            self.is_good = False
            self._first, self._second = first, second
        self._latest = first
        elapsed = second - self._second
        if elapsed >= CHECK_INTERVAL_S:
            self.is_good = first - self._first >= elapsed * (1.0 - MAX_CLOCK_DRIFT) - READING_TOLERANCE_S
            self._first, self._second = first, second
        return self.is_good
