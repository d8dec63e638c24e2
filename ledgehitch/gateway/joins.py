"""How long joins took lately, as a histogram of fixed size for each half minute."""

from hdrh.histogram import HdrHistogram

HALF = 30.0  # seconds
MOST = 60_000  # milliseconds


class Joins:
    def __init__(self) -> None:
        self._since = 0.0
        self._now, self._before = _empty(), _empty()

    def joined(self, now: float, took: float) -> None:
        self._turn(now)
        self._now.record_value(max(1, min(MOST, round(took * 1000))))

    def _turn(self, now: float) -> None:
        if now - self._since >= HALF:
            self._before = self._now if now - self._since < 2 * HALF else _empty()
            self._now, self._since = _empty(), now

    def ms(self, now: float) -> dict[str, float]:
        """The median and the 99th percentile of the last half to whole minute; empty without joins."""
        self._turn(now)
        both = _empty()
        both.add(self._now)
        both.add(self._before)
        if not both.get_total_count():
            return {}
        return {str(q): float(both.get_value_at_percentile(q)) for q in (50, 99)}


def _empty() -> HdrHistogram:
    return HdrHistogram(1, MOST, 2)
