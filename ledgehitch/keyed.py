"""State of fixed size by hashes of names: which cell a name falls into, what was seen before. Free of I/O."""

from typing import Any

from blake3 import blake3
from rbloom import Bloom


def cell_of(secret: bytes, era: int, name: bytes, cells: int) -> int:
    """The cell that a name shares with others for an era; nobody without the secret can aim at one."""
    digest = blake3(era.to_bytes(8, "big", signed=True) + name, key=secret).digest(4)
    return int.from_bytes(digest, "big") % cells


class CellHash:
    """As `cell_of`, for names that are keyed hashes already: by multiplication with a number that each era
    has of its own, so that a name costs no hash. Which two share a cell is drawn anew with each era."""

    def __init__(self, secret: bytes, cells: int) -> None:
        self._secret, self._cells = secret, cells
        self._factor = 1

    def start_epoch(self, era: int) -> None:
        digest = blake3(era.to_bytes(8, "big", signed=True), key=self._secret).digest(8)
        self._factor = int.from_bytes(digest, "big") | 1

    def cell_of(self, name: bytes) -> int:
        mixed = int.from_bytes(name, "big") * self._factor & 0xFFFFFFFFFFFFFFFF
        return (mixed >> 32) * self._cells >> 32


class RecentKeys:
    """Keys that were seen: the last `most` to twice as many, of `error` of the others wrongly said so."""

    def __init__(self, most: int, error: float) -> None:
        self.most, self.error = most, error
        self._new, self._old = Bloom(most, error, _hash), Bloom(most, error, _hash)
        self._count = 0  # in the newer filter

    def check_and_add(self, key: bytes) -> bool:
        """Whether it was seen; from now on it was."""
        if key in self._new or key in self._old:
            return True
        self._new.add(key)
        self._count += 1
        if self._count >= self.most:
            self._new, self._old, self._count = Bloom(self.most, self.error, _hash), self._new, 0
        return False

    def snapshot(self) -> list[Any]:
        return [self._count, self._new.save_bytes(), self._old.save_bytes()]

    def restore(self, held: list[Any]) -> None:
        count, new, old = held
        self._new, self._old = Bloom.load_bytes(new, _hash), Bloom.load_bytes(old, _hash)
        self._count = int(count)


def _hash(key: Any) -> int:
    """The same in every process: what Python hashes bytes to is not."""
    return int.from_bytes(blake3(key).digest(16), "big", signed=True)
