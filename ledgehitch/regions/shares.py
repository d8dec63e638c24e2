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

LATER = 1e18


class Shares:
    def __init__(
        self, mine: str, current: tuple[Region, ...], former: tuple[Region, ...] | None, known: bool = False
    ) -> None:
        """`mine`: the region of this gateway. `former`: the version before, None where none is remembered.
        `known`: that nobody uses the former one any more, as was known before."""
        self.mine, self.current, self.former, self.known = mine, current, former, known
        self.free_at = LATER

    def runs(self, now: float, on_current: Set[str], gone: Set[str], longest: float) -> None:
        """`on_current`: who was heard to go by the current version, this one with them. `gone`: who does not
        run, as an operator vouches. `longest`: seconds of this clock that what was lent under a former lease
        may go on, that lease with it."""
        if self.known or self.free_at < LATER:
            return
        done = on_current | gone
        if all(_minority(r, done) for r in (*self.current, *(self.former or ()))):
            self.free_at = now + longest

    def settle(self, now: float) -> bool:
        """Whether the current share counts from now on."""
        if self.known or now < self.free_at:
            return False
        self.known, self.free_at = True, LATER
        return True

    def in_force(self) -> int:
        """Parts of WHOLE that this gateway's region may use."""
        share = self._share(self.current)
        return share if self.known else min(share, self.before())

    def to_lend(self, own_part: float, changing: bool) -> int:
        """Parts of WHOLE that a lender of this region may go by. `own_part`: of each budget, the larger of
        both versions; `changing`: whether a change of the region's list is not settled.

        Guards against the own parts of gateways that still go by a former, larger share: they are no part of
        what is lent."""
        mine = self.in_force()
        beyond = max(0, self.before() - mine) if changing else 0
        if not beyond:
            return mine
        return max(0, mine - math.ceil(beyond * own_part / (1.0 - own_part))) if own_part < 1.0 else 0

    def stated(self) -> int:
        return self._share(self.current)

    def before(self) -> int:
        """By the version before."""
        return self._share(self.former or ())

    def _share(self, some: Sequence[Region]) -> int:
        return next((r.share for r in some if r.name == self.mine), 0)

    # ---- on disk -------------------------------------------------------------------------------------------

    def record(self) -> dict[str, Any]:
        former = None if self.former is None else [list(r) for r in self.former]
        return {"current": [list(r) for r in self.current], "former": former, "known": self.known}


def _minority(region: Region, done: Set[str]) -> bool:
    """Whether those who may still go by another version are no majority of this region."""
    return len(set(region.gateways) - done) <= len(region.gateways) // 2


def read(some: Any) -> tuple[Region, ...] | None:
    """Raises TypeError or ValueError where it does not read."""
    if some is None:
        return None
    return tuple(Region(str(name), int(share), tuple(str(g) for g in gws)) for name, share, gws in some)


def begun(
    mine: str, stated: tuple[Region, ...], names: Sequence[str], held: Mapping[str, Any] | None, waits: bool
) -> Shares | None:
    """The shares that a life begins with; None where no region is stated or remembered. `names`: the stated
    gateways. `held`: what `record` gave the last life. `waits`: a version before is not settled, and the
    stated one waits behind it."""
    if not stated and held is None:
        return None
    one = stated or (Region("", WHOLE, tuple(names)),)
    if held is None:
        return Shares(mine, one, None)
    current, former = read(held["current"]) or (), read(held["former"])
    if waits or current == one:
        return Shares(mine, current, former, bool(held["known"]))
    if not held["known"]:
        # Guards against a third version: what the first allowed may still be used somewhere.
        return Shares(mine, one, _both(current, former))
    return Shares(mine, one, current)


def _both(current: tuple[Region, ...], former: tuple[Region, ...] | None) -> tuple[Region, ...] | None:
    """Regions of two versions as one: of each the smaller share, and all its gateways. Where the first
    version was not remembered none is."""
    if former is None:
        return None
    before = {r.name: r for r in former}
    out = [
        Region(r.name, min(r.share, before[r.name].share) if r.name in before else 0, r.gateways)
        for r in current
    ]
    return (*out, *(Region(f"{r.name}/former", 0, r.gateways) for r in former))
