"""Which media hosts are followed, and when what plays on one is given up as lost. Free of I/O.

A gateway follows each host that it may hear from by one event stream. A broken stream alone says little: the
host may have closed an idle connection. Lost is what plays on a host that refuses connections, came back as
another process, stayed silent too long, or that the list calls gone.
"""

import math
import random
from dataclasses import dataclass

SILENCE_TIMEOUT_S = (
    4.0  # seconds without a sign on a stream until it counts as broken: hosts give one every second
)
LOSS_TIMEOUT_S = 6.0  # seconds without a stream after which what plays there is given up
MIN_RETRY_DELAY_S, MAX_RETRY_DELAY_S = (
    0.1,
    2.0,
)  # seconds before a stream is opened again: doubled each time, plus chance


@dataclass(frozen=True)
class Follow:
    host: str


@dataclass(frozen=True)
class Unfollow:
    host: str


@dataclass(frozen=True)
class HostLost:
    """All that was set up there before now has ended."""

    host: str


Decision = Follow | Unfollow | HostLost


class _Host:
    __slots__ = (
        "listed",
        "following",
        "boot",
        "connected_at",
        "heard_at",
        "retry_at",
        "retry_delay",
        "loss_reported",
    )

    def __init__(self) -> None:
        self.listed = True
        self.following = False  # a stream is open or being opened
        self.boot = ""
        self.connected_at = 0.0  # when the stream was last there, or the host first listed
        self.heard_at = 0.0
        self.retry_at = 0.0
        self.retry_delay = MIN_RETRY_DELAY_S
        self.loss_reported = False


class HostMonitor:
    def __init__(self, chance: random.Random) -> None:
        self.random = chance
        self.hosts: dict[str, _Host] = {}
        self._pending: list[Decision] = []
        self.next_at = 0.0  # before this there is nothing to decide, unless something is told

    def on_host_listed(self, now: float, host: str, gone: bool) -> None:
        """The list names a host; `gone` when its process is."""
        self.next_at = now
        h = self.hosts.get(host)
        if gone:
            if h is not None and h.listed:
                h.listed = False
                self._pending += [HostLost(host), Unfollow(host)]
                del self.hosts[host]
            return
        if h is None:
            h = self.hosts[host] = _Host()
            h.connected_at = now
            h.retry_at = now
        h.listed = True

    def on_stream_opened(self, now: float, host: str, boot: str) -> None:
        """The stream is open, and the process at its other end is `boot`."""
        self.next_at = now
        h = self.hosts.get(host)
        if h is None:
            return
        if h.boot and h.boot != boot and not h.loss_reported:
            self._pending.append(HostLost(host))
        h.boot, h.connected_at, h.heard_at, h.retry_delay, h.loss_reported = (
            boot,
            now,
            now,
            MIN_RETRY_DELAY_S,
            False,
        )

    def on_activity(self, now: float, host: str) -> None:
        h = self.hosts.get(host)
        if h is not None:
            h.heard_at = h.connected_at = now

    def on_stream_ended(self, now: float, host: str, refused: bool) -> None:
        """The stream ended or could not be opened; `refused`: no process listens there."""
        self.next_at = now
        h = self.hosts.get(host)
        if h is None:
            return
        h.following = False
        h.retry_at = now + h.retry_delay * (1 + self.random.random())
        h.retry_delay = min(MAX_RETRY_DELAY_S, 2 * h.retry_delay)
        if refused and not h.loss_reported:
            h.loss_reported = True
            self._pending.append(HostLost(host))

    def is_silent(self, now: float, host: str) -> bool:
        """Whether an open stream has been without a sign for too long."""
        h = self.hosts.get(host)
        return h is None or now - max(h.heard_at, h.connected_at) > SILENCE_TIMEOUT_S

    def decide(self, now: float) -> Decision | None:
        if now < self.next_at:
            return None
        decision = self._next_decision(now)
        if decision is None:
            self.next_at = self._next_deadline()
        return decision

    def _next_decision(self, now: float) -> Decision | None:
        if self._pending:
            return self._pending.pop(0)
        for host, h in self.hosts.items():
            if not h.following and now >= h.retry_at:
                h.following = True
                return Follow(host)
            if not h.loss_reported and h.boot and now - h.connected_at > LOSS_TIMEOUT_S:
                h.loss_reported = True
                return HostLost(host)
        return None

    def wake_at(self) -> float:
        return self.next_at

    def _next_deadline(self) -> float:
        due = [h.retry_at for h in self.hosts.values() if not h.following]
        due += [
            h.connected_at + LOSS_TIMEOUT_S for h in self.hosts.values() if h.boot and not h.loss_reported
        ]
        return min(due, default=math.inf)
