"""Interleavings of a small fleet, for the promise that parts in force are never more than the whole.

Lenders are won and lost, answer late what they had checked in time, and crash; borrowers ask, spend, stand
still and crash with what they had out; messages are lost, doubled, late and overtake each other. Clocks run
at different rates, within a bound of a factor of two so that whole steps of time show it. In one corner the
list of gateways grows: each starts anew by it, and hears at its own time that the change has settled. Ledger,
lender, borrower and own parts are the classes that gateways run; that two leases of the duty never run at
once is `owners/`'s.

Never: at one true moment own parts, loans in force and what is still out beyond them above the whole.
"""

import copy
from collections.abc import Iterator
from dataclasses import dataclass, field
from typing import NamedTuple

from ledgehitch.budgets.borrower import Borrower
from ledgehitch.budgets.facts import WHOLE, Budget
from ledgehitch.budgets.ledger import Ledger
from ledgehitch.budgets.lender import Lender
from ledgehitch.budgets.parts import OwnPart, lending_terms
from ledgehitch.budgets.units import spread_units
from ledgehitch.budgets.words import LoanMessage
from ledgehitch.owners.facts import MemberLists
from tests.interleavings import Exploration

LOAN, FAST, RENEWED = 2.0, 2.0, 9.0
NAME, DIGEST = "b", b"same"
NAMES, OWN_PART = ("0", "1", "2"), 0.25
LONG_AGO = -1e3


class Message(NamedTuple):
    sender: int
    to: int
    words: LoanMessage


class Corner(NamedTuple):
    """Which steps are taken at all: fewer of them are gone through to a greater depth."""

    unit: Budget = Budget(NAME, "rate")
    rates: tuple[float, ...] = (1.0, 1.0, 1.0)
    lenders: tuple[int, ...] = (0, 1)
    borrowers: tuple[int, ...] = (1, 2)
    crashers: frozenset[int] = frozenset()
    ends: float = 5.0
    lives: int = 2
    terms: int = 2
    asks: int = 3  # of each life
    most_wire: int = 2
    doubles: bool = True
    gives_up: bool = False  # an owner may give its lease back
    lease: float = 2.0  # of the lender, not renewed
    former: tuple[str, ...] = ()  # the list before, by which all but the lender and newcomers begin


