"""Own parts of each gateway, and what of a budget may be lent beside them. Free of I/O, clock and chance.

A rate is divided in fractions. Of what is counted a part under one thing lets nobody in, so that own parts
are whole things: where they are fewer than gateways, some have one each and the others none. Who has one
falls by a keyed hash of names: the same at every gateway, and as the number rises nobody has fewer than
before. So gateways that go by an older and a newer whole are together within the larger one.
"""

from collections.abc import Mapping, Sequence
from functools import lru_cache

from blake3 import blake3

from ledgehitch.budgets.facts import WHOLE, Budget
from ledgehitch.owners.facts import MemberLists

ROUNDING_TOLERANCE = 1e-9  # of one thing


@lru_cache(maxsize=64)
def own_unit_order(budget: str, names: tuple[str, ...]) -> tuple[str, ...]:
    """Whose the first whole things are. By name alone: zones are no part of what versions of a list share."""
    key = blake3(budget.encode(), derive_key_context="ledgehitch 2026 rank of own units").digest()
    return tuple(sorted(names, key=lambda name: (blake3(name.encode(), key=key).digest(8), name)))


def spread_units(units: int, budget: str, names: Sequence[str]) -> dict[str, int]:
    """Whole things over all: as many to each, and one more to the first of them."""
    each, more = divmod(units, max(1, len(names)))
    return {name: each + (place < more) for place, name in enumerate(own_unit_order(budget, tuple(names)))}


def own_units(budget: Budget, own_part: float, share: int = WHOLE) -> int:
    """Of what is counted, things that are not lent: one at least where anything is, so that they do not fall
    to none for division alone."""
    units = budget.units(share)
    return min(units, max(1, int(own_part * units + ROUNDING_TOLERANCE))) if own_part > 0 else 0


def own_parts(budget: Budget, own_part: float, names: Sequence[str], share: int = WHOLE) -> dict[str, int]:
    """What each of the stated gateways has though it hears nothing. `own_part`: of the whole, 0 to 1.
    `share`: parts of the whole that the scope has whose gateways these are."""
    if budget.grain == 1:
        return dict.fromkeys(names, int(own_part * share) // max(1, len(names)))
    spread_over = spread_units(own_units(budget, own_part, share), budget.name, names)
    return {name: units * budget.grain for name, units in spread_over.items()}


def lendable(budget: Budget, own_part: float, share: int = WHOLE) -> int:
    """Parts beside all own parts. Of what is counted never more than as of a rate: guards against a lender by
    a former whole, of which whole own things were a smaller part."""
    rest = share - int(own_part * share)
    if budget.grain == 1:
        return rest
    lent = min(budget.units(share) - own_units(budget, own_part, share), budget.units(rest))
    return lent * budget.grain


def versions(lists: MemberLists, conservative: bool = False) -> list[tuple[float, tuple[str, ...]]]:
    """Own part and gateways of each version of the list that may be in force. `surely`: the own part of the
    version before too where it is settled, as what was lent by it may be out."""
    part = min(lists.own_part, lists.former_own_part) if conservative else lists.own_part
    out = [(part, lists.current)]
    return [*out, (lists.former_own_part, lists.former)] if lists.former else out


def smallest_own_parts(
    budgets: Sequence[Budget], lists: MemberLists, conservative: bool = False, share: int = WHOLE
) -> Mapping[str, tuple[int, ...]]:
    """Own parts of each gateway, of each budget the smaller of all versions: none of one that a version does
    not state, as others may have all by that one."""
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
    """Parts of each budget that may be lent, whichever version each gateway goes by."""
    return tuple(min(lendable(b, part, share) for part, _ in versions(lists)) for b in budgets)
