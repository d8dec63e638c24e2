"""Interleavings of a small fleet, for the promises of `votes.py` and `memory.py`.

Members stand, ask, vote, renew, check, act and give back; messages are lost, doubled, late and overtake each
other; members stop between check and effect, crash with what was not on disk, come back with an old file or
none, and go by another list of gateways. Clocks run at different rates, within the bound that is given here
as a factor of two so that whole steps of time show it. All classes are the ones that gateways run.

Never: an effect taken under a term after one under a higher term was taken by the same receiver; two owners
at one true moment.
"""

from collections.abc import Iterator
from dataclasses import dataclass, field
from typing import Any, NamedTuple

from ledgehitch.owners.facts import MemberLists
from ledgehitch.owners.memory import DurableState
from ledgehitch.owners.votes import Fence, Lease, Voter
from tests.interleavings import Exploration

DUTY = "d"
LEASE = 2.0
FAST = 2.0  # the rate of the fast clocks; the slow ones have 1


class Message(NamedTuple):
    kind: str  # ask, grant, back, effect, greet, greeted
    sender: int
    to: int
    term: int = 0
    asked_at: float = 0.0
    lists: tuple[bytes, bytes] = (b"", b"")
    life: int = 0
    nonce: int = 0
    sound: bool = False
    known: int = 0


class Corner(NamedTuple):
    """Which steps are taken at all: fewer of them are gone through to a greater depth."""

    stated: int = 3
    rates: tuple[float, ...] = (1.0, FAST, 1.0)
    standing: frozenset[int] = frozenset({0, 1})
    crashers: frozenset[int] = frozenset()
    stale: frozenset[int] = frozenset()  # come back with the file of their first life
    empty: frozenset[int] = frozenset()  # come back with none
    receiver: int = 2
    changes: frozenset[int] = frozenset()  # start anew by the longer list
    longer: int = 0  # its length
    effects: bool = True
    gives_back: bool = False
    ends: float = 6.0
    lives: int = 2
    terms: int = 3
    most_wire: int = 2
    doubles: bool = True


SLOW = (1.0, 1.0, 1.0)
LEASES = Corner(terms=2, ends=4.0, effects=False)
CRASHES = Corner(crashers=frozenset({1, 2}), rates=SLOW, effects=False, terms=2, ends=4.0)
FENCES = Corner(crashers=frozenset({2}), rates=SLOW, terms=2, ends=3.0, doubles=False)
GIVEN = Corner(gives_back=True, rates=SLOW, terms=3, ends=2.0)
LOST = Corner(empty=frozenset({2}), rates=SLOW, terms=2, ends=6.0, doubles=False)
OLD = LOST._replace(empty=frozenset(), stale=frozenset({2}))
CHANGE = Corner(
    rates=(1.0,) * 5,
    standing=frozenset({0, 2}),
    changes=frozenset({1, 2}),
    longer=5,
    effects=False,
    ends=5.0,
    terms=2,
)
CORNERS = {
    "leases": LEASES,
    "crashes": CRASHES,
    "fences": FENCES,
    "given back": GIVEN,
    "lost": LOST,
    "old": OLD,
    "change": CHANGE,
}

ELECTED = ("0 stands, 1", "0 asks 1", "arrives: ask", "arrives: grant")
SECOND = (
    "1 stands, 1",
    "1 asks 2",
    "arrives: ask",
    "arrives: grant",
    "1 checks",
    "1 acts",
    "arrives: effect",
)
ACTED = (
    "0 stands, 2",
    "0 asks 2",
    "arrives: ask",
    "arrives: grant",
    "0 checks",
    "0 acts",
    "arrives: effect",
    "2 crashes",
    "time",
    "time",
    "2 starts",
    "time",
    "time",
)
# Planted faults: the corner in which each shows, and the steps that lead near it where it lies deep.
PLANTED: dict[str, tuple[str, tuple[str, ...]]] = {
    "votes are not on disk": ("crashes", ("0 stands, 1", "0 asks 2", *ELECTED[2:], "2 crashes", "2 starts")),
    "votes at once after a restart": ("crashes", ("0 stands, 1", "0 asks 2", "arrives: ask", "2 crashes")),
    "lease counted from the answer": ("leases", ("0 stands, 1", "0 asks 1", "arrives: ask", "time", "time")),
    "no allowance for clocks": ("leases", (*ELECTED, "time")),
    "no fence": ("fences", (*ELECTED, "0 checks", "time", "time", *SECOND)),
    "fence forgotten at a restart": ("fences", (*ELECTED, "0 checks", "time", "time", *SECOND)),
    "majority of those alive": ("crashes", ("1 crashes", "2 crashes")),
    "an old file is believed": ("old", ACTED),
    "a lost file is believed": ("lost", ACTED),
    "the new list alone": ("change", (*ELECTED, "2 crashes", "2 starts")),
}


