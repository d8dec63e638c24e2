"""Bounded channels between tasks."""

from collections import deque
from typing import Generic, TypeVar

from ledgehitch.loop.kernel import Loop, Task

T = TypeVar("T")


class Closed(Exception):
    """The channel is closed, and empty for a receiver."""


class Channel(Generic[T]):
    """A FIFO queue of at most `room` items. Senders wait while it is full, receivers while it is empty."""

    def __init__(self, loop: Loop, room: int) -> None:
        self.loop, self.room = loop, max(1, room)
        self.held: deque[T] = deque()
        self.closed = False
        self._takers: dict[Task, None] = {}
        self._givers: dict[Task, None] = {}

    def __len__(self) -> int:
        return len(self.held)

    def offer(self, item: T) -> bool:
        """Adds an item without waiting; returns False if the channel is full or closed."""
        if self.closed or len(self.held) >= self.room:
            return False
        self.held.append(item)
        self._wake(self._takers)
        return True

    def put(self, item: T) -> None:
        """Adds an item, waiting while the channel is full; raises `Closed` if it is closed."""
        while not self.offer(item):
            if self.closed:
                raise Closed()
            self._wait(self._givers)

    def take(self) -> T:
        """Removes the oldest item, waiting for one; raises `Closed` if the channel is closed and empty."""
        while not self.held:
            if self.closed:
                raise Closed()
            self._wait(self._takers)
        item = self.held.popleft()
        self._wake(self._givers)
        return item

    def close(self) -> None:
        """Accepts no more items and wakes all waiting tasks; items in the channel can still be taken."""
        self.closed = True
        for waiters in (self._takers, self._givers):
            while waiters:
                self._wake(waiters)

    def _wait(self, waiters: dict[Task, None]) -> None:
        task = self.loop.current
        assert task is not None
        waiters[task] = None

        def undo() -> None:
            # A receiver that was woken and then interrupted passes its wake-up on to the next one.
            if waiters.pop(task, None) is None and self.held:
                self._wake(self._takers)

        self.loop.park(undo)

    def _wake(self, waiters: dict[Task, None]) -> None:
        while waiters:
            task = next(iter(waiters))
            del waiters[task]
            if self.loop.wake(task):
                return
