"""Doors to be measured against: none, one line, a bucket for each client. Not used by any gateway."""

from collections import deque
from typing import Any

from ledgehitch.door.decide import Decision, Let, Turn
from ledgehitch.door.limits import Fixed

RATE, BURST = 20.0, 20.0  # of each client's bucket


class NoDoor:
    """Everybody is let in at once."""

    def __init__(self) -> None:
        self._due: deque[Decision] = deque()

    def asked(
        self,
        now: float,
        conn: int,
        name: bytes,
        package: str,
        patience: float,
        ticket: str = "",
        ahead: float = 0.0,
    ) -> None:
        self._due.append(Let(conn))

    def gone(self, now: float, conn: int) -> None:
        """Nothing is known of it."""

    def settled(self, now: float, conn: int, failed: bool) -> None:
        """Nothing is learnt from it."""

    def decide(self, now: float) -> Decision | None:
        return self._due.popleft() if self._due else None

    def wake_at(self) -> float | None:
        return None

    def state(self, now: float) -> dict[str, Any]:
        return {}


class Fifo(NoDoor):
    """One line for all, with a fixed number let in at once."""

    def __init__(self, limit: float = 64.0) -> None:
        super().__init__()
        self.limit = Fixed(limit)
        self.out: set[int] = set()
        self.line: deque[tuple[int, float]] = deque()
        self.left: set[int] = set()

    def asked(
        self,
        now: float,
        conn: int,
        name: bytes,
        package: str,
        patience: float,
        ticket: str = "",
        ahead: float = 0.0,
    ) -> None:
        self.line.append((conn, patience))

    def gone(self, now: float, conn: int) -> None:
        self.left.add(conn)
        self.out.discard(conn)

    def settled(self, now: float, conn: int, failed: bool) -> None:
        self.out.discard(conn)

    def decide(self, now: float) -> Decision | None:
        while self.line and (self.line[0][0] in self.left or self.line[0][1] <= now):
            conn, _ = self.line.popleft()
            if conn in self.left:
                self.left.discard(conn)
            else:
                return Turn(conn, "no turn in time")
        if self.line and self.limit.room(len(self.out)) > 0:
            conn, _ = self.line.popleft()
            self.out.add(conn)
            return Let(conn)
        return None

    def wake_at(self) -> float | None:
        return self.line[0][1] if self.line else None


class Buckets(NoDoor):
    """A bucket for each client, as many as there are clients: who is over its rate is turned away."""

    def __init__(self) -> None:
        super().__init__()
        self.buckets: dict[bytes, tuple[float, float]] = {}

    def asked(
        self,
        now: float,
        conn: int,
        name: bytes,
        package: str,
        patience: float,
        ticket: str = "",
        ahead: float = 0.0,
    ) -> None:
        left, at = self.buckets.get(name, (BURST, now))
        left = min(BURST, left + (now - at) * RATE)
        if left >= 1.0:
            left -= 1.0
            self._due.append(Let(conn))
        else:
            self._due.append(Turn(conn, "over its rate"))
        self.buckets[name] = left, now
