"""What a member must not forget, and what it knows when it cannot be sure that it did not. Free of I/O.

A file that is torn, missing, a copy that was put back or older than the gateway's last life does not count:
its gateway neither votes nor takes effects until others have told it the terms they know, and it votes only
after the longest promise of a former life has ended.
"""

from typing import Any

from ledgehitch.owners.facts import MAX_TERM, MAX_TERM_STEP, MemberLists, majority, vote_duration
from ledgehitch.owners.votes import Fence, Voter
from ledgehitch.regions.shares import RegionShares

FORMAT_VERSION = 1


class DurableState:
    def __init__(
        self,
        now: float,
        me: str,
        stated: tuple[str, ...],
        duties: tuple[str, ...],
        lease: float,
        stored: Any,
        nonce: int,
        vote_duration_override: float = 0.0,
        own_part: float = 0.0,
        gone: frozenset[str] = frozenset(),
        regions: str = "",
        scope: str = "",
    ) -> None:
        """`held`: what the file gave, None where it is not whole. `nonce`: of this life, drawn anew.
        `promise`: seconds that a vote binds; left out, what the bound on clocks asks for. `own_part`: of the
        fleet's budgets; a change of it goes as a change of the list does. `gone`: who does not run, as an
        operator vouches: nobody waits for their votes by a former list. `regions`: a digest of those that the
        site states. `scope`: the region whose duties these are, empty for those of all; a file of another
        counts as lost."""
        self.me, self.nonce, self.gone, self.scope = me, nonce, gone, scope
        self.intact = isinstance(stored, dict) and stored.get("version") == FORMAT_VERSION
        self.intact = self.intact and stored.get("scope", "") == scope
        votes: dict[str, Any] = stored["votes"] if self.intact else {}
        fence: dict[str, int] = stored["fence"] if self.intact else {}
        self.life = (int(stored["life"]) if self.intact else 0) + 1
        self.lives: dict[str, tuple[int, int]] = {}
        if self.intact:
            self.lives = {n: (int(a), int(b)) for n, (a, b) in stored["lives"].items() if n in stated}
        self._lives_record: dict[str, list[int]] | None = (
            None  # as they are in a record; None: to be made anew
        )
        self.lists = _initial_lists(stated, lease, own_part, regions, stored if self.intact else {})
        self.shares: RegionShares | None = (
            None  # of the regions; where all of them are heard, and there are any
        )
        self.max_loan_duration = 0.0  # seconds that what a lease lent may go on after it
        # Whether another scope's list is still unsettled. Guards against gateways that say they go by a
        # version while their region's voters still give their votes by the one before the last.
        self.region_unsettled = False
        # A promise of the last life may have been longer than those of now.
        former_lease = float(stored["lease"]) if self.intact else 0.0
        self.vote_duration = vote_duration_override or vote_duration(
            max(self.lists.max_lease(), former_lease)
        )
        self.voters = {d: Voter(self.vote_duration, *votes.get(d, (0, ""))) for d in duties}
        for voter in self.voters.values():
            voter.on_start(now)
        # Guards against terms that begin anew where a duty goes to regions and comes back to all.
        self.inactive_votes = {d: vote for d, vote in votes.items() if d not in duties}
        self.fence = Fence(fence)
        self.may_vote_from = now if self.intact else now + self.vote_duration
        self.greeting_responses: dict[
            str, tuple[bool, tuple[int, ...]]
        ] = {}  # to our greeting: intact, terms
        self.confirmed = self.intact or len(stated) == 1
        # Whether others counted this one before, so that it had a part of what is the fleet's.
        self.joined = self.intact and bool(stored.get("joined", True))
        self.bootstrapped = False  # terms begin here: nobody that was heard knew of any
        self.on_current: set[str] = {me}  # who goes by the current list, of those that are in the former one
        self.settles_at = 1e18

    def record(self) -> dict[str, Any]:
        optional: dict[str, Any] = {}
        if self.lists.regions or self.lists.former_regions:
            optional |= {"regions": self.lists.regions, "former_regions": self.lists.former_regions}
        if self.scope:
            optional["scope"] = self.scope
        if self.shares is not None:
            optional["shares"] = self.shares.record()
        # Guards against a cost of each word that rises with the members: records are held against each other.
        if self._lives_record is None:
            self._lives_record = {n: list(pair) for n, pair in self.lives.items()}
        return optional | {
            "version": FORMAT_VERSION,
            "life": self.life,
            "votes": {d: [v.term, v.member] for d, v in self.voters.items()} | self.inactive_votes,
            "fence": dict(self.fence.highest),
            "lives": self._lives_record,
            "current": list(self.lists.current),
            "former": list(self.lists.former),
            "lease": self.lists.lease,
            "former_lease": self.lists.former_lease,
            "own_part": self.lists.own_part,
            "former_own_part": self.lists.former_own_part,
            "joined": self.joined,
        }

    def terms(self) -> tuple[int, ...]:
        return tuple(max(v.term, self.fence.highest_term(d)) for d, v in self.voters.items())

    def may_vote(self, now: float) -> bool:
        return self.confirmed and now >= self.may_vote_from

    def on_greeting(self, member: str, life: int, nonce: int) -> int:
        """A member's life has begun; gives the life that was known of it before, 0 for none. Must be on disk
        before it is answered."""
        known = self.lives.get(member, (0, 0))
        if known[1] == nonce and known[0] == life:
            return 0
        if life > known[0]:
            self.lives[member], self._lives_record = (life, nonce), None
        return known[0]

    def on_greeting_response(
        self, now: float, member: str, known_life: int, intact: bool, terms: tuple[int, ...]
    ) -> None:
        """An answer to our greeting. One that knows a life of ours that we do not remember says that our
        file is an old copy: it counts as lost."""
        if known_life >= self.life:
            self.life = min(known_life + 1, 0xFFFFFFFF)
            self.intact, self.confirmed, self.greeting_responses = False, False, {}
            self.may_vote_from = now + self.vote_duration
            return
        self.greeting_responses[member] = intact, terms
        if self.confirmed:
            return
        sound_members = [n for n, (whole, _) in self.greeting_responses.items() if whole]
        if len(sound_members) >= self._responses_needed():
            self.confirmed = True
        elif not sound_members and len(self.greeting_responses) + 1 >= majority(len(self.lists.current)):
            self.confirmed = self.bootstrapped = True
        if self.confirmed:
            self._adopt_terms()

    def _responses_needed(self) -> int:
        """Answers after a loss: any majority that may have voted with us has one of these in it."""
        n = len(self.lists.current)
        return min(majority(n), n - 1)

    def _adopt_terms(self) -> None:
        for number, (duty, voter) in enumerate(self.voters.items()):
            reported = [terms[number] for _, terms in self.greeting_responses.values() if number < len(terms)]
            reported.append(voter.term)  # where one alone has answered it does not decide
            # Guards against one broken member's term near the top: what most do not reach is not believed at
            # once, it is come closer to by a step.
            highest, middle = max(reported), sorted(reported)[(len(reported) - 1) // 2]
            term = min(highest, max(middle, voter.term) + MAX_TERM_STEP, MAX_TERM)
            if term > voter.term:
                voter.term, voter.member = term, ""
            self.fence.highest[duty] = max(self.fence.highest_term(duty), term)

    def on_member_list(self, now: float, member: str, current: bytes) -> None:
        """Which list a member goes by, in words of its own that say that it votes or will. When too few go by
        the former one alone for a majority of it, no lease can be won or renewed by it any more; the longest
        that may still run is waited for. Not before a majority of the current one is there: else neither
        list had an owner until it is."""
        former = self.lists.former
        if not self.unsettled() or member in self.on_current or current != self.lists.digests()[0]:
            return
        self.on_current.add(member)
        if self.shares is not None:
            self._update_shares(now)
        if not former:
            return
        left = len(set(former) - self.on_current - self.gone)
        enough = len(self.on_current.intersection(self.lists.current)) >= majority(len(self.lists.current))
        if enough and left < majority(len(former)) and self.settles_at > 1e17:
            self.settles_at = now + self.vote_duration

    def set_shares(self, now: float, shares: RegionShares | None, max_loan_duration: float) -> None:
        """`shares` of the regions begin; None where there are none. `longest_lent`: seconds that what a
        lender lent may go on after its lease."""
        self.shares, self.max_loan_duration = shares, max_loan_duration
        self._update_shares(now)

    def _update_shares(self, now: float) -> None:
        if self.shares is not None:
            lease = vote_duration(self.lists.max_recorded_lease())
            self.shares.on_versions(now, self.on_current, self.gone, lease + self.max_loan_duration)

    def unsettled(self) -> bool:
        """Whether it matters still who goes by which list."""
        return bool(self.lists.former) or self.shares is not None and not self.shares.former_unused

    def settle(self, now: float) -> bool:
        """Whether the former list, or the former shares of regions, are let go of by this."""
        shared = self.shares is not None and self.shares.settle(now)
        if now < self.settles_at or self.region_unsettled:
            return shared
        lists = self.lists
        # How long leases were before, and how large own parts, is kept: loans may outlast the change.
        self.lists = lists._replace(former=())
        self.settles_at = 1e18
        return True


def _initial_lists(
    stated: tuple[str, ...], lease: float, own_part: float, regions: str, stored: dict[str, Any]
) -> MemberLists:
    """One change of the list at a time: a third version waits behind one that is not settled."""
    new = MemberLists(stated, (), lease, lease, own_part, own_part, regions, regions)
    if not stored.get("current"):
        return new
    # A file of a program that knew no own part: the part that it went by is not known, so it changes.
    own, former_own = stored.get("own_part", 1.0), stored.get("former_own_part", 1.0)
    old = MemberLists(
        tuple(stored["current"]),
        tuple(stored["former"]),
        stored["lease"],
        stored["former_lease"],
        own,
        former_own,
        stored.get("regions", ""),
        stored.get("former_regions", ""),
    )
    if (old.current, old.lease, old.own_part, old.regions) == (stated, lease, own_part, regions):
        return old
    before = (old.former, old.former_lease, old.former_own_part, old.former_regions)
    if old.former and before != (stated, lease, own_part, regions):
        return old
    return MemberLists(stated, old.current, lease, old.lease, own_part, own, regions, old.regions)
