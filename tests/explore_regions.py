"""Interleavings of two small regions, for the promises of `regions/shares.py` and of owners in two scopes.

Four gateways, two in each region, start anew by one version of the site or another, with their files or
with none; they stand and ask for votes in the scope of all and in their region's, look at their lease and
lend late, and hear by which version others go. What is not heard is a step that is not taken: so regions are
cut, one way or both, for any time. Clocks run at different rates, within a bound that is given here as a
factor of two so that whole steps of time show it. All classes are the ones that gateways run.

Never: two owners of one duty in one scope at one true moment; of what lenders of both regions lent and may be
spent still, more than the whole. Own parts are `budgets/`'s, whose exploration takes a share as given.
"""

from collections.abc import Iterator
from dataclasses import dataclass, field
from typing import Any, NamedTuple

from ledgehitch.owners.facts import MemberLists, vote_duration
from ledgehitch.owners.memory import DurableState
from ledgehitch.owners.votes import Fence, Lease, Voter
from ledgehitch.regions.facts import WHOLE, Region, regions_digest
from ledgehitch.regions.shares import RegionShares
from ledgehitch.regions.shares import initial_shares as shares_begun
from tests.interleavings import Exploration

ALL, OWN = "a", "b"  # a duty of all, and one of a region
LEASE, LOAN = 2.0, 2.0
FAST = 2.0  # the rate of the fast clocks; the slow ones have 1
NAMES = ("0", "1", "2", "3")


def version(north: float, south: float, in_north: int = 2, both: int = 0) -> tuple[Region, ...]:
    """`both`: gateways that are in both regions, a fault."""
    return (
        Region("north", int(north * WHOLE), NAMES[: in_north + both]),
        Region("south", int(south * WHOLE), NAMES[in_north:]),
    )


EVEN = version(0.5, 0.5)
RAISED = version(0.75, 0.25)
MOVED = version(0.25, 0.75, 1)  # gateway 1 goes over, and its share with it
TWICE = version(0.75, 0.75, 1, both=1)
NONE: tuple[Region, ...] = ()


class Corner(NamedTuple):
    """Which steps are taken at all: fewer of them are gone through to a greater depth."""

    versions: tuple[tuple[Region, ...], ...] = (EVEN, RAISED)
    rates: tuple[float, ...] = (1.0, 1.0, 1.0, 1.0)
    standing: frozenset[int] = frozenset({0, 2})  # for the duty of their region
    for_all: frozenset[int] = frozenset()  # for the duty of all
    starts: frozenset[int] = frozenset({0, 1, 2, 3})
    empty: frozenset[int] = frozenset()  # come back without files
    hears: frozenset[int] = frozenset({0, 2})
    backwards: bool = False  # versions are also started in the other order
    ends: float = 6.0
    lives: int = 2


