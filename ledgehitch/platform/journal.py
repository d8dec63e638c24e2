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


class Journal:
    def __init__(self, loop: Loop, carrier: Carrier, at: str, pos: int, seed: int) -> None:
        self.loop, self.carrier, self.at, self.pos = loop, carrier, at, pos
        self.chance = random.Random(seed)
        self.calls = self.doubled = self.unread = 0
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
        """Each part, which must come before the silence is too long."""
        while True:
            with self.loop.deadline(SILENT):
                part = next(parts, b"")
            if not part:
                return
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
            # Guards against one event that cannot be read holding up all after it.
            self.unread += 1
            log("journal-unread", why=str(why)[:80])
            return
        self.pos = pos
        if told is not None:
            self.carrier.listed(self.loop.now, *told)
