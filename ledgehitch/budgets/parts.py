"""When the part counts that a gateway has without a loan, and what may be lent while the list of gateways
changes. Free of I/O, clock and chance.
"""

from collections.abc import Mapping, Sequence, Set

from ledgehitch.budgets.facts import WHOLE, Budget, loan_of
from ledgehitch.budgets.units import lent_beside, smallest_own
from ledgehitch.owners.facts import Lists, promise_of

LONG_AGO = -1e18
NOBODYS = -1  # a gateway that this version does not number: it cannot speak, and may hold a former loan


class OwnPart:
    """The parts of one gateway that need nobody. Times are of the clock that leases go by, in seconds."""

    def __init__(
        self, now: float, lists: Lists, me: str, budgets: Sequence[Budget], share: int = WHOLE
    ) -> None:
        self.lists, self.me = lists, me
        self._listed_at, self._began = now, now
        self._joined_at: float | None = None
        self._before: dict[str, int] = {}  # of each budget, when the list changed last
        self.placed(budgets, share)

    def placed(self, budgets: Sequence[Budget], share: int = WHOLE) -> None:
        """Other budgets, other wholes, or another share of them: at once."""
        self.budgets, self.share = tuple(budgets), share
        self._reckoned()

    def listed(self, now: float, lists: Lists) -> None:
        """A change of the list that has settled, or has begun to be one."""
        self._before = {
            b.name: self._least(now, i, self._parts[False][i]) for i, b in enumerate(self.budgets)
        }
        self.lists, self._listed_at = lists, now
        self._reckoned()

    def _reckoned(self) -> None:
        """Once for each change, as it is asked before each offer."""
        none = (0,) * len(self.budgets)
        self._parts = {
            surely: smallest_own(self.budgets, self.lists, surely, self.share).get(self.me, none)
            for surely in (False, True)
        }

    def at(self, now: float, joined: bool, had: bool) -> tuple[int, ...]:
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
            self._joined_at = LONG_AGO if had else now
        longest = promise_of(loan_of(self.lists.any_lease()))
        out = []
        for i, budget in enumerate(self.budgets):
            lag = promise_of(budget.lag)
            if now < max(self._joined_at + longest, self._began) + lag:
                out.append(0)
            else:
                # Guards against a larger own part beside what was lent while it was smaller.
                part = self._parts[now < self._listed_at + longest + lag][i]
                out.append(self._least(now, i, part))
        return tuple(out)

    def _least(self, now: float, number: int, part: int) -> int:
        """Guards against a thing that has come here with a change beside what was begun where it was."""
        budget = self.budgets[number]
        changing = now < self._listed_at + promise_of(budget.lag)
        return min(part, self._before.get(budget.name, part)) if changing else part


def lent_by(
    budgets: Sequence[Budget], lists: Lists, gone: Set[str], numbers: Mapping[str, int], share: int = WHOLE
) -> tuple[dict[int, tuple[int, ...]], tuple[int, ...], set[int]]:
    """Own parts of each gateway by its number in `numbers`, what may be lent of each budget, and which
    gateways count; `gone`: declared gone for good. While a change of the list is not settled own parts are
    the smaller ones of both versions, the larger sum of them is not lent, and the gateways of both count: its
    majority is one of both, so that nobody else lends by either. `share`: parts of the whole that this list's
    scope has."""
    members = {numbers.get(name, NOBODYS) for name in {*lists.current, *lists.former} - gone}
    own = {
        numbers[name]: parts
        for name, parts in smallest_own(budgets, lists, share=share).items()
        if name in numbers
    }
    return own, lent_beside(budgets, lists, share), members
