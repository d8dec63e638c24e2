"""This gateway's share of the fleet-wide budgets. Free of I/O and clock.

The own share needs no coordination; loans, by budget, expire by themselves. So the sum of all shares stays
within the limit without asking anybody. Of a counted budget, shares are whole units.
"""

from collections.abc import Mapping

WHOLE = 1_000_000_000  # parts of any budget, whatever its unit: shares stay valid when the budget changes
MAX_COUNTED = 31_622  # largest n with WHOLE // (WHOLE // n) == n, so that no sum of whole units exceeds n
MAX_CACHED = 16  # cached unit counts: each reload may change the size of a budget


def parts_per_unit(whole: int) -> int:
    """Returns the parts that make up one unit of a budget of `whole` units.

    It is 1 above `MAX_COUNTED` units: a fraction of a unit costs less than one in thousands there.
    """
    return WHOLE // whole if 1 <= whole <= MAX_COUNTED else 1


def whole_units(parts: int, whole: int) -> int:
    """Returns how many whole units `parts` are of a budget of `whole` units."""
    grain = parts_per_unit(whole)
    return parts // grain if grain > 1 else parts * whole // WHOLE


class BudgetShare:
    """The share of one gateway: its own, and what is lent to it."""

    def __init__(self, own: float) -> None:
        """Starts without loans; `own` is the share of each budget, 0 to 1."""
        self.own = own
        self.by_budget: dict[str, float] = {}  # own shares of the budgets for which they differ from `own`
        self.lent: dict[str, float] = {}
        self.lent_until = -1e18  # when the loans expire
        self._units_cache: dict[tuple[str, int, bool], int] = {}  # unit counts, valid until the next update

    def update(
        self,
        own: float,
        lent: Mapping[str, float],
        until: float,
        by_budget: Mapping[str, float] | None = None,
    ) -> None:
        """Replaces the own shares and the loans, which expire at `until`."""
        self.own, self.lent, self.lent_until, self.by_budget = own, dict(lent), until, dict(by_budget or {})
        self._units_cache = {}

    def share(self, now: float, budget: str) -> float:
        """Returns the share of a budget that is in force at `now`, 0 to 1."""
        own = self.by_budget.get(budget, self.own)
        return own + (self.lent.get(budget, 0.0) if now < self.lent_until else 0.0)

    def whole_units(self, now: float, budget: str, whole: int) -> int:
        """Returns how many of the `whole` units of a budget this gateway may use at `now`."""
        key = budget, whole, now < self.lent_until
        units = self._units_cache.get(key)
        if units is None:
            if len(self._units_cache) >= MAX_CACHED:
                self._units_cache = {}
            self._units_cache[key] = units = whole_units(round(self.share(now, budget) * WHOLE), whole)
        return units

    def accumulated(self, first: float, last: float, budget: str) -> float:
        """Returns the integral of the share over the time from `first` to `last`, in seconds."""
        lent_for = max(0.0, min(last, self.lent_until) - first)
        own = self.by_budget.get(budget, self.own)
        return own * max(0.0, last - first) + self.lent.get(budget, 0.0) * lent_for
