"""Viewers' stand-in: they ask, wait, watch, come again and leave; what they got is the day's service."""

import json
import random
import time
from collections.abc import Callable
from dataclasses import asdict, dataclass, field
from pathlib import Path
from typing import Any

from hdrh.histogram import HdrHistogram

from ledgehitch.config import Day, Site
from ledgehitch.http import Client, ConnectFailed, Interrupted, Response
from ledgehitch.http.parse import ResponseReader
from ledgehitch.loop import Datagrams, Endpoint, Event, Loop, Stream, TimedOut, connect, endpoint
from ledgehitch.proof.tape import Tape
from ledgehitch.standins.arrivals import Visit, by_want, picked, visits
from ledgehitch.standins.players import Made, Player, faulty_of

SIGN = 1.0  # seconds between a viewer's signs to what plays
NO_MEDIA = 3.0  # seconds without media after which a viewing counts as broken
STALL = 7.0  # points of worth lost for each point of the rate that is missing, under 98%
LATE_ANSWER = 1.0  # seconds after patience that a viewer's connection is still watched for the tape
GATEWAY_GONE = 0.3  # seconds until a viewer whose gateway is not there asks another
KINDS = {201: "plays", 503: "blocked", 502: "aborted", 504: "aborted"}


@dataclass
class Service:
    """What viewers got. Worth is counted in seconds watched, times value, times what the rung earns."""

    visits: int = 0
    asked: float = 0.0
    earned: float = 0.0
    joined: int = 0
    in_time: int = 0
    answers: dict[str, int] = field(default_factory=dict)
    joins: Any = field(default_factory=lambda: HdrHistogram(1, 60_000_000, 3))  # microseconds
    short_seconds: float = 0.0
    watched_seconds: float = 0.0
    rungs: dict[int, float] = field(default_factory=dict)  # seconds at each
    by_second: dict[int, list[float]] = field(default_factory=dict)  # asked, earned

    def book(self, second: int, asked: float, earned: float) -> None:
        self.asked += asked
        self.earned += earned
        cell = self.by_second.setdefault(second, [0.0, 0.0])
        cell[0] += asked
        cell[1] += earned

    def told(self) -> dict[str, Any]:
        cells = self.by_second
        windows = []
        for start in range(0, max(cells, default=0) - 8):
            asked = sum(cells.get(s, [0, 0])[0] for s in range(start, start + 10))
            earned = sum(cells.get(s, [0, 0])[1] for s in range(start, start + 10))
            if asked > 0:
                windows.append(earned / asked)
        q = self.joins.get_value_at_percentile
        return {
            "visits": self.visits,
            "service": round(self.earned / self.asked, 4) if self.asked else None,
            "worst_10s": round(min(windows), 4) if windows else None,
            "joined": self.joined,
            "joined_in_time": self.in_time,
            "joins_s": {str(p): round(q(p) / 1e6, 4) for p in (50, 90, 99, 99.9)} if self.joined else {},
            "answers": dict(sorted(self.answers.items())),
            "short_share": round(self.short_seconds / self.watched_seconds, 4)
            if self.watched_seconds
            else 0.0,
            "rung_shares": {
                str(r): round(s / max(1e-9, self.watched_seconds), 3) for r, s in sorted(self.rungs.items())
            },
            "by_second": {str(s): [round(a, 3), round(e, 3)] for s, (a, e) in sorted(cells.items())},
        }


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


