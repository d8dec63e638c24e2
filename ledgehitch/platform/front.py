"""Viewers' connections: reads their messages, checks each field, writes answers and releases.

It decides nothing. Field by field a set-up is checked here and handed on; what is wrong gets a refusal and
leaves the viewings that stand unharmed.
"""

import math
import re
from collections.abc import Mapping
from typing import Protocol

from ledgehitch import rtsp
from ledgehitch.interface import Fleet, Ladder, Package
from ledgehitch.loop.kernel import Loop, Task, TimedOut
from ledgehitch.loop.sockets import Listener, Stream
from ledgehitch.platform.bounds import Bounds
from ledgehitch.platform.desk import Answer, Desk, Release
from ledgehitch.platform.life import Life
from ledgehitch.platform.log import log
from ledgehitch.platform.pace import HEARD, IDLE, MOST_FAULTS, Pace, first_to_go
from ledgehitch.platform.pipe import Pipe

MOST_READ = 16384
MOST_LOOKS = 8  # connections looked at for one that makes room
STATUS = {"plays": 200, "blocked": 453, "aborted": 500}
SID = re.compile(r"[0-9a-f]{16}\Z")
NUMBER = re.compile(r"[0-9]{1,9}\Z")
TITLE = re.compile(r"rtsp://media/([A-Za-z0-9._~-]{1,64})\Z")


class Wrong(ValueError):
    """A field that cannot be taken; `status` is what is answered."""

    def __init__(self, status: int, why: str) -> None:
        super().__init__(why)
        self.status = status


class Carrier(Protocol):
    """Who is told what viewers want."""

    desk: Desk

    def asked(
        self,
        now: float,
        conn: int,
        sid: str,
        cseq: str,
        package: Package,
        title: str,
        first: int,
        spread: int,
        top: int,
        patience: float,
        blob: str,
    ) -> bool: ...
    def held(
        self,
        now: float,
        conn: int,
        sid: str,
        package: Package,
        title: str,
        first: int,
        spread: int,
        top: int,
        host: str,
    ) -> bool: ...
    def torn(self, now: float, sid: str) -> bool: ...
    def hung_up(self, conn: int) -> None: ...


class Conn:
    __slots__ = ("number", "stream", "pipe", "pace", "reader", "task", "heard")

    def __init__(self, number: int, stream: Stream, now: float) -> None:
        self.number, self.stream = number, stream
        self.pipe: Pipe
        self.pace = Pace(now)
        self.reader = rtsp.Reader()
        self.task: Task | None = None
        self.heard = now


