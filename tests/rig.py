"""A test rig: one gateway on real sockets, in one event loop with scripted media hosts."""

import tempfile
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

import msgspec

from ledgehitch.config import Day, Site
from ledgehitch.gateway.serve import RunningGateway
from ledgehitch.http import Client, Feed, Limits, NoAnswer, Request, Response, Server
from ledgehitch.http.events import encode_event
from ledgehitch.http.parse import ResponseReader
from ledgehitch.loop import Event, Loop, Stream, connect, endpoint
from ledgehitch.proof.tape import Tape
from ledgehitch.rehearsal.play import free_ports
from ledgehitch.standins.lists import ListService
from ledgehitch.standins.plan import site_of
from ledgehitch.standins.viewers import offer_of

SDP = "application/sdp"
Handler = Callable[["Host", Request], Response]


def site(hosts: int = 3, **more: Any) -> Site:
    """Returns a small site of one gateway on free ports; `more` replaces parts of the site file."""
    raw = {
        "name": "test",
        "length": 60.0,
        "arrivals": {"rate": 1.0, "mix": [{"package": "recorded"}]},
        "shape": {"gateways": 1, "hosts": hosts, "titles": 3, "rack": hosts, "link_kb": 1e6},
        "site": {part: msgspec.Raw(msgspec.json.encode(value)) for part, value in more.items()},
    }
    return site_of(msgspec.convert(raw, Day), 1, free_ports(4))


class Host:
    """A media host that answers set-ups with a handler of the test and records the requests it receives."""

    def __init__(self, rig: "Rig", name: str, answer: Handler | None) -> None:
        self.rig, self.name, self.answer = rig, name, answer
        self.set_ups: list[str] = []  # idempotency keys in order of arrival
        self.out = self.most_out = 0
        self.deleted: list[str] = []
        self.rungs: list[bytes] = []
        self.feed: Feed | None = None
        self.boot = name
        self.server = Server(rig.loop, endpoint("127.0.0.1:0"), self.handle)

    def handle(self, request: Request) -> Response:
        if request.method == "POST" and request.path.startswith(("/whep/", "/whip/")):
            key = request.headers["idempotency-key"].strip('"')
            self.set_ups.append(key)
            self.rig.set_ups.append((self.name, key))
            self.rig.out += 1
            self.rig.most_out = max(self.rig.most_out, self.rig.out)
            try:
                return self.answer(self, request) if self.answer else self.plays(request)
            finally:
                self.rig.out -= 1
        if request.path == "/events":
            self.feed = Feed(self.rig.loop)
            self.feed.send(b": here\n\n")
            return Response(200, [("Boot", self.boot)], stream=self.feed.send_all)
        if request.method == "DELETE":
            self.deleted.append(request.path)
        elif request.path.endswith("/layer"):
            self.rungs.append(request.body)
        return Response(200)

    def plays(self, request: Request) -> Response:
        """Accepts the set-up with a new session."""
        id = f"{self.name}-{len(self.set_ups)}"
        link = f'</sessions/{id}/layer>; rel="urn:ietf:params:whep:ext:core:layer"'
        body = offer_of(1).replace(b"recvonly", b"sendonly")
        fields = [("Content-Type", SDP), ("Location", f"/sessions/{id}"), ("Link", link)]
        return Response(201, fields, body)

    def silent(self, request: Request) -> Response:
        """Accepts the request and sends no response until the gateway disconnects."""
        disconnected = Event(self.rig.loop)
        request.on_disconnect(lambda: disconnected.set())
        disconnected.wait()
        raise NoAnswer

    def die(self) -> None:
        """Resets all connections and stops listening, as a crashed host does."""
        for stream in list(self.server.open):
            stream.reset()
        self.server.close()


