"""Quality reports of players: receives, counts, exchanges, saves and periodically evaluates them.

`TokenIssuer` belongs to the gateway and gives players the tokens to report with. `ReportService` runs in the
gateway's process or, where the site has `reports_at`, in a process of its own, so that it does not delay
set-ups.
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

SAVE_INTERVAL_S = 2.0  # a kill loses at most the counts of so long
EXCHANGE_INTERVAL_S = 5.0
MAX_INLINE_VIEWINGS = 500  # above, snapshots and verdicts are made in a forked process
VERDICT_INTERVAL_S = WINDOW_S
VERDICT_WINDOWS = 6  # covered by a periodic verdict
KEY_ROTATION_S = 12 * 3600.0  # how long one key signs tokens
KEY_RELOAD_DELAY_S = 0.5  # least time between two reads of a key file because of unknown tokens
REPORTS_RELATION = "urn:ledgehitch:reports"
MARK_HEADER = "Quality-Mark"  # life and change count up to which an answer's tables go
log = structlog.get_logger("quality")


class SharedWindow(msgspec.Struct):
    """One gateway's counts of one window, as sent to other gateways."""

    source: str
    window: int
    life: int
    version: int
    counts: Window


class TokenIssuer:
    """Issues report tokens. The keys are saved for the next start and for a separate report process."""

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
        saved = self.key_store.read() if self.key_store is not None else None
        try:
            if saved is not None:
                self.passes.restore(saved, time.time())
        except msgspec.MsgspecError as error:
            log.error("cannot read the saved keys, earlier tokens will be refused", why=str(error))

    def issue(
        self, resource: str, rack: str, title: str, asked_ago: float, join_target: float, package: str
    ) -> str:
        """Returns the token with which the players of a viewing that now plays may report."""
        now = time.time()
        if now - self.passes.keys[-1].since > KEY_ROTATION_S:
            self.passes.rotate(secrets.token_bytes(32), now)
            self._save()
        return self.passes.issue(
            now, resource, ViewingRecord(rack, title, now - asked_ago, now, join_target, package)
        )


class KeyFileVerifier:
    """Verifies tokens of a gateway in another process. Reads its key file again when a token is refused."""

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
            saved = SnapshotStore(self.path).read()
            if saved is not None:
                self.passes.restore(saved, now)
            return self.passes.check(now, token, resource)


