"""What one gateway spends on client connections that just play, on a turn of its loop, and on a delivery.

`python -m benchmarks.data_path NAME [CONNECTIONS ...]` runs the platform's gateway (`python -m
ledgehitch.platform`, the program as it is, on one core or another) with simulated clients and media hosts in
this process, each client with a connection and a session of its own, once for each size, and keeps the result
as `docs/capacity/kept/NAME.json`. Times of deliveries include this process's own reading.
"""

import json
import os
import subprocess
import sys
import tempfile
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

from ledgehitch import hostline, rtsp
from ledgehitch.loop import Listener, Loop, Stream, connect, endpoint
from ledgehitch.rehearsal.play import free_ports
from ledgehitch.scale.facts import Point, kept_now, load_now, write_kept

ROOT = Path(__file__).parents[1]
KEPT = ROOT / "docs" / "capacity" / "kept"
BLOB = "9d41c07a5be2f318\r\nc=IN IP4 10.4.7.9\r\n\r\nm=audio\r\n"
HOSTS = 14
DEAF = hostline.encode("NOTICE", "f" * 16, {"note": "none", "value": 0}, None)  # a gateway passes over it
SETTINGS: dict[str, Any] = {
    "categories": [{"name": "clip", "onTime": 800.0, "deadline": 3000, "worth": 1.5, "effect": "repeatable"}],
    "familyInfo": {
        "places": HOSTS,
        "racks": 2,
        "linkUnitKb": 1e7,
        "uplinkKb": 1e9,
        "kindSlots": [10**6],
        "levelKb": [100, 200, 400],
        "rungWorth": [0.2, 0.5, 1],
        "fullFrom": 1,
        "toldLate": 900,
        "toldEvery": 3000,
        "floorByClass": [0],
        "classTop": [2],
        "classScale": [1.0],
        "seats": [0],
        "live": [False],
    },
    "kinds": ["k"],
    "locality": "a",
    "ordinal": 0,
    "peersTotal": 1,
    "discovery": "pushed",
    "ceilings": {
        "tryLimit": 3,
        "probes": True,
        "peerMessages": False,
        "retryAfter": False,
        "connectTimeout": 2000.0,
        "connIdle": 60000,
        "streamsPerConn": 512,
    },
    "rules": {
        "answerSlack": 40,
        "stopSendingWithin": 1000,
        "coldShare": 0.4,
        "warmUp": 0,
        "tipAfter": 2000,
        "fallMultiple": 3,
    },
    "telemetry": {"how": "piggyback", "fields": ["active", "x0"]},
}


def cpu_of(pid: int) -> float:
    """Seconds that a process of one thread was on a core, to the nanosecond: ticks are too coarse here."""
    return int(Path(f"/proc/{pid}/schedstat").read_text().split()[0]) / 1e9


def memory_of(pid: int) -> int:
    return int(Path(f"/proc/{pid}/statm").read_text().split()[1]) * os.sysconf("SC_PAGE_SIZE")


class Host:
    """A media host that answers at once."""

    def __init__(self, loop: Loop, name: str) -> None:
        self.loop, self.name = loop, name
        self.lines: list[Stream] = []
        self.plays: list[str] = []
        self.rates = self.tests = 0
        self.listener = Listener(loop, endpoint("127.0.0.1:0"))
        loop.spawn(self._serve, name=name)

    def _serve(self) -> None:
        while True:
            stream = self.listener.accept()
            self.lines.append(stream)
            self.loop.spawn(self._talk, stream)

    def _talk(self, stream: Stream) -> None:
        reader = hostline.Reader()
        try:
            while data := stream.receive():
                for verb, tag, *_ in reader.feed(data):
                    if verb == "START":
                        self.plays.append(tag)
                        stream.send(hostline.encode("STARTED", tag, {"load": "x0:0.1;active:1"}, None, BLOB))
                    elif verb == "ECHO":
                        self.tests += 1
                        stream.send(hostline.encode("ECHOED", tag, {"load": "x0:0.1;active:1"}, 1))
                    elif verb == "RATE":
                        self.rates += 1
        except OSError:
            pass
        self.lines.remove(stream)
        stream.close()

    def say(self, data: bytes) -> None:
        self.lines[-1].send(data)


