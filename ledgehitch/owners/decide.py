"""Leader election for duties: candidacies, vote requests, renewals and releases. Free of I/O and clocks.

Inputs (`on_...`) update the state, and the caller pulls decisions from `decide`. `owned_term` is called
before every effect. Votes and fences come as a `Store` decision, together with the messages that may be sent
once it is on disk, so that a full disk sends nothing.
"""

import random
from collections import deque
from collections.abc import Sequence
from dataclasses import dataclass, field
from typing import Any

from ledgehitch.owners.durable_state import DurableState
from ledgehitch.owners.facts import (
    EFFECT_WITHOUT_OWNER,
    MAX_CLOCK_DRIFT,
    MAX_TERM,
    MAX_TERM_STEP,
    NO_LIST_DIGEST,
    name_digest,
    rank_members,
)
from ledgehitch.owners.messages import NO_MEMBER, DutyMessage, Kind
from ledgehitch.owners.votes import Lease

# Intervals and time-outs without a unit in their name are fractions of a lease.
RENEW_INTERVAL = 0.55  # between two rounds of vote requests
RETRY_INTERVAL = 0.05  # before members that have not answered are asked again
FIRST_POLL_SIZE = 3  # members polled before all of them are
MAX_BACKOFF_DOUBLINGS = 4  # of the wait after failed polls
POLL_TIMEOUT = 0.04
CANDIDACY_TIMEOUT = 0.1  # then a candidate releases its votes and waits
RANK_DELAY = 0.03  # additional wait for each further position in the ranking
MAX_DELAYED_RANKS = 6  # positions after this one wait no longer
EXTRA_REQUESTS = 2  # members asked beyond a majority
LATE_RENEWAL = 0.25  # a renewal with less of its lease left is reported as late
OWNER_NOTICE_LEASES = 1.5  # leases for which an owner's notice is believed
MAX_PENDING_REQUESTS = 1 << 16
# Lower bounds: a network and a disk sync take this long, however short leases are.
MIN_POLL_TIMEOUT_S, MIN_RETRY_INTERVAL_S, MIN_CANDIDACY_TIMEOUT_S = 0.1, 0.2, 0.5
GREETING_INTERVAL = 0.05  # initially, rising to one lease


@dataclass(frozen=True)
class Send:
    """Send this message to a member."""

    recipient: int
    message: DutyMessage


@dataclass(frozen=True)
class Store:
    """Store this record, then send the messages.

    The caller reports success with `on_stored`, and failure with `on_store_failed`: the messages are dropped
    then.
    """

    record: dict[str, Any]
    messages: tuple[Send, ...] = ()


@dataclass(frozen=True)
class Won:
    """This member owns the duty under this term."""

    duty: str
    term: int


@dataclass(frozen=True)
class Lost:
    """This member no longer owns the duty. `overdue`: seconds from its expiry to its detection."""

    duty: str
    term: int
    reason: str
    overdue: float = 0.0


@dataclass(frozen=True)
class Renewed:
    """The lease was renewed late: `left` seconds of it remained when a majority had answered."""

    duty: str
    term: int
    left: float


Decision = Send | Store | Won | Lost | Renewed


@dataclass
class DutyState:
    """The state of one duty at this member. Times are seconds of its clock."""

    name: str
    number: int
    ranking: list[int]  # members, the preferred owner first
    lease: Lease | None = None
    won: bool = False
    poll_answers: set[str] = field(default_factory=set)  # members that know of no owner
    polled_at: float = -1e18  # negative: no poll is under way
    polled_all: bool = False  # whether the current poll went to all members
    failed_polls: int = 0  # consecutive polls of all members without a majority of answers
    candidate_from: float = 0.0
    candidacy_at: float = 1e18  # when the next poll starts
    round_at: float = 0.0
    retry_at: float = 1e18
    notified_at: float = -1e18
    known_owner: tuple[int, int, float] = (NO_MEMBER, 0, -1e18)  # member, term, believed until
    highest_seen_term: int = 0  # in messages, denials and refusals; the next candidacy uses a higher one
    refused: dict[str, int] = field(default_factory=dict)  # effects refused, by receiver


