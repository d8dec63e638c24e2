"""How many gateways share the fleet's limits. Free of I/O, clock and chance.

The safe side: without news a gateway's part is that of the stated number, though others are dead. Who left
for good in words of its own makes the others' parts larger, on loan: the loan is renewed only while most of
the stated number answer that they know of the same leavers. Who comes back after it had left takes no part
until most have promised to know it, on disk, and the longest loan that may be out has ended. Any two
majorities have a member in common, so that no loan is renewed past a return (`explore.py` goes through the
interleavings).
"""

from collections.abc import Sequence

Left = tuple[tuple[int, int], ...]


class Parts:
    def __init__(self, me: int, stated: int, loan: float, comes_back: bool) -> None:
        """`loan`: seconds that a larger part lasts from the asking of the answers it goes by. `comes_back`:
        this gateway had left, and has taken no part since."""
        self.me, self.stated, self.loan = me, stated, loan
        self.most = stated // 2 + 1
        self._agreed: dict[
            int, tuple[float, Left]
        ] = {}  # by who answered: when it was asked, leavers it knew
        self.returning = comes_back
        self._promised: dict[int, float] = {}  # by who promised: when its answer came

    def answered(self, member: int, asked_at: float, left: Left) -> None:
        """A member answered a question that was sent at `asked_at`, and knows of these leavers."""
        known = self._agreed.get(member)
        if known is None or asked_at >= known[0]:
            self._agreed[member] = asked_at, left

    def promise(self, now: float, member: int) -> None:
        """A member has promised, on disk, to know that this gateway is back."""
        self._promised.setdefault(member, now)

    def back_at(self) -> float | None:
        """When one that returns may take its part; None while too few have promised."""
        if len(self._promised) + 1 < self.most:
            return None
        needed = sorted(self._promised.values())[: self.most - 1]
        return (needed[-1] if needed else 0.0) + self.loan

    def may_take(self, now: float) -> bool:
        """Whether this gateway takes a part at all; once it does, it is not returning any more."""
        if self.returning:
            at = self.back_at()
            self.returning = at is None or now <= at
        return not self.returning

    def until(self, left: Left) -> float:
        """Up to when it may be counted on that these have left; in the past without a majority."""
        asked = sorted((at for at, known in self._agreed.values() if known == left), reverse=True)
        if self.most == 1:
            return float("inf")
        return asked[self.most - 2] + self.loan if len(asked) >= self.most - 1 else 0.0

    def sharing(self, now: float, left: Left) -> int:
        """By how many a limit of the fleet is divided; 0 where this gateway takes none of it."""
        if not self.may_take(now):
            return 0
        return self.stated - len(left) if left and now < self.until(left) else self.stated


def agreed(shares: Sequence[int]) -> bool:
    """Whether parts of 1/n for each n that is not 0 are no more than the whole."""
    return sum(1.0 / n for n in shares if n) <= 1.0 + 1e-9
