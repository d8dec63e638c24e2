"""Players' reports: taken in, counted, exchanged with others, kept, judged now and then.

`Tokens` is the gateway's part: who plays may report. `Reports` runs in the gateway's process, or where the
site names `reports_at` in a process of its own beside it, so that set-ups do not wait for it.
"""

import json
import math
import os
import secrets
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

import msgspec
import structlog

from ledgehitch.http import Client, ConnectFailed, Interrupted, Refused, Request, Response, problem
from ledgehitch.loop import Loop, TimedOut, run_forked
from ledgehitch.loop.kernel import discard
from ledgehitch.quality.facts import ViewingRecord, parse_reports
from ledgehitch.quality.judge import MIN_VIEWINGS, Verdict, VerdictTracker, evaluate
from ledgehitch.quality.keep import SnapshotStore
from ledgehitch.quality.limits import ReportRateLimit
from ledgehitch.quality.passes import InvalidToken, ReportTokens
from ledgehitch.quality.tally import STORED_WINDOWS, WINDOW_S, Cell, GroupCounts, Tally, Window

SAVE_INTERVAL_S = 2.0  # seconds of counts that a kill may lose at most
EXCHANGE_INTERVAL_S = 5.0
MAX_INLINE_VIEWINGS = 500  # viewings up to which a snapshot is written in place
VERDICT_INTERVAL_S = WINDOW_S
VERDICT_WINDOWS = 6  # windows that a look goes over
KEY_ROTATION_S = 12 * 3600.0  # seconds that one key signs tokens
KEY_RELOAD_DELAY_S = (
    0.5  # seconds between two looks at a gateway's key file for a token that it does not know
)
REPORTS_RELATION = "urn:ledgehitch:reports"
MARK_HEADER = "Quality-Mark"  # life and changes up to which the tables of an answer go
log = structlog.get_logger("quality")


class SharedWindow(msgspec.Struct):
    """One gateway's counts of one window, as they are told to others."""

    source: str
    window: int
    life: int
    version: int
    counts: Window


class TokenIssuer:
    """The keys of one gateway, kept for its next life and for the process that takes its reports."""

    def __init__(self, name: str, state_dir: Path | None) -> None:
        self.key_store = (
            SnapshotStore(state_dir / f"{name}.passes", private=True) if state_dir is not None else None
        )
        self.passes = ReportTokens(secrets.token_bytes(32), time.time())
        self.load()
        self._save()

    def _save(self) -> None:
        if self.key_store is not None:
            self.key_store.write(self.passes.snapshot())

    def load(self) -> None:
        held = self.key_store.read() if self.key_store is not None else None
        try:
            if held is not None:
                self.passes.restore(held, time.time())
        except msgspec.MsgspecError as wrong:
            log.error("the kept keys do not read, tokens of before are refused", why=str(wrong))

    def issue(
        self, resource: str, rack: str, title: str, asked_ago: float, join_target: float, package: str
    ) -> str:
        """A viewing plays: its players may report from now on. Gives the token that they report with."""
        now = time.time()
        if now - self.passes.keys[-1].since > KEY_ROTATION_S:
            self.passes.rotate(secrets.token_bytes(32), now)
            self._save()
        return self.passes.issue(
            now, resource, ViewingRecord(rack, title, now - asked_ago, now, join_target, package)
        )


class KeyFileVerifier:
    """The keys of a gateway that runs in another process: read from its file, anew where one is refused."""

    def __init__(self, name: str, state_dir: Path) -> None:
        self.path, self.passes = state_dir / f"{name}.passes", ReportTokens(secrets.token_bytes(32), 0.0)
        self.passes.keys = []
        self._read_at = -1e9

    def check(self, now: float, token: str, resource: str) -> ViewingRecord | None:
        try:
            return self.passes.check(now, token, resource)
        except InvalidToken:
            if now - self._read_at < KEY_RELOAD_DELAY_S:
                raise
            self._read_at = now
            held = SnapshotStore(self.path).read()
            if held is not None:
                self.passes.restore(held, now)
            return self.passes.check(now, token, resource)


