"""Interleavings of a small fleet, for the invariants of `votes.py` and `durable_state.py`.

Members become candidates, request votes, vote, renew, check, send effects and release leases. Messages are
lost, duplicated, delayed and reordered. Members stop between check and effect, crash and lose what was not on
disk, restart with a stale file or none, and switch to another list of gateways. Clocks run at different
rates, within a bound of a factor of two here, so that whole time steps show the difference. All classes are
the production ones.

Invariants: a receiver accepts no effect of a lower term after one of a higher term; there are never two
owners at the same true time.
"""

from collections.abc import Iterator
from dataclasses import dataclass, field
from typing import Any, NamedTuple

from ledgehitch.owners.durable_state import DurableState
from ledgehitch.owners.facts import MemberLists
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


class Scenario(NamedTuple):
    """Which steps are possible: with fewer of them the exploration goes deeper."""

    members: int = 3
    rates: tuple[float, ...] = (1.0, FAST, 1.0)
    candidates: frozenset[int] = frozenset({0, 1})
    may_crash: frozenset[int] = frozenset()
    stale_restarts: frozenset[int] = frozenset()  # members that restart with the file of their first life
    empty_restarts: frozenset[int] = frozenset()  # members that restart without a file
    receiver: int = 2
    list_changes: frozenset[int] = frozenset()  # members that restart with the longer list
    longer_list: int = 0  # its length
    effects: bool = True
    may_release: bool = False
    max_time: float = 6.0
    max_lives: int = 2
    max_term: int = 3
    max_in_flight: int = 2
    duplicates: bool = True


