"""Stand-ins and helpers for the cases of the second review: viewers, media hosts, a journal service, a proxy.

They follow the operators' protocol page. Where that is silent they behave like sound peers. Everything
runs on 127.0.0.1 and on the real clock; the gateway is a process of its own, started with `run` of the deploy
file.
"""

import asyncio
import json
import os
import shutil
import signal
import socket
import struct
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parents[2]
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
DESCRIPTION = "9d41c07a5be2f318\r\nc=IN IP4 127.0.0.1\r\nm=audio 31000 RTP/AVP 0 8 101\r\n"
RELEASED_WITHIN_S = 8.05  # 8 s of the protocol page, and 50 ms by which each limit is longer there
LIMIT_S = 112.0  # of a whole case

SETTINGS: dict[str, Any] = {
    "areas": ["hall-1"],
    "categories": [
        {
            "name": "clip-play",
            "onTime": 800.0,
            "deadline": 3000.0,
            "worth": 1.0,
            "effect": "repeatable",
            "keyScope": "all",
            "stream": True,
        }
    ],
    "familyInfo": {
        "places": 4,
        "racks": 1,
        "linkUnitKb": 60000.0,
        "linksKb": 240000.0,
        "uplinkKb": 200000.0,
        "kindSlots": [60],
        "levelKb": [201.0, 418.0, 868.0, 1804.0],
        "rungWorth": [0.2, 0.49, 0.75, 1.0],
        "fullFrom": 1.0,
        "join": 1.0,
        "live": [False],
        "classScale": [1.0],
        "classTop": [3],
        "floorByClass": [0],
        "seats": [0],
        "toldLate": 900.0,
        "toldEvery": 3000.0,
        "shortfallCost": 7.0,
        "changeCostsS": 0.8,
    },
    "kinds": ["small-2core"],
    "ceilings": {
        "tryLimit": 3,
        "probes": True,
        "peerMessages": False,
        "retryAfter": False,
        "mayCancel": True,
        "secondCopies": False,
        "connectTimeout": 250.0,
        "connIdle": 30000.0,
        "streamsPerConn": 32,
    },
    "rules": {
        "answerSlack": 40.0,
        "stopSendingWithin": 1000.0,
        "coldShare": 0.4,
        "warmUp": 5000.0,
        "tipAfter": 2000.0,
        "fallMultiple": 3.0,
    },
    "telemetry": {"how": "piggyback", "fields": ["active", "x0"]},
    "prices": {"crossZone": 0.012},
    "locality": "hall-1",
    "ordinal": 0,
    "peersTotal": 1,
    "discovery": "pushed",
}


class Impossible(Exception):
    """The case could not be run as it is meant."""


class Record:
    """The file `record.txt` of a case: what was sent, answered and run."""

    def __init__(self, path: Path) -> None:
        self.file = open(path, "w")  # noqa: SIM115 - open for the whole case
        self.began = time.monotonic()

    def __call__(self, who: str, what: str) -> None:
        self.file.write(f"{time.monotonic() - self.began:8.3f} {who:10} {what}\n")
        self.file.flush()


def free_port() -> int:
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return int(probe.getsockname()[1])


def reset(writer: asyncio.StreamWriter) -> None:
    """Closes a connection with a TCP reset."""
    sock = writer.get_extra_info("socket")
    if sock is not None:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()


def line(
    verb: str, tag: str, fields: dict[str, Any], cause: int | None = None, blob: str | None = None
) -> bytes:
    message: dict[str, Any] = {"verb": verb, "tag": tag, "opts": fields}
    if cause is not None:
        message["rc"] = cause
    if blob is not None:
        message["blob"] = blob
    return json.dumps(message, separators=(",", ":")).encode() + b"\n"


class Session:
    """A viewing that stands at a media host."""

    def __init__(self, tag: str, link: "Link", title: str) -> None:
        self.tag, self.link, self.title = tag, link, title


class Link:
    """One connection from the gateway to a media host."""

    def __init__(self, number: int, writer: asyncio.StreamWriter) -> None:
        self.number, self.writer, self.open = number, writer, True
        self.setups: dict[str, asyncio.Task[None]] = {}

    def send(self, data: bytes) -> None:
        if self.open:
            self.writer.write(data)


