"""The site file: ladder, packages, fleet, terms, titles, gateways and media hosts of one installation.

Times are in seconds, rates in kilobytes per second, shares are fractions of one. `facts_of` derives the
settings of the decision module, which does not store the records themselves.
"""

from collections.abc import Iterator, Sequence
from fractions import Fraction
from pathlib import Path
from typing import Annotated, Literal

import msgspec

from ledgehitch.config.read import BadInput, read_record
from ledgehitch.interface import Fleet, Ladder, Package, Terms

Positive = Annotated[float, msgspec.Meta(gt=0)]
Amount = Annotated[float, msgspec.Meta(ge=0)]
Share = Annotated[float, msgspec.Meta(ge=0, le=1)]
Count = Annotated[int, msgspec.Meta(ge=0)]
Name = Annotated[str, msgspec.Meta(min_length=1, max_length=64, pattern="^[A-Za-z0-9][A-Za-z0-9_.-]*$")]


class Record(msgspec.Struct, forbid_unknown_fields=True, kw_only=True, frozen=True):
    pass


class Rung(Record, kw_only=True, frozen=True):
    kb: Positive
    earns: Share


class PackageRecord(Record, kw_only=True, frozen=True):
    name: Name
    join_target: Positive
    patience: Positive
    value: Positive = 1.0
    effect: Literal["repeatable", "by_key", "once"] = "repeatable"
    key_scope: Literal["all", "zone", "cell"] = "all"
    key_window: Amount = 0.0
    scale: Positive = 1.0
    floor: Count = 0
    top: Count = 99
    seats: Count = 0
    live: bool = False


class FleetRecord(Record, kw_only=True, frozen=True):
    cells: Count
    racks: Count
    rack_names: list[str] = []  # display names by number; the default is rack-N
    link_unit_kb: Amount
    uplink_kb: Amount
    slots: dict[str, Annotated[int, msgspec.Meta(ge=1)]]
    full_from: Amount = 0.0
    told_late: Amount = 0.5
    told_every: Positive = 2.0
    load_fields: tuple[Literal["x0", "x1", "util", "inflight"], ...] = ("x0", "x1")


class TermsRecord(Record, kw_only=True, frozen=True):
    """Parameters of the six decision rules, and which optional actions are allowed."""

    tune_ins: Annotated[int, msgspec.Meta(ge=1)] = 3
    answer_slack: Amount = 0.25
    drain_grace: Amount = 1.0
    cold_share: Share = 0.3
    warm_up: Positive = 8.0
    fall_multiple: Positive = 3.0
    fall_after: Positive = 2.0
    extra_free: Amount | None = None
    extra_ratio: Amount = 0.0
    extra_window: Amount = 0.0
    may_probe: bool = False
    may_tell: bool = True
    may_advise: bool = True
    longest_advice: Amount = 5.0
    cross_price: Amount = 0.0


class Title(Record, kw_only=True, frozen=True):
    """Placement of a title: `spread` consecutive cells from cell `first`, modulo the number of cells."""

    first: Count
    spread: Annotated[int, msgspec.Meta(ge=1)]


class GatewayRecord(Record, kw_only=True, frozen=True):
    name: Name
    at: str
    zone: str = ""
    peer_at: str = ""  # address where it receives messages of other gateways
    peer_via: str = ""  # address that others send to, if it differs from peer_at
    rack: str = ""  # for the order of restarts
    admin_via: str = ""  # address for calls of other gateways; empty: admin_at, or their own state directory
    admin_at: str = ""  # address for operators on other machines, over TLS; empty: its Unix socket only
    members_at: str = ""  # address for membership messages; empty: it takes no part in membership
    members_via: str = ""  # address that others send to, if it differs from members_at
    reports_at: str = ""  # address of `ledgehitch reports` for players' reports; empty: the gateway's own
    gone: bool = False  # permanently: the operator guarantees that it does not run; its number stays reserved


class RegionRecord(Record, kw_only=True, frozen=True):
    """Zones that may be partitioned from the others together.

    `share` is the fraction of each of the fleet's budgets. Without shares, it follows from the numbers of
    gateways.
    """

    name: Name
    zones: list[str]
    share: Annotated[float, msgspec.Meta(gt=0, le=1)] | None = None
    gone: bool = False  # as a whole: the operator guarantees that none of its gateways runs


class HostRecord(Record, kw_only=True, frozen=True):
    name: Name
    at: str
    cell: Count
    weight: Positive = 1.0
    kind: str = "std"
    zone: str = ""


