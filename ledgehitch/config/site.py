"""The site file: ladder, packages, fleet, terms, titles, gateways and media hosts of one installation.

Times are seconds, rates kilobytes a second, shares parts of one. `facts_of` derives what the decision module
is told; the records themselves are not kept by it.
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
    rack_names: list[str] = []  # for people, by number; without one it is rack-N
    link_unit_kb: Amount
    uplink_kb: Amount
    slots: dict[str, Annotated[int, msgspec.Meta(ge=1)]]
    full_from: Amount = 0.0
    told_late: Amount = 0.5
    told_every: Positive = 2.0
    load_fields: tuple[Literal["x0", "x1", "util", "inflight"], ...] = ("x0", "x1")


class TermsRecord(Record, kw_only=True, frozen=True):
    """The six rules' figures and what is allowed."""

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
    """Held by `spread` cells in a row from cell `first`, modulo the fleet's cells."""

    first: Count
    spread: Annotated[int, msgspec.Meta(ge=1)]


class GatewayRecord(Record, kw_only=True, frozen=True):
    name: Name
    at: str
    zone: str = ""
    peer_at: str = ""  # where it hears other gateways
    peer_via: str = ""  # where others send to reach it, if not there
    rack: str = ""  # for the order of restarts
    admin_via: str = ""  # where other gateways call it; empty: admin_at, or their own state directory
    admin_at: str = ""  # where operators call it from other machines, over TLS; empty: its Unix socket alone
    members_at: str = ""  # where it hears whether others are there; empty: it takes no part in membership
    members_via: str = ""  # where others send to reach it, if not there
    reports_at: str = ""  # where `ledgehitch reports` takes players' reports; empty: the gateway does
    gone: bool = False  # for good: an operator vouches that it does not run; its number stays taken


class RegionRecord(Record, kw_only=True, frozen=True):
    """Zones that may be cut off from the others together. Stated shares are of the whole of each of the
    fleet's budgets; without one it goes by the number of gateways."""

    name: Name
    zones: list[str]
    share: Annotated[float, msgspec.Meta(gt=0, le=1)] | None = None
    gone: bool = False  # as a whole: an operator vouches that none of its gateways runs


class HostRecord(Record, kw_only=True, frozen=True):
    name: Name
    at: str
    cell: Count
    weight: Positive = 1.0
    kind: str = "std"
    zone: str = ""


class DoorRecord(Record, kw_only=True, frozen=True):
    """Whether and how clients are let in fairly; `order`: what names a client, the first known counts."""

    on: bool = False
    order: tuple[Literal["token", "certificate", "address"], ...] = ("token", "certificate", "address")
    client_rate: Amount = 0.0  # offers a second of one client at one gateway; 0: no limit
    client_burst: Annotated[float, msgspec.Meta(ge=1)] = 20.0  # offers of one client that may come at once
    package_rates: dict[Name, Positive] = {}  # offers a second of a package, of the whole fleet
    set_ups: Amount = 0.0  # at once, of the whole fleet; 0: only what each gateway finds out itself


class OwnersRecord(Record, kw_only=True, frozen=True):
    """Work for the whole fleet that one gateway at a time does. Times are seconds."""

    lease: Annotated[float, msgspec.Meta(ge=0.5, le=600)] = 10.0  # of a duty's owner
    verdicts_to: str = ""  # HOST:PORT that takes the fleet's verdicts; empty: nobody does
    verdicts_every: Annotated[float, msgspec.Meta(ge=0.5)] = 60.0


class BudgetsRecord(Record, kw_only=True, frozen=True):
    """How the limits of the whole fleet (`door.package_rates`, `door.set_ups`) are divided among gateways
    that take part in membership."""

    own_part: Annotated[float, msgspec.Meta(ge=0, le=1)] = 0.1  # of the whole that is not lent: 1/n to each


class Site(Record, kw_only=True, frozen=True):
    name: Name
    ladder: Annotated[list[Rung], msgspec.Meta(min_length=1, max_length=32)]
    packages: Annotated[list[PackageRecord], msgspec.Meta(min_length=1)]
    fleet: FleetRecord
    terms: TermsRecord = TermsRecord()
    titles: dict[Name, Title]
    gateways: Annotated[list[GatewayRecord], msgspec.Meta(min_length=1)]
    regions: list[RegionRecord] = []  # empty: the whole site is one
    hosts: list[HostRecord] = []  # what the stand-ins run; gateways learn theirs from the list service
    list_at: str
    peer_key_file: str = ""
    door: DoorRecord = DoorRecord()
    owners: OwnersRecord = OwnersRecord()
    budgets: BudgetsRecord = BudgetsRecord()