class Host:
    """A media host by the protocol page.

    It answers a set-up after `delay` seconds. What concerns a session goes out on the connection of its
    set-up, otherwise on any open one; a release goes out on the next connection that is opened, too.
    """

    def __init__(self, record: Record, name: str, cell: int) -> None:
        self.record, self.name, self.cell = record, name, cell
        self.delay: Callable[[str], float] = lambda tag: 0.02
        self.port = 0
        self.announced = ""  # the address in the list, where it is not the host's own
        self.links: list[Link] = []
        self.sessions: dict[str, Session] = {}
        self.started: list[tuple[float, str, str]] = []  # when, id, title of each set-up that arrived
        self.again: list[bytes] = []  # releases for the next connection
        self.ended: dict[str, float] = {}  # when each session ended here
        self.server: asyncio.Server | None = None
        self.tasks: list[asyncio.Task[None]] = []
        self.opened = 0
        self.told_every = SETTINGS["familyInfo"]["toldEvery"] / 1000

    async def start(self, port: int = 0) -> None:
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", port)
        self.port = self.server.sockets[0].getsockname()[1]
        self.tasks.append(asyncio.create_task(self._notes()))

    @property
    def address(self) -> str:
        return self.announced or f"127.0.0.1:{self.port}"

    def load(self) -> str:
        return f"active:{len(self.sessions)};x0:{0.01 * len(self.sessions):.2f}"

    async def _notes(self) -> None:
        """Tells the use of the link on one session every `told_every` seconds."""
        while True:
            await asyncio.sleep(self.told_every)
            for session in list(self.sessions.values())[:1]:
                note = {"note": "wire", "value": f"{0.01 * len(self.sessions):.2f}"}
                self._send(session, line("NOTICE", session.tag, note))

    def _send(self, session: Session, data: bytes) -> None:
        link = session.link if session.link.open else next((x for x in self.links if x.open), None)
        if link is not None:
            link.send(data)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.opened += 1
        link = Link(self.opened, writer)
        self.links.append(link)
        self.record(self.name, f"connection {link.number} opened")
        for data in self.again:
            self.record(self.name, f"connection {link.number}: sends again {data.decode().strip()}")
            link.send(data)
        self.again = []
        try:
            while data := await reader.readline():
                self._on_line(link, json.loads(data))
        except (OSError, ValueError) as error:
            self.record(self.name, f"connection {link.number}: {error}")
        finally:
            link.open = False
            if link in self.links:
                self.links.remove(link)
            for tag, task in link.setups.items():
                task.cancel()
                self.gave_up(tag)
            self.record(self.name, f"connection {link.number} closed")
            writer.close()

    def _on_line(self, link: Link, message: dict[str, Any]) -> None:
        verb, tag, fields = message["verb"], message["tag"], message.get("opts", {})
        if verb == "START":
            self.started.append((time.monotonic(), tag, fields.get("key", "")))
            self.record(self.name, f"connection {link.number}: START {tag} key={fields.get('key')}")
            link.setups[tag] = asyncio.create_task(self._answer(link, tag, fields, message.get("blob", "")))
        elif verb == "ECHO":
            link.send(line("ECHOED", tag, {"load": self.load()} if message.get("rc") == 1 else {}, 1))
        elif verb == "FINISH":
            self.record(self.name, f"connection {link.number}: FINISH {tag} rc={message.get('rc')}")
            if (task := link.setups.pop(tag, None)) is not None:
                task.cancel()
            elif self.sessions.pop(tag, None) is not None:
                self.ended[tag] = time.monotonic()
                link.send(line("FINISH", tag, {}, 31))

    async def _answer(self, link: Link, tag: str, fields: dict[str, Any], blob: str) -> None:
        wait = self.delay(tag)
        if wait < 0:
            return  # no answer ever
        await asyncio.sleep(wait)
        link.setups.pop(tag, None)
        self.sessions[tag] = Session(tag, link, fields.get("key", ""))
        self.record(self.name, f"connection {link.number}: STARTED {tag}")
        link.send(line("STARTED", tag, {}, None, blob))

    def gave_up(self, tag: str) -> None:
        """A set-up is given up since its connection was closed."""
        self.record(self.name, f"set-up {tag} is given up with its connection")

    def end(self, tag: str, cause: int = 16) -> None:
        """A session has come to its end: sends its release."""
        session = self.sessions.pop(tag)
        self.ended[tag] = time.monotonic()
        data = line("FINISH", tag, {"load": self.load()}, cause)
        number = session.link.number if session.link.open else "of any"
        self.record(self.name, f"session {tag} ends with cause {cause}, set up on connection {number}")
        self._send(session, data)
        self.again.append(data)

    def die(self) -> None:
        """The process ends: its connections are reset and its sessions are cut."""
        self.record(self.name, "process ends")
        if self.server is not None:
            self.server.close()
        for link in list(self.links):
            for task in link.setups.values():
                task.cancel()
            link.setups.clear()
            reset(link.writer)
        for tag in list(self.sessions):
            self.ended[tag] = time.monotonic()
            self.record(self.name, f"session {tag} is cut")
        self.sessions.clear()

    def row(self, phase: str = "ready", up_since_ms: int = 0) -> dict[str, Any]:
        return {
            "id": self.name,
            "host_port": self.address,
            "locality": "hall-1",
            "flavor": "small-2core",
            "cell": self.cell,
            "phase": phase,
            "size": 1,
            "up_since_ms": up_since_ms,
        }


