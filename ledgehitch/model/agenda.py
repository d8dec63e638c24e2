"""Virtual time: what is due when. Calls of the same instant run in the order in which they were put in."""

import heapq
from collections.abc import Callable
from typing import Any


class Agenda:
    def __init__(self) -> None:
        self.now = 0.0  # seconds from the model's start
        self.done = 0  # calls that were made
        self._heap: list[tuple[float, int, Callable[..., None], tuple[Any, ...]]] = []
        self._put = 0

    def at(self, when: float, call: Callable[..., None], *args: Any) -> None:
        """Calls at that time, or now if it is past."""
        self._put += 1
        heapq.heappush(self._heap, (max(when, self.now), self._put, call, args))

    def after(self, seconds: float, call: Callable[..., None], *args: Any) -> None:
        self.at(self.now + seconds, call, *args)

    def run(self, until: float) -> None:
        """Makes all calls that are due up to `until`, and goes there."""
        heap = self._heap
        while heap and heap[0][0] <= until:
            self.now, _, call, args = heapq.heappop(heap)
            call(*args)
            self.done += 1
        self.now = until
