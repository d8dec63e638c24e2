"""When a gateway may use its own part, and what may be lent while the list of gateways changes.

Free of I/O, clocks and random numbers.
"""

from collections.abc import Mapping, Sequence, Set

from ledgehitch.budgets.facts import WHOLE, Budget, loan_duration
from ledgehitch.budgets.units import lendable_in_all_versions, smallest_own_parts
from ledgehitch.owners.facts import MemberLists, vote_duration

LONG_AGO = -1e18
UNNUMBERED = -1  # a gateway without a number in this version: it cannot send, but may hold a former loan


class OwnPart:
    """The parts that one gateway has without a loan. Times are seconds of the clock used for leases."""

    def __init__(
        self, now: float, lists: MemberLists, me: str, budgets: Sequence[Budget], share: int = WHOLE
    ) -> None:
        self.lists, self.me = lists, me
        self._list_changed_at, self._started_at = now, now
        self._joined_at: float | None = None
        self._former_parts: dict[str, int] = {}  # by budget, at the last change of the list
        self.set_budgets(budgets, share)

    def set_budgets(self, budgets: Sequence[Budget], share: int = WHOLE) -> None:
        """Sets other budgets, wholes or a share of them, effective at once."""
        self.budgets, self.share = tuple(budgets), share
        self._recalculate()

    def on_list_change(self, now: float, lists: MemberLists) -> None:
        """Handles a change of the list that has begun or settled."""
        self._former_parts = {
            b.name: self._limit_during_change(now, i, self._parts[False][i])
            for i, b in enumerate(self.budgets)
        }
        self.lists, self._list_changed_at = lists, now
        self._recalculate()

    def _recalculate(self) -> None:
        """Computes the parts once per change, since `parts_at` is called before each offer."""
        none = (0,) * len(self.budgets)
        self._parts = {
            conservative: smallest_own_parts(self.budgets, self.lists, conservative, self.share).get(
                self.me, none
            )
            for conservative in (False, True)
        }

    def parts_at(self, now: float, joined: bool, had_part: bool) -> tuple[int, ...]:
        """Returns the own parts of the whole of each budget.

        `joined`: whether the others count this gateway. `had_part`: whether it, or no gateway, had a part
        before this life. A newcomer must not take a part that others still have: it waits until the members
        that it heard use its list, and for the longest loan of the lender before. Use begun under a part may
        continue for the lag of its budget, so the next holder waits that long, too, even if it is another
        life of the same gateway."""
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
                # A larger own part waits until what was lent while it was smaller has ended.
                part = self._parts[now < self._list_changed_at + longest + lag][i]
                parts.append(self._limit_during_change(now, i, part))
        return tuple(parts)

    def _limit_during_change(self, now: float, number: int, part: int) -> int:
        """Limits a part to its former size until use begun by the former holder of a unit has ended."""
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
    """Returns the own parts by gateway number, the lendable parts of each budget, and the numbers of all
    members.

    `gone`: gateways declared gone for good. `share`: parts of the whole of this list's scope. While a change
    of the list is not settled, own parts are the smaller ones of both versions, the larger sum of them is not
    lent, and the gateways of both are members: an election needs a majority of both, so no other gateway
    lends by either version."""
    members = {numbers.get(name, UNNUMBERED) for name in {*lists.current, *lists.former} - gone}
    own = {
        numbers[name]: parts
        for name, parts in smallest_own_parts(budgets, lists, share=share).items()
        if name in numbers
    }
    return own, lendable_in_all_versions(budgets, lists, share), members
