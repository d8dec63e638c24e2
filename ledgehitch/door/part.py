"""This gateway's part of what the fleet may do together. Free of I/O and clock.

An own part needs nobody; what is lent beside it, by budget, ends by itself. Limits hold in sum though nobody
is asked. Where things are counted, parts are whole things.
"""

from collections.abc import Mapping

WHOLE = 1_000_000_000  # parts of every budget, whatever its unit: a share goes on when the whole is changed
MOST_COUNTED = 31_622  # up to here WHOLE // (WHOLE // n) is n, so that no sum of whole things is above n
MOST_HELD = 16  # answers that are held: another whole after each of many reloads


def grain_of(whole: int) -> int:
    """Parts that are one whole thing of so many. 1 where they are more than `MOST_COUNTED`: a part that is
    not a whole thing costs less than one in thousands there."""
    return WHOLE // whole if 1 <= whole <= MOST_COUNTED else 1


def things(parts: int, whole: int) -> int:
    """How many whole things these parts of so many are."""
    grain = grain_of(whole)
    return parts // grain if grain > 1 else parts * whole // WHOLE


class Part:
    def __init__(self, own: float) -> None:
        """`own`: of each whole, 0 to 1."""
        self.own = own
        self.by_budget: dict[str, float] = {}  # own parts of budgets of which a gateway has its own figure
        self.lent: dict[str, float] = {}
        self.until = -1e18  # end of what is lent
        self._things: dict[tuple[str, int, bool], int] = {}  # as they were asked for, until it is told anew

    def told(
        self,
        own: float,
        lent: Mapping[str, float],
        until: float,
        by_budget: Mapping[str, float] | None = None,
    ) -> None:
        self.own, self.lent, self.until, self.by_budget = own, dict(lent), until, dict(by_budget or {})
        self._things = {}

    def share(self, now: float, budget: str) -> float:
        """Of the whole of a budget, now."""
        own = self.by_budget.get(budget, self.own)
        return own + (self.lent.get(budget, 0.0) if now < self.until else 0.0)

    def things(self, now: float, budget: str, whole: int) -> int:
        """Of so many things of a budget, how many are this gateway's now."""
        asked = budget, whole, now < self.until
        found = self._things.get(asked)
        if found is None:
            if len(self._things) >= MOST_HELD:
                self._things = {}
            self._things[asked] = found = things(round(self.share(now, budget) * WHOLE), whole)
        return found

    def gathered(self, first: float, last: float, budget: str) -> float:
        """The share times the seconds in which it was in force."""
        lent_for = max(0.0, min(last, self.until) - first)
        own = self.by_budget.get(budget, self.own)
        return own * max(0.0, last - first) + self.lent.get(budget, 0.0) * lent_for
