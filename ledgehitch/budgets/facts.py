"""Budgets and the constants of lending. Parts are integers, so that sums are exact."""

import math
from collections.abc import Mapping, Sequence
from typing import Literal, NamedTuple

from blake3 import blake3

from ledgehitch.door.part import WHOLE as WHOLE
from ledgehitch.door.part import parts_per_unit
from ledgehitch.door.rates import SET_UPS, offers_budget

DEFAULT_OWN_PART = 0.1  # of the whole, not lent; see the table in `docs/budgets.md`
LOAN_PER_LEASE = 1.25  # duration of a loan from the borrower's request on, in leases
REQUESTS_PER_LOAN = 8  # requests of a borrower during a loan
EARLY_REQUEST = 1 / 6  # of the interval between requests, after which a jump in need is reported
MAX_BUDGETS = 64
ROUNDING_TOLERANCE = 1e-3  # of a part, or of one unit

Unit = Literal["rate", "count", "window"]


class Budget(NamedTuple):
    """A budget of the fleet.

    `lag`: seconds for which use begun under a loan may continue after its end and still counts: none for a
    rate, the longest set-up for a count, its length for a window. `grain`: parts per unit; 1 for a rate, and
    for a count with very many units."""

    name: str
    unit: Unit
    lag: float = 0.0
    grain: int = 1

    def units(self, share: int = WHOLE) -> int:
        """Returns the whole units in a scope with this share of the whole."""
        return share // self.grain


def budgets_of(package_rates: Mapping[str, float], set_ups: float, patience: float) -> tuple[Budget, ...]:
    """Returns the budgets of a site's limits, in an order that all gateways share.

    `patience`: the longest duration of a set-up, in seconds."""
    budgets = [Budget(offers_budget(package), "rate") for package in sorted(package_rates)]
    if set_ups >= 1:  # last, and never the one dropped
        budgets = [
            *budgets[: MAX_BUDGETS - 1],
            Budget(SET_UPS, "count", patience, parts_per_unit(int(set_ups))),
        ]
    return tuple(budgets[:MAX_BUDGETS])


def parts_used(budget: Budget, share: float) -> int:
    """Converts a share of the whole, 0 to 1, to parts; for a count, to whole units."""
    if budget.grain == 1:
        return min(WHOLE, math.ceil(share * WHOLE - ROUNDING_TOLERANCE))
    return min(budget.units(), round(share * WHOLE / budget.grain)) * budget.grain


def parts_wanted(budget: Budget, share: float) -> int:
    """Converts as `parts_used` does, but rounds units up."""
    return min(budget.units(), math.ceil(share * WHOLE / budget.grain - ROUNDING_TOLERANCE)) * budget.grain


def loan_duration(lease: float) -> float:
    """Returns the duration of a loan in seconds.

    It is long enough that most failed owners are replaced before their loans end (a lease from their last
    renewal, and an election), and short enough that the loans of failed borrowers are lent again soon."""
    return LOAN_PER_LEASE * lease


def budgets_digest(budgets: Sequence[Budget], own_part: float, names: Sequence[str]) -> bytes:
    """Returns a four-byte digest of the budgets, the own part and the gateways that share them."""
    lines = [f"{b.name} {b.unit}" for b in budgets]
    return blake3("\n".join([*lines, f"{own_part:.6f}", *names]).encode()).digest(4)