class Proxy:
    """Passes connections on to a media host. `cut` may close one of them in place of passing on some data."""

    def __init__(self, record: Record, host: Host) -> None:
        self.record, self.host = record, host
        self.cut: Callable[[int, bytes], bool] = lambda number, data: False  # asked for data of the host
        self.mute: set[int] = set()  # connections whose data of the host is dropped while they stay open
        self.opened = 0
        self.server: asyncio.Server | None = None

    async def start(self) -> None:
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.host.announced = f"127.0.0.1:{self.server.sockets[0].getsockname()[1]}"

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.opened += 1
        number = self.opened
        try:
            to = await asyncio.open_connection("127.0.0.1", self.host.port)
        except OSError:
            reset(writer)
            return
        ends = [
            asyncio.create_task(self._pass(number, reader, to[1], writer, False)),
            asyncio.create_task(self._pass(number, to[0], writer, to[1], True)),
        ]
        await asyncio.wait(ends, return_when=asyncio.FIRST_COMPLETED)
        for task in ends:
            task.cancel()
        writer.close()
        to[1].close()

    async def _pass(
        self,
        number: int,
        source: asyncio.StreamReader,
        sink: asyncio.StreamWriter,
        back: asyncio.StreamWriter,
        from_host: bool,
    ) -> None:
        try:
            while data := await source.read(65536):
                if from_host and self.cut(number, data):
                    self.record(
                        "network", f"resets connection {number} with {data.decode().strip()} under way"
                    )
                    reset(sink)
                    reset(back)
                    return
                if from_host and number in self.mute:
                    self.record("network", f"connection {number} stays silent, loses {data.decode().strip()}")
                    continue
                sink.write(data)
        except OSError:
            reset(sink)


class Journal:
    """The journal service: server-sent events, a comment each second, events after `Last-Event-ID`."""

    def __init__(self, record: Record) -> None:
        self.record = record
        self.events: list[tuple[int, dict[str, Any]]] = []
        self.added: dict[int, float] = {}  # when each event was in the journal
        self.pos = 0
        self.calls = 0
        self.answers_after = 0.0  # seconds from a call to the head of its response
        self.port = 0
        self.news = asyncio.Condition()

    async def start(self) -> None:
        server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = server.sockets[0].getsockname()[1]

    async def add(self, rows: list[dict[str, Any]], complete: bool = False) -> int:
        self.pos += 1
        hosts = {"revision": self.pos, "complete": complete, "members": rows}
        async with self.news:
            self.events.append((self.pos, {"pos": self.pos, "hosts": hosts}))
            self.added[self.pos] = time.monotonic()
            self.news.notify_all()
        self.record("journal", f"event {self.pos}: " + ", ".join(f"{x['id']} {x['phase']}" for x in rows))
        return self.pos

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        call = 0
        try:
            head = (await reader.readuntil(b"\r\n\r\n")).decode()
            self.calls += 1
            call = self.calls
            field = next(x for x in head.split("\r\n") if x.lower().startswith("last-event-id:"))
            last = int(field.partition(":")[2])
            self.record("journal", f"call {call} after event {last}")
            await asyncio.sleep(self.answers_after)
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n:\n\n")
            while True:
                for pos, event in self.events:
                    if pos > last:
                        writer.write(f"id: {pos}\ndata: {json.dumps(event)}\n\n".encode())
                        self.record("journal", f"call {call}: event {pos} sent")
                        last = pos
                await writer.drain()
                try:
                    async with self.news:
                        await asyncio.wait_for(self.news.wait(), 1.0)
                except TimeoutError:
                    writer.write(b":\n\n")
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            self.record("journal", f"call {call} ended")
            writer.close()


