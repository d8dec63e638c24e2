"""Duties, lists of members, and the constants of elections. Times are seconds of the gateway's own clock."""

from collections.abc import Iterable, Sequence
from functools import lru_cache
from typing import NamedTuple

from blake3 import blake3

# The index is the number on the wire: append new duties, and remove none.
DUTIES = RESTARTS, VERDICTS, BUDGETS = "restarts", "verdicts", "budgets"
EFFECT_WITHOUT_OWNER = {
    RESTARTS: "plans wait where they are; who was told to restart comes back by itself",
    VERDICTS: "no verdict of the fleet is handed on; each gateway still tells its own",
    BUDGETS: "each gateway has its own part of the fleet's limits alone, nothing is lent",
}
DEFAULT_LEASE_S = 10.0  # from the vote request; see `docs/owners.md`
MAX_CLOCK_DRIFT = 0.01  # maximum relative difference between the clock rates of two gateways
MAX_TERM_STEP = 1 << 20  # by which one message may raise a known term; a faulty member's jump is refused
MAX_TERM = (1 << 63) - 1
NO_LIST_DIGEST = b"\0" * 4


def vote_duration(lease: float) -> float:
    """Returns the seconds that a vote binds its voter from its answer on.

    After that the lease has expired even by an owner's clock that runs slower within the bound."""
    return lease * (1.0 + MAX_CLOCK_DRIFT)


def majority(members: int) -> int:
    return members // 2 + 1


@lru_cache(maxsize=32)  # sent with each message, and its cost grows with the number of gateways
def list_digest(names: tuple[str, ...], lease: float, own_part: float = 0.0, regions: str = "") -> bytes:
    """Returns a four-byte digest of the gateways in order, the lease, the own part of budgets and the
    regions.

    An own part of 1 is left out: releases without loans had no own part in their digest."""
    lines = [
        *names,
        f"{lease:.3f}",
        *([f"{own_part:.6f}"] if own_part != 1.0 else []),
        *([f"regions {regions}"] if regions else []),
    ]
    return blake3("\n".join(lines).encode()).digest(4) if names else NO_LIST_DIGEST


def name_digest(name: str) -> bytes:
    return blake3(name.encode()).digest(4)


def rank_members(duty: str, names: Sequence[str], members: Iterable[int] | None = None) -> list[int]:
    """Returns the members in order of preference as owner of a duty.

    A keyed hash spreads the duties over the members. `members`: numbers of the candidates, all by default."""
    key = blake3(duty.encode(), derive_key_context="ledgehitch 2026 rank of owners").digest()
    candidates = range(len(names)) if members is None else members
    order = {i: blake3(names[i].encode(), key=key).digest(8) for i in candidates}
    return sorted(order, key=lambda i: (order[i], i))


class MemberLists(NamedTuple):
    """The gateways and the lease of the current version of the site and of the former one.

    `former` is kept until it is settled that no majority of it can form any more. Until then an election
    needs a majority of both lists."""

    current: tuple[str, ...]
    former: tuple[str, ...] = ()
    lease: float = DEFAULT_LEASE_S
    former_lease: float = DEFAULT_LEASE_S
    own_part: float = 0.0  # of the fleet's budgets
    former_own_part: float = 0.0
    regions: str = ""  # digest of the regions and their shares; empty without regions
    former_regions: str = ""

    def min_lease(self) -> float:
        """Returns the lease that an owner may rely on: voters of either list are bound at least this long."""
        return min(self.lease, self.former_lease) if self.former else self.lease

    def max_own_part(self) -> float:
        """Returns the largest sum of own parts, whichever version each gateway uses."""
        return max(self.own_part, self.former_own_part) if self.former else self.own_part

    def max_recorded_lease(self) -> float:
        """Returns the longest lease of this list and the one before it, settled or not."""
        return max(self.lease, self.former_lease)

    def max_lease(self) -> float:
        """Returns the lease for which a voter binds itself."""
        return max(self.lease, self.former_lease) if self.former else self.lease

    def in_force(self) -> tuple[tuple[str, ...], ...]:
        """Returns the lists of which a majority is needed."""
        return (self.current, self.former) if self.former else (self.current,)

    def digests(self) -> tuple[bytes, bytes]:
        """Returns the digests of the current and the former list."""
        return (
            list_digest(self.current, self.lease, self.own_part, self.regions),
            list_digest(self.former, self.former_lease, self.former_own_part, self.former_regions),
        )

    def own_share(self, conservative: bool = False) -> float:
        """Returns the fraction of each budget that a gateway has without loans: the smaller of both versions.

        `conservative`: include the former version even if settled, since its loans may still be in force."""
        part = min(self.own_part, self.former_own_part) if conservative else self.own_part
        parts = [part / len(self.current)]
        return min([*parts, self.former_own_part / len(self.former)] if self.former else parts)

    def covered_by(self, current: bytes, former: bytes) -> bool:
        """Returns whether a candidate with these digests needs a majority of each list in force here.

        If not, it gets no vote: its majority and one of this member's lists might not intersect."""
        mine = {digest for digest in self.digests() if digest != NO_LIST_DIGEST}
        return mine <= {current, former}

    def has_majority(self, members: Iterable[str]) -> bool:
        """Returns whether these members are a majority of each list in force."""
        present = set(members)
        return all(len(present.intersection(names)) >= majority(len(names)) for names in self.in_force())
