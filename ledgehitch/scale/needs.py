"""What each role of a fleet needs at the target's size, and what a failure costs: which figure is asked for,
at which size, held against what. Decides, does nothing else; every number comes from kept results and the
target. What cannot be worked out says why.
"""

import math
from collections.abc import Callable, Iterable, Mapping, Sequence
from statistics import fmean
from typing import Literal

import msgspec

from ledgehitch.scale.facts import Kept, Point
from ledgehitch.scale.slopes import Line, NoSlope, fitted, headroom
from ledgehitch.scale.target import Failure, Target

Unit = Literal["core", "bytes", "bytes/s", "s", "messages/s", "connections"]
NONE_YET = "none yet"
UNMEASURED = "not measured"
FALLS = "its line falls to nothing before the size: nothing is worked out"
ENOUGH = 0.90  # of the whole let in while regions are apart: what the mechanism for it has to reach


class Select(msgspec.Struct, frozen=True):
    """Which points: `kind`, `role`, `mechanism` and `phase` of kept results."""

    kind: str
    role: str
    mechanism: str
    phase: str


class Book:
    """Kept results to be asked. Of two that measured the same at one size the newer counts."""

    def __init__(self, kept: Mapping[str, Kept]) -> None:
        self.kept = dict(sorted(kept.items(), key=lambda item: (item[1].at, item[0])))
        self.found: dict[Select, dict[float, tuple[str, list[Point]]]] = {}
        for name, result in self.kept.items():
            for p in result.points:
                sizes = self.found.setdefault(Select(p.kind, p.role, p.mechanism, p.phase), {})
                if p.size not in sizes or sizes[p.size][0] != name:
                    sizes[p.size] = name, []
                sizes[p.size][1].append(p)

    def points(self, select: Select, figure: str) -> list[tuple[float, float]]:
        return [
            (size, p.figures[figure])
            for size, (_, points) in sorted(self.found.get(select, {}).items())
            for p in points
            if figure in p.figures
        ]

    def unit(self, select: Select) -> str:
        return next((p.size_unit for _, points in self.found.get(select, {}).values() for p in points), "")

    def commands(self, select: Select, figure: str) -> list[str]:
        """The commands that the counted points came from, each once."""
        sizes = self.found.get(select, {}).values()
        names = [name for name, points in sizes if any(figure in p.figures for p in points)]
        return list(dict.fromkeys(self.kept[name].command for name in names))

    def at(self, select: Select, figure: str, size: float) -> float | None:
        """The mean of what was measured at this very size."""
        values = [y for x, y in self.points(select, figure) if x == size]
        return fmean(values) if values else None

    def line(self, select: Select, figure: str) -> Line | None:
        try:
            return fitted(self.points(select, figure))
        except NoSlope:
            return None

    def figure(self, select: Select, figure: str) -> float | None:
        """The figure of the newest points, whatever their size."""
        newest = list(self.found.get(select, {}).values())
        newest.sort(key=lambda both: (self.kept[both[0]].at, both[0]))
        for _, points in reversed(newest):
            values = [p.figures[figure] for p in points if figure in p.figures]
            if values:
                return fmean(values)
        return None


class Need(msgspec.Struct, frozen=True):
    """`size`: at which the figure is wanted; `times`: how often a second it is paid, with words for it.
    `allowed`: None where nobody has stated a limit. `carried`: the mechanism."""

    role: str
    what: str
    select: Select
    figure: str
    unit: Unit
    size: Callable[[Target], float]
    carried: str
    allowed: Callable[[Target], float] | None = None
    times: Callable[[Target], float] = lambda t: 1.0
    often: str = ""


class Row(msgspec.Struct, frozen=True):
    """A need, worked out. `needed` None: `why` says what is missing."""

    need: Need
    size: float
    line: Line | None
    sizes: tuple[float, ...]
    needed: float | None
    allowed: float | None
    room: float | None
    times: float  # a second
    why: str
    commands: list[str]


