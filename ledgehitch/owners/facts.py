"""Duties, and the figures that the promises rest on. Times are seconds of the gateway's own clock."""

from collections.abc import Iterable, Sequence
from functools import lru_cache
from typing import NamedTuple

from blake3 import blake3

# Numbered on the wire by their place: a new one comes last, none is taken out.
DUTIES = RESTARTS, VERDICTS, BUDGETS = "restarts", "verdicts", "budgets"
EFFECT_WITHOUT_OWNER = {
    RESTARTS: "plans wait where they are; who was told to restart comes back by itself",
    VERDICTS: "no verdict of the fleet is handed on; each gateway still tells its own",
    BUDGETS: "each gateway has its own part of the fleet's limits alone, nothing is lent",
}
DEFAULT_LEASE_S = 10.0  # from the asking; `docs/owners.md` says why
MAX_CLOCK_DRIFT = 0.01  # by which the rates of two gateways' clocks may differ at most, one of the other
MAX_TERM_STEP = 1 << 20  # by which one word may raise a term that is known here: a broken member's is refused
MAX_TERM = (1 << 63) - 1
NO_LIST_DIGEST = b"\0" * 4


def vote_duration(lease: float) -> float:
    """How long a vote binds its voter from the answering on: no slower clock of an owner is still within its
    lease then."""
    return lease * (1.0 + MAX_CLOCK_DRIFT)


def majority(members: int) -> int:
    return members // 2 + 1


@lru_cache(maxsize=32)  # it goes with each word, and takes as long as there are gateways
def list_digest(names: tuple[str, ...], lease: float, own_part: float = 0.0, regions: str = "") -> bytes:
    """Four bytes that two versions of a site share where they state the same gateways in the same order,
    leases of the same length, the same own part of the fleet's budgets, and the same regions. An own part of
    1 is what programs had that lent nothing: their digest did not name it."""
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
    """Who should own a duty, best first: by a keyed hash, so that duties spread over the members. `members`:
    numbers of those that may; left out, all."""
    key = blake3(duty.encode(), derive_key_context="ledgehitch 2026 rank of owners").digest()
    candidates = range(len(names)) if members is None else members
    order = {i: blake3(names[i].encode(), key=key).digest(8) for i in candidates}
    return sorted(order, key=lambda i: (order[i], i))


class MemberLists(NamedTuple):
    """The gateways that the site states, by name, and its lease; `former`: of the version before, until it is
    settled that none of its majorities can be had any more. A majority of both is needed until then."""

    current: tuple[str, ...]
    former: tuple[str, ...] = ()
    lease: float = DEFAULT_LEASE_S
    former_lease: float = DEFAULT_LEASE_S
    own_part: float = 0.0  # of the fleet's budgets
    former_own_part: float = 0.0
    regions: str = ""  # which regions and shares the site states, as a digest; empty: none
    former_regions: str = ""

    def min_lease(self) -> float:
        """What an owner counts on: voters of either list bind themselves for at least so long."""
        return min(self.lease, self.former_lease) if self.former else self.lease

    def max_own_part(self) -> float:
        """The most that own parts may come to together, whichever version each gateway goes by."""
        return max(self.own_part, self.former_own_part) if self.former else self.own_part

    def max_recorded_lease(self) -> float:
        """The longest that anybody may have counted on by this list or the one before, settled or not."""
        return max(self.lease, self.former_lease)

    def max_lease(self) -> float:
        """What a voter binds itself for."""
        return max(self.lease, self.former_lease) if self.former else self.lease

    def in_force(self) -> tuple[tuple[str, ...], ...]:
        return (self.current, self.former) if self.former else (self.current,)

    def digests(self) -> tuple[bytes, bytes]:
        return (
            list_digest(self.current, self.lease, self.own_part, self.regions),
            list_digest(self.former, self.former_lease, self.former_own_part, self.former_regions),
        )

    def own_share(self, conservative: bool = False) -> float:
        """Of each of the fleet's budgets, what a gateway has though it hears nothing: the least of both
        versions. `surely`: of the one before too where it is settled, as what was lent by it may be out."""
        part = min(self.own_part, self.former_own_part) if conservative else self.own_part
        parts = [part / len(self.current)]
        return min([*parts, self.former_own_part / len(self.former)] if self.former else parts)

    def covered_by(self, current: bytes, former: bytes) -> bool:
        """Whether one who goes by these needs a majority of each list that counts here: else it gets no vote,
        since its majority and one of ours may have nobody in common."""
        mine = {digest for digest in self.digests() if digest != NO_LIST_DIGEST}
        return mine <= {current, former}

    def has_majority(self, members: Iterable[str]) -> bool:
        """Whether these are a majority of each list."""
        present = set(members)
        return all(len(present.intersection(names)) >= majority(len(names)) for names in self.in_force())
