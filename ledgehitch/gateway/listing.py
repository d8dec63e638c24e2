"""Follows the list service: a stream of complete lists and changes, kept in a file for the next start."""

import os
import random
import time
from pathlib import Path

import msgspec
import structlog

from ledgehitch.gateway.carry import Carrier
from ledgehitch.gateway.roll import AGAIN, News, Roll
from ledgehitch.http import ConnectFailed, Interrupted, events_from
from ledgehitch.loop import Loop, TimedOut

log = structlog.get_logger("list")


class Listing:
    def __init__(self, loop: Loop, carrier: Carrier, at: str, name: str, kept: Path | None) -> None:
        self.loop, self.carrier, self.at, self.name, self.kept = loop, carrier, at, name, kept
        self.roll = Roll()
        self.chance = random.Random(name)

    def run(self) -> None:
        """Runs as a task for good."""
        self._warm_copy()
        while True:
            try:
                with self.carrier.client.stream(self.at, f"/hosts?gateway={self.name}") as (response, parts):
                    if response.status == 200:
                        for name, _, data in events_from(parts):
                            if not self._heard(name, data):
                                break
            except (ConnectFailed, Interrupted, TimedOut, ValueError) as why:
                log.debug("no list", why=str(why))
            self.carrier.mind.on_host_list(time.monotonic(), "lost", ())
            self.carrier.stir()
            self.loop.sleep(AGAIN[0] + AGAIN[1] * self.chance.random())

    def _heard(self, name: str, data: str) -> bool:
        """Whether the stream goes on; a gap in it asks for a complete list by asking anew."""
        if name not in ("total", "incr"):
            return True
        news = msgspec.json.decode(data, type=News)
        rows = self.roll.total(news) if name == "total" else self.roll.change(news)
        if rows is None:
            log.warning("list does not follow", what=name, version=news.version, known=self.roll.version)
            return name == "total"
        if rows:
            self.carrier.listed(name, list(rows), time.time() - time.monotonic())
            self._keep()
        return True

    def _warm_copy(self) -> None:
        if self.kept is None or not self.kept.exists():
            return
        try:
            news = msgspec.json.decode(self.kept.read_bytes(), type=News)
        except (OSError, msgspec.MsgspecError) as why:
            log.warning("the kept list does not read", path=str(self.kept), why=str(why))
            return
        self.carrier.listed("warm_copy", news.rows, time.time() - time.monotonic())

    def _keep(self) -> None:
        if self.kept is None:
            return
        self.kept.parent.mkdir(parents=True, exist_ok=True)
        partly = self.kept.with_suffix(".new")
        partly.write_bytes(msgspec.json.encode(self.roll.kept()))
        os.replace(partly, self.kept)
