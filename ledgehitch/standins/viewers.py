"""Simulated viewers: they request, wait, watch, retry and leave; their results are the day's service."""

import json
import random
import re
import time
from collections.abc import Callable
from dataclasses import asdict, dataclass, replace
from pathlib import Path
from typing import Any

from ledgehitch.config import Day, Site
from ledgehitch.http import Client, ConnectFailed, Interrupted, Response
from ledgehitch.http.parse import ResponseReader
from ledgehitch.loop import Datagrams, Endpoint, Event, Loop, Stream, TimedOut, connect, endpoint
from ledgehitch.proof.tape import Tape
from ledgehitch.standins.arrivals import Visit, titles_by_popularity, visits, weighted_index
from ledgehitch.standins.players import Made, Player, faulty_of
from ledgehitch.standins.service import Booking, Service
from ledgehitch.standins.visiting import (
    LATE_ANSWER,
    MOST_AFTER,
    SIGN,
    Rest,
    Seen,
    Try,
    TryResult,
    Watch,
    visit,
)

REPORTS = re.compile(r'<([^>]*)>; *rel="urn:ledgehitch:reports"')
KINDS = {201: "plays", 503: "blocked", 502: "aborted", 504: "aborted", 307: "moved"}
MAX_REDIRECTS = 3  # that a viewer follows in a row


def offer_of(number: int, ufrag: str = "") -> bytes:
    """Returns a small, complete SDP offer to receive audio and video."""
    lines = [
        "v=0",
        f"o=- {number} 1 IN IP4 127.0.0.1",
        "s=-",
        "t=0 0",
        "a=group:BUNDLE 0 1",
        "m=audio 9 UDP/TLS/RTP/SAVPF 111",
        "c=IN IP4 0.0.0.0",
        "a=mid:0",
        f"a=ice-ufrag:{ufrag or f'v{number}'}",
        "a=ice-pwd:0123456789abcdefghijkl",
        "a=fingerprint:sha-256 " + ":".join(["CD"] * 32),
        "a=setup:actpass",
        "a=recvonly",
        "a=rtpmap:111 opus/48000/2",
        "m=video 9 UDP/TLS/RTP/SAVPF 96",
        "c=IN IP4 0.0.0.0",
        "a=mid:1",
        "a=recvonly",
        "a=rtpmap:96 VP8/90000",
    ]
    return ("\r\n".join(lines) + "\r\n").encode()


@dataclass
class AttemptResult:
    """The result of one request."""

    kind: str  # plays, blocked, aborted, moved, other, broken, nobody, hung up
    response: Response | None = None
    advice: float = 0.0
    ticket: str = ""


