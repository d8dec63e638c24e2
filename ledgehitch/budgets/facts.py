"""Budgets and the figures that the promise rests on. Parts are whole numbers, so that sums are exact."""

import math
from collections.abc import Mapping, Sequence
from typing import Literal, NamedTuple

from blake3 import blake3

from ledgehitch.door.part import WHOLE as WHOLE
from ledgehitch.door.part import grain_of
from ledgehitch.door.rates import SET_UPS, budget_of

DEFAULT_OWN_PART = 0.1  # of the whole that is not lent; `docs/budgets.md` has the table it was chosen by
LOAN_PER_LEASE = 1.25  # of a lease that a loan lasts, from when the borrower asked
REQUESTS_PER_LOAN = 8  # questions of a borrower in a loan's time
EARLY_REQUEST = 1 / 6  # of the time between two of them, after which it asks again where its need has jumped
MAX_BUDGETS = 64
ROUNDING_TOLERANCE = 1e-3  # of a part, or of one thing

Unit = Literal["rate", "count", "window"]


class Budget(NamedTuple):
    """`lag`: seconds for which what was begun under a loan may go on after its end, so that it still counts:
    none for a rate, as long as a set-up may be out for a count, its length for a window. `grain`: parts that
    are one whole thing, 1 where there is none: of a rate, and where things are very many."""

    name: str
    unit: Unit
    lag: float = 0.0
    grain: int = 1

    def units(self, share: int = WHOLE) -> int:
        """Whole things in a scope that has so many parts of the whole."""
        return share // self.grain


def budgets_of(package_rates: Mapping[str, float], set_ups: float, patience: float) -> tuple[Budget, ...]:
    """Of a site's limits, in an order that all gateways share. `patience`: the longest that a set-up may be
    out, seconds. A further budget is one more record here."""
    budgets = [Budget(budget_of(package), "rate") for package in sorted(package_rates)]
    if set_ups >= 1:  # the last one, and never the one that is left out
        budgets = [*budgets[: MAX_BUDGETS - 1], Budget(SET_UPS, "count", patience, grain_of(int(set_ups)))]
    return tuple(budgets[:MAX_BUDGETS])


def parts_used(budget: Budget, share: float) -> int:
    """`share`: of the whole, 0 to 1. Where things are counted, whole ones."""
    if budget.grain == 1:
        return min(WHOLE, math.ceil(share * WHOLE - ROUNDING_TOLERANCE))
    return min(budget.units(), round(share * WHOLE / budget.grain)) * budget.grain


def parts_wanted(budget: Budget, share: float) -> int:
    """As `parts_used`; of a thing that is wanted in part, the whole one."""
    return min(budget.units(), math.ceil(share * WHOLE / budget.grain - ROUNDING_TOLERANCE)) * budget.grain


def loan_duration(lease: float) -> float:
    """Seconds. Long enough that most owners that die are replaced before what they lent ends (a lease from
    their last renewal, and an election), short enough that what dead borrowers had is lent again soon."""
    return LOAN_PER_LEASE * lease


def budgets_digest(budgets: Sequence[Budget], own_part: float, names: Sequence[str]) -> bytes:
    """Four bytes that two gateways share where they divide the same budgets among the same gateways."""
    lines = [f"{b.name} {b.unit}" for b in budgets]
    return blake3("\n".join([*lines, f"{own_part:.6f}", *names]).encode()).digest(4)
