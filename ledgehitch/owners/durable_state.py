"""The state that a member stores for elections, and its recovery after that state is lost. Free of I/O.

A file that is torn, missing, restored from a copy or older than the gateway's last life counts as lost. Its
gateway neither votes nor accepts effects until others have reported the terms they know, and it votes only
after the longest vote of a former life has expired.
"""

from typing import Any

from ledgehitch.owners.facts import MAX_TERM, MAX_TERM_STEP, MemberLists, majority, vote_duration
from ledgehitch.owners.votes import Fence, Voter
from ledgehitch.regions.shares import RegionShares

FORMAT_VERSION = 1


class DurableState:
    """Votes, fences, lives and member lists of one scope at one member. Times are seconds of its clock."""

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
        """`stored`: the record read from the file, None if it is not intact. `nonce`: random, new for each
        life. `vote_duration_override`: seconds that a vote binds; derived from the bound on clock drift by
        default. `own_part`: of the fleet's budgets; changing it is handled like a change of the list. `gone`:
        gateways that an operator has declared gone: their votes by a former list are not waited for.
        `regions`: digest of the site's regions. `scope`: the region whose duties these are, empty for the
        fleet's; a file of another scope counts as lost."""
        self.me, self.nonce, self.gone, self.scope = me, nonce, gone, scope
        self.intact = isinstance(stored, dict) and stored.get("version") == FORMAT_VERSION
        self.intact = self.intact and stored.get("scope", "") == scope
        votes: dict[str, Any] = stored["votes"] if self.intact else {}
        fence: dict[str, int] = stored["fence"] if self.intact else {}
        self.life = (int(stored["life"]) if self.intact else 0) + 1
        self.lives: dict[str, tuple[int, int]] = {}
        if self.intact:
            self.lives = {n: (int(a), int(b)) for n, (a, b) in stored["lives"].items() if n in stated}
        self._lives_record: dict[str, list[int]] | None = None  # cached for `record`; None: outdated
        self.lists = _initial_lists(stated, lease, own_part, regions, stored if self.intact else {})
        self.shares: RegionShares | None = None  # only in the fleet's scope, if there are regions
        self.max_loan_duration = 0.0  # seconds for which a loan may outlast its lender's lease
        # Whether the region's list is still unsettled. If so, the fleet's list must not settle: the region's
        # voters still vote by the version before the last.
        self.region_unsettled = False
        # Votes of the last life may have been for longer than those of now.
        former_lease = float(stored["lease"]) if self.intact else 0.0
        self.vote_duration = vote_duration_override or vote_duration(
            max(self.lists.max_lease(), former_lease)
        )
        self.voters = {d: Voter(self.vote_duration, *votes.get(d, (0, ""))) for d in duties}
        for voter in self.voters.values():
            voter.on_start(now)
        # Kept so that the terms of a duty do not restart when it moves to regions and back to the fleet.
        self.inactive_votes = {d: vote for d, vote in votes.items() if d not in duties}
        self.fence = Fence(fence)
        self.may_vote_from = now if self.intact else now + self.vote_duration
        self.greeting_responses: dict[str, tuple[bool, tuple[int, ...]]] = {}  # by member: intact, terms
        self.confirmed = self.intact or len(stated) == 1
        # Whether others have counted this member before, so that it had a part of the fleet's budgets.
        self.joined = self.intact and bool(stored.get("joined", True))
        self.bootstrapped = False  # terms start from zero: no member that answered knew any
        self.on_current: set[str] = {me}  # members known to use the current list
        self.settles_at = 1e18

    def record(self) -> dict[str, Any]:
        """Returns what must be on disk, as a new dictionary."""
        optional: dict[str, Any] = {}
        if self.lists.regions or self.lists.former_regions:
            optional |= {"regions": self.lists.regions, "former_regions": self.lists.former_regions}
        if self.scope:
            optional["scope"] = self.scope
        if self.shares is not None:
            optional["shares"] = self.shares.record()
        # Cached, since records are compared for each message: the cost must not grow with the members.
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
        """Returns the highest known term of each duty."""
        return tuple(max(v.term, self.fence.highest_term(d)) for d, v in self.voters.items())

    def may_vote(self, now: float) -> bool:
        """Returns whether the terms are known and no vote of a former life can still be in force."""
        return self.confirmed and now >= self.may_vote_from

    def on_greeting(self, member: str, life: int, nonce: int) -> int:
        """Records a member's new life and returns the life known before, 0 for none.

        The change must be on disk before the greeting is answered."""
        known = self.lives.get(member, (0, 0))
        if known[1] == nonce and known[0] == life:
            return 0
        if life > known[0]:
            self.lives[member], self._lives_record = (life, nonce), None
        return known[0]

    def on_greeting_response(
        self, now: float, member: str, known_life: int, intact: bool, terms: tuple[int, ...]
    ) -> None:
        """Handles the answer to a greeting.

        If the answer knows a later life of this member, its file is a stale copy and counts as lost."""
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
        """Returns how many answers are needed after a loss.

        Any majority that may have included this member's vote then contains one of those that answered."""
        n = len(self.lists.current)
        return min(majority(n), n - 1)

    def _adopt_terms(self) -> None:
        for number, (duty, voter) in enumerate(self.voters.items()):
            reported = [terms[number] for _, terms in self.greeting_responses.values() if number < len(terms)]
            reported.append(voter.term)  # so that a single answer does not decide
            # A faulty member may report a term near the maximum: a term above the median is approached by at
            # most one step.
            highest, middle = max(reported), sorted(reported)[(len(reported) - 1) // 2]
            term = min(highest, max(middle, voter.term) + MAX_TERM_STEP, MAX_TERM)
            if term > voter.term:
                voter.term, voter.member = term, ""
            self.fence.highest[duty] = max(self.fence.highest_term(duty), term)

    def on_member_list(self, now: float, member: str, current: bytes) -> None:
        """Handles the list that a member uses, from a message showing that it votes or will vote.

        Once too few members are left on the former list for a majority of it, no lease can be won or renewed
        by that list. The list then settles after the longest lease that may still run. That needs a majority
        of the current list, too: otherwise neither list could have an owner meanwhile."""
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
        """Sets the shares of the regions, None without regions.

        `max_loan_duration`: seconds for which a loan may outlast its lender's lease."""
        self.shares, self.max_loan_duration = shares, max_loan_duration
        self._update_shares(now)

    def _update_shares(self, now: float) -> None:
        if self.shares is not None:
            lease = vote_duration(self.lists.max_recorded_lease())
            self.shares.on_versions(now, self.on_current, self.gone, lease + self.max_loan_duration)

    def unsettled(self) -> bool:
        """Returns whether a change of the list or of regional shares is still in progress."""
        return bool(self.lists.former) or self.shares is not None and not self.shares.former_unused

    def settle(self, now: float) -> bool:
        """Drops the former list or the former shares if they have expired; returns whether it dropped any."""
        shared = self.shares is not None and self.shares.settle(now)
        if now < self.settles_at or self.region_unsettled:
            return shared
        lists = self.lists
        # The former lease and own part are kept, since loans may outlast the change.
        self.lists = lists._replace(former=())
        self.settles_at = 1e18
        return True


def _initial_lists(
    stated: tuple[str, ...], lease: float, own_part: float, regions: str, stored: dict[str, Any]
) -> MemberLists:
    """Returns the lists at a start. A third version waits until the change in progress has settled."""
    new = MemberLists(stated, (), lease, lease, own_part, own_part, regions, regions)
    if not stored.get("current"):
        return new
    # A file of an older release has no own part: the default makes this count as a change.
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
