"""Aggregates reports by window, rack and title in bounded memory. Free of I/O, clock and randomness.

A viewing counts once in each window, as good or bad, so that no player changes a count by more than one. Only
differences of players' clocks are used, and they are checked against the gateway's own time. A newer table of
a gateway replaces its older one, so that merging is commutative, associative and idempotent.
"""

from collections import OrderedDict
from collections.abc import Iterator
from dataclasses import dataclass, field
from typing import Any

import msgspec
from ddsketch.mapping import LogarithmicMapping

from ledgehitch.keyed_hashes import RecentKeys
from ledgehitch.quality.facts import Report, ViewingRecord

WINDOW_S = 10.0  # seconds of the gateway's time in one window
MAX_DELAY_S = 30.0  # seconds by which a report may be late and still count
STORED_WINDOWS = 60  # windows that are stored
MAX_VIEWINGS = 50_000  # tracked viewings; the least recently admitted is evicted
MAX_CELLS = 20_000  # cells of rack and title in a window; further titles count as OTHERS
MAX_GROUPS = 2_000  # groups of one kind in a window; further titles count as OTHERS
OTHERS = "(others)"
FORMAT_VERSION = 4  # version of the snapshot format; other versions are not read
# Reports that are remembered, at least, and the share of new reports that are taken for duplicates.
REMEMBERED_REPORTS, DUPLICATE_ERROR = 400_000, 1e-4
# The rate error and the jump of a player's clock above which the player is marked.
MAX_RATE_ERROR, MAX_JUMP_S = 0.05, 2.0
MIN_RATE_TIME_S = 8.0  # shortest time in seconds over which a clock's rate is checked
MAX_STALL_SHARE = 0.01  # share of a window spent in stalls above which a viewing is bad
SLOW_START_FACTOR = 2.0  # multiple of the join target above which a start is bad
MIN_BAD_DROPS = 2  # rung drops in one report from which a viewing is bad


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
STARTS = LogarithmicMapping(0.05)  # start times are stored with a relative accuracy of 5%


class GroupCounts(Cell):
    """Counts of one rack, title, package or rung in one window.

    `start` is the sum of the start times in milliseconds, `sketch` their histogram by the mapping's key.
    """

    start: int = 0
    sketch: dict[int, int] = {}

    @property
    def starts(self) -> int:
        return sum(self.sketch.values())

    def merge(self, other: "GroupCounts") -> None:
        self.add(other)
        self.start += other.start
        for key, n in other.sketch.items():
            self.sketch[key] = self.sketch.get(key, 0) + n

    def started(self, milliseconds: int) -> None:
        self.start += milliseconds
        key = STARTS.key(max(1.0, float(milliseconds)))
        self.sketch[key] = self.sketch.get(key, 0) + 1

    def start_at(self, share: float) -> float | None:
        """Returns the quantile `share` of the start times in milliseconds, to 5%; None without any."""
        rank, cumulative = share * (self.starts - 1), 0
        for key in sorted(self.sketch):
            cumulative += self.sketch[key]
            if cumulative > rank:
                return float(STARTS.value(key))
        return None


class Window(msgspec.Struct):
    """One window of one gateway: cells by rack and title, and counts by kind of group ("kind\tname")."""

    cells: dict[str, Cell] = {}
    sides: dict[str, GroupCounts] = {}


@dataclass(slots=True)
class _PlayerClock:
    """The clock of a player, and what its viewing counts as."""

    seen: ViewingRecord
    offset: float | None = None  # smallest (gateway's time - player's time), which has the least delay
    first_ts: float = 0.0
    last_ts: float = 0.0
    last_sn: int = -1
    marked: str = ""
    windows: dict[int, int] = field(default_factory=dict)  # by window: the bits of `BITS` that are counted
    rungs: dict[int, int] = field(default_factory=dict)  # by window: the rung under which it is counted
    stalls: dict[int, float] = field(default_factory=dict)  # by window: seconds of stalls


BITS = {"stalled": 1, "slow": 2, "dropped": 4}


@dataclass
class Counts:
    """Reports by result."""

    taken: int = 0
    doubles: int = 0
    late: int = 0
    unknown: int = 0
    marked: dict[str, int] = field(default_factory=dict)  # reports of players with implausible clocks
    impossible: int = 0  # durations longer than the elapsed time


