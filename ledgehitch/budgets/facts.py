"""Budgets and the figures that the promise rests on. Parts are whole numbers, so that sums are exact."""

from collections.abc import Mapping, Sequence
from typing import Literal, NamedTuple

from blake3 import blake3

from ledgehitch.door.rates import SET_UPS, budget_of

WHOLE = 1_000_000_000  # parts of every budget, whatever its unit: a share goes on when the whole is changed
OWN_PART = 0.1  # of the whole that is not lent; `docs/budgets.md` has the table it was chosen by
OF_LEASE = 1.25  # of a lease that a loan lasts, from when the borrower asked
ASKS = 8  # questions of a borrower in a loan's time
SOON = 1 / 6  # of the time between two of them, after which it asks again where its need has jumped
MOST_BUDGETS = 64

Unit = Literal["rate", "count", "window"]


class Budget(NamedTuple):
    """`lag`: seconds for which what was begun under a loan may go on after its end, so that it still counts:
    none for a rate, as long as a set-up may be out for a count, its length for a window. `grain`: parts that
    are one whole thing, 1 for a rate."""

    name: str
    unit: Unit
    lag: float = 0.0
    grain: int = 1


def budgets_of(package_rates: Mapping[str, float], set_ups: float, patience: float) -> tuple[Budget, ...]:
    """Of a site's limits, in an order that all gateways share. `patience`: the longest that a set-up may be
    out, seconds. A further budget is one more record here."""
    out = [Budget(budget_of(package), "rate") for package in sorted(package_rates)]
    if set_ups >= 1:
        out.append(Budget(SET_UPS, "count", patience, max(1, WHOLE // int(set_ups))))
    return tuple(out[:MOST_BUDGETS])


def loan_of(lease: float) -> float:
    """Seconds. Long enough that most owners that die are replaced before what they lent ends (a lease from
    their last renewal, and an election), short enough that what dead borrowers had is lent again soon."""
    return OF_LEASE * lease


def own_parts(own_part: float, stated: int) -> int:
    """What each stated gateway has though it hears nothing. `own_part`: of the whole, 0 to 1."""
    return int(own_part * WHOLE) // max(1, stated)


def digest_of(budgets: Sequence[Budget], own_part: float, names: Sequence[str]) -> bytes:
    """Four bytes that two gateways share where they divide the same budgets among the same gateways."""
    words = [f"{b.name} {b.unit}" for b in budgets]
    return blake3("\n".join([*words, f"{own_part:.6f}", *names]).encode()).digest(4)