RAISE = Corner()
CLOCKS = Corner(rates=(FAST, 1.0, 1.0, 1.0))
MOVE = Corner(versions=(EVEN, MOVED), standing=frozenset({0, 2, 3}), hears=frozenset({2, 3}))
FORGET = Corner(starts=frozenset({0, 3}), hears=frozenset({0}), lives=3)
LOST = Corner(empty=frozenset({0, 1}), starts=frozenset({0, 1, 3}), hears=frozenset({0}))
BACK = Corner(backwards=True, lives=3, starts=frozenset({0, 2, 3}), ends=4.0)
FIRST = Corner(versions=(NONE, EVEN), standing=frozenset({0, 2}), for_all=frozenset({0}), ends=4.0)
OWNED = Corner(
    versions=(EVEN,),
    standing=frozenset({0, 1, 2}),
    for_all=frozenset({0, 2}),
    starts=frozenset({1}),
    hears=frozenset(),
    ends=4.0,
)
CORNERS = {
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
# Planted faults: the corner in which each shows, and the steps that lead near it where it lies deep.
PLANTED: dict[str, tuple[str, tuple[str, ...]]] = {
    "a region's majority counted over all": ("owned", ("0 stands for b",)),
    "the majority of all counted over the region": ("owned", ("0 stands for a",)),
    "the larger share at once": ("raise", (*NORTH_STARTS, *NORTH_LENDS, "2 stands")),
    "raised before the other region goes by it": ("raise", (*NORTH_STARTS, "0 hears 1", *NORTH_LENDS)),
    "raised before what was lent is over": (
        "raise",
        (*NORTH_STARTS, *SOUTH_LENDS, "3 starts by 1", "0 hears 3"),
    ),
    "no allowance for clocks": (
        "clocks",
        (*NORTH_STARTS, *SOUTH_LENDS[:2], "3 starts by 1", "0 hears 3", "time", "2 checks"),
    ),
    "forgotten at a restart": ("forget", ("0 starts by 1", "0 starts by 1")),
    "nothing remembered counts as known": (
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
    checked: tuple[float, int] | None = None  # its clock when it was asked, and the share it lends


@dataclass
class World:
    corner: Corner
    spoilt: str
    now: float = 0.0
    up: list[Gateway] = field(default_factory=list)
    disks: list[dict[str, Any]] = field(default_factory=list)
    lives: list[int] = field(default_factory=list)
    runs: list[int] = field(default_factory=list)  # which version each was started by
    lent: tuple[tuple[str, int, float], ...] = ()  # region, share, true time up to which it is spent
    breach: str = ""

    def clock(self, me: int) -> float:
        return self.now * self.corner.rates[me]

    def copied(self) -> "World":
        up = [
            Gateway(
                {d: _memory(m) for d, m in g.scopes.items()},
                {d: x and _lease(x) for d, x in g.leases.items()},
                g.region,
                g.checked,
            )
            for g in self.up
        ]
        return World(
            self.corner,
            self.spoilt,
            self.now,
            up,
            [dict(d) for d in self.disks],
            list(self.lives),
            list(self.runs),
            self.lent,
            self.breach,
        )

    def key(self) -> tuple[object, ...]:
        return (
            self.breach,
            self.now,
            tuple(self.lives),
            tuple(self.runs),
            self.lent,
            tuple(
                (
                    g.region,
                    g.checked,
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
                        for m in g.scopes.values()
                        for v in m.voters.values()
                    ),
                    *(
                        x and (x.term, tuple(sorted(x.requested_at.items())), x.ended)
                        for x in g.leases.values()
                    ),
                )
                for g in self.up
            ),
            tuple(repr(d) for d in self.disks),
        )

    def safe(self) -> bool:
        """Looks at copies: looking ends no lease."""
        if self.breach:
            return False
        owners: dict[tuple[str, str], int] = {}
        for me, g in enumerate(self.up):
            for duty, lease in g.leases.items():
                if lease is not None and _lease(lease).is_valid(self.clock(me)):
                    scope = duty, self._region(g, duty)
                    owners[scope] = owners.get(scope, 0) + 1
        for (duty, region), some in sorted(owners.items()):
            if some > 1:
                self.breach = f"two owners of {duty} of {region or 'all'}"
        used: dict[str, int] = {}
        for region, share, until in self.lent:
            if self.now < until:
                used[region] = max(share, used.get(region, 0))  # within a region its lender sees to it
        if sum(used.values()) > WHOLE:
            self.breach = f"regions have {sum(used.values()) / WHOLE:g} of the whole"
        return not self.breach

    @staticmethod
    def _region(g: Gateway, duty: str) -> str:
        return g.scopes[duty].scope

    # ---- what gateways do ----------------------------------------------------------------------------------

    def start(self, me: int, number: int, empty: bool) -> None:
        c, now = self.corner, self.clock(me)
        regions = c.versions[number]
        if self.spoilt == "both regions count the same gateway" and regions == MOVED:
            regions = TWICE
        region = next((r for r in regions if str(me) in r.gateways), Region("", WHOLE, NAMES))
        if regions == TWICE and me == 1:
            region = regions[1]
        disk = {} if empty else self.disks[me]
        if not disk:
            self.disks[me] = {}
        promise = LEASE * (FAST if max(c.rates) > 1 and self.spoilt != "no allowance for clocks" else 1.0)
        scopes = {ALL: self._begins(me, (ALL,), NAMES, disk.get(ALL), regions_digest(regions), "", promise)}
        # Without regions the duty of a region is one of all, which is kept with them.
        file = OWN if regions else f"{OWN} of all"
        scopes[OWN] = self._begins(
            me, (OWN,), region.gateways, disk.get(file), regions_digest(regions), region.name, promise
        )
        m = scopes[ALL]
        waits = bool(m.lists.former) and m.lists.regions != regions_digest(regions)
        held = disk[ALL].get("shares") if disk.get(ALL) else None
        if self.spoilt == "forgotten at a restart" and held is not None:
            held = {**held, "current": [list(r) for r in regions], "known": True}
            held = held if self.lives[me] > 1 else disk[ALL]["shares"]
        shares = shares_begun(region.name, regions, NAMES, held, waits)
        if shares is not None and self.spoilt == "the larger share at once":
            shares.former_unused = True
        if shares is not None and self.spoilt == "nothing remembered counts as known":
            shares.former_unused = shares.former_unused or held is None
        over = (LEASE + LOAN) * promise / LEASE if self.spoilt != "raised before what was lent is over" else 0
        m.set_shares(now, shares, over - vote_duration(LEASE))  # a lease is added there
        self.up[me] = Gateway(scopes, {ALL: None, OWN: None}, region.name)
        self.lives[me] += 1
        self.runs[me] = number
        self.looks(me)
        self.keep(me)

    def _begins(
        self,
        me: int,
        duties: tuple[str, ...],
        names: tuple[str, ...],
        held: Any,
        regions: str,
        scope: str,
        promise: float,
    ) -> DurableState:
        now = self.clock(me)
        m = DurableState(now, str(me), names, duties, LEASE, held, 0, promise, regions=regions, scope=scope)
        if not m.intact and self.up:
            # What greetings bring it: the terms of those that it asks; it votes when it has waited.
            for g in self.up:
                for d, voter in m.voters.items():
                    if g.scopes[d].scope == scope:
                        voter.term = max(voter.term, g.scopes[d].voters[d].term)
        m.confirmed = True
        return m

    def keep(self, me: int) -> None:
        g = self.up[me]
        file = OWN if g.region else f"{OWN} of all"
        self.disks[me] |= {ALL: g.scopes[ALL].record(), file: g.scopes[OWN].record()}

    def looks(self, me: int) -> None:
        """What `Owning` does each time that it looks."""
        g, now = self.up[me], self.clock(me)
        g.scopes[OWN].settle(now)
        g.scopes[ALL].region_unsettled = bool(g.scopes[OWN].lists.former)
        g.scopes[ALL].settle(now)

    def share(self, me: int) -> int:
        shares = self.up[me].scopes[ALL].shares
        return WHOLE if shares is None else shares.in_force()

    def stands(self, me: int, duty: str) -> bool:
        m, now = self.up[me].scopes[duty], self.clock(me)
        voter = m.voters[duty]
        if not m.may_vote(now) or duty == OWN and not self.share(me) or str(me) not in m.lists.current:
            return False
        if not voter.on_vote_request(now, voter.term + 1, str(me)):
            return False
        lists = m.lists
        if self.spoilt == "the majority of all counted over the region" and duty == ALL:
            lists = MemberLists(self.up[me].scopes[OWN].lists.current)
        lease = _Anyone(voter.term, lists, LEASE) if self._over_all(duty) else Lease(voter.term, lists, LEASE)
        lease.on_grant(str(me), now)
        self.up[me].leases[duty] = lease
        self.keep(me)
        return True

    def _over_all(self, duty: str) -> bool:
        return self.spoilt == "a region's majority counted over all" and duty == OWN

    def asks(self, me: int, to: int, duty: str) -> bool:
        """There and back at once; whether it was granted."""
        here, there = self.up[me].scopes[duty], self.up[to].scopes[duty]
        lease, now = self.up[me].leases[duty], self.clock(to)
        assert lease is not None
        strange = here.scope != there.scope or not there.lists.covered_by(*here.lists.digests())
        careless = self._over_all(duty) or (
            self.spoilt == "both regions count the same gateway" and duty == OWN and to == 1
        )
        if strange and not careless or not there.may_vote(now):
            return False
        if not there.voters[duty].on_vote_request(now, lease.term, str(me)):
            return False
        here.voters[duty].on_vote_request(self.clock(me), lease.term, str(me))
        lease.on_grant(str(me), self.clock(me))
        lease.on_grant(str(to), self.clock(me))
        self.keep(to)
        self.keep(me)
        return True

    def hears(self, me: int, of: int) -> bool:
        """Whether it was news which version `of` goes by."""
        here, there = self.up[me].scopes[ALL], self.up[of].scopes[ALL]
        if not there.may_vote(self.clock(of)) or not here.unsettled():
            return False
        before = set(here.on_current)
        here.on_member_list(self.clock(me), str(of), there.lists.digests()[0])
        own, theirs = self.up[me].scopes[OWN], self.up[of].scopes[OWN]
        if own.scope == theirs.scope:
            own.on_member_list(self.clock(me), str(of), theirs.lists.digests()[0])
        if self.spoilt == "raised before the other region goes by it" and here.shares is not None:
            mine = set(here.shares.current[0].gateways if me < 2 else here.shares.current[1].gateways)
            if here.on_current >= mine:
                here.shares.former_unused = True
        return here.on_current != before


class _Anyone(Lease):
    """A planted fault: whoever granted counts, up to a majority of the list."""

    def expires_at(self) -> float:
        asked = sorted(self.requested_at.values(), reverse=True)
        most = len(self.lists.current) // 2 + 1
        return asked[most - 1] + self.duration if len(asked) >= most else -1e18


def _memory(m: DurableState) -> DurableState:
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


def _lease(lease: Lease) -> Lease:
    new = type(lease)(lease.term, lease.lists, lease.duration)
    new.requested_at, new.ended, new._latest_read = dict(lease.requested_at), lease.ended, lease._latest_read
    return new


def begun(corner: Corner, spoilt: str = "") -> World:
    """All run by the first version, and have for long."""
    w = World(corner, spoilt)
    w.disks, w.lives, w.runs = [{} for _ in NAMES], [0] * 4, [0] * 4
    for me in range(4):
        _first(w, me)
    return w


def _first(w: World, me: int) -> None:
    regions = w.corner.versions[0]
    region = next((r for r in regions if str(me) in r.gateways), Region("", WHOLE, NAMES))
    promise = LEASE * (FAST if max(w.corner.rates) > 1 and w.spoilt != "no allowance for clocks" else 1.0)
    scopes = {}
    for duty, names, scope in ((ALL, NAMES, ""), (OWN, region.gateways, region.name)):
        m = DurableState(
            0.0,
            str(me),
            names,
            (duty,),
            LEASE,
            None,
            0,
            promise,
            regions=regions_digest(regions),
            scope=scope,
        )
        m.intact = m.confirmed = True
        m.may_vote_from = 0.0
        scopes[duty] = m
    if regions:
        scopes[ALL].set_shares(0.0, RegionShares(region.name, regions, regions, True), 0.0)
    w.up.append(Gateway(scopes, {ALL: None, OWN: None}, region.name))
    w.lives[me] = 1
    w.keep(me)


def steps(w: World) -> Iterator[tuple[str, World]]:
    """Every world that one step leads to, with the step in words."""
    c = w.corner
    if w.now < c.ends:
        new = w.copied()
        new.now += 1.0
        new.lent = tuple(x for x in new.lent if new.now < x[2])
        for me in range(4):
            new.looks(me)
            new.keep(me)
        yield "time passes", new
    for me, g in enumerate(w.up):
        if me in c.starts and w.lives[me] < c.lives:
            for number in range(len(c.versions)):
                if number < w.runs[me] and not c.backwards:
                    continue
                for empty in (False, True) if me in c.empty else (False,):
                    new = w.copied()
                    new.start(me, number, empty)
                    yield f"{me} starts by {number}" + (" without files" if empty else ""), new
        for duty, some in ((OWN, c.standing), (ALL, c.for_all)):
            if me in some:
                yield from _owner_steps(w, me, duty)
        lease = g.leases[OWN]
        owns = lease is not None and _lease(lease).is_valid(w.clock(me))
        if me in c.standing and g.checked is None and owns and w.share(me):
            new = w.copied()
            new.up[me].checked = w.now, w.share(me)
            yield f"{me} checks its lease", new
        if g.checked is not None:
            new = w.copied()
            asked, share = g.checked
            new.up[me].checked = None
            # Its borrower counts from when it asked, by its own clock, which may be a slow one.
            new.lent = tuple(sorted({*new.lent, (g.region, share, asked + LOAN)}))
            yield f"{me} lends", new
        if me in c.hears:
            for of in range(4):
                if of != me:
                    new = w.copied()
                    if new.hears(me, of):
                        yield f"{me} hears {of}", new


def _owner_steps(w: World, me: int, duty: str) -> Iterator[tuple[str, World]]:
    lease = w.up[me].leases[duty]
    if lease is None or not _lease(lease).is_valid(w.clock(me)) and len(lease.requested_at) > 1:
        if w.up[me].scopes[duty].voters[duty].term < 2:
            new = w.copied()
            if new.stands(me, duty):
                yield f"{me} stands for {duty}", new
        return
    for to in range(4):
        if to != me:
            new = w.copied()
            if new.asks(me, to, duty):
                yield f"{me} asks {to} for {duty}", new


EXPLORATION = Exploration(begun, steps)
explored, walked = EXPLORATION.explored, EXPLORATION.walked