class Viewers:
    """A connection of viewers to the gateway, with what was asked, answered and released on it."""

    def __init__(self, record: Record, name: str = "viewers") -> None:
        self.record, self.name = record, name
        self.asked: dict[str, float] = {}
        self.answers: dict[str, list[tuple[float, int, str]]] = {}  # when, status, description
        self.released: dict[str, float] = {}
        self.closed = asyncio.Event()
        self.tested = asyncio.Event()
        self.news = asyncio.Event()
        self.writer: asyncio.StreamWriter
        self.task: asyncio.Task[None]

    async def connect(self, port: int) -> None:
        reader, self.writer = await asyncio.open_connection("127.0.0.1", port)
        self.task = asyncio.create_task(self._read(reader))

    def set_up(
        self,
        tag: str,
        title: str = "7f3a9c21e0b4d655",
        home: int = 0,
        copies: int = 4,
        tier: str = "clip-play",
        deadline_ms: int = 3000,
        top: int = 0,
        more: str = "",
    ) -> None:
        self.asked[tag] = time.monotonic()
        self.record(self.name, f"SETUP {tag} home:{home};copies:{copies}{more}")
        body = DESCRIPTION.encode()
        self.writer.write(
            (
                f"SETUP rtsp://media/{title} RTSP/1.0\r\nCSeq: 1\r\nSession: {tag}\r\nX-Tier: {tier}\r\n"
                f"X-Deadline: {deadline_ms}\r\n"
                f"X-Attrs: home:{home};copies:{copies};top:{top};viewer:{tag}{more}\r\n"
                f"Content-Length: {len(body)}\r\n\r\n"
            ).encode()
            + body
        )

    def teardown(self, tag: str) -> None:
        self.record(self.name, f"TEARDOWN {tag}")
        self.writer.write(
            f"TEARDOWN rtsp://media/x RTSP/1.0\r\nCSeq: 2\r\nSession: {tag}\r\n"
            "Content-Length: 0\r\n\r\n".encode()
        )

    def test(self) -> None:
        self.writer.write(b"OPTIONS rtsp://media/ping RTSP/1.0\r\nCSeq: 3\r\nContent-Length: 0\r\n\r\n")

    async def _read(self, reader: asyncio.StreamReader) -> None:
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode()
                start, *lines = head.strip().split("\r\n")
                fields = {k.lower(): v.strip() for k, _, v in (x.partition(":") for x in lines)}
                body = (await reader.readexactly(int(fields["content-length"]))).decode()
                self._on_message(start, fields, body)
        except (OSError, asyncio.IncompleteReadError):
            self.record(self.name, "connection closed")
            self.closed.set()

    def _on_message(self, start: str, fields: dict[str, str], body: str) -> None:
        tag, now = fields.get("session", ""), time.monotonic()
        if start.startswith("RTSP/1.0"):
            status = int(start.split()[1])
            if fields.get("cseq") == "3":
                if status == 200:
                    self.tested.set()
                return
            if fields.get("cseq") != "1":
                return
            self.record(self.name, f"answer {status} to {tag}")
            self.answers.setdefault(tag, []).append((now, status, body))
        elif start.startswith("TEARDOWN"):
            self.record(self.name, f"release of {tag}: {fields.get('reason')}")
            self.released.setdefault(tag, now)
            self.writer.write(
                f"RTSP/1.0 200 OK\r\nCSeq: 2\r\nSession: {tag}\r\nContent-Length: 0\r\n\r\n".encode()
            )
        else:
            self.record(self.name, start)
        self.news.set()

    def plays(self, tag: str) -> bool:
        return [status for _, status, _ in self.answers.get(tag, [])] == [200]


