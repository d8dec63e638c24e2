"""Weighted fair queue with a fixed number of cells. Free of I/O, clock and randomness.

Deficit round robin over the cells; cells that were idle are served before those with a backlog. A keyed hash
assigns each client to a cell. The key changes periodically, so that no client shares a cell with a flooding
one for long.
"""

import heapq
from collections import OrderedDict
from collections.abc import Iterator
from dataclasses import dataclass

from ledgehitch.keyed_hashes import CellHash

CELLS = 1024
CELL_CAPACITY = 64  # queued requests in one cell
QUEUE_CAPACITY = 8192  # queued requests in all cells
ROUNDING = 1e-9  # rounding error of the deficit, for costs such as one third
REKEY_PERIOD_S = 20.0  # seconds after which clients are assigned to cells anew


@dataclass(slots=True)
class QueuedRequest:
    """A queued request. Serving it takes `cost` of its cell's deficit: less for a package of more value."""

    conn: int
    name: bytes
    package: str
    cost: float
    queued_at: float
    expires_at: float  # when it is too late to set it up
    cell: int = -1  # number of its cell; -1: in the priority queue


class _Cell:
    __slots__ = ("requests", "deficit")

    def __init__(self, deficit: float) -> None:
        self.requests: dict[int, QueuedRequest] = {}
        self.deficit = deficit


class FairQueue:
    """The queue of one gateway, at most `QUEUE_CAPACITY` requests."""

    def __init__(self, secret: bytes) -> None:
        self._cell_hash, self._epoch = CellHash(secret, CELLS), -1
        self._cells: dict[int, _Cell] = {}  # cells that hold requests, or did when they were last served
        # Cells that were idle until now, which are served first, and cells with a backlog.
        self._newly_active: OrderedDict[int, None] = OrderedDict()
        self._backlogged: OrderedDict[int, None] = OrderedDict()
        self._priority: dict[int, QueuedRequest] = {}  # the priority queue, served before all cells
        self._by_length: list[dict[int, None]] = [{} for _ in range(CELL_CAPACITY + 1)]
        self._queued: dict[int, QueuedRequest] = {}
        self._expiries: list[tuple[float, int]] = []

    def __len__(self) -> int:
        return len(self._queued)

    def _cell_number(self, name: bytes) -> int:
        return self._cell_hash.cell_of(name)

    def _update_epoch(self, now: float) -> None:
        epoch = int(now // REKEY_PERIOD_S)
        if epoch <= self._epoch:  # also when the clock steps back
            return
        self._epoch = epoch
        self._cell_hash.start_epoch(epoch)
        queued = sorted(self._queued.values(), key=lambda w: (w.queued_at, w.conn))
        self._cells, self._newly_active, self._backlogged = {}, OrderedDict(), OrderedDict()
        self._by_length = [{} for _ in range(CELL_CAPACITY + 1)]
        for request in queued:
            if request.cell >= 0:
                self._append(request, self._cell_number(request.name), fresh=False)

    def _append(self, request: QueuedRequest, number: int, fresh: bool) -> None:
        request.cell = number
        cell = self._cells.get(number)
        if cell is None:
            cell = self._cells[number] = _Cell(1.0 if fresh else 0.0)
            (self._newly_active if fresh else self._backlogged)[number] = None
        cell.requests[request.conn] = request
        self._update_length(number, len(cell.requests) - 1)

    def _update_length(self, number: int, before: int) -> None:
        """Updates the index by length for a cell that held `before` requests.

        After a key change, two cells that fall together may hold more than `CELL_CAPACITY` requests.
        """
        self._by_length[min(before, CELL_CAPACITY)].pop(number, None)
        now = len(self._cells[number].requests)
        if now:
            self._by_length[min(now, CELL_CAPACITY)][number] = None

    def put(self, now: float, request: QueuedRequest, first: bool = False) -> QueuedRequest | None:
        """Queues a request; `first` puts it into the priority queue.

        Returns the request that is dropped for it, if any, which may be the new one itself. When the queue is
        full, the newest request of the longest cell is dropped, so that a flood displaces only itself.
        """
        self._update_epoch(now)
        number = self._cell_number(request.name)
        cell = self._cells.get(number)
        if not first and cell is not None and len(cell.requests) >= CELL_CAPACITY:
            return request
        dropped = None
        if len(self._queued) >= QUEUE_CAPACITY:
            longest = next((next(iter(cells)) for cells in reversed(self._by_length) if cells), None)
            if longest is None or longest == number and not first:
                return request
            dropped = next(reversed(self._cells[longest].requests.values()))
            self.remove(dropped.conn)
        self._queued[request.conn] = request
        heapq.heappush(self._expiries, (request.expires_at, request.conn))
        if first:
            self._priority[request.conn] = request
        else:
            self._append(request, number, fresh=True)
        return dropped

    def remove(self, conn: int) -> QueuedRequest | None:
        """Removes a request from the queue and returns it, or None if it is not queued."""
        request = self._queued.pop(conn, None)
        if request is not None and request.cell < 0:
            del self._priority[conn]
        elif request is not None:
            requests = self._cells[request.cell].requests
            del requests[conn]
            self._update_length(request.cell, len(requests) + 1)
        return request

    def pop_expired(self, now: float) -> Iterator[QueuedRequest]:
        """Removes and yields the requests that can no longer be set up in time."""
        while self._expiries and self._expiries[0][0] <= now:
            _, conn = heapq.heappop(self._expiries)
            request = self._queued.get(conn)
            if request is not None and request.expires_at <= now:
                self.remove(conn)
                yield request

    def pop_next(self, now: float) -> QueuedRequest | None:
        """Removes and returns the request to admit next, or None if the queue is empty."""
        self._update_epoch(now)
        if self._priority:
            return self.remove(next(iter(self._priority)))
        while True:
            round = self._newly_active or self._backlogged
            if not round:
                return None
            number = next(iter(round))
            cell = self._cells[number]
            if not cell.requests:
                del round[number]
                if round is self._newly_active and self._backlogged:
                    self._backlogged[number] = None  # being empty for a moment does not make a cell idle
                else:
                    self._backlogged.pop(number, None)
                    del self._cells[number]
                continue
            if cell.deficit <= ROUNDING:
                cell.deficit += 1.0
                del round[number]
                self._backlogged[number] = None
                continue
            request = next(iter(cell.requests.values()))
            cell.deficit -= request.cost
            return self.remove(request.conn)

    def wake_at(self) -> float | None:
        return self._expiries[0][0] if self._expiries else None