class Viewers:
    def __init__(self, loop: Loop, site: Site, day: Day, seed: int, tape: Tape) -> None:
        self.loop, self.site, self.day, self.seed, self.tape = loop, site, day, seed, tape
        self.chance = random.Random(f"{seed}/viewers")
        self.service = Service()
        self.gateways = [(g.name, endpoint(g.at)) for g in site.gateways]
        self.zones = sorted({g.zone for g in site.gateways})
        lean = random.Random(f"{seed}/lean")
        self.lean = [0.5 + lean.random() for _ in self.gateways]
        self.packages = {p.name: p for p in site.packages}
        self.earns = [r.earns for r in site.ladder]
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
        self.took: dict[int, float] = {}  # from asking to the answer, by the viewer's number
        self._conns = 0
        self._left = 0
        self._home: Any = None

    def run(self, most_after: float = 8.0) -> Service:
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
        for visit in visits(self.day, self.site, self.seed):
            wait = self.started + visit.at - time.monotonic()
            if wait > 0:
                self.loop.sleep(wait)
            self._left += 1
            self.loop.spawn(self._visit, visit, finished, name=f"viewer {visit.number}")
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

    def _visit(self, v: Visit, finished: Callable[[], None]) -> None:
        try:
            self.service.visits += 1
            package = self.packages[v.package]
            first = time.monotonic()
            wanted, returns = v.watch, 0
            in_time: bool | None = None
            place = v.gateway
            while wanted > 0 and time.monotonic() < self.started + self.day.length:
                tried_at = time.monotonic()
                got = self._try(v, place, tried_at)
                waited = time.monotonic() - tried_at
                wanted_then = min(waited, wanted)
                wanted -= waited
                self._book_lost(v, wanted_then, tried_at)
                self.service.answers[got.kind] = self.service.answers.get(got.kind, 0) + 1
                if got.kind == "plays" and got.response is not None:
                    self.took[v.number] = time.monotonic() - tried_at
                    if in_time is None:
                        joined = time.monotonic() - first
                        in_time = joined <= package.join_target
                        self.service.joined += 1
                        self.service.in_time += in_time
                        self.service.joins.record_value(max(1, int(joined * 1e6)))
                    before = time.monotonic()
                    left_gladly = self._watch(v, got.response, wanted, in_time, place)
                    wanted -= time.monotonic() - before
                    if left_gladly:
                        return
                elif got.kind == "hung up":
                    return
                if got.kind == "nobody":
                    self.loop.sleep(GATEWAY_GONE)
                    place = self.chance.random()
                    wanted -= GATEWAY_GONE
                    self._book_lost(v, GATEWAY_GONE, time.monotonic())
                    continue
                returns += 1
                if (
                    returns > self.day.arrivals.returns_at_most
                    or self.chance.random() > self.day.arrivals.returns
                ):
                    self._book_lost(v, max(0.0, wanted), time.monotonic())
                    return
                wait = self.day.arrivals.return_after * self.chance.uniform(0.7, 1.5)
                if got.advice and self.chance.random() < self.day.arrivals.honour_advice:
                    wait = max(wait, got.advice)
                self._book_lost(v, min(wait, max(0.0, wanted)), time.monotonic())
                wanted -= wait
                self.loop.sleep(wait)
                place = self.chance.random()
        finally:
            finished()

    def _worth(self, v: Visit, rung: int) -> float:
        return self.packages[v.package].value * self.earns[rung]

    def _book_lost(self, v: Visit, seconds: float, at: float) -> None:
        end = self.started + self.day.length
        seconds = min(seconds, max(0.0, end - at))
        if seconds > 0:
            self.service.book(int(at - self.started), seconds * self._worth(v, v.top), 0.0)

    def _try(self, v: Visit, place: float, now: float) -> Got:
        name, at = self.gateways[picked(place, self.lean)]
        package = self.packages[v.package]
        body = offer_of(v.number * 10 + self.chance.randrange(10), f"v{self._conns:x}")
        if v.method == "whip":
            body = body.replace(b"a=recvonly", b"a=sendonly")
        first = self._ask(v, name, at, body, package.patience, v.impatient_after)
        if not v.repeats:
            return first()
        # The same offer once more, from a second connection, before the first answer.
        box: list[Got] = []
        second = self.loop.spawn(
            lambda: box.append(self._ask(v, name, at, body, package.patience, None)()), name="repeat"
        )
        got = first()
        second.wait()
        return got

    def _ask(self, v: Visit, name: str, at: Endpoint, body: bytes, patience: float,
             leaves_after: float | None) -> Callable[[], Got]:  # fmt: skip
        self._conns += 1
        conn = self._conns
        who = f"viewer-{self.seed}-{v.number}"
        head = [
            f"POST /{v.method}/{v.package}/{v.title}?top={v.top} HTTP/1.1", f"Host: {at}",
            "Content-Type: application/sdp", f"Authorization: Bearer {who}", f"Prefer: wait={patience:g}",
            f"Content-Length: {len(body)}",
        ]  # fmt: skip
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
            self.tape.write("ask", conn=conn, who=who, package=v.package, title=v.title, gateway=name,
                            patience=patience, method=v.method, offer=body[:40].hex())  # fmt: skip
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
        extra = 0 if stream.quiet() or stream.ended() else 1
        self.tape.write("answer", conn=conn, status=response.status, kind=kind, extra=extra,
                        resource=response.header("location") or "")  # fmt: skip
        return Got(kind, response, advice)

    # ---- watching ------------------------------------------------------------------------------------------

    def _watch(self, v: Visit, response: Response, wanted: float, in_time: bool, place: float) -> bool:
        """Watches so long, or until it breaks or is given up; whether the viewer is content to go."""
        ufrag, media = media_of(response.body.decode("utf-8", "replace"))
        if media is None:
            return False
        last = [time.monotonic(), 1.0, 0.0, 0.0]  # last sign, share, rung, gone
        end = min(time.monotonic() + wanted, self.started + self.day.length)

        def heard(said: str) -> None:
            parts = said.split()
            if len(parts) == 2:
                last[3] = 1.0
            elif len(parts) == 3:
                last[0], last[1], last[2] = time.monotonic(), float(parts[1]), float(parts[2])

        self.signs[ufrag] = heard
        player = self._player(v, ufrag, response) if self.reporting.every else None
        told_at = last[0]
        content = True
        try:
            while (now := time.monotonic()) < end:
                self.media.send(ufrag.encode(), media)
                self.loop.sleep(min(SIGN, end - now))
                spent = time.monotonic() - now
                share = last[1] if time.monotonic() - last[0] < 1.5 * SIGN else 0.0
                self._book(v, now, spent, share, int(last[2]), in_time)
                if player is not None:
                    player.played(spent, share, int(last[2]))
                    if now + spent - told_at >= self.reporting.every or player.sn == 0:
                        player.report(now + spent - self.started, now + spent - told_at, self.faulty)
                        told_at = now + spent
                        self._tell(player, response, place)
                if last[3] or time.monotonic() - last[0] > NO_MEDIA:
                    content = False
                    break
                if share < self.day.arrivals.leave_under and self.chance.random() < 0.25 * spent:
                    content = False
                    break
        finally:
            del self.signs[ufrag]
        location = response.header("location") or ""
        self.loop.spawn(self._delete, location, place, name="leave", owner=self._home)
        return content

    def _player(self, v: Visit, ufrag: str, response: Response) -> Player:
        chance = random.Random(f"{self.seed}/{v.number}/player")
        now = time.monotonic() - self.started
        return Player(
            self.racks.get(ufrag.partition("+")[0], "?"), v.title, now, self.took.pop(v.number, 0.0), chance,
             chance.random() < self.reporting.lying, chance.uniform(0, 1e6),
        )  # fmt: skip

    def _tell(self, player: Player, response: Response, place: float) -> None:
        """Sends what the player has kept, late and in copies as the day says, in a task of its own."""
        _, at = self.gateways[picked(place, self.lean)]
        batch, player.kept = player.kept, []
        token = response.header("report-token") or ""
        path = f"{response.header('location')}/reports"
        fields = [("Authorization", f"Bearer {token}"), ("Content-Type", "application/json")]
        self.made.reports += 1
        self._telling += 1

        def tell() -> None:
            try:
                for copy in range(self.reporting.copies):
                    self.loop.sleep(player.chance.uniform(0.0, self.reporting.late))
                    self.made.sent += len(batch)
                    status, became = self._post(str(at), path, fields, json.dumps(batch).encode())
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

    def _book(self, v: Visit, now: float, spent: float, share: float, rung: int, in_time: bool) -> None:
        s = self.service
        s.watched_seconds += spent
        s.rungs[rung] = s.rungs.get(rung, 0.0) + spent
        cut = max(0.0, 1 - STALL * (0.98 - share)) if share < 0.98 else 1.0
        s.short_seconds += spent * (share < 0.98)
        worth = self._worth(v, min(rung, v.top)) * spent * cut if in_time else 0.0
        s.book(int(now - self.started), self._worth(v, v.top) * spent, worth)

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
