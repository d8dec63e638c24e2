"""Own parts of each gateway, and the rest of a budget that may be lent. Free of I/O, clocks and random
numbers.

A rate is divided into fractions. Of a count, a part below one unit admits nobody, so own parts are whole
units: if there are fewer units than gateways, some have one each and the others none. A keyed hash of the
names selects them: it is the same at every gateway, and as the units rise no gateway has fewer than before.
So gateways that use an older and a newer whole are together within the larger one.
"""

from collections.abc import Mapping, Sequence
from functools import lru_cache

from blake3 import blake3

from ledgehitch.budgets.facts import WHOLE, Budget
from ledgehitch.owners.facts import MemberLists

ROUNDING_TOLERANCE = 1e-9  # of one unit


@lru_cache(maxsize=64)
def own_unit_order(budget: str, names: tuple[str, ...]) -> tuple[str, ...]:
    """Returns the gateways in the order in which they get own units.

    The order depends on names alone: zones are not part of the digest of a list."""
    key = blake3(budget.encode(), derive_key_context="ledgehitch 2026 rank of own units").digest()
    return tuple(sorted(names, key=lambda name: (blake3(name.encode(), key=key).digest(8), name)))


def spread_units(units: int, budget: str, names: Sequence[str]) -> dict[str, int]:
    """Distributes whole units evenly, with one more for the first gateways of the order."""
    each, more = divmod(units, max(1, len(names)))
    return {name: each + (place < more) for place, name in enumerate(own_unit_order(budget, tuple(names)))}


def own_units(budget: Budget, own_part: float, share: int = WHOLE) -> int:
    """Returns the units of a count that are not lent.

    It is at least one if there is any own part, so that rounding alone does not leave none."""
    units = budget.units(share)
    return min(units, max(1, int(own_part * units + ROUNDING_TOLERANCE))) if own_part > 0 else 0


def own_parts(budget: Budget, own_part: float, names: Sequence[str], share: int = WHOLE) -> dict[str, int]:
    """Returns the parts that each gateway has without a loan.

    `own_part`: fraction of the whole, 0 to 1. `share`: parts of the whole of the scope of these gateways."""
    if budget.grain == 1:
        return dict.fromkeys(names, int(own_part * share) // max(1, len(names)))
    spread_over = spread_units(own_units(budget, own_part, share), budget.name, names)
    return {name: units * budget.grain for name, units in spread_over.items()}


def lendable(budget: Budget, own_part: float, share: int = WHOLE) -> int:
    """Returns the parts of the share that are nobody's own parts.

    Of a count this is never more than of a rate: a lender may still use a former whole, of which the own
    units were a smaller part."""
    rest = share - int(own_part * share)
    if budget.grain == 1:
        return rest
    lent = min(budget.units(share) - own_units(budget, own_part, share), budget.units(rest))
    return lent * budget.grain


def versions(lists: MemberLists, conservative: bool = False) -> list[tuple[float, tuple[str, ...]]]:
    """Returns the own part and the gateways of each version of the list that may be in force.

    `conservative`: include the former own part even if settled, since its loans may still be in force."""
    part = min(lists.own_part, lists.former_own_part) if conservative else lists.own_part
    out = [(part, lists.current)]
    return [*out, (lists.former_own_part, lists.former)] if lists.former else out


def smallest_own_parts(
    budgets: Sequence[Budget], lists: MemberLists, conservative: bool = False, share: int = WHOLE
) -> Mapping[str, tuple[int, ...]]:
    """Returns the own parts of each gateway, the smallest of all versions for each budget.

    A gateway missing from a version has none, since by that version others may have all."""
    by_budget = [
        [own_parts(b, part, names, share) for part, names in versions(lists, conservative)] for b in budgets
    ]
    names = {*lists.current, *lists.former}
    return {
        name: tuple(min(own.get(name, 0) for own in versions_of_budget) for versions_of_budget in by_budget)
        for name in sorted(names)
    }


def lendable_in_all_versions(
    budgets: Sequence[Budget], lists: MemberLists, share: int = WHOLE
) -> tuple[int, ...]:
    """Returns the parts of each budget that may be lent, whichever version each gateway uses."""
    return tuple(min(lendable(b, part, share) for part, _ in versions(lists)) for b in budgets)
