"""What a phase is judged by. Free of I/O; times are seconds of one clock, in rising order."""

from collections.abc import Collection, Iterable, Mapping, Sequence
from typing import NamedTuple

# What control may take of a gateway at most: a share of a core, bytes a second, bytes of memory.
ALLOWED = {"cpu_s_per_s": 0.014, "bytes_per_s": 24e3, "memory_bytes": 32e6}


# From where on the rig itself stands in the way of what it measures.
MOST_LATE = 0.5  # seconds that hollow processes' loops are late, at p99
MOST_SLOW = 0.05  # of the members, that find themselves slow at the end of a phase
MOST_DROPPED = 0.02  # of the datagrams, lost in buffers: one that begins is answered by all at once


def in_the_way(late: float, slow: float, members: int, dropped: float, datagrams: float) -> str:
    """Why a phase's figures are the machine's and not control's; empty where they may be kept."""
    if late > MOST_LATE:
        return f"loops were {late:g} s late at p99"
    if slow > MOST_SLOW * members:
        return f"{slow:g} of {members} members found themselves slow"
    if dropped > MOST_DROPPED * datagrams:
        return f"{dropped:g} of {datagrams:g} datagrams were lost in sockets' buffers"
    return ""


class Term(NamedTuple):
    """`member` owned a duty from `since` to `until`."""

    duty: str
    member: str
    term: int
    since: float
    until: float


class Event(NamedTuple):
    """`what`: won, lost (of a duty), gone (the member was killed or stopped)."""

    t: float
    what: str
    member: str
    duty: str = ""
    term: int = 0


def terms_of(events: Iterable[Event], end: float) -> list[Term]:
    """From what members said and what was done to them. A term ends with the next word on it, with its
    member, or at `end`."""
    held = dict[tuple[str, str], Event]()
    found = list[Term]()
    for e in sorted(events, key=lambda e: e.t):
        over = [key for key in held if key[0] == e.member and (e.what == "gone" or key[1] == e.duty)]
        for key in over:
            begun = held.pop(key)
            found.append(Term(begun.duty, begun.member, begun.term, begun.t, e.t))
        if e.what == "won":
            held[e.member, e.duty] = e
    found += [Term(e.duty, e.member, e.term, e.t, end) for e in held.values()]
    return sorted(found, key=lambda t: (t.since, t.duty, t.member))


def without_owner(
    terms: Iterable[Term], duty: str, since: float, until: float, by: Collection[str] | None = None
) -> float:
    """Seconds of a time in which nobody owned the duty. `by`: in which none of these did."""
    at, alone = since, 0.0
    for t in sorted(terms, key=lambda t: t.since):
        if t.duty != duty or by is not None and t.member not in by or t.until <= at:
            continue
        if t.since >= until:
            break
        alone += max(0.0, t.since - at)
        at = max(at, t.until)
    return alone + max(0.0, until - at)


def right_again(seen: Sequence[tuple[float, bool]], since: float) -> float | None:
    """Seconds from `since` to the first look from which on all views stayed right; None: not in this time."""
    first: float | None = None
    for t, right in seen:
        if t >= since:
            first = (t if first is None else first) if right else None
    return None if first is None else first - since


def rates(
    before: Mapping[str, float], after: Mapping[str, float], seconds: float, by: float = 1.0
) -> dict[str, float]:
    """What counters rose by, a second, and for each of `by` members."""
    return {name: (after[name] - before.get(name, 0.0)) / seconds / by for name in after}


def differences(hollow: Mapping[str, float], real: Mapping[str, float]) -> dict[str, float]:
    """By how much, as a share of the real one's figure, a hollow one's is above it."""
    return {name: hollow[name] / real[name] - 1.0 for name in sorted(hollow) if real.get(name, 0.0) > 0.0}


def over(figures: Mapping[str, float], allowed: Mapping[str, float] = ALLOWED) -> dict[str, float]:
    """Which figures are above what is allowed, and by how many times it."""
    return {
        name: figures[name] / most
        for name, most in sorted(allowed.items())
        if name in figures and figures[name] > most
    }
