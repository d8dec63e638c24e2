"""Viewers' stand-in: they ask, wait, watch, come again and leave; what they got is the day's service."""

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
from ledgehitch.standins.arrivals import Visit, by_want, picked, visits
from ledgehitch.standins.players import Made, Player, faulty_of
from ledgehitch.standins.service import Booking, Service
from ledgehitch.standins.visiting import LATE_ANSWER, MOST_AFTER, SIGN, Came, Rest, Seen, Try, Watch, visit

REPORTS = re.compile(r'<([^>]*)>; *rel="urn:ledgehitch:reports"')
KINDS = {201: "plays", 503: "blocked", 502: "aborted", 504: "aborted", 307: "moved"}
MOST_MOVES = 3  # redirections in a row that a viewer follows


def offer_of(number: int, ufrag: str = "") -> bytes:
    """A small, whole offer to watch."""
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
class Got:
    """What came of one try."""

    kind: str  # plays, blocked, aborted, other, broken, nobody, hung up
    response: Response | None = None
    advice: float = 0.0
    ticket: str = ""


class Viewers:
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
        self.signs: dict[str, Callable[[str], None]] = {}
        self.started = 0.0
        self.reporting = day.reporting
        self.made = Made()
        wanted = by_want(site, random.Random(f"{seed}/arrivals"))
        self.faulty = faulty_of(day, site, wanted, seed)
        self.racks = {h.name: str(h.cell % max(1, site.fleet.racks)) for h in site.hosts}
        self.client = Client(loop)
        self._telling = 0  # batches of reports on their way
        self._conns = 0
        self._left = 0
        self._home: Any = None

    def run(self, most_after: float = MOST_AFTER) -> Service:
        """Plays the day's arrivals; what still plays a while after the end is broken off."""
        self._home = self.loop.current
        self.loop.spawn(self._hear, name="media")
        self.started = time.monotonic()
        done = Event(self.loop)

        def finished() -> None:
            self._left -= 1
            if self._left == 0 and self._all_came:
                done.set()

        self._all_came = False
        for v in visits(self.day, self.site, self.seed):
            wait = self.started + v.at - time.monotonic()
            if wait > 0:
                self.loop.sleep(wait)
            self._left += 1
            self.loop.spawn(self._visit, v, finished, name=f"viewer {v.number}")
        self._all_came = True
        over = self.started + self.day.length
        try:
            with self.loop.deadline(max(0.1, over - time.monotonic()) + most_after):
                if self._left:
                    done.wait()
        except TimedOut:
            pass
        self._tell_the_last()
        return self.service

    def _tell_the_last(self) -> None:
        """Reports that are on their way late are part of the day."""
        ends = time.monotonic() + self.reporting.copies * self.reporting.late + 2.0
        while self._telling and time.monotonic() < ends:
            self.loop.sleep(0.1)

    # ---- one viewer ----------------------------------------------------------------------------------------

    def _now(self) -> float:
        """Seconds from the day's start."""
        return time.monotonic() - self.started

    def _visit(self, v: Visit, finished: Callable[[], None]) -> None:
        try:
            target = self.packages[v.package].join_target
            steps = visit(v, self.day, target, self.booking, self.chance, self._now)
            told: Came | bool | None = None
            got: Got | None = None
            took = 0.0
            while True:
                try:
                    step = steps.send(told)
                except StopIteration:
                    return
                told = None
                match step:
                    case Try(place, top, ticket):
                        tried_at = time.monotonic()
                        got = self._try(v if top == v.top else replace(v, top=top), place, ticket)
                        took = time.monotonic() - tried_at
                        told = Came(got.kind, got.advice, got.ticket)
                    case Rest(seconds):
                        self.loop.sleep(max(0.0, seconds))
                    case Watch(place, seconds, in_time):
                        assert got is not None and got.response is not None
                        told = self._watch(v, got.response, seconds, in_time, place, took)
        finally:
            finished()

    def _try(self, v: Visit, place: float, ticket: str) -> Got:
        name, at = self.gateways[picked(place, self.lean)]
        package = self.packages[v.package]
        body = offer_of(v.number * 10 + self.chance.randrange(10), f"v{self._conns:x}")
        if v.method == "whip":
            body = body.replace(b"a=recvonly", b"a=sendonly")
        first = self._ask(v, name, at, body, package.patience, v.impatient_after, ticket)
        if not v.repeats:
            return self._followed(v, first(), body, package.patience)
        # The same offer once more, from a second connection, before the first answer.
        box: list[Got] = []
        second = self.loop.spawn(
            lambda: box.append(self._ask(v, name, at, body, package.patience, None)()), name="repeat"
        )
        got = first()
        second.wait()
        return self._followed(v, got, body, package.patience)

    def _followed(self, v: Visit, got: Got, body: bytes, patience: float) -> Got:
        """A gateway that drains names another, which is asked at once: a viewing of its own there."""
        moves = 0
        while got.kind == "moved" and moves < MOST_MOVES:
            moves += 1
            there = (got.response.header("location") or "") if got.response is not None else ""
            at = there.removeprefix("http://").partition("/")[0]
            other = next(((name, to) for name, to in self.gateways if str(to) == at), None)
            if other is None:
                break
            got = self._ask(v, *other, body, patience, v.impatient_after)()
        return replace(got, kind="blocked") if got.kind == "moved" else got

    def _ask(
        self,
        v: Visit,
        name: str,
        at: Endpoint,
        body: bytes,
        patience: float,
        leaves_after: float | None,
        ticket: str = "",
    ) -> Callable[[], Got]:
        self._conns += 1
        conn = self._conns
        who = f"viewer-{self.seed}-{v.number}"
        head = [
            f"POST /{v.method}/{v.package}/{v.title}?top={v.top} HTTP/1.1",
            f"Host: {at}",
            "Content-Type: application/sdp",
            f"Authorization: Bearer {who}",
            f"Prefer: wait={patience:g}",
            f"Content-Length: {len(body)}",
        ]
        if ticket:
            head.append(f"Return-Ticket: {ticket}")
        whole = "\r\n".join(head).encode() + b"\r\n\r\n" + body

        def ask() -> Got:
            try:
                with self.loop.deadline(patience):
                    stream = connect(self.loop, at)
            except (OSError, TimedOut):
                return Got("nobody")
            try:
                stream.send(whole)
            except OSError:
                stream.close()
                return Got("nobody")
            sent = time.monotonic()
            self.tape.write(
                "ask",
                conn=conn,
                who=who,
                package=v.package,
                title=v.title,
                gateway=name,
                patience=patience,
                method=v.method,
                offer=body[:40].hex(),
            )
            try:
                return self._await(stream, conn, sent, patience, leaves_after)
            finally:
                stream.close()

        return ask

    def _await(
        self, stream: Stream, conn: int, sent: float, patience: float, leaves_after: float | None
    ) -> Got:
        reader, response = ResponseReader(), None
        try:
            with self.loop.deadline(leaves_after if leaves_after is not None else patience + LATE_ANSWER):
                while response is None:
                    data = stream.receive()
                    if not data:
                        self.tape.write("broken", conn=conn, why="ended")
                        return Got("broken")
                    response = reader.feed(data)
        except TimedOut:
            self.tape.write("hangup", conn=conn)
            return Got("hung up" if leaves_after is not None else "broken")
        except (OSError, ValueError) as problem:
            self.tape.write("broken", conn=conn, why=str(problem))
            return Got("broken")
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
        return Got(kind, response, advice, response.header("return-ticket") or "")

    # ---- watching ------------------------------------------------------------------------------------------

    def _watch(
        self, v: Visit, response: Response, wanted: float, in_time: bool, place: float, took: float
    ) -> bool:
        """Watches so long, or until it breaks or is given up; whether the viewer is content to go. `took`:
        seconds from asking to the answer."""
        ufrag, media = media_of(response.body.decode("utf-8", "replace"))
        if media is None:
            return False
        seen = Seen(self._now())
        end = min(self._now() + wanted, self.day.length)

        def heard(said: str) -> None:
            parts = said.split()
            if len(parts) == 2:
                seen.gone = True
            elif len(parts) == 3:
                seen.heard(self._now(), float(parts[1]), int(parts[2]))

        self.signs[ufrag] = heard
        player = self._player(v, ufrag, took) if self.reporting.every else None
        told_at = self._now()
        content = True
        try:
            while (now := self._now()) < end:
                self.media.send(ufrag.encode(), media)
                self.loop.sleep(min(SIGN, end - now))
                then = self._now()
                share = seen.shown(then)
                self.booking.watched(v, now, then - now, share, seen.rung, in_time)
                if player is not None:
                    player.played(then - now, share, seen.rung)
                    if then - told_at >= self.reporting.every or player.sn == 0:
                        player.report(then, then - told_at, self.faulty)
                        told_at = then
                        self._tell(player, response, place)
                if seen.leaves(then, then - now, self.day.arrivals.leave_under, self.chance):
                    content = False
                    break
        finally:
            del self.signs[ufrag]
        location = response.header("location") or ""
        self.loop.spawn(self._delete, location, place, name="leave", owner=self._home)
        return content

    def _player(self, v: Visit, ufrag: str, took: float) -> Player:
        chance = random.Random(f"{self.seed}/{v.number}/player")
        rack, lies = self.racks.get(ufrag.partition("+")[0], "?"), chance.random() < self.reporting.lying
        return Player(rack, v.title, took, chance, lies, chance.uniform(0, 1e6))

    def _tell(self, player: Player, response: Response, place: float) -> None:
        """Sends what the player has kept, late and in copies as the day says, in a task of its own."""
        _, at = self.gateways[picked(place, self.lean)]
        batch, player.kept = player.kept, []
        token = response.header("report-token") or ""
        to, path = reports_to(response, str(at))
        fields = [("Authorization", f"Bearer {token}"), ("Content-Type", "application/json")]
        self.made.reports += 1
        self._telling += 1

        def tell() -> None:
            try:
                for copy in range(self.reporting.copies):
                    self.loop.sleep(player.chance.uniform(0.0, self.reporting.late))
                    self.made.sent += len(batch)
                    status, became = self._post(to, path, fields, json.dumps(batch).encode())
                    self.made.heard(status, became, batch, player)
                    if status == 0 and copy == 0:
                        player.kept = batch + player.kept
                        return
            finally:
                self._telling -= 1

        self.loop.spawn(tell, name="report", owner=self._home)

    def _post(
        self, at: str, path: str, fields: list[tuple[str, str]], body: bytes
    ) -> tuple[int, dict[str, int]]:
        """The answer's status, 0 for none, and what became of the reports."""
        try:
            with self.loop.deadline(2.0):
                answer = self.client.request(at, "POST", path, fields, body)
        except (OSError, TimedOut, ConnectFailed, Interrupted, ValueError):
            return 0, {}
        return answer.status, json.loads(answer.body) if answer.status == 200 else {}

    def _delete(self, location: str, place: float) -> None:
        _, at = self.gateways[picked(place, self.lean)]
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

    def _hear(self) -> None:
        while True:
            data, _ = self.media.receive()
            text = data.decode("ascii", "replace")
            call = self.signs.get(text.partition(" ")[0])
            if call is not None:
                call(text)


def reports_to(response: Response, at: str) -> tuple[str, str]:
    """Address and path for reports on a viewing that the gateway at `at` admitted: its own, or those of a
    process beside it."""
    links = ", ".join(value for name, value in response.headers if name.lower() == "link")
    found = REPORTS.search(links)
    where = found[1] if found else ""
    if not where.startswith("http://"):
        return at, where
    to, _, path = where.removeprefix("http://").partition("/")
    return to, f"/{path}"


def media_of(answer: str) -> tuple[str, Endpoint | None]:
    """Where the media are, from an SDP answer: the credentials' name and the first candidate."""
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
    """The whole day in this process; what viewers got."""
    loop = Loop()
    tape = Tape(tape_path)
    try:
        viewers = Viewers(loop, site, day, seed, tape)
        service: Service = loop.run(viewers.run)
    finally:
        tape.close()
    told = service.told()
    if day.reporting.every:
        told["players"] = {**asdict(viewers.made), "faulty": [asdict(f) for f in viewers.faulty]}
    return told