def worked_out(need: Need, book: Book, target: Target) -> Row:
    points = book.points(need.select, need.figure)
    sizes, size = tuple(sorted({x for x, _ in points})), need.size(target)
    line, needed, why = None, None, ""
    try:
        line = fitted(points)
        if line.at(size) > 0.0:
            needed = line.at(size) * need.times(target)
        else:
            why = FALLS
    except NoSlope as missing:
        why = str(missing)
        there = book.at(need.select, need.figure, size)
        if there is not None:
            needed, why = there * need.times(target), "measured at the size itself"
    allowed = need.allowed(target) if need.allowed is not None else None
    room = headroom(allowed, needed) if allowed is not None and needed is not None else None
    commands = book.commands(need.select, need.figure)
    return Row(need, size, line, sizes, needed, allowed, room, need.times(target), why, commands)


def rows_of(needs: Iterable[Need], book: Book, target: Target) -> list[Row]:
    """Worst headroom first; then what has no stated limit; then what was not measured."""

    def key(row: Row) -> tuple[int, float]:
        if row.room is not None:
            return 0, row.room
        return (1 if row.needed is not None else 2), 0.0

    return sorted((worked_out(need, book, target) for need in needs), key=key)


# ---- what a failure costs ----------------------------------------------------------------------------------


class Loss(msgspec.Struct, frozen=True):
    """What stops at a failure. Either `share`, a figure that says which part of the whole is still let in as
    long as it lasts, or `lost`, seconds of a gateway's part for each gateway that it meets. `without`: points
    that count as long as there are none with the mechanism; `carried` is said only of those with it."""

    failure: str
    stops: str
    select: Select
    carried: str
    missing: str = ""  # the mechanism that would carry it, where less than `ENOUGH` is let in
    share: str = ""
    lost: str = ""
    without: Select | None = None


class Cost(msgspec.Struct, frozen=True):
    """`length`: seconds; `share`: of the whole fleet's service that is lost meanwhile; `a_year`: seconds of
    the whole fleet's service. None where it was not measured."""

    loss: Loss
    failure: Failure
    length: float | None
    share: float | None
    a_year: float | None
    carried: str
    commands: list[str]


def cost_of(loss: Loss, failure: Failure, book: Book, target: Target) -> Cost:
    figure, select = loss.share or loss.lost, loss.select
    if loss.without is not None and book.figure(select, figure) is None:
        select = loss.without
    value, commands = book.figure(select, figure), book.commands(select, figure)
    if value is None:
        return Cost(loss, failure, None, None, None, UNMEASURED, [])
    part = failure.gateways / target.gateways
    if loss.share:
        length, share = failure.length_s, max(0.0, 1.0 - value) * part
        carried = loss.carried if value >= ENOUGH else f"{NONE_YET}: {loss.missing}"
    else:
        length, share, carried = value, part, loss.carried
    return Cost(loss, failure, length, share, failure.per_year * length * share, carried, commands)


def costs_of(losses: Iterable[Loss], book: Book, target: Target) -> list[Cost]:
    """The most service lost in a year first; what was not measured last."""
    by_name: dict[str, Failure] = {f.name: f for f in target.failures}
    found = [cost_of(loss, by_name[loss.failure], book, target) for loss in losses if loss.failure in by_name]
    return sorted(found, key=lambda c: -c.a_year if c.a_year is not None else math.inf)


def without(losses: Iterable[Loss]) -> list[Loss]:
    """The same failures as they are where the mechanism that carries them is not used: of those that have
    been measured so."""
    return [
        msgspec.structs.replace(loss, select=loss.without, without=None)
        for loss in losses
        if loss.without is not None
    ]


def first_missing(costs: Sequence[Cost]) -> Cost | None:
    """The costliest failure that no mechanism carries."""
    return next((c for c in costs if c.a_year and c.carried.startswith(NONE_YET)), None)


# ---- figures from before -----------------------------------------------------------------------------------


class Before(msgspec.Struct, frozen=True):
    """A figure that was handed on, from `low` to `high`, and where the same is found now."""

    what: str
    told: str
    low: float
    high: float
    now: Callable[[Book, Target], float | None]
    unit: str
    by: float = 1.5  # within this factor of it: confirmed


def verdict(before: Before, now: float | None) -> str:
    if now is None:
        return UNMEASURED
    if before.high == 0.0:
        return "confirmed" if now <= 0.01 else "corrected"
    if before.low / before.by <= now <= before.high * before.by:
        return "confirmed"
    times = now / (before.high if now > before.high else before.low)
    return f"corrected: {times:.2g} times it"
