"""Simulated list service: streams the full list of media hosts and then changes, each after a delay."""

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
    """Serves GET /hosts as an event stream to each subscribed gateway; `delay` in seconds."""

    def __init__(self, loop: Loop, at: Endpoint, tape: Tape, delay: float, seed: int) -> None:
        self.loop, self.tape, self.delay = loop, tape, delay
        self.chance = random.Random(f"{seed}/list")
        self.epoch = f"{self.chance.randrange(1 << 32):08x}"
        self.version = 0
        self.lines: dict[str, Line] = {}
        self.fault_delay = 0.0  # seconds that the active fault adds to the delay
        self.feeds: dict[str, Feed] = {}
        self.want_at = at
        self.server: Server | None = None
        self.open()

    def open(self) -> None:
        """Starts to listen, unless it does already."""
        if self.server is None:
            self.server = Server(self.loop, self.want_at, self.handle)
            self.want_at = self.server.at

    def shut(self) -> None:
        """Simulates an outage: resets all streams and stops listening."""
        if self.server is not None:
            server, self.server = self.server, None
            for stream in list(server.open):
                stream.reset()
            server.close()
            for feed in self.feeds.values():
                feed.close()
            self.feeds.clear()

    def handle(self, request: Request) -> Response:
        """Subscribes a gateway and sends it the full list; an earlier subscription of it ends."""
        if request.path != "/hosts":
            raise Refused(404, f"path {request.path!r} is unknown: expected /hosts")
        gateway = request.query("gateway") or ""
        previous = self.feeds.pop(gateway, None)
        if previous is not None:
            previous.close()
        feed = self.feeds[gateway] = Feed(self.loop)
        feed.send(self._encode_update("total", list(self.lines.values())))
        initial = {line["host"]: line["state"] for line in self.lines.values()}

        def stream(send: Callable[[bytes], None]) -> None:
            for host, state in initial.items():
                self.tape.write("told", gateway=gateway, host=host, state=state)
            try:
                feed.send_all(send)
            finally:
                if self.feeds.get(gateway) is feed:
                    del self.feeds[gateway]

        return Response(200, [("Content-Type", "text/event-stream")], stream=stream)

    def _encode_update(self, name: str, rows: list[Line]) -> bytes:
        fields = {"epoch": self.epoch, "version": self.version, "rows": rows}
        return encode_event(msgspec.json.encode(fields).decode(), name, str(self.version))

    def set(self, line: Line, at_once: bool = False) -> None:
        """Publishes a host's new state after the service's delay, or immediately if `at_once`."""
        wait = 0.0 if at_once else (self.delay + self.fault_delay) * self.chance.uniform(0.7, 1.3)
        if wait <= 0:
            self._publish(line)
        else:
            self.loop.call_at(time.monotonic() + wait, lambda: self._publish(line))

    def _publish(self, line: Line) -> None:
        host = str(line["host"])
        self.version += 1
        if line["state"] == "terminated":
            self.lines.pop(host, None)
        else:
            self.lines[host] = line
        update = self._encode_update("incr", [line])
        for gateway, feed in list(self.feeds.items()):
            feed.send(update)
            self.tape.write("told", gateway=gateway, host=host, state=line["state"])
