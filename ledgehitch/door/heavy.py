"""Finds the clients with the most requests, in a sketch of fixed size. Free of I/O and clock."""

from datasketches import frequent_items_error_type, frequent_strings_sketch

LOG_SIZE = 12  # binary logarithm of the table size: 4,096 entries
PERIOD_S = 10.0  # seconds that one sketch covers; two sketches are held


class HeavyHitters:
    """Request counts by client over the last 10 to 20 s, each accurate to `error()`."""

    def __init__(self) -> None:
        self._period = -1
        self._current, self._previous = frequent_strings_sketch(LOG_SIZE), frequent_strings_sketch(LOG_SIZE)

    def on_request(self, now: float, name: bytes) -> None:
        period = int(now // PERIOD_S)
        if period > self._period:
            previous = self._current if period == self._period + 1 else frequent_strings_sketch(LOG_SIZE)
            self._previous, self._current, self._period = previous, frequent_strings_sketch(LOG_SIZE), period
        self._current.update(name.hex())

    def count(self, name: bytes) -> int:
        """Returns a lower bound of the client's requests."""
        key = name.hex()
        return int(self._current.get_lower_bound(key) + self._previous.get_lower_bound(key))

    def total(self) -> int:
        return int(self._current.total_weight + self._previous.total_weight)

    def error(self) -> float:
        """Returns the largest possible error of a count."""
        return float(frequent_strings_sketch.get_epsilon_for_lg_size(LOG_SIZE) * self.total())

    def heaviest(self, most: int = 100) -> list[tuple[str, int]]:
        """Returns the clients with the most requests and their counts, in descending order."""
        merged = frequent_strings_sketch(LOG_SIZE)
        merged.merge(self._current)
        merged.merge(self._previous)
        found = merged.get_frequent_items(frequent_items_error_type.NO_FALSE_NEGATIVES)
        return [(str(name), int(n)) for name, n, *_ in found[:most]]

    def snapshot(self) -> list[bytes]:
        return [self._current.serialize(), self._previous.serialize()]

    def restore(self, now: float, serialized: list[bytes]) -> None:
        self._current, self._previous = (frequent_strings_sketch.deserialize(raw) for raw in serialized)
        self._period = int(now // PERIOD_S)
