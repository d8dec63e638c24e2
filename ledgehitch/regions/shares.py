"""Which share of the whole a region may use now, while the site's regions or shares change. Free of I/O and
clock; `tests/explore_regions.py` goes through it.

The shares of one version never sum to more than the whole. Those of two versions may: so a region goes by the
smaller of its former and its current one until nobody can use the former version any more. That is known
when, of every region of either version, so many gateways have said that they go by the current one that the
others are no majority of it, and what was lent under the last lease that such a majority gave is over. Who
remembers no former version has no share until then.
"""

import math
from collections.abc import Mapping, Sequence, Set
from typing import Any

from ledgehitch.regions.facts import WHOLE, Region

NEVER = 1e18


class RegionShares:
    def __init__(
        self,
        region: str,
        current: tuple[Region, ...],
        former: tuple[Region, ...] | None,
        former_unused: bool = False,
    ) -> None:
        """`mine`: the region of this gateway. `former`: the version before, None where none is remembered.
        `known`: that nobody uses the former one any more, as was known before."""
        self.region, self.current, self.former, self.former_unused = region, current, former, former_unused
        self.settles_at = NEVER

    def on_versions(self, now: float, on_current: Set[str], gone: Set[str], max_lent_duration: float) -> None:
        """`on_current`: who was heard to go by the current version, this one with them. `gone`: who does not
        run, as an operator vouches. `longest`: seconds of this clock that what was lent under a former lease
        may go on, that lease with it."""
        if self.former_unused or self.settles_at < NEVER:
            return
        done = on_current | gone
        if all(_is_minority(r, done) for r in (*self.current, *(self.former or ()))):
            self.settles_at = now + max_lent_duration

    def settle(self, now: float) -> bool:
        """Whether the current share counts from now on."""
        if self.former_unused or now < self.settles_at:
            return False
        self.former_unused, self.settles_at = True, NEVER
        return True

    def in_force(self) -> int:
        """Parts of WHOLE that this gateway's region may use."""
        share = self._share(self.current)
        return share if self.former_unused else min(share, self.former_share())

    def lendable(self, own_part: float, changing: bool) -> int:
        """Parts of WHOLE that a lender of this region may go by. `own_part`: of each budget, the larger of
        both versions; `changing`: whether a change of the region's list is not settled.

        Guards against the own parts of gateways that still go by a former, larger share: they are no part of
        what is lent."""
        in_force = self.in_force()
        excess = max(0, self.former_share() - in_force) if changing else 0
        if not excess:
            return in_force
        return max(0, in_force - math.ceil(excess * own_part / (1.0 - own_part))) if own_part < 1.0 else 0

    def stated_share(self) -> int:
        return self._share(self.current)

    def former_share(self) -> int:
        """By the version before."""
        return self._share(self.former or ())

    def _share(self, regions: Sequence[Region]) -> int:
        return next((r.share for r in regions if r.name == self.region), 0)

    # ---- on disk -------------------------------------------------------------------------------------------

    def record(self) -> dict[str, Any]:
        former = None if self.former is None else [list(r) for r in self.former]
        return {"current": [list(r) for r in self.current], "former": former, "known": self.former_unused}


def _is_minority(region: Region, on_current: Set[str]) -> bool:
    """Whether those who may still go by another version are no majority of this region."""
    return len(set(region.gateways) - on_current) <= len(region.gateways) // 2


def read_regions(stored: Any) -> tuple[Region, ...] | None:
    """Raises TypeError or ValueError where it does not read."""
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
    """The shares that a life begins with; None where no region is stated or remembered. `names`: the stated
    gateways. `held`: what `record` gave the last life. `waits`: a version before is not settled, and the
    stated one waits behind it."""
    if not stated and stored is None:
        return None
    target = stated or (Region("", WHOLE, tuple(names)),)
    if stored is None:
        return RegionShares(region, target, None)
    current, former = read_regions(stored["current"]) or (), read_regions(stored["former"])
    if waits or current == target:
        return RegionShares(region, current, former, bool(stored["known"]))
    if not stored["known"]:
        # Guards against a third version: what the first allowed may still be used somewhere.
        return RegionShares(region, target, _merge_versions(current, former))
    return RegionShares(region, target, current)


def _merge_versions(
    current: tuple[Region, ...], former: tuple[Region, ...] | None
) -> tuple[Region, ...] | None:
    """Regions of two versions as one: of each the smaller share, and all its gateways. Where the first
    version was not remembered none is."""
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
