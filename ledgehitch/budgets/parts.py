"""When the part counts that a gateway has without a loan, and what may be lent while the list of gateways
changes. Free of I/O, clock and chance.
"""

from collections.abc import Mapping, Set

from ledgehitch.budgets.facts import WHOLE, loan_of
from ledgehitch.owners.facts import Lists, promise_of

LONG_AGO = -1e18
NOBODYS = -1  # a gateway that this version does not number: it cannot speak, and may hold a former loan


class OwnPart:
    """The part of one gateway that needs nobody. Times are of the clock that leases go by, in seconds."""

    def __init__(self, now: float, lists: Lists) -> None:
        self.lists = lists
        self._listed_at = now
        self._joined_at: float | None = None

    def listed(self, now: float, lists: Lists) -> None:
        """A change of the list that has settled, or has begun to be one."""
        self.lists, self._listed_at = lists, now

    def at(self, now: float, joined: bool, had: bool) -> int:
        """Parts of the whole. `joined`: whether it counts among the others; `had`: whether it, or nobody, had
        a part before this life.

        Guards against a newcomer taking a part that others still have: it waits until those that it heard go
        by its list, and as long as a loan of the lender before may last."""
        if not joined:
            self._joined_at = None
            return 0
        if self._joined_at is None:
            self._joined_at = LONG_AGO if had else now
        longest = promise_of(loan_of(self.lists.any_lease()))
        if now < self._joined_at + longest:
            return 0
        # Guards against a larger own part beside what was lent while it was smaller.
        return int(self.lists.own_share(surely=now < self._listed_at + longest) * WHOLE)


def lent_by(lists: Lists, gone: Set[str], numbers: Mapping[str, int]) -> tuple[int, int, set[int]]:
    """Own part of each, what may be lent, and which gateways count, by their `numbers`; `gone`: declared gone
    for good. While a change of the list is not settled that is the larger own part of both versions, and the
    gateways of both: its majority is one of both, so that nobody else lends by either."""
    members = {numbers.get(name, NOBODYS) for name in {*lists.current, *lists.former} - gone}
    return int(lists.own_share() * WHOLE), int((1.0 - lists.most_own_part()) * WHOLE), members