class ReportService:
    def __init__(
        self,
        loop: Loop,
        name: str,
        others: dict[str, str],
        state_dir: Path | None,
        check: Callable[[float, str, str], ViewingRecord | None],
    ) -> None:
        """`others`: where the other gateways' reports are taken, by name. `check` (now, token, viewing)
        raises `InvalidToken`."""
        self.loop, self.name, self.others, self.check = loop, name, others, check
        self.store = SnapshotStore(state_dir / f"{name}.quality") if state_dir is not None else None
        self.limits = ReportRateLimit(secrets.token_bytes(32))
        self.judge = VerdictTracker()
        self.client = Client(loop)
        self.tally = self._load(time.time_ns())
        self.rack_name: Callable[[str], str] = lambda rack: rack
        self.playing_by_rack: Callable[[], dict[str, int]] = dict  # viewings that play now, by rack
        self._saved_count = -1
        self._marks: dict[str, str] = {}  # up to where each gateway's tables are known
        self.refused = 0

    def _load(self, life: int) -> Tally:
        held = self.store.read() if self.store is not None else None
        try:
            return Tally.restore(held, life) if held is not None else Tally(self.name, life)
        except (msgspec.MsgspecError, ValueError) as wrong:  # of another version of the program
            log.error("the kept quality does not read, counting starts anew", why=str(wrong))
            return Tally(self.name, life)

    def start(self) -> None:
        """Spawns the tasks that exchange, keep and judge."""
        self.loop.spawn(self._save_periodically, name="keep quality")
        self.loop.spawn(self._exchange_periodically, name="exchange quality")
        self.loop.spawn(self._judge_periodically, name="judge quality")

    def stop(self) -> None:
        """Keeps what was counted, for the next start."""
        self.client.close()
        if self.store is not None:
            self.store.write(self.tally.snapshot())

    # ---- requests ------------------------------------------------------------------------------------------

    def handle(self, request: Request) -> Response:
        match request.method, request.path.strip("/").split("/"):
            case "POST", ["viewings", resource, "reports"]:
                return self.post(request, resource)
            case "GET", ["quality", "tables"]:
                return self.tables(request.query("mark") or "")
            case "GET", ["quality", "report"]:
                return self.report()
            case _, ["viewings", _, "reports"] | ["quality", "tables" | "report"]:
                raise Refused(405, f"{request.method} is not done here")
        raise Refused(404, f"nothing at {request.path[:100]!r}")

    def post(self, request: Request, resource: str) -> Response:
        scheme, _, token = request.headers.get("authorization", "").partition(" ")
        now = time.time()
        try:
            if scheme.lower() != "bearer":
                raise InvalidToken("a report comes with the token of its viewing's answer")
            seen = self.check(now, token.strip(), resource)
        except InvalidToken as why:
            self.refused += 1
            raise Refused(401, f"the token is refused: {why}", [("WWW-Authenticate", "Bearer")]) from None
        try:
            good, bad = parse_reports(request.body)
        except ValueError as wrong:
            raise Refused(400, str(wrong)) from None
        wait = self.limits.acquire(now, resource, len(good) + len(bad))
        if wait:
            raise Refused(
                429, "more reports than one client may send", [("Retry-After", str(math.ceil(wait)))]
            )
        became: dict[str, int] = {}
        for report in sorted(good, key=lambda r: r.sn):
            word = self.tally.on_report(now, resource, report, seen)
            became[word] = became.get(word, 0) + 1
        if bad:
            return problem(
                422,
                f"{len(bad)} of {len(good) + len(bad)} reports are not counted",
                errors=bad,
                became=became,
            )
        return Response(200, [("Content-Type", "application/json")], json.dumps(became).encode())

    # ---- others --------------------------------------------------------------------------------------------

    def tables(self, mark: str) -> Response:
        """Own windows; to who names a mark of ours only those that changed since."""
        life, _, after = mark.partition(".")
        known = (int(life), int(after)) if life.isdigit() and after.isdigit() else (0, 0)
        told = [SharedWindow(*one) for one in self.tally.summaries(*known)]
        fields = [
            ("Content-Type", "application/json"),
            (MARK_HEADER, f"{self.tally.life}.{self.tally.change_count}"),
        ]
        return Response(200, fields, msgspec.json.encode(told))

    def _exchange_periodically(self) -> None:
        while True:
            self.loop.sleep(EXCHANGE_INTERVAL_S)
            for name, at in self.others.items():
                try:
                    with self.loop.deadline(2.0):
                        mark = self._marks.get(name, "")
                        answer = self.client.request(at, "GET", f"/quality/tables?mark={mark}")
                    for told in msgspec.json.decode(answer.body, type=list[SharedWindow]):
                        self.tally.merge(told.source, told.window, told.life, told.version, told.counts)
                    self._marks[name] = answer.header(MARK_HEADER.lower()) or ""
                except (TimedOut, ConnectFailed, Interrupted, ValueError, msgspec.MsgspecError):
                    continue  # it is told all since its mark the next time
            self.tally.remove_before(int(time.time() // WINDOW_S) - STORED_WINDOWS)

    def _save_periodically(self) -> None:
        while True:
            self.loop.sleep(SAVE_INTERVAL_S)
            taken = self.tally.counts.taken + self.tally.counts.doubles
            if self.store is not None and taken != self._saved_count:
                self._saved_count = taken
                self._save(self.store)

    def _save(self, keep: SnapshotStore) -> None:
        if len(self.tally.clocks) <= MAX_INLINE_VIEWINGS:
            keep.write(self.tally.snapshot())
            return
        # Guards against set-ups waiting for a large snapshot: a copy of the process writes it.
        if run_forked(self.loop, lambda: keep.write(self.tally.snapshot())) == 0:
            keep.serial += 1
        else:
            log.error("the snapshot was not written", path=str(keep.path))

    def _judge_periodically(self) -> None:
        while True:
            self.loop.sleep(VERDICT_INTERVAL_S)
            before = self.judge.verdict.culprits
            verdict = self.judge.on_evaluation(self._compute_verdict(self._totals(VERDICT_WINDOWS)))
            if [(c.kind, c.name) for c in verdict.culprits] != [(c.kind, c.name) for c in before]:
                log.warning("verdict", word=verdict.word)

    def _compute_verdict(self, table: dict[str, Cell]) -> Verdict:
        """A look; at a large table in a copy of the process, so that set-ups do not wait for it."""
        expected = {self.rack_name(r): n for r, n in self.playing_by_rack().items() if n >= MIN_VIEWINGS}
        if len(table) <= MAX_INLINE_VIEWINGS:
            return evaluate(table, expected)
        ours, theirs = os.pipe()
        try:
            told = lambda: discard(os.write(theirs, msgspec.json.encode(evaluate(table, expected))[:65536]))  # noqa: E731
            code = run_forked(self.loop, told)
            return (
                msgspec.json.decode(os.read(ours, 65536), type=Verdict) if code == 0 else self.judge.verdict
            )
        except msgspec.MsgspecError:
            return self.judge.verdict  # too many culprits to be told: the one that stands goes on standing
        finally:
            os.close(ours)
            os.close(theirs)

    def _totals(self, windows: int) -> dict[str, Cell]:
        """Counts of so many windows up to now. Racks are counted by number and named here, so that one that
        a reload renames is the same rack still."""
        last = int(time.time() // WINDOW_S) + 1
        table = self.tally.totals(last - windows, last)
        return {self._with_rack_name(key): cell for key, cell in table.items()}

    def _with_rack_name(self, key: str) -> str:
        rack, _, title = key.partition("\t")
        return f"{self.rack_name(rack)}\t{title}"

    def _groups(self, first: int, last: int) -> dict[str, dict[str, GroupCounts]]:
        groups = self.tally.groups(first, last)
        return groups | {"rack": {self.rack_name(rack): side for rack, side in groups["rack"].items()}}

    def report(self) -> Response:
        """All that people are shown, over all gateways as far as this one has heard."""
        verdict = self._compute_verdict(self._totals(STORED_WINDOWS))
        last = int(time.time() // WINDOW_S) + 1
        series = {}
        for w in range(last - STORED_WINDOWS, last):
            groups = self._groups(w, w + 1)
            if groups["rack"]:
                series[str(int(w * WINDOW_S))] = _encode_groups(groups)
        told = {
            "gateway": self.name,
            "verdict": msgspec.to_builtins(verdict),
            "counts": self.tally.counts,
            "standing": msgspec.to_builtins(self.judge.verdict),
            "groups": _encode_groups(self._groups(last - STORED_WINDOWS, last)),
            "series": series,
            "heard_of": sorted(self.tally.peers),
        }
        return Response(200, [("Content-Type", "application/json")], msgspec.json.encode(told))


def _encode_groups(groups: dict[str, dict[str, GroupCounts]]) -> dict[str, dict[str, dict[str, Any]]]:
    """Counts by kind and name; of start times the median and the 95th percentile, milliseconds."""

    def shown(side: GroupCounts) -> dict[str, Any]:
        told = {f: getattr(side, f) for f in (*Cell.__struct_fields__, "starts", "start")}
        return told | {"start_p50": side.start_at(0.5), "start_p95": side.start_at(0.95)}

    return {kind: {name: shown(side) for name, side in sides.items()} for kind, sides in groups.items()}
