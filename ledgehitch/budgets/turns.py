"""Round-robin turns when more units are wanted than may be lent. Free of I/O, clocks and random numbers.

A borrower keeps a lent unit for one turn while it wants it. Then borrowers without a unit come first, the
longest waiting ones before the others. So each of `n` that keep asking gets one of `k` units within n / k
turns, rounded up, plus the time that those before it take to return theirs. Borrowers with own units come
last.
"""

from collections.abc import Mapping


class Turns:
    """The turns of one budget's borrowers under one term."""

    def __init__(self, term: int, seconds: float) -> None:
        """`term`: of the lender; it rotates the order of equal borrowers. `seconds`: of one turn."""
        self.term, self.seconds = term, seconds
        self._turn_started: dict[int, float] = {}  # by borrower with a unit
        self._waiting_since: dict[int, float] = {}  # by borrower without one

    def order(
        self, now: float, wanted: Mapping[int, int], own: Mapping[int, int], loans: Mapping[int, int]
    ) -> list[int]:
        """Returns the borrowers by priority. `loans`: by the previous division."""
        modulus = max(wanted, default=0) + 1

        def sort_key(member: int) -> tuple[bool, bool, float, int, int, int]:
            has_loan = loans.get(member, 0) > 0
            in_turn = (
                has_loan and wanted[member] > 0 and now < self._turn_started.get(member, now) + self.seconds
            )
            waits = self._waiting_since.get(member, now)
            return (
                own.get(member, 0) > 0,
                not in_turn,
                waits,
                -loans.get(member, 0),
                -wanted[member],
                (member - self.term) % modulus,
            )

        return sorted(wanted, key=sort_key)

    def on_lent(self, now: float, member: int) -> None:
        """Starts a borrower's turn when its unit is first lent."""
        self._turn_started.setdefault(member, now)

    def on_division(
        self, now: float, wanted: Mapping[int, int], own: Mapping[int, int], loans: Mapping[int, int]
    ) -> None:
        """Updates turns and waiting times after a new division."""
        self._turn_started = {m: at for m, at in self._turn_started.items() if loans.get(m, 0) > 0}
        self._waiting_since = {
            m: self._waiting_since.get(m, now)
            for m, want in wanted.items()
            if want > 0 and not own.get(m, 0) and not loans.get(m, 0)
        }
