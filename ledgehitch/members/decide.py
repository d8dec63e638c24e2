"""Who is asked whether it is there, who is doubted, what is passed on. Free of I/O and clock.

After SWIM: each period one member is asked, in shuffled turns; where it does not answer, some others are
asked to ask it; then it is suspected, which it may refute, and counts as dead after a while. News rides on
these messages. A gateway that finds itself slow doubts others later. Inputs update, `decide` is pulled.
"""

import math
import random
from collections import deque
from dataclasses import dataclass

from ledgehitch.members.roster import News, Roster, Status
from ledgehitch.members.words import MOST_NEWS, Words

PERIOD = 1.0  # seconds between two questions
DIRECT = 0.3  # of a period for the answer, before it is asked again and others are asked to ask
TRIES = 2  # after the first
HELPERS = 3
SPREAD = 3  # times log2 of the members that a piece of news is passed on
DOUBT = 5.0  # times log10 of the members, in periods: how long a suspect may refute
AWAY = 60.0  # seconds in which one that said it is back soon is expected back
SLOWEST = 8  # by how much one that is slow itself may stretch its periods
AGAIN_DEAD = 5  # periods after which one that is held for dead is asked again: a parted fleet grows together
REMEMBERED = 60.0  # seconds that a question of our own is
ASKED_FOR = 5.0  # seconds that a question for another is remembered


@dataclass(frozen=True)
class Send:
    """To this member."""

    to: int
    words: Words


@dataclass(frozen=True)
class Became:
    """This gateway now believes that of a member."""

    member: int
    status: Status


Decision = Send | Became


