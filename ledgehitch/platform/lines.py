"""Which connection to a media host takes a set-up, and which are let go. Free of I/O.

A connection is told by: whether it is up, how many set-ups on it have no outcome, which ids lately had theirs
there, whether a set-up ran out of time on it with no sign since (doubted), and how many seconds ago it was
last used.
"""

from collections.abc import Iterable, Sequence
from typing import Protocol, TypeVar

SETTLED = 1.0  # seconds without use before a connection may be let go
EARLY = 0.9  # part of the idle time after which it is let go here, before the other side does
MARGIN = 0.25  # seconds before the other side does, at least, for what is on its way: half of it at most


class Line(Protocol):
    open: dict[str, None]
    past: dict[str, None]
    doubted: bool
    used_at: float

    @property
    def up(self) -> bool: ...


L = TypeVar("L", bound=Line)


def kept_for(idle: float) -> float:
    """Seconds without use after which a connection is let go, and takes nothing any more."""
    return max(0.5 * idle, min(EARLY * idle, idle - MARGIN))


def fittest(lines: Iterable[L], streams: int, now: float, idle: float, tag: str = "") -> L | None:
    """One that takes a further set-up: up, with the fewest. A doubted one takes none: peers that spoil an
    answer may leave a connection open that is of no further use. Nor does one that the other side may be
    closing as idle, nor one on which this id had an outcome: a second copy of that, come late, would be taken
    for the outcome of the new set-up."""
    fit = [
        x
        for x in lines
        if not x.doubted
        and len(x.open) < streams
        and tag not in x.past
        and (x.open or now - x.used_at < kept_for(idle))
    ]
    return min(fit, key=lambda x: (not x.up, len(x.open)), default=None)


def first_to_go(lines: Iterable[L]) -> L | None:
    """The one that makes room for another: up, without a set-up, longest unused."""
    return min((x for x in lines if x.up and not x.open), key=lambda x: x.used_at, default=None)


def over(now: float, lines: Sequence[L], needed: int, idle: float) -> list[L]:
    """Those to let go: doubted, or unused for the idle time (seconds) and beyond the `needed` ones."""
    out: list[L] = []
    for x in lines:
        unused = now - x.used_at
        if x.open or not x.up or unused < min(SETTLED, kept_for(idle)):
            continue
        if x.doubted or unused >= kept_for(idle) and len(lines) - len(out) > needed:
            out.append(x)
    return out
