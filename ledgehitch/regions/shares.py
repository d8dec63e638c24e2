"""The share of the budgets that a region may use while the site's regions or shares change.

Free of I/O and clocks; `tests/explore_regions.py` explores it.

The shares of one version never sum to more than the whole, but those of two versions may. So a region uses
the smaller of its former and its current share until no gateway can use the former version any more. That is
so once, in every region of either version, the gateways not known to use the current version are no majority,
and the loans under the last lease that such a majority granted have expired. A gateway that remembers no
former version has no share until then.
"""

import math
from collections.abc import Mapping, Sequence, Set
from typing import Any

from ledgehitch.regions.facts import WHOLE, Region

NEVER = 1e18


class RegionShares:
    """The current and former shares of all regions, as seen by a gateway of one of them."""

    def __init__(
        self,
        region: str,
        current: tuple[Region, ...],
        former: tuple[Region, ...] | None,
        former_unused: bool = False,
    ) -> None:
        """`region`: the region of this gateway. `former`: the former version, None if none is remembered.
        `former_unused`: whether it is already known that no gateway uses the former version."""
        self.region, self.current, self.former, self.former_unused = region, current, former, former_unused
        self.settles_at = NEVER

    def on_versions(self, now: float, on_current: Set[str], gone: Set[str], max_lent_duration: float) -> None:
        """Starts the wait for former loans once no region can have a majority on the former version.

        `on_current`: gateways known to use the current version, including this one. `gone`: gateways declared
        gone by an operator. `max_lent_duration`: seconds for which a former lease and its loans may last."""
        if self.former_unused or self.settles_at < NEVER:
            return
        excluded = on_current | gone
        if all(_is_minority(r, excluded) for r in (*self.current, *(self.former or ()))):
            self.settles_at = now + max_lent_duration

    def settle(self, now: float) -> bool:
        """Returns whether the current share has just come into force."""
        if self.former_unused or now < self.settles_at:
            return False
        self.former_unused, self.settles_at = True, NEVER
        return True

    def in_force(self) -> int:
        """Returns the parts of WHOLE that this gateway's region may use."""
        share = self._share(self.current)
        return share if self.former_unused else min(share, self.former_share())

    def lendable(self, own_part: float, changing: bool) -> int:
        """Returns the parts of WHOLE that a lender of this region may divide.

        `own_part`: of each budget, the larger of both versions. `changing`: whether a change of the region's
        list is not settled. Gateways may then still use own parts of a former, larger share, so the excess is
        not lent."""
        in_force = self.in_force()
        excess = max(0, self.former_share() - in_force) if changing else 0
        if not excess:
            return in_force
        return max(0, in_force - math.ceil(excess * own_part / (1.0 - own_part))) if own_part < 1.0 else 0

    def stated_share(self) -> int:
        """Returns the region's share by the current version."""
        return self._share(self.current)

    def former_share(self) -> int:
        """Returns the region's share by the former version."""
        return self._share(self.former or ())

    def _share(self, regions: Sequence[Region]) -> int:
        return next((r.share for r in regions if r.name == self.region), 0)

    # ---- on disk -------------------------------------------------------------------------------------------

    def record(self) -> dict[str, Any]:
        former = None if self.former is None else [list(r) for r in self.former]
        return {"current": [list(r) for r in self.current], "former": former, "known": self.former_unused}


def _is_minority(region: Region, excluded: Set[str]) -> bool:
    """Returns whether the gateways of this region without the excluded ones are no majority of it."""
    return len(set(region.gateways) - excluded) <= len(region.gateways) // 2


def read_regions(stored: Any) -> tuple[Region, ...] | None:
    """Decodes stored regions. Raises TypeError or ValueError if they are malformed."""
    if stored is None:
        return None
    return tuple(Region(str(name), int(share), tuple(str(g) for g in gws)) for name, share, gws in stored)


def initial_shares(
    region: str,
    stated: tuple[Region, ...],
    names: Sequence[str],
    stored: Mapping[str, Any] | None,
    waits: bool,
) -> RegionShares | None:
    """Returns the shares at a start; None if no region is stated or remembered.

    `names`: the gateways of the site. `stored`: the `record` of the last life. `waits`: whether the stated
    version has to wait until an earlier change has settled."""
    if not stated and stored is None:
        return None
    target = stated or (Region("", WHOLE, tuple(names)),)
    if stored is None:
        return RegionShares(region, target, None)
    current, former = read_regions(stored["current"]) or (), read_regions(stored["former"])
    if waits or current == target:
        return RegionShares(region, current, former, bool(stored["known"]))
    if not stored["known"]:
        # A third version: the shares of the first may still be in use.
        return RegionShares(region, target, _merge_versions(current, former))
    return RegionShares(region, target, current)


def _merge_versions(
    current: tuple[Region, ...], former: tuple[Region, ...] | None
) -> tuple[Region, ...] | None:
    """Merges two versions of the regions: the smaller share of each, and all its gateways.

    Returns None if the first version is not remembered."""
    if former is None:
        return None
    former_by_name = {r.name: r for r in former}
    merged = [
        Region(
            r.name, min(r.share, former_by_name[r.name].share) if r.name in former_by_name else 0, r.gateways
        )
        for r in current
    ]
    return (*merged, *(Region(f"{r.name}/former", 0, r.gateways) for r in former))
