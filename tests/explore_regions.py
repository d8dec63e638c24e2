"""Interleavings of two small regions, for the invariants of `regions/shares.py` and of owners in two scopes.

Four gateways, two in each region, restart with one version of the site or another, with their files or
without. They become candidates and request votes in the fleet's scope and in their region's, check their
lease and lend late, and hear which version others use. A message not heard is a step not taken, so regions
are partitioned, in one direction or both, for any time. Clocks run at different rates, within a bound of a
factor of two here, so that whole time steps show the difference. All classes are the production ones.

Invariants: there are never two owners of one duty in one scope at the same true time; the loans of both
regions' lenders that may be in use never exceed the whole. Own parts are covered by the exploration of
`budgets/`, which takes a share as given.
"""

from collections.abc import Iterator
from dataclasses import dataclass, field
from typing import Any, NamedTuple

from ledgehitch.owners.durable_state import DurableState
from ledgehitch.owners.facts import MemberLists, vote_duration
from ledgehitch.owners.votes import Fence, Lease, Voter
from ledgehitch.regions.facts import WHOLE, Region, regions_digest
from ledgehitch.regions.shares import RegionShares
from ledgehitch.regions.shares import initial_shares as shares_begun
from tests.interleavings import Exploration

FLEET, REGIONAL = "a", "b"  # a duty of all, and one of a region
LEASE, LOAN = 2.0, 2.0
FAST = 2.0  # the rate of the fast clocks; the slow ones have 1
NAMES = ("0", "1", "2", "3")


def version(north: float, south: float, in_north: int = 2, both: int = 0) -> tuple[Region, ...]:
    """Returns a version of the regions. `both`: number of gateways in both regions, a fault."""
    return (
        Region("north", int(north * WHOLE), NAMES[: in_north + both]),
        Region("south", int(south * WHOLE), NAMES[in_north:]),
    )


EVEN = version(0.5, 0.5)
RAISED = version(0.75, 0.25)
MOVED = version(0.25, 0.75, 1)  # gateway 1 changes its region, with its share
TWICE = version(0.75, 0.75, 1, both=1)
NONE: tuple[Region, ...] = ()


class Scenario(NamedTuple):
    """Which steps are possible: with fewer of them the exploration goes deeper."""

    versions: tuple[tuple[Region, ...], ...] = (EVEN, RAISED)
    rates: tuple[float, ...] = (1.0, 1.0, 1.0, 1.0)
    regional_candidates: frozenset[int] = frozenset({0, 2})  # for the duty of their region
    fleet_candidates: frozenset[int] = frozenset()  # for the duty of all
    may_restart: frozenset[int] = frozenset({0, 1, 2, 3})
    empty_restarts: frozenset[int] = frozenset()  # restart without files
    listeners: frozenset[int] = frozenset({0, 2})
    may_downgrade: bool = False  # whether an earlier version may be started after a later one
    max_time: float = 6.0
    max_lives: int = 2


RAISE = Scenario()
CLOCKS = Scenario(rates=(FAST, 1.0, 1.0, 1.0))
MOVE = Scenario(versions=(EVEN, MOVED), regional_candidates=frozenset({0, 2, 3}), listeners=frozenset({2, 3}))
FORGET = Scenario(may_restart=frozenset({0, 3}), listeners=frozenset({0}), max_lives=3)
LOST = Scenario(empty_restarts=frozenset({0, 1}), may_restart=frozenset({0, 1, 3}), listeners=frozenset({0}))
BACK = Scenario(may_downgrade=True, max_lives=3, may_restart=frozenset({0, 2, 3}), max_time=4.0)
FIRST = Scenario(
    versions=(NONE, EVEN),
    regional_candidates=frozenset({0, 2}),
    fleet_candidates=frozenset({0}),
    max_time=4.0,
)
OWNED = Scenario(
    versions=(EVEN,),
    regional_candidates=frozenset({0, 1, 2}),
    fleet_candidates=frozenset({0, 2}),
    may_restart=frozenset({1}),
    listeners=frozenset(),
    max_time=4.0,
)
SCENARIOS = {
    "raise": RAISE,
    "clocks": CLOCKS,
    "move": MOVE,
    "forget": FORGET,
    "lost": LOST,
    "back": BACK,
    "first": FIRST,
    "owned": OWNED,
}

