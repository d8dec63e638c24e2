"""Failure detector for media hosts: which cannot be reached, and which need a connection. Free of I/O.

It goes by addresses, since a viewing outlives the list's id for its media host. A process that ended may
leave old connections open and silent for seconds, and refuses new ones. A reset or a closed connection proves
nothing, since the host may have closed that connection only. Viewings are lost where all was silent for long
while new connections were never established; what a refused one or the list proves is decided in
`process_evidence.py`.

A host sends a release on the connection of its set-up, else on any open one, and again on the next connection
that is opened. So a connection that ended or is silent may hold releases which only a further one brings,
whatever others are open: one is opened to each host with viewings after each such end, and as long as a
connection is silent from time to time.
"""

import math
from collections.abc import Container
from dataclasses import dataclass

SILENCE_TIMEOUT_S = 3.0  # without a byte until a new connection is tried, where hosts send no reports
REPORT_MARGIN_S = 0.5  # by which a report may be late
MAX_FAILED_CONNECTS = 2  # in a row until a silent host is lost
EVICTED_RETRY_S = (
    4.0  # until a connection closed for another one is opened again: releases are due within 8 s
)
CLOSE_DELAY_S = 0.2  # for a host to notice that a connection was closed here, and to send nothing more on it
SILENT_RETRY_S = 3.0  # between further connections while one is silent: releases are due within 8 s
MAX_USELESS_DELAY_S = 2.0  # until a further connection after ones that brought nothing, doubled each time
MIN_RETRY_DELAY_S, MAX_RETRY_DELAY_S = 0.05, 0.5  # until a connection is tried again, doubled each time


@dataclass(frozen=True)
class OpenConnection:
    """Open a connection to this address."""

    address: str


@dataclass(frozen=True)
class HostLost:
    """No process can be reached at this address: viewings there are lost."""

    address: str


@dataclass(frozen=True)
class ConnectionRefused:
    """A connection to this address that was begun at that time was refused, and viewings are there."""

    address: str
    begun_at: float


Decision = OpenConnection | HostLost | ConnectionRefused


class _HostState:
    """What is known of the media host at one address."""

    __slots__ = (
        "viewings",
        "connections",
        "connecting",
        "retry_at",
        "retry_delay",
        "collect_at",
        "collecting",
        "collect_delay",
        "connected_at",
        "last_heard_at",
        "failed_connects",
    )

    def __init__(self) -> None:
        self.viewings = 0  # that play there
        self.connections = 0  # that are established
        self.connecting = 0
        self.retry_at = 0.0
        self.retry_delay = MIN_RETRY_DELAY_S
        self.collect_at = math.inf  # when a further connection is due, for releases that others may hold
        self.collecting = False  # whether it was asked for
        self.collect_delay = 0.0
        self.connected_at = -math.inf  # when a connection was last established
        self.last_heard_at = 0.0  # when a byte last came, or a connection was established
        self.failed_connects = 0

    @property
    def is_unused(self) -> bool:
        return not (self.viewings or self.connections or self.connecting)


