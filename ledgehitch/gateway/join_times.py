"""Join times of the last half to whole minute, in histograms of fixed size."""

from hdrh.histogram import HdrHistogram

INTERVAL_S = 30.0  # covered by one histogram
MAX_JOIN_MS = 60_000  # longer joins are recorded as this


class JoinTimes:
    """Records join times in two histograms, one for the current interval and one for the previous."""

    def __init__(self) -> None:
        self._current_since = 0.0
        self._current, self._previous = _empty_histogram(), _empty_histogram()

    def record(self, now: float, duration_s: float) -> None:
        self._rotate(now)
        self._current.record_value(max(1, min(MAX_JOIN_MS, round(duration_s * 1000))))

    def _rotate(self, now: float) -> None:
        if now - self._current_since >= INTERVAL_S:
            self._previous = (
                self._current if now - self._current_since < 2 * INTERVAL_S else _empty_histogram()
            )
            self._current, self._current_since = _empty_histogram(), now

    def percentiles_ms(self, now: float) -> dict[str, float]:
        """Returns the median and the 99th percentile over both intervals, in ms; empty without joins."""
        self._rotate(now)
        both = _empty_histogram()
        both.add(self._current)
        both.add(self._previous)
        if not both.get_total_count():
            return {}
        return {str(q): float(both.get_value_at_percentile(q)) for q in (50, 99)}


def _empty_histogram() -> HdrHistogram:
    return HdrHistogram(1, MAX_JOIN_MS, 2)