class Front:
    def __init__(
        self,
        loop: Loop,
        carrier: Carrier,
        life: Life,
        packages: Mapping[str, Package],
        fleet: Fleet,
        ladder: Ladder,
        bounds: Bounds,
    ) -> None:
        self.loop, self.carrier, self.life, self.packages = loop, carrier, life, packages
        self.cells, self.rungs = fleet.cells, len(ladder.kb)
        self.bounds = bounds
        self.conns: dict[int, Conn] = {}
        self.home: Task | None = None
        self.refused = self.turned_off = self.made_room = 0
        self._next = 0

    def serve(self, listener: Listener) -> None:
        """Accepts for good; runs as a task."""
        while True:
            stream = listener.accept()
            if len(self.conns) >= self.bounds.viewer_conns and not self._make_room():
                # Guards against descriptors running out for media hosts: the newest is turned off.
                self.turned_off += 1
                stream.close()
                continue
            self._next += 1
            conn = self.conns[self._next] = Conn(self._next, stream, self.loop.now)
            conn.pipe = Pipe(self.loop, stream, self.bounds.out_bytes, lambda c=conn: self.close(c))  # type: ignore[misc]
            self.carrier.desk.opened(conn.number, stream.peer)
            conn.task = self.loop.spawn(self._run, conn, name="viewers", owner=self.home)

    def _make_room(self) -> bool:
        desk = self.carrier.desk
        may = [
            (c.number, c.pace.spoke, desk.on(c.number), desk.waits_on(c.number), c.heard)
            for c in self.conns.values()
            if c.task is None or not c.task.cancelled
        ]
        for _ in range(MOST_LOOKS):
            number = first_to_go(self.loop.now, may)
            if number is None:
                break
            if self.conns[number].stream.quiet():
                self.made_room += 1
                self.close(self.conns[number])
                return True
            may = [row for row in may if row[0] != number]  # a set-up may have come that is not read yet
        return False

    def close(self, conn: Conn) -> None:
        """At once, not as its task runs: a request that comes later in this turn would be taken unread."""
        if conn.task is not None:
            conn.task.cancel()
        conn.stream.close()

    def _run(self, conn: Conn) -> None:
        stream = conn.stream
        # What came along with the connection may have waited as long as that did.
        came = math.inf if stream.quiet() else stream.since
        try:
            while True:
                data = stream.receive(MOST_READ, likely_empty=True)
                if not data:
                    return
                now, came = min(self.loop.now, stream.since, came), math.inf
                conn.heard = self.loop.now
                whole = False
                try:
                    for method, target, fields, body in conn.reader.feed(data):
                        whole = True
                        self._message(now, conn, method, target, fields, body)
                except rtsp.Malformed as why:
                    self.refused += 1
                    log("unreadable", peer=stream.peer, why=str(why)[:80])
                    conn.pipe.write(rtsp.answer(why.status, "", ""))
                    self._see_out(conn)
                    return
                conn.pace.read(self.loop.now, whole, conn.reader.within)
                pause = conn.pace.pause(self.loop.now, self.carrier.desk.waits_on(conn.number))
                if pause:
                    # Guards against counting a request's time from when it is read, long after it has come.
                    until = self.loop.now + pause
                    self.loop.wait_readable(stream.fd)
                    came = self.loop.seen_from
                    if until > self.loop.now:
                        self.loop.sleep(until - self.loop.now)
        except OSError:
            return
        finally:
            self.conns.pop(conn.number, None)
            stream.close()
            self.carrier.hung_up(conn.number)

    def _see_out(self, conn: Conn) -> None:
        """Reads on without a look at it until what was taken on this connection is answered, or the client is
        gone.

        Guards against requests being lost with a connection that is closed for what came after them."""
        while self.carrier.desk.waits_on(conn.number):
            try:
                with self.loop.deadline(HEARD):
                    if not conn.stream.receive(MOST_READ, likely_empty=True):
                        return
            except TimedOut:
                continue
            self.loop.sleep(HEARD)

    # ---- messages ------------------------------------------------------------------------------------------

    def _message(
        self, now: float, conn: Conn, method: str, target: str, fields: dict[str, str], body: bytes
    ) -> None:
        if not method:
            return  # an answer to a release: it wants nothing
        cseq, sid = fields.get("cseq", ""), fields.get("session", "")
        try:
            if NUMBER.match(cseq) is None:
                cseq = ""
                raise Wrong(400, "CSeq is no number")
            if method == "OPTIONS":
                conn.pipe.write(rtsp.answer(200 if self.life.passes else 503, cseq, sid))
                return
            if SID.match(sid) is None:
                sid = ""
                raise Wrong(400, "Session is no id of 16 hex digits")
            if method == "SETUP":
                self._set_up(now, conn, cseq, sid, target, fields, body)
            elif method == "TEARDOWN":
                if not self.carrier.torn(now, sid):
                    # Guards against slowing down a connection whose viewers' words cross our releases.
                    if not self.carrier.desk.crossed(sid):
                        conn.pace.fault(now)
                    conn.pipe.write(rtsp.answer(454, cseq, sid))
                    return
                conn.pipe.write(rtsp.answer(200, cseq, sid))
            else:
                raise Wrong(405, f"{method} is not done here")
        except Wrong as why:
            self.refused += 1
            conn.pace.fault(now)
            log("refused", peer=conn.stream.peer, why=why)
            conn.pipe.write(rtsp.answer(why.status, cseq, sid))

    def _set_up(
        self, now: float, conn: Conn, cseq: str, sid: str, target: str, fields: dict[str, str], body: bytes
    ) -> None:
        title = TITLE.match(target)
        if title is None:
            raise Wrong(400, "the address names no title")
        package = self.packages.get(fields.get("x-tier", ""))
        if package is None:
            raise Wrong(451, "X-Tier is no package")
        first, spread, top, host = self._figures(fields.get("x-attrs", ""))
        sold = package, title[1], first, spread, top
        if host:
            if not self.carrier.held(now, conn.number, sid, *sold, host):
                raise Wrong(454, "at names no media host that is there")
            return
        left = fields.get("x-deadline", "")
        if NUMBER.match(left) is None or not 0 < int(left) <= package.patience * 2000:
            raise Wrong(451, "X-Deadline is out of range")
        try:
            blob = body.decode("utf-8")
        except UnicodeDecodeError:
            raise Wrong(400, "the description is not UTF-8") from None
        desk = self.carrier.desk
        if self.bounds.full(desk.waiting, len(desk.by_viewing_id)) or not self.life.takes:
            conn.pipe.write(rtsp.answer(503, cseq, sid))
            return
        if not self.carrier.asked(now, conn.number, sid, cseq, *sold, now + int(left) / 1000, blob):
            raise Wrong(400, "the id is open already")

    def _figures(self, text: str) -> tuple[int, int, int, str]:
        """First cell, number of cells and highest rung; the media host where it plays already, or nothing."""
        held: dict[str, str] = {}
        for part in text.split(";"):
            name, colon, value = part.partition(":")
            if not colon or name in held:
                raise Wrong(451, "X-Attrs is no list of figures")
            held[name] = value
        numbers = [held.get(name, "") for name in ("home", "copies", "top")]
        if any(NUMBER.match(number) is None for number in numbers):
            raise Wrong(451, "X-Attrs lacks a figure")
        first, spread, top = map(int, numbers)
        if first >= max(1, self.cells) or not 1 <= spread <= max(1, self.cells) or top >= max(1, self.rungs):
            raise Wrong(451, "a figure of X-Attrs is out of range")
        return first, spread, top, held.get("at", "")

    # ---- what is owed --------------------------------------------------------------------------------------

    def answer(self, decision: Answer) -> bool:
        """Whether it was sent or kept; not where the connection is gone, read or not."""
        conn = self.conns.get(decision.conn)
        if conn is None or conn.stream.ended():
            return False
        advice = [("Retry-After", f"{decision.advice:.3f}")] if decision.advice > 0 else []
        body = decision.description.encode()
        return conn.pipe.write(rtsp.answer(STATUS[decision.kind], decision.cseq, decision.sid, advice, body))

    def gone(self, number: int, sid: str) -> bool:
        """Whether the viewer of a set-up that waits on this connection has hung up or given it up, though it
        is not read yet.

        Guards against a turn of the loop that takes long, in a flood: decisions come before the next read."""
        conn = self.conns.get(number)
        ahead = b"" if conn is None else conn.stream.peek(MOST_READ)
        return ahead == b"" or ahead is not None and b"TEARDOWN" in ahead and sid.encode() in ahead

    @property
    def unsent(self) -> int:
        """Bytes that are kept until viewers read."""
        return sum(conn.pipe.unsent for conn in self.conns.values())

    def release(self, decision: Release) -> bool:
        """Whether it was sent or kept; not where the connection is gone, read or not."""
        conn = self.conns.get(decision.conn)
        if conn is None or conn.stream.ended():
            return False
        fields = [("Reason", f"cause={decision.cause}")]
        return conn.pipe.write(rtsp.request("TEARDOWN", "rtsp://media/over", "2", decision.sid, fields))

    def sweep(self, now: float) -> None:
        """Closes what is silent, never became whole, sent nothing but faults or is long without a viewing;
        not one that is owed an answer, nor one on which something came that is not read yet.

        Guards against a set-up that crosses the close: after a stall of ours this runs before the reading.
        """
        for conn in list(self.conns.values()):
            idle = now - conn.heard > IDLE and not self.carrier.desk.on(conn.number)
            overdue = conn.pace.overdue(now) and not self.carrier.desk.waits_on(conn.number)
            if not (idle or overdue) or conn.pace.faults <= MOST_FAULTS and not conn.stream.quiet():
                continue
            if idle:
                self.close(conn)
            else:
                if conn.pace.begun_at is not None:
                    conn.pipe.write(rtsp.answer(408, "", ""))
                self.close(conn)
