"""Stand-ins for the cases of the review: media hosts, journal service, viewers, and the gateway's process.

They follow the operators' protocol page: viewers speak RTSP, media hosts speak JSON lines, the journal
service sends server-sent events. All of them live in one asyncio process; each gateway is a process of its
own, started with the command `run` of the deploy file. Every address is on 127.0.0.1.
"""

import asyncio
import json
import os
import random
import shutil
import signal
import socket
import struct
import subprocess
import tempfile
import time
import tomllib
from collections.abc import Callable, Coroutine
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parent.parent
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
LONGEST_S = 105  # a case that is not over by then is ended, which may take some seconds more
SLACK_S = 0.05  # every time limit is 50 ms longer on sockets, by the protocol page

SETTINGS: dict[str, Any] = {
    "categories": [
        {"name": "clip-play", "onTime": 800.0, "deadline": 3000.0, "worth": 1.0, "effect": "repeatable"}
    ],
    "familyInfo": {
        "places": 0,
        "racks": 1,
        "linkUnitKb": 60000.0,
        "linksKb": 360000.0,
        "uplinkKb": 400000.0,
        "kindSlots": [200],
        "levelKb": [201.0, 418.0, 868.0, 1804.0],
        "rungWorth": [0.2, 0.49, 0.75, 1.0],
        "fullFrom": 1.0,
        "join": 1.0,
        "toldLate": 880.0,
        "toldEvery": 3750.0,
        "floorByClass": [0],
        "classTop": [3],
        "classScale": [1.0],
        "seats": [0],
        "live": [False],
    },
    "kinds": ["small-2core"],
    "areas": ["hall-1"],
    "locality": "hall-1",
    "ordinal": 0,
    "peersTotal": 1,
    "discovery": "pushed",
    "ceilings": {
        "tryLimit": 3,
        "probes": True,
        "peerMessages": False,
        "retryAfter": False,
        "connectTimeout": 250.0,
        "connIdle": 30000.0,
        "streamsPerConn": 32,
    },
    "rules": {
        "answerSlack": 40.0,
        "stopSendingWithin": 1000.0,
        "coldShare": 0.4,
        "warmUp": 12000.0,
        "tipAfter": 2000.0,
        "fallMultiple": 3.0,
    },
    "telemetry": {"how": "piggyback", "fields": ["active", "x0"]},
    "prices": {"crossZone": 0.012},
}


class Record:
    """Writes a case's record: one line for each event, with the seconds since the start."""

    def __init__(self, path: Path) -> None:
        self.file = path.open("w")
        self.began = time.monotonic()

    @property
    def now(self) -> float:
        return time.monotonic() - self.began

    def __call__(self, event: str, **fields: object) -> None:
        pairs = " ".join(f"{name}={value}" for name, value in fields.items())
        self.file.write(f"{self.now:9.3f} {event} {pairs}\n")
        self.file.flush()


def free_port() -> int:
    """Returns a port that is free now, below those that the system gives to outgoing connections."""
    while True:
        port = random.randrange(10000, 30000)
        with socket.socket() as sock:
            try:
                sock.bind(("127.0.0.1", port))
            except OSError:
                continue
        return port