class FailureDetector:
    """Tracks connections to media hosts and the viewings that play there."""

    def __init__(self, report_interval: float) -> None:
        """`report_interval`: seconds between reports of a host that plays viewings of this gateway, 0 where
        hosts send none."""
        self.silence_timeout = report_interval + REPORT_MARGIN_S if report_interval else SILENCE_TIMEOUT_S
        self.states: dict[str, _HostState] = {}
        # Those with viewings: each turn of the loop asks for decisions, and its cost must not grow with the
        # number of hosts that are listed.
        self._in_use: dict[str, _HostState] = {}
        self._due: list[Decision] = []

    def on_viewing_started(self, now: float, address: str) -> None:
        state = self.states.setdefault(address, _HostState())
        if not state.viewings:
            state.last_heard_at = max(state.last_heard_at, now)
            state.collect_at = math.inf  # what ended before held no release
        state.viewings += 1
        self._in_use[address] = state

    def on_viewing_ended(self, address: str) -> None:
        state = self.states.get(address)
        if state is not None:
            state.viewings = max(0, state.viewings - 1)
            if not state.viewings:
                self._in_use.pop(address, None)
                self._forget_unused(address)

    def on_connecting(self, address: str) -> None:
        self.states.setdefault(address, _HostState()).connecting += 1

    def on_connected(self, now: float, address: str) -> None:
        if (state := self.states.get(address)) is not None:
            state.connecting = max(0, state.connecting - 1)
            state.connections += 1
            state.connected_at = now
            if state.collecting:
                state.collecting, state.collect_at = False, math.inf
            state.last_heard_at, state.failed_connects, state.retry_delay = now, 0, MIN_RETRY_DELAY_S

    def on_connect_failed(
        self, now: float, address: str, refused: bool, begun_at: float | None = None
    ) -> None:
        """A connection was not established; `refused`: no process listened there after `begun_at`."""
        state = self.states.get(address)
        if state is None:
            return
        state.connecting = max(0, state.connecting - 1)
        state.retry_at = now + state.retry_delay
        state.retry_delay = min(MAX_RETRY_DELAY_S, 2 * state.retry_delay)
        state.failed_connects += 1
        if not state.viewings:
            self._forget_unused(address)
        elif refused:
            self._due.append(ConnectionRefused(address, now if begun_at is None else begun_at))
        elif (
            state.failed_connects >= MAX_FAILED_CONNECTS and now - state.last_heard_at > self.silence_timeout
        ):
            self._due.append(HostLost(address))

    def on_data(self, now: float, address: str) -> None:
        if (state := self.states.get(address)) is not None:
            state.last_heard_at = now

    def on_connection_closed(
        self,
        now: float,
        address: str,
        may_hold_releases: bool = True,
        closed_here: bool = False,
        was_heard: bool = True,
    ) -> None:
        """An established connection has ended.

        `may_hold_releases`: not all that the host sent on it is sure to have been read; `was_heard`: a
        message had come on it.
        """
        state = self.states.get(address)
        if state is None:
            return
        state.connections = max(0, state.connections - 1)
        if state.is_unused:
            self._forget_unused(address)
            return
        if not may_hold_releases:
            return
        # A host that closes each new connection is not called without a pause.
        doubled = min(MAX_USELESS_DELAY_S, max(MIN_RETRY_DELAY_S, 2 * state.collect_delay))
        state.collect_delay = 0.0 if was_heard else doubled
        delay = max(state.collect_delay, CLOSE_DELAY_S if closed_here else 0.0)
        state.collect_at, state.collecting = now + delay, False

    def on_connection_silent(self, now: float, address: str) -> None:
        """An established connection owes a message for too long; to be called again while it does."""
        state = self.states.get(address)
        if state is not None and state.collect_at == math.inf:
            state.collect_at = max(now, state.connected_at + SILENT_RETRY_S)

    def on_evicted(self, now: float, address: str) -> None:
        """An established connection was closed here for one to another host."""
        if (state := self.states.get(address)) is not None:
            state.retry_at = max(state.retry_at, now + EVICTED_RETRY_S)

    @property
    def addresses_with_viewings(self) -> Container[str]:
        """The addresses at which viewings play: their releases are expected."""
        return self._in_use.keys()

    def _forget_unused(self, address: str) -> None:
        """Drops the state of an unused address: memory must not grow with each that was ever listed."""
        if self.states[address].is_unused:
            del self.states[address]

    def decide(self, now: float) -> Decision | None:
        """Returns the next decision, None where there is none."""
        if self._due:
            return self._due.pop(0)
        for address, state in self._in_use.items():
            if now >= state.retry_at and now >= self._connect_at(state):
                state.retry_at = now + state.retry_delay  # in case the connection is not even tried
                state.collecting = now >= state.collect_at
                return OpenConnection(address)
        return None

    def _connect_at(self, state: _HostState) -> float:
        """Returns when a connection is due: without one at the next retry, else after too long a silence or
        for what others may hold."""
        if state.connecting:
            return math.inf
        if not state.connections:
            return state.retry_at
        due_at = min(state.last_heard_at + self.silence_timeout, state.collect_at)
        return max(due_at, state.retry_at)

    def wake_at(self) -> float:
        """Returns when to call `decide` again, infinity for never."""
        return min(map(self._connect_at, self._in_use.values()), default=math.inf)
