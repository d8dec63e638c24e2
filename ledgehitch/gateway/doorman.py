"""Carries out what the door decides: holds requests until they are let in or turned away."""

import time
from typing import Any, Protocol

from ledgehitch.door.decide import Decision, Turn
from ledgehitch.http import NoAnswer, Request
from ledgehitch.loop import Event, Loop
from ledgehitch.loop.timers import Timer


class SomeDoor(Protocol):
    """The door, or a baseline in its place."""

    def asked(
        self, now: float, conn: int, name: bytes, package: str, patience: float, ticket: str = "",
        ahead: float = 0.0,
    ) -> None: ...  # fmt: skip
    def gone(self, now: float, conn: int) -> None: ...
    def settled(self, now: float, conn: int, failed: bool) -> None: ...
    def decide(self, now: float) -> Decision | None: ...
    def wake_at(self) -> float | None: ...
    def state(self, now: float) -> dict[str, Any]: ...


class Doorman:
    """Times are of the machine's monotonic clock, as patience must not depend on a clock that steps."""

    def __init__(self, loop: Loop, door: SomeDoor) -> None:
        self.loop, self.door = loop, door
        self._waiting: dict[int, Event] = {}
        self._timer: Timer | None = None

    def enter(
        self, request: Request, conn: int, name: bytes, package: str, wait: float, ticket: str
    ) -> Turn | None:
        """Returns when this one is let in (None), or turned away. `wait`: seconds of its patience."""
        now = time.monotonic()
        event = self._waiting[conn] = Event(self.loop)
        self.door.asked(now, conn, name, package, now + wait, ticket, time.time() - now)
        self._pump(now)
        if not event.is_set:
            request.hung_up(lambda: self._hung_up(conn))
            event.wait()
            request.hung_up(None)
        self._waiting.pop(conn, None)
        told = event.value
        if told == "gone":
            raise NoAnswer("the client hung up")
        return told if isinstance(told, Turn) else None

    def _hung_up(self, conn: int) -> None:
        event = self._waiting.pop(conn, None)
        now = time.monotonic()
        self.door.gone(now, conn)
        if event is not None and not event.is_set:
            event.set("gone")
        self._pump(now)

    def settled(self, conn: int, failed: bool) -> None:
        now = time.monotonic()
        self.door.settled(now, conn, failed)
        self._pump(now)

    def _pump(self, now: float) -> None:
        while (decision := self.door.decide(now)) is not None:
            event = self._waiting.get(decision.conn)
            if event is not None:  # it hung up before it was told that it is turned away
                event.set(decision)
        wake = self.door.wake_at()
        if self._timer is not None:
            self.loop.timers.cancel(self._timer)
            self._timer = None
        if wake is not None:
            self._timer = self.loop.call_at(max(wake, now + 0.001), self._woken)

    def _woken(self) -> None:
        self._timer = None
        self._pump(time.monotonic())

    def state(self) -> dict[str, Any]:
        return self.door.state(time.monotonic())
