"""Reports into counts by window, rack and title, in bounded memory. Free of I/O, clock and chance.

A viewing counts once a window, as good or bad, so that no player moves a count by more than one. Players'
clocks are used for differences only, each held against the gateway's own time. Tables of one gateway are
replaced by newer ones of the same gateway: merging is commutative, associative and idempotent.
"""

from collections import OrderedDict
from collections.abc import Iterator
from dataclasses import dataclass, field
from typing import Any

import msgspec
from ddsketch.mapping import LogarithmicMapping

from ledgehitch.keyed import RecentKeys
from ledgehitch.quality.facts import Report, Seen

WINDOW = 10.0  # seconds of the gateway's time in one window
ALLOWANCE = 30.0  # seconds by which a report may be late and still count
KEPT = 60  # windows that are kept
MOST_VIEWINGS = 50_000  # whose clocks are followed; the one heard of longest ago is let go
MOST_CELLS = 20_000  # of rack and title in a window; further titles count as OTHERS
MOST_SIDES = 2_000  # groups of one kind in a window whose start times are kept as sketches; the same
OTHERS = "(others)"
FORM = 4  # of what is kept on disk; another form is not read
DOUBLES, ERROR = 400_000, 1e-4  # reports remembered, at least; share wrongly taken for doubles
RUNS, JUMPS = 0.05, 2.0  # a clock that runs so much too fast or slow, or jumps so many seconds, is marked
LONG_ENOUGH = 8.0  # seconds over which a clock's rate is judged
STALLED = 0.01  # share of the time in stalls from which a viewing is bad
SLOW_START = 2.0  # join targets from which a start is bad
MANY_DROPS = 2  # rung drops in one report from which it is bad


class Cell(msgspec.Struct):
    """Counts of one rack and title in one window."""

    viewings: int = 0
    bad: int = 0
    stalled: int = 0
    slow: int = 0
    dropped: int = 0

    def add(self, other: "Cell") -> None:
        for name in Cell.__struct_fields__:
            setattr(self, name, getattr(self, name) + getattr(other, name))


Table = dict[str, Cell]  # by "rack\ttitle"
KINDS = ("rack", "title", "package", "rung")
STARTS = LogarithmicMapping(0.05)  # start times are kept to 5% of themselves


class Side(Cell):
    """Counts of one rack, title, package or rung in one window. `start` sums the starts' milliseconds,
    `sketch` counts them by the mapping's key."""

    start: int = 0
    sketch: dict[int, int] = {}

    @property
    def starts(self) -> int:
        return sum(self.sketch.values())

    def merge(self, other: "Side") -> None:
        self.add(other)
        self.start += other.start
        for key, n in other.sketch.items():
            self.sketch[key] = self.sketch.get(key, 0) + n

    def started(self, milliseconds: int) -> None:
        self.start += milliseconds
        key = STARTS.key(max(1.0, float(milliseconds)))
        self.sketch[key] = self.sketch.get(key, 0) + 1

    def start_at(self, share: float) -> float | None:
        """The start time, milliseconds, that `share` of the starts do not exceed, to 5%; None without any."""
        rank, passed = share * (self.starts - 1), 0
        for key in sorted(self.sketch):
            passed += self.sketch[key]
            if passed > rank:
                return float(STARTS.value(key))
        return None


class Window(msgspec.Struct):
    """One window of one gateway: by rack and title together, and by each kind of group ("kind\tname")."""

    cells: dict[str, Cell] = {}
    sides: dict[str, Side] = {}


@dataclass(slots=True)
class _Clock:
    seen: Seen
    offset: float | None = None  # least of (gateway's time - player's time): the delay-free one
    first_ts: float = 0.0
    last_ts: float = 0.0
    last_sn: int = -1
    marked: str = ""
    windows: dict[int, int] = field(default_factory=dict)  # what it counts as, by window: bits
    rungs: dict[int, int] = field(default_factory=dict)  # the rung that it counts under, by window
    stalls: dict[int, float] = field(default_factory=dict)


BITS = {"stalled": 1, "slow": 2, "dropped": 4}


@dataclass
class Counts:
    taken: int = 0
    doubles: int = 0
    late: int = 0
    unknown: int = 0
    marked: dict[str, int] = field(default_factory=dict)  # reports of players whose clocks cannot be used
    impossible: int = 0  # durations longer than the time that passed


