"""Bounded channels between tasks."""

from collections import deque
from typing import Generic, TypeVar

from ledgehitch.loop.kernel import Loop, Task

T = TypeVar("T")


class Closed(Exception):
    """The channel was closed and holds nothing more."""


class Channel(Generic[T]):
    """At most `room` things on their way; a full one makes the sender wait, an empty one the receiver."""

    def __init__(self, loop: Loop, room: int) -> None:
        self.loop, self.room = loop, max(1, room)
        self.held: deque[T] = deque()
        self.closed = False
        self._takers: dict[Task, None] = {}
        self._givers: dict[Task, None] = {}

    def __len__(self) -> int:
        return len(self.held)

    def offer(self, thing: T) -> bool:
        """Puts it in without waiting, unless the channel is full or closed."""
        if self.closed or len(self.held) >= self.room:
            return False
        self.held.append(thing)
        self._wake(self._takers)
        return True

    def put(self, thing: T) -> None:
        while not self.offer(thing):
            if self.closed:
                raise Closed()
            self._wait(self._givers)

    def take(self) -> T:
        while not self.held:
            if self.closed:
                raise Closed()
            self._wait(self._takers)
        thing = self.held.popleft()
        self._wake(self._givers)
        return thing

    def close(self) -> None:
        self.closed = True
        for waiters in (self._takers, self._givers):
            while waiters:
                self._wake(waiters)

    def _wait(self, waiters: dict[Task, None]) -> None:
        task = self.loop.current
        assert task is not None
        waiters[task] = None

        def undo() -> None:
            # Guards against a wake-up lost with a receiver that was interrupted as it was woken.
            if waiters.pop(task, None) is None and self.held:
                self._wake(self._takers)

        self.loop.park(undo)

    def _wake(self, waiters: dict[Task, None]) -> None:
        while waiters:
            task = next(iter(waiters))
            del waiters[task]
            if self.loop.wake(task):
                return