@dataclass
class World:
    corner: Corner
    spoilt: str
    now: float = 0.0
    members: list[DurableState | None] = field(default_factory=list)
    leases: list[Lease | None] = field(default_factory=list)
    checked: list[int] = field(default_factory=list)  # the term found good, by who stopped before its effect
    disks: list[Any] = field(default_factory=list)
    first: list[Any] = field(default_factory=list)  # the file of the first life
    lives: list[int] = field(default_factory=list)
    wire: tuple[Message, ...] = ()
    taken: int = 0  # the highest term of an effect that was taken
    breach: str = ""

    def clock(self, me: int) -> float:
        return self.now * self.corner.rates[me]

    def copied(self) -> "World":
        return World(
            self.corner,
            self.spoilt,
            self.now,
            [m and _memory(m) for m in self.members],
            [one and _lease(one) for one in self.leases],
            list(self.checked),
            list(self.disks),
            self.first,
            list(self.lives),
            self.wire,
            self.taken,
            self.breach,
        )

    def key(self) -> tuple[object, ...]:
        return (
            self.breach,
            self.now,
            self.wire,
            self.taken,
            tuple(self.checked),
            tuple(self.lives),
            tuple(
                m
                and (
                    m.voters[DUTY].term,
                    m.voters[DUTY].member,
                    m.voters[DUTY].bound_until,
                    m.fence.highest_term(DUTY),
                    m.lists.former,
                    m.may_vote_from,
                    m.confirmed,
                    m.intact,
                    tuple(sorted(m.greeting_responses)),
                    tuple(sorted(m.on_current)),
                    m.settles_at,
                    m.life,
                )
                for m in self.members
            ),
            tuple(x and (x.term, tuple(sorted(x.requested_at.items())), x.ended) for x in self.leases),
            tuple(repr(d) for d in self.disks),
        )

    def safe(self) -> bool:
        """Looks at copies: looking ends no lease."""
        if self.breach:
            return False
        holding = 0
        for me, lease in enumerate(self.leases):
            if lease is not None and self.members[me] is not None:
                holding += _lease(lease).is_valid(self.clock(me))
        if holding > 1:
            self.breach = "two owners at one moment"
        return not self.breach

    # ---- what members do -----------------------------------------------------------------------------------

    def keep(self, me: int) -> None:
        if self.spoilt != "votes are not on disk":
            m = self.members[me]
            assert m is not None
            self.disks[me] = m.record()

    def start(self, me: int, held: Any, longer: bool = False) -> None:
        c = self.corner
        n = c.longer if longer or me >= c.stated else c.stated
        stated = tuple(str(i) for i in range(n))
        if held is not None and self.spoilt == "the new list alone":
            held = {**held, "current": list(stated), "former": []}
        promise = LEASE * FAST if self.spoilt != "no allowance for clocks" else LEASE
        if max(c.rates) == 1.0:
            promise = LEASE
        self.lives[me] += 1
        m = DurableState(self.clock(me), str(me), stated, (DUTY,), LEASE, held, self.lives[me], promise)
        if self.spoilt == "votes at once after a restart":
            m.voters[DUTY].bound_until = -1e18
        if self.spoilt == "fence forgotten at a restart":
            m.fence = Fence()
        if self.spoilt == "a lost file is believed":
            m.intact, m.confirmed, m.may_vote_from = True, True, self.clock(me) + promise
        # Where nobody comes back with another file than its own, greetings only add states: left out.
        if not c.stale and not c.empty:
            m.confirmed, m.may_vote_from = True, min(m.may_vote_from, self.clock(me))
        self.members[me] = m
        if self.spoilt != "votes are not on disk":
            self.disks[me] = m.record()

    def crash(self, me: int) -> None:
        self.members[me] = self.leases[me] = None
        self.checked[me] = 0

    def stands(self, me: int, above: int) -> bool:
        """`above`: by how much over the highest term that it gave; it may have heard of others."""
        m, now = self.members[me], self.clock(me)
        assert m is not None
        voter = m.voters[DUTY]
        if not m.may_vote(now) or voter.term + above > self.corner.terms:
            return False
        if not voter.on_vote_request(now, voter.term + above, str(me)):
            return False
        self.keep(me)
        lists = m.lists
        if self.spoilt == "majority of those alive":
            lists = MemberLists(tuple(str(i) for i, one in enumerate(self.members) if one is not None))
        self.leases[me] = Lease(voter.term, lists, LEASE)
        self._own(me)
        return True

    def _own(self, me: int) -> None:
        m, lease, now = self.members[me], self.leases[me], self.clock(me)
        assert m is not None and lease is not None
        if m.voters[DUTY].on_vote_request(now, lease.term, str(me)):
            lease.on_grant(str(me), now)

    def asks(self, me: int, to: int) -> None:
        m, lease = self.members[me], self.leases[me]
        assert m is not None and lease is not None
        self._own(me)
        self.wire += (Message("ask", me, to, lease.term, self.clock(me), m.lists.digests()),)

    def gives_back(self, me: int, to: int) -> None:
        m, lease = self.members[me], self.leases[me]
        assert m is not None and lease is not None
        m.voters[DUTY].on_release(lease.term, str(me))
        self.keep(me)
        self.leases[me] = None
        self.wire += (Message("back", me, to, lease.term),)

    def deliver(self, x: Message) -> None:
        m, now = self.members[x.to], self.clock(x.to)
        if m is None:
            return
        if x.lists[0]:
            m.on_member_list(now, str(x.sender), x.lists[0])
        match x.kind:
            case "ask":
                if not m.may_vote(now) or not m.lists.covered_by(*x.lists):
                    return
                if m.voters[DUTY].on_vote_request(now, x.term, str(x.sender)):
                    lease = self.leases[x.to]
                    if lease is not None and lease.term < x.term:
                        self.leases[x.to] = None
                    self.keep(x.to)
                    back = x._replace(kind="grant", sender=x.to, to=x.sender, lists=m.lists.digests())
                    self.wire += (back,)
            case "grant":
                lease = self.leases[x.to]
                if lease is not None and lease.term == x.term:
                    from_answer = self.spoilt == "lease counted from the answer"
                    lease.on_grant(str(x.sender), now if from_answer else x.asked_at)
            case "back":
                if m.voters[DUTY].on_release(x.term, str(x.sender)):
                    self.keep(x.to)
            case "effect":
                self._effect(x, m)
            case "greet":
                known = m.on_greeting(str(x.sender), x.life, x.nonce)
                self.keep(x.to)
                sound = m.intact or (m.confirmed and not m.bootstrapped)
                self.wire += (
                    Message(
                        "greeted",
                        x.to,
                        x.sender,
                        max(m.terms()),
                        0.0,
                        m.lists.digests(),
                        m.life,
                        x.nonce,
                        sound,
                        known,
                    ),
                )
            case "greeted":
                if x.nonce == m.nonce:
                    m.on_greeting_response(now, str(x.sender), x.known, x.sound, (x.term,))

    def _effect(self, x: Message, m: DurableState) -> None:
        if not m.confirmed:
            return
        if self.spoilt == "no fence" or m.fence.accepts(DUTY, x.term):
            self.keep(x.to)
            if x.term < self.taken:
                self.breach = f"an effect of term {x.term} was taken after one of term {self.taken}"
            self.taken = max(self.taken, x.term)


