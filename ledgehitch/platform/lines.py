"""Which connection to a media host takes a set-up, and which are let go. Free of I/O.

A connection is told by: whether it is up, how many set-ups on it have no outcome, whether a set-up ran out of
time on it with no sign since (doubted), and how many seconds ago it was last used.
"""

from collections.abc import Iterable, Sequence
from typing import Protocol, TypeVar

SETTLED = 1.0  # seconds without use before a connection may be let go
EARLY = 0.9  # part of the idle time after which it is let go here, before the other side does


class Line(Protocol):
    open: dict[str, None]
    doubted: bool
    used_at: float

    @property
    def up(self) -> bool: ...


L = TypeVar("L", bound=Line)


def fittest(lines: Iterable[L], streams: int) -> L | None:
    """One that takes a further set-up: up, with the fewest. A doubted one takes none: peers that spoil an
    answer may leave a connection open that is of no further use."""
    fit = [x for x in lines if not x.doubted and len(x.open) < streams]
    return min(fit, key=lambda x: (not x.up, len(x.open)), default=None)


def first_to_go(lines: Iterable[L]) -> L | None:
    """The one that makes room for another: up, without a set-up, longest unused."""
    return min((x for x in lines if x.up and not x.open), key=lambda x: x.used_at, default=None)


def over(now: float, lines: Sequence[L], needed: int, idle: float) -> list[L]:
    """Those to let go: doubted, or unused for the idle time (seconds) and beyond the `needed` ones."""
    out: list[L] = []
    for x in lines:
        unused = now - x.used_at
        if x.open or not x.up or unused < SETTLED:
            continue
        if x.doubted or unused > idle * EARLY and len(lines) - len(out) > needed:
            out.append(x)
    return out