NORTH_STARTS = ("0 starts by 1", "1 starts by 1")
NORTH_LENDS = ("0 stands for b", "0 asks 1 for b", "0 checks", "0 lends")
SOUTH_LENDS = ("2 stands for b", "2 asks 3 for b", "2 checks", "2 lends")
LATER = ("time passes",) * 4
SOUTH_KNOWS = ("2 starts by 1", "3 starts by 1", "2 hears 1", "2 hears 3", "3 hears 2", *LATER)
# By injected fault: the scenario that shows it, and the steps to start from if it takes many.
INJECTED_FAULTS: dict[str, tuple[str, tuple[str, ...]]] = {
    "a regional majority counts any voter": ("owned", ("0 stands for b",)),
    "the fleet's majority is counted in the region": ("owned", ("0 stands for a",)),
    "a larger share is used at once": ("raise", (*NORTH_STARTS, *NORTH_LENDS, "2 stands")),
    "raised before the other region uses the version": ("raise", (*NORTH_STARTS, "0 hears 1", *NORTH_LENDS)),
    "raised before former loans have ended": (
        "raise",
        (*NORTH_STARTS, *SOUTH_LENDS, "3 starts by 1", "0 hears 3"),
    ),
    "no allowance for clock drift": (
        "clocks",
        (*NORTH_STARTS, *SOUTH_LENDS[:2], "3 starts by 1", "0 hears 3", "time", "2 checks"),
    ),
    "the former version is forgotten at a restart": ("forget", ("0 starts by 1", "0 starts by 1")),
    "no remembered version counts as settled": (
        "lost",
        ("0 starts by 1 without", "1 starts by 1 without", "time", "time"),
    ),
    "both regions count the same gateway": (
        "move",
        ("0 starts by 1", "1 starts by 1", *SOUTH_KNOWS, *SOUTH_LENDS),
    ),
}


@dataclass
class Gateway:
    scopes: dict[str, DurableState]  # by duty
    leases: dict[str, Lease | None]
    region: str
    checked: tuple[float, int] | None = None  # time of the request by its clock, and the share it lends


