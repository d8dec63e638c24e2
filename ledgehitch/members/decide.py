"""Who is asked whether it is there, who is doubted, what is passed on. Free of I/O and clock.

After SWIM: each period one member is asked, in shuffled turns; where it does not answer, some others are
asked to ask it; then it is suspected, which it may refute, and counts as dead after a while. News rides on
these messages. A gateway that finds itself slow doubts others later. Inputs update, `decide` is pulled.
"""

import math
import random
from collections import deque
from dataclasses import dataclass

from ledgehitch.members.roster import MemberStatus, Roster, Status
from ledgehitch.members.words import MAX_UPDATES, MembershipMessage

PERIOD_S = 1.0  # seconds between two questions
RETRY_AFTER = 0.3  # of a period for the answer, before it is asked again and others are asked to ask
MAX_RETRIES = 2  # after the first
INDIRECT_PROBES = 3
DISSEMINATION_FACTOR = 3  # times log2 of the members that a piece of news is passed on
SUSPICION_FACTOR = 5.0  # times log10 of the members, in periods: how long a suspect may refute
AWAY_TIMEOUT_S = 60.0  # seconds in which one that said it is back soon is expected back
MAX_SLOWNESS = 8  # by how much one that is slow itself may stretch its periods
DEAD_PROBE_PERIODS = (
    5  # periods after which one that is held for dead is asked again: a parted fleet grows together
)
PENDING_TIMEOUT_S = 60.0  # seconds that a question of our own is
INDIRECT_TIMEOUT_S = 5.0  # seconds that a question for another is remembered


@dataclass(frozen=True)
class Send:
    """To this member."""

    recipient: int
    message: MembershipMessage


@dataclass(frozen=True)
class StatusChanged:
    """This gateway now believes that of a member."""

    member: int
    status: Status


Decision = Send | StatusChanged


