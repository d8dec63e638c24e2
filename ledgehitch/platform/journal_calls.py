"""Decides when the journal service is called again and which calls end. Free of I/O.

A retry starts from the beginning: it helps where one call hangs, never where the service is slow. So a call
that is silent for too long stays open beside its retry (a hedged request), and the newest call that brings a
line replaces the silent ones before it. The retries of one silence come at growing intervals.
"""

import math
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass

SILENCE_TIMEOUT_S = 1.7  # without a whole line until a further call: a comment is due each second
MAX_RETRY_INTERVAL_S = 6.8  # between further calls while those before them are silent
MAX_SILENCE_S = 30.0  # until a silent call ends
MAX_CALLS = 3  # open at once
MIN_CONNECT_TIMEOUT_S, MAX_CONNECT_TIMEOUT_S = 0.5, 8.0  # doubled with each failure to connect
# Until the next call after one that ended: doubled with each call that brought no event, plus up to as much
# again at random.
MIN_RETRY_DELAY_S, MAX_RETRY_DELAY_S = 0.03, 0.4


@dataclass(frozen=True)
class StartCall:
    """Call the journal service; the connection must be established within `connect_timeout` seconds."""

    number: int
    connect_timeout: float


@dataclass(frozen=True)
class EndCall:
    """Close a call, whose end is not reported back."""

    number: int


Decision = StartCall | EndCall


class _Call:
    """An open call: when its last bytes and its last line came, or it was started."""

    __slots__ = ("data_at", "line_at")

    def __init__(self, now: float) -> None:
        self.data_at = self.line_at = now


class JournalCalls:
    """The open calls of one address. Inputs are `on_...`; `decide` returns what is due."""

    def __init__(self, now: float, random: Callable[[], float]) -> None:
        """`random` returns a number from 0 to 1 at each call."""
        self._random = random
        self._open: dict[int, _Call] = {}  # by number, the oldest first
        self._last_number = 0
        self._start_at = now
        self._retries = 0  # further calls since the last line
        self._retry_delay = MIN_RETRY_DELAY_S
        self._connect_timeout = MIN_CONNECT_TIMEOUT_S
        self._due: deque[Decision] = deque()

    def on_data(self, now: float, number: int, has_line: bool) -> None:
        """A call brought bytes; `has_line`: a line ended in them.

        Only whole lines show that a call is followed, since a service that stops within an event may keep
        sending some bytes. Then calls before it end, but for those that make progress within an event.
        """
        call = self._open.get(number)
        if call is None:
            return
        call.data_at = now
        if not has_line:
            return
        call.line_at = now
        for older, other in list(self._open.items()):
            if older < number and now - other.data_at >= SILENCE_TIMEOUT_S:
                self._end(older)
        self._retries, self._connect_timeout = 0, MIN_CONNECT_TIMEOUT_S
        self._start_at = now + SILENCE_TIMEOUT_S

    def on_ended(self, now: float, number: int, had_event: bool, connected: bool) -> None:
        """A call ended by itself, after an event or without one, or was not even connected."""
        if self._open.pop(number, None) is None:
            return
        if not connected:
            self._connect_timeout = min(MAX_CONNECT_TIMEOUT_S, 2 * self._connect_timeout)
        self._retry_delay = MIN_RETRY_DELAY_S if had_event else min(MAX_RETRY_DELAY_S, 2 * self._retry_delay)
        self._start_at = min(self._start_at, now + self._retry_delay * (1 + self._random()))

    def decide(self, now: float) -> Decision | None:
        """Returns the next decision, None where there is none."""
        for number, call in list(self._open.items()):
            if now >= call.line_at + MAX_SILENCE_S:
                self._end(number)
        if not self._due and now >= self._start_at:
            self._start(now)
        return self._due.popleft() if self._due else None

    def wake_at(self) -> float:
        """Returns when to call `decide` again."""
        oldest_line_at = min((call.line_at for call in self._open.values()), default=math.inf)
        return min(self._start_at, oldest_line_at + MAX_SILENCE_S)

    def _start(self, now: float) -> None:
        self._retries = self._retries + 1 if self._open else 0
        if len(self._open) >= MAX_CALLS:
            # The first call has waited for the longest, so a slow service will answer it first.
            self._end(list(self._open)[1])
        self._last_number += 1
        self._open[self._last_number] = _Call(now)
        interval = SILENCE_TIMEOUT_S * 2 ** max(0, min(self._retries, MAX_CALLS) - 1)
        self._start_at = now + min(MAX_RETRY_INTERVAL_S, interval)
        self._due.append(StartCall(self._last_number, self._connect_timeout))

    def _end(self, number: int) -> None:
        del self._open[number]
        self._due.append(EndCall(number))