@dataclass
class World:
    scenario: Scenario
    fault: str
    now: float = 0.0
    gateways: list[Gateway] = field(default_factory=list)
    disks: list[dict[str, Any]] = field(default_factory=list)
    lives: list[int] = field(default_factory=list)
    running_versions: list[int] = field(default_factory=list)  # by gateway: index of its version
    lent: tuple[tuple[str, int, float], ...] = ()  # region, share, true time at which its use ends
    breach: str = ""

    def clock(self, me: int) -> float:
        return self.now * self.scenario.rates[me]

    def copy(self) -> "World":
        up = [
            Gateway(
                {d: _copy_state(m) for d, m in gateway.scopes.items()},
                {d: x and _copy_lease(x) for d, x in gateway.leases.items()},
                gateway.region,
                gateway.checked,
            )
            for gateway in self.gateways
        ]
        return World(
            self.scenario,
            self.fault,
            self.now,
            up,
            [dict(d) for d in self.disks],
            list(self.lives),
            list(self.running_versions),
            self.lent,
            self.breach,
        )

    def key(self) -> tuple[object, ...]:
        return (
            self.breach,
            self.now,
            tuple(self.lives),
            tuple(self.running_versions),
            self.lent,
            tuple(
                (
                    gateway.region,
                    gateway.checked,
                    *(
                        (
                            v.term,
                            v.member,
                            v.bound_until,
                            m.lists,
                            m.may_vote_from,
                            m.settles_at,
                            tuple(sorted(m.on_current)),
                            m.shares and (m.shares.former_unused, m.shares.settles_at, m.shares.former),
                        )
                        for m in gateway.scopes.values()
                        for v in m.voters.values()
                    ),
                    *(
                        x and (x.term, tuple(sorted(x.requested_at.items())), x.ended)
                        for x in gateway.leases.values()
                    ),
                )
                for gateway in self.gateways
            ),
            tuple(repr(d) for d in self.disks),
        )

    def safe(self) -> bool:
        """Checks copies, since checking a lease may end it."""
        if self.breach:
            return False
        owners: dict[tuple[str, str], int] = {}
        for me, gateway in enumerate(self.gateways):
            for duty, lease in gateway.leases.items():
                if lease is not None and _copy_lease(lease).is_valid(self.clock(me)):
                    scope = duty, self._region(gateway, duty)
                    owners[scope] = owners.get(scope, 0) + 1
        for (duty, region), some in sorted(owners.items()):
            if some > 1:
                self.breach = f"two owners of {duty} of {region or 'all'}"
        used: dict[str, int] = {}
        for region, share, until in self.lent:
            if self.now < until:
                used[region] = max(share, used.get(region, 0))  # within a region its lender limits the sum
        if sum(used.values()) > WHOLE:
            self.breach = f"regions have {sum(used.values()) / WHOLE:g} of the whole"
        return not self.breach

    @staticmethod
    def _region(gateway: Gateway, duty: str) -> str:
        return gateway.scopes[duty].scope

    # ---- actions of gateways -------------------------------------------------------------------------------

    def start(self, me: int, number: int, empty: bool) -> None:
        scenario, now = self.scenario, self.clock(me)
        regions = scenario.versions[number]
        if self.fault == "both regions count the same gateway" and regions == MOVED:
            regions = TWICE
        region = next((r for r in regions if str(me) in r.gateways), Region("", WHOLE, NAMES))
        if regions == TWICE and me == 1:
            region = regions[1]
        disk = {} if empty else self.disks[me]
        if not disk:
            self.disks[me] = {}
        vote_seconds = LEASE * (
            FAST if max(scenario.rates) > 1 and self.fault != "no allowance for clock drift" else 1.0
        )
        scopes = {
            FLEET: self._make_state(
                me, (FLEET,), NAMES, disk.get(FLEET), regions_digest(regions), "", vote_seconds
            )
        }
        # Without regions, the regional duty belongs to the fleet and is stored with its duties.
        file = REGIONAL if regions else f"{REGIONAL} of all"
        scopes[REGIONAL] = self._make_state(
            me,
            (REGIONAL,),
            region.gateways,
            disk.get(file),
            regions_digest(regions),
            region.name,
            vote_seconds,
        )
        m = scopes[FLEET]
        waits = bool(m.lists.former) and m.lists.regions != regions_digest(regions)
        held = disk[FLEET].get("shares") if disk.get(FLEET) else None
        if self.fault == "the former version is forgotten at a restart" and held is not None:
            held = {**held, "current": [list(r) for r in regions], "known": True}
            held = held if self.lives[me] > 1 else disk[FLEET]["shares"]
        shares = shares_begun(region.name, regions, NAMES, held, waits)
        if shares is not None and self.fault == "a larger share is used at once":
            shares.former_unused = True
        if shares is not None and self.fault == "no remembered version counts as settled":
            shares.former_unused = shares.former_unused or held is None
        over = (
            (LEASE + LOAN) * vote_seconds / LEASE
            if self.fault != "raised before former loans have ended"
            else 0
        )
        m.set_shares(now, shares, over - vote_duration(LEASE))  # `set_shares` adds a lease
        self.gateways[me] = Gateway(scopes, {FLEET: None, REGIONAL: None}, region.name)
        self.lives[me] += 1
        self.running_versions[me] = number
        self.settle(me)
        self.store(me)

    def _make_state(
        self,
        me: int,
        duties: tuple[str, ...],
        names: tuple[str, ...],
        held: Any,
        regions: str,
        scope: str,
        vote_seconds: float,
    ) -> DurableState:
        now = self.clock(me)
        m = DurableState(
            now, str(me), names, duties, LEASE, held, 0, vote_seconds, regions=regions, scope=scope
        )
        if not m.intact and self.gateways:
            # As greetings do, it learns the terms of other members; it votes after waiting.
            for gateway in self.gateways:
                for d, voter in m.voters.items():
                    if gateway.scopes[d].scope == scope:
                        voter.term = max(voter.term, gateway.scopes[d].voters[d].term)
        m.confirmed = True
        return m

    def store(self, me: int) -> None:
        gateway = self.gateways[me]
        file = REGIONAL if gateway.region else f"{REGIONAL} of all"
        self.disks[me] |= {FLEET: gateway.scopes[FLEET].record(), file: gateway.scopes[REGIONAL].record()}

    def settle(self, me: int) -> None:
        """Settles both scopes, as `Owning` does before each decision."""
        gateway, now = self.gateways[me], self.clock(me)
        gateway.scopes[REGIONAL].settle(now)
        gateway.scopes[FLEET].region_unsettled = bool(gateway.scopes[REGIONAL].lists.former)
        gateway.scopes[FLEET].settle(now)

    def share(self, me: int) -> int:
        shares = self.gateways[me].scopes[FLEET].shares
        return WHOLE if shares is None else shares.in_force()

    def start_candidacy(self, me: int, duty: str) -> bool:
        m, now = self.gateways[me].scopes[duty], self.clock(me)
        voter = m.voters[duty]
        if not m.may_vote(now) or duty == REGIONAL and not self.share(me) or str(me) not in m.lists.current:
            return False
        if not voter.on_vote_request(now, voter.term + 1, str(me)):
            return False
        lists = m.lists
        if self.fault == "the fleet's majority is counted in the region" and duty == FLEET:
            lists = MemberLists(self.gateways[me].scopes[REGIONAL].lists.current)
        lease = (
            _AnyVoterLease(voter.term, lists, LEASE)
            if self._counts_any_voter(duty)
            else Lease(voter.term, lists, LEASE)
        )
        lease.on_grant(str(me), now)
        self.gateways[me].leases[duty] = lease
        self.store(me)
        return True

    def _counts_any_voter(self, duty: str) -> bool:
        return self.fault == "a regional majority counts any voter" and duty == REGIONAL

    def request_vote(self, me: int, to: int, duty: str) -> bool:
        """Requests a vote, with an immediate answer; returns whether it was granted."""
        here, there = self.gateways[me].scopes[duty], self.gateways[to].scopes[duty]
        lease, now = self.gateways[me].leases[duty], self.clock(to)
        assert lease is not None
        strange = here.scope != there.scope or not there.lists.covered_by(*here.lists.digests())
        careless = self._counts_any_voter(duty) or (
            self.fault == "both regions count the same gateway" and duty == REGIONAL and to == 1
        )
        if strange and not careless or not there.may_vote(now):
            return False
        if not there.voters[duty].on_vote_request(now, lease.term, str(me)):
            return False
        here.voters[duty].on_vote_request(self.clock(me), lease.term, str(me))
        lease.on_grant(str(me), self.clock(me))
        lease.on_grant(str(to), self.clock(me))
        self.store(to)
        self.store(me)
        return True

    def on_version(self, me: int, of: int) -> bool:
        """Handles the version that `of` uses; returns whether this changed anything."""
        here, there = self.gateways[me].scopes[FLEET], self.gateways[of].scopes[FLEET]
        if not there.may_vote(self.clock(of)) or not here.unsettled():
            return False
        before = set(here.on_current)
        here.on_member_list(self.clock(me), str(of), there.lists.digests()[0])
        own, theirs = self.gateways[me].scopes[REGIONAL], self.gateways[of].scopes[REGIONAL]
        if own.scope == theirs.scope:
            own.on_member_list(self.clock(me), str(of), theirs.lists.digests()[0])
        if self.fault == "raised before the other region uses the version" and here.shares is not None:
            mine = set(here.shares.current[0].gateways if me < 2 else here.shares.current[1].gateways)
            if here.on_current >= mine:
                here.shares.former_unused = True
        return here.on_current != before


