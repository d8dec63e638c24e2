"""Fixed-size state keyed by hashes of names: the cell of a name, and a filter of recent keys. Free of I/O."""

from typing import Any

from blake3 import blake3
from rbloom import Bloom


def cell_of(secret: bytes, epoch: int, name: bytes, cells: int) -> int:
    """Returns the cell, below `cells`, that a name shares with other names for an epoch.

    Without the secret nobody can choose a name that falls into a given cell.
    """
    digest = blake3(epoch.to_bytes(8, "big", signed=True) + name, key=secret).digest(4)
    return int.from_bytes(digest, "big") % cells


class CellHash:
    """Maps names that are keyed hashes already to cells, as `cell_of` does for other names.

    It multiplies with a factor of the epoch, so that a name costs no further hash. Which names share a cell
    changes with each epoch.
    """

    def __init__(self, secret: bytes, cells: int) -> None:
        self._secret, self._cells = secret, cells
        self._factor = 1

    def start_epoch(self, epoch: int) -> None:
        digest = blake3(epoch.to_bytes(8, "big", signed=True), key=self._secret).digest(8)
        self._factor = int.from_bytes(digest, "big") | 1

    def cell_of(self, name: bytes) -> int:
        mixed = int.from_bytes(name, "big") * self._factor & 0xFFFFFFFFFFFFFFFF
        return (mixed >> 32) * self._cells >> 32


class RecentKeys:
    """A filter of the keys seen last: at least `capacity` and less than twice as many.

    A share of at most `error_rate` of the keys that were never seen is reported as seen.
    """

    def __init__(self, capacity: int, error_rate: float) -> None:
        self.capacity, self.error_rate = capacity, error_rate
        self._newer, self._older = (
            Bloom(capacity, error_rate, _stable_hash),
            Bloom(capacity, error_rate, _stable_hash),
        )
        self._count = 0  # keys in the newer filter

    def check_and_add(self, key: bytes) -> bool:
        """Returns whether a key was seen before, and records it."""
        if key in self._newer or key in self._older:
            return True
        self._newer.add(key)
        self._count += 1
        if self._count >= self.capacity:
            self._newer, self._older, self._count = (
                Bloom(self.capacity, self.error_rate, _stable_hash),
                self._newer,
                0,
            )
        return False

    def snapshot(self) -> list[Any]:
        """Returns the state as plain values that `restore` takes."""
        return [self._count, self._newer.save_bytes(), self._older.save_bytes()]

    def restore(self, snapshot: list[Any]) -> None:
        count, newer, older = snapshot
        self._newer, self._older = (
            Bloom.load_bytes(newer, _stable_hash),
            Bloom.load_bytes(older, _stable_hash),
        )
        self._count = int(count)


def _stable_hash(key: Any) -> int:
    """Returns a hash that is the same in every process; Python's own of bytes is not."""
    return int.from_bytes(blake3(key).digest(16), "big", signed=True)
