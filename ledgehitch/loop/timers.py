"""A queue of timers in the order in which they fall due. Free of I/O and clock."""

import heapq
from collections.abc import Callable


class Timer:
    """A call due at some time. A cancelled timer stays in the heap until it is popped or compacted away."""

    __slots__ = ("call",)

    def __init__(self, call: Callable[[], None]) -> None:
        self.call: Callable[[], None] | None = call


class Timers:
    """A heap of timers; timers due at the same time run in the order in which they were set."""

    def __init__(self) -> None:
        self._heap: list[tuple[float, int, Timer]] = []  # due time and sequence number
        self._sequence = 0
        self._cancelled = 0

    def __len__(self) -> int:
        return len(self._heap) - self._cancelled

    def set(self, at: float, call: Callable[[], None]) -> Timer:
        self._sequence += 1
        timer = Timer(call)
        heapq.heappush(self._heap, (at, self._sequence, timer))
        return timer

    def cancel(self, timer: Timer) -> None:
        if timer.call is None:
            return
        timer.call = None
        self._cancelled += 1
        # Most deadlines are cancelled: without compaction they would fill the heap until they fall due.
        if self._cancelled > 64 and self._cancelled > len(self._heap) // 2:
            self._heap = [entry for entry in self._heap if entry[2].call is not None]
            heapq.heapify(self._heap)
            self._cancelled = 0

    def next_at(self) -> float | None:
        """Returns when the next timer falls due, on the clock of `set`; None without timers."""
        while self._heap and self._heap[0][2].call is None:
            heapq.heappop(self._heap)
            self._cancelled -= 1
        return self._heap[0][0] if self._heap else None

    def pop_due(self, now: float) -> list[tuple[float, Callable[[], None]]]:
        """Removes the due timers and returns their due times and calls. Timers that these set run later."""
        calls: list[tuple[float, Callable[[], None]]] = []
        while (at := self.next_at()) is not None and at <= now:
            timer = heapq.heappop(self._heap)[2]
            if timer.call is not None:
                calls.append((at, timer.call))
                timer.call = None
        return calls