class _AnyVoterLease(Lease):
    """An injected fault: any voters count towards the majority of the current list."""

    def expires_at(self) -> float:
        asked = sorted(self.requested_at.values(), reverse=True)
        most = len(self.lists.current) // 2 + 1
        return asked[most - 1] + self.duration if len(asked) >= most else -1e18


def _copy_state(m: DurableState) -> DurableState:
    new = DurableState.__new__(DurableState)
    new.__dict__.update(m.__dict__)
    new.voters = {d: Voter(v.vote_duration, v.term, v.member, v.bound_until) for d, v in m.voters.items()}
    new.fence, new.lives, new.greeting_responses = (
        Fence(m.fence.highest),
        dict(m.lives),
        dict(m.greeting_responses),
    )
    new.on_current = set(m.on_current)
    if m.shares is not None:
        new.shares = RegionShares(m.shares.region, m.shares.current, m.shares.former, m.shares.former_unused)
        new.shares.settles_at = m.shares.settles_at
    return new


def _copy_lease(lease: Lease) -> Lease:
    new = type(lease)(lease.term, lease.lists, lease.duration)
    new.requested_at, new.ended, new._latest_read = dict(lease.requested_at), lease.ended, lease._latest_read
    return new


def make_world(scenario: Scenario, fault: str = "") -> World:
    """Returns a world in which all gateways have long run the first version."""
    world = World(scenario, fault)
    world.disks, world.lives, world.running_versions = [{} for _ in NAMES], [0] * 4, [0] * 4
    for me in range(4):
        _add_gateway(world, me)
    return world


