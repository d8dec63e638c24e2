"""Client of the journal service: follows its server-sent events, resumes after breaks and silence, and moves
to another address. When it calls is decided in `journal_calls.py`.
"""

import json
import random
import time
from collections.abc import Iterator
from typing import Any

from ledgehitch.http import Client, ConnectFailed, ConnectTimedOut, Interrupted, parse_events
from ledgehitch.loop.kernel import Loop, Task, TimedOut
from ledgehitch.loop.pump import Pump
from ledgehitch.platform.configuration import parse_host_list
from ledgehitch.platform.controller import Controller
from ledgehitch.platform.journal_calls import MAX_SILENCE_S, EndCall, JournalCalls, StartCall
from ledgehitch.platform.log import log

MAX_READ_ATTEMPTS = 3  # calls in a row from one position until an event that cannot be read is skipped


class JournalClient:
    """Follows the journal and passes its host lists on to the controller."""

    def __init__(self, loop: Loop, controller: Controller, address: str, pos: int, seed: int) -> None:
        self.loop, self.controller, self.address, self.pos = loop, controller, address, pos
        self.random = random.Random(seed)
        self.calls = self.duplicates = self.unreadable = 0
        self.owner: Task | None = None
        self._failed_reads = (pos, 0)  # position after which an event could not be read, and how often
        self._open_calls: JournalCalls | None = None
        self._tasks: dict[int, Task] = {}  # by number of the call
        self._schedule = Pump(loop, self._execute_decisions).schedule

    def start(self) -> None:
        self._open_calls = JournalCalls(self.loop.now, self.random.random)
        self._schedule()

    def move(self, address: str) -> None:
        """Calls another address at once, from the same position."""
        if address != self.address:
            self.address = address
            for task in self._tasks.values():
                task.cancel()
            self._tasks.clear()
            self.start()

    def _execute_decisions(self) -> float | None:
        open_calls = self._open_calls
        if open_calls is None:
            return None
        while (decision := open_calls.decide(time.monotonic())) is not None:
            match decision:
                case StartCall(number, connect_timeout):
                    self._tasks[number] = self.loop.spawn(
                        self._call, open_calls, number, connect_timeout, name="journal", owner=self.owner
                    )
                case EndCall(number):
                    log("journal-call-replaced", at=self.address, pos=self.pos, call=number)
                    self._tasks.pop(number).cancel()
        return open_calls.wake_at()

    def _call(self, open_calls: JournalCalls, number: int, connect_timeout: float) -> None:
        """Runs one call as a task until it ends or is cancelled."""
        address, before, connected = self.address, self.pos, True
        self.calls += 1
        try:
            self._follow(open_calls, number, connect_timeout, address)
        except (ConnectFailed, Interrupted, TimedOut, ValueError) as error:
            connected = not isinstance(error, (ConnectFailed, ConnectTimedOut))
            log("journal-broke", at=address, pos=self.pos, why=str(error) or type(error).__name__)
        if self._tasks.get(number) is self.loop.current:
            del self._tasks[number]
            open_calls.on_ended(self.loop.now, number, self.pos != before, connected)
            self._schedule()

    def _follow(self, open_calls: JournalCalls, number: int, connect_timeout: float, address: str) -> None:
        headers = [("Accept", "text/event-stream"), ("Last-Event-ID", str(self.pos))]
        with Client(self.loop).stream(address, "/journal", headers, MAX_SILENCE_S, connect_timeout) as (
            response,
            parts,
        ):
            if response.status != 200:
                raise ValueError(f"the journal service answered {response.status}, expected 200")
            for _, event_number, data in parse_events(self._report_data(open_calls, number, parts)):
                self._on_event(event_number, data)
        raise Interrupted("the stream ended")

    def _report_data(self, open_calls: JournalCalls, number: int, parts: Iterator[bytes]) -> Iterator[bytes]:
        """Yields each part of a stream and reports it."""
        for part in parts:
            open_calls.on_data(self.loop.now, number, b"\n" in part)
            self._schedule()
            yield part

    def _on_event(self, number: str, data: str) -> None:
        try:
            entry: Any = json.loads(data)
            pos = int(entry["pos"]) if "pos" in entry else int(number)
            if pos <= self.pos:
                self.duplicates += 1
                return
            host_list = parse_host_list(entry, time.time() - time.monotonic())
        except (ValueError, TypeError, KeyError, AttributeError, OverflowError, RecursionError) as error:
            # An event that came malformed is requested again, so that its change is not lost for good. One
            # that can never be read is skipped after some attempts, since it would hold up all that follow.
            self.unreadable += 1
            log("journal-unread", why=str(error)[:80])
            attempts = self._failed_reads[1] + 1 if self._failed_reads[0] == self.pos else 1
            self._failed_reads = (self.pos, attempts)
            if attempts < MAX_READ_ATTEMPTS:
                raise ValueError("an event cannot be read") from None
            return
        self.pos = pos
        if host_list is not None:
            self.controller.on_host_list(self.loop.now, *host_list)