class Gateway:
    """One gateway process: the command `run` of the deploy file, its configuration in a temporary folder."""

    def __init__(self, record: Record, settings: dict[str, Any], journal: str, known: list[Any]) -> None:
        self.record = record
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self.listen = f"127.0.0.1:{free_port()}"
        self.config = {
            "name": "g0",
            "listen": self.listen,
            "seed": "8c1f30d27a5be964",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "peers": [],
            "journal": journal,
            "known": {"pos": len(known), "entries": known},
            "settings": settings,
        }
        self.process: subprocess.Popen[bytes] | None = None

    def start(self) -> None:
        path = self.folder / "config.json"
        path.write_text(json.dumps(self.config))
        command = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]
        scratch = tempfile.mkdtemp(dir=self.folder)
        environment = dict(
            os.environ,
            ROUTER_NAME="g0",
            ROUTER_LISTEN=self.listen,
            ROUTER_CONFIG=str(path),
            TMPDIR=scratch,
        )
        with (self.folder / "log").open("ab") as log:
            self.process = subprocess.Popen(
                ["/bin/sh", "-c", command], cwd=ROOT, env=environment, stdout=log, stderr=log
            )
        self.record("gateway-started", pid=self.process.pid)

    async def ready(self, within: float = 30.0) -> bool:
        """Returns whether the gateway passed its test (OPTIONS) in time."""
        until = time.monotonic() + within
        while time.monotonic() < until:
            try:
                reader, writer = await asyncio.open_connection(*split(self.listen))
                writer.write(rtsp("OPTIONS", "rtsp://media/ping", 3, "", []))
                head = await asyncio.wait_for(reader.readuntil(b"\r\n\r\n"), 1.0)
                writer.close()
                if head.startswith(b"RTSP/1.0 200"):
                    self.record("gateway-ready")
                    return True
            except (OSError, asyncio.IncompleteReadError, TimeoutError):
                pass
            await asyncio.sleep(0.1)
        return False

    def kill(self) -> None:
        if self.process is not None:
            self.process.kill()
            self.process.wait()
            self.record("gateway-killed", pid=self.process.pid)

    def stop(self) -> None:
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signal.SIGTERM)
            try:
                self.process.wait(6.0)
            except subprocess.TimeoutExpired:
                self.kill()

    def clean(self) -> None:
        """Copies the log into the record and removes the folder."""
        self.stop()
        for line in (self.folder / "log").read_text(errors="replace").splitlines():
            self.record.file.write(f"gateway-log {line}\n")
        self.record.file.flush()
        shutil.rmtree(self.folder, ignore_errors=True)


def split(address: str) -> tuple[str, int]:
    host, _, port = address.rpartition(":")
    return host, int(port)


# ---- the journal service


class Journal:
    """Journal service: server-sent events with a comment each second."""

    def __init__(self, record: Record) -> None:
        self.record = record
        self.events: list[dict[str, Any]] = []
        self.address = ""
        self.calls = 0
        self.told = asyncio.Condition()

    def add(self, members: list[dict[str, Any]], complete: bool = False) -> dict[str, Any]:
        pos = len(self.events) + 1
        hosts = {"revision": pos, "complete": complete, "members": members}
        self.events.append({"pos": pos, "hosts": hosts})
        for member in members:
            self.record("journal-event", pos=pos, host=member["id"], phase=member["phase"])
        return self.events[-1]

    async def start(self) -> None:
        server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
            self.calls += 1
            number = self.calls
            last = 0
            for line in head.split("\r\n"):
                name, _, value = line.partition(":")
                if name.lower() == "last-event-id":
                    last = int(value)
            self.record("journal-call", number=number, after=last)
            writer.write(
                b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\n: on\n\n"
            )
            await writer.drain()
            commented = time.monotonic()
            while True:
                for event in self.events[last:]:
                    last = event["pos"]
                    writer.write(f"id: {last}\ndata: {json.dumps(event)}\n\n".encode())
                    self.record("journal-told", number=number, pos=last)
                if time.monotonic() - commented >= 1.0:
                    commented = time.monotonic()
                    writer.write(b": still here\n\n")
                await writer.drain()
                await asyncio.sleep(0.05)
        except (OSError, asyncio.IncompleteReadError):
            self.record("journal-call-ended", number=self.calls)
        finally:
            writer.close()


def member(host: "MediaHost", phase: str) -> dict[str, Any]:
    return {
        "id": host.name,
        "host_port": host.address,
        "locality": "hall-1",
        "flavor": "small-2core",
        "cell": 0,
        "phase": phase,
        "size": 1,
        "up_since_ms": 0,
    }


# ---- media hosts


class Session:
    """One set-up at a media host, or the session that it became."""

    def __init__(self, tag: str, link: "HostLink", description: str) -> None:
        self.tag, self.link, self.description = tag, link, description
        self.stands = False
        self.task: asyncio.Task[None] | None = None