def _add_gateway(world: World, me: int) -> None:
    regions = world.scenario.versions[0]
    region = next((r for r in regions if str(me) in r.gateways), Region("", WHOLE, NAMES))
    vote_seconds = LEASE * (
        FAST if max(world.scenario.rates) > 1 and world.fault != "no allowance for clock drift" else 1.0
    )
    scopes = {}
    for duty, names, scope in ((FLEET, NAMES, ""), (REGIONAL, region.gateways, region.name)):
        m = DurableState(
            0.0,
            str(me),
            names,
            (duty,),
            LEASE,
            None,
            0,
            vote_seconds,
            regions=regions_digest(regions),
            scope=scope,
        )
        m.intact = m.confirmed = True
        m.may_vote_from = 0.0
        scopes[duty] = m
    if regions:
        scopes[FLEET].set_shares(0.0, RegionShares(region.name, regions, regions, True), 0.0)
    world.gateways.append(Gateway(scopes, {FLEET: None, REGIONAL: None}, region.name))
    world.lives[me] = 1
    world.store(me)


def steps(world: World) -> Iterator[tuple[str, World]]:
    """Yields every world that one step leads to, with a description of the step."""
    scenario = world.scenario
    if world.now < scenario.max_time:
        new = world.copy()
        new.now += 1.0
        new.lent = tuple(x for x in new.lent if new.now < x[2])
        for me in range(4):
            new.settle(me)
            new.store(me)
        yield "time passes", new
    for me, gateway in enumerate(world.gateways):
        if me in scenario.may_restart and world.lives[me] < scenario.max_lives:
            for number in range(len(scenario.versions)):
                if number < world.running_versions[me] and not scenario.may_downgrade:
                    continue
                for empty in (False, True) if me in scenario.empty_restarts else (False,):
                    new = world.copy()
                    new.start(me, number, empty)
                    yield f"{me} starts by {number}" + (" without files" if empty else ""), new
        for duty, some in ((REGIONAL, scenario.regional_candidates), (FLEET, scenario.fleet_candidates)):
            if me in some:
                yield from _owner_steps(world, me, duty)
        lease = gateway.leases[REGIONAL]
        owns = lease is not None and _copy_lease(lease).is_valid(world.clock(me))
        if me in scenario.regional_candidates and gateway.checked is None and owns and world.share(me):
            new = world.copy()
            new.gateways[me].checked = world.now, world.share(me)
            yield f"{me} checks its lease", new
        if gateway.checked is not None:
            new = world.copy()
            asked, share = gateway.checked
            new.gateways[me].checked = None
            # The borrower counts from its request, by its own clock, which may be slow.
            new.lent = tuple(sorted({*new.lent, (gateway.region, share, asked + LOAN)}))
            yield f"{me} lends", new
        if me in scenario.listeners:
            for of in range(4):
                if of != me:
                    new = world.copy()
                    if new.on_version(me, of):
                        yield f"{me} hears {of}", new


def _owner_steps(world: World, me: int, duty: str) -> Iterator[tuple[str, World]]:
    lease = world.gateways[me].leases[duty]
    if lease is None or not _copy_lease(lease).is_valid(world.clock(me)) and len(lease.requested_at) > 1:
        if world.gateways[me].scopes[duty].voters[duty].term < 2:
            new = world.copy()
            if new.start_candidacy(me, duty):
                yield f"{me} stands for {duty}", new
        return
    for to in range(4):
        if to != me:
            new = world.copy()
            if new.request_vote(me, to, duty):
                yield f"{me} asks {to} for {duty}", new


EXPLORATION = Exploration(make_world, steps)
explore, walk = EXPLORATION.explore, EXPLORATION.walk
