"""Interleavings of a small fleet, for the invariant that the parts in force never exceed the whole.

Lenders win and lose their duty, send answers late that they had checked in time, and crash. Borrowers request
loans, use them, are suspended, and crash with parts in use. Messages are lost, duplicated, delayed and
reordered. Clocks run at different rates, within a bound of a factor of two, so that whole time steps show the
difference. In one scenario the list of gateways grows: each restarts with it, and hears at its own time that
the change has settled. Ledger, lender, borrower and own parts are the production classes. That two leases of
the duty never overlap is covered by the exploration of `owners/`.

Invariant: at any true time, own parts, loans in force and parts still in use beyond them are within the
whole.
"""

import copy
from collections.abc import Iterator
from dataclasses import dataclass, field
from typing import NamedTuple

from ledgehitch.budgets.borrower import Borrower
from ledgehitch.budgets.facts import WHOLE, Budget
from ledgehitch.budgets.ledger import Ledger
from ledgehitch.budgets.lender import Lender
from ledgehitch.budgets.messages import LoanMessage
from ledgehitch.budgets.parts import OwnPart, lending_terms
from ledgehitch.budgets.units import spread_units
from ledgehitch.owners.facts import MemberLists
from tests.interleavings import Exploration

LOAN, FAST, RENEWED = 2.0, 2.0, 9.0
NAME, DIGEST = "b", b"same"
NAMES, OWN_PART = ("0", "1", "2"), 0.25
LONG_AGO = -1e3


class Message(NamedTuple):
    sender: int
    to: int
    content: LoanMessage


class Scenario(NamedTuple):
    """Which steps are possible: with fewer of them the exploration goes deeper."""

    budget: Budget = Budget(NAME, "rate")
    rates: tuple[float, ...] = (1.0, 1.0, 1.0)
    lenders: tuple[int, ...] = (0, 1)
    borrowers: tuple[int, ...] = (1, 2)
    may_crash: frozenset[int] = frozenset()
    max_time: float = 5.0
    max_lives: int = 2
    max_term: int = 2
    max_requests: int = 3  # of each life
    max_in_flight: int = 2
    duplicates: bool = True
    may_give_up: bool = False  # whether an owner may release its lease
    lease_duration: float = 2.0  # of the lender, not renewed
    former: tuple[str, ...] = ()  # the former list, with which all but the lender and newcomers start


