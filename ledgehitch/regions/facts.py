"""Regions of a site, the scope of each duty, and fixed shares as integers, so that sums are exact."""

from collections.abc import Sequence
from fractions import Fraction
from typing import NamedTuple

from blake3 import blake3

from ledgehitch.config.site import Site, active_gateways

WHOLE = 1_000_000_000  # parts of every budget, as in `budgets/`
# Duties with an owner in each region; all others have one owner for the fleet.
REGIONAL_DUTIES = frozenset({"budgets"})


class Region(NamedTuple):
    """A region. `gateways`: those not declared gone, in the site's order. `share`: parts of WHOLE."""

    name: str
    share: int
    gateways: tuple[str, ...]


def divide_whole(shares: Sequence[Fraction | None], gateways: Sequence[int]) -> tuple[int, ...]:
    """Returns parts of WHOLE for each region, at most WHOLE in total.

    Uses the stated shares, or without them the numbers of gateways; then the rounding remainder goes to the
    first regions, one part each."""
    if any(share is None for share in shares):
        total = sum(gateways)
        parts = [WHOLE * n // total for n in gateways]
        remainder = WHOLE - sum(parts)
        return tuple(part + (i < remainder) for i, part in enumerate(parts))
    return tuple(int(share * WHOLE) for share in shares if share is not None)


def regions_of(site: Site) -> tuple[Region, ...]:
    """Returns the site's regions that have a gateway, in the site's order.

    The share of a region that is gone is distributed to the others in proportion to their shares."""
    names = set(active_gateways(site))
    region_of_zone = {zone: r.name for r in site.regions for zone in r.zones}
    gateways_in = {
        r.name: tuple(g.name for g in site.gateways if g.name in names and region_of_zone[g.zone] == r.name)
        for r in site.regions
    }
    remaining = [r for r in site.regions if gateways_in[r.name]]
    stated_shares = [Fraction(str(r.share)) if r.share is not None else None for r in remaining]
    stated_total = sum(Fraction(str(r.share)) for r in site.regions if r.share is not None)
    remaining_total = sum((share for share in stated_shares if share is not None), Fraction(0))
    scaled = [
        share * stated_total / remaining_total if share is not None else None for share in stated_shares
    ]
    parts = divide_whole(scaled, [len(gateways_in[r.name]) for r in remaining])
    return tuple(Region(r.name, part, gateways_in[r.name]) for r, part in zip(remaining, parts, strict=True))


def region_of(site: Site, gateway: str) -> str:
    """Returns the region of a gateway, declared gone or not; empty for a site without regions."""
    zone = next(g.zone for g in site.gateways if g.name == gateway)
    return next((r.name for r in site.regions if zone in r.zones), "")


def regions_digest(regions: Sequence[Region]) -> str:
    """Returns a digest of the regions, their gateways and shares; empty without regions."""
    lines = [f"{r.name} {r.share} {' '.join(r.gateways)}" for r in regions]
    return blake3("\n".join(lines).encode()).hexdigest(8) if regions else ""