class Viewers:
    """All viewers of a day, each in a task of its own."""

    def __init__(self, loop: Loop, site: Site, day: Day, seed: int, tape: Tape) -> None:
        self.loop, self.site, self.day, self.seed, self.tape = loop, site, day, seed, tape
        self.chance = random.Random(f"{seed}/viewers")
        self.booking = Booking(day, site)
        self.service = self.booking.service
        self.gateways = [(g.name, endpoint(g.at)) for g in site.gateways]
        self.zones = sorted({g.zone for g in site.gateways})
        lean = random.Random(f"{seed}/lean")
        self.lean = [0.5 + lean.random() for _ in self.gateways]
        self.packages = {p.name: p for p in site.packages}
        self.media = Datagrams(loop, endpoint("127.0.0.1:0"))
        self.keepalive_handlers: dict[str, Callable[[str], None]] = {}
        self.started = 0.0
        self.reporting = day.reporting
        self.made = Made()
        wanted = titles_by_popularity(site, random.Random(f"{seed}/arrivals"))
        self.faulty = faulty_of(day, site, wanted, seed)
        self.racks = {h.name: str(h.cell % max(1, site.fleet.racks)) for h in site.hosts}
        self.client = Client(loop)
        self._batches_in_flight = 0
        self._conns = 0
        self._active = 0
        self._main_task: Any = None

    def run(self, most_after: float = MOST_AFTER) -> Service:
        """Runs the day's arrivals; viewings still open `most_after` seconds after its end are cut off."""
        self._main_task = self.loop.current
        self.loop.spawn(self._receive_media, name="media")
        self.started = time.monotonic()
        done = Event(self.loop)

        def finished() -> None:
            self._active -= 1
            if self._active == 0 and self._all_arrived:
                done.set()

        self._all_arrived = False
        for visitor in visits(self.day, self.site, self.seed):
            wait = self.started + visitor.at - time.monotonic()
            if wait > 0:
                self.loop.sleep(wait)
            self._active += 1
            self.loop.spawn(self._visit, visitor, finished, name=f"viewer {visitor.number}")
        self._all_arrived = True
        day_end = self.started + self.day.length
        try:
            with self.loop.deadline(max(0.1, day_end - time.monotonic()) + most_after):
                if self._active:
                    done.wait()
        except TimedOut:
            pass
        self._wait_for_reports()
        return self.service

    def _wait_for_reports(self) -> None:
        """Waits for batches still in flight, since delayed reports count for the day."""
        ends = time.monotonic() + self.reporting.copies * self.reporting.late + 2.0
        while self._batches_in_flight and time.monotonic() < ends:
            self.loop.sleep(0.1)

    # ---- one viewer ----------------------------------------------------------------------------------------

    def _now(self) -> float:
        """Seconds from the day's start."""
        return time.monotonic() - self.started

    def _visit(self, visitor: Visit, finished: Callable[[], None]) -> None:
        try:
            target = self.packages[visitor.package].join_target
            steps = visit(visitor, self.day, target, self.booking, self.chance, self._now)
            result: TryResult | bool | None = None
            attempt: AttemptResult | None = None
            took = 0.0
            while True:
                try:
                    step = steps.send(result)
                except StopIteration:
                    return
                result = None
                match step:
                    case Try(place, top, ticket):
                        tried_at = time.monotonic()
                        attempt = self._attempt(
                            visitor if top == visitor.top else replace(visitor, top=top), place, ticket
                        )
                        took = time.monotonic() - tried_at
                        result = TryResult(attempt.kind, attempt.advice, attempt.ticket)
                    case Rest(seconds):
                        self.loop.sleep(max(0.0, seconds))
                    case Watch(place, seconds, in_time):
                        assert attempt is not None and attempt.response is not None
                        result = self._watch(visitor, attempt.response, seconds, in_time, place, took)
        finally:
            finished()

    def _attempt(self, visitor: Visit, place: float, ticket: str) -> AttemptResult:
        name, at = self.gateways[weighted_index(place, self.lean)]
        package = self.packages[visitor.package]
        body = offer_of(visitor.number * 10 + self.chance.randrange(10), f"v{self._conns:x}")
        if visitor.method == "whip":
            body = body.replace(b"a=recvonly", b"a=sendonly")
        first = self._prepare_request(
            visitor, name, at, body, package.patience, visitor.impatient_after, ticket
        )
        if not visitor.repeats:
            return self._follow_redirects(visitor, first(), body, package.patience)
        # Repeats the same offer over a second connection before the first answer.
        repeated: list[AttemptResult] = []
        second = self.loop.spawn(
            lambda: repeated.append(self._prepare_request(visitor, name, at, body, package.patience, None)()),
            name="repeat",
        )
        attempt = first()
        second.wait()
        return self._follow_redirects(visitor, attempt, body, package.patience)

    def _follow_redirects(
        self, visitor: Visit, attempt: AttemptResult, body: bytes, patience: float
    ) -> AttemptResult:
        """Follows the redirect of a draining gateway; the viewer makes a new request at the other one."""
        redirects = 0
        while attempt.kind == "moved" and redirects < MAX_REDIRECTS:
            redirects += 1
            location = (attempt.response.header("location") or "") if attempt.response is not None else ""
            at = location.removeprefix("http://").partition("/")[0]
            other = next(((name, to) for name, to in self.gateways if str(to) == at), None)
            if other is None:
                break
            attempt = self._prepare_request(visitor, *other, body, patience, visitor.impatient_after)()
        return replace(attempt, kind="blocked") if attempt.kind == "moved" else attempt

    def _prepare_request(
        self,
        visitor: Visit,
        name: str,
        at: Endpoint,
        body: bytes,
        patience: float,
        leaves_after: float | None,
        ticket: str = "",
    ) -> Callable[[], AttemptResult]:
        self._conns += 1
        conn = self._conns
        who = f"viewer-{self.seed}-{visitor.number}"
        head = [
            f"POST /{visitor.method}/{visitor.package}/{visitor.title}?top={visitor.top} HTTP/1.1",
            f"Host: {at}",
            "Content-Type: application/sdp",
            f"Authorization: Bearer {who}",
            f"Prefer: wait={patience:g}",
            f"Content-Length: {len(body)}",
        ]
        if ticket:
            head.append(f"Return-Ticket: {ticket}")
        request = "\r\n".join(head).encode() + b"\r\n\r\n" + body

        def ask() -> AttemptResult:
            try:
                with self.loop.deadline(patience):
                    stream = connect(self.loop, at)
            except (OSError, TimedOut):
                return AttemptResult("nobody")
            try:
                stream.send(request)
            except OSError:
                stream.close()
                return AttemptResult("nobody")
            sent = time.monotonic()
            self.tape.write(
                "ask",
                conn=conn,
                who=who,
                package=visitor.package,
                title=visitor.title,
                gateway=name,
                patience=patience,
                method=visitor.method,
                offer=body[:40].hex(),
            )
            try:
                return self._await(stream, conn, sent, patience, leaves_after)
            finally:
                stream.close()

        return ask

    def _await(
        self, stream: Stream, conn: int, sent: float, patience: float, leaves_after: float | None
    ) -> AttemptResult:
        reader, response = ResponseReader(), None
        try:
            with self.loop.deadline(leaves_after if leaves_after is not None else patience + LATE_ANSWER):
                while response is None:
                    data = stream.receive()
                    if not data:
                        self.tape.write("broken", conn=conn, why="ended")
                        return AttemptResult("broken")
                    response = reader.feed(data)
        except TimedOut:
            self.tape.write("hangup", conn=conn)
            return AttemptResult("hung up" if leaves_after is not None else "broken")
        except (OSError, ValueError) as problem:
            self.tape.write("broken", conn=conn, why=str(problem))
            return AttemptResult("broken")
        advice = float(response.header("retry-after") or 0)
        kind = KINDS.get(response.status, "other")
        extra = 0 if stream.is_idle() or stream.peer_closed() else 1
        self.tape.write(
            "answer",
            conn=conn,
            status=response.status,
            kind=kind,
            extra=extra,
            resource=response.header("location") or "",
        )
        return AttemptResult(kind, response, advice, response.header("return-ticket") or "")

    # ---- watching ------------------------------------------------------------------------------------------

    def _watch(
        self, visitor: Visit, response: Response, wanted: float, in_time: bool, place: float, took: float
    ) -> bool:
        """Watches for `wanted` seconds, until playback fails or until the viewer gives up.

        Returns whether the viewer left satisfied. `took`: seconds from request to answer.
        """
        ufrag, media = parse_answer(response.body.decode("utf-8", "replace"))
        if media is None:
            return False
        seen = Seen(self._now())
        end = min(self._now() + wanted, self.day.length)

        def on_answer(text: str) -> None:
            parts = text.split()
            if len(parts) == 2:
                seen.gone = True
            elif len(parts) == 3:
                seen.on_answer(self._now(), float(parts[1]), int(parts[2]))

        self.keepalive_handlers[ufrag] = on_answer
        player = self._player(visitor, ufrag, took) if self.reporting.every else None
        reported_at = self._now()
        content = True
        try:
            while (now := self._now()) < end:
                self.media.send(ufrag.encode(), media)
                self.loop.sleep(min(SIGN, end - now))
                then = self._now()
                share = seen.visible_share(then)
                self.booking.watched(visitor, now, then - now, share, seen.rung, in_time)
                if player is not None:
                    player.played(then - now, share, seen.rung)
                    if then - reported_at >= self.reporting.every or player.sn == 0:
                        player.report(then, then - reported_at, self.faulty)
                        reported_at = then
                        self._send_reports(player, response, place)
                if seen.gives_up(then, then - now, self.day.arrivals.leave_under, self.chance):
                    content = False
                    break
        finally:
            del self.keepalive_handlers[ufrag]
        location = response.header("location") or ""
        self.loop.spawn(self._delete, location, place, name="leave", owner=self._main_task)
        return content

    def _player(self, visitor: Visit, ufrag: str, took: float) -> Player:
        chance = random.Random(f"{self.seed}/{visitor.number}/player")
        rack, lies = self.racks.get(ufrag.partition("+")[0], "?"), chance.random() < self.reporting.lying
        return Player(rack, visitor.title, took, chance, lies, chance.uniform(0, 1e6))

    def _send_reports(self, player: Player, response: Response, place: float) -> None:
        """Sends the player's pending reports in a task, with the day's delays and number of copies."""
        _, at = self.gateways[weighted_index(place, self.lean)]
        batch, player.pending = player.pending, []
        token = response.header("report-token") or ""
        to, path = reports_to(response, str(at))
        fields = [("Authorization", f"Bearer {token}"), ("Content-Type", "application/json")]
        self.made.reports += 1
        self._batches_in_flight += 1

        def send() -> None:
            try:
                for copy in range(self.reporting.copies):
                    self.loop.sleep(player.chance.uniform(0.0, self.reporting.late))
                    self.made.sent += len(batch)
                    status, results = self._post(to, path, fields, json.dumps(batch).encode())
                    self.made.heard(status, results, batch, player)
                    if status == 0 and copy == 0:
                        player.pending = batch + player.pending
                        return
            finally:
                self._batches_in_flight -= 1

        self.loop.spawn(send, name="report", owner=self._main_task)

    def _post(
        self, at: str, path: str, fields: list[tuple[str, str]], body: bytes
    ) -> tuple[int, dict[str, int]]:
        """Returns the answer's status, 0 for none, and the counts of reports by result."""
        try:
            with self.loop.deadline(2.0):
                answer = self.client.request(at, "POST", path, fields, body)
        except (OSError, TimedOut, ConnectFailed, Interrupted, ValueError):
            return 0, {}
        return answer.status, json.loads(answer.body) if answer.status == 200 else {}

    def _delete(self, location: str, place: float) -> None:
        _, at = self.gateways[weighted_index(place, self.lean)]
        try:
            with self.loop.deadline(2.0):
                stream = connect(self.loop, at)
                try:
                    stream.send(
                        f"DELETE {location} HTTP/1.1\r\nHost: {at}\r\nConnection: close\r\n\r\n".encode()
                    )
                    stream.receive()
                finally:
                    stream.close()
        except (OSError, TimedOut, ConnectFailed):
            pass

    def _receive_media(self) -> None:
        while True:
            data, _ = self.media.receive()
            text = data.decode("ascii", "replace")
            handler = self.keepalive_handlers.get(text.partition(" ")[0])
            if handler is not None:
                handler(text)


