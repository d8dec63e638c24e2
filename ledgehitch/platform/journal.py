"""Follows the journal service: server-sent events by number, over breaks, silence and changes of address."""

import json
import random
import time
from collections.abc import Iterator
from typing import Any

from ledgehitch.http import Client, ConnectFailed, Interrupted, events_from
from ledgehitch.loop.kernel import Loop, Task, TimedOut
from ledgehitch.platform.carry import Carrier
from ledgehitch.platform.log import log
from ledgehitch.platform.told import rows_of

SILENT = 1.7  # seconds without a byte until a new call is made: a comment is due each second
CONNECT = 0.5
FIRST, LONGEST = 0.03, 0.4  # seconds until the next call: doubled with each that brought nothing, plus chance
TRIES = 3  # calls in a row from one number until an event that cannot be read is passed over


class Journal:
    def __init__(self, loop: Loop, carrier: Carrier, at: str, pos: int, seed: int) -> None:
        self.loop, self.carrier, self.at, self.pos = loop, carrier, at, pos
        self.chance = random.Random(seed)
        self.calls = self.doubled = self.unread = 0
        self._unread = (pos, 0)  # after which number an event could not be read, and how often
        self._task: Task | None = None
        self.home: Task | None = None

    def start(self) -> None:
        self._task = self.loop.spawn(self._run, self.at, name="journal", owner=self.home)

    def move(self, at: str) -> None:
        """Another address: used at once, the numbering goes on."""
        if at != self.at:
            self.at = at
            if self._task is not None:
                self._task.cancel()
            self.start()

    def _run(self, at: str) -> None:
        wait = FIRST
        while True:
            before = self.pos
            try:
                self._call(at)
            except (ConnectFailed, Interrupted, TimedOut, ValueError) as why:
                log("journal-broke", at=at, pos=self.pos, why=str(why) or type(why).__name__)
            wait = FIRST if self.pos != before else min(LONGEST, 2 * wait)
            self.loop.sleep(wait * (1 + self.chance.random()))

    def _call(self, at: str) -> None:
        self.calls += 1
        asked = [("Accept", "text/event-stream"), ("Last-Event-ID", str(self.pos))]
        with Client(self.loop).stream(at, "/journal", asked, SILENT, CONNECT) as (response, parts):
            if response.status != 200:
                raise ValueError(f"answered {response.status}")
            for _, number, data in events_from(self._in_time(parts)):
                self._heard(number, data)
        raise Interrupted("the stream ended")

    def _in_time(self, parts: Iterator[bytes]) -> Iterator[bytes]:
        """Each part; a whole line must come before the silence is too long.

        Guards against a service that stops within an event and goes on sending what never ends a line."""
        silent_at = self.loop.now + SILENT
        while True:
            with self.loop.deadline(max(0.0, silent_at - self.loop.now)):
                part = next(parts, b"")
            if not part:
                return
            if b"\n" in part:
                silent_at = self.loop.now + SILENT
            yield part

    def _heard(self, number: str, data: str) -> None:
        try:
            entry: Any = json.loads(data)
            pos = int(entry["pos"]) if "pos" in entry else int(number)
            if pos <= self.pos:
                self.doubled += 1
                return
            told = rows_of(entry, time.time() - time.monotonic())
        except (ValueError, TypeError, KeyError, RecursionError) as why:
            # Guards against a change lost for good because it came spoilt: it is asked for again, and only
            # one that never can be read is passed over, lest it hold up all after it.
            self.unread += 1
            log("journal-unread", why=str(why)[:80])
            tries = self._unread[1] + 1 if self._unread[0] == self.pos else 1
            self._unread = (self.pos, tries)
            if tries < TRIES:
                raise ValueError("an event cannot be read") from None
            return
        self.pos = pos
        if told is not None:
            self.carrier.listed(self.loop.now, *told)