class Tally:
    """One gateway's counts, and the newest tables that others told. `life` rises with each start."""

    def __init__(self, source: str, life: int) -> None:
        self.source, self.life = source, life
        self.counts = Counts()
        self.clocks: OrderedDict[str, _Clock] = OrderedDict()
        self.windows: dict[int, Window] = {}
        self.changes = 0  # reports that were counted
        self.versions: dict[int, int] = {}  # by window: `changes` when it last changed
        # By source and window: life, version, window.
        self.others: dict[str, dict[int, tuple[int, int, Window]]] = {}
        self._doubles = RecentKeys(DOUBLES, ERROR)

    # ---- reports -------------------------------------------------------------------------------------------

    def admitted(self, viewing: str, seen: Seen) -> None:
        self.clocks[viewing] = _Clock(seen)
        self.clocks.move_to_end(viewing)
        while len(self.clocks) > MOST_VIEWINGS:
            self.clocks.popitem(last=False)

    def reported(self, now: float, viewing: str, report: Report, seen: Seen | None = None) -> str:
        """Takes one report; what became of it: taken, double, late, unknown, or why it is marked.
        `seen`: what the gateway saw of the viewing, for one that is not known here yet."""
        clock = self.clocks.get(viewing)
        if clock is None and seen is not None:
            self.admitted(viewing, seen)
            clock = self.clocks[viewing]
        if clock is None:
            self.counts.unknown += 1
            return "unknown"
        if self._doubles.check_and_add(f"{viewing}/{report.sn}".encode()):
            self.counts.doubles += 1
            return "double"
        at = self._when(now, clock, report)
        self._held_against(now, clock, report)
        if clock.marked:
            self.counts.marked[clock.marked] = self.counts.marked.get(clock.marked, 0) + 1
            return clock.marked
        if at < now - ALLOWANCE:
            self.counts.late += 1
            return "late"
        self._count(clock, report, at)
        self.counts.taken += 1
        return "taken"

    def _when(self, now: float, clock: _Clock, report: Report) -> float:
        """When the report was made, in the gateway's time: by the least delay seen, never in the future."""
        ts = report.ts / 1000
        offset = now - ts
        if clock.offset is None:
            clock.offset, clock.first_ts = offset, ts
        elif offset < clock.offset:
            clock.offset = offset
        return max(min(now, ts + clock.offset), clock.seen.answered_at)

    def _held_against(self, now: float, clock: _Clock, report: Report) -> None:
        ts = report.ts / 1000
        newer = report.sn > clock.last_sn
        if clock.last_sn >= 0 and newer:
            if ts < clock.last_ts - JUMPS:
                clock.marked = clock.marked or "its clock jumps back"
            elif ts == clock.last_ts:
                clock.marked = clock.marked or "its clock stands still"
        # Guards against players that hold their first reports back: what passed is counted from the answer,
        # before which no report was made, not from when the first one came.
        ran, passed = ts - clock.first_ts, now - clock.seen.answered_at
        if passed > LONG_ENOUGH and newer and ran > passed * (1 + RUNS) + JUMPS:
            clock.marked = clock.marked or "its clock runs fast or jumps ahead"
        if newer:
            clock.last_sn, clock.last_ts = report.sn, ts
        if report.msd is not None and report.msd / 1000 > now - clock.seen.asked_at + 0.5:
            self.counts.impossible += 1
            clock.marked = clock.marked or "it started before it asked"
        if sum(report.bsd) / 1000 > now - clock.seen.answered_at + 0.5:
            self.counts.impossible += 1
            clock.marked = clock.marked or "it stalls longer than it plays"

    def _count(self, clock: _Clock, report: Report, at: float) -> None:
        window = int(at // WINDOW)
        seen = clock.seen
        bits = 0
        clock.stalls[window] = clock.stalls.get(window, 0.0) + sum(report.bsd) / 1000
        if clock.stalls[window] > STALLED * WINDOW:
            bits |= BITS["stalled"]
        slow = report.msd is not None and report.msd / 1000 > SLOW_START * seen.join_target
        bits |= BITS["slow"] * slow | BITS["dropped"] * (report.drops >= MANY_DROPS)
        before = clock.windows.get(window, -1)
        rung = clock.rungs.setdefault(window, report.rung)
        had = max(0, before)
        cell, sides = self._counts(window, seen, rung)
        for counts in (cell, *sides):
            counts.viewings += before < 0
            counts.bad += bool(bits) and not had
            for name, bit in BITS.items():
                if bits & bit and not had & bit:
                    setattr(counts, name, getattr(counts, name) + 1)
        if report.msd is not None and report.sn == 0:
            for side in sides:
                side.started(report.msd)
        clock.windows[window] = had | bits
        while len(clock.windows) > 6:
            oldest = min(clock.windows)
            for held in (clock.windows, clock.rungs, clock.stalls):
                held.pop(oldest, None)
        self.changes += 1
        self.versions[window] = self.changes

    def _counts(self, window: int, seen: Seen, rung: int) -> tuple[Cell, list[Side]]:
        """All that a viewing counts in: its rack and title together, and each group that it is of."""
        held = self.windows.get(window)
        if held is None:
            held = self.windows[window] = Window()
            while len(self.windows) > KEPT:
                oldest = min(self.windows)
                del self.windows[oldest], self.versions[oldest]
        key = f"{seen.rack}\t{seen.title}"
        if key not in held.cells and len(held.cells) >= MOST_CELLS:
            key = f"{seen.rack}\t{OTHERS}"
        sides = []
        for kind, name in zip(KINDS, (seen.rack, seen.title, seen.package, str(rung)), strict=True):
            group = f"{kind}\t{name}"
            if kind == "title" and group not in held.sides and len(held.sides) >= MOST_SIDES:
                group = f"{kind}\t{OTHERS}"
            sides.append(held.sides.setdefault(group, Side()))
        return held.cells.setdefault(key, Cell()), sides

    # ---- exchange ------------------------------------------------------------------------------------------

    def summaries(self, life: int = 0, after: int = 0) -> Iterator[tuple[str, int, int, int, Window]]:
        """Own windows as they are told to others: source, window, life, version, window. All of them, or to
        who heard of the first `after` changes in this life those that changed since."""
        for window, held in self.windows.items():
            if life != self.life or self.versions[window] > after:
                yield self.source, window, self.life, self.versions[window], held

    def merge(self, source: str, window: int, life: int, version: int, told: Window) -> bool:
        """Takes another gateway's window if it is newer than what is known; whether it was."""
        if source == self.source:
            return False
        held = self.others.setdefault(source, {})
        known = held.get(window)
        if known is not None and (life, version) <= known[:2]:
            return False
        held[window] = life, version, told
        while len(held) > KEPT:
            del held[min(held)]
        return True

    def forget(self, before: int) -> None:
        """Lets go of windows before this one that others told, and of who told no later one: a gateway that
        left is not remembered for ever."""
        for source in list(self.others):
            held = self.others[source]
            for window in [w for w in held if w < before]:
                del held[window]
            if not held:
                del self.others[source]

    def _within(self, first: int, last: int) -> Iterator[Window]:
        yield from (held for w, held in self.windows.items() if first <= w < last)
        for told in self.others.values():
            yield from (t[2] for w, t in told.items() if first <= w < last)

    def total(self, first: int, last: int) -> Table:
        """Counts of all gateways over windows from `first` up to `last`, not included."""
        out: Table = {}
        for window in self._within(first, last):
            for key, cell in window.cells.items():
                out.setdefault(key, Cell()).add(cell)
        return out

    def groups(self, first: int, last: int) -> dict[str, dict[str, Side]]:
        """The same by kind of group and name, with sketches of start times."""
        out: dict[str, dict[str, Side]] = {kind: {} for kind in KINDS}
        for window in self._within(first, last):
            for key, side in window.sides.items():
                kind, _, name = key.partition("\t")
                out.setdefault(kind, {}).setdefault(name, Side()).merge(side)
        return out

    # ---- for the file --------------------------------------------------------------------------------------

    def frozen(self) -> dict[str, Any]:
        """All that a restart needs so that nothing counts twice: tables, filters, clocks."""
        return {
            "source": self.source,
            "life": self.life,
            "windows": self.windows,
            "versions": self.versions,
            "others": self.others,
            "counts": self.counts,
            "doubles": self._doubles.snapshot(),
            "form": FORM,
            "clocks": dict(self.clocks),
        }

    @classmethod
    def thawed(cls, held: Any, life: int) -> "Tally":
        """What was kept, in a new life: own tables are told anew under it and replace what others hold."""
        data = msgspec.convert(held, _Kept)
        if data.form != FORM:
            raise ValueError(f"form {data.form}, this program writes {FORM}")
        tally = cls(data.source, max(life, data.life + 1))
        tally.windows, tally.versions, tally.others = data.windows, data.versions, data.others
        tally.counts, tally.changes = data.counts, max(data.versions.values(), default=0)
        tally._doubles.restore(data.doubles)
        tally.clocks = OrderedDict(data.clocks)
        return tally


class _Kept(msgspec.Struct):
    form: int
    source: str
    life: int
    windows: dict[int, Window]
    versions: dict[int, int]
    others: dict[str, dict[int, tuple[int, int, Window]]]
    counts: Counts
    doubles: list[Any]
    clocks: dict[str, _Clock]
