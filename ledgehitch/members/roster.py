"""The status and incarnation of each member as known to one gateway. Free of I/O, clocks and random numbers.

An update holds a member's incarnation and status. The higher incarnation takes precedence, and at the same
incarnation the more severe status. Only a member itself raises its incarnation, so it can refute any claim.
"""

from collections.abc import Iterable
from dataclasses import dataclass
from typing import Literal, NamedTuple

Status = Literal["alive", "suspect", "away", "dead", "left"]
STATUSES: tuple[Status, ...] = ("alive", "suspect", "away", "dead", "left")  # by rising severity
SEVERITY = {status: number for number, status in enumerate(STATUSES)}
INCARNATIONS_PER_LIFE = 1 << 16  # the upper bits count starts, the lower ones refutations


class MemberStatus(NamedTuple):
    """An update on one member."""

    member: int
    incarnation: int
    status: Status


@dataclass(slots=True)
class Entry:
    """The known status of one member. `since`: when it last changed, in seconds."""

    incarnation: int = 0
    status: Status = "alive"
    since: float = 0.0


class Roster:
    """All members, with the updates to be sent to others."""

    def __init__(self, now: float, me: int, members: int, life: int) -> None:
        """`members`: the number of gateways of the site, numbered from 0. `life`: rises with each start."""
        self.me, self.incarnation = me, life * INCARNATIONS_PER_LIFE
        self.entries = {n: Entry(since=now) for n in range(members)}
        self.entries[me].incarnation = self.incarnation
        self.outgoing: list[MemberStatus] = [
            MemberStatus(me, self.incarnation, "alive")
        ]  # taken by the caller

    def status(self, member: int) -> Status:
        """Returns the status of a member."""
        return self.entries[member].status

    def merge(self, now: float, updates: Iterable[MemberStatus]) -> list[MemberStatus]:
        """Merges updates of other members and returns those that changed an entry."""
        changed = []
        for member, incarnation, status in updates:
            if member == self.me:
                self._refute(now, incarnation, status)
                continue
            entry = self.entries.get(member)
            if entry is None:
                continue  # a member of another version of the site
            if (incarnation, SEVERITY[status]) > (entry.incarnation, SEVERITY[entry.status]):
                entry.incarnation, entry.status, entry.since = incarnation, status, now
                changed.append(MemberStatus(member, incarnation, status))
        self.outgoing += changed
        return changed

    def _refute(self, now: float, incarnation: int, status: Status) -> None:
        """Raises the own incarnation above a claim about this gateway.

        Such claims come from members that could not reach it, or refer to a life before a lost state file."""
        own = self.entries[self.me]
        if incarnation > self.incarnation or (incarnation == self.incarnation and status != own.status):
            self.incarnation = incarnation + 1
            own.incarnation, own.since = self.incarnation, now
            self.outgoing.append(MemberStatus(self.me, self.incarnation, own.status))

    def set_status(self, now: float, member: int, status: Status) -> list[MemberStatus]:
        """Sets the status of another member at its known incarnation and returns the changes."""
        return self.merge(now, [MemberStatus(member, self.entries[member].incarnation, status)])

    def leave(self, now: float, status: Status) -> None:
        """Sets the own status: `left` for good, or `away` to be back soon."""
        self.entries[self.me].status, self.entries[self.me].since = status, now
        self.outgoing.append(MemberStatus(self.me, self.incarnation, status))

    def present(self) -> list[int]:
        """Returns the other members that are alive or suspected."""
        return [n for n, e in self.entries.items() if n != self.me and e.status in ("alive", "suspect")]