# Four units, of which one is not lent: it is the own unit of one of three gateways.
COUNT = Budget(NAME, "count", 1.0, WHOLE // 4)
assert spread_units(1, NAME, NAMES) == {"0": 0, "1": 0, "2": 1} and spread_units(1, NAME, NAMES[:2]) == {
    "0": 1,
    "1": 0,
}
TAKE_OVER = Scenario(duplicates=False)
# All members send requests to the new lender, so that it need not wait.
GIVEN_UP = Scenario(may_give_up=True, borrowers=(0, 1, 2), duplicates=False, max_time=3.0)
ALONE = Scenario(lenders=(0,), max_term=1, lease_duration=RENEWED)
# The lender's clock is fast: loans that it counts as expired may still be in force.
CLOCKS = ALONE._replace(rates=(FAST, 1.0, 1.0))
CROSSED = ALONE._replace(max_time=3.0)
CRASHES = ALONE._replace(may_crash=frozenset({1, 2}), max_time=4.0, duplicates=False)
COUNTS = ALONE._replace(budget=COUNT, max_time=4.0, duplicates=False)
COUNTS_OVER = Scenario(budget=COUNT, duplicates=False)
COUNTS_CRASH = COUNTS._replace(may_crash=frozenset({1, 2}))
# The own unit of 0 moves to the newcomer, 2.
LISTS = ALONE._replace(
    budget=COUNT,
    former=NAMES[:2],
    lenders=(1,),
    borrowers=(0, 2),
    max_requests=2,
    max_time=5.0,
    may_crash=frozenset({0, 2}),
    duplicates=False,
    max_in_flight=1,
)
SCENARIOS = {
    "take-over": TAKE_OVER,
    "given up": GIVEN_UP,
    "clocks": CLOCKS,
    "crossed": CROSSED,
    "crashes": CRASHES,
    "count": COUNTS,
    "count, take-over": COUNTS_OVER,
    "count, crashes": COUNTS_CRASH,
    "count, longer list": LISTS,
}

LENT = ("1 asks all", "arrives: want", "0 sends", "arrives: lent")
OTHER = ("2 asks all", "arrives: want", "0 sends")
LESS = ("1 asks nothing", "arrives: want", "0 sends")
# By injected fault: the scenario that shows it, and the steps to start from if it takes many.
INJECTED_FAULTS: dict[str, tuple[str, tuple[str, ...]]] = {
    "loan counted from the answer": ("crossed", ("1 asks all", "arrives: want", "time", "0 sends")),
    "no allowance for clock drift": ("clocks", LENT),
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
    "parts still in use are reported as returned": (
        "count",
        (*LENT, "1 spends", *OTHER, "arrives: lent", *LESS, "arrives: lent", *LESS, "lost: lent"),
    ),
    "a new life replaces the loans of the last": (
        "count, crashes",
        (*LENT, "1 spends", "1 crashes", "1 starts"),
    ),
    "the own part is lent as well": ("crossed", ()),
    "an own unit is lent as well": ("count", ()),
    "every gateway rounds its own part up": ("count", ()),
    "a new life uses its own units at once": ("count, crashes", ("2 spends", "2 crashes", *LENT)),
    "own units by the new list only": ("count, longer list", ()),
    "a unit gained by a list change is used at once": (
        "count, longer list",
        ("2 asks all", "arrives: want", "1 sends", "arrives: lent", "0 spends", "0 crashes", "0 starts"),
    ),
    "a loan is used without checking the clock": ("crossed", (*LENT, "time", "time")),
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
    scenario: Scenario
    fault: str
    now: float = 0.0
    borrowers: list[Borrower | None] = field(default_factory=list)
    lenders: list[Lender | None] = field(default_factory=list)
    prepared: list[Message | None] = field(default_factory=list)  # answers not sent yet
    lives: list[int] = field(default_factory=list)
    requests: list[int] = field(default_factory=list)
    in_use: tuple[tuple[int, float], ...] = ()  # by member: parts, since when
    ended_lives_in_use: tuple[tuple[int, float], ...] = ()  # the same for lives that have ended
    in_flight: tuple[Message, ...] = ()
    owner: int = -1
    lease_ends_at: float = 0.0  # of the owner, in true time
    term: int = 0
    own_parts: list[OwnPart] = field(default_factory=list)
    breach: str = ""

    def clock(self, me: int) -> float:
        return self.now * self.scenario.rates[me]

    def copy(self) -> "World":
        new = copy.copy(self)
        new.borrowers = [b and _copy_borrower(b) for b in self.borrowers]
        new.lenders = [x and _copy_lender(x) for x in self.lenders]
        new.prepared, new.lives, new.requests = list(self.prepared), list(self.lives), list(self.requests)
        new.own_parts = [copy.copy(own) for own in self.own_parts]
        return new

    def key(self) -> tuple[object, ...]:
        return (
            self.breach,
            self.now,
            self.in_flight,
            self.in_use,
            self.ended_lives_in_use,
            self.owner,
            self.lease_ends_at,
            self.term,
            tuple(self.prepared),
            tuple(self.lives),
            tuple(self.requests),
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
                for own in self.own_parts
            ),
        )

    def available(self, me: int) -> int:
        """Returns the parts that it may use now, from a copy: the query changes a borrower."""
        b = self.borrowers[me]
        if b is None:
            return 0
        if self.fault == "a loan is used without checking the clock":
            return self.own_part(me) + b.loans[0]
        looks = _copy_borrower(b)
        looks.own = (self.own_part(me),)
        return looks.available(self.clock(me), NAME)

    def own_part(self, me: int) -> int:
        own = self.own_parts[me].parts_at(self.clock(me), True, had_part=True)[0]
        if self.fault == "every gateway rounds its own part up":
            return max(own, self.scenario.budget.grain)
        return own

    def safe(self) -> bool:
        if self.breach:
            return False
        used = sum(max(self.available(me), self.in_use[me][0]) for me in range(3))
        used += sum(parts for parts, _ in self.ended_lives_in_use)
        if used > WHOLE:
            self.breach = f"{used / WHOLE:.3f} of the whole are in force"
        return not self.breach

    # ---- actions of members --------------------------------------------------------------------------------

    def start(self, me: int) -> None:
        self.lives[me] += 1
        self.requests[me] = 0
        self.borrowers[me] = Borrower([self.scenario.budget], [0], self.lives[me], [DIGEST], LOAN)
        old = self.scenario.former if self.lives[me] == 1 and me not in self.scenario.lenders else ()
        lists = MemberLists(NAMES, self.scenario.former, 0.0, 0.0, OWN_PART, OWN_PART)
        if str(me) in old:
            lists = lists._replace(current=old, former=())
        if self.fault == "own units by the new list only":
            lists = lists._replace(former=())
        self.own_parts[me] = OwnPart(self.clock(me), lists, str(me), [self.scenario.budget])
        if self.fault == "a new life uses its own units at once":
            self.own_parts[me]._started_at = LONG_AGO

    def settle_list(self, me: int) -> None:
        """Handles the news that no gateway uses the former list any more."""
        own = self.own_parts[me]
        own.on_list_change(self.clock(me), own.lists._replace(former=()))
        if self.fault == "a unit gained by a list change is used at once":
            own._former_parts = {}
        if (lender := self.lenders[me]) is not None:
            lender.reconfigure(lender.budgets, *self.lending_terms(me), lender.digests)

    def lending_terms(self, me: int) -> tuple[dict[int, tuple[int, ...]], tuple[int, ...], set[int]]:
        numbers = {name: number for number, name in enumerate(NAMES)}
        return lending_terms([self.scenario.budget], self.own_parts[me].lists, frozenset(), numbers)

    def crash(self, me: int) -> None:
        parts, since = self.in_use[me]
        if parts:
            self.ended_lives_in_use += ((parts, since),)
        self._set_in_use(me, 0)
        self.borrowers[me] = self.lenders[me] = self.prepared[me] = None

    def _set_in_use(self, me: int, parts: int) -> None:
        self.in_use = (*self.in_use[:me], (parts, self.now), *self.in_use[me + 1 :])

    def win(self, me: int) -> None:
        scenario = self.scenario
        self.owner, self.term, self.lease_ends_at = me, self.term + 1, self.now + scenario.lease_duration
        bound = (
            FAST - 1.0 if max(scenario.rates) > 1.0 and self.fault != "no allowance for clock drift" else 0.0
        )
        lender = Lender(
            self.clock(me),
            self.term,
            [scenario.budget],
            *self.lending_terms(me),
            [DIGEST],
            LOAN,
            clock_drift=bound,
        )
        if self.fault == "a new owner lends at once":
            lender.waits_until = [self.clock(me)]
        if self.fault in ("the own part is lent as well", "an own unit is lent as well"):
            lender.ledger.pool = (WHOLE,)
        self.lenders[me] = lender

    def request_loan(self, me: int, all_of_it: bool) -> None:
        b = self.borrowers[me]
        assert b is not None
        b._next_request_at = -1e18
        b.own = (self.own_part(me),)
        used = {NAME: self.in_use[me][0]}
        words = b.next_request(self.clock(me), self.term, used, {NAME: WHOLE if all_of_it else 0})
        if words is None:
            return
        if self.fault == "parts still in use are reported as returned":
            words = words._replace(held=words.loans)  # reported as returned, but still in use
        self.requests[me] += 1
        self.in_flight += (Message(me, self.owner, words),)

    def deliver(self, message: Message) -> None:
        now = self.clock(message.to)
        if message.content.kind == "want":
            lender = self.lenders[message.to]
            if (
                lender is None
                or self.owner != message.to
                or self.now >= self.lease_ends_at
                or self.prepared[message.to]
            ):
                return
            lender._last_division_at = -1e18
            if self.fault == "a new life replaces the loans of the last":
                lender.ledger.borrowers.get(message.sender, {}).clear()
            answer = lender.on_request(now, message.sender, message.content)
            if answer is not None:
                self.prepared[message.to] = Message(message.to, message.sender, answer)
            return
        b, words = self.borrowers[message.to], message.content
        if b is None:
            return
        if self.fault == "a borrower ignores terms" and words.term < b.term and not b.number:
            words = words._replace(term=b.term)
        if self.fault == "loan counted from the answer" and words.sequence in b._requested_at:
            b._requested_at[words.sequence] = now
        if self.fault == "an overtaken loan is taken":
            b.number = 0
        b.on_loan(now, words)


def _copy_borrower(b: Borrower) -> Borrower:
    new = copy.copy(b)
    new._requested_at, new.counts = dict(b._requested_at), {}
    return new


def _copy_lender(x: Lender) -> Lender:
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


def make_world(scenario: Scenario, fault: str = "") -> World:
    world = World(scenario, fault, 0.0, [None] * 3, [None] * 3, [None] * 3, [0] * 3, [0] * 3, ((0, 0.0),) * 3)
    world.own_parts = [OwnPart(0.0, MemberLists(NAMES), str(me), [scenario.budget]) for me in range(3)]
    for me in range(3):
        world.start(me)
        world.own_parts[me]._started_at = world.own_parts[me]._list_changed_at = LONG_AGO
    world.win(scenario.lenders[0])
    lender = world.lenders[scenario.lenders[0]]
    assert lender is not None
    lender.waits_until = [0.0]  # the first lender of the fleet
    return world


def steps(world: World) -> Iterator[tuple[str, World]]:
    """Yields every world that one step leads to, with a description of the step."""
    scenario = world.scenario
    room = len(world.in_flight) < scenario.max_in_flight
    # A set-up lasts no longer than the lag of its budget.
    if world.now < scenario.max_time and not any(
        p and since + scenario.budget.lag <= world.now for p, since in world.in_use
    ):
        new = world.copy()
        new.now += 1.0
        new.ended_lives_in_use = tuple(
            entry for entry in world.ended_lives_in_use if entry[1] + scenario.budget.lag > new.now
        )
        yield "time passes", new
    for me in scenario.lenders:
        if (
            world.now >= world.lease_ends_at
            and world.term < scenario.max_term
            and world.borrowers[me] is not None
        ):
            new = world.copy()
            new.win(me)
            yield f"{me} wins", new
        if (answer := world.prepared[me]) is not None and room:
            new = world.copy()
            new.prepared[me], new.in_flight = None, (*new.in_flight, answer)
            yield f"{me} sends what it had checked", new
        if scenario.may_give_up and world.owner == me and world.now < world.lease_ends_at:
            new = world.copy()
            new.lease_ends_at = world.now
            yield f"{me} gives up", new
    for me in range(3):
        b = world.borrowers[me]
        if b is None:
            if world.lives[me] < scenario.max_lives:
                new = world.copy()
                new.start(me)
                yield f"{me} starts", new
            continue
        if me in scenario.may_crash and world.lives[me] < scenario.max_lives:
            new = world.copy()
            new.crash(me)
            yield f"{me} crashes", new
        if world.own_parts[me].lists.former and all(own.lists.current == NAMES for own in world.own_parts):
            new = world.copy()
            new.settle_list(me)
            yield f"{me} hears that the list has settled", new
        if me in scenario.borrowers and room and world.requests[me] < scenario.max_requests:
            for word, all_of_it in (("all", True), ("nothing", False)):
                new = world.copy()
                new.request_loan(me, all_of_it)
                yield f"{me} asks {word}", new
        if scenario.budget.unit == "count":
            mine = world.available(me)
            if mine > world.in_use[me][0]:
                new = world.copy()
                new._set_in_use(me, mine)
                yield f"{me} spends all it may", new
            if world.in_use[me][0]:
                new = world.copy()
                new._set_in_use(me, 0)
                yield f"{me} gives back what was out", new
    for number, message in enumerate(world.in_flight):
        rest = world.in_flight[:number] + world.in_flight[number + 1 :]
        what = f"{message.content.kind} {message.content.number}, {message.sender} to {message.to}"
        new = world.copy()
        new.in_flight = rest
        yield f"lost: {what}", new
        new = world.copy()
        new.in_flight = rest
        new.deliver(message)
        yield f"arrives: {what}", new
        if room and scenario.duplicates:
            new = world.copy()
            new.deliver(message)
            yield f"arrives, and is doubled: {what}", new


EXPLORATION = Exploration(make_world, steps)
explore, walk = EXPLORATION.explore, EXPLORATION.walk
