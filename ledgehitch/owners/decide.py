"""Who owns which duty: when a member stands, asks, renews, gives back. Free of I/O, clock and chance.

Inputs update, `decide` is pulled. `owns` is asked before every effect. What a vote or a fence rests on comes
as `Keep` and what may be said once it is on disk comes with it, so that a full disk says nothing.
"""

import random
from collections import deque
from collections.abc import Sequence
from dataclasses import dataclass, field
from typing import Any

from ledgehitch.owners.facts import NO_LIST, RATES, STANDSTILL, STEP, TOP, rank, short
from ledgehitch.owners.memory import Memory
from ledgehitch.owners.votes import Lease
from ledgehitch.owners.words import NOBODY, Kind, Words

RENEW = 0.55  # of a lease between two rounds of asking
AGAIN = 0.05  # of a lease until those who did not answer are asked again
POLLED = 3  # members that a candidate asks first whether there is an owner
RARER = 4  # times that the wait after a poll of all in vain doubles
PATIENT = 0.04  # of a lease for their answers
WON_WITHIN = 0.1  # of a lease, after which a candidate gives its votes back and waits
STAND = 0.03  # of a lease by which each further place in the rank waits longer
PLACES = 6  # of the rank that wait differently
SPARE = 2  # members asked beyond a majority
NEARLY = 0.25  # of a lease left, under which a renewal is told as late
KNOWN = 1.5  # leases that one who does not vote goes by what it was told
MOST_OUT = 1 << 16  # questions remembered
# Seconds that a network and a disk that must sync take, however short leases are.
LEAST_PATIENT, LEAST_AGAIN, LEAST_WON = 0.1, 0.2, 0.5
GREET = 0.05  # of a lease between two greetings to who has not answered, rising to one lease


@dataclass(frozen=True)
class Send:
    to: int
    words: Words


@dataclass(frozen=True)
class Keep:
    """On disk first (`kept`), then these may be sent; if that fails (`not_kept`) they are dropped."""

    record: dict[str, Any]
    then: tuple[Send, ...] = ()


@dataclass(frozen=True)
class Won:
    duty: str
    term: int


@dataclass(frozen=True)
class Lost:
    """`late`: seconds that the lease had been over before it was noticed."""

    duty: str
    term: int
    why: str
    late: float = 0.0


@dataclass(frozen=True)
class Renewed:
    """Late: only `left` seconds of the lease were left when a majority had answered."""

    duty: str
    term: int
    left: float


Decision = Send | Keep | Won | Lost | Renewed


@dataclass
class One:
    """One duty at this member."""

    name: str
    number: int
    order: list[int]  # members by rank, best first
    lease: Lease | None = None
    won: bool = False
    polling: set[str] = field(default_factory=set)  # who said that it is free
    polled_at: float = -1e18  # not polling where it lies far back
    widened: bool = False  # the poll went to all
    in_vain: int = 0  # polls of all in a row that no majority answered
    stood_at: float = 0.0
    stand_at: float = 1e18
    round_at: float = 0.0
    again_at: float = 1e18
    told_at: float = -1e18
    known: tuple[int, int, float] = (NOBODY, 0, -1e18)  # owner, term and until when it is believed
    seen_term: int = 0  # heard of somewhere, refused or denied by: the next one stands above it
    refused: dict[str, int] = field(default_factory=dict)


