"""Who waits, in a fixed number of cells that take turns by weight. Free of I/O, clock and chance.

Deficit round robin over cells, with cells that were idle served before those that wait all the time. A
client is in one cell by a keyed hash; the key changes now and then, so that no innocent stays beside a flood.
"""

import heapq
from collections import OrderedDict
from collections.abc import Iterator
from dataclasses import dataclass

from ledgehitch.keyed import Cells

CELLS = 1024
IN_CELL = 64  # that wait in one cell
WAITING = 8192  # in all
ROUNDING = 1e-9  # of a turn: what thirds leave over
REKEY = 20.0  # seconds after which clients share cells anew


@dataclass(slots=True)
class Waiting:
    """One that waits. `cost` is what its turn takes of a cell's share: less for what is worth more."""

    conn: int
    name: bytes
    package: str
    cost: float
    since: float
    until: float  # from then on it could not be set up any more
    cell: int = -1  # its cell's number; -1: in the line of those who go first


class _Cell:
    __slots__ = ("line", "deficit")

    def __init__(self, deficit: float) -> None:
        self.line: dict[int, Waiting] = {}
        self.deficit = deficit


class FairQueue:
    def __init__(self, secret: bytes) -> None:
        self._of, self._era = Cells(secret, CELLS), -1
        self._cells: dict[int, _Cell] = {}  # those in which somebody waits, or did at their last turn
        self._new: OrderedDict[int, None] = OrderedDict()  # were idle until now: served first
        self._old: OrderedDict[int, None] = OrderedDict()
        self._first: dict[int, Waiting] = {}  # go before all cells
        self._by_length: list[dict[int, None]] = [{} for _ in range(IN_CELL + 1)]
        self._waiting: dict[int, Waiting] = {}
        self._ends: list[tuple[float, int]] = []

    def __len__(self) -> int:
        return len(self._waiting)

    def _cell_of(self, name: bytes) -> int:
        return self._of.of(name)

    def _era_at(self, now: float) -> None:
        era = int(now // REKEY)
        if era <= self._era:  # a clock that steps back changes nothing
            return
        self._era = era
        self._of.era(era)
        waiting = sorted(self._waiting.values(), key=lambda w: (w.since, w.conn))
        self._cells, self._new, self._old = {}, OrderedDict(), OrderedDict()
        self._by_length = [{} for _ in range(IN_CELL + 1)]
        for one in waiting:
            if one.cell >= 0:
                self._line(one, self._cell_of(one.name), fresh=False)

    def _line(self, one: Waiting, number: int, fresh: bool) -> None:
        one.cell = number
        cell = self._cells.get(number)
        if cell is None:
            cell = self._cells[number] = _Cell(1.0 if fresh else 0.0)
            (self._new if fresh else self._old)[number] = None
        cell.line[one.conn] = one
        self._resized(number, len(cell.line) - 1)

    def _resized(self, number: int, before: int) -> None:
        """A cell's line was `before` long; two that fall together anew may be longer than one may grow."""
        self._by_length[min(before, IN_CELL)].pop(number, None)
        now = len(self._cells[number].line)
        if now:
            self._by_length[min(now, IN_CELL)][number] = None

    def put(self, now: float, one: Waiting, first: bool = False) -> Waiting | None:
        """Puts it in line, `first` before all cells; who has to go for it, which may be itself. One of the
        longest cell goes, its newest: a flood crowds out itself."""
        self._era_at(now)
        number = self._cell_of(one.name)
        cell = self._cells.get(number)
        if not first and cell is not None and len(cell.line) >= IN_CELL:
            return one
        out = None
        if len(self._waiting) >= WAITING:
            longest = next((next(iter(some)) for some in reversed(self._by_length) if some), None)
            if longest is None or longest == number and not first:
                return one
            out = next(reversed(self._cells[longest].line.values()))
            self.drop(out.conn)
        self._waiting[one.conn] = one
        heapq.heappush(self._ends, (one.until, one.conn))
        if first:
            self._first[one.conn] = one
        else:
            self._line(one, number, fresh=True)
        return out

    def drop(self, conn: int) -> Waiting | None:
        """It waits no longer, and nothing of it stays in line."""
        one = self._waiting.pop(conn, None)
        if one is not None and one.cell < 0:
            del self._first[conn]
        elif one is not None:
            line = self._cells[one.cell].line
            del line[conn]
            self._resized(one.cell, len(line) + 1)
        return one

    def overdue(self, now: float) -> Iterator[Waiting]:
        """Those that could not be set up in time any more, taken out."""
        while self._ends and self._ends[0][0] <= now:
            _, conn = heapq.heappop(self._ends)
            one = self._waiting.get(conn)
            if one is not None and one.until <= now:
                self.drop(conn)
                yield one

    def next(self, now: float) -> Waiting | None:
        """Who is let in next, taken out."""
        self._era_at(now)
        if self._first:
            return self.drop(next(iter(self._first)))
        while True:
            turns = self._new or self._old
            if not turns:
                return None
            number = next(iter(turns))
            cell = self._cells[number]
            if not cell.line:
                del turns[number]
                if turns is self._new and self._old:
                    self._old[number] = None  # not new again by being empty for a moment
                else:
                    self._old.pop(number, None)
                    del self._cells[number]
                continue
            if cell.deficit <= ROUNDING:
                cell.deficit += 1.0
                del turns[number]
                self._old[number] = None
                continue
            one = next(iter(cell.line.values()))
            cell.deficit -= one.cost
            return self.drop(one.conn)

    def wake_at(self) -> float | None:
        return self._ends[0][0] if self._ends else None
