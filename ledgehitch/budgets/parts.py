"""When the part counts that a gateway has without a loan, and what may be lent while the list of gateways
changes. Free of I/O, clock and chance.
"""

from collections.abc import Mapping, Sequence, Set

from ledgehitch.budgets.facts import WHOLE, Budget, loan_duration
from ledgehitch.budgets.units import lendable_in_all_versions, smallest_own_parts
from ledgehitch.owners.facts import MemberLists, vote_duration

LONG_AGO = -1e18
UNNUMBERED = -1  # a gateway that this version does not number: it cannot speak, and may hold a former loan


class OwnPart:
    """The parts of one gateway that need nobody. Times are of the clock that leases go by, in seconds."""

    def __init__(
        self, now: float, lists: MemberLists, me: str, budgets: Sequence[Budget], share: int = WHOLE
    ) -> None:
        self.lists, self.me = lists, me
        self._list_changed_at, self._started_at = now, now
        self._joined_at: float | None = None
        self._former_parts: dict[str, int] = {}  # of each budget, when the list changed last
        self.set_budgets(budgets, share)

    def set_budgets(self, budgets: Sequence[Budget], share: int = WHOLE) -> None:
        """Other budgets, other wholes, or another share of them: at once."""
        self.budgets, self.share = tuple(budgets), share
        self._recalculate()

    def on_list_change(self, now: float, lists: MemberLists) -> None:
        """A change of the list that has settled, or has begun to be one."""
        self._former_parts = {
            b.name: self._limit_during_change(now, i, self._parts[False][i])
            for i, b in enumerate(self.budgets)
        }
        self.lists, self._list_changed_at = lists, now
        self._recalculate()

    def _recalculate(self) -> None:
        """Once for each change, as it is asked before each offer."""
        none = (0,) * len(self.budgets)
        self._parts = {
            conservative: smallest_own_parts(self.budgets, self.lists, conservative, self.share).get(
                self.me, none
            )
            for conservative in (False, True)
        }

    def parts_at(self, now: float, joined: bool, had_part: bool) -> tuple[int, ...]:
        """Parts of the whole of each budget. `joined`: whether it counts among the others; `had`: whether it,
        or nobody, had a part before this life.

        Guards against a newcomer taking a part that others still have: it waits until those that it heard go
        by its list, and as long as a loan of the lender before may last. What was begun under a part may go
        on after it for the lag of its budget: so long, too, waits who has it next, be it another life of the
        same gateway."""
        if not joined:
            self._joined_at = None
            return (0,) * len(self.budgets)
        if self._joined_at is None:
            self._joined_at = LONG_AGO if had_part else now
        longest = vote_duration(loan_duration(self.lists.max_recorded_lease()))
        parts = []
        for i, budget in enumerate(self.budgets):
            lag = vote_duration(budget.lag)
            if now < max(self._joined_at + longest, self._started_at) + lag:
                parts.append(0)
            else:
                # Guards against a larger own part beside what was lent while it was smaller.
                part = self._parts[now < self._list_changed_at + longest + lag][i]
                parts.append(self._limit_during_change(now, i, part))
        return tuple(parts)

    def _limit_during_change(self, now: float, number: int, part: int) -> int:
        """Guards against a thing that has come here with a change beside what was begun where it was."""
        budget = self.budgets[number]
        changing = now < self._list_changed_at + vote_duration(budget.lag)
        return min(part, self._former_parts.get(budget.name, part)) if changing else part


def lending_terms(
    budgets: Sequence[Budget],
    lists: MemberLists,
    gone: Set[str],
    numbers: Mapping[str, int],
    share: int = WHOLE,
) -> tuple[dict[int, tuple[int, ...]], tuple[int, ...], set[int]]:
    """Own parts of each gateway by its number in `numbers`, what may be lent of each budget, and which
    gateways count; `gone`: declared gone for good. While a change of the list is not settled own parts are
    the smaller ones of both versions, the larger sum of them is not lent, and the gateways of both count: its
    majority is one of both, so that nobody else lends by either. `share`: parts of the whole that this list's
    scope has."""
    members = {numbers.get(name, UNNUMBERED) for name in {*lists.current, *lists.former} - gone}
    own = {
        numbers[name]: parts
        for name, parts in smallest_own_parts(budgets, lists, share=share).items()
        if name in numbers
    }
    return own, lendable_in_all_versions(budgets, lists, share), members
