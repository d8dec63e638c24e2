"""The work of the duty `verdicts`: sends the verdict on the fleet's quality to the receiver of the site.

There is one verdict per window of the wall clock. An owner first sends its term to the receiver, which
answers with the last window that it has. The owner continues after that window, so that no window gets two
contradicting verdicts. A request without an answer is repeated unchanged until it is answered or the term
ends.
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

REQUEST_TIMEOUT_S = 2.0
RETRY_INTERVAL_S = 1.0
log = structlog.get_logger("verdicts")


class Verdicts:
    """Sends verdicts to the receiver while this gateway owns the duty."""

    def __init__(self, loop: Loop, site: Site, name: str, owning: Owning, reports: ReportService) -> None:
        self.loop, self.name, self.owning, self.reports = loop, name, owning, reports
        self.receiver, self.window_s = site.owners.verdicts_to, site.owners.verdicts_every
        self.client = Client(loop)
        self.last_window: int | None = None  # the last window that the receiver has
        self.error = ""

    def doing(self) -> str:
        """Returns the progress for operators."""
        progress = (
            "hears what the receiver has" if self.last_window is None else f"told window {self.last_window}"
        )
        return f"{progress}; {self.error}" if self.error else progress

    def run(self, term: int) -> None:
        """Sends a verdict for each window until cancelled at the end of the term."""
        self.last_window, self.error = None, ""
        while self.last_window is None:
            self._send(term, {"window": None})
        while True:
            self.loop.sleep(
                max(0.01, (max(self.last_window, self._window() - 1) + 2) * self.window_s - time.time())
            )
            window = self._window() - 1  # the last complete one
            if window <= self.last_window:
                continue
            verdict = msgspec.to_builtins(self.reports.judge.verdict)
            message = {"window": window, "seconds": self.window_s, "verdict": verdict}
            while self.last_window < window:
                self._send(term, message)

    def _window(self) -> int:
        return int(time.time() // self.window_s)

    def _send(self, term: int, message: dict[str, Any]) -> None:
        """Sends one request and applies the answer; returns after a pause if it failed.

        If this gateway is no longer the owner, the task is cancelled during that pause.
        """
        if self.owning.owned_term(VERDICTS) != term:
            self.loop.sleep(RETRY_INTERVAL_S)
            return
        body = msgspec.json.encode({"duty": VERDICTS, "term": term, "owner": self.name, **message})
        try:
            with self.loop.deadline(REQUEST_TIMEOUT_S):
                answer = self.client.request(self.receiver, "POST", "/verdicts", None, body)
        except (TimedOut, ConnectFailed, Interrupted, ValueError) as why:
            self.error = f"the receiver does not answer: {why}"
            self.loop.sleep(RETRY_INTERVAL_S)
            return
        known = answer.header("known-term") or ""
        if answer.status == 409 and known.isdigit() and int(known) > term:
            self.owning.on_effect_refused(VERDICTS, term, int(known), "receiver")
            self.loop.sleep(RETRY_INTERVAL_S)
            return
        last = self._parse_last_window(answer.body) if answer.status == 200 else None
        if last is None:
            # An invalid answer does not count as an acknowledgement.
            self.error = f"the receiver's answer does not count: {answer.status} {answer.body[:80]!r}"
            log.warning("verdict not acknowledged", why=self.error)
            self.loop.sleep(RETRY_INTERVAL_S)
            return
        self.error, self.last_window = (
            "",
            max(last, self.last_window if self.last_window is not None else last),
        )

    def _parse_last_window(self, body: bytes) -> int | None:
        try:
            last = msgspec.json.decode(body, type=dict[str, Any]).get("last")
        except msgspec.MsgspecError:
            return None
        # A window in the future is rejected, since no verdict would be sent until then.
        return last if isinstance(last, int) and -1 <= last <= self._window() else None
