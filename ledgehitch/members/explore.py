"""All interleavings of a small fleet, for the promise of `parts.py`: parts are never more than the whole.

Three members ask one another, leave, come back, crash with what was not on disk; messages are lost, doubled
and overtake each other; time passes in whole steps, at any moment. Roster and parts are the ones that
gateways run.
"""

from collections.abc import Iterator
from dataclasses import dataclass
from typing import ClassVar, NamedTuple

from ledgehitch.interleavings import Explored, gone_through, walked_through
from ledgehitch.members.parts import Left, Parts, agreed
from ledgehitch.members.roster import Entry, News, Roster

MEMBERS = 3
LOAN = 2.0


class Message(NamedTuple):
    kind: str  # ask, answer, join, promise
    sender: int
    to: int
    asked_at: float
    left: Left
    news: tuple[News, ...]


class Disk(NamedTuple):
    """What outlives a crash."""

    life: int = 0
    has_left: bool = False
    floors: tuple[tuple[int, int], ...] = ()


@dataclass
class World:
    now: float
    disks: tuple[Disk, ...]
    rosters: list[Roster | None]  # None: it does not run
    parts: list[Parts | None]
    wire: tuple[Message, ...]
    breach: ClassVar[str] = "parts come to more than the whole"

    def key(self) -> tuple[object, ...]:
        running = tuple(
            None if r is None or p is None else (
                r.incarnation, tuple((e.incarnation, e.status) for e in r.entries.values()),
                tuple(sorted(r.floors.items())), tuple(sorted(p._agreed.items())), p.returning,
                tuple(sorted(p._promised.items())),
            ) for r, p in zip(self.rosters, self.parts, strict=True)
        )  # fmt: skip
        return self.now, self.disks, running, tuple(sorted(self.wire))

    def copied(self) -> "World":
        rosters = [_roster(r) if r is not None else None for r in self.rosters]
        parts = [_parts(p) if p is not None else None for p in self.parts]
        return World(self.now, self.disks, rosters, parts, self.wire)

    def disk(self, me: int, new: Disk) -> None:
        self.disks = (*self.disks[:me], new, *self.disks[me + 1 :])

    def safe(self) -> bool:
        shares = []
        for r, p in zip(self.rosters, self.parts, strict=True):
            if r is not None and p is not None:
                shares.append(p.sharing(self.now, r.left()))
        return agreed(shares)


def _roster(r: Roster) -> Roster:
    new = Roster.__new__(Roster)
    new.me, new.incarnation = r.me, r.incarnation
    new.entries = {n: Entry(e.incarnation, e.status, 0.0) for n, e in r.entries.items()}
    new.floors, new.news = dict(r.floors), []
    return new


def _parts(p: Parts) -> Parts:
    new = Parts.__new__(Parts)
    new.me, new.stated, new.loan, new.most, new.returning = p.me, p.stated, p.loan, p.most, p.returning
    new._agreed, new._promised = dict(p._agreed), dict(p._promised)
    return new


def begun(spoilt: str = "") -> World:
    world = World(0.0, (Disk(),) * MEMBERS, [None] * MEMBERS, [None] * MEMBERS, ())
    for me in range(MEMBERS):
        _start(world, me, spoilt)
    return world


def _start(w: World, me: int, spoilt: str) -> None:
    w.disk(me, w.disks[me]._replace(life=w.disks[me].life + 1))
    disk = w.disks[me]
    floors = {} if spoilt == "floors are not kept" else dict(disk.floors)
    w.rosters[me] = Roster(0.0, me, MEMBERS, disk.life, floors)
    comes_back = disk.has_left and spoilt != "returns at once"
    w.parts[me] = Parts(me, MEMBERS, LOAN, comes_back)


def _sent(w: World, kind: str, sender: int, to: int, asked_at: float) -> None:
    roster = w.rosters[sender]
    assert roster is not None
    news = tuple(News(n, e.incarnation, e.status) for n, e in roster.entries.items())
    w.wire += (Message(kind, sender, to, asked_at, roster.left(), news),)


