"""Histogram of the delay between due time and run time of timers. Free of I/O and clock."""

from bisect import bisect_left
from itertools import accumulate

EDGES = (0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.25, 0.5, 1.0, 2.0, 5.0)  # seconds
HALVE_AT = 4096  # samples after which all counts are halved, so that old samples lose weight


class Lag:
    """A decaying histogram of delays in seconds."""

    def __init__(self) -> None:
        self.counts = [0.0] * (len(EDGES) + 1)
        self.total = 0.0
        self.worst = 0.0

    def add(self, late: float) -> None:
        """Records that a timer ran `late` seconds after it was due."""
        self.counts[bisect_left(EDGES, late)] += 1
        self.total += 1
        self.worst = max(self.worst, late)
        if self.total >= HALVE_AT:
            self.counts = [n / 2 for n in self.counts]
            self.total = sum(self.counts)

    def quantile(self, q: float) -> float:
        """Returns the upper edge in seconds of the bin with quantile `q`; for the last bin, the maximum."""
        for n, edge in zip(accumulate(self.counts), (*EDGES, self.worst), strict=True):
            if self.total and n >= q * self.total:
                return edge
        return 0.0

    def take_figures(self) -> dict[str, float]:
        """Returns the figures for the log in seconds, and resets the maximum."""
        figures = {"lag_p50": self.quantile(0.5), "lag_p99": self.quantile(0.99), "lag_worst": self.worst}
        self.worst = 0.0
        return figures