class DoorRecord(Record, kw_only=True, frozen=True):
    """Admission control by client. `order`: what identifies a client; the first one available counts."""

    on: bool = False
    order: tuple[Literal["token", "certificate", "address"], ...] = ("token", "certificate", "address")
    client_rate: Amount = 0.0  # offers per second of one client at one gateway; 0: no limit
    client_burst: Annotated[float, msgspec.Meta(ge=1)] = 20.0  # offers in one burst of a client
    package_rates: dict[Name, Positive] = {}  # offers per second of a package in the whole fleet
    set_ups: Amount = (
        0.0  # concurrent in the whole fleet; 0: only the limit that each gateway estimates itself
    )


class OwnersRecord(Record, kw_only=True, frozen=True):
    """Fleet-wide duties, each of which one gateway at a time owns. Times are in seconds."""

    lease: Annotated[float, msgspec.Meta(ge=0.5, le=600)] = 10.0  # of a duty's owner
    verdicts_to: str = ""  # HOST:PORT that receives the fleet's verdicts; empty: they are not sent
    verdicts_every: Annotated[float, msgspec.Meta(ge=0.5)] = 60.0


class BudgetsRecord(Record, kw_only=True, frozen=True):
    """Division of the fleet's limits (`door.package_rates`, `door.set_ups`) among member gateways."""

    own_part: Annotated[float, msgspec.Meta(ge=0, le=1)] = 0.1  # of the whole, not lent: 1/n to each


class Site(Record, kw_only=True, frozen=True):
    name: Name
    ladder: Annotated[list[Rung], msgspec.Meta(min_length=1, max_length=32)]
    packages: Annotated[list[PackageRecord], msgspec.Meta(min_length=1)]
    fleet: FleetRecord
    terms: TermsRecord = TermsRecord()
    titles: dict[Name, Title]
    gateways: Annotated[list[GatewayRecord], msgspec.Meta(min_length=1)]
    regions: list[RegionRecord] = []  # empty: the whole site is one region
    hosts: list[HostRecord] = []  # run by the stand-ins; gateways get their list from the list service
    list_at: str
    peer_key_file: str = ""
    door: DoorRecord = DoorRecord()
    owners: OwnersRecord = OwnersRecord()
    budgets: BudgetsRecord = BudgetsRecord()


def active_gateways(site: Site) -> tuple[str, ...]:
    """Returns the names of the gateways that are not declared gone, neither themselves nor their region."""
    gone_zones = {zone for r in site.regions if r.gone for zone in r.zones}
    return tuple(g.name for g in site.gateways if not g.gone and g.zone not in gone_zones)


def region_mistakes(site: Site) -> Iterator[tuple[tuple[str, ...], str]]:
    """Yields each mistake in a site's regions as path and reason. The path has regions by name."""
    zone_of = {g.name: g.zone for g in site.gateways}
    region_of: dict[str, str] = {}
    for n, r in enumerate(site.regions):
        at = ("regions", r.name)
        if r.name in [before.name for before in site.regions[:n]]:
            yield (*at, "name"), f"{r.name!r} is named twice"
        if not r.zones:
            yield (*at, "zones"), "a region has a zone at least"
        for i, zone in enumerate(r.zones):
            if zone in region_of:
                yield (*at, "zones", str(i)), f"zone {zone!r} is in region {region_of[zone]!r} already"
            elif zone not in zone_of.values():
                yield (*at, "zones", str(i)), f"no gateway is in zone {zone!r}: a region has gateways"
            region_of.setdefault(zone, r.name)
    for name, zone in zone_of.items() if site.regions else ():
        if zone not in region_of:
            yield ("gateways", name, "zone"), f"zone {zone!r} is in no region, while others are in one"
    with_share = [r for r in site.regions if r.share is not None]
    for r in site.regions if with_share else ():
        if r.share is None:
            yield ("regions", r.name), f"it has no share, while {with_share[0].name!r} states one"
    whole = sum(Fraction(str(r.share)) for r in with_share)
    if whole > 1:
        yield (
            ("regions", with_share[-1].name, "share"),
            f"shares come to {float(whole):g}, more than the whole",
        )
    if site.regions and all(r.gone for r in site.regions):
        yield ("regions",), "all of them are declared gone"


def can_lend_budgets(site: Site) -> bool:
    """Returns whether gateways lend budgets to each other, which requires all of them in membership."""
    return bool(site.peer_key_file) and all(g.members_at for g in site.gateways)


