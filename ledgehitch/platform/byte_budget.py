"""A share of the memory for the bytes that many connections hold together. Free of I/O."""

from collections.abc import Iterator
from typing import Generic, TypeVar

Holder = TypeVar("Holder")


class ByteBudget(Generic[Holder]):
    """Counts the bytes that each holder holds, and tells when all of them together hold too many.

    It never refuses bytes: whoever adds them asks `exceeded` afterwards and chooses who gives way.
    """

    def __init__(self, limit: int, limit_each: int) -> None:
        """`limit`: bytes of all holders together; `limit_each`: bytes of a single one."""
        self.limit, self.limit_each = limit, limit_each
        self.total = 0
        self._held: dict[Holder, int] = {}

    def hold(self, holder: Holder, size: int) -> None:
        """Sets the bytes that a holder holds; with 0 it is forgotten."""
        self.total += size - self._held.get(holder, 0)
        if size:
            self._held[holder] = size
        else:
            self._held.pop(holder, None)

    @property
    def exceeded(self) -> bool:
        """Whether all holders together hold more than the limit."""
        return self.total > self.limit

    def oldest_first(self) -> Iterator[Holder]:
        """Returns the holders, the one that has held bytes for the longest first."""
        return iter(self._held)

    def largest(self) -> Holder:
        """Returns the holder of the most bytes; there must be one."""
        return max(self._held, key=self._held.__getitem__)
