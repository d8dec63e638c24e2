"""The three things that a promise rests on: a voter, an owner's lease, a receiver's fence. Free of I/O, clock
and chance; `tests/explore_owners.py` goes through their interleavings.

A voter binds itself from when it answers, an owner counts from when it asked, each by its own clock, and the
voter's time is longer by the bound on how far the clocks' rates may differ: so two leases of one duty never
run at one moment. Who stands still between its check and its effect is not held by any lease: the fence at
the receiver refuses every term below the highest that it has seen.
"""

from dataclasses import dataclass

from ledgehitch.owners.facts import MAX_TERM, MAX_TERM_STEP, MemberLists, majority


@dataclass(slots=True)
class Voter:
    """One duty at one voter. `term` and `member` must be on disk before a grant is answered; `until` is never
    there: a voter that starts anew binds itself for a whole `promise` (seconds of its own clock)."""

    vote_duration: float
    term: int = 0
    member: str = ""  # whom this term was given to; empty: to nobody, or it was given back
    bound_until: float = -1e18

    def is_bound(self, now: float) -> bool:
        return bool(self.member) and now < self.bound_until

    def on_start(self, now: float) -> None:
        """After a start: what was promised may still run, and for how long is not known."""
        if self.member:
            self.bound_until = now + self.vote_duration

    def on_vote_request(self, now: float, term: int, member: str) -> bool:
        """Whether this member may be owner under this term; asked again, the promise lengthens."""
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
        """Its owner is owner no longer, in words of its own; this term is never given again."""
        if (term, member) != (self.term, self.member):
            return False
        self.member, self.bound_until = "", -1e18
        return True


class Lease:
    """One term as its owner sees it. It ends by itself, and for good."""

    def __init__(self, term: int, lists: MemberLists, duration: float) -> None:
        self.term, self.lists, self.duration = term, lists, duration
        self.requested_at: dict[str, float] = {}  # by who granted: when it was asked for what it granted
        self.ended = False
        self._latest_read = -1e18  # the latest time that was read

    def on_grant(self, member: str, requested_at: float) -> None:
        self.requested_at[member] = max(requested_at, self.requested_at.get(member, -1e18))

    def expires_at(self) -> float:
        """Up to when it holds: a majority of each list was asked at the earliest a lease before."""
        ends = []
        for names in self.lists.in_force():
            requested = sorted((self.requested_at[n] for n in names if n in self.requested_at), reverse=True)
            needed = majority(len(names))
            ends.append(requested[needed - 1] + self.duration if len(requested) >= needed else -1e18)
        return min(ends)

    def is_valid(self, now: float) -> bool:
        """Looked at before every effect. A clock that jumped back cannot keep it: it ends it."""
        if now < self._latest_read:
            self.ended = True
        self._latest_read = max(self._latest_read, now)
        if not self.ended and self.requested_at and now >= self.expires_at() > -1e18:
            self.ended = True  # no late answer wakes it up again: who asked may have stood still
        return not self.ended and now < self.expires_at()


class Fence:
    """The highest term of each duty that a receiver has taken an effect or a warning of. What was raised must
    be on disk before it is acted on."""

    def __init__(self, highest: dict[str, int] | None = None) -> None:
        self.highest: dict[str, int] = dict(highest or {})
        self.refused: dict[str, int] = {}

    def highest_term(self, duty: str) -> int:
        return self.highest.get(duty, 0)

    def accepts(self, duty: str, term: int) -> bool:
        """Whether an effect of this term may be carried out; one that is lower, none, or out of reach may
        not, and changes nothing."""
        known = self.highest_term(duty)
        if not 0 < term <= MAX_TERM or not known <= term <= known + MAX_TERM_STEP:
            self.refused[duty] = self.refused.get(duty, 0) + 1
            return False
        self.highest[duty] = term
        return True