def read_site(path: Path) -> Site:
    """Reads a site in the configuration language, or as JSON of the records (`.json`)."""
    if path.suffix != ".json":
        from ledgehitch.config.load import read_site_text  # it imports this module

        return read_site_text(path)
    site = read_record(path, Site)
    check(site, str(path))
    return site


def check(site: Site, name: str) -> None:
    """Checks what the types cannot express: references and order between fields. Raises `BadInput`."""

    def fail(field: str, reason: str) -> None:
        raise BadInput(f"{name}: {field}: {reason}")

    kb = [r.kb for r in site.ladder]
    if kb != sorted(set(kb)):
        fail("ladder", f"rungs must rise in kb, they are {kb}")
    for what, names in (
        ("packages", [p.name for p in site.packages]),
        ("hosts", [h.name for h in site.hosts]),
        ("gateways", [g.name for g in site.gateways]),
    ):
        for i, one in enumerate(names):
            if one in names[:i]:
                fail(f"{what}[{i}].name", f"{one!r} is named twice")
    for i, p in enumerate(site.packages):
        if p.join_target > p.patience:
            fail(f"packages[{i}].join_target", f"{p.join_target:g} s is more than patience, {p.patience:g} s")
        if p.floor >= len(site.ladder):
            fail(f"packages[{i}].floor", f"{p.floor} is no rung, the ladder has 0 to {len(site.ladder) - 1}")
        if p.effect == "by_key" and not p.key_window:
            fail(f"packages[{i}].key_window", "a package set up by key needs a window above 0")
    for title, placement in site.titles.items():
        if placement.first >= max(1, site.fleet.cells):
            fail(f"titles.{title}.first", f"{placement.first} is no cell, there are {site.fleet.cells}")
    for i, h in enumerate(site.hosts):
        if h.kind not in site.fleet.slots:
            fail(f"hosts[{i}].kind", f"{h.kind!r} has no places, known are {', '.join(site.fleet.slots)}")
        if h.cell >= site.fleet.cells:
            fail(f"hosts[{i}].cell", f"{h.cell} is no cell, there are {site.fleet.cells}")
    for name in site.door.package_rates:
        if name not in [p.name for p in site.packages]:
            fail(f"door.package_rates.{name}", "no such package is sold")
    for place, reason in region_mistakes(site):
        fail(".".join(place), reason)
    if not active_gateways(site):
        fail("gateways", "all of them are declared gone")
    if site.terms.extra_free is not None and not site.terms.extra_window:
        fail("terms.extra_window", "a budget for further tune-ins needs a window above 0")


def rack_name(names: Sequence[str], rack: str) -> str:
    """Returns the display name of the rack with this number, from a site's `rack_names`."""
    return names[int(rack)] if rack.isdigit() and int(rack) < len(names) else f"rack-{rack}"


def facts_of(site: Site, gateway: str) -> tuple[Ladder, tuple[Package, ...], Fleet, Terms]:
    """Returns the settings that the decision module of one gateway gets at start."""
    names = [g.name for g in site.gateways]
    if gateway not in names:
        raise BadInput(f"site {site.name}: no gateway {gateway!r}, known are {', '.join(names)}")
    ladder = Ladder(tuple(r.kb for r in site.ladder), tuple(r.earns for r in site.ladder))
    packages = tuple(Package(**msgspec.structs.asdict(p)) for p in site.packages)
    f, t = site.fleet, site.terms
    fleet = Fleet(
        cells=f.cells,
        racks=f.racks,
        link_unit_kb=f.link_unit_kb,
        uplink_kb=f.uplink_kb,
        slots=dict(f.slots),
        full_from=f.full_from,
        told_late=f.told_late,
        told_every=f.told_every,
        load_fields=tuple(f.load_fields),
        reports="piggyback",
    )
    at = names.index(gateway)
    terms = Terms(
        zone=site.gateways[at].zone,
        ordinal=at,
        gateways=len(names),
        tune_ins=t.tune_ins,
        answer_slack=t.answer_slack,
        drain_grace=t.drain_grace,
        cold_share=t.cold_share,
        warm_up=t.warm_up,
        fall_multiple=t.fall_multiple,
        fall_after=t.fall_after,
        extra_free=t.extra_free,
        extra_ratio=t.extra_ratio,
        extra_window=t.extra_window,
        may_probe=t.may_probe,
        may_tell=t.may_tell and len(names) > 1,
        may_advise=t.may_advise,
        longest_advice=t.longest_advice,
        cross_price=t.cross_price,
    )
    return ladder, packages, fleet, terms
