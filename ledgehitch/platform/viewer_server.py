"""Viewers' connections: reads and validates their requests, writes responses and releases.

Each field of a set-up is checked here before the request is passed on to the controller, which decides. An
invalid request is refused and does not affect other viewings.
"""

import math
import re
from collections.abc import Mapping
from typing import Protocol

from ledgehitch import hostline, rtsp
from ledgehitch.interface import Fleet, Ladder, Package
from ledgehitch.loop.kernel import Loop, Task, TimedOut
from ledgehitch.loop.sockets import Listener, Stream
from ledgehitch.platform.buffered_writer import BufferedWriter
from ledgehitch.platform.byte_budget import ByteBudget
from ledgehitch.platform.lifecycle import Lifecycle
from ledgehitch.platform.log import log
from ledgehitch.platform.resource_limits import ResourceLimits
from ledgehitch.platform.sessions import Release, Response, SessionTable
from ledgehitch.platform.throttle import (
    IDLE_TIMEOUT_S,
    MAX_FAULTS,
    MAX_PAUSE_PENDING_S,
    Throttle,
    eviction_candidate,
)
from ledgehitch.platform.viewing import WantedViewing

READ_BYTES = 16384  # of one read
MAX_EVICTION_CHECKS = 8  # connections examined to find one that can be closed for a new one
STATUS = {"plays": 200, "blocked": 453, "aborted": 500}
SESSION_ID = re.compile(r"[0-9a-f]{16}\Z")
NUMBER = re.compile(r"[0-9]{1,9}\Z")
TITLE = re.compile(r"rtsp://media/([A-Za-z0-9._~-]{1,64})\Z")


class InvalidRequest(ValueError):
    """A request with an invalid field; `status` is the status of its response."""

    def __init__(self, status: int, reason: str) -> None:
        super().__init__(reason)
        self.status = status


class ViewerEvents(Protocol):
    """Receiver of viewers' requests."""

    sessions: SessionTable

    def on_setup(
        self,
        now: float,
        conn: int,
        session_id: str,
        cseq: str,
        wanted: WantedViewing,
        patience: float,
        description: bytes,
    ) -> bool: ...
    def on_handover(
        self, now: float, conn: int, session_id: str, wanted: WantedViewing, host: str
    ) -> bool: ...
    def on_teardown(self, now: float, session_id: str) -> bool: ...
    def on_connection_closed(self, conn: int) -> None: ...


class ViewerConnection:
    """State of one viewers' connection."""

    __slots__ = ("number", "stream", "writer", "throttle", "reader", "task", "last_heard_at")

    def __init__(self, number: int, stream: Stream, now: float) -> None:
        self.number, self.stream = number, stream
        self.writer: BufferedWriter
        self.throttle = Throttle(now)
        self.reader = rtsp.Reader()
        self.task: Task | None = None
        self.last_heard_at = now

    @property
    def first_message_began_at(self) -> float | None:
        """When the first message began, None where none began or the first one is complete."""
        return None if self.throttle.has_sent else self.throttle.message_began_at