class Members:
    def __init__(
        self,
        now: float,
        me: int,
        members: int,
        life: int,
        chance: random.Random,
    ) -> None:
        """`members`: gateways that the site states."""
        self.me, self.stated, self.chance = me, members, chance
        self.roster = Roster(now, me, members, life)
        self.slow = 0  # health of our own: each question that nobody answers counts one up
        self.counts = {"asked": 0, "answered": 0, "refuted": 0, "doubts": 0, "deaths": 0}
        self._spread: dict[int, int] = {}  # how often the news on a member was passed on
        self._turns: list[int] = []
        self._sequence = 0
        self._out: dict[int, tuple[int, float]] = {}  # questions: whom, when
        self._probe: tuple[int, int, float, int] | None = None  # sequence, whom, since, tries after the first
        self._for: dict[int, tuple[int, int, float]] = {}  # our sequence: for whom, its sequence, when
        self._next = now + chance.random() * PERIOD
        self._looked = now
        self._periods = 0
        self._doubts: dict[int, float] = {}  # suspects and those away: until when
        self._due: deque[Decision] = deque()
        self._alive: set[int] | None = None  # None: to be made anew
        self._noted(now, [])

    # ---- what happens --------------------------------------------------------------------------------------

    def heard(self, now: float, sender: int, words: Words) -> None:
        """Words of a member whose frame was good."""
        if sender not in self.roster.entries or sender == self.me:
            return
        before = self.roster.incarnation
        self._noted(now, self.roster.heard(now, words.news))
        self.counts["refuted"] += self.roster.incarnation > before
        match words.kind:
            case "ask":
                self._send(sender, "answer", words.sequence)
            case "ask for":
                if words.about in self.roster.entries and words.about != self.me:
                    number = self._question(now, words.about)
                    self._for[number] = sender, words.sequence, now
            case "answer":
                self._answered(now, sender, words)

    def _answered(self, now: float, sender: int, words: Words) -> None:
        asked = self._out.pop(words.sequence, None)
        if asked is None:
            return
        whom, _ = asked
        self.counts["answered"] += 1
        waiting = self._for.pop(words.sequence, None)
        if waiting is not None:
            self._send(waiting[0], "answer", waiting[1], about=whom)
        if self._probe is not None and self._probe[0] == words.sequence:
            self._probe = None
            self.slow = max(0, self.slow - 1)

    def leaves(self, now: float, for_good: bool) -> None:
        """This gateway goes: some others are told at once, so that nobody doubts it."""
        self.roster.leaves(now, "left" if for_good else "away")
        self._noted(now, [])
        there = self.roster.there()
        for to in self.chance.sample(there, min(len(there), 2 * HELPERS)):
            self._send(to, "ask", self._question_number(now, to))

    # ---- what is decided -----------------------------------------------------------------------------------

    def decide(self, now: float) -> Decision | None:
        if not self._due:
            self._look(now)
        return self._due.popleft() if self._due else None

    def _look(self, now: float) -> None:
        stood_still = now - self._looked > 1.5 * PERIOD
        self._looked = now
        if self.roster.status(self.me) in ("left", "away"):
            return
        if stood_still:
            # Guards against a gateway that stood still doubting those whose answers wait in its socket.
            self._probe, self.slow = None, min(SLOWEST, self.slow + 1)
            self._doubts = {n: until + PERIOD for n, until in self._doubts.items()}
        for member in sorted(n for n, until in self._doubts.items() if now >= until):
            del self._doubts[member]
            self.counts["deaths"] += 1
            self._noted(now, self.roster.doubt(now, member, "dead"))
        probe = self._probe
        if probe is not None and probe[3] < TRIES and now >= self._next_try(probe):
            self._try_again(now, probe)
        if now >= self._next:
            self._period(now)

    def _next_try(self, probe: tuple[int, int, float, int]) -> float:
        return probe[2] + (1 + probe[3]) * DIRECT * PERIOD * (1 + self.slow / SLOWEST)

    def _try_again(self, now: float, probe: tuple[int, int, float, int]) -> None:
        """The question or its answer may have been lost: it is asked again, and by others too."""
        number, whom, since, tries = probe
        self._probe = number, whom, since, tries + 1
        self._send(whom, "ask", number)
        if tries == 0:
            helpers = [n for n in self.roster.there() if n != whom and self.roster.status(n) == "alive"]
            for helper in self.chance.sample(helpers, min(HELPERS, len(helpers))):
                self._send(helper, "ask for", number, about=whom)

    def _period(self, now: float) -> None:
        self._next = now + PERIOD * (1 + self.slow / SLOWEST) * self.chance.uniform(0.9, 1.1)
        self._periods += 1
        if self._probe is not None:
            whom, self._probe = self._probe[1], None
            self.slow = min(SLOWEST, self.slow + 1)
            if self.roster.status(whom) == "alive":
                self.counts["doubts"] += 1
                self._noted(now, self.roster.doubt(now, whom, "suspect"))
        self._out = {k: v for k, v in self._out.items() if now - v[1] < REMEMBERED}
        self._for = {k: v for k, v in self._for.items() if now - v[2] < ASKED_FOR}
        whom = self._turn()
        if whom >= 0:
            number = self._question(now, whom)
            self._probe = number, whom, now, 0
        if self._periods % AGAIN_DEAD == 0:
            dead = [n for n, e in self.roster.entries.items() if e.status == "dead"]
            if dead:
                self._question(now, self.chance.choice(dead))

    def _turn(self) -> int:
        """Whose turn it is: everybody there, in an order that is shuffled for each round."""
        there = set(self.roster.there())
        while True:
            while self._turns:
                whom = self._turns.pop()
                if whom in there:
                    return whom
            if not there:
                return -1
            self._turns = sorted(there)
            self.chance.shuffle(self._turns)

    # ---- messages ------------------------------------------------------------------------------------------

    def _question_number(self, now: float, whom: int) -> int:
        self._sequence += 1
        self._out[self._sequence] = whom, now
        self.counts["asked"] += 1
        return self._sequence

    def _question(self, now: float, whom: int) -> int:
        number = self._question_number(now, whom)
        self._send(whom, "ask", number)
        return number

    def _send(self, to: int, kind: str, sequence: int, about: int = 0) -> None:
        self._due.append(Send(to, Words(kind, sequence, about, self._picked(to))))  # type: ignore[arg-type]

    def _picked(self, to: int) -> tuple[News, ...]:
        """Own news, what the receiver should know of itself, then what was passed on least."""
        entries = self.roster.entries
        own = entries[self.me]
        some = [News(self.me, own.incarnation, own.status)]
        if entries[to].status != "alive":
            some.append(News(to, entries[to].incarnation, entries[to].status))
        most = SPREAD * math.ceil(math.log2(self.stated + 1))
        for times, member in sorted(zip(self._spread.values(), self._spread, strict=True))[: MOST_NEWS - 2]:
            if member not in (self.me, to):
                some.append(News(member, entries[member].incarnation, entries[member].status))
            self._spread[member] = times + 1
            if times + 1 >= most:
                del self._spread[member]
        return tuple(some)

    def _noted(self, now: float, changed: list[News]) -> None:
        for news in self.roster.news:
            self._spread[news.member] = 0
        self.roster.news = []
        if changed:
            self._alive = None
        for member, _, status in changed:
            self._due.append(Became(member, status))
            self._doubts.pop(member, None)
            if status == "suspect":
                periods = max(3.0, DOUBT * math.log10(self.stated + 1))
                self._doubts[member] = now + periods * PERIOD * (1 + self.slow / SLOWEST)
            elif status == "away":
                self._doubts[member] = now + AWAY

    # ---- what is known -------------------------------------------------------------------------------------

    def lags(self) -> bool:
        """Whether this gateway finds itself slow: it should take on nothing for others."""
        return self.slow >= SLOWEST // 2

    def alive(self) -> set[int]:
        """Others that nobody doubts. Not to be changed: asked before each decision on owners."""
        if self._alive is None:
            self._alive = {n for n, e in self.roster.entries.items() if n != self.me and e.status == "alive"}
        return self._alive

    def told(self) -> dict[int, Status]:
        return {n: e.status for n, e in sorted(self.roster.entries.items()) if n != self.me}

    def wake_at(self) -> float:
        if self._due:
            return 0.0
        at = [self._next, *self._doubts.values()]
        if self._probe is not None and self._probe[3] < TRIES:
            at.append(self._next_try(self._probe))
        return min(at)