class Tally:
    """One gateway's counts, and the latest tables of other gateways. `life` grows with each start."""

    def __init__(self, source: str, life: int) -> None:
        self.source, self.life = source, life
        self.counts = Counts()
        self.clocks: OrderedDict[str, _PlayerClock] = OrderedDict()
        self.windows: dict[int, Window] = {}
        self.change_count = 0  # counted reports
        self.versions: dict[int, int] = {}  # by window: value of `change_count` at its last change
        # By source and window: life, version, counts.
        self.peers: dict[str, dict[int, tuple[int, int, Window]]] = {}
        self._seen_reports = RecentKeys(REMEMBERED_REPORTS, DUPLICATE_ERROR)

    # ---- reports -------------------------------------------------------------------------------------------

    def on_viewing_admitted(self, viewing: str, seen: ViewingRecord) -> None:
        """A viewing was admitted; evicts the oldest ones above the limit."""
        self.clocks[viewing] = _PlayerClock(seen)
        self.clocks.move_to_end(viewing)
        while len(self.clocks) > MAX_VIEWINGS:
            self.clocks.popitem(last=False)

    def on_report(self, now: float, viewing: str, report: Report, seen: ViewingRecord | None = None) -> str:
        """Counts one report; returns "taken", "double", "late", "unknown" or why the player is marked.

        `seen` is the gateway's record of the viewing, in case the viewing is not known here.
        """
        clock = self.clocks.get(viewing)
        if clock is None and seen is not None:
            self.on_viewing_admitted(viewing, seen)
            clock = self.clocks[viewing]
        if clock is None:
            self.counts.unknown += 1
            return "unknown"
        if self._seen_reports.check_and_add(f"{viewing}/{report.sn}".encode()):
            self.counts.doubles += 1
            return "double"
        at = self._report_time(now, clock, report)
        self._check_clock(now, clock, report)
        if clock.marked:
            self.counts.marked[clock.marked] = self.counts.marked.get(clock.marked, 0) + 1
            return clock.marked
        if at < now - MAX_DELAY_S:
            self.counts.late += 1
            return "late"
        self._count(clock, report, at)
        self.counts.taken += 1
        return "taken"

    def _report_time(self, now: float, clock: _PlayerClock, report: Report) -> float:
        """Returns when the report was made in the gateway's time, by the smallest delay, at most `now`."""
        ts = report.ts / 1000
        offset = now - ts
        if clock.offset is None:
            clock.offset, clock.first_ts = offset, ts
        elif offset < clock.offset:
            clock.offset = offset
        return max(min(now, ts + clock.offset), clock.seen.answered_at)

    def _check_clock(self, now: float, clock: _PlayerClock, report: Report) -> None:
        ts = report.ts / 1000
        newer = report.sn > clock.last_sn
        if clock.last_sn >= 0 and newer:
            if ts < clock.last_ts - MAX_JUMP_S:
                clock.marked = clock.marked or "its clock jumps back"
            elif ts == clock.last_ts:
                clock.marked = clock.marked or "its clock stands still"
        # A player may hold its first reports back, so the elapsed time counts from the answer, before which
        # no report was made, rather than from the arrival of the first one.
        player_elapsed, elapsed = ts - clock.first_ts, now - clock.seen.answered_at
        if (
            elapsed > MIN_RATE_TIME_S
            and newer
            and player_elapsed > elapsed * (1 + MAX_RATE_ERROR) + MAX_JUMP_S
        ):
            clock.marked = clock.marked or "its clock runs fast or jumps ahead"
        if newer:
            clock.last_sn, clock.last_ts = report.sn, ts
        if report.msd is not None and report.msd / 1000 > now - clock.seen.asked_at + 0.5:
            self.counts.impossible += 1
            clock.marked = clock.marked or "it started before it asked"
        if sum(report.bsd) / 1000 > now - clock.seen.answered_at + 0.5:
            self.counts.impossible += 1
            clock.marked = clock.marked or "it stalls longer than it plays"

    def _count(self, clock: _PlayerClock, report: Report, at: float) -> None:
        window = int(at // WINDOW_S)
        seen = clock.seen
        bits = 0
        clock.stalls[window] = clock.stalls.get(window, 0.0) + sum(report.bsd) / 1000
        if clock.stalls[window] > MAX_STALL_SHARE * WINDOW_S:
            bits |= BITS["stalled"]
        slow = report.msd is not None and report.msd / 1000 > SLOW_START_FACTOR * seen.join_target
        bits |= BITS["slow"] * slow | BITS["dropped"] * (report.drops >= MIN_BAD_DROPS)
        before = clock.windows.get(window, -1)
        rung = clock.rungs.setdefault(window, report.rung)
        counted = max(0, before)
        cell, sides = self._counts_of(window, seen, rung)
        for counts in (cell, *sides):
            counts.viewings += before < 0
            counts.bad += bool(bits) and not counted
            for name, bit in BITS.items():
                if bits & bit and not counted & bit:
                    setattr(counts, name, getattr(counts, name) + 1)
        if report.msd is not None and report.sn == 0:
            for side in sides:
                side.started(report.msd)
        clock.windows[window] = counted | bits
        while len(clock.windows) > 6:
            oldest = min(clock.windows)
            for stored in (clock.windows, clock.rungs, clock.stalls):
                stored.pop(oldest, None)
        self.change_count += 1
        self.versions[window] = self.change_count

    def _counts_of(self, window: int, seen: ViewingRecord, rung: int) -> tuple[Cell, list[GroupCounts]]:
        """Returns the counts of a viewing: the cell of its rack and title, and each of its groups."""
        stored = self.windows.get(window)
        if stored is None:
            stored = self.windows[window] = Window()
            while len(self.windows) > STORED_WINDOWS:
                oldest = min(self.windows)
                del self.windows[oldest], self.versions[oldest]
        key = f"{seen.rack}\t{seen.title}"
        if key not in stored.cells and len(stored.cells) >= MAX_CELLS:
            key = f"{seen.rack}\t{OTHERS}"
        sides = []
        for kind, name in zip(KINDS, (seen.rack, seen.title, seen.package, str(rung)), strict=True):
            group = f"{kind}\t{name}"
            if kind == "title" and group not in stored.sides and len(stored.sides) >= MAX_GROUPS:
                group = f"{kind}\t{OTHERS}"
            sides.append(stored.sides.setdefault(group, GroupCounts()))
        return stored.cells.setdefault(key, Cell()), sides

    # ---- exchange ------------------------------------------------------------------------------------------

    def summaries(self, life: int = 0, after: int = 0) -> Iterator[tuple[str, int, int, int, Window]]:
        """Yields the own windows for other gateways: source, window, life, version and counts.

        For a receiver that has the first `after` changes of this life, it yields only windows that changed
        since.
        """
        for window, stored in self.windows.items():
            if life != self.life or self.versions[window] > after:
                yield self.source, window, self.life, self.versions[window], stored

    def merge(self, source: str, window: int, life: int, version: int, received: Window) -> bool:
        """Stores another gateway's window if it is newer than the known one; returns whether it was."""
        if source == self.source:
            return False
        stored = self.peers.setdefault(source, {})
        known = stored.get(window)
        if known is not None and (life, version) <= known[:2]:
            return False
        stored[window] = life, version, received
        while len(stored) > STORED_WINDOWS:
            del stored[min(stored)]
        return True

    def remove_before(self, before: int) -> None:
        """Removes other gateways' windows before this one, and gateways without later ones.

        Otherwise gateways that left would be held for ever.
        """
        for source in list(self.peers):
            stored = self.peers[source]
            for window in [w for w in stored if w < before]:
                del stored[window]
            if not stored:
                del self.peers[source]

    def _windows_between(self, first: int, last: int) -> Iterator[Window]:
        yield from (stored for w, stored in self.windows.items() if first <= w < last)
        for received in self.peers.values():
            yield from (t[2] for w, t in received.items() if first <= w < last)

    def totals(self, first: int, last: int) -> Table:
        """Returns the counts of all gateways over the windows from `first` to `last`, exclusive."""
        out: Table = {}
        for window in self._windows_between(first, last):
            for key, cell in window.cells.items():
                out.setdefault(key, Cell()).add(cell)
        return out

    def groups(self, first: int, last: int) -> dict[str, dict[str, GroupCounts]]:
        """Returns the same by kind of group and name, with sketches of start times."""
        out: dict[str, dict[str, GroupCounts]] = {kind: {} for kind in KINDS}
        for window in self._windows_between(first, last):
            for key, side in window.sides.items():
                kind, _, name = key.partition("\t")
                out.setdefault(kind, {}).setdefault(name, GroupCounts()).merge(side)
        return out

    # ---- snapshot ------------------------------------------------------------------------------------------

    def snapshot(self) -> dict[str, Any]:
        """Returns what a restart needs so that no report counts twice: tables, filters, clocks."""
        return {
            "source": self.source,
            "life": self.life,
            "windows": self.windows,
            "versions": self.versions,
            "others": self.peers,
            "counts": self.counts,
            "doubles": self._seen_reports.snapshot(),
            "form": FORMAT_VERSION,
            "clocks": dict(self.clocks),
        }

    @classmethod
    def restore(cls, stored: Any, life: int) -> "Tally":
        """Restores a snapshot in a new life, under which the own tables replace those that others hold."""
        data = msgspec.convert(stored, _Snapshot)
        if data.form != FORMAT_VERSION:
            raise ValueError(f"snapshot format {data.form}, expected {FORMAT_VERSION}")
        tally = cls(data.source, max(life, data.life + 1))
        tally.windows, tally.versions, tally.peers = data.windows, data.versions, data.others
        tally.counts, tally.change_count = data.counts, max(data.versions.values(), default=0)
        tally._seen_reports.restore(data.doubles)
        tally.clocks = OrderedDict(data.clocks)
        return tally


class _Snapshot(msgspec.Struct):
    form: int
    source: str
    life: int
    windows: dict[int, Window]
    versions: dict[int, int]
    others: dict[str, dict[int, tuple[int, int, Window]]]
    counts: Counts
    doubles: list[Any]
    clocks: dict[str, _PlayerClock]