class Stage:
    """A gateway process, its journal service, its media hosts and its viewers."""

    def __init__(self, record: Record, hosts: int = 4) -> None:
        self.record = record
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self.journal = Journal(record)
        self.hosts = [Host(record, f"s-{i:08x}", i) for i in range(hosts)]
        self.viewers = Viewers(record)
        self.settings: dict[str, Any] = json.loads(json.dumps(SETTINGS))
        self.limits = {"cores": 1.0, "memory_mb": 64, "sockets": 256}
        self.port = free_port()
        self.process: asyncio.subprocess.Process | None = None
        self.log = self.folder / "gateway.log"

    async def prepare(self) -> None:
        """Starts the stand-ins."""
        for host in self.hosts:
            if not host.port:
                await host.start()
        await self.journal.start()
        await self.journal.add([host.row() for host in self.hosts], complete=True)

    def write_configuration(self) -> None:
        document = {
            "name": "n0",
            "listen": f"127.0.0.1:{self.port}",
            "seed": "8c1f30d27a5be964",
            "limits": self.limits,
            "peers": [],
            "journal": f"127.0.0.1:{self.journal.port}",
            "known": {"pos": self.journal.pos, "entries": [event for _, event in self.journal.events]},
            "settings": self.settings,
        }
        part = self.folder / "config.part"
        part.write_text(json.dumps(document))
        part.replace(self.folder / "config.json")

    async def start(self) -> None:
        """Starts the gateway and waits until its first test is passed."""
        self.write_configuration()
        (self.folder / "tmp").mkdir(exist_ok=True)
        run = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]
        env = {
            **os.environ,
            "ROUTER_NAME": "n0",
            "ROUTER_LISTEN": f"127.0.0.1:{self.port}",
            "ROUTER_CONFIG": str(self.folder / "config.json"),
            "TMPDIR": str(self.folder / "tmp"),
        }
        with open(self.log, "ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                "/bin/sh", "-c", run, cwd=ROOT, env=env, stdout=log, stderr=log
            )
        self.record("gateway", f"started by: {run}")
        for _ in range(300):
            if self.process.returncode is not None:
                raise Impossible(f"the gateway did not start: {self.log.read_text()[-500:]}")
            try:
                await self.viewers.connect(self.port)
                break
            except OSError:
                await asyncio.sleep(0.1)
        else:
            raise Impossible("the gateway did not listen within 30 s")
        self.viewers.test()
        await asyncio.wait_for(self.viewers.tested.wait(), 30)
        self.record("gateway", "ready")

    async def warm_up(self) -> None:
        """Waits until media hosts that the gateway knew at its start take any number of set-ups.

        Meanwhile the viewers close their connection, which has no session on it, and come again on a new one.
        """
        await asyncio.sleep(4)
        self.viewers.writer.close()
        await asyncio.sleep(2)
        await self.viewers.connect(self.port)

    async def until(self, condition: Callable[[], Any], within: float, what: str) -> None:
        """Waits for a part of the scene; without it the case can't run."""
        end = time.monotonic() + within
        while not condition():
            if time.monotonic() > end:
                raise Impossible(f"not within {within} s: {what}")
            await asyncio.sleep(0.01)

    async def play(self, tags: list[str], interval: float = 0.05, **more: Any) -> None:
        """Has viewings begin and waits until all of them play."""
        for tag in tags:
            self.viewers.set_up(tag, **more)
            await asyncio.sleep(interval)
        await self.until(lambda: all(map(self.viewers.plays, tags)), 10, "the viewings play")

    @property
    def crashed(self) -> bool:
        return self.process is not None and self.process.returncode is not None

    async def stop(self) -> None:
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(signal.SIGKILL)
            await self.process.wait()
        if self.process is not None:
            self.record("gateway", f"process {self.process.pid} ended: {self.process.returncode}")
        for text in self.log.read_text().splitlines()[:400] if self.log.exists() else []:
            self.record("log", text)
        shutil.rmtree(self.folder, ignore_errors=True)


def run_case(play: Callable[[Stage], Awaitable[str]], hosts: int = 4) -> None:
    """Plays a case and exits: 1 where `play` returns how the rule was broken, 0 for "", 2 if it can't run.

    The first argument of the script is the path of `record.txt`.
    """
    record = Record(Path(sys.argv[1]))

    async def whole() -> int:
        stage = Stage(record, hosts)
        # Ended from outside, the case still ends the gateway.
        task = asyncio.current_task()
        assert task is not None
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
        try:
            broken = await asyncio.wait_for(play(stage), LIMIT_S)
        except (Impossible, TimeoutError, OSError, asyncio.CancelledError) as error:
            record("case", f"could not run: {str(error) or type(error).__name__}")
            print(f"could not run: {str(error) or type(error).__name__}", file=sys.stderr)
            return 2
        finally:
            await stage.stop()
        record("case", f"broken: {broken}" if broken else "the rule held")
        print(broken or "the rule held")
        return 1 if broken else 0

    record("case", f"TROUBLE={int(TROUBLE)}")
    status = 2
    try:
        status = asyncio.run(whole())
    finally:
        sys.stdout.flush()
        record("case", f"exit {status}")
        os._exit(status)


def not_released(stage: Stage, tags: list[str]) -> list[str]:
    """Returns the sessions among `tags` that ended at their media host and were not released in time."""
    late = []
    for tag in tags:
        ended = min((host.ended[tag] for host in stage.hosts if tag in host.ended), default=None)
        if ended is None:
            continue
        told = stage.viewers.released.get(tag)
        if told is None and time.monotonic() < ended + RELEASED_WITHIN_S:
            raise Impossible("the case ended too early to judge")
        if told is None or told > ended + RELEASED_WITHIN_S:
            late.append(tag)
    return late