class Rig:
    """One gateway with its media hosts and list service.

    `Rig(...).run(call)` runs `call(rig)` as the first task, once the gateway knows and follows all hosts.
    """

    def __init__(
        self,
        answers: dict[str, Handler] | None = None,
        hosts: int = 3,
        limits: Limits | None = None,
        record: bool = False,
        **more: Any,
    ) -> None:
        self.reports: list[tuple[str, BaseException]] = []
        self.loop = Loop(lambda name, error: self.reports.append((name, error)))
        self.site = site(hosts, **more)
        self.answers, self.limits = answers or {}, limits
        self.directory = Path(tempfile.mkdtemp(prefix="ledgehitch-test-"))
        self.record = self.directory / "record" if record else None
        self.set_ups: list[tuple[str, str]] = []
        self.out = self.most_out = 0
        self.conns = 0

    def run(self, call: Callable[["Rig"], Any]) -> Any:
        def run_with_gateway() -> Any:
            self.lists = ListService(self.loop, endpoint(self.site.list_at), Tape(None), 0.0, 1)
            self.hosts = {
                h.name: Host(self, h.name, self.answers.get(h.name, self.answers.get("*")))
                for h in self.site.hosts
            }
            for record in self.site.hosts:
                self.listed(record.name, "in_service")
            self.gateway = RunningGateway(
                self.loop, self.site, "g0", 1, self.directory, self.record, self.limits
            )
            self.at = str(self.gateway.server.at)
            self.client = Client(self.loop)
            self.until(lambda: len(self.gateway.executor.send_guard.hosts) == len(self.site.hosts))
            self.until(lambda: all(h.feed for h in self.hosts.values()))
            # The gateway counts as long started, so that it does not pace set-ups as for cold hosts.
            self.gateway.executor.module.gateway.doubts_until = 0.0
            try:
                return call(self)
            finally:
                self.gateway.stop()

        return self.loop.run(run_with_gateway)

    def listed(self, name: str, state: str) -> None:
        """Publishes the state of a host in the list service at once."""
        record = next(h for h in self.site.hosts if h.name == name)
        self.lists.set(
            {
                "host": name,
                "at": str(self.hosts[name].server.at),
                "cell": record.cell,
                "weight": 1.0,
                "kind": "std",
                "zone": record.zone,
                "state": state,
                "started": 0.0,
            },
            at_once=True,
        )

    def until(self, condition: Callable[[], Any], within: float = 8.0) -> None:
        """Waits until the condition holds; fails the test after `within` seconds."""
        end = time.monotonic() + within
        while not condition():
            assert time.monotonic() < end, "the condition did not become true in time"
            self.loop.sleep(0.005)

    def offer(
        self,
        number: int = 1,
        wait: float | None = None,
        token: str = "me",
        title: str = "clip-1",
        **headers: str,
    ) -> Response:
        """Sends an offer over a connection of its own, and returns the response."""
        stream = self.ask(number, wait, token, title, **headers)
        try:
            return answer(stream)
        finally:
            stream.close()

    def ask(
        self,
        number: int = 1,
        wait: float | None = None,
        token: str = "me",
        title: str = "clip-1",
        **headers: str,
    ) -> Stream:
        """Sends an offer over a connection of its own, and returns the connection."""
        stream = connect(self.loop, endpoint(self.at))
        stream.send(request(self.at, number, wait, token, title, more=headers))
        return stream

    def counts(self) -> Any:
        """Returns the counters of the gateway."""
        return self.gateway.executor.counts


def request(
    at: str,
    number: int = 1,
    wait: float | None = None,
    token: str = "me",
    title: str = "clip-1",
    *,
    body: bytes | None = None,
    method: str = "POST",
    path: str = "",
    more: dict[str, str] | None = None,
) -> bytes:
    """Returns an encoded HTTP request, by default an offer; `more` adds header fields."""
    body = offer_of(number) if body is None else body
    fields = {
        "Host": at,
        "Content-Type": SDP,
        "Authorization": f"Bearer {token}",
        "Content-Length": str(len(body)),
    }
    if wait is not None:
        fields["Prefer"] = f"wait={wait}"
    fields.update({name.replace("_", "-"): value for name, value in (more or {}).items()})
    lines = [f"{method} {path or '/whep/recorded/' + title} HTTP/1.1"]
    lines += [f"{name}: {value}" for name, value in fields.items() if value]
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


def answer(stream: Stream) -> Response:
    """Returns the next response on a connection. Raises `ConnectionError` when it ends before."""
    reader, response = ResponseReader(), None
    while response is None:
        data = stream.receive()
        if not data:
            raise ConnectionError("connection ended before a response")
        response = reader.feed(data)
    return response


def notice(host: Host, name: str, viewing_id: int, kind: int, value: float = 0.0) -> None:
    """Sends an event of a viewing on the event feed of a host."""
    assert host.feed is not None
    host.feed.send(
        encode_event(msgspec.json.encode({"vw": viewing_id, "kind": kind, "value": value}).decode(), name)
    )
