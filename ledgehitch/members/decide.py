"""Failure detection and dissemination of member status, after SWIM. Free of I/O and clocks.

Each period one member is probed, in shuffled rounds. If it does not answer, others probe it indirectly; then
it is suspected, which it may refute, and is declared dead after a time-out. Status updates are piggybacked on
the probes. A gateway that finds itself slow suspects others later. Inputs update the state, and the caller
pulls decisions from `decide`.
"""

import math
import random
from collections import deque
from dataclasses import dataclass

from ledgehitch.members.messages import MAX_UPDATES, MembershipMessage
from ledgehitch.members.roster import MemberStatus, Roster, Status

PERIOD_S = 1.0  # between two probes
RETRY_AFTER = 0.3  # of a period, before a probe is repeated and indirect probes are sent
MAX_RETRIES = 2
INDIRECT_PROBES = 3
DISSEMINATION_FACTOR = 3  # an update is sent this many times log2 of the members
SUSPICION_FACTOR = 5.0  # a suspect has this many times log10 of the members to refute, in periods
AWAY_TIMEOUT_S = 60.0  # for a member that announced to be back soon
MAX_SLOWNESS = 8  # at this slowness, periods are twice as long
DEAD_PROBE_PERIODS = 5  # one dead member is probed this often, so that a partitioned fleet merges again
PENDING_TIMEOUT_S = 60.0  # for an own probe
INDIRECT_TIMEOUT_S = 5.0  # for a probe on behalf of another member


@dataclass(frozen=True)
class Send:
    """Send this message to a member."""

    recipient: int
    message: MembershipMessage


@dataclass(frozen=True)
class StatusChanged:
    """A member's status at this gateway has changed."""

    member: int
    status: Status


Decision = Send | StatusChanged


class Members:
    """The failure detector of one gateway."""

    def __init__(
        self,
        now: float,
        me: int,
        members: int,
        life: int,
        rng: random.Random,
    ) -> None:
        """`members`: the number of gateways of the site. `life`: rises with each start."""
        self.me, self.member_count, self.rng = me, members, rng
        self.roster = Roster(now, me, members, life)
        self.slowness = 0  # of this gateway: raised by each unanswered probe, lowered by each answered one
        self.counts = {"asked": 0, "answered": 0, "refuted": 0, "doubts": 0, "deaths": 0}
        self._times_sent: dict[int, int] = {}  # by member: how often its update was sent
        self._probe_order: list[int] = []
        self._sequence = 0
        self._pending: dict[int, tuple[int, float]] = {}  # by sequence: member, sent at
        self._probe: tuple[int, int, float, int] | None = None  # sequence, member, since, retries
        self._indirect: dict[
            int, tuple[int, int, float]
        ] = {}  # by sequence: requester, its sequence, sent at
        self._next_period_at = now + rng.random() * PERIOD_S
        self._last_update_at = now
        self._period_count = 0
        self._status_timeouts: dict[int, float] = {}  # of suspects and members that are away
        self._decisions: deque[Decision] = deque()
        self._alive: set[int] | None = None  # cached; None: outdated
        self._on_changes(now, [])

    # ---- inputs --------------------------------------------------------------------------------------------

    def on_message(self, now: float, sender: int, message: MembershipMessage) -> None:
        """Handles a message of a member whose frame was authentic."""
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
        """Announces that this gateway leaves, so that the others do not suspect it."""
        self.roster.leave(now, "left" if for_good else "away")
        self._on_changes(now, [])
        present = self.roster.present()
        for recipient in self.rng.sample(present, min(len(present), 2 * INDIRECT_PROBES)):
            self._send(recipient, "ask", self._new_request(now, recipient))

    # ---- decisions -----------------------------------------------------------------------------------------

    def decide(self, now: float) -> Decision | None:
        """Returns the next decision, or None where there is none now."""
        if not self._decisions:
            self._update(now)
        return self._decisions.popleft() if self._decisions else None

    def _update(self, now: float) -> None:
        was_suspended = now - self._last_update_at > 1.5 * PERIOD_S
        self._last_update_at = now
        if self.roster.status(self.me) in ("left", "away"):
            return
        if was_suspended:
            # After a suspension, answers may still wait in the socket: suspect nobody yet.
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
        """Repeats a probe whose messages may have been lost, and sends indirect probes the first time."""
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
        """Returns the next member to probe, in an order shuffled for each round; -1 if none is present."""
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
        """Returns this gateway's status, the receiver's if it is not alive, then the least sent updates."""
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

    # ---- queries -------------------------------------------------------------------------------------------

    def is_slow(self) -> bool:
        """Returns whether this gateway is slow itself and should not own duties."""
        return self.slowness >= MAX_SLOWNESS // 2

    def alive(self) -> set[int]:
        """Returns the other members that are alive, from a cache: the caller must not change the set."""
        if self._alive is None:
            self._alive = {n for n, e in self.roster.entries.items() if n != self.me and e.status == "alive"}
        return self._alive

    def statuses(self) -> dict[int, Status]:
        """Returns the status of each other member."""
        return {n: e.status for n, e in sorted(self.roster.entries.items()) if n != self.me}

    def wake_at(self) -> float:
        """Returns when `decide` should be called again."""
        if self._decisions:
            return 0.0
        at = [self._next_period_at, *self._status_timeouts.values()]
        if self._probe is not None and self._probe[3] < MAX_RETRIES:
            at.append(self._next_retry_at(self._probe))
        return min(at)
