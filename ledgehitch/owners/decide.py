"""Who owns which duty: when a member stands, asks, renews, gives back. Free of I/O, clock and chance.

Inputs update, `decide` is pulled. `owns` is asked before every effect. What a vote or a fence rests on comes
as `Keep` and what may be said once it is on disk comes with it, so that a full disk says nothing.
"""

import random
from collections import deque
from collections.abc import Sequence
from dataclasses import dataclass, field
from typing import Any

from ledgehitch.owners.facts import (
    EFFECT_WITHOUT_OWNER,
    MAX_CLOCK_DRIFT,
    MAX_TERM,
    MAX_TERM_STEP,
    NO_LIST_DIGEST,
    name_digest,
    rank_members,
)
from ledgehitch.owners.memory import DurableState
from ledgehitch.owners.votes import Lease
from ledgehitch.owners.words import NO_MEMBER, DutyMessage, Kind

RENEW_INTERVAL = 0.55  # of a lease between two rounds of asking
RETRY_INTERVAL = 0.05  # of a lease until those who did not answer are asked again
FIRST_POLL_SIZE = 3  # members that a candidate asks first whether there is an owner
MAX_BACKOFF_DOUBLINGS = 4  # times that the wait after a poll of all in vain doubles
POLL_TIMEOUT = 0.04  # of a lease for their answers
CANDIDACY_TIMEOUT = 0.1  # of a lease, after which a candidate gives its votes back and waits
RANK_DELAY = 0.03  # of a lease by which each further place in the rank waits longer
MAX_DELAYED_RANKS = 6  # of the rank that wait differently
EXTRA_REQUESTS = 2  # members asked beyond a majority
LATE_RENEWAL = 0.25  # of a lease left, under which a renewal is told as late
OWNER_NOTICE_LEASES = 1.5  # leases that one who does not vote goes by what it was told
MAX_PENDING_REQUESTS = 1 << 16  # questions remembered
# Seconds that a network and a disk that must sync take, however short leases are.
MIN_POLL_TIMEOUT_S, MIN_RETRY_INTERVAL_S, MIN_CANDIDACY_TIMEOUT_S = 0.1, 0.2, 0.5
GREETING_INTERVAL = 0.05  # of a lease between two greetings to who has not answered, rising to one lease


@dataclass(frozen=True)
class Send:
    recipient: int
    message: DutyMessage


@dataclass(frozen=True)
class Store:
    """On disk first (`kept`), then these may be sent; if that fails (`not_kept`) they are dropped."""

    record: dict[str, Any]
    messages: tuple[Send, ...] = ()


@dataclass(frozen=True)
class Won:
    duty: str
    term: int


@dataclass(frozen=True)
class Lost:
    """`late`: seconds that the lease had been over before it was noticed."""

    duty: str
    term: int
    reason: str
    overdue: float = 0.0


@dataclass(frozen=True)
class Renewed:
    """Late: only `left` seconds of the lease were left when a majority had answered."""

    duty: str
    term: int
    left: float


Decision = Send | Store | Won | Lost | Renewed


@dataclass
class DutyState:
    """One duty at this member."""

    name: str
    number: int
    ranking: list[int]  # members by rank, best first
    lease: Lease | None = None
    won: bool = False
    poll_answers: set[str] = field(default_factory=set)  # who said that it is free
    polled_at: float = -1e18  # not polling where it lies far back
    polled_all: bool = False  # the poll went to all
    failed_polls: int = 0  # polls of all in a row that no majority answered
    candidate_from: float = 0.0
    candidacy_at: float = 1e18
    round_at: float = 0.0
    retry_at: float = 1e18
    notified_at: float = -1e18
    known_owner: tuple[int, int, float] = (NO_MEMBER, 0, -1e18)  # owner, term and until when it is believed
    highest_seen_term: int = 0  # heard of somewhere, refused or denied by: the next one stands above it
    refused: dict[str, int] = field(default_factory=dict)


