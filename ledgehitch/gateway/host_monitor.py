"""Failure detector for media hosts: decides which are followed and which are lost. Free of I/O.

A gateway follows each listed host by one event stream. A broken stream alone proves no loss, since the host
may have closed an idle connection. The viewings on a host are lost if it refuses connections, comes back as
another process, stays silent for too long, or is listed as terminated.
"""

import math
import random
from dataclasses import dataclass

SILENCE_TIMEOUT_S = 4.0  # a stream without bytes for so long counts as broken; hosts send some every second
LOSS_TIMEOUT_S = 6.0  # without a stream for so long, the viewings there are lost
# Before a stream is reopened: doubled each time, plus jitter.
MIN_RETRY_DELAY_S = 0.1
MAX_RETRY_DELAY_S = 2.0


@dataclass(frozen=True)
class Follow:
    """Open an event stream to the host."""

    host: str


@dataclass(frozen=True)
class Unfollow:
    """Close the event stream to the host."""

    host: str


@dataclass(frozen=True)
class HostLost:
    """All viewings set up on the host before now have ended."""

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
        self.boot = ""  # identifies the host's process
        self.connected_at = 0.0  # when the stream last worked, or when the host was first listed
        self.heard_at = 0.0
        self.retry_at = 0.0
        self.retry_delay = MIN_RETRY_DELAY_S
        self.loss_reported = False


class HostMonitor:
    """Decides on event streams to media hosts and on the loss of hosts."""

    def __init__(self, rng: random.Random) -> None:
        self.random = rng
        self.hosts: dict[str, _Host] = {}
        self._pending: list[Decision] = []
        self.next_at = 0.0  # nothing to decide before, unless an event comes

    def on_host_listed(self, now: float, host: str, gone: bool) -> None:
        """The list names a host; `gone`: its process has terminated."""
        self.next_at = now
        state = self.hosts.get(host)
        if gone:
            if state is not None and state.listed:
                state.listed = False
                self._pending += [HostLost(host), Unfollow(host)]
                del self.hosts[host]
            return
        if state is None:
            state = self.hosts[host] = _Host()
            state.connected_at = now
            state.retry_at = now
        state.listed = True

    def on_stream_opened(self, now: float, host: str, boot: str) -> None:
        """The stream to the host is open; `boot` identifies the host's process."""
        self.next_at = now
        state = self.hosts.get(host)
        if state is None:
            return
        if state.boot and state.boot != boot and not state.loss_reported:
            self._pending.append(HostLost(host))
        state.boot, state.connected_at, state.heard_at, state.retry_delay, state.loss_reported = (
            boot,
            now,
            now,
            MIN_RETRY_DELAY_S,
            False,
        )

    def on_activity(self, now: float, host: str) -> None:
        state = self.hosts.get(host)
        if state is not None:
            state.heard_at = state.connected_at = now

    def on_stream_ended(self, now: float, host: str, refused: bool) -> None:
        """The stream ended or could not be opened; `refused`: no process listens at the host."""
        self.next_at = now
        state = self.hosts.get(host)
        if state is None:
            return
        state.following = False
        state.retry_at = now + state.retry_delay * (1 + self.random.random())
        state.retry_delay = min(MAX_RETRY_DELAY_S, 2 * state.retry_delay)
        if refused and not state.loss_reported:
            state.loss_reported = True
            self._pending.append(HostLost(host))

    def is_silent(self, now: float, host: str) -> bool:
        """Returns whether an open stream has been without bytes for too long."""
        state = self.hosts.get(host)
        return state is None or now - max(state.heard_at, state.connected_at) > SILENCE_TIMEOUT_S

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
        for host, state in self.hosts.items():
            if not state.following and now >= state.retry_at:
                state.following = True
                return Follow(host)
            if not state.loss_reported and state.boot and now - state.connected_at > LOSS_TIMEOUT_S:
                state.loss_reported = True
                return HostLost(host)
        return None

    def wake_at(self) -> float:
        return self.next_at

    def _next_deadline(self) -> float:
        due = [state.retry_at for state in self.hosts.values() if not state.following]
        due += [
            state.connected_at + LOSS_TIMEOUT_S
            for state in self.hosts.values()
            if state.boot and not state.loss_reported
        ]
        return min(due, default=math.inf)