def reports_to(response: Response, at: str) -> tuple[str, str]:
    """Returns address and path for reports on a viewing that the gateway at `at` admitted.

    The address is the gateway's own, or that of a separate process that takes its reports.
    """
    links = ", ".join(value for name, value in response.headers if name.lower() == "link")
    found = REPORTS.search(links)
    where = found[1] if found else ""
    if not where.startswith("http://"):
        return at, where
    to, _, path = where.removeprefix("http://").partition("/")
    return to, f"/{path}"


def parse_answer(answer: str) -> tuple[str, Endpoint | None]:
    """Returns the ICE ufrag and the address of the first candidate of an SDP answer."""
    ufrag, media = "", None
    for line in answer.splitlines():
        if line.startswith("a=ice-ufrag:"):
            ufrag = line[12:]
        elif line.startswith("a=candidate:") and media is None:
            parts = line.split()
            if len(parts) >= 6:
                media = endpoint(f"{parts[4]}:{parts[5]}")
    return ufrag, media


def play(site: Site, day: Day, seed: int, tape_path: Path | None) -> dict[str, Any]:
    """Runs the viewers of a whole day in this process and returns their service."""
    loop = Loop()
    tape = Tape(tape_path)
    try:
        viewers = Viewers(loop, site, day, seed, tape)
        service: Service = loop.run(viewers.run)
    finally:
        tape.close()
    summary = service.summary()
    if day.reporting.every:
        summary["players"] = {**asdict(viewers.made), "faulty": [asdict(f) for f in viewers.faulty]}
    return summary