class Members:
    def __init__(
        self,
        now: float,
        me: int,
        members: int,
        life: int,
        rng: random.Random,
    ) -> None:
        """`members`: gateways that the site states."""
        self.me, self.member_count, self.rng = me, members, rng
        self.roster = Roster(now, me, members, life)
        self.slowness = 0  # health of our own: each question that nobody answers counts one up
        self.counts = {"asked": 0, "answered": 0, "refuted": 0, "doubts": 0, "deaths": 0}
        self._times_sent: dict[int, int] = {}  # how often the news on a member was passed on
        self._probe_order: list[int] = []
        self._sequence = 0
        self._pending: dict[int, tuple[int, float]] = {}  # questions: whom, when
        self._probe: tuple[int, int, float, int] | None = None  # sequence, whom, since, tries after the first
        self._indirect: dict[int, tuple[int, int, float]] = {}  # our sequence: for whom, its sequence, when
        self._next_period_at = now + rng.random() * PERIOD_S
        self._last_update_at = now
        self._period_count = 0
        self._status_timeouts: dict[int, float] = {}  # suspects and those away: until when
        self._decisions: deque[Decision] = deque()
        self._alive: set[int] | None = None  # None: to be made anew
        self._on_changes(now, [])

    # ---- what happens --------------------------------------------------------------------------------------

    def on_message(self, now: float, sender: int, message: MembershipMessage) -> None:
        """Words of a member whose frame was good."""
        if sender not in self.roster.entries or sender == self.me:
            return
        before = self.roster.incarnation
        self._on_changes(now, self.roster.merge(now, message.news))
        self.counts["refuted"] += self.roster.incarnation > before
        match message.kind:
            case "ask":
                self._send(sender, "answer", message.sequence)
            case "ask for":
                if message.about in self.roster.entries and message.about != self.me:
                    number = self._send_request(now, message.about)
                    self._indirect[number] = sender, message.sequence, now
            case "answer":
                self._on_answer(now, sender, message)

    def _on_answer(self, now: float, sender: int, message: MembershipMessage) -> None:
        pending = self._pending.pop(message.sequence, None)
        if pending is None:
            return
        member, _ = pending
        self.counts["answered"] += 1
        waiting = self._indirect.pop(message.sequence, None)
        if waiting is not None:
            self._send(waiting[0], "answer", waiting[1], about=member)
        if self._probe is not None and self._probe[0] == message.sequence:
            self._probe = None
            self.slowness = max(0, self.slowness - 1)

    def leave(self, now: float, for_good: bool) -> None:
        """This gateway goes: some others are told at once, so that nobody doubts it."""
        self.roster.leave(now, "left" if for_good else "away")
        self._on_changes(now, [])
        present = self.roster.present()
        for recipient in self.rng.sample(present, min(len(present), 2 * INDIRECT_PROBES)):
            self._send(recipient, "ask", self._new_request(now, recipient))

    # ---- what is decided -----------------------------------------------------------------------------------

    def decide(self, now: float) -> Decision | None:
        if not self._decisions:
            self._update(now)
        return self._decisions.popleft() if self._decisions else None

    def _update(self, now: float) -> None:
        was_suspended = now - self._last_update_at > 1.5 * PERIOD_S
        self._last_update_at = now
        if self.roster.status(self.me) in ("left", "away"):
            return
        if was_suspended:
            # Guards against a gateway that stood still doubting those whose answers wait in its socket.
            self._probe, self.slowness = None, min(MAX_SLOWNESS, self.slowness + 1)
            self._status_timeouts = {n: until + PERIOD_S for n, until in self._status_timeouts.items()}
        for member in sorted(n for n, until in self._status_timeouts.items() if now >= until):
            del self._status_timeouts[member]
            self.counts["deaths"] += 1
            self._on_changes(now, self.roster.set_status(now, member, "dead"))
        probe = self._probe
        if probe is not None and probe[3] < MAX_RETRIES and now >= self._next_retry_at(probe):
            self._retry(now, probe)
        if now >= self._next_period_at:
            self._start_period(now)

    def _next_retry_at(self, probe: tuple[int, int, float, int]) -> float:
        return probe[2] + (1 + probe[3]) * RETRY_AFTER * PERIOD_S * (1 + self.slowness / MAX_SLOWNESS)

    def _retry(self, now: float, probe: tuple[int, int, float, int]) -> None:
        """The question or its answer may have been lost: it is asked again, and by others too."""
        number, member, since, tries = probe
        self._probe = number, member, since, tries + 1
        self._send(member, "ask", number)
        if tries == 0:
            helpers = [n for n in self.roster.present() if n != member and self.roster.status(n) == "alive"]
            for helper in self.rng.sample(helpers, min(INDIRECT_PROBES, len(helpers))):
                self._send(helper, "ask for", number, about=member)

    def _start_period(self, now: float) -> None:
        self._next_period_at = now + PERIOD_S * (1 + self.slowness / MAX_SLOWNESS) * self.rng.uniform(
            0.9, 1.1
        )
        self._period_count += 1
        if self._probe is not None:
            member, self._probe = self._probe[1], None
            self.slowness = min(MAX_SLOWNESS, self.slowness + 1)
            if self.roster.status(member) == "alive":
                self.counts["doubts"] += 1
                self._on_changes(now, self.roster.set_status(now, member, "suspect"))
        self._pending = {k: v for k, v in self._pending.items() if now - v[1] < PENDING_TIMEOUT_S}
        self._indirect = {k: v for k, v in self._indirect.items() if now - v[2] < INDIRECT_TIMEOUT_S}
        member = self._next_target()
        if member >= 0:
            number = self._send_request(now, member)
            self._probe = number, member, now, 0
        if self._period_count % DEAD_PROBE_PERIODS == 0:
            dead = [n for n, e in self.roster.entries.items() if e.status == "dead"]
            if dead:
                self._send_request(now, self.rng.choice(dead))

    def _next_target(self) -> int:
        """Whose turn it is: everybody there, in an order that is shuffled for each round."""
        present = set(self.roster.present())
        while True:
            while self._probe_order:
                member = self._probe_order.pop()
                if member in present:
                    return member
            if not present:
                return -1
            self._probe_order = sorted(present)
            self.rng.shuffle(self._probe_order)

    # ---- messages ------------------------------------------------------------------------------------------

    def _new_request(self, now: float, member: int) -> int:
        self._sequence += 1
        self._pending[self._sequence] = member, now
        self.counts["asked"] += 1
        return self._sequence

    def _send_request(self, now: float, member: int) -> int:
        number = self._new_request(now, member)
        self._send(member, "ask", number)
        return number

    def _send(self, to: int, kind: str, sequence: int, about: int = 0) -> None:
        self._decisions.append(Send(to, MembershipMessage(kind, sequence, about, self._pick_updates(to))))  # type: ignore[arg-type]

    def _pick_updates(self, to: int) -> tuple[MemberStatus, ...]:
        """Own news, what the receiver should know of itself, then what was passed on least."""
        entries = self.roster.entries
        own = entries[self.me]
        updates = [MemberStatus(self.me, own.incarnation, own.status)]
        if entries[to].status != "alive":
            updates.append(MemberStatus(to, entries[to].incarnation, entries[to].status))
        max_times = DISSEMINATION_FACTOR * math.ceil(math.log2(self.member_count + 1))
        for times, member in sorted(zip(self._times_sent.values(), self._times_sent, strict=True))[
            : MAX_UPDATES - 2
        ]:
            if member not in (self.me, to):
                updates.append(MemberStatus(member, entries[member].incarnation, entries[member].status))
            self._times_sent[member] = times + 1
            if times + 1 >= max_times:
                del self._times_sent[member]
        return tuple(updates)

    def _on_changes(self, now: float, changed: list[MemberStatus]) -> None:
        for news in self.roster.outgoing:
            self._times_sent[news.member] = 0
        self.roster.outgoing = []
        if changed:
            self._alive = None
        for member, _, status in changed:
            self._decisions.append(StatusChanged(member, status))
            self._status_timeouts.pop(member, None)
            if status == "suspect":
                periods = max(3.0, SUSPICION_FACTOR * math.log10(self.member_count + 1))
                self._status_timeouts[member] = now + periods * PERIOD_S * (1 + self.slowness / MAX_SLOWNESS)
            elif status == "away":
                self._status_timeouts[member] = now + AWAY_TIMEOUT_S

    # ---- what is known -------------------------------------------------------------------------------------

    def is_slow(self) -> bool:
        """Whether this gateway finds itself slow: it should take on nothing for others."""
        return self.slowness >= MAX_SLOWNESS // 2

    def alive(self) -> set[int]:
        """Others that nobody doubts. Not to be changed: asked before each decision on owners."""
        if self._alive is None:
            self._alive = {n for n, e in self.roster.entries.items() if n != self.me and e.status == "alive"}
        return self._alive

    def statuses(self) -> dict[int, Status]:
        return {n: e.status for n, e in sorted(self.roster.entries.items()) if n != self.me}

    def wake_at(self) -> float:
        if self._decisions:
            return 0.0
        at = [self._next_period_at, *self._status_timeouts.values()]
        if self._probe is not None and self._probe[3] < MAX_RETRIES:
            at.append(self._next_retry_at(self._probe))
        return min(at)
