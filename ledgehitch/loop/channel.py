"""Bounded channels between tasks."""

from collections import deque
from typing import Generic, TypeVar

from ledgehitch.loop.kernel import Loop, Task

T = TypeVar("T")


class Closed(Exception):
    """The channel is closed, and empty for a receiver."""


class Channel(Generic[T]):
    """A FIFO queue of at most `capacity` items. Senders wait while it is full, receivers while empty."""

    def __init__(self, loop: Loop, capacity: int) -> None:
        self.loop, self.capacity = loop, max(1, capacity)
        self.items: deque[T] = deque()
        self.closed = False
        self._receivers: dict[Task, None] = {}
        self._senders: dict[Task, None] = {}

    def __len__(self) -> int:
        return len(self.items)

    def try_put(self, item: T) -> bool:
        """Adds an item without waiting; returns False if the channel is full or closed."""
        if self.closed or len(self.items) >= self.capacity:
            return False
        self.items.append(item)
        self._wake(self._receivers)
        return True

    def put(self, item: T) -> None:
        """Adds an item, waiting while the channel is full; raises `Closed` if it is closed."""
        while not self.try_put(item):
            if self.closed:
                raise Closed()
            self._wait(self._senders)

    def take(self) -> T:
        """Removes the oldest item, waiting for one; raises `Closed` if the channel is closed and empty."""
        while not self.items:
            if self.closed:
                raise Closed()
            self._wait(self._receivers)
        item = self.items.popleft()
        self._wake(self._senders)
        return item

    def close(self) -> None:
        """Accepts no more items and wakes all waiting tasks; items in the channel can still be taken."""
        self.closed = True
        for waiters in (self._receivers, self._senders):
            while waiters:
                self._wake(waiters)

    def _wait(self, waiters: dict[Task, None]) -> None:
        task = self.loop.current
        assert task is not None
        waiters[task] = None

        def on_interrupt() -> None:
            # A receiver that was woken and then interrupted passes its wake-up on to the next one.
            if waiters.pop(task, None) is None and self.items:
                self._wake(self._receivers)

        self.loop.park(on_interrupt)

    def _wake(self, waiters: dict[Task, None]) -> None:
        while waiters:
            task = next(iter(waiters))
            del waiters[task]
            if self.loop.wake(task):
                return