class HostLink:
    """One connection of a gateway at a media host. A `deaf` one delivers nothing more to the gateway."""

    def __init__(self, number: int, writer: asyncio.StreamWriter) -> None:
        self.number, self.writer = number, writer
        self.open, self.deaf = True, False
        self.used_at = time.monotonic()

    def write(self, message: dict[str, Any]) -> None:
        if self.open and not self.deaf:
            self.writer.write(json.dumps(message, separators=(",", ":")).encode() + b"\n")


class MediaHost:
    """A media host by the protocol page.

    `spoil()` decides for each good answer whether it stops short on its way: half of the line arrives, and
    the connection stays open and is of no further use.
    """

    def __init__(self, record: Record, name: str, settings: dict[str, Any], seed: int) -> None:
        self.record, self.name, self.settings = record, name, settings
        self.random = random.Random(seed)
        self.length_s: Callable[[], float] = lambda: self.random.uniform(5.0, 20.0)
        self.spoil: Callable[[], bool] = lambda: False
        self.reset_new: Callable[[], bool] = lambda: False
        self.on_over: Callable[[MediaHost, str, int], None] = lambda host, tag, cause: None
        self.address = ""
        self.sessions: dict[str, Session] = {}
        self.links: list[HostLink] = []
        self.unheard: list[dict[str, Any]] = []  # releases, sent again on the next connection
        self.server: asyncio.Server | None = None
        self.opened = 0  # connections so far

    async def start(self) -> None:
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.address = f"127.0.0.1:{self.server.sockets[0].getsockname()[1]}"
        asyncio.get_running_loop().create_task(self._housekeeping())

    def _reset(self, link: HostLink) -> None:
        link.open = False
        sock = link.writer.get_extra_info("socket")
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        link.writer.transport.abort()

    def reset_one(self) -> None:
        """Resets one of its connections, if there is one; sessions that stand stay."""
        if self.links:
            link = self.random.choice(self.links)
            self.record("host-connection-reset", host=self.name, link=link.number)
            self._reset(link)

    def load(self) -> str:
        return f"active:{len(self.sessions)};x0:{min(0.9, len(self.sessions) / 200):.3f}"

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.opened += 1
        link = HostLink(self.opened, writer)
        if self.reset_new():
            self.record("host-connection-reset-while-new", host=self.name, link=link.number)
            self._reset(link)
            return
        self.links.append(link)
        self.record("host-connection", host=self.name, link=link.number, releases=len(self.unheard))
        for message in self.unheard:
            link.write(message)
        self.unheard.clear()
        try:
            while line := await reader.readline():
                self._on_message(link, json.loads(line))
        except (OSError, ValueError) as error:
            self.record("host-connection-broke", host=self.name, link=link.number, why=type(error).__name__)
        finally:
            link.open = False
            if link in self.links:
                self.links.remove(link)
            self.record("host-connection-ended", host=self.name, link=link.number)
            for session in list(self.sessions.values()):
                if session.link is link and not session.stands:
                    self._drop(session)
            writer.close()

    def _on_message(self, link: HostLink, message: dict[str, Any]) -> None:
        verb, tag = message["verb"], message["tag"]
        if verb in ("START", "ECHO"):
            link.used_at = time.monotonic()
        if verb == "START":
            self.record("start", host=self.name, link=link.number, tag=tag)
            if tag in self.sessions:
                self._drop(self.sessions[tag])
            session = self.sessions[tag] = Session(tag, link, message.get("blob", ""))
            session.task = asyncio.get_running_loop().create_task(self._play(session))
        elif verb == "FINISH":
            self.record("gateway-finish", host=self.name, link=link.number, tag=tag, cause=message.get("rc"))
            if tag in self.sessions:
                if self.sessions[tag].stands:
                    self.on_over(self, tag, 31)
                self._drop(self.sessions[tag])
        elif verb == "ECHO":
            rc = message.get("rc", 1)
            link.write({"verb": "ECHOED", "tag": tag, "opts": {"load": self.load()}, "rc": rc})

    def _drop(self, session: Session) -> None:
        if session.task is not None:
            session.task.cancel()
        self.sessions.pop(session.tag, None)

    async def _play(self, session: Session) -> None:
        await asyncio.sleep(self.random.uniform(0.04, 0.12))
        link = session.link
        answer = {"verb": "STARTED", "tag": session.tag, "opts": {}, "blob": f"{self.name}:{session.tag}\r\n"}
        session.stands = True
        if not link.deaf and self.spoil():
            line = json.dumps(answer, separators=(",", ":")).encode()
            link.writer.write(line[: len(line) // 2])
            link.deaf = True
            self.record("answer-stops-short", host=self.name, link=link.number, tag=session.tag)
        else:
            link.write(answer)
            self.record("started", host=self.name, link=link.number, tag=session.tag, heard=not link.deaf)
            use = f"{len(self.sessions) / 200:.3f}"
            opts = {"note": "wire", "value": use}
            link.write({"verb": "NOTICE", "tag": session.tag, "opts": opts})
        await asyncio.sleep(self.length_s())
        # The release goes out on the connection of the set-up, otherwise on any open one, and also on the
        # next connection that is opened.
        del self.sessions[session.tag]
        release = {"verb": "FINISH", "tag": session.tag, "opts": {"load": self.load()}, "rc": 16}
        way = link if link.open else next((each for each in self.links if each.open), None)
        if way is not None:
            way.write(release)
        self.unheard.append(release)
        self.record(
            "release",
            host=self.name,
            tag=session.tag,
            link=way.number if way is not None else "-",
            arrives=way is not None and not way.deaf,
        )
        self.on_over(self, session.tag, 16)

    async def _housekeeping(self) -> None:
        """Sends the note on the link's use each `toldEvery`, and closes idle connections."""
        every = self.settings["familyInfo"]["toldEvery"] / 1000
        idle = self.settings["ceilings"]["connIdle"] / 1000
        noted = time.monotonic()
        while True:
            await asyncio.sleep(0.25)
            now = time.monotonic()
            for link in list(self.links):
                if now - link.used_at > idle and not any(s.link is link for s in self.sessions.values()):
                    link.writer.close()
            standing = [s for s in self.sessions.values() if s.stands]
            if now - noted >= every and standing:
                noted = now
                session = self.random.choice(standing)
                way = session.link if session.link.open else next(iter(self.links), None)
                if way is not None:
                    opts = {"note": "wire", "value": f"{len(self.sessions) / 200:.3f}"}
                    way.write({"verb": "NOTICE", "tag": session.tag, "opts": opts})


# ---- viewers


def rtsp(
    method: str, target: str, cseq: int, session: str, fields: list[tuple[str, str]], body: str = ""
) -> bytes:
    headers = [("CSeq", str(cseq))]
    headers += [("Session", session)] if session else []
    headers += [*fields, ("Content-Length", str(len(body.encode())))]
    head = "\r\n".join([f"{method} {target} RTSP/1.0", *(f"{name}: {value}" for name, value in headers)])
    return head.encode() + b"\r\n\r\n" + body.encode()


class Viewing:
    """What a viewer saw of one viewing; all times are seconds since the start."""

    def __init__(self, tag: str, asked_at: float, package: str, title: str) -> None:
        self.tag, self.asked_at, self.package, self.title = tag, asked_at, package, title
        self.answers: list[tuple[float, int, str]] = []
        self.released_at: float | None = None
        self.given_up_at: float | None = None
        self.cut_at: float | None = None  # its connection ended before its answer


class Front:
    """Viewers that share one connection to a gateway, which is opened again when it ends."""

    def __init__(self, record: Record, gateway: str, name: str, viewings: dict[str, Viewing]) -> None:
        self.record, self.gateway, self.name, self.viewings = record, gateway, name, viewings
        self.writer: asyncio.StreamWriter | None = None
        self.open_here: dict[str, Viewing] = {}
        # Called when a viewing was refused, or was told that it is over by its break (cause 41).
        self.on_break: Callable[[Viewing], None] = lambda viewing: None
        self.reading: asyncio.Task[None] | None = None

    async def connect(self) -> bool:
        if self.writer is not None:
            return True
        try:
            reader, self.writer = await asyncio.open_connection(*split(self.gateway))
        except OSError:
            return False
        self.record("viewers-connect", front=self.name)
        self.reading = asyncio.get_running_loop().create_task(self._read(reader, self.writer))
        return True

    async def ask(
        self, tag: str, patience_s: float, title: str = "9d41c07a5be2f318", package: str = "clip-play"
    ) -> Viewing | None:
        """Sends a set-up; returns None where the gateway could not be reached."""
        if not await self.connect():
            return None
        assert self.writer is not None
        viewing = self.viewings[tag] = self.open_here[tag] = Viewing(tag, self.record.now, package, title)
        fields = [
            ("X-Tier", package),
            ("X-Deadline", str(int(patience_s * 1000))),
            ("X-Attrs", f"home:0;copies:1;top:3;viewer:{tag}"),
        ]
        self.writer.write(rtsp("SETUP", f"rtsp://media/{title}", 1, tag, fields, "c=IN IP4 127.0.0.1\r\n"))
        self.record("ask", front=self.name, tag=tag, package=package, title=title)
        return viewing

    async def _read(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        why = "end"
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
                start, *lines = head.split("\r\n")
                fields = {}
                for line in lines:
                    name, _, value = line.partition(":")
                    fields[name.lower()] = value.strip()
                body = (await reader.readexactly(int(fields["content-length"]))).decode()
                self._on_message(writer, start, fields, body)
        except (OSError, asyncio.IncompleteReadError) as error:
            why = type(error).__name__
        finally:
            self.writer = None
            cut = [v for v in self.open_here.values() if not v.answers and v.given_up_at is None]
            for viewing in cut:
                viewing.cut_at = self.record.now
            self.record("viewers-connection-ended", front=self.name, why=why, unanswered=len(cut))
            self.open_here.clear()
            writer.close()

    def _on_message(
        self, writer: asyncio.StreamWriter, start: str, fields: dict[str, str], body: str
    ) -> None:
        tag, now = fields.get("session", ""), self.record.now
        if start.startswith("RTSP/1.0 "):
            status = int(start.split(" ")[1])
            viewing = self.viewings.get(tag)
            if fields.get("cseq") == "1" and status >= 200 and viewing is not None:
                viewing.answers.append((now, status, body))
                self.open_here.pop(tag, None)
                self.record("answer", front=self.name, tag=tag, status=status)
                if status in (453, 454, 503):
                    self.on_break(viewing)
            else:
                self.record("reply", front=self.name, tag=tag, status=status)
        elif start.startswith("TEARDOWN "):
            self.record("viewer-released", front=self.name, tag=tag, reason=fields.get("reason", ""))
            if tag in self.viewings and self.viewings[tag].released_at is None:
                self.viewings[tag].released_at = now
                if fields.get("reason") == "cause=41":
                    self.on_break(self.viewings[tag])
            writer.write(
                f"RTSP/1.0 200 OK\r\nCSeq: 2\r\nSession: {tag}\r\nContent-Length: 0\r\n\r\n".encode()
            )


def play(record_path: Path, case: Callable[[Record], Coroutine[Any, Any, int]]) -> int:
    """Plays a case and writes its record.

    Returns 1 if the rule was broken, 0 if it held, 2 if the case could not run.
    """
    record = Record(record_path)

    async def run() -> int:
        # Connections that are open at the end are cancelled, which is no news.
        asyncio.get_running_loop().set_exception_handler(lambda loop, context: None)
        return await case(record)

    def on_signal(number: int, frame: object) -> None:
        raise SystemExit(2)  # so that the gateways are ended, too

    for number in (signal.SIGTERM, signal.SIGALRM):
        signal.signal(number, on_signal)
    signal.alarm(LONGEST_S)
    try:
        status = asyncio.run(run())
    except Exception as error:  # the case itself failed
        record("case-failed", why=repr(error))
        print(f"the case could not run: {error!r}")
        status = 2
    record("exit", status=status)
    return status
