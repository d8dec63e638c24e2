"""Client of the journal service: follows its server-sent events, resumes after breaks and silence, and moves
to another address.
"""

import json
import random
import time
from collections.abc import Iterator
from typing import Any

from ledgehitch.http import Client, ConnectFailed, Interrupted, parse_events
from ledgehitch.loop.kernel import Loop, Task, TimedOut
from ledgehitch.platform.configuration import parse_host_list
from ledgehitch.platform.controller import Controller
from ledgehitch.platform.log import log

SILENCE_TIMEOUT_S = 1.7  # without a byte until a new call is made: a comment is due each second
CONNECT_TIMEOUT_S = 0.5
# Until the next call: doubled with each call that brought no event, plus up to as much again at random.
MIN_RETRY_DELAY_S, MAX_RETRY_DELAY_S = 0.03, 0.4
MAX_READ_ATTEMPTS = 3  # calls in a row from one position until an event that cannot be read is skipped


class JournalClient:
    """Follows the journal and passes its host lists on to the controller."""

    def __init__(self, loop: Loop, controller: Controller, address: str, pos: int, seed: int) -> None:
        self.loop, self.controller, self.address, self.pos = loop, controller, address, pos
        self.random = random.Random(seed)
        self.calls = self.duplicates = self.unreadable = 0
        self._failed_reads = (pos, 0)  # position after which an event could not be read, and how often
        self._task: Task | None = None
        self.owner: Task | None = None

    def start(self) -> None:
        self._task = self.loop.spawn(self._run, self.address, name="journal", owner=self.owner)

    def move(self, address: str) -> None:
        """Calls another address at once, from the same position."""
        if address != self.address:
            self.address = address
            if self._task is not None:
                self._task.cancel()
            self.start()

    def _run(self, address: str) -> None:
        delay = MIN_RETRY_DELAY_S
        while True:
            before = self.pos
            try:
                self._call(address)
            except (ConnectFailed, Interrupted, TimedOut, ValueError) as error:
                log("journal-broke", at=address, pos=self.pos, why=str(error) or type(error).__name__)
            delay = MIN_RETRY_DELAY_S if self.pos != before else min(MAX_RETRY_DELAY_S, 2 * delay)
            self.loop.sleep(delay * (1 + self.random.random()))

    def _call(self, address: str) -> None:
        self.calls += 1
        headers = [("Accept", "text/event-stream"), ("Last-Event-ID", str(self.pos))]
        with Client(self.loop).stream(address, "/journal", headers, SILENCE_TIMEOUT_S, CONNECT_TIMEOUT_S) as (
            response,
            parts,
        ):
            if response.status != 200:
                raise ValueError(f"the journal service answered {response.status}, expected 200")
            for _, number, data in parse_events(self._lines_in_time(parts)):
                self._on_event(number, data)
        raise Interrupted("the stream ended")

    def _lines_in_time(self, parts: Iterator[bytes]) -> Iterator[bytes]:
        """Yields each part; raises `TimedOut` when no line ends within the silence time-out.

        Otherwise a service that stops within an event and keeps sending bytes would be followed for good.
        """
        deadline = self.loop.now + SILENCE_TIMEOUT_S
        while True:
            with self.loop.deadline(max(0.0, deadline - self.loop.now)):
                part = next(parts, b"")
            if not part:
                return
            if b"\n" in part:
                deadline = self.loop.now + SILENCE_TIMEOUT_S
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