def active_gateways(site: Site) -> tuple[str, ...]:
    """The gateways that count: those that nobody declared gone, nor their region."""
    lost = {zone for r in site.regions if r.gone for zone in r.zones}
    return tuple(g.name for g in site.gateways if not g.gone and g.zone not in lost)


def wrong_regions(site: Site) -> Iterator[tuple[tuple[str, ...], str]]:
    """What is wrong with a site's regions: where, with a region by its name, and why."""
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
    some = [r for r in site.regions if r.share is not None]
    for r in site.regions if some else ():
        if r.share is None:
            yield ("regions", r.name), f"it has no share, while {some[0].name!r} states one"
    whole = sum(Fraction(str(r.share)) for r in some)
    if whole > 1:
        yield ("regions", some[-1].name, "share"), f"shares come to {float(whole):g}, more than the whole"
    if site.regions and all(r.gone for r in site.regions):
        yield ("regions",), "all of them are declared gone"


def can_lend_budgets(site: Site) -> bool:
    """Whether limits of the fleet are lent among its gateways: all of them can hear one another."""
    return bool(site.peer_key_file) and all(g.members_at for g in site.gateways)


def read_site(path: Path) -> Site:
    """A site in the configuration language, or as JSON of the records (`.json`)."""
    if path.suffix != ".json":
        from ledgehitch.config.load import read_site_text  # it imports this module

        return read_site_text(path)
    site = read_record(path, Site)
    check(site, str(path))
    return site


def check(site: Site, name: str) -> None:
    """What the types do not say: references and orders between fields."""

    def wrong(field: str, reason: str) -> None:
        raise BadInput(f"{name}: {field}: {reason}")

    kb = [r.kb for r in site.ladder]
    if kb != sorted(set(kb)):
        wrong("ladder", f"rungs must rise in kb, they are {kb}")
    for what, names in (
        ("packages", [p.name for p in site.packages]),
        ("hosts", [h.name for h in site.hosts]),
        ("gateways", [g.name for g in site.gateways]),
    ):
        for i, one in enumerate(names):
            if one in names[:i]:
                wrong(f"{what}[{i}].name", f"{one!r} is named twice")
    for i, p in enumerate(site.packages):
        if p.join_target > p.patience:
            wrong(
                f"packages[{i}].join_target", f"{p.join_target:g} s is more than patience, {p.patience:g} s"
            )
        if p.floor >= len(site.ladder):
            wrong(f"packages[{i}].floor", f"{p.floor} is no rung, the ladder has 0 to {len(site.ladder) - 1}")
        if p.effect == "by_key" and not p.key_window:
            wrong(f"packages[{i}].key_window", "a package set up by key needs a window above 0")
    for title, held in site.titles.items():
        if held.first >= max(1, site.fleet.cells):
            wrong(f"titles.{title}.first", f"{held.first} is no cell, there are {site.fleet.cells}")
    for i, h in enumerate(site.hosts):
        if h.kind not in site.fleet.slots:
            wrong(f"hosts[{i}].kind", f"{h.kind!r} has no places, known are {', '.join(site.fleet.slots)}")
        if h.cell >= site.fleet.cells:
            wrong(f"hosts[{i}].cell", f"{h.cell} is no cell, there are {site.fleet.cells}")
    for name in site.door.package_rates:
        if name not in [p.name for p in site.packages]:
            wrong(f"door.package_rates.{name}", "no such package is sold")
    for place, reason in wrong_regions(site):
        wrong(".".join(place), reason)
    if not active_gateways(site):
        wrong("gateways", "all of them are declared gone")
    if site.terms.extra_free is not None and not site.terms.extra_window:
        wrong("terms.extra_window", "a budget for further tune-ins needs a window above 0")


def rack_name(names: Sequence[str], rack: str) -> str:
    """What people call the rack of this number, by a site's `rack_names`."""
    return names[int(rack)] if rack.isdigit() and int(rack) < len(names) else f"rack-{rack}"


def facts_of(site: Site, gateway: str) -> tuple[Ladder, tuple[Package, ...], Fleet, Terms]:
    """What the decision module of one gateway is told at start."""
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