class Owners:
    def __init__(
        self,
        now: float,
        me: int,
        names: Sequence[str],
        memory: Memory,
        chance: random.Random,
        members: Sequence[int] | None = None,
        numbers: Sequence[int] | None = None,
    ) -> None:
        """`names`: of the whole site, whose numbers are its members' on the wire. `members`: those in this
        scope, left out: all. `numbers`: of the duties on the wire, in turn; left out: from 0."""
        self.me, self.names, self.memory, self.chance = me, tuple(names), memory, chance
        self.lease = memory.lists.shortest()
        self.patient = max(PATIENT * self.lease, LEAST_PATIENT)
        self.again = max(AGAIN * self.lease, LEAST_AGAIN)
        self.won_within = max(WON_WITHIN * self.lease, LEAST_WON)
        self.number_of = {name: i for i, name in enumerate(self.names)}
        self.shorts = [short(name) for name in self.names]
        self.members = sorted({me, *(range(len(self.names)) if members is None else members)})
        self._numbers = list(range(len(memory.voters)) if numbers is None else numbers)
        self.duties = {
            d: One(d, number, rank(d, self.names, self.members))
            for number, d in zip(self._numbers, memory.voters, strict=True)
        }
        self.there: set[int] = set(self.members) - {me}
        self.fit, self.clock_good = True, True
        self.why_not = ""
        self.withheld: dict[str, str] = {}  # duties that it does not stand for now, and why
        self.counts: dict[str, int] = {}
        self._joining = not memory.joined
        self._formers: dict[str, bool] = {}  # by who answered: whether its list is still unsettled
        self._out: dict[int, tuple[str, int, int, float]] = {}  # sequence: duty, term, whom, when
        self._sequence = 0
        self._own: list[tuple[str, int, float]] = []  # votes for ourselves that are not on disk yet
        self._on_disk: dict[str, Any] | None = None
        self._after: list[Send] = []
        self._due: deque[Decision] = deque()
        self._greet_at, self._greet_every = now, GREET * self.lease
        self._greets_until = now + memory.promise
        self._latest = now

    # ---- what happens --------------------------------------------------------------------------------------

    def heard(self, now: float, sender: int, words: Words) -> None:
        """Words of a member whose frame was good."""
        if not 0 <= sender < len(self.names) or sender == self.me or words.who != self.shorts[sender]:
            self._count("of another numbering of the gateways")
            return
        if sender not in self.members:
            self._count("of a gateway of another region")
            return
        # Guards against a change of the list being settled on the word of one that cannot vote yet: of four,
        # two and a newcomer that waits for the third were held to be a majority, and nobody was elected.
        if words.kind not in ("greet", "greeted") or words.intact:
            self.memory.runs(now, self.names[sender], words.list)
        if self.names[sender] in self._formers:
            self._formers[self.names[sender]] = words.former != NO_LIST
        if words.kind in ("greet", "greeted"):
            self._greeting(now, sender, words)
            return
        duty = next((o for o in self.duties.values() if o.number == words.duty), None)
        if duty is None:
            self._count("a duty that nobody knows")
            return
        if words.term > TOP:
            self._count("a term out of reach")
            return
        match words.kind:
            case "poll" | "ask":
                self._asked(now, duty, sender, words)
            case "free" | "grant" | "deny":
                self._answered(now, duty, sender, words)
            case "yield":
                self._given_back(now, duty, sender, words)
            case "told":
                if words.term >= max(duty.known[1], self.memory.voters[duty.name].term):
                    duty.known = sender, words.term, now + min(words.left, KNOWN * self.lease)
                    duty.in_vain = 0

    def may(self, there: set[int], fit: bool, why_not: str = "") -> None:
        """Whom membership holds for there, and whether this one should own anything now."""
        self.there, self.fit, self.why_not = there.intersection(self.members), fit, why_not

    def clock(self, now: float, good: bool) -> None:
        """Whether the clock goes on as it should. One that does not ends every lease here at once."""
        if self.clock_good and not good:
            for one in self.duties.values():
                self._lost(now, one, "the clock stood still or jumped back")
        self.clock_good = good

    def resign(self, now: float) -> None:
        """This one goes on its way out: it stands no more, and what it owns is given to the next in rank."""
        self.fit, self.why_not = False, "on its way out"
        for one in self.duties.values():
            one.polled_at = -1e18
            if one.lease is None:
                continue
            there = [m for m in one.order if m in self.there]
            self._give_back(now, one, there[0] if one.won and there else NOBODY)
            self._lost(now, one, "handed over" if one.won else "gave up standing")

    def refused(self, now: float, duty: str, term: int, known: int, where: str) -> None:
        """A receiver refused an effect of ours: it knows a higher term."""
        one = self.duties[duty]
        one.refused[where] = one.refused.get(where, 0) + 1
        one.seen_term = max(one.seen_term, min(known, one.seen_term + STEP, TOP))
        if one.lease is not None and one.lease.term <= term:
            self._give_back(now, one, NOBODY)
            self._lost(now, one, f"{where} knows term {known}")

    def takes(self, duty: str, term: int) -> bool:
        """Whether an effect that arrived here may be carried out, once `Keep` that follows is on disk."""
        if duty not in self.duties or not self.memory.confirmed:
            self._count("an effect before the terms are known" if duty in self.duties else "unknown duty")
            return False
        took = self.memory.fence.takes(duty, term)
        one = self.duties[duty]
        if took and one.lease is not None and one.lease.term < term:
            self._lost(self._latest, one, f"an effect of term {term} came here")
        return took

    def kept(self, record: dict[str, Any]) -> None:
        self._on_disk = record
        for duty, term, asked_at in self._own:
            lease = self.duties[duty].lease
            if lease is not None and lease.term == term:
                lease.granted(self.names[self.me], asked_at)
                self._look_won(self.duties[duty])
        self._own = []

    def not_kept(self, now: float) -> None:
        """The disk did not take it: no vote, no harm. Who wanted to stand does not."""
        self._count("votes that the disk did not take")
        self._own = []
        for one in self.duties.values():
            if one.lease is not None and not one.won:
                self._lost(now, one, "the disk takes no vote")

    # ---- as a voter ----------------------------------------------------------------------------------------

    def _asked(self, now: float, one: One, sender: int, words: Words) -> None:
        voter, name = self.memory.voters[one.name], self.names[sender]
        if not self.memory.votes(now):
            self._count("asked before it may vote")
            return
        if not self.memory.lists.covered_by(words.list, words.former):
            self._count("asked by one of another version of the site")
            return
        if words.kind == "poll":
            if voter.bound(now) and voter.member != name or self.owns(now, one.name):
                self._deny(now, one, sender, words)
            elif now < one.known[2] and one.known[0] not in (NOBODY, sender):
                # Guards against a candidate asking all for an owner whom half of them were told of: it had
                # missed one word of it, and of the three that it asked first some had only been told, too.
                self._say(sender, "deny", one, words.sequence, one.known[1], one.known[0], one.known[2] - now)
            else:
                self._say(sender, "free", one, words.sequence, voter.term)
            return
        if not voter.asked(now, words.term, name):
            self._deny(now, one, sender, words)
            return
        if one.lease is not None and one.lease.term < words.term:
            self._lost(now, one, f"{name} stands with term {words.term}")
        one.known, one.stand_at = (sender, words.term, now + self.memory.promise), 1e18
        one.polled_at, one.in_vain = -1e18, 0
        self._say(sender, "grant", one, words.sequence, words.term)

    def _deny(self, now: float, one: One, sender: int, words: Words) -> None:
        voter = self.memory.voters[one.name]
        left = voter.until - now if voter.bound(now) else 0.0
        member = self.number_of.get(voter.member, NOBODY) if left > 0 else NOBODY
        self._say(sender, "deny", one, words.sequence, voter.term, member, left)

    def _given_back(self, now: float, one: One, sender: int, words: Words) -> None:
        gone = self.memory.voters[one.name].given_back(words.term, self.names[sender])
        if not gone and not (one.known[0] == sender and one.known[1] == words.term):
            return
        one.known = NOBODY, words.term, -1e18
        one.stand_at = 1e18
        if words.member == self.me and self._may_stand(now, one):
            one.polled_at = -1e18
            self._stand(now, one)
        elif words.member != NOBODY:
            one.stand_at = now + 2 * self.patient + self._place(one)

    # ---- as a candidate and an owner -----------------------------------------------------------------------

    def _answered(self, now: float, one: One, sender: int, words: Words) -> None:
        asked = self._out.pop(words.sequence, None)
        if asked is None or asked[0] != one.name or asked[2] != sender:
            return
        _, term, _, at = asked
        if words.kind != "free":
            one.seen_term = max(one.seen_term, min(words.term, max(one.seen_term, term) + STEP))
        if term == 0:
            self._polled(now, one, sender, words)
            return
        lease = one.lease
        if lease is None or lease.term != term:
            return
        if words.kind == "grant" and words.term == term:
            left = lease.until() - now
            lease.granted(self.names[sender], at)
            if one.won and left < NEARLY * self.lease < lease.until() - now:
                self._due.append(Renewed(one.name, term, left))
            self._look_won(one)
        elif words.kind == "deny" and words.term > term:
            self._give_back(now, one, NOBODY)
            self._lost(now, one, f"{self.names[sender]} knows term {words.term}")

    def _polled(self, now: float, one: One, sender: int, words: Words) -> None:
        if one.polled_at < 0:
            return
        if words.kind == "deny" and words.member != NOBODY:
            # There is an owner, or somebody that stands: how long its promise lasts at that voter.
            one.known = words.member, words.term, now + words.left
            one.polled_at, one.stand_at, one.in_vain = -1e18, 1e18, 0
            return
        one.polling.add(self.names[sender])
        one.seen_term = max(one.seen_term, min(words.term, one.seen_term + STEP))
        if self.memory.lists.reached([*one.polling, self.names[self.me]]):
            one.polled_at, one.in_vain = -1e18, 0
            self._stand(now, one)
        elif not one.widened and len(one.polling) >= min(POLLED, len(self.members) - 1):
            self._widen(now, one)

    def _poll(self, now: float, one: One) -> None:
        """Asks first, without a term, so that those who are cut off do not raise terms for nothing."""
        one.polling, one.polled_at, one.stand_at, one.widened = set(), now, 1e18, False
        some = self.chance.sample(self._others(), min(POLLED, len(self._others())))
        for to in some:
            self._question(now, one, to, "poll", 0)
        if len(some) == len(self._others()):
            one.widened = True
        if self.memory.lists.reached([self.names[self.me]]):
            one.polled_at = -1e18
            self._stand(now, one)

    def _widen(self, now: float, one: One) -> None:
        """Asks all, where a majority of them may answer.

        Guards against everybody asking everybody for as long as a cut lasts that leaves no side a majority:
        datagrams a second that go by the square of the members."""
        if not self.memory.lists.reached(self.names[n] for n in (self.me, *self.there)):
            self._again_later(now, one)
            return
        one.widened, one.polled_at = True, now
        for to in self._others():
            if self.names[to] not in one.polling:
                self._question(now, one, to, "poll", 0)

    def _stand(self, now: float, one: One) -> None:
        voter, name = self.memory.voters[one.name], self.names[self.me]
        term = max(voter.term, one.seen_term, self.memory.fence.known(one.name)) + 1
        if term > TOP or not voter.asked(now, term, name):
            one.stand_at = 1e18
            return
        one.lease, one.won, one.stood_at = Lease(term, self.memory.lists, self.lease), False, now
        one.stand_at = 1e18
        self._count("stood")
        self._round(now, one)

    def _round(self, now: float, one: One) -> None:
        """Asks a majority and some; who does not answer in time is asked again, and the others with it."""
        lease = one.lease
        assert lease is not None
        if lease.asked_at:
            self.memory.voters[one.name].asked(now, lease.term, self.names[self.me])
        self._own.append((one.name, lease.term, now))
        one.round_at, one.again_at = now, now + self.again
        # Those that granted last are asked first, so that others hear nothing of it but who owns.
        before = sorted(self._others(), key=lambda m: (-lease.asked_at.get(self.names[m], -1e18), m))
        most = len(self._others()) if not one.won else len(self.members) // 2 + SPARE
        there = [m for m in before if m in self.there or not one.won]
        for to in there[:most]:
            self._question(now, one, to, "ask", lease.term)
        self._tell(now, one, set(there[:most]))
        if not self.dirty():
            self.kept(self.memory.record())

    def _ask_again(self, now: float, one: One) -> None:
        """Those of this round that have not granted: it or its answer may have been lost."""
        lease = one.lease
        assert lease is not None
        one.again_at = now + self.again
        if lease.until() - self.lease >= one.round_at:
            one.again_at = 1e18  # a majority has answered
            return
        fresh = [m for m in self._others() if lease.asked_at.get(self.names[m], -1e18) >= one.round_at]
        missing = max(0, len(self.members) // 2 - len(fresh))
        late = [m for m in self._others() if m not in fresh]
        # Twice as many as are missing: at the worst losses that membership bears every second one answers.
        for to in late if not one.won else self.chance.sample(late, min(len(late), 2 * missing + SPARE)):
            self._question(now, one, to, "ask", lease.term)

    def _tell(self, now: float, one: One, asked: set[int]) -> None:
        """Those who are not asked are told once a lease, so that they do not stand."""
        if not one.won or now - one.told_at < self.lease * (1 - RATES):
            return
        one.told_at = now
        assert one.lease is not None
        for to in self._others():
            if to in self.there and to not in asked:
                self._say(to, "told", one, 0, one.lease.term, self.me, KNOWN * self.lease)

    def _look_won(self, one: One) -> None:
        lease = one.lease
        if lease is not None and not one.won and lease.until() > self._latest:
            one.won, one.told_at = True, -1e18
            one.known = self.me, lease.term, lease.until()
            self._due.append(Won(one.name, lease.term))

    def _give_back(self, now: float, one: One, successor: int) -> None:
        """Says to all that this term is not used any more, by whom it is held here first."""
        lease = one.lease
        assert lease is not None
        lease.ended = True
        self.memory.voters[one.name].given_back(lease.term, self.names[self.me])
        for to in self._others():
            self._say(to, "yield", one, 0, lease.term, successor)

    def _lost(self, now: float, one: One, why: str) -> None:
        lease, won = one.lease, one.won
        if lease is None:
            return
        late = max(0.0, now - lease.until()) if won else 0.0
        lease.ended = True
        one.lease, one.won, one.again_at = None, False, 1e18
        one.seen_term = max(one.seen_term, lease.term)
        if one.known[0] == self.me:
            one.known = NOBODY, lease.term, -1e18
        one.stand_at = now + self._place(one) + self.won_within * self.chance.random()
        if won:
            self._due.append(Lost(one.name, lease.term, why, late))

    def owns(self, now: float, duty: str) -> int:
        """The term under which an effect may be sent now; 0 for none. Asked before each effect."""
        one = self.duties[duty]
        if one.lease is None or not one.won or not self.clock_good:
            return 0
        if not one.lease.holds(now):
            self._lost(now, one, "the lease is over")
            return 0
        return one.lease.term

    # ---- what is decided -----------------------------------------------------------------------------------

    def decide(self, now: float) -> Decision | None:
        self._latest = now
        if not self._due and not self._after:
            self._look(now)
        if self._due:
            return self._due.popleft()  # rests on nothing that is not on disk yet
        if self.dirty():
            then, self._after = tuple(self._after), []
            return Keep(self.memory.record(), then)
        return self._after.pop(0) if self._after else None

    def _look(self, now: float) -> None:
        if now >= self._greet_at:
            self._greet(now)
        if self._joining and self.joined(now):
            # Guards against a newcomer that starts anew during the change that adds it, and has a file now.
            self._joining, self.memory.joined = False, True
        if self.memory.settle(now):
            self.lease = self.memory.lists.shortest()
        if len(self._out) > MOST_OUT // 2:
            self._out = {k: v for k, v in self._out.items() if now - v[3] < self.lease}
        for one in self.duties.values():
            if one.lease is not None:
                self._hold(now, one)
            elif not self._may_stand(now, one):
                one.polled_at, one.stand_at = -1e18, 1e18
            elif one.polled_at >= 0:
                self._await_poll(now, one)
            elif now >= one.stand_at:
                self._poll(now, one)
            elif one.stand_at > 1e17 and now >= self._free_at(one):
                one.stand_at = now + self._place(one)

    def _hold(self, now: float, one: One) -> None:
        lease = one.lease
        assert lease is not None
        if one.won and not self.owns(now, one.name):
            return
        if not one.won and now - one.stood_at > self.won_within:
            self._give_back(now, one, NOBODY)
            self._lost(now, one, "not enough votes")
        elif not self.fit:
            there = [m for m in one.order if m in self.there]
            self._give_back(now, one, there[0] if there else NOBODY)
            self._lost(now, one, self.why_not or "not fit")
        elif now >= one.round_at + RENEW * self.lease:
            self._round(now, one)
        elif now >= one.again_at:
            self._ask_again(now, one)

    def _await_poll(self, now: float, one: One) -> None:
        if now < one.polled_at + self.patient:
            return
        if not one.widened:
            self._widen(now, one)
        else:
            self._again_later(now, one)

    def _again_later(self, now: float, one: One) -> None:
        """A poll was in vain: the next ones come rarer, up to once a lease."""
        wait = self.won_within * (1 + self.chance.random()) * 2 ** min(one.in_vain, RARER)
        one.in_vain += 1
        one.polled_at = -1e18
        one.stand_at = now + self._place(one) + min(wait, max(self.lease, self.won_within))

    def _may_stand(self, now: float, one: One) -> bool:
        if one.name in self.withheld:
            return False
        return self.fit and self.clock_good and self.memory.votes(now) and self.joined(now)

    def joined(self, now: float) -> bool:
        """Whether others count this one: not where it was declared gone, nor while it knows of nobody's
        terms, nor, where it came without a file, while any that it heard goes by the list before, too."""
        if self.memory.me not in self.memory.lists.current:
            return False
        return self.memory.votes(now) and not (self._joining and any(self._formers.values()))

    def owner_of(self, now: float, duty: str) -> tuple[int, int]:
        """Who owns a duty as far as this one knows, and its term; nobody, and the highest term known."""
        one = self.duties[duty]
        if mine := self.owns(now, duty):
            return self.me, mine
        member, term, until = one.known
        return (member, term) if now < until else (NOBODY, term)

    def _free_at(self, one: One) -> float:
        voter = self.memory.voters[one.name]
        return max(voter.until if voter.member else -1e18, one.known[2])

    def _place(self, one: One) -> float:
        """How long this one waits before it stands: the better its place among those there, the shorter."""
        there = [m for m in one.order if m == self.me or m in self.there]
        place = min(there.index(self.me), PLACES)
        return STAND * self.lease * (place + self.chance.random())

    # ---- greetings -----------------------------------------------------------------------------------------

    def _greet(self, now: float) -> None:
        """Until all have told what they know, or for a while; while a change of the list is unsettled too."""
        memory = self.memory
        waiting = [m for m in self._others() if self.names[m] not in memory.answers]
        if memory.votes(now) and now >= self._greets_until:
            # Guards against a newcomer that never hears that the change which adds it is over.
            waiting = [m for m in self._others() if self._joining and self._formers.get(self.names[m])]
        if memory.unsettled():
            waiting = [m for m in self._others() if self.names[m] not in memory.on_new]
        if not waiting:
            self._greet_at = 1e18
            return
        for to in waiting:
            self._send(
                to,
                self._words("greet", self._numbers[0], memory.nonce, 0)._replace(
                    life=memory.life, intact=memory.intact, terms=memory.terms()
                ),
            )
        self._greet_at = now + self._greet_every
        self._greet_every = min(self.lease / 4, self._greet_every * 1.5)

    def _greeting(self, now: float, sender: int, words: Words) -> None:
        name, memory = self.names[sender], self.memory
        if words.kind == "greet":
            known = memory.greeted_by(name, words.life, words.sequence)
            # One that is not sure of its own file says so: only what it took part in since counts.
            sound = memory.intact or (memory.confirmed and not memory.begun)
            self._send(
                sender,
                self._words("greeted", self._numbers[0], words.sequence, 0)._replace(
                    life=memory.life, known_life=known, intact=sound or self._voted(), terms=memory.terms()
                ),
            )
            return
        if words.sequence != memory.nonce:
            return
        before = memory.intact
        self._formers[name] = words.former != NO_LIST
        memory.answered(now, name, words.known_life, words.intact, words.terms)
        if before and not memory.intact:
            self._count("an old copy of the state directory")
            self._joining, memory.joined = True, False
            memory.nonce = self.chance.getrandbits(32)
            self._greet_at, self._greet_every = now, GREET * self.lease
            for one in self.duties.values():
                self._lost(now, one, "the state directory is an old copy")

    def _voted(self) -> bool:
        return self.memory.confirmed and any(v.term for v in self.memory.voters.values())

    # ---- messages ------------------------------------------------------------------------------------------

    def _others(self) -> list[int]:
        return [i for i in self.members if i != self.me]

    def _words(self, kind: Kind, duty: int, sequence: int, term: int) -> Words:
        here, former = self.memory.lists.digests()
        return Words(kind, duty, sequence, term, self.shorts[self.me], here, former)

    def _say(
        self, to: int, kind: Kind, one: One, sequence: int, term: int, member: int = NOBODY, left: float = 0.0
    ) -> None:
        self._send(to, self._words(kind, one.number, sequence, term)._replace(member=member, left=left))

    def _question(self, now: float, one: One, to: int, kind: Kind, term: int) -> None:
        self._sequence = self._sequence % 0xFFFFFFFF + 1
        if len(self._out) >= MOST_OUT:
            self._out.pop(next(iter(self._out)))
        self._out[self._sequence] = one.name, term, to, now
        self._say(to, kind, one, self._sequence, term)

    def _send(self, to: int, words: Words) -> None:
        self._after.append(Send(to, words))

    def dirty(self) -> bool:
        """Whether anything that was voted or taken is not on disk yet."""
        return self._on_disk != self.memory.record()

    def _count(self, what: str) -> None:
        self.counts[what] = self.counts.get(what, 0) + 1

    # ---- what is known -------------------------------------------------------------------------------------

    def wake_at(self, now: float) -> float:
        if self._due or self._after:
            return now
        at = [self._greet_at, self.memory.settles_at if not self.memory.behind else 1e18]
        if self.memory.shares is not None:
            at.append(self.memory.shares.free_at)
        for one in self.duties.values():
            if one.lease is not None:
                at += [one.round_at + RENEW * self.lease, one.again_at]
                at.append(one.lease.until() if one.won else one.stood_at + self.won_within)
            elif one.polled_at >= 0:
                at.append(one.polled_at + self.patient)
            elif self._may_stand(now, one):
                at.append(one.stand_at if one.stand_at < 1e17 else self._free_at(one))
            else:
                at.append(max(self.memory.votes_from, now + 0.1 * self.lease))
        return min(at)

    def told(self, now: float) -> dict[str, dict[str, Any]]:
        """For each duty what this member knows of it, for people."""
        out: dict[str, dict[str, Any]] = {}
        for name, one in self.duties.items():
            voter, mine = self.memory.voters[name], self.owns(now, name)
            member, term, until = one.known
            if mine:
                assert one.lease is not None
                member, term, until = self.me, mine, one.lease.until()
            known = member != NOBODY and now < until and member < len(self.names)
            out[name] = {
                "owner": self.names[member] if known else "",
                "term": max(term, voter.term, mine),
                "lease_left": round(until - now, 3) if known else 0.0,
                "mine": bool(mine),
                "stands": one.lease is not None and not one.won,
                "fence": self.memory.fence.known(name),
                "refused": self.memory.fence.refused.get(name, 0),
                "refused_by": dict(one.refused),
                "standstill": "" if known else STANDSTILL.get(name, ""),
            }
        return out

    def state(self, now: float) -> dict[str, Any]:
        memory = self.memory
        why = (
            ""
            if memory.votes(now)
            else (
                "asks the others which terms they know"
                if not memory.confirmed
                else "waits until no promise of a former life can hold"
            )
        )
        return {
            "duties": self.told(now),
            "votes": not why,
            "why_not": why or ("" if self.fit else self.why_not),
            "intact": memory.intact,
            "begun": memory.begun,
            "settled": not memory.unsettled(),
            "clock": self.clock_good,
            "counts": dict(sorted(self.counts.items())),
        }