def _memory(m: DurableState) -> DurableState:
    new = DurableState.__new__(DurableState)
    new.__dict__.update(m.__dict__)
    old = m.voters[DUTY]
    new.voters = {DUTY: Voter(old.vote_duration, old.term, old.member, old.bound_until)}
    new.fence, new.lives = Fence(m.fence.highest), dict(m.lives)
    new.greeting_responses, new.on_current = dict(m.greeting_responses), set(m.on_current)
    return new


def _lease(lease: Lease) -> Lease:
    new = Lease(lease.term, lease.lists, lease.duration)
    new.requested_at, new.ended, new._latest_read = dict(lease.requested_at), lease.ended, lease._latest_read
    return new


def begun(corner: Corner, spoilt: str = "") -> World:
    n = max(corner.stated, corner.longer)
    w = World(corner, spoilt, 0.0, [None] * n, [None] * n, [0] * n, [None] * n, [None] * n, [0] * n)
    stated = tuple(str(i) for i in range(corner.stated))
    for me in range(n):
        if me < corner.stated:
            m = DurableState(0.0, str(me), stated, (DUTY,), LEASE, None, 0)
            m.intact, m.life = True, 0  # all have told each other that they begin
            w.disks[me] = w.first[me] = m.record()
        w.start(me, w.disks[me])
        one = w.members[me]
        assert one is not None
        one.confirmed, one.may_vote_from = True, 0.0
        one.lives = {str(i): (1, 1) for i in range(n) if i != me}
        # The old copy is of the life that runs: its number of lives does not tell it from the last one.
        w.disks[me] = w.first[me] = one.record()
    return w