# Four things, of which one is nobody's to lend: one of three has it.
COUNT = Budget(NAME, "count", 1.0, WHOLE // 4)
assert spread_units(1, NAME, NAMES) == {"0": 0, "1": 0, "2": 1} and spread_units(1, NAME, NAMES[:2]) == {
    "0": 1,
    "1": 0,
}
TAKE_OVER = Corner(doubles=False)
# Each member speaks to the new lender, so that it need not wait.
GIVEN_UP = Corner(gives_up=True, borrowers=(0, 1, 2), doubles=False, ends=3.0)
ALONE = Corner(lenders=(0,), terms=1, lease=RENEWED)
# The lender's clock is fast: what it counts as over may still be in force.
CLOCKS = ALONE._replace(rates=(FAST, 1.0, 1.0))
CROSSED = ALONE._replace(ends=3.0)
CRASHES = ALONE._replace(crashers=frozenset({1, 2}), ends=4.0, doubles=False)
COUNTS = ALONE._replace(unit=COUNT, ends=4.0, doubles=False)
COUNTS_OVER = Corner(unit=COUNT, doubles=False)
COUNTS_DIE = COUNTS._replace(crashers=frozenset({1, 2}))
# The own thing of 0 goes to the newcomer, 2.
LISTS = ALONE._replace(
    unit=COUNT,
    former=NAMES[:2],
    lenders=(1,),
    borrowers=(0, 2),
    asks=2,
    ends=5.0,
    crashers=frozenset({0, 2}),
    doubles=False,
    most_wire=1,
)
CORNERS = {
    "take-over": TAKE_OVER,
    "given up": GIVEN_UP,
    "clocks": CLOCKS,
    "crossed": CROSSED,
    "crashes": CRASHES,
    "counts": COUNTS,
    "counts taken over": COUNTS_OVER,
    "counts, crashes": COUNTS_DIE,
    "counts, a longer list": LISTS,
}

LENT = ("1 asks all", "arrives: want", "0 sends", "arrives: lent")
OTHER = ("2 asks all", "arrives: want", "0 sends")
LESS = ("1 asks nothing", "arrives: want", "0 sends")
# Planted faults: the corner in which each shows, and the steps that lead near it where it lies deep.
PLANTED: dict[str, tuple[str, tuple[str, ...]]] = {
    "loan counted from the answer": ("crossed", ("1 asks all", "arrives: want", "time", "0 sends")),
    "no allowance for clocks": ("clocks", LENT),
    "a new owner lends at once": ("take-over", ("time", *LENT, "time", "1 wins")),
    "a borrower ignores terms": (
        "given up",
        (
            "1 asks all",
            "arrives: want",
            "0 gives up",
            "1 wins",
            "0 sends",
            "0 asks nothing",
            "arrives: want 0, 0",
            "1 sends",
            "lost: lent 1, 1",
            "1 asks nothing",
            "arrives: want 0, 1",
            "1 sends",
            "lost: lent 2, 1",
        ),
    ),
    "given back is counted twice": (
        "counts",
        (*LENT, "1 spends", *OTHER, "arrives: lent", *LESS, "arrives: lent", *LESS, "lost: lent"),
    ),
    "a new life takes the place of the last": (
        "counts, crashes",
        (*LENT, "1 spends", "1 crashes", "1 starts"),
    ),
    "the own part is lent as well": ("crossed", ()),
    "a thing is lent that is somebody's own": ("counts", ()),
    "every gateway rounds its own part up": ("counts", ()),
    "a new life has its own things at once": ("counts, crashes", ("2 spends", "2 crashes", *LENT)),
    "own things by the new list alone": ("counts, a longer list", ()),
    "what comes with a list is had at once": (
        "counts, a longer list",
        ("2 asks all", "arrives: want", "1 sends", "arrives: lent", "0 spends", "0 crashes", "0 starts"),
    ),
    "a loan is spent without a look at the clock": ("crossed", (*LENT, "time", "time")),
    "an overtaken loan is taken": (
        "crossed",
        (
            "1 asks all",
            "arrives: want",
            "0 sends",
            *OTHER,
            "lost: lent 2",
            *LESS,
            "arrives: lent 3",
            *LESS,
            "lost: lent 4",
        ),
    ),
}


@dataclass
class World:
    corner: Corner
    spoilt: str
    now: float = 0.0
    borrowers: list[Borrower | None] = field(default_factory=list)
    lenders: list[Lender | None] = field(default_factory=list)
    prepared: list[Message | None] = field(default_factory=list)  # checked and not sent yet
    lives: list[int] = field(default_factory=list)
    asked: list[int] = field(default_factory=list)
    out: tuple[tuple[int, float], ...] = ()  # parts of each member that are out, since when
    lingers: tuple[tuple[int, float], ...] = ()  # the same of lives that are over
    wire: tuple[Message, ...] = ()
    owner: int = -1
    lease: float = 0.0  # when the owner's ends, in true time
    term: int = 0
    owns: list[OwnPart] = field(default_factory=list)
    breach: str = ""

    def clock(self, me: int) -> float:
        return self.now * self.corner.rates[me]

    def copied(self) -> "World":
        new = copy.copy(self)
        new.borrowers = [b and _borrower(b) for b in self.borrowers]
        new.lenders = [x and _lender(x) for x in self.lenders]
        new.prepared, new.lives, new.asked = list(self.prepared), list(self.lives), list(self.asked)
        new.owns = [copy.copy(own) for own in self.owns]
        return new

    def key(self) -> tuple[object, ...]:
        return (
            self.breach,
            self.now,
            self.wire,
            self.out,
            self.lingers,
            self.owner,
            self.lease,
            self.term,
            tuple(self.prepared),
            tuple(self.lives),
            tuple(self.asked),
            tuple(
                b and (b.term, b.number, b.loans, b.loan_until, tuple(b._requested_at.items()))
                for b in self.borrowers
            ),
            tuple(
                x
                and (
                    x.term,
                    x._number,
                    tuple(x.waits_until),
                    tuple(sorted(x.unheard)),
                    repr(x.wanted),
                    repr(x.targets),
                    repr(sorted(x.ledger.borrowers.items())),
                    repr(x.ledger.pool),
                    repr([(t._turn_started, t._waiting_since) for t in x.turns]),
                )
                for x in self.lenders
            ),
            tuple(
                (own.lists, own._list_changed_at, own._started_at, tuple(own._former_parts.items()))
                for own in self.owns
            ),
        )

    def part(self, me: int) -> int:
        """What it may spend now, without its knowing that it was looked at."""
        b = self.borrowers[me]
        if b is None:
            return 0
        if self.spoilt == "a loan is spent without a look at the clock":
            return self.own(me) + b.loans[0]
        looks = _borrower(b)
        looks.own = (self.own(me),)
        return looks.available(self.clock(me), NAME)

    def own(self, me: int) -> int:
        own = self.owns[me].parts_at(self.clock(me), True, had_part=True)[0]
        if self.spoilt == "every gateway rounds its own part up":
            return max(own, self.corner.unit.grain)
        return own

    def safe(self) -> bool:
        if self.breach:
            return False
        used = sum(max(self.part(me), self.out[me][0]) for me in range(3))
        used += sum(parts for parts, _ in self.lingers)
        if used > WHOLE:
            self.breach = f"{used / WHOLE:.3f} of the whole are in force"
        return not self.breach

    # ---- what members do -----------------------------------------------------------------------------------

    def start(self, me: int) -> None:
        self.lives[me] += 1
        self.asked[me] = 0
        self.borrowers[me] = Borrower([self.corner.unit], [0], self.lives[me], [DIGEST], LOAN)
        old = self.corner.former if self.lives[me] == 1 and me not in self.corner.lenders else ()
        lists = MemberLists(NAMES, self.corner.former, 0.0, 0.0, OWN_PART, OWN_PART)
        if str(me) in old:
            lists = lists._replace(current=old, former=())
        if self.spoilt == "own things by the new list alone":
            lists = lists._replace(former=())
        self.owns[me] = OwnPart(self.clock(me), lists, str(me), [self.corner.unit])
        if self.spoilt == "a new life has its own things at once":
            self.owns[me]._started_at = LONG_AGO

    def settled(self, me: int) -> None:
        """It hears that nobody goes by the former list any more."""
        own = self.owns[me]
        own.on_list_change(self.clock(me), own.lists._replace(former=()))
        if self.spoilt == "what comes with a list is had at once":
            own._former_parts = {}
        if (lender := self.lenders[me]) is not None:
            lender.reconfigure(lender.budgets, *self.lending_terms(me), lender.digests)

    def lending_terms(self, me: int) -> tuple[dict[int, tuple[int, ...]], tuple[int, ...], set[int]]:
        numbers = {name: number for number, name in enumerate(NAMES)}
        return lending_terms([self.corner.unit], self.owns[me].lists, frozenset(), numbers)

    def crash(self, me: int) -> None:
        parts, since = self.out[me]
        if parts:
            self.lingers += ((parts, since),)
        self._out(me, 0)
        self.borrowers[me] = self.lenders[me] = self.prepared[me] = None

    def _out(self, me: int, parts: int) -> None:
        self.out = (*self.out[:me], (parts, self.now), *self.out[me + 1 :])

    def wins(self, me: int) -> None:
        c = self.corner
        self.owner, self.term, self.lease = me, self.term + 1, self.now + c.lease
        bound = FAST - 1.0 if max(c.rates) > 1.0 and self.spoilt != "no allowance for clocks" else 0.0
        lender = Lender(
            self.clock(me), self.term, [c.unit], *self.lending_terms(me), [DIGEST], LOAN, clock_drift=bound
        )
        if self.spoilt == "a new owner lends at once":
            lender.waits_until = [self.clock(me)]
        if self.spoilt in ("the own part is lent as well", "a thing is lent that is somebody's own"):
            lender.ledger.pool = (WHOLE,)
        self.lenders[me] = lender

    def asks(self, me: int, all_of_it: bool) -> None:
        b = self.borrowers[me]
        assert b is not None
        b._next_request_at = -1e18
        b.own = (self.own(me),)
        used = {NAME: self.out[me][0]}
        words = b.next_request(self.clock(me), self.term, used, {NAME: WHOLE if all_of_it else 0})
        if words is None:
            return
        if self.spoilt == "given back is counted twice":
            words = words._replace(held=words.loans)  # what is out is given back, and goes on being out
        self.asked[me] += 1
        self.wire += (Message(me, self.owner, words),)

    def deliver(self, x: Message) -> None:
        now = self.clock(x.to)
        if x.words.kind == "want":
            lender = self.lenders[x.to]
            if lender is None or self.owner != x.to or self.now >= self.lease or self.prepared[x.to]:
                return
            lender._last_division_at = -1e18
            if self.spoilt == "a new life takes the place of the last":
                lender.ledger.borrowers.get(x.sender, {}).clear()
            answer = lender.on_request(now, x.sender, x.words)
            if answer is not None:
                self.prepared[x.to] = Message(x.to, x.sender, answer)
            return
        b, words = self.borrowers[x.to], x.words
        if b is None:
            return
        if self.spoilt == "a borrower ignores terms" and words.term < b.term and not b.number:
            words = words._replace(term=b.term)
        if self.spoilt == "loan counted from the answer" and words.sequence in b._requested_at:
            b._requested_at[words.sequence] = now
        if self.spoilt == "an overtaken loan is taken":
            b.number = 0
        b.on_loan(now, words)


def _borrower(b: Borrower) -> Borrower:
    new = copy.copy(b)
    new._requested_at, new.counts = dict(b._requested_at), {}
    return new


def _lender(x: Lender) -> Lender:
    new = copy.copy(x)
    old = x.ledger
    new.ledger = Ledger(old.budgets, old.pool)
    new.turns = [copy.copy(turns) for turns in x.turns]
    for turns in new.turns:
        turns._turn_started, turns._waiting_since = dict(turns._turn_started), dict(turns._waiting_since)
    for member, lives in old.borrowers.items():
        new.ledger.borrowers[member] = {}
        for life, one in lives.items():
            other = copy.copy(one)
            other.loans = list(one.loans)
            new.ledger.borrowers[member][life] = other
    new.ledger.reserved, new.ledger.reserved_sums = (
        {m: list(t) for m, t in old.reserved.items()},
        list(old.reserved_sums),
    )
    new.ledger._expiries = list(old._expiries)
    new.wanted, new.targets, new.counts = dict(x.wanted), [dict(t) for t in x.targets], {}
    new.waits_until, new.unheard = list(x.waits_until), set(x.unheard)
    return new


def begun(corner: Corner, spoilt: str = "") -> World:
    w = World(corner, spoilt, 0.0, [None] * 3, [None] * 3, [None] * 3, [0] * 3, [0] * 3, ((0, 0.0),) * 3)
    w.owns = [OwnPart(0.0, MemberLists(NAMES), str(me), [corner.unit]) for me in range(3)]
    for me in range(3):
        w.start(me)
        w.owns[me]._started_at = w.owns[me]._list_changed_at = LONG_AGO
    w.wins(corner.lenders[0])
    lender = w.lenders[corner.lenders[0]]
    assert lender is not None
    lender.waits_until = [0.0]  # the fleet begins with it
    return w


def steps(w: World) -> Iterator[tuple[str, World]]:
    """Every world that one step leads to, with the step in words."""
    c = w.corner
    room = len(w.wire) < c.most_wire
    # A set-up is out for no longer than the lag of its budget.
    if w.now < c.ends and not any(p and since + c.unit.lag <= w.now for p, since in w.out):
        new = w.copied()
        new.now += 1.0
        new.lingers = tuple(x for x in w.lingers if x[1] + c.unit.lag > new.now)
        yield "time passes", new
    for me in c.lenders:
        if w.now >= w.lease and w.term < c.terms and w.borrowers[me] is not None:
            new = w.copied()
            new.wins(me)
            yield f"{me} wins", new
        if (answer := w.prepared[me]) is not None and room:
            new = w.copied()
            new.prepared[me], new.wire = None, (*new.wire, answer)
            yield f"{me} sends what it had checked", new
        if c.gives_up and w.owner == me and w.now < w.lease:
            new = w.copied()
            new.lease = w.now
            yield f"{me} gives up", new
    for me in range(3):
        b = w.borrowers[me]
        if b is None:
            if w.lives[me] < c.lives:
                new = w.copied()
                new.start(me)
                yield f"{me} starts", new
            continue
        if me in c.crashers and w.lives[me] < c.lives:
            new = w.copied()
            new.crash(me)
            yield f"{me} crashes", new
        if w.owns[me].lists.former and all(own.lists.current == NAMES for own in w.owns):
            new = w.copied()
            new.settled(me)
            yield f"{me} hears that the list has settled", new
        if me in c.borrowers and room and w.asked[me] < c.asks:
            for word, all_of_it in (("all", True), ("nothing", False)):
                new = w.copied()
                new.asks(me, all_of_it)
                yield f"{me} asks {word}", new
        if c.unit.unit == "count":
            mine = w.part(me)
            if mine > w.out[me][0]:
                new = w.copied()
                new._out(me, mine)
                yield f"{me} spends all it may", new
            if w.out[me][0]:
                new = w.copied()
                new._out(me, 0)
                yield f"{me} gives back what was out", new
    for number, x in enumerate(w.wire):
        rest = w.wire[:number] + w.wire[number + 1 :]
        what = f"{x.words.kind} {x.words.number}, {x.sender} to {x.to}"
        new = w.copied()
        new.wire = rest
        yield f"lost: {what}", new
        new = w.copied()
        new.wire = rest
        new.deliver(x)
        yield f"arrives: {what}", new
        if room and c.doubles:
            new = w.copied()
            new.deliver(x)
            yield f"arrives, and is doubled: {what}", new


EXPLORATION = Exploration(begun, steps)
explored, walked = EXPLORATION.explored, EXPLORATION.walked
