"""The heaviest clients, in a sketch of fixed size with a stated error. Free of I/O and clock."""

from datasketches import frequent_items_error_type, frequent_strings_sketch

LOG_SIZE = 12  # of the table: 4,096 entries
PERIOD = 10.0  # seconds of one sketch; two are kept


class Heavy:
    """Counts of clients over the last 10 to 20 s. A count is too high or low by `error()` at most."""

    def __init__(self) -> None:
        self._period = -1
        self._now, self._before = frequent_strings_sketch(LOG_SIZE), frequent_strings_sketch(LOG_SIZE)

    def asked(self, now: float, name: bytes) -> None:
        period = int(now // PERIOD)
        if period > self._period:
            kept = self._now if period == self._period + 1 else frequent_strings_sketch(LOG_SIZE)
            self._before, self._now, self._period = kept, frequent_strings_sketch(LOG_SIZE), period
        self._now.update(name.hex())

    def count(self, name: bytes) -> int:
        """At least how often it asked."""
        key = name.hex()
        return int(self._now.get_lower_bound(key) + self._before.get_lower_bound(key))

    def total(self) -> int:
        return int(self._now.total_weight + self._before.total_weight)

    def error(self) -> float:
        return float(frequent_strings_sketch.get_epsilon_for_lg_size(LOG_SIZE) * self.total())

    def heaviest(self, most: int = 100) -> list[tuple[str, int]]:
        """The heaviest clients and how often they asked, heaviest first."""
        both = frequent_strings_sketch(LOG_SIZE)
        both.merge(self._now)
        both.merge(self._before)
        found = both.get_frequent_items(frequent_items_error_type.NO_FALSE_NEGATIVES)
        return [(str(name), int(n)) for name, n, *_ in found[:most]]

    def frozen(self) -> list[bytes]:
        return [self._now.serialize(), self._before.serialize()]

    def thawed(self, now: float, held: list[bytes]) -> None:
        self._now, self._before = (frequent_strings_sketch.deserialize(raw) for raw in held)
        self._period = int(now // PERIOD)
