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
        self._turn_started: dict[int, float] = {}  # when who is to have one was first lent it
        self._waiting_since: dict[int, float] = {}  # since when who has none wants one

    def order(
        self, now: float, wanted: Mapping[int, int], own: Mapping[int, int], loans: Mapping[int, int]
    ) -> list[int]:
        """Who is to have one, first to last. `loans`: as they were divided before."""
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
        """What is lent is in its hands from about now on."""
        self._turn_started.setdefault(member, now)

    def on_division(
        self, now: float, wanted: Mapping[int, int], own: Mapping[int, int], loans: Mapping[int, int]
    ) -> None:
        """It was divided anew: who is to have one, and who waits."""
        self._turn_started = {m: at for m, at in self._turn_started.items() if loans.get(m, 0) > 0}
        self._waiting_since = {
            m: self._waiting_since.get(m, now)
            for m, want in wanted.items()
            if want > 0 and not own.get(m, 0) and not loans.get(m, 0)
        }