class Bench:
    """One gateway with so many clients. `run` gives the points."""

    def __init__(self, loop: Loop, directory: Path, clients: int) -> None:
        self.loop, self.directory, self.clients = loop, directory, clients
        self.hosts = [Host(loop, f"s-{n}") for n in range(HOSTS)]
        self.listen = f"127.0.0.1:{free_ports(1)[0]}"
        journal = Listener(loop, endpoint("127.0.0.1:0"))
        loop.spawn(self._journal, journal)
        rows = [
            {
                "id": h.name,
                "host_port": str(h.listener.at),
                "locality": "a",
                "flavor": "k",
                "cell": n,
                "phase": "ready",
                "size": 2,
                "up_since_ms": 0,
            }
            for n, h in enumerate(self.hosts)
        ]
        entry = {"pos": 1, "hosts": {"revision": 1, "complete": True, "members": rows}}
        told = {
            "name": "n0",
            "listen": self.listen,
            "seed": "7",
            "limits": {"memory_mb": 4096, "sockets": 19500},
            "peers": [],
            "journal": str(journal.at),
            "known": {"pos": 1, "entries": [entry]},
            "settings": SETTINGS,
        }
        (directory / "config.json").write_text(json.dumps(told))
        self.answered = self.refused = 0
        self.over: list[float] = []  # when each release came
        self.points: list[Point] = []

    def _journal(self, listener: Listener) -> None:
        while True:
            stream = listener.accept()
            stream.receive()
            stream.send(b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n")
            self.loop.spawn(self._comments, stream)

    def _comments(self, stream: Stream) -> None:
        try:
            while True:
                stream.send(b":\n\n")
                self.loop.sleep(0.5)
        except OSError:
            stream.close()

    def _client(self, number: int) -> None:
        stream, reader = connect(self.loop, endpoint(self.listen)), rtsp.Reader()
        attrs = f"home:{number % HOSTS};copies:{HOSTS};top:2"
        fields = [("X-Tier", "clip"), ("X-Deadline", "3000"), ("X-Attrs", attrs)]
        at, sid = f"rtsp://media/t{number % 20}", f"{number:016x}"
        stream.send(rtsp.request("SETUP", at, "1", sid, fields, BLOB.encode()))
        while data := stream.receive():
            for method, status, *_ in reader.feed(data):
                if method == "TEARDOWN":
                    self.over.append(time.monotonic())
                elif status == "200":
                    self.answered += 1
                else:
                    self.refused += 1
        raise OSError("the gateway closed a connection that plays")

    def _until(self, true: Callable[[], bool], within: float) -> None:
        end = time.monotonic() + within
        while not true():
            if time.monotonic() > end or self.process.poll() is not None:
                raise SystemExit(
                    f"it never became true: {self.answered} answered, {self.refused} refused: "
                    f"{(self.directory / 'log').read_text()[-1000:]}"
                )
            self.loop.sleep(0.02)

    def _point(self, phase: str, seconds: float, **figures: float) -> None:
        point = Point(
            role="data-path",
            mechanism="platform-gateway",
            phase=phase,
            size=self.clients,
            size_unit="connections",
            figures=figures,
            load1=load_now(),
            seconds=round(seconds, 3),
        )
        self.points.append(point)
        print(json.dumps({"size": self.clients, "phase": phase, "load1": point.load1, **figures}), flush=True)

    def run(self) -> list[Point]:
        env = {**os.environ, "ROUTER_CONFIG": str(self.directory / "config.json")}
        with open(self.directory / "log", "wb") as log:
            command = [sys.executable, "-m", "ledgehitch.platform"]
            self.process = subprocess.Popen(command, env=env, stderr=log, cwd=ROOT)
        try:
            self._until(lambda: b"serves" in (self.directory / "log").read_bytes(), 20.0)
            self.loop.sleep(1.0)
            self._measure(self.process.pid)
        finally:
            self.process.kill()
            self.process.wait()
        return self.points

    def _measure(self, pid: int) -> None:
        bare, cpu, began = memory_of(pid), cpu_of(pid), time.monotonic()
        for number in range(1, self.clients + 1):
            self.loop.spawn(self._client, number)
            self._until(lambda n=number: n - self.answered < 40, 20.0)  # type: ignore[misc]
        self._until(lambda: self.answered == self.clients, 20.0)
        took = time.monotonic() - began
        self._point("set-ups", took, cpu_s_per_set_up=round((cpu_of(pid) - cpu) / self.clients, 7))
        self.loop.sleep(4.0)  # what came with the set-ups is over

        tests = sum(h.tests for h in self.hosts)
        idle = self._cpu_a_second(pid, 10.0)
        lines = [len(h.lines) for h in self.hosts if h.plays]
        told: dict[str, float] = {
            "connections": sum(lines) / len(lines),
            "messages_per_s": (sum(h.tests for h in self.hosts) - tests) / 10.0 / HOSTS,
        }
        self.points.append(
            Point(
                role="server",
                mechanism="connections",
                phase="idle",
                size=1,
                size_unit="gateways",
                figures=told,
                load1=load_now(),
                seconds=10.0,
            )
        )
        held = (memory_of(pid) - bare) / self.clients
        self._point(
            "idle",
            10.0,
            cpu_s_per_s=round(idle, 5),
            bytes_per_connection=round(held),
            memory_bytes=memory_of(pid) - bare,
        )

        self.hosts = [host for host in self.hosts if host.plays]
        times, gap = 1000, 0.005
        cpu, began = cpu_of(pid), time.monotonic()
        for number in range(times):
            self.hosts[number % len(self.hosts)].say(DEAF)
            self.loop.sleep(max(0.0, began + (number + 1) * gap - time.monotonic()))
        took = time.monotonic() - began
        self._point("turns", took, cpu_s_per_turn=round((cpu_of(pid) - cpu - idle * took) / times, 7))

        self._rungs(pid)
        self._ended(pid, idle)

    def _rungs(self, pid: int) -> None:
        """Links full and empty in turns, so that rungs fall and rise; each time beside as long without."""
        before, began, spent = sum(h.rates for h in self.hosts), time.monotonic(), 0.0
        for level in (1.3, 0.2, 1.3, 0.2):
            spent -= 3.0 * self._cpu_a_second(pid, 3.0)
            cpu = cpu_of(pid)
            for host in self.hosts:
                tag = host.plays[0]
                host.say(hostline.encode("NOTICE", tag, {"note": "wire", "value": level}, None))
            self.loop.sleep(3.0)
            spent += cpu_of(pid) - cpu
        rates = sum(h.rates for h in self.hosts) - before
        figures: dict[str, float] = {"deliveries": rates}
        if rates > self.clients // 2 and spent > 0.0:  # else it is less than what idle time varies by
            figures["cpu_s_per_delivery"] = round(spent / rates, 7)
        self._point("rungs", time.monotonic() - began, **figures)

    def _cpu_a_second(self, pid: int, seconds: float) -> float:
        cpu, began = cpu_of(pid), time.monotonic()
        self.loop.sleep(seconds)
        return (cpu_of(pid) - cpu) / (time.monotonic() - began)

    def _ended(self, pid: int, idle: float) -> None:
        """Ends: a fifth one by one at an even rate, then the rest at once. Each is one word to its client."""
        each = self.clients // 5
        playing = [
            (host, tag)
            for n in range(max(len(h.plays) for h in self.hosts))
            for host in self.hosts
            for tag in host.plays[n : n + 1]
        ]
        cpu, began, took = cpu_of(pid), time.monotonic(), list[float]()
        for number, (host, tag) in enumerate(playing[:each]):
            host.say(hostline.encode("FINISH", tag, {}, 16))
            self.loop.sleep(max(0.0, began + (number + 1) * 0.004 - time.monotonic()))
        self._until(lambda: len(self.over) == each, 20.0)
        seconds = time.monotonic() - began
        spent = cpu_of(pid) - cpu - idle * seconds
        self._point("ends-one-by-one", seconds, deliveries=each, cpu_s_per_delivery=round(spent / each, 7))

        self.over.clear()
        rest = playing[each:]
        cpu, began = cpu_of(pid), time.monotonic()
        for host in self.hosts:
            host.say(b"".join(hostline.encode("FINISH", tag, {}, 16) for h, tag in rest if h is host))
        self._until(lambda: len(self.over) == len(rest), 60.0)
        took = sorted(t - began for t in self.over)
        spent = cpu_of(pid) - cpu
        p50, p99 = took[len(took) // 2], took[int(len(took) * 0.99)]
        self._point(
            "ends-at-once",
            took[-1],
            deliveries=len(rest),
            p50_s=round(p50, 4),
            p99_s=round(p99, 4),
            cpu_s_per_delivery=round(spent / len(rest), 7),
        )


def main(name: str, sizes: list[int]) -> None:
    points: list[Point] = []
    for size in sizes:
        with tempfile.TemporaryDirectory() as directory:
            loop = Loop()
            points += loop.run(lambda d=directory, n=size, loop=loop: Bench(loop, Path(d), n).run())
    command = f"python -m benchmarks.data_path {name} {' '.join(map(str, sizes))}"
    write_kept(KEPT / f"{name}.json", kept_now(command, points))


if __name__ == "__main__":
    main(sys.argv[1], [int(word) for word in sys.argv[2:]] or [1000, 4000, 9000])
