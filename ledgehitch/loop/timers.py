"""Timers in the order they fall due, free of I/O and clock."""

import heapq
from collections.abc import Callable


class Timer:
    """A call that is due at a time; cancelled ones stay in the heap until they surface or it is swept."""

    __slots__ = ("call",)

    def __init__(self, call: Callable[[], None]) -> None:
        self.call: Callable[[], None] | None = call


class Timers:
    """A heap of timers; of two due at once the one set first goes first."""

    def __init__(self) -> None:
        self._heap: list[tuple[float, int, Timer]] = []  # when, and in which order it was set
        self._order = 0
        self._dead = 0

    def __len__(self) -> int:
        return len(self._heap) - self._dead

    def set(self, at: float, call: Callable[[], None]) -> Timer:
        self._order += 1
        timer = Timer(call)
        heapq.heappush(self._heap, (at, self._order, timer))
        return timer

    def cancel(self, timer: Timer) -> None:
        if timer.call is None:
            return
        timer.call = None
        self._dead += 1
        # Guards against deadlines that are nearly always cancelled filling the heap until they fall due.
        if self._dead > 64 and self._dead > len(self._heap) // 2:
            self._heap = [entry for entry in self._heap if entry[2].call is not None]
            heapq.heapify(self._heap)
            self._dead = 0

    def next_at(self) -> float | None:
        """When the next timer falls due, in the clock's seconds; None without one."""
        while self._heap and self._heap[0][2].call is None:
            heapq.heappop(self._heap)
            self._dead -= 1
        return self._heap[0][0] if self._heap else None

    def due(self, now: float) -> list[tuple[float, Callable[[], None]]]:
        """Takes out what is due: pairs of when it was and what to call. What these set runs next time."""
        calls: list[tuple[float, Callable[[], None]]] = []
        while (at := self.next_at()) is not None and at <= now:
            timer = heapq.heappop(self._heap)[2]
            if timer.call is not None:
                calls.append((at, timer.call))
                timer.call = None
        return calls