class Owners:
    def __init__(
        self,
        now: float,
        me: int,
        names: Sequence[str],
        durable: DurableState,
        rng: random.Random,
        members: Sequence[int] | None = None,
        duty_numbers: Sequence[int] | None = None,
    ) -> None:
        """`names`: of the whole site, whose numbers are its members' on the wire. `members`: those in this
        scope, left out: all. `numbers`: of the duties on the wire, in turn; left out: from 0."""
        self.me, self.names, self.durable, self.rng = me, tuple(names), durable, rng
        self.lease = durable.lists.min_lease()
        self.poll_timeout = max(POLL_TIMEOUT * self.lease, MIN_POLL_TIMEOUT_S)
        self.retry_interval = max(RETRY_INTERVAL * self.lease, MIN_RETRY_INTERVAL_S)
        self.candidacy_timeout = max(CANDIDACY_TIMEOUT * self.lease, MIN_CANDIDACY_TIMEOUT_S)
        self.number_of = {name: i for i, name in enumerate(self.names)}
        self.name_digests = [name_digest(name) for name in self.names]
        self.members = sorted({me, *(range(len(self.names)) if members is None else members)})
        self._numbers = list(range(len(durable.voters)) if duty_numbers is None else duty_numbers)
        self.duties = {
            d: DutyState(d, number, rank_members(d, self.names, self.members))
            for number, d in zip(self._numbers, durable.voters, strict=True)
        }
        self.reachable: set[int] = set(self.members) - {me}
        self.eligible, self.clock_good = True, True
        self.why_not = ""
        self.withheld: dict[str, str] = {}  # duties that it does not stand for now, and why
        self.counts: dict[str, int] = {}
        self._joining = not durable.joined
        self._unsettled_peers: dict[str, bool] = {}  # by who answered: whether its list is still unsettled
        self._pending: dict[int, tuple[str, int, int, float]] = {}  # sequence: duty, term, whom, when
        self._sequence = 0
        self._own_votes: list[tuple[str, int, float]] = []  # votes for ourselves that are not on disk yet
        self._stored: dict[str, Any] | None = None
        self._outbox: list[Send] = []
        self._decisions: deque[Decision] = deque()
        self._greeting_at, self._greeting_interval = now, GREETING_INTERVAL * self.lease
        self._greeting_until = now + durable.vote_duration
        self._now = now

    # ---- what happens --------------------------------------------------------------------------------------

    def on_message(self, now: float, sender: int, message: DutyMessage) -> None:
        """Words of a member whose frame was good."""
        if not 0 <= sender < len(self.names) or sender == self.me or message.who != self.name_digests[sender]:
            self._count("of another numbering of the gateways")
            return
        if sender not in self.members:
            self._count("of a gateway of another region")
            return
        # Guards against a change of the list being settled on the word of one that cannot vote yet: of four,
        # two and a newcomer that waits for the third were held to be a majority, and nobody was elected.
        if message.kind not in ("greet", "greeted") or message.intact:
            self.durable.on_member_list(now, self.names[sender], message.list)
        if self.names[sender] in self._unsettled_peers:
            self._unsettled_peers[self.names[sender]] = message.former != NO_LIST_DIGEST
        if message.kind in ("greet", "greeted"):
            self._on_greeting(now, sender, message)
            return
        duty = next((o for o in self.duties.values() if o.number == message.duty), None)
        if duty is None:
            self._count("a duty that nobody knows")
            return
        if message.term > MAX_TERM:
            self._count("a term out of reach")
            return
        match message.kind:
            case "poll" | "ask":
                self._on_request(now, duty, sender, message)
            case "free" | "grant" | "deny":
                self._on_response(now, duty, sender, message)
            case "yield":
                self._on_yield(now, duty, sender, message)
            case "told":
                if message.term >= max(duty.known_owner[1], self.durable.voters[duty.name].term):
                    duty.known_owner = (
                        sender,
                        message.term,
                        now + min(message.left, OWNER_NOTICE_LEASES * self.lease),
                    )
                    duty.failed_polls = 0

    def on_membership(self, reachable: set[int], eligible: bool, why_not: str = "") -> None:
        """Whom membership holds for there, and whether this one should own anything now."""
        self.reachable, self.eligible, self.why_not = reachable.intersection(self.members), eligible, why_not

    def on_clock_check(self, now: float, good: bool) -> None:
        """Whether the clock goes on as it should. One that does not ends every lease here at once."""
        if self.clock_good and not good:
            for state in self.duties.values():
                self._end_lease(now, state, "the clock stood still or jumped back")
        self.clock_good = good

    def resign(self, now: float) -> None:
        """This one goes on its way out: it stands no more, and what it owns is given to the next in rank."""
        self.eligible, self.why_not = False, "on its way out"
        for state in self.duties.values():
            state.polled_at = -1e18
            if state.lease is None:
                continue
            reachable = [m for m in state.ranking if m in self.reachable]
            self._release(now, state, reachable[0] if state.won and reachable else NO_MEMBER)
            self._end_lease(now, state, "handed over" if state.won else "gave up standing")

    def on_effect_refused(self, now: float, duty: str, term: int, known: int, where: str) -> None:
        """A receiver refused an effect of ours: it knows a higher term."""
        state = self.duties[duty]
        state.refused[where] = state.refused.get(where, 0) + 1
        state.highest_seen_term = max(
            state.highest_seen_term, min(known, state.highest_seen_term + MAX_TERM_STEP, MAX_TERM)
        )
        if state.lease is not None and state.lease.term <= term:
            self._release(now, state, NO_MEMBER)
            self._end_lease(now, state, f"{where} knows term {known}")

    def accepts_effect(self, duty: str, term: int) -> bool:
        """Whether an effect that arrived here may be carried out, once `Keep` that follows is on disk."""
        if duty not in self.duties or not self.durable.confirmed:
            self._count("an effect before the terms are known" if duty in self.duties else "unknown duty")
            return False
        accepted = self.durable.fence.accepts(duty, term)
        state = self.duties[duty]
        if accepted and state.lease is not None and state.lease.term < term:
            self._end_lease(self._now, state, f"an effect of term {term} came here")
        return accepted

    def on_stored(self, record: dict[str, Any]) -> None:
        self._stored = record
        for duty, term, asked_at in self._own_votes:
            lease = self.duties[duty].lease
            if lease is not None and lease.term == term:
                lease.on_grant(self.names[self.me], asked_at)
                self._check_won(self.duties[duty])
        self._own_votes = []

    def on_store_failed(self, now: float) -> None:
        """The disk did not take it: no vote, no harm. Who wanted to stand does not."""
        self._count("votes that the disk did not take")
        self._own_votes = []
        for state in self.duties.values():
            if state.lease is not None and not state.won:
                self._end_lease(now, state, "the disk takes no vote")

    # ---- as a voter ----------------------------------------------------------------------------------------

    def _on_request(self, now: float, state: DutyState, sender: int, message: DutyMessage) -> None:
        voter, name = self.durable.voters[state.name], self.names[sender]
        if not self.durable.may_vote(now):
            self._count("asked before it may vote")
            return
        if not self.durable.lists.covered_by(message.list, message.former):
            self._count("asked by one of another version of the site")
            return
        if message.kind == "poll":
            if voter.is_bound(now) and voter.member != name or self.owned_term(now, state.name):
                self._deny(now, state, sender, message)
            elif now < state.known_owner[2] and state.known_owner[0] not in (NO_MEMBER, sender):
                # Guards against a candidate asking all for an owner whom half of them were told of: it had
                # missed one word of it, and of the three that it asked first some had only been told, too.
                self._send_about(
                    sender,
                    "deny",
                    state,
                    message.sequence,
                    state.known_owner[1],
                    state.known_owner[0],
                    state.known_owner[2] - now,
                )
            else:
                self._send_about(sender, "free", state, message.sequence, voter.term)
            return
        if not voter.on_vote_request(now, message.term, name):
            self._deny(now, state, sender, message)
            return
        if state.lease is not None and state.lease.term < message.term:
            self._end_lease(now, state, f"{name} stands with term {message.term}")
        state.known_owner, state.candidacy_at = (sender, message.term, now + self.durable.vote_duration), 1e18
        state.polled_at, state.failed_polls = -1e18, 0
        self._send_about(sender, "grant", state, message.sequence, message.term)

    def _deny(self, now: float, state: DutyState, sender: int, message: DutyMessage) -> None:
        voter = self.durable.voters[state.name]
        left = voter.bound_until - now if voter.is_bound(now) else 0.0
        member = self.number_of.get(voter.member, NO_MEMBER) if left > 0 else NO_MEMBER
        self._send_about(sender, "deny", state, message.sequence, voter.term, member, left)

    def _on_yield(self, now: float, state: DutyState, sender: int, message: DutyMessage) -> None:
        released = self.durable.voters[state.name].on_release(message.term, self.names[sender])
        if not released and not (state.known_owner[0] == sender and state.known_owner[1] == message.term):
            return
        state.known_owner = NO_MEMBER, message.term, -1e18
        state.candidacy_at = 1e18
        if message.member == self.me and self._may_be_candidate(now, state):
            state.polled_at = -1e18
            self._start_candidacy(now, state)
        elif message.member != NO_MEMBER:
            state.candidacy_at = now + 2 * self.poll_timeout + self._rank_delay(state)

    # ---- as a candidate and an owner -----------------------------------------------------------------------

    def _on_response(self, now: float, state: DutyState, sender: int, message: DutyMessage) -> None:
        request = self._pending.pop(message.sequence, None)
        if request is None or request[0] != state.name or request[2] != sender:
            return
        _, term, _, requested_at = request
        if message.kind != "free":
            state.highest_seen_term = max(
                state.highest_seen_term, min(message.term, max(state.highest_seen_term, term) + MAX_TERM_STEP)
            )
        if term == 0:
            self._on_poll_response(now, state, sender, message)
            return
        lease = state.lease
        if lease is None or lease.term != term:
            return
        if message.kind == "grant" and message.term == term:
            left = lease.expires_at() - now
            lease.on_grant(self.names[sender], requested_at)
            if state.won and left < LATE_RENEWAL * self.lease < lease.expires_at() - now:
                self._decisions.append(Renewed(state.name, term, left))
            self._check_won(state)
        elif message.kind == "deny" and message.term > term:
            self._release(now, state, NO_MEMBER)
            self._end_lease(now, state, f"{self.names[sender]} knows term {message.term}")

    def _on_poll_response(self, now: float, state: DutyState, sender: int, message: DutyMessage) -> None:
        if state.polled_at < 0:
            return
        if message.kind == "deny" and message.member != NO_MEMBER:
            # There is an owner, or somebody that stands: how long its promise lasts at that voter.
            state.known_owner = message.member, message.term, now + message.left
            state.polled_at, state.candidacy_at, state.failed_polls = -1e18, 1e18, 0
            return
        state.poll_answers.add(self.names[sender])
        state.highest_seen_term = max(
            state.highest_seen_term, min(message.term, state.highest_seen_term + MAX_TERM_STEP)
        )
        if self.durable.lists.has_majority([*state.poll_answers, self.names[self.me]]):
            state.polled_at, state.failed_polls = -1e18, 0
            self._start_candidacy(now, state)
        elif not state.polled_all and len(state.poll_answers) >= min(FIRST_POLL_SIZE, len(self.members) - 1):
            self._poll_all(now, state)

    def _start_poll(self, now: float, state: DutyState) -> None:
        """Asks first, without a term, so that those who are cut off do not raise terms for nothing."""
        state.poll_answers, state.polled_at, state.candidacy_at, state.polled_all = (
            set(),
            now,
            1e18,
            False,
        )
        polled = self.rng.sample(self._others(), min(FIRST_POLL_SIZE, len(self._others())))
        for to in polled:
            self._send_request(now, state, to, "poll", 0)
        if len(polled) == len(self._others()):
            state.polled_all = True
        if self.durable.lists.has_majority([self.names[self.me]]):
            state.polled_at = -1e18
            self._start_candidacy(now, state)

    def _poll_all(self, now: float, state: DutyState) -> None:
        """Asks all, where a majority of them may answer.

        Guards against everybody asking everybody for as long as a cut lasts that leaves no side a majority:
        datagrams a second that go by the square of the members."""
        if not self.durable.lists.has_majority(self.names[n] for n in (self.me, *self.reachable)):
            self._back_off(now, state)
            return
        state.polled_all, state.polled_at = True, now
        for to in self._others():
            if self.names[to] not in state.poll_answers:
                self._send_request(now, state, to, "poll", 0)

    def _start_candidacy(self, now: float, state: DutyState) -> None:
        voter, name = self.durable.voters[state.name], self.names[self.me]
        term = max(voter.term, state.highest_seen_term, self.durable.fence.highest_term(state.name)) + 1
        if term > MAX_TERM or not voter.on_vote_request(now, term, name):
            state.candidacy_at = 1e18
            return
        state.lease, state.won, state.candidate_from = (
            Lease(term, self.durable.lists, self.lease),
            False,
            now,
        )
        state.candidacy_at = 1e18
        self._count("stood")
        self._start_round(now, state)

    def _start_round(self, now: float, state: DutyState) -> None:
        """Asks a majority and some; who does not answer in time is asked again, and the others with it."""
        lease = state.lease
        assert lease is not None
        if lease.requested_at:
            self.durable.voters[state.name].on_vote_request(now, lease.term, self.names[self.me])
        self._own_votes.append((state.name, lease.term, now))
        state.round_at, state.retry_at = now, now + self.retry_interval
        # Those that granted last are asked first, so that others hear nothing of it but who owns.
        by_last_grant = sorted(
            self._others(), key=lambda m: (-lease.requested_at.get(self.names[m], -1e18), m)
        )
        limit = len(self._others()) if not state.won else len(self.members) // 2 + EXTRA_REQUESTS
        recipients = [m for m in by_last_grant if m in self.reachable or not state.won]
        for to in recipients[:limit]:
            self._send_request(now, state, to, "ask", lease.term)
        self._notify_others(now, state, set(recipients[:limit]))
        if not self.dirty():
            self.on_stored(self.durable.record())

    def _retry_round(self, now: float, state: DutyState) -> None:
        """Those of this round that have not granted: it or its answer may have been lost."""
        lease = state.lease
        assert lease is not None
        state.retry_at = now + self.retry_interval
        if lease.expires_at() - self.lease >= state.round_at:
            state.retry_at = 1e18  # a majority has answered
            return
        answered = [
            m for m in self._others() if lease.requested_at.get(self.names[m], -1e18) >= state.round_at
        ]
        missing = max(0, len(self.members) // 2 - len(answered))
        unanswered = [m for m in self._others() if m not in answered]
        # Twice as many as are missing: at the worst losses that membership bears every second one answers.
        for to in (
            unanswered
            if not state.won
            else self.rng.sample(unanswered, min(len(unanswered), 2 * missing + EXTRA_REQUESTS))
        ):
            self._send_request(now, state, to, "ask", lease.term)

    def _notify_others(self, now: float, state: DutyState, requested: set[int]) -> None:
        """Those who are not asked are told once a lease, so that they do not stand."""
        if not state.won or now - state.notified_at < self.lease * (1 - MAX_CLOCK_DRIFT):
            return
        state.notified_at = now
        assert state.lease is not None
        for to in self._others():
            if to in self.reachable and to not in requested:
                self._send_about(
                    to, "told", state, 0, state.lease.term, self.me, OWNER_NOTICE_LEASES * self.lease
                )

    def _check_won(self, state: DutyState) -> None:
        lease = state.lease
        if lease is not None and not state.won and lease.expires_at() > self._now:
            state.won, state.notified_at = True, -1e18
            state.known_owner = self.me, lease.term, lease.expires_at()
            self._decisions.append(Won(state.name, lease.term))

    def _release(self, now: float, state: DutyState, successor: int) -> None:
        """Says to all that this term is not used any more, by whom it is held here first."""
        lease = state.lease
        assert lease is not None
        lease.ended = True
        self.durable.voters[state.name].on_release(lease.term, self.names[self.me])
        for to in self._others():
            self._send_about(to, "yield", state, 0, lease.term, successor)

    def _end_lease(self, now: float, state: DutyState, why: str) -> None:
        lease, won = state.lease, state.won
        if lease is None:
            return
        late = max(0.0, now - lease.expires_at()) if won else 0.0
        lease.ended = True
        state.lease, state.won, state.retry_at = None, False, 1e18
        state.highest_seen_term = max(state.highest_seen_term, lease.term)
        if state.known_owner[0] == self.me:
            state.known_owner = NO_MEMBER, lease.term, -1e18
        state.candidacy_at = now + self._rank_delay(state) + self.candidacy_timeout * self.rng.random()
        if won:
            self._decisions.append(Lost(state.name, lease.term, why, late))

    def owned_term(self, now: float, duty: str) -> int:
        """The term under which an effect may be sent now; 0 for none. Asked before each effect."""
        state = self.duties[duty]
        if state.lease is None or not state.won or not self.clock_good:
            return 0
        if not state.lease.is_valid(now):
            self._end_lease(now, state, "the lease is over")
            return 0
        return state.lease.term

    # ---- what is decided -----------------------------------------------------------------------------------

    def decide(self, now: float) -> Decision | None:
        self._now = now
        if not self._decisions and not self._outbox:
            self._update(now)
        if self._decisions:
            return self._decisions.popleft()  # rests on nothing that is not on disk yet
        if self.dirty():
            messages, self._outbox = tuple(self._outbox), []
            return Store(self.durable.record(), messages)
        return self._outbox.pop(0) if self._outbox else None

    def _update(self, now: float) -> None:
        if now >= self._greeting_at:
            self._send_greetings(now)
        if self._joining and self.joined(now):
            # Guards against a newcomer that starts anew during the change that adds it, and has a file now.
            self._joining, self.durable.joined = False, True
        if self.durable.settle(now):
            self.lease = self.durable.lists.min_lease()
        if len(self._pending) > MAX_PENDING_REQUESTS // 2:
            self._pending = {k: v for k, v in self._pending.items() if now - v[3] < self.lease}
        for state in self.duties.values():
            if state.lease is not None:
                self._update_lease(now, state)
            elif not self._may_be_candidate(now, state):
                state.polled_at, state.candidacy_at = -1e18, 1e18
            elif state.polled_at >= 0:
                self._check_poll(now, state)
            elif now >= state.candidacy_at:
                self._start_poll(now, state)
            elif state.candidacy_at > 1e17 and now >= self._vacant_at(state):
                state.candidacy_at = now + self._rank_delay(state)

    def _update_lease(self, now: float, state: DutyState) -> None:
        lease = state.lease
        assert lease is not None
        if state.won and not self.owned_term(now, state.name):
            return
        if not state.won and now - state.candidate_from > self.candidacy_timeout:
            self._release(now, state, NO_MEMBER)
            self._end_lease(now, state, "not enough votes")
        elif not self.eligible:
            reachable = [m for m in state.ranking if m in self.reachable]
            self._release(now, state, reachable[0] if reachable else NO_MEMBER)
            self._end_lease(now, state, self.why_not or "not fit")
        elif now >= state.round_at + RENEW_INTERVAL * self.lease:
            self._start_round(now, state)
        elif now >= state.retry_at:
            self._retry_round(now, state)

    def _check_poll(self, now: float, state: DutyState) -> None:
        if now < state.polled_at + self.poll_timeout:
            return
        if not state.polled_all:
            self._poll_all(now, state)
        else:
            self._back_off(now, state)

    def _back_off(self, now: float, state: DutyState) -> None:
        """A poll was in vain: the next ones come rarer, up to once a lease."""
        wait = (
            self.candidacy_timeout
            * (1 + self.rng.random())
            * 2 ** min(state.failed_polls, MAX_BACKOFF_DOUBLINGS)
        )
        state.failed_polls += 1
        state.polled_at = -1e18
        state.candidacy_at = (
            now + self._rank_delay(state) + min(wait, max(self.lease, self.candidacy_timeout))
        )

    def _may_be_candidate(self, now: float, state: DutyState) -> bool:
        if state.name in self.withheld:
            return False
        return self.eligible and self.clock_good and self.durable.may_vote(now) and self.joined(now)

    def joined(self, now: float) -> bool:
        """Whether others count this one: not where it was declared gone, nor while it knows of nobody's
        terms, nor, where it came without a file, while any that it heard goes by the list before, too."""
        if self.durable.me not in self.durable.lists.current:
            return False
        return self.durable.may_vote(now) and not (self._joining and any(self._unsettled_peers.values()))

    def owner_of(self, now: float, duty: str) -> tuple[int, int]:
        """Who owns a duty as far as this one knows, and its term; nobody, and the highest term known."""
        state = self.duties[duty]
        if owned_term := self.owned_term(now, duty):
            return self.me, owned_term
        member, term, until = state.known_owner
        return (member, term) if now < until else (NO_MEMBER, term)

    def _vacant_at(self, state: DutyState) -> float:
        voter = self.durable.voters[state.name]
        return max(voter.bound_until if voter.member else -1e18, state.known_owner[2])

    def _rank_delay(self, state: DutyState) -> float:
        """How long this one waits before it stands: the better its place among those there, the shorter."""
        reachable = [m for m in state.ranking if m == self.me or m in self.reachable]
        position = min(reachable.index(self.me), MAX_DELAYED_RANKS)
        return RANK_DELAY * self.lease * (position + self.rng.random())

    # ---- greetings -----------------------------------------------------------------------------------------

    def _send_greetings(self, now: float) -> None:
        """Until all have told what they know, or for a while; while a change of the list is unsettled too."""
        durable = self.durable
        waiting = [m for m in self._others() if self.names[m] not in durable.greeting_responses]
        if durable.may_vote(now) and now >= self._greeting_until:
            # Guards against a newcomer that never hears that the change which adds it is over.
            waiting = [
                m for m in self._others() if self._joining and self._unsettled_peers.get(self.names[m])
            ]
        if durable.unsettled():
            waiting = [m for m in self._others() if self.names[m] not in durable.on_current]
        if not waiting:
            self._greeting_at = 1e18
            return
        for to in waiting:
            self._send(
                to,
                self._message("greet", self._numbers[0], durable.nonce, 0)._replace(
                    life=durable.life, intact=durable.intact, terms=durable.terms()
                ),
            )
        self._greeting_at = now + self._greeting_interval
        self._greeting_interval = min(self.lease / 4, self._greeting_interval * 1.5)

    def _on_greeting(self, now: float, sender: int, message: DutyMessage) -> None:
        name, durable = self.names[sender], self.durable
        if message.kind == "greet":
            known = durable.on_greeting(name, message.life, message.sequence)
            # One that is not sure of its own file says so: only what it took part in since counts.
            is_sound = durable.intact or (durable.confirmed and not durable.bootstrapped)
            self._send(
                sender,
                self._message("greeted", self._numbers[0], message.sequence, 0)._replace(
                    life=durable.life,
                    known_life=known,
                    intact=is_sound or self._has_voted(),
                    terms=durable.terms(),
                ),
            )
            return
        if message.sequence != durable.nonce:
            return
        was_intact = durable.intact
        self._unsettled_peers[name] = message.former != NO_LIST_DIGEST
        durable.on_greeting_response(now, name, message.known_life, message.intact, message.terms)
        if was_intact and not durable.intact:
            self._count("an old copy of the state directory")
            self._joining, durable.joined = True, False
            durable.nonce = self.rng.getrandbits(32)
            self._greeting_at, self._greeting_interval = now, GREETING_INTERVAL * self.lease
            for state in self.duties.values():
                self._end_lease(now, state, "the state directory is an old copy")

    def _has_voted(self) -> bool:
        return self.durable.confirmed and any(v.term for v in self.durable.voters.values())

    # ---- messages ------------------------------------------------------------------------------------------

    def _others(self) -> list[int]:
        return [i for i in self.members if i != self.me]

    def _message(self, kind: Kind, duty: int, sequence: int, term: int) -> DutyMessage:
        here, former = self.durable.lists.digests()
        return DutyMessage(kind, duty, sequence, term, self.name_digests[self.me], here, former)

    def _send_about(
        self,
        to: int,
        kind: Kind,
        state: DutyState,
        sequence: int,
        term: int,
        member: int = NO_MEMBER,
        left: float = 0.0,
    ) -> None:
        self._send(to, self._message(kind, state.number, sequence, term)._replace(member=member, left=left))

    def _send_request(self, now: float, state: DutyState, to: int, kind: Kind, term: int) -> None:
        self._sequence = self._sequence % 0xFFFFFFFF + 1
        if len(self._pending) >= MAX_PENDING_REQUESTS:
            self._pending.pop(next(iter(self._pending)))
        self._pending[self._sequence] = state.name, term, to, now
        self._send_about(to, kind, state, self._sequence, term)

    def _send(self, to: int, message: DutyMessage) -> None:
        self._outbox.append(Send(to, message))

    def dirty(self) -> bool:
        """Whether anything that was voted or taken is not on disk yet."""
        return self._stored != self.durable.record()

    def _count(self, event: str) -> None:
        self.counts[event] = self.counts.get(event, 0) + 1

    # ---- what is known -------------------------------------------------------------------------------------

    def wake_at(self, now: float) -> float:
        if self._decisions or self._outbox:
            return now
        times = [
            self._greeting_at,
            self.durable.settles_at if not self.durable.region_unsettled else 1e18,
        ]
        if self.durable.shares is not None:
            times.append(self.durable.shares.settles_at)
        for state in self.duties.values():
            if state.lease is not None:
                times += [state.round_at + RENEW_INTERVAL * self.lease, state.retry_at]
                times.append(
                    state.lease.expires_at() if state.won else state.candidate_from + self.candidacy_timeout
                )
            elif state.polled_at >= 0:
                times.append(state.polled_at + self.poll_timeout)
            elif self._may_be_candidate(now, state):
                times.append(state.candidacy_at if state.candidacy_at < 1e17 else self._vacant_at(state))
            else:
                times.append(max(self.durable.may_vote_from, now + 0.1 * self.lease))
        return min(times)

    def duty_status(self, now: float) -> dict[str, dict[str, Any]]:
        """For each duty what this member knows of it, for people."""
        status: dict[str, dict[str, Any]] = {}
        for name, state in self.duties.items():
            voter, owned_term = self.durable.voters[name], self.owned_term(now, name)
            member, term, until = state.known_owner
            if owned_term:
                assert state.lease is not None
                member, term, until = self.me, owned_term, state.lease.expires_at()
            is_known = member != NO_MEMBER and now < until and member < len(self.names)
            status[name] = {
                "owner": self.names[member] if is_known else "",
                "term": max(term, voter.term, owned_term),
                "lease_left": round(until - now, 3) if is_known else 0.0,
                "mine": bool(owned_term),
                "stands": state.lease is not None and not state.won,
                "fence": self.durable.fence.highest_term(name),
                "refused": self.durable.fence.refused.get(name, 0),
                "refused_by": dict(state.refused),
                "standstill": "" if is_known else EFFECT_WITHOUT_OWNER.get(name, ""),
            }
        return status

    def state(self, now: float) -> dict[str, Any]:
        durable = self.durable
        why = (
            ""
            if durable.may_vote(now)
            else (
                "asks the others which terms they know"
                if not durable.confirmed
                else "waits until no promise of a former life can hold"
            )
        )
        return {
            "duties": self.duty_status(now),
            "votes": not why,
            "why_not": why or ("" if self.eligible else self.why_not),
            "intact": durable.intact,
            "begun": durable.bootstrapped,
            "settled": not durable.unsettled(),
            "clock": self.clock_good,
            "counts": dict(sorted(self.counts.items())),
        }
