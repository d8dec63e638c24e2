"""What one gateway believes of the others: who is there, at which incarnation. Free of I/O, clock and chance.

News on a member is an incarnation and a status. The higher incarnation counts; at the same one the graver
status does. Only a member itself raises its incarnation, so it can always refute what others say of it.
"""

from collections.abc import Iterable
from dataclasses import dataclass
from typing import Literal, NamedTuple

Status = Literal["alive", "suspect", "away", "dead", "left"]
STATUSES: tuple[Status, ...] = ("alive", "suspect", "away", "dead", "left")  # rising in gravity
SEVERITY = {status: number for number, status in enumerate(STATUSES)}
INCARNATIONS_PER_LIFE = (
    1 << 16
)  # incarnations of one life: what is above counts starts, what is below refutations


class MemberStatus(NamedTuple):
    member: int
    incarnation: int
    status: Status


@dataclass(slots=True)
class Entry:
    incarnation: int = 0
    status: Status = "alive"
    since: float = 0.0


class Roster:
    def __init__(self, now: float, me: int, members: int, life: int) -> None:
        """`members`: gateways of the site, numbered from 0. `life`: rises with each start."""
        self.me, self.incarnation = me, life * INCARNATIONS_PER_LIFE
        self.entries = {n: Entry(since=now) for n in range(members)}
        self.entries[me].incarnation = self.incarnation
        self.outgoing: list[MemberStatus] = [
            MemberStatus(me, self.incarnation, "alive")
        ]  # to be passed on, taken by the caller

    def status(self, member: int) -> Status:
        return self.entries[member].status

    def merge(self, now: float, updates: Iterable[MemberStatus]) -> list[MemberStatus]:
        """What others say; gives what changed here by it."""
        changed = []
        for member, incarnation, status in updates:
            if member == self.me:
                self._refute(now, incarnation, status)
                continue
            entry = self.entries.get(member)
            if entry is None:
                continue  # of another version of the site
            if (incarnation, SEVERITY[status]) > (entry.incarnation, SEVERITY[entry.status]):
                entry.incarnation, entry.status, entry.since = incarnation, status, now
                changed.append(MemberStatus(member, incarnation, status))
        self.outgoing += changed
        return changed

    def _refute(self, now: float, incarnation: int, status: Status) -> None:
        """Guards against being taken for dead by those who could not reach us, and against a lost state file:
        the incarnation rises over whatever is said."""
        own = self.entries[self.me]
        if incarnation > self.incarnation or (incarnation == self.incarnation and status != own.status):
            self.incarnation = incarnation + 1
            own.incarnation, own.since = self.incarnation, now
            self.outgoing.append(MemberStatus(self.me, self.incarnation, own.status))

    def set_status(self, now: float, member: int, status: Status) -> list[MemberStatus]:
        """What this gateway itself comes to believe of another, at the incarnation that it knows."""
        return self.merge(now, [MemberStatus(member, self.entries[member].incarnation, status)])

    def leave(self, now: float, status: Status) -> None:
        """This one goes: `left` for good, `away` to be back soon."""
        self.entries[self.me].status, self.entries[self.me].since = status, now
        self.outgoing.append(MemberStatus(self.me, self.incarnation, status))

    def present(self) -> list[int]:
        """Others that are not known to be gone."""
        return [n for n, e in self.entries.items() if n != self.me and e.status in ("alive", "suspect")]
