"""The list service's stand-in: complete lists and changes to every gateway that follows, seconds late."""

import random
import time
from collections.abc import Callable

import msgspec

from ledgehitch.http import Feed, Refused, Request, Response, Server
from ledgehitch.http.events import encode_event
from ledgehitch.loop import Endpoint, Loop
from ledgehitch.proof.tape import Tape

Line = dict[str, object]


class ListService:
    def __init__(self, loop: Loop, at: Endpoint, tape: Tape, delay: float, seed: int) -> None:
        self.loop, self.tape, self.delay = loop, tape, delay
        self.chance = random.Random(f"{seed}/list")
        self.epoch = f"{self.chance.randrange(1 << 32):08x}"
        self.version = 0
        self.lines: dict[str, Line] = {}
        self.later = 0.0  # by how much a trouble makes news later
        self.feeds: dict[str, Feed] = {}
        self.want_at = at
        self.server: Server | None = None
        self.open()

    def open(self) -> None:
        if self.server is None:
            self.server = Server(self.loop, self.want_at, self.handle)
            self.want_at = self.server.at

    def shut(self) -> None:
        """The service is away: its streams end, nobody listens."""
        if self.server is not None:
            server, self.server = self.server, None
            for stream in list(server.open):
                stream.reset()
            server.close()
            for feed in self.feeds.values():
                feed.close()
            self.feeds.clear()

    def handle(self, request: Request) -> Response:
        if request.path != "/hosts":
            raise Refused(404, "nothing there")
        gateway = request.query("gateway") or ""
        old = self.feeds.pop(gateway, None)
        if old is not None:
            old.close()
        feed = self.feeds[gateway] = Feed(self.loop)
        feed.send(self._news("total", list(self.lines.values())))
        first = {line["host"]: line["state"] for line in self.lines.values()}

        def stream(send: Callable[[bytes], None]) -> None:
            for host, state in first.items():
                self.tape.write("told", gateway=gateway, host=host, state=state)
            try:
                feed.send_all(send)
            finally:
                if self.feeds.get(gateway) is feed:
                    del self.feeds[gateway]

        return Response(200, [("Content-Type", "text/event-stream")], stream=stream)

    def _news(self, name: str, rows: list[Line]) -> bytes:
        told = {"epoch": self.epoch, "version": self.version, "rows": rows}
        return encode_event(msgspec.json.encode(told).decode(), name, str(self.version))

    def set(self, line: Line, at_once: bool = False) -> None:
        """A host has a new state, of which the list learns after its delay."""
        wait = 0.0 if at_once else (self.delay + self.later) * self.chance.uniform(0.7, 1.3)
        if wait <= 0:
            self._change(line)
        else:
            self.loop.call_at(time.monotonic() + wait, lambda: self._change(line))

    def _change(self, line: Line) -> None:
        host = str(line["host"])
        self.version += 1
        if line["state"] == "terminated":
            self.lines.pop(host, None)
        else:
            self.lines[host] = line
        news = self._news("incr", [line])
        for gateway, feed in list(self.feeds.items()):
            feed.send(news)
            self.tape.write("told", gateway=gateway, host=host, state=line["state"])