class Owners:
    """Elects the owners of the duties of one scope, as one member of it."""

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
        """`names`: all gateways of the site, whose indices are the member numbers on the wire. `members`: the
        numbers of those in this scope, all by default. `duty_numbers`: the numbers of the duties on the wire,
        from 0 by default."""
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
        self.withheld: dict[str, str] = {}  # duties without a candidacy of this member, with the reason
        self.counts: dict[str, int] = {}
        self._joining = not durable.joined
        self._unsettled_peers: dict[str, bool] = {}  # by peer: whether its list is unsettled
        self._pending: dict[int, tuple[str, int, int, float]] = {}  # by sequence: duty, term, member, sent at
        self._sequence = 0
        self._own_votes: list[tuple[str, int, float]] = []  # votes for itself that are not on disk yet
        self._stored: dict[str, Any] | None = None
        self._outbox: list[Send] = []
        self._decisions: deque[Decision] = deque()
        self._greeting_at, self._greeting_interval = now, GREETING_INTERVAL * self.lease
        self._greeting_until = now + durable.vote_duration
        self._now = now

    # ---- inputs --------------------------------------------------------------------------------------------

    def on_message(self, now: float, sender: int, message: DutyMessage) -> None:
        """Handles a message of a member whose frame was authentic."""
        if not 0 <= sender < len(self.names) or sender == self.me or message.who != self.name_digests[sender]:
            self._count("of another numbering of the gateways")
            return
        if sender not in self.members:
            self._count("of a gateway of another region")
            return
        # A member that cannot vote yet must not settle a change of the list. Otherwise, of four, two and a
        # newcomer that waits for the third count as a majority, and nobody is elected.
        if message.kind not in ("greet", "greeted") or message.intact:
            self.durable.on_member_list(now, self.names[sender], message.list)
        if self.names[sender] in self._unsettled_peers:
            self._unsettled_peers[self.names[sender]] = message.former != NO_LIST_DIGEST
        if message.kind in ("greet", "greeted"):
            self._on_greeting(now, sender, message)
            return
        state = next((s for s in self.duties.values() if s.number == message.duty), None)
        if state is None:
            self._count("a duty that nobody knows")
            return
        if message.term > MAX_TERM:
            self._count("a term out of reach")
            return
        match message.kind:
            case "poll" | "ask":
                self._on_request(now, state, sender, message)
            case "free" | "grant" | "deny":
                self._on_response(now, state, sender, message)
            case "yield":
                self._on_yield(now, state, sender, message)
            case "told":
                if message.term >= max(state.known_owner[1], self.durable.voters[state.name].term):
                    state.known_owner = (
                        sender,
                        message.term,
                        now + min(message.left, OWNER_NOTICE_LEASES * self.lease),
                    )
                    state.failed_polls = 0

    def on_membership(self, reachable: set[int], eligible: bool, why_not: str = "") -> None:
        """Sets which members are reachable, and whether this one may own duties now."""
        self.reachable, self.eligible, self.why_not = reachable.intersection(self.members), eligible, why_not

    def on_clock_check(self, now: float, good: bool) -> None:
        """Sets whether the clock can be trusted. A bad clock ends every lease of this member at once."""
        if self.clock_good and not good:
            for state in self.duties.values():
                self._end_lease(now, state, "the clock stood still or jumped back")
        self.clock_good = good

    def resign(self, now: float) -> None:
        """Prepares to shut down: ends all candidacies and hands owned duties to the next member in rank."""
        self.eligible, self.why_not = False, "on its way out"
        for state in self.duties.values():
            state.polled_at = -1e18
            if state.lease is None:
                continue
            reachable = [m for m in state.ranking if m in self.reachable]
            self._release(now, state, reachable[0] if state.won and reachable else NO_MEMBER)
            self._end_lease(now, state, "handed over" if state.won else "candidacy withdrawn")

    def on_effect_refused(self, now: float, duty: str, term: int, known: int, where: str) -> None:
        """Handles a receiver's refusal of an effect: it knows a higher term."""
        state = self.duties[duty]
        state.refused[where] = state.refused.get(where, 0) + 1
        state.highest_seen_term = max(
            state.highest_seen_term, min(known, state.highest_seen_term + MAX_TERM_STEP, MAX_TERM)
        )
        if state.lease is not None and state.lease.term <= term:
            self._release(now, state, NO_MEMBER)
            self._end_lease(now, state, f"{where} knows term {known}")

    def accepts_effect(self, duty: str, term: int) -> bool:
        """Returns whether a received effect may be carried out once the `Store` that follows is on disk."""
        if duty not in self.duties or not self.durable.confirmed:
            self._count("an effect before the terms are known" if duty in self.duties else "unknown duty")
            return False
        accepted = self.durable.fence.accepts(duty, term)
        state = self.duties[duty]
        if accepted and state.lease is not None and state.lease.term < term:
            self._end_lease(self._now, state, f"an effect of term {term} came here")
        return accepted

    def on_stored(self, record: dict[str, Any]) -> None:
        """Handles the success of a `Store`: counts the votes for this member that are on disk now."""
        self._stored = record
        for duty, term, requested_at in self._own_votes:
            lease = self.duties[duty].lease
            if lease is not None and lease.term == term:
                lease.on_grant(self.names[self.me], requested_at)
                self._check_won(self.duties[duty])
        self._own_votes = []

    def on_store_failed(self, now: float) -> None:
        """Handles the failure of a `Store`: no vote is given, and candidacies of this member end."""
        self._count("votes that the disk did not take")
        self._own_votes = []
        for state in self.duties.values():
            if state.lease is not None and not state.won:
                self._end_lease(now, state, "the vote could not be stored")

    # ---- voter ---------------------------------------------------------------------------------------------

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
                # A candidate that missed the owner's notice must learn of the owner from members that did not
                # vote but were notified; otherwise it polls all members when some of the first few are such.
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
            self._end_lease(now, state, f"{name} is a candidate with term {message.term}")
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

    # ---- candidate and owner -------------------------------------------------------------------------------

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
            # The voter is bound to an owner or a candidate for this long.
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
        """Polls some members without a term first, so that partitioned members do not raise terms in vain."""
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
        """Polls all members if a majority of them is reachable.

        During a partition without a majority on any side, polling regardless would cost datagrams that grow
        with the square of the number of members."""
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
        """Requests votes of a majority and a few more; `_retry_round` asks again and extends it to others."""
        lease = state.lease
        assert lease is not None
        if lease.requested_at:
            self.durable.voters[state.name].on_vote_request(now, lease.term, self.names[self.me])
        self._own_votes.append((state.name, lease.term, now))
        state.round_at, state.retry_at = now, now + self.retry_interval
        # The members that granted last are asked first, so that the others only receive notices.
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
        """Asks members again that have not granted in this round: messages may have been lost."""
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
        # Twice as many as are missing: at the highest loss tolerated by membership, half of them answer.
        for to in (
            unanswered
            if not state.won
            else self.rng.sample(unanswered, min(len(unanswered), 2 * missing + EXTRA_REQUESTS))
        ):
            self._send_request(now, state, to, "ask", lease.term)

    def _notify_others(self, now: float, state: DutyState, requested: set[int]) -> None:
        """Notifies members that were sent no request once per lease, so that they start no candidacy."""
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
        """Ends the lease at this member, then tells all others that its term is no longer used."""
        lease = state.lease
        assert lease is not None
        lease.ended = True
        self.durable.voters[state.name].on_release(lease.term, self.names[self.me])
        for to in self._others():
            self._send_about(to, "yield", state, 0, lease.term, successor)

    def _end_lease(self, now: float, state: DutyState, reason: str) -> None:
        lease, won = state.lease, state.won
        if lease is None:
            return
        overdue = max(0.0, now - lease.expires_at()) if won else 0.0
        lease.ended = True
        state.lease, state.won, state.retry_at = None, False, 1e18
        state.highest_seen_term = max(state.highest_seen_term, lease.term)
        if state.known_owner[0] == self.me:
            state.known_owner = NO_MEMBER, lease.term, -1e18
        state.candidacy_at = now + self._rank_delay(state) + self.candidacy_timeout * self.rng.random()
        if won:
            self._decisions.append(Lost(state.name, lease.term, reason, overdue))

    def owned_term(self, now: float, duty: str) -> int:
        """Returns the term under which an effect may be sent now, or 0. Must be called before each effect."""
        state = self.duties[duty]
        if state.lease is None or not state.won or not self.clock_good:
            return 0
        if not state.lease.is_valid(now):
            self._end_lease(now, state, "the lease expired")
            return 0
        return state.lease.term

    # ---- decisions -----------------------------------------------------------------------------------------

    def decide(self, now: float) -> Decision | None:
        """Returns the next decision, or None where there is none now."""
        self._now = now
        if not self._decisions and not self._outbox:
            self._update(now)
        if self._decisions:
            return self._decisions.popleft()  # does not depend on unsaved votes
        if self.dirty():
            messages, self._outbox = tuple(self._outbox), []
            return Store(self.durable.record(), messages)
        return self._outbox.pop(0) if self._outbox else None

    def _update(self, now: float) -> None:
        if now >= self._greeting_at:
            self._send_greetings(now)
        if self._joining and self.joined(now):
            # Stored, since a newcomer may restart during the change that adds it, and has a file then.
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
            self._end_lease(now, state, self.why_not or "not eligible")
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
        """Backs off after a failed poll: later polls become rarer, down to one per lease."""
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
        """Returns whether the others count this member.

        They do not while it is declared gone or knows no terms of others. A member that started without a
        file also waits until no member that it heard still uses the former list."""
        if self.durable.me not in self.durable.lists.current:
            return False
        return self.durable.may_vote(now) and not (self._joining and any(self._unsettled_peers.values()))

    def owner_of(self, now: float, duty: str) -> tuple[int, int]:
        """Returns the known owner of a duty and its term; `NO_MEMBER` and the last known term without one."""
        state = self.duties[duty]
        if owned_term := self.owned_term(now, duty):
            return self.me, owned_term
        member, term, until = state.known_owner
        return (member, term) if now < until else (NO_MEMBER, term)

    def _vacant_at(self, state: DutyState) -> float:
        voter = self.durable.voters[state.name]
        return max(voter.bound_until if voter.member else -1e18, state.known_owner[2])

    def _rank_delay(self, state: DutyState) -> float:
        """Returns the seconds to wait before a candidacy: fewer for a better rank among reachable members."""
        reachable = [m for m in state.ranking if m == self.me or m in self.reachable]
        position = min(reachable.index(self.me), MAX_DELAYED_RANKS)
        return RANK_DELAY * self.lease * (position + self.rng.random())

    # ---- greetings -----------------------------------------------------------------------------------------

    def _send_greetings(self, now: float) -> None:
        """Greets members that have not answered, for a while or while the list is unsettled."""
        durable = self.durable
        waiting = [m for m in self._others() if self.names[m] not in durable.greeting_responses]
        if durable.may_vote(now) and now >= self._greeting_until:
            # A newcomer has to hear that the change which adds it is settled.
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
            # A member that lost its file says so until it has taken part in an election again.
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
                self._end_lease(now, state, "the state directory is a stale copy")

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
        """Returns whether a vote or an accepted term is not on disk yet."""
        return self._stored != self.durable.record()

    def _count(self, event: str) -> None:
        self.counts[event] = self.counts.get(event, 0) + 1

    # ---- queries -------------------------------------------------------------------------------------------

    def wake_at(self, now: float) -> float:
        """Returns when `decide` should be called again."""
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
        """Returns what this member knows of each duty, for operators."""
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
        """Returns the state of this scope for operators."""
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