SLOW = (1.0, 1.0, 1.0)
LEASES = Scenario(max_term=2, max_time=4.0, effects=False)
CRASHES = Scenario(may_crash=frozenset({1, 2}), rates=SLOW, effects=False, max_term=2, max_time=4.0)
FENCES = Scenario(may_crash=frozenset({2}), rates=SLOW, max_term=2, max_time=3.0, duplicates=False)
RELEASED = Scenario(may_release=True, rates=SLOW, max_term=3, max_time=2.0)
LOST = Scenario(empty_restarts=frozenset({2}), rates=SLOW, max_term=2, max_time=6.0, duplicates=False)
STALE = LOST._replace(empty_restarts=frozenset(), stale_restarts=frozenset({2}))
CHANGE = Scenario(
    rates=(1.0,) * 5,
    candidates=frozenset({0, 2}),
    list_changes=frozenset({1, 2}),
    longer_list=5,
    effects=False,
    max_time=5.0,
    max_term=2,
)
SCENARIOS = {
    "leases": LEASES,
    "crashes": CRASHES,
    "fences": FENCES,
    "given back": RELEASED,
    "lost": LOST,
    "old": STALE,
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
# By injected fault: the scenario that shows it, and the steps to start from if it takes many.
INJECTED_FAULTS: dict[str, tuple[str, tuple[str, ...]]] = {
    "votes are not stored": ("crashes", ("0 stands, 1", "0 asks 2", *ELECTED[2:], "2 crashes", "2 starts")),
    "voting at once after a restart": ("crashes", ("0 stands, 1", "0 asks 2", "arrives: ask", "2 crashes")),
    "lease counted from the answer": ("leases", ("0 stands, 1", "0 asks 1", "arrives: ask", "time", "time")),
    "no allowance for clock drift": ("leases", (*ELECTED, "time")),
    "no fence": ("fences", (*ELECTED, "0 checks", "time", "time", *SECOND)),
    "fence forgotten at a restart": ("fences", (*ELECTED, "0 checks", "time", "time", *SECOND)),
    "majority of the live members": ("crashes", ("1 crashes", "2 crashes")),
    "a stale file is trusted": ("old", ACTED),
    "a lost file counts as intact": ("lost", ACTED),
    "majority of the new list only": ("change", (*ELECTED, "2 crashes", "2 starts")),
}


@dataclass
class World:
    scenario: Scenario
    fault: str
    now: float = 0.0
    members: list[DurableState | None] = field(default_factory=list)
    leases: list[Lease | None] = field(default_factory=list)
    checked: list[int] = field(
        default_factory=list
    )  # by member: checked term of an effect not sent yet, or 0
    disks: list[Any] = field(default_factory=list)
    first: list[Any] = field(default_factory=list)  # the file of the first life
    lives: list[int] = field(default_factory=list)
    in_flight: tuple[Message, ...] = ()
    highest_effect_term: int = 0  # of the effects that were accepted
    breach: str = ""

    def clock(self, me: int) -> float:
        return self.now * self.scenario.rates[me]

    def copy(self) -> "World":
        return World(
            self.scenario,
            self.fault,
            self.now,
            [m and _copy_state(m) for m in self.members],
            [one and _copy_lease(one) for one in self.leases],
            list(self.checked),
            list(self.disks),
            self.first,
            list(self.lives),
            self.in_flight,
            self.highest_effect_term,
            self.breach,
        )

    def key(self) -> tuple[object, ...]:
        return (
            self.breach,
            self.now,
            self.in_flight,
            self.highest_effect_term,
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
        """Checks copies, since checking a lease may end it."""
        if self.breach:
            return False
        holding = 0
        for me, lease in enumerate(self.leases):
            if lease is not None and self.members[me] is not None:
                holding += _copy_lease(lease).is_valid(self.clock(me))
        if holding > 1:
            self.breach = "two owners at one moment"
        return not self.breach

    # ---- actions of members --------------------------------------------------------------------------------

    def store(self, me: int) -> None:
        if self.fault != "votes are not stored":
            m = self.members[me]
            assert m is not None
            self.disks[me] = m.record()

    def start(self, me: int, held: Any, longer: bool = False) -> None:
        scenario = self.scenario
        n = scenario.longer_list if longer or me >= scenario.members else scenario.members
        stated = tuple(str(i) for i in range(n))
        if held is not None and self.fault == "majority of the new list only":
            held = {**held, "current": list(stated), "former": []}
        vote_seconds = LEASE * FAST if self.fault != "no allowance for clock drift" else LEASE
        if max(scenario.rates) == 1.0:
            vote_seconds = LEASE
        self.lives[me] += 1
        m = DurableState(self.clock(me), str(me), stated, (DUTY,), LEASE, held, self.lives[me], vote_seconds)
        if self.fault == "voting at once after a restart":
            m.voters[DUTY].bound_until = -1e18
        if self.fault == "fence forgotten at a restart":
            m.fence = Fence()
        if self.fault == "a lost file counts as intact":
            m.intact, m.confirmed, m.may_vote_from = True, True, self.clock(me) + vote_seconds
        # If all members restart with their own file, greetings only add states and are left out.
        if not scenario.stale_restarts and not scenario.empty_restarts:
            m.confirmed, m.may_vote_from = True, min(m.may_vote_from, self.clock(me))
        self.members[me] = m
        if self.fault != "votes are not stored":
            self.disks[me] = m.record()

    def crash(self, me: int) -> None:
        self.members[me] = self.leases[me] = None
        self.checked[me] = 0

    def start_candidacy(self, me: int, above: int) -> bool:
        """Starts a candidacy `above` the highest term voted for, as a member may know of higher terms."""
        m, now = self.members[me], self.clock(me)
        assert m is not None
        voter = m.voters[DUTY]
        if not m.may_vote(now) or voter.term + above > self.scenario.max_term:
            return False
        if not voter.on_vote_request(now, voter.term + above, str(me)):
            return False
        self.store(me)
        lists = m.lists
        if self.fault == "majority of the live members":
            lists = MemberLists(tuple(str(i) for i, one in enumerate(self.members) if one is not None))
        self.leases[me] = Lease(voter.term, lists, LEASE)
        self._vote_for_itself(me)
        return True

    def _vote_for_itself(self, me: int) -> None:
        m, lease, now = self.members[me], self.leases[me], self.clock(me)
        assert m is not None and lease is not None
        if m.voters[DUTY].on_vote_request(now, lease.term, str(me)):
            lease.on_grant(str(me), now)

    def request_vote(self, me: int, to: int) -> None:
        m, lease = self.members[me], self.leases[me]
        assert m is not None and lease is not None
        self._vote_for_itself(me)
        self.in_flight += (Message("ask", me, to, lease.term, self.clock(me), m.lists.digests()),)

    def release(self, me: int, to: int) -> None:
        m, lease = self.members[me], self.leases[me]
        assert m is not None and lease is not None
        m.voters[DUTY].on_release(lease.term, str(me))
        self.store(me)
        self.leases[me] = None
        self.in_flight += (Message("back", me, to, lease.term),)

    def deliver(self, message: Message) -> None:
        m, now = self.members[message.to], self.clock(message.to)
        if m is None:
            return
        if message.lists[0]:
            m.on_member_list(now, str(message.sender), message.lists[0])
        match message.kind:
            case "ask":
                if not m.may_vote(now) or not m.lists.covered_by(*message.lists):
                    return
                if m.voters[DUTY].on_vote_request(now, message.term, str(message.sender)):
                    lease = self.leases[message.to]
                    if lease is not None and lease.term < message.term:
                        self.leases[message.to] = None
                    self.store(message.to)
                    back = message._replace(
                        kind="grant", sender=message.to, to=message.sender, lists=m.lists.digests()
                    )
                    self.in_flight += (back,)
            case "grant":
                lease = self.leases[message.to]
                if lease is not None and lease.term == message.term:
                    from_answer = self.fault == "lease counted from the answer"
                    lease.on_grant(str(message.sender), now if from_answer else message.asked_at)
            case "back":
                if m.voters[DUTY].on_release(message.term, str(message.sender)):
                    self.store(message.to)
            case "effect":
                self._effect(message, m)
            case "greet":
                known = m.on_greeting(str(message.sender), message.life, message.nonce)
                self.store(message.to)
                sound = m.intact or (m.confirmed and not m.bootstrapped)
                self.in_flight += (
                    Message(
                        "greeted",
                        message.to,
                        message.sender,
                        max(m.terms()),
                        0.0,
                        m.lists.digests(),
                        m.life,
                        message.nonce,
                        sound,
                        known,
                    ),
                )
            case "greeted":
                if message.nonce == m.nonce:
                    m.on_greeting_response(
                        now, str(message.sender), message.known, message.sound, (message.term,)
                    )

    def _effect(self, message: Message, m: DurableState) -> None:
        if not m.confirmed:
            return
        if self.fault == "no fence" or m.fence.accepts(DUTY, message.term):
            self.store(message.to)
            if message.term < self.highest_effect_term:
                self.breach = (
                    f"an effect of term {message.term} was taken after one of term {self.highest_effect_term}"
                )
            self.highest_effect_term = max(self.highest_effect_term, message.term)


def _copy_state(m: DurableState) -> DurableState:
    new = DurableState.__new__(DurableState)
    new.__dict__.update(m.__dict__)
    old = m.voters[DUTY]
    new.voters = {DUTY: Voter(old.vote_duration, old.term, old.member, old.bound_until)}
    new.fence, new.lives = Fence(m.fence.highest), dict(m.lives)
    new.greeting_responses, new.on_current = dict(m.greeting_responses), set(m.on_current)
    return new


def _copy_lease(lease: Lease) -> Lease:
    new = Lease(lease.term, lease.lists, lease.duration)
    new.requested_at, new.ended, new._latest_read = dict(lease.requested_at), lease.ended, lease._latest_read
    return new


def make_world(scenario: Scenario, fault: str = "") -> World:
    n = max(scenario.members, scenario.longer_list)
    world = World(scenario, fault, 0.0, [None] * n, [None] * n, [0] * n, [None] * n, [None] * n, [0] * n)
    stated = tuple(str(i) for i in range(scenario.members))
    for me in range(n):
        if me < scenario.members:
            m = DurableState(0.0, str(me), stated, (DUTY,), LEASE, None, 0)
            m.intact, m.life = True, 0  # all members have exchanged greetings
            world.disks[me] = world.first[me] = m.record()
        world.start(me, world.disks[me])
        one = world.members[me]
        assert one is not None
        one.confirmed, one.may_vote_from = True, 0.0
        one.lives = {str(i): (1, 1) for i in range(n) if i != me}
        # The stale copy is of the running life: the number of lives does not distinguish it.
        world.disks[me] = world.first[me] = one.record()
    return world


def steps(world: World) -> Iterator[tuple[str, World]]:
    """Yields every world that one step leads to, with a description of the step."""
    scenario = world.scenario
    room = len(world.in_flight) < scenario.max_in_flight
    if world.now < scenario.max_time:
        new = world.copy()
        new.now += 1.0
        for me, m in enumerate(new.members):
            if m is not None and m.settle(new.clock(me)):
                new.store(me)
        yield "time passes", new
    for me, m in enumerate(world.members):
        if m is None:
            if me in scenario.list_changes and world.lives[me] < scenario.max_lives:
                new = world.copy()
                new.start(me, world.disks[me], True)
                yield f"{me} starts by the longer list", new
            elif world.lives[me] < scenario.max_lives:
                held = None if me in scenario.empty_restarts | scenario.stale_restarts else world.disks[me]
                if world.fault == "a stale file is trusted":
                    held = world.first[me]
                new = world.copy()
                new.start(me, held)
                yield f"{me} starts", new
            continue
        if (
            me
            in scenario.may_crash | scenario.stale_restarts | scenario.empty_restarts | scenario.list_changes
            and world.lives[me] < scenario.max_lives
        ):
            new = world.copy()
            new.crash(me)
            yield f"{me} crashes", new
        yield from _owner_steps(world, me, room)
        if (scenario.stale_restarts or scenario.empty_restarts) and not m.confirmed and room:
            for to in range(scenario.members):
                if to != me and str(to) not in m.greeting_responses and world.members[to] is not None:
                    new = world.copy()
                    new.in_flight += (Message("greet", me, to, 0, 0.0, m.lists.digests(), m.life, m.nonce),)
                    yield f"{me} greets {to}", new
    for number, message in enumerate(world.in_flight):
        rest = world.in_flight[:number] + world.in_flight[number + 1 :]
        new = world.copy()
        new.in_flight = rest
        yield f"lost: {message.kind} {message.sender} to {message.to}", new
        new = world.copy()
        new.in_flight = rest
        new.deliver(message)
        yield f"arrives: {message.kind} {message.sender} to {message.to}", new
        if room and scenario.duplicates:
            new = world.copy()
            new.deliver(message)
            yield f"arrives, and is doubled: {message.kind} {message.sender} to {message.to}", new


def _owner_steps(world: World, me: int, room: bool) -> Iterator[tuple[str, World]]:
    scenario, lease = world.scenario, world.leases[me]
    if lease is None:
        if me in scenario.candidates:
            for above in (1, 2):
                new = world.copy()
                if new.start_candidacy(me, above):
                    yield f"{me} stands, {above} above", new
        if not world.checked[me]:
            return
    elif room:
        for to, other in enumerate(world.members):
            if (
                to != me
                and other is not None
                and str(to) in {n for one in lease.lists.in_force() for n in one}
            ):
                new = world.copy()
                new.request_vote(me, to)
                yield f"{me} asks {to}", new
                if scenario.may_release and not world.checked[me]:
                    new = world.copy()
                    new.release(me, to)
                    yield f"{me} gives back, told to {to}", new
    if (
        lease is not None
        and scenario.effects
        and not world.checked[me]
        and _copy_lease(lease).is_valid(world.clock(me))
    ):
        new = world.copy()
        new.checked[me] = lease.term
        yield f"{me} checks its lease", new
    if world.checked[me] and room:
        new = world.copy()
        new.in_flight += (Message("effect", me, scenario.receiver, world.checked[me]),)
        new.checked[me] = 0
        yield f"{me} acts", new


EXPLORATION = Exploration(make_world, steps)
explore, walk = EXPLORATION.explore, EXPLORATION.walk