class ReportService:
    """Takes the reports for one gateway and merges the counts of the others."""

    def __init__(
        self,
        loop: Loop,
        name: str,
        others: dict[str, str],
        state_dir: Path | None,
        check: Callable[[float, str, str], ViewingRecord | None],
    ) -> None:
        """`others`: addresses of the other gateways' report services, by name. `check` takes the time, the
        token and the viewing, and raises `InvalidToken`."""
        self.loop, self.name, self.others, self.check = loop, name, others, check
        self.store = SnapshotStore(state_dir / f"{name}.quality") if state_dir is not None else None
        self.limits = ReportRateLimit(secrets.token_bytes(32))
        self.judge = VerdictTracker()
        self.client = Client(loop)
        self.tally = self._load(time.time_ns())
        self.rack_name: Callable[[str], str] = lambda rack: rack
        self.playing_by_rack: Callable[[], dict[str, int]] = dict  # numbers of playing viewings
        self._saved_count = -1  # reports counted up to the last snapshot
        self._marks: dict[str, str] = {}  # by gateway: the mark of the newest tables received
        self.refused = 0

    def _load(self, life: int) -> Tally:
        saved = self.store.read() if self.store is not None else None
        try:
            return Tally.restore(saved, life) if saved is not None else Tally(self.name, life)
        except (msgspec.MsgspecError, ValueError) as error:  # written by another version of the program
            log.error("cannot read the saved quality counts, starting without them", why=str(error))
            return Tally(self.name, life)

    def start(self) -> None:
        """Spawns the periodic tasks."""
        self.loop.spawn(self._save_periodically, name="save quality")
        self.loop.spawn(self._exchange_periodically, name="exchange quality")
        self.loop.spawn(self._judge_periodically, name="judge quality")

    def stop(self) -> None:
        """Saves the counts for the next start."""
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
        except ValueError as error:
            raise Refused(400, str(error)) from None
        wait = self.limits.acquire(now, resource, len(good) + len(bad))
        if wait:
            raise Refused(
                429, "more reports than one client may send", [("Retry-After", str(math.ceil(wait)))]
            )
        became: dict[str, int] = {}
        for report in sorted(good, key=lambda r: r.sn):
            outcome = self.tally.on_report(now, resource, report, seen)
            became[outcome] = became.get(outcome, 0) + 1
        if bad:
            return problem(
                422,
                f"{len(bad)} of {len(good) + len(bad)} reports are not counted",
                errors=bad,
                became=became,
            )
        return Response(200, [("Content-Type", "application/json")], json.dumps(became).encode())

    # ---- exchange ------------------------------------------------------------------------------------------

    def tables(self, mark: str) -> Response:
        """Answers with this gateway's windows; with a `mark` of ours, only those changed since."""
        life, _, after = mark.partition(".")
        known = (int(life), int(after)) if life.isdigit() and after.isdigit() else (0, 0)
        windows = [SharedWindow(*summary) for summary in self.tally.summaries(*known)]
        fields = [
            ("Content-Type", "application/json"),
            (MARK_HEADER, f"{self.tally.life}.{self.tally.change_count}"),
        ]
        return Response(200, fields, msgspec.json.encode(windows))

    def _exchange_periodically(self) -> None:
        while True:
            self.loop.sleep(EXCHANGE_INTERVAL_S)
            for name, address in self.others.items():
                try:
                    with self.loop.deadline(2.0):
                        mark = self._marks.get(name, "")
                        answer = self.client.request(address, "GET", f"/quality/tables?mark={mark}")
                    for shared in msgspec.json.decode(answer.body, type=list[SharedWindow]):
                        self.tally.merge(
                            shared.source, shared.window, shared.life, shared.version, shared.counts
                        )
                    self._marks[name] = answer.header(MARK_HEADER.lower()) or ""
                except (TimedOut, ConnectFailed, Interrupted, ValueError, msgspec.MsgspecError):
                    continue  # the next request gets all changes since the same mark
            self.tally.remove_before(int(time.time() // WINDOW_S) - STORED_WINDOWS)

    def _save_periodically(self) -> None:
        while True:
            self.loop.sleep(SAVE_INTERVAL_S)
            counted = self.tally.counts.taken + self.tally.counts.doubles
            if self.store is not None and counted != self._saved_count:
                self._saved_count = counted
                self._save(self.store)

    def _save(self, store: SnapshotStore) -> None:
        if len(self.tally.clocks) <= MAX_INLINE_VIEWINGS:
            store.write(self.tally.snapshot())
            return
        # A forked process writes a large snapshot, so that set-ups do not wait for it.
        if run_forked(self.loop, lambda: store.write(self.tally.snapshot())) == 0:
            store.serial += 1
        else:
            log.error("the forked process failed to write the snapshot", path=str(store.path))

    def _judge_periodically(self) -> None:
        while True:
            self.loop.sleep(VERDICT_INTERVAL_S)
            before = self.judge.verdict.culprits
            verdict = self.judge.on_evaluation(self._compute_verdict(self._totals(VERDICT_WINDOWS)))
            if [(c.kind, c.name) for c in verdict.culprits] != [(c.kind, c.name) for c in before]:
                log.warning("quality verdict changed", word=verdict.word)

    def _compute_verdict(self, table: dict[str, Cell]) -> Verdict:
        """Evaluates a table. A forked process does it for a large one, so that set-ups do not wait for it."""
        expected = {self.rack_name(r): n for r, n in self.playing_by_rack().items() if n >= MIN_VIEWINGS}
        if len(table) <= MAX_INLINE_VIEWINGS:
            return evaluate(table, expected)
        reader, writer = os.pipe()
        try:
            send = lambda: discard(os.write(writer, msgspec.json.encode(evaluate(table, expected))[:65536]))  # noqa: E731
            code = run_forked(self.loop, send)
            return (
                msgspec.json.decode(os.read(reader, 65536), type=Verdict) if code == 0 else self.judge.verdict
            )
        except msgspec.MsgspecError:
            return self.judge.verdict  # too many culprits for the pipe: the current verdict stays
        finally:
            os.close(reader)
            os.close(writer)

    def _totals(self, windows: int) -> dict[str, Cell]:
        """Returns the counts of the last `windows` windows. Racks are counted by number and named only here,
        so that a rack stays the same if a reload renames it."""
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
        """Answers with the full report over all gateways, as far as their counts have arrived."""
        verdict = self._compute_verdict(self._totals(STORED_WINDOWS))
        last = int(time.time() // WINDOW_S) + 1
        series = {}
        for w in range(last - STORED_WINDOWS, last):
            groups = self._groups(w, w + 1)
            if groups["rack"]:
                series[str(int(w * WINDOW_S))] = _encode_groups(groups)
        report = {
            "gateway": self.name,
            "verdict": msgspec.to_builtins(verdict),
            "counts": self.tally.counts,
            "standing": msgspec.to_builtins(self.judge.verdict),
            "groups": _encode_groups(self._groups(last - STORED_WINDOWS, last)),
            "series": series,
            "heard_of": sorted(self.tally.peers),
        }
        return Response(200, [("Content-Type", "application/json")], msgspec.json.encode(report))


def _encode_groups(groups: dict[str, dict[str, GroupCounts]]) -> dict[str, dict[str, dict[str, Any]]]:
    """Returns counts by kind and name, with the median and the 95th percentile of start times in ms."""

    def encode_side(side: GroupCounts) -> dict[str, Any]:
        fields = {f: getattr(side, f) for f in (*Cell.__struct_fields__, "starts", "start")}
        return fields | {"start_p50": side.start_at(0.5), "start_p95": side.start_at(0.95)}

    return {kind: {name: encode_side(side) for name, side in sides.items()} for kind, sides in groups.items()}
