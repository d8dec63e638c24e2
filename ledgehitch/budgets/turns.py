"""Whose turn it is where fewer whole things may be lent than are asked for. Free of I/O, clock and chance.

Who was lent one keeps it for a turn while it wants it; then those who have none come first, who has waited
longest before the others. So each of `n` who go on asking is given one of `k` within n / k turns, rounded up,
and the time that those before it take to give theirs back. Own things need no turn: who has one comes last.
"""

from collections.abc import Mapping


class Turns:
    def __init__(self, term: int, seconds: float) -> None:
        """`term`: of the lender; equal ones take their turns in another order under another term. `seconds`:
        that a turn lasts."""
        self.term, self.seconds = term, seconds
        self._began: dict[int, float] = {}  # when who is to have one was first lent it
        self._waits: dict[int, float] = {}  # since when who has none wants one

    def order(
        self, now: float, wanted: Mapping[int, int], own: Mapping[int, int], loans: Mapping[int, int]
    ) -> list[int]:
        """Who is to have one, first to last. `loans`: as they were divided before."""
        most = max(wanted, default=0) + 1

        def place(m: int) -> tuple[bool, bool, float, int, int, int]:
            has = loans.get(m, 0) > 0
            turn = has and wanted[m] > 0 and now < self._began.get(m, now) + self.seconds
            waits = self._waits.get(m, now)
            return own.get(m, 0) > 0, not turn, waits, -loans.get(m, 0), -wanted[m], (m - self.term) % most

        return sorted(wanted, key=place)

    def begins(self, now: float, member: int) -> None:
        """What is lent is in its hands from about now on."""
        self._began.setdefault(member, now)

    def divided(
        self, now: float, wanted: Mapping[int, int], own: Mapping[int, int], loans: Mapping[int, int]
    ) -> None:
        """It was divided anew: who is to have one, and who waits."""
        self._began = {m: at for m, at in self._began.items() if loans.get(m, 0) > 0}
        self._waits = {
            m: self._waits.get(m, now)
            for m, want in wanted.items()
            if want > 0 and not own.get(m, 0) and not loans.get(m, 0)
        }