def steps(w: World) -> Iterator[tuple[str, World]]:
    """Every world that one step leads to, with the step in words."""
    c = w.corner
    room = len(w.wire) < c.most_wire
    if w.now < c.ends:
        new = w.copied()
        new.now += 1.0
        for me, m in enumerate(new.members):
            if m is not None and m.settle(new.clock(me)):
                new.keep(me)
        yield "time passes", new
    for me, m in enumerate(w.members):
        if m is None:
            if me in c.changes and w.lives[me] < c.lives:
                new = w.copied()
                new.start(me, w.disks[me], True)
                yield f"{me} starts by the longer list", new
            elif w.lives[me] < c.lives:
                held = None if me in c.empty | c.stale else w.disks[me]
                if w.spoilt == "an old file is believed":
                    held = w.first[me]
                new = w.copied()
                new.start(me, held)
                yield f"{me} starts", new
            continue
        if me in c.crashers | c.stale | c.empty | c.changes and w.lives[me] < c.lives:
            new = w.copied()
            new.crash(me)
            yield f"{me} crashes", new
        yield from _owner_steps(w, me, room)
        if (c.stale or c.empty) and not m.confirmed and room:
            for to in range(c.stated):
                if to != me and str(to) not in m.greeting_responses and w.members[to] is not None:
                    new = w.copied()
                    new.wire += (Message("greet", me, to, 0, 0.0, m.lists.digests(), m.life, m.nonce),)
                    yield f"{me} greets {to}", new
    for number, x in enumerate(w.wire):
        rest = w.wire[:number] + w.wire[number + 1 :]
        new = w.copied()
        new.wire = rest
        yield f"lost: {x.kind} {x.sender} to {x.to}", new
        new = w.copied()
        new.wire = rest
        new.deliver(x)
        yield f"arrives: {x.kind} {x.sender} to {x.to}", new
        if room and c.doubles:
            new = w.copied()
            new.deliver(x)
            yield f"arrives, and is doubled: {x.kind} {x.sender} to {x.to}", new


def _owner_steps(w: World, me: int, room: bool) -> Iterator[tuple[str, World]]:
    c, lease = w.corner, w.leases[me]
    if lease is None:
        if me in c.standing:
            for above in (1, 2):
                new = w.copied()
                if new.stands(me, above):
                    yield f"{me} stands, {above} above", new
        if not w.checked[me]:
            return
    elif room:
        for to, other in enumerate(w.members):
            if (
                to != me
                and other is not None
                and str(to) in {n for one in lease.lists.in_force() for n in one}
            ):
                new = w.copied()
                new.asks(me, to)
                yield f"{me} asks {to}", new
                if c.gives_back and not w.checked[me]:
                    new = w.copied()
                    new.gives_back(me, to)
                    yield f"{me} gives back, told to {to}", new
    if lease is not None and c.effects and not w.checked[me] and _lease(lease).is_valid(w.clock(me)):
        new = w.copied()
        new.checked[me] = lease.term
        yield f"{me} checks its lease", new
    if w.checked[me] and room:
        new = w.copied()
        new.wire += (Message("effect", me, c.receiver, w.checked[me]),)
        new.checked[me] = 0
        yield f"{me} acts", new


EXPLORATION = Exploration(begun, steps)
explored, walked = EXPLORATION.explored, EXPLORATION.walked
