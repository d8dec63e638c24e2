"""The work of the duty `verdicts`: the fleet's quality, worked out once and handed to the receiver that the
site names.

One verdict a window of the wall clock. Before its first one an owner says its term to the receiver and hears
which window was told last: it goes on after that one, so that no window gets two that contradict each other.
What was not answered is told again in the same words, until the answer comes or the term ends.
"""

import time
from typing import Any

import msgspec
import structlog

from ledgehitch.config import Site
from ledgehitch.daemon.owning import Owning
from ledgehitch.gateway.reports import ReportService
from ledgehitch.http import Client, ConnectFailed, Interrupted
from ledgehitch.loop import Loop, TimedOut
from ledgehitch.owners.facts import VERDICTS

WITHIN = 2.0  # seconds for the receiver's answer
AGAIN = 1.0  # seconds until what was not answered is told again
log = structlog.get_logger("verdicts")


class Verdicts:
    def __init__(self, loop: Loop, site: Site, name: str, owning: Owning, reports: ReportService) -> None:
        self.loop, self.name, self.owning, self.reports = loop, name, owning, reports
        self.at, self.every = site.owners.verdicts_to, site.owners.verdicts_every
        self.client = Client(loop)
        self.last: int | None = None  # the window that the receiver has
        self.trouble = ""

    def doing(self) -> str:
        word = "hears what the receiver has" if self.last is None else f"told window {self.last}"
        return f"{word}; {self.trouble}" if self.trouble else word

    def run(self, term: int) -> None:
        self.last, self.trouble = None, ""
        while self.last is None:
            self._told(term, {"window": None})
        while True:
            self.loop.sleep(max(0.01, (max(self.last, self._window() - 1) + 2) * self.every - time.time()))
            window = self._window() - 1  # the last whole one
            if window <= self.last:
                continue
            verdict = msgspec.to_builtins(self.reports.judge.verdict)
            words = {"window": window, "seconds": self.every, "verdict": verdict}
            while self.last < window:
                self._told(term, words)

    def _window(self) -> int:
        return int(time.time() // self.every)

    def _told(self, term: int, words: dict[str, Any]) -> None:
        """One try. Whoever is not owner any more is ended at the wait that follows."""
        if self.owning.owned_term(VERDICTS) != term:
            self.loop.sleep(AGAIN)
            return
        body = msgspec.json.encode({"duty": VERDICTS, "term": term, "owner": self.name, **words})
        try:
            with self.loop.deadline(WITHIN):
                answer = self.client.request(self.at, "POST", "/verdicts", None, body)
        except (TimedOut, ConnectFailed, Interrupted, ValueError) as why:
            self.trouble = f"the receiver does not answer: {why}"
            self.loop.sleep(AGAIN)
            return
        known = answer.header("known-term") or ""
        if answer.status == 409 and known.isdigit() and int(known) > term:
            self.owning.on_effect_refused(VERDICTS, term, int(known), "receiver")
            self.loop.sleep(AGAIN)
            return
        last = self._last_in(answer.body) if answer.status == 200 else None
        if last is None:
            # Guards against a receiver that answers nonsense: nothing counts as told, and it is said.
            self.trouble = f"the receiver's answer does not count: {answer.status} {answer.body[:80]!r}"
            log.warning("not told", why=self.trouble)
            self.loop.sleep(AGAIN)
            return
        self.trouble, self.last = "", max(last, self.last if self.last is not None else last)

    def _last_in(self, body: bytes) -> int | None:
        try:
            last = msgspec.json.decode(body, type=dict[str, Any]).get("last")
        except msgspec.MsgspecError:
            return None
        # One that names a window of the future would silence the duty: it does not count.
        return last if isinstance(last, int) and -1 <= last <= self._window() else None
