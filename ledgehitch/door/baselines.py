"""Baselines for benchmarks: no admission control, one FIFO queue, token buckets. No gateway uses them."""

from collections import deque
from typing import Any

from ledgehitch.door.decide import Admit, Decision, Reject
from ledgehitch.door.limits import FixedLimit

RATE, BURST = 20.0, 20.0  # requests per second and at once of each client's token bucket


class AdmitAll:
    """Admits every request at once."""

    def __init__(self) -> None:
        self._due: deque[Decision] = deque()

    def on_request(
        self,
        now: float,
        conn: int,
        name: bytes,
        package: str,
        patience: float,
        ticket: str = "",
        wall_clock_offset: float = 0.0,
    ) -> None:
        self._due.append(Admit(conn))

    def on_disconnect(self, now: float, conn: int) -> None:
        """Ignored: no state is held."""

    def on_result(self, now: float, conn: int, failed: bool) -> None:
        """Ignored: the baseline does not adapt."""

    def decide(self, now: float) -> Decision | None:
        return self._due.popleft() if self._due else None

    def wake_at(self) -> float | None:
        return None

    def state(self, now: float) -> dict[str, Any]:
        return {}


class FifoQueue(AdmitAll):
    """One queue for all clients, with a fixed number of set-ups at once."""

    def __init__(self, limit: float = 64.0) -> None:
        super().__init__()
        self.limit = FixedLimit(limit)
        self.in_progress: set[int] = set()
        self.queue: deque[tuple[int, float]] = deque()
        self.disconnected: set[int] = set()

    def on_request(
        self,
        now: float,
        conn: int,
        name: bytes,
        package: str,
        patience: float,
        ticket: str = "",
        wall_clock_offset: float = 0.0,
    ) -> None:
        self.queue.append((conn, patience))

    def on_disconnect(self, now: float, conn: int) -> None:
        self.disconnected.add(conn)
        self.in_progress.discard(conn)

    def on_result(self, now: float, conn: int, failed: bool) -> None:
        self.in_progress.discard(conn)

    def decide(self, now: float) -> Decision | None:
        while self.queue and (self.queue[0][0] in self.disconnected or self.queue[0][1] <= now):
            conn, _ = self.queue.popleft()
            if conn in self.disconnected:
                self.disconnected.discard(conn)
            else:
                return Reject(conn, "no turn in time")
        if self.queue and self.limit.free_slots(len(self.in_progress)) > 0:
            conn, _ = self.queue.popleft()
            self.in_progress.add(conn)
            return Admit(conn)
        return None

    def wake_at(self) -> float | None:
        return self.queue[0][1] if self.queue else None


class TokenBuckets(AdmitAll):
    """A token bucket for each client, without a bound on their number; rejects clients over their rate."""

    def __init__(self) -> None:
        super().__init__()
        self.buckets: dict[bytes, tuple[float, float]] = {}

    def on_request(
        self,
        now: float,
        conn: int,
        name: bytes,
        package: str,
        patience: float,
        ticket: str = "",
        wall_clock_offset: float = 0.0,
    ) -> None:
        tokens, updated_at = self.buckets.get(name, (BURST, now))
        tokens = min(BURST, tokens + (now - updated_at) * RATE)
        if tokens >= 1.0:
            tokens -= 1.0
            self._due.append(Admit(conn))
        else:
            self._due.append(Reject(conn, "over its rate"))
        self.buckets[name] = tokens, now