class ViewerServer:
    """Accepts viewers' connections and exchanges messages on them."""

    def __init__(
        self,
        loop: Loop,
        controller: ViewerEvents,
        lifecycle: Lifecycle,
        packages: Mapping[str, Package],
        fleet: Fleet,
        ladder: Ladder,
        limits: ResourceLimits,
    ) -> None:
        self.loop, self.controller, self.lifecycle, self.packages = loop, controller, lifecycle, packages
        self.cells, self.rungs = fleet.cells, len(ladder.kb)
        self.limits = limits
        self.unsent = ByteBudget[BufferedWriter](limits.unsent_bytes, limits.send_buffer_bytes)
        self.partial = ByteBudget[int](limits.partial_bytes, rtsp.MAX_MESSAGE_BYTES)  # by connection number
        self.connections: dict[int, ViewerConnection] = {}
        self.owner: Task | None = None
        self.refused = self.rejected_connections = self.evicted = 0
        self._last_number = 0

    def serve(self, listener: Listener) -> None:
        """Accepts connections until it is cancelled; runs as a task."""
        while True:
            stream = listener.accept()
            if len(self.connections) >= self.limits.viewer_connections and not self._make_room():
                # The new connection is closed, so that descriptors are left for media hosts.
                self.rejected_connections += 1
                stream.close()
                continue
            self._last_number += 1
            conn = self.connections[self._last_number] = ViewerConnection(
                self._last_number, stream, self.loop.now
            )
            conn.writer = BufferedWriter(
                self.loop,
                stream,
                self.unsent,
                lambda c=conn: self.close(c),  # type: ignore[misc]
            )
            self.controller.sessions.on_connection_opened(conn.number, stream.peer)
            conn.task = self.loop.spawn(self._run, conn, name="viewers", owner=self.owner)

    def _make_room(self) -> bool:
        """Closes a connection for a new one; returns False where none can be closed."""
        sessions = self.controller.sessions
        candidates = [
            (
                conn.number,
                conn.throttle.has_sent,
                sessions.sessions_on(conn.number),
                sessions.has_pending(conn.number),
                # Pieces of a first message that does not end are no reason to stay.
                conn.first_message_began_at or conn.last_heard_at,
            )
            for conn in self.connections.values()
            if conn.task is None or not conn.task.cancelled
        ]
        for _ in range(MAX_EVICTION_CHECKS):
            number = eviction_candidate(self.loop.now, candidates)
            if number is None:
                break
            conn = self.connections[number]
            if conn.first_message_began_at is not None or conn.stream.is_idle():
                self.evicted += 1
                self.close(conn)
                return True
            # A set-up may have arrived on it that is not read yet.
            candidates = [candidate for candidate in candidates if candidate[0] != number]
        return False

    def close(self, conn: ViewerConnection) -> None:
        """Closes the socket at once, not when the task runs: a request that the kernel accepts later in this
        turn would be lost unread."""
        if conn.task is not None:
            conn.task.cancel()
        conn.stream.close()

    def _run(self, conn: ViewerConnection) -> None:
        stream = conn.stream
        # Data that came with the connection may have waited for as long as the connection.
        arrived_at = math.inf if stream.is_idle() else stream.earliest_arrival
        try:
            while True:
                try:
                    if not self._read(conn, arrived_at):
                        return
                except rtsp.Malformed as error:
                    self.refused += 1
                    self.partial.hold(conn.number, 0)
                    log("unreadable", peer=stream.peer, why=str(error)[:80])
                    conn.writer.write(rtsp.response(error.status, "", ""))
                    break
                arrived_at = math.inf
                pause = conn.throttle.pause(self.loop.now, self.controller.sessions.has_pending(conn.number))
                if pause:
                    # A request's time counts from its arrival, which may be long before it is read.
                    until = self.loop.now + pause
                    self.loop.wait_readable(stream.fd)
                    arrived_at = self.loop.earliest_arrival
                    if until > self.loop.now:
                        self.loop.sleep(until - self.loop.now)
            self._wait_for_responses(conn)
        except OSError:
            return
        finally:
            self.connections.pop(conn.number, None)
            self.partial.hold(conn.number, 0)
            stream.close()
            conn.writer.close()
            conn.task = None
            self.controller.on_connection_closed(conn.number)

    def _read(self, conn: ViewerConnection, arrived_at: float) -> bool:
        """Waits for data and handles its messages; returns False at the end of the connection.

        `arrived_at`: the earliest time at which the data may have come, infinity where none is known. After
        this no variable of the task refers to data or message, since it may then wait for long. Raises
        `Malformed`, or `OSError` if the connection was reset.
        """
        data = conn.stream.receive(READ_BYTES, likely_empty=True)
        if not data:
            return False
        now = min(self.loop.now, conn.stream.earliest_arrival, arrived_at)
        conn.last_heard_at = self.loop.now
        complete = False
        for method, target, fields, body in conn.reader.feed(data):
            complete = True
            self._on_message(now, conn, method, target, fields, body)
        if complete:
            self.partial.hold(conn.number, 0)  # what is incomplete now was begun now
        self._limit_partial_messages(conn)
        conn.throttle.on_data(self.loop.now, complete, conn.reader.has_partial)
        return True

    def _limit_partial_messages(self, conn: ViewerConnection) -> None:
        """Closes connections whose message was begun first and is still incomplete while all hold too much.

        Raises `Malformed` where it is the turn of `conn` itself.
        """
        self.partial.hold(conn.number, conn.reader.partial_bytes)
        sessions = self.controller.sessions
        while self.partial.exceeded:
            # A connection with a pending set-up owes its response and stays.
            number = next(
                (each for each in self.partial.oldest_first() if not sessions.has_pending(each)), conn.number
            )
            self.partial.hold(number, 0)
            if number == conn.number:
                conn.reader = rtsp.Reader()
                raise rtsp.Malformed(503, "too many incomplete messages")
            other = self.connections[number]
            other.writer.write(rtsp.response(503, "", ""))
            other.reader = rtsp.Reader()
            self.evicted += 1
            self.close(other)

    def _wait_for_responses(self, conn: ViewerConnection) -> None:
        """Discards input until each pending set-up of this connection has its response or the client is gone.

        A connection that is closed for malformed bytes must not take with it the set-ups that came before.
        """
        while self.controller.sessions.has_pending(conn.number):
            try:
                with self.loop.deadline(MAX_PAUSE_PENDING_S):
                    if not conn.stream.receive(READ_BYTES, likely_empty=True):
                        return
            except TimedOut:
                continue
            self.loop.sleep(MAX_PAUSE_PENDING_S)

    # ---- requests ------------------------------------------------------------------------------------------

    def _on_message(
        self,
        now: float,
        conn: ViewerConnection,
        method: str,
        target: str,
        fields: dict[str, str],
        body: bytes,
    ) -> None:
        if not method:
            return  # the response to a release
        cseq, session_id = fields.get("cseq", ""), fields.get("session", "")
        try:
            if NUMBER.match(cseq) is None:
                cseq = ""
                raise InvalidRequest(400, "CSeq is not a number of at most 9 digits")
            if method == "OPTIONS":
                conn.writer.write(rtsp.response(200 if self.lifecycle.healthy else 503, cseq, session_id))
                return
            if SESSION_ID.match(session_id) is None:
                session_id = ""
                raise InvalidRequest(400, "Session is not an id of 16 lower-case hex digits")
            if method == "SETUP":
                self._set_up(now, conn, cseq, session_id, target, fields, body)
            elif method == "TEARDOWN":
                if not self.controller.on_teardown(now, session_id):
                    # A request that crossed a release on the way is not a fault of its client.
                    if not self.controller.sessions.was_open(session_id):
                        conn.throttle.on_fault(now)
                    conn.writer.write(rtsp.response(454, cseq, session_id))
                    return
                conn.writer.write(rtsp.response(200, cseq, session_id))
            else:
                raise InvalidRequest(405, f"{method} is not supported")
        except InvalidRequest as error:
            self.refused += 1
            conn.throttle.on_fault(now)
            log("refused", peer=conn.stream.peer, why=error)
            conn.writer.write(rtsp.response(error.status, cseq, session_id))

    def _set_up(
        self,
        now: float,
        conn: ViewerConnection,
        cseq: str,
        session_id: str,
        target: str,
        fields: dict[str, str],
        body: bytes,
    ) -> None:
        title = TITLE.match(target)
        if title is None:
            raise InvalidRequest(400, "the address names no title")
        package = self.packages.get(fields.get("x-tier", ""))
        if package is None:
            raise InvalidRequest(451, "X-Tier is not a known package")
        first, spread, top, host = self._parse_attributes(fields.get("x-attrs", ""))
        wanted = WantedViewing(package, title[1], first, spread, top)
        sessions = self.controller.sessions
        if host:
            if len(sessions.by_viewing_id) >= self.limits.viewings:
                conn.writer.write(rtsp.response(503, cseq, session_id))
            elif not self.controller.on_handover(now, conn.number, session_id, wanted, host):
                raise InvalidRequest(454, "at in X-Attrs is not a listed media host")
            return
        time_left = fields.get("x-deadline", "")
        if NUMBER.match(time_left) is None or not 0 < int(time_left) <= package.patience * 2000:
            raise InvalidRequest(451, "X-Deadline is out of range")
        try:
            # Kept as bytes: as text, one character beyond U+FFFF makes each of the others take four bytes.
            text = body.decode("utf-8")
        except UnicodeDecodeError:
            raise InvalidRequest(400, "the description is not UTF-8") from None
        fields_sent = {"class": package.name, "key": title[1], "left": time_left, "rung": top}
        line = hostline.encode("START", session_id, fields_sent, None, text)
        if len(line) > hostline.MAX_LINE_BYTES:
            # Escapes make it longer than it came. A media host may close on it, whatever else is open there.
            raise InvalidRequest(413, "the description is too long for a media host")
        if (
            self.limits.reached(sessions.pending, len(sessions.by_viewing_id))
            or not self.lifecycle.accepts_setups
        ):
            conn.writer.write(rtsp.response(503, cseq, session_id))
            return
        if not self.controller.on_setup(
            now, conn.number, session_id, cseq, wanted, now + int(time_left) / 1000, body
        ):
            raise InvalidRequest(400, "the id is already open")

    def _parse_attributes(self, text: str) -> tuple[int, int, int, str]:
        """Returns the first cell, the number of cells, the highest rung, and the media host at which the
        viewing plays already ("" for none); raises `InvalidRequest`."""
        values: dict[str, str] = {}
        for part in text.split(";"):
            name, colon, value = part.partition(":")
            if not colon or name in values:
                raise InvalidRequest(451, "X-Attrs is not a list of distinct name:value pairs")
            values[name] = value
        numbers = [values.get(name, "") for name in ("home", "copies", "top")]
        if any(NUMBER.match(number) is None for number in numbers):
            raise InvalidRequest(451, "home, copies or top of X-Attrs is missing or not a number")
        first, spread, top = map(int, numbers)
        if first >= max(1, self.cells) or not 1 <= spread <= max(1, self.cells) or top >= max(1, self.rungs):
            raise InvalidRequest(451, "home, copies or top of X-Attrs is out of range")
        return first, spread, top, values.get("at", "")

    # ---- output --------------------------------------------------------------------------------------------

    def send_response(self, response: Response) -> bool:
        """Returns whether it was sent or buffered; False where the connection has ended, read or not."""
        conn = self.connections.get(response.conn)
        if conn is None or conn.stream.peer_closed():
            return False
        retry_after = [("Retry-After", f"{response.retry_after:.3f}")] if response.retry_after > 0 else []
        return conn.writer.write(
            rtsp.response(
                STATUS[response.kind],
                response.cseq,
                response.session_id,
                retry_after,
                response.description,
            )
        )

    def has_left(self, number: int, session_id: str) -> bool:
        """Whether the viewer of a set-up pending on this connection has hung up or cancelled it, though that
        is not read yet.

        In a flood a turn of the loop takes long, and decisions are made before the next read.
        """
        conn = self.connections.get(number)
        ahead = b"" if conn is None else conn.stream.peek(READ_BYTES)
        return ahead == b"" or ahead is not None and b"TEARDOWN" in ahead and session_id.encode() in ahead

    @property
    def unsent_bytes(self) -> int:
        """Number of bytes that are buffered until viewers read."""
        return self.unsent.total

    def send_release(self, release: Release) -> bool:
        """Returns whether it was sent or buffered; False where the connection has ended, read or not."""
        conn = self.connections.get(release.conn)
        if conn is None or conn.stream.peer_closed():
            return False
        fields = [("Reason", f"cause={release.cause}")]
        return conn.writer.write(
            rtsp.request("TEARDOWN", "rtsp://media/over", "2", release.session_id, fields)
        )

    def sweep(self, now: float) -> None:
        """Closes connections that are silent, never completed a message, sent nothing but faults or have been
        without a viewing for long.

        Not closed are those that are owed a response and those with unread data: after a stall of this
        process the sweep runs before the reading, and a set-up may have arrived.
        """
        for conn in list(self.connections.values()):
            idle = now - conn.last_heard_at > IDLE_TIMEOUT_S and not self.controller.sessions.sessions_on(
                conn.number
            )
            overdue = conn.throttle.should_close(now) and not self.controller.sessions.has_pending(
                conn.number
            )
            if not (idle or overdue) or conn.throttle.faults <= MAX_FAULTS and not conn.stream.is_idle():
                continue
            if idle:
                self.close(conn)
            else:
                if conn.throttle.message_began_at is not None:
                    conn.writer.write(rtsp.response(408, "", ""))
                self.close(conn)