def _deliver(w: World, m: Message, spoilt: str) -> None:
    roster, parts = w.rosters[m.to], w.parts[m.to]
    if roster is None or parts is None:
        return
    if m.kind == "join":
        incarnation = next(n.incarnation for n in m.news if n.member == m.sender)
        if roster.promised(m.sender, incarnation):
            w.disk(m.to, w.disks[m.to]._replace(floors=tuple(sorted(roster.floors.items()))))
    roster.heard(w.now, m.news)
    if m.kind == "ask":
        _sent(w, "answer", m.to, m.sender, m.asked_at)
    elif m.kind == "join":
        _sent(w, "promise", m.to, m.sender, m.asked_at)
    elif m.kind == "answer":
        at = w.now if spoilt == "loans count from the answer" else m.asked_at
        parts.answered(m.sender, at, m.left)
    elif m.kind == "promise":
        parts.promise(w.now, m.sender)


@dataclass(frozen=True)
class Corner:
    """Which steps are taken at all: fewer of them are gone through to a greater depth."""

    leavers: frozenset[int] = frozenset(range(MEMBERS))
    crashers: frozenset[int] = frozenset(range(MEMBERS))
    asks: frozenset[tuple[int, int]] = frozenset(
        (a, b) for a in range(MEMBERS) for b in range(MEMBERS) if a != b
    )
    most_wire: int = 2
    ends: float = 6.0
    lives: int = 3


ALL = Corner()
# One leaves and comes back, one renews its loan, the third is the majority's common member and may crash.
COMMON_MEMBER = Corner(frozenset({0}), frozenset({2}), frozenset({(0, 2), (1, 2)}), 2, 5.0, 2)


def steps(w: World, corner: Corner, spoilt: str) -> Iterator[tuple[str, World]]:
    """Every world that one step leads to, with the step in words."""
    most_wire = corner.most_wire
    if w.now < corner.ends:
        new = w.copied()
        new.now += 1.0
        yield "time passes", new
    for me in range(MEMBERS):
        roster, parts = w.rosters[me], w.parts[me]
        if roster is None or parts is None:
            if w.disks[me].life < corner.lives:
                new = w.copied()
                _start(new, me, spoilt)
                yield f"{me} starts", new
            continue
        if me in corner.crashers and w.disks[me].life < corner.lives:
            new = w.copied()
            new.rosters[me] = new.parts[me] = None
            yield f"{me} crashes", new
        if me in corner.leavers and not w.disks[me].has_left and len(w.wire) < most_wire:
            new = w.copied()
            new.disk(me, w.disks[me]._replace(has_left=True))
            gone = new.rosters[me]
            assert gone is not None
            gone.leaves(w.now, "left")
            for other in range(MEMBERS):
                if other != me and len(new.wire) < most_wire:
                    _sent(new, "said", me, other, w.now)
            new.rosters[me] = new.parts[me] = None
            yield f"{me} leaves", new
        if w.disks[me].has_left and parts.may_take(w.now):
            new = w.copied()
            new.disk(me, w.disks[me]._replace(has_left=False))
            yield f"{me} takes its part again", new
        for other in range(MEMBERS):
            if (me, other) in corner.asks and len(w.wire) < most_wire:
                new = w.copied()
                _sent(new, "join" if w.disks[me].has_left else "ask", me, other, w.now)
                yield f"{me} asks {other}", new
    for number, m in enumerate(w.wire):
        rest = w.wire[:number] + w.wire[number + 1 :]
        new = w.copied()
        new.wire = rest
        yield f"lost: {m.kind} {m.sender} to {m.to}", new
        new = w.copied()
        new.wire = rest
        _deliver(new, m, spoilt)
        yield f"arrives: {m.kind} {m.sender} to {m.to}", new
        if len(w.wire) < most_wire:
            new = w.copied()
            _deliver(new, m, spoilt)
            yield f"arrives, and is doubled: {m.kind} {m.sender} to {m.to}", new


def explored(most: int, corner: Corner = ALL, spoilt: str = "") -> Explored:
    """`spoilt`: a fault planted."""
    return gone_through(begun(spoilt), lambda world: steps(world, corner, spoilt), most)


def walked(seed: int, walks: int, depth: int, corner: Corner = ALL, spoilt: str = "") -> Explored:
    def there(world: World) -> Iterator[tuple[str, World]]:
        return steps(world, corner, spoilt)

    return walked_through(lambda: begun(spoilt), there, seed, walks, depth)
