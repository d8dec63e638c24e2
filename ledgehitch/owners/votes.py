"""The parts of a safe election: the voter, the owner's lease and the receiver's fence.

Free of I/O, clocks and random numbers. `tests/explore_owners.py` explores their interleavings.

A voter is bound from its answer on, an owner counts its lease from its request on, each by its own clock, and
the voter's time is longer by the bound on clock drift. So two leases of one duty never overlap. A lease does
not help when an owner is suspended between its check and its effect: the fence at the receiver therefore
refuses every term below the highest that it has seen.
"""

from dataclasses import dataclass

from ledgehitch.owners.facts import MAX_TERM, MAX_TERM_STEP, MemberLists, majority


@dataclass(slots=True)
class Voter:
    """The vote of one member for one duty.

    `term` and `member` must be on disk before a grant is sent. `bound_until` is not stored: after a restart
    the voter is bound for a whole `vote_duration` (seconds of its own clock)."""

    vote_duration: float
    term: int = 0
    member: str = ""  # the member that got this term; empty: none, or it was released
    bound_until: float = -1e18

    def is_bound(self, now: float) -> bool:
        """Returns whether the vote still binds this voter."""
        return bool(self.member) and now < self.bound_until

    def on_start(self, now: float) -> None:
        """Binds the voter anew after a start: a stored vote may still be in force, for an unknown time."""
        if self.member:
            self.bound_until = now + self.vote_duration

    def on_vote_request(self, now: float, term: int, member: str) -> bool:
        """Returns whether the vote for this member and term is granted. A repeated request extends it."""
        if term < self.term or term > min(self.term + MAX_TERM_STEP, MAX_TERM):
            return False
        if term == self.term:
            if not self.member or member != self.member:
                return False
        elif self.is_bound(now) and member != self.member:
            return False
        self.term, self.member = term, member
        self.bound_until = max(self.bound_until, now + self.vote_duration)
        return True

    def on_release(self, term: int, member: str) -> bool:
        """Releases the vote at its owner's request; the term is never granted again.

        Returns whether the vote was this owner's."""
        if (term, member) != (self.term, self.member):
            return False
        self.member, self.bound_until = "", -1e18
        return True


class Lease:
    """The lease of one term at its owner. Once expired it stays expired."""

    def __init__(self, term: int, lists: MemberLists, duration: float) -> None:
        self.term, self.lists, self.duration = term, lists, duration
        self.requested_at: dict[str, float] = {}  # by voter: when the vote that it granted was requested
        self.ended = False
        self._latest_read = -1e18  # the latest time passed in

    def on_grant(self, member: str, requested_at: float) -> None:
        self.requested_at[member] = max(requested_at, self.requested_at.get(member, -1e18))

    def expires_at(self) -> float:
        """Returns when the lease expires: its duration after a majority of each list had been asked."""
        ends = []
        for names in self.lists.in_force():
            requested = sorted((self.requested_at[n] for n in names if n in self.requested_at), reverse=True)
            needed = majority(len(names))
            ends.append(requested[needed - 1] + self.duration if len(requested) >= needed else -1e18)
        return min(ends)

    def is_valid(self, now: float) -> bool:
        """Returns whether the lease holds; called before every effect. A clock that jumped back ends it."""
        if now < self._latest_read:
            self.ended = True
        self._latest_read = max(self._latest_read, now)
        if not self.ended and self.requested_at and now >= self.expires_at() > -1e18:
            self.ended = True  # a late grant must not revive it: the owner may have been suspended
        return not self.ended and now < self.expires_at()


class Fence:
    """The highest term of each duty that a receiver has seen. A raised term must be on disk before use."""

    def __init__(self, highest: dict[str, int] | None = None) -> None:
        self.highest: dict[str, int] = dict(highest or {})
        self.refused: dict[str, int] = {}

    def highest_term(self, duty: str) -> int:
        return self.highest.get(duty, 0)

    def accepts(self, duty: str, term: int) -> bool:
        """Returns whether an effect of this term may be carried out.

        A term that is zero, lower than the highest or beyond the allowed step is refused and changes
        nothing."""
        known = self.highest_term(duty)
        if not 0 < term <= MAX_TERM or not known <= term <= known + MAX_TERM_STEP:
            self.refused[duty] = self.refused.get(duty, 0) + 1
            return False
        self.highest[duty] = term
        return True
