"""A media host that has just started, under twenty and thirty gateways on the platform at once, judged by
what came to its socket: the ramp has to hold for the fleet, also where all of it was killed and came back.
"""

import json
import math
import os
import subprocess
import sys
import tempfile
import time
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path
from typing import Any

import pytest

from ledgehitch import hostline
from ledgehitch.loop import Loop, TimedOut, connect, endpoint
from ledgehitch.rehearsal.play import free_ports
from tests.test_platform import SETTINGS
from tests.test_platform_sockets import BLOB, FakeMediaHost, Harness, ViewerClient, on_loop

WINDOW, WARM_UP, PLACES = 2.0, 12.0, 150
ALLOWED = 3 * 0.4 * PLACES * WINDOW / WARM_UP  # N: what the settings allow in a window right after the start
READY = 10.0  # seconds within which nine in ten that were restarted are ready
BUSY, QUIET = 0.03, 0.4  # seconds between set-ups at a gateway


class Counting(FakeMediaHost):
    """Keeps when each set-up came."""

    def __init__(self, harness: Harness, name: str) -> None:
        super().__init__(harness, name)
        self.came: list[float] = []
        self.answer = self._note

    def _note(self, tag: str) -> bytes:
        self.came.append(time.monotonic())
        return hostline.encode("STARTED", tag, {}, None, BLOB)

    def lately(self, seconds: float) -> int:
        return sum(at > time.monotonic() - seconds for at in self.came)

    def most(self) -> int:
        """The most that came within any window."""
        return max(sum(at <= x < at + WINDOW for x in self.came) for at in self.came)


class Fleet:
    def __init__(self, loop: Loop, folder: Path, n: int) -> None:
        self.loop, self.folder, self.n = loop, folder, n
        self.harness = Harness(loop, 0, folder, {"peerMessages": False}, start=False)
        self.host = Counting(self.harness, "s-0")
        self.harness.hosts = [self.host]
        self.began = 0.0  # Unix time at which the host started; 0: long ago
        self.ports = free_ports(n)
        self.processes: list[subprocess.Popen[bytes]] = []
        self.answers: dict[str, int] = {}
        self.over = False

    def entry(self, pos: int, complete: bool) -> dict[str, Any]:
        (member,) = self.harness.members((self.host, "ready"))
        member.update(size=4000, up_since_ms=int(self.began * 1000))
        return {"pos": pos, "hosts": {"revision": pos, "complete": complete, "members": [member]}}

    def start(self) -> list[float]:
        """Starts all; gives the seconds until each passed its test."""
        began = time.monotonic()
        fam = {**SETTINGS["familyInfo"], "kindSlots": [PLACES], "uplinkKb": 1e9}
        for i, port in enumerate(self.ports):
            settings = {**SETTINGS, "familyInfo": fam, "ordinal": i, "peersTotal": self.n}
            config = {
                "name": f"n{i}",
                "listen": f"127.0.0.1:{port}",
                "seed": str(i),
                "settings": settings,
                "limits": {"memory_mb": 32, "sockets": 256},
                "journal": str(self.harness.journal.at),
                "known": {"pos": 1, "entries": [self.entry(1, True)]},
            }
            path = self.folder / f"{i}.json"
            path.write_text(json.dumps(config))
            env = {**os.environ, "ROUTER_CONFIG": str(path)}
            command = [sys.executable, "-m", "ledgehitch.platform"]
            self.processes.append(
                subprocess.Popen(command, env=env, stderr=subprocess.DEVNULL, cwd=Path(__file__).parents[1])
            )
        return [self._ready(port) - began for port in self.ports]

    def _ready(self, port: int) -> float:
        while True:
            try:
                stream = connect(self.loop, endpoint(f"127.0.0.1:{port}"))
                stream.send(
                    b"OPTIONS rtsp://media/ping RTSP/1.0\r\nCSeq: 3\r\nSession: "
                    + b"0" * 16
                    + b"\r\nContent-Length: 0\r\n\r\n"
                )
                if b" 200 " in stream.receive():
                    stream.close()
                    return time.monotonic()
                stream.close()
            except OSError:
                pass
            self.loop.sleep(0.02)

    def kill(self) -> None:
        for process in self.processes:
            process.kill()
            process.wait()
        self.processes = []

    def ask(self, i: int, every: float) -> None:
        """Set-ups at one gateway until it is killed; what it had taken then is its duty no more."""
        self.harness.listen = f"127.0.0.1:{self.ports[i]}"
        try:
            viewer = ViewerClient(self.harness)
            n = int(time.monotonic() * 1000) % (1 << 30) << 12 | i << 4
            while not self.over:
                n += 1 << 12
                viewer.set_up(n)
                status, session_id, _ = viewer.answer()
                self.answers[session_id] = self.answers.get(session_id, 0) + 1
                assert status in ("200", "453")
                self.loop.sleep(every)
        except (OSError, EOFError, TimedOut):
            return


@contextmanager
def fleet_of(loop: Loop, n: int) -> Iterator[Fleet]:
    with tempfile.TemporaryDirectory() as folder:
        fleet = Fleet(loop, Path(folder), n)
        try:
            yield fleet
        finally:
            fleet.over = True
            fleet.kill()


@pytest.mark.parametrize("n, even", [(20, True), (20, False), (30, True)])
def test_a_cold_host_holds_under_all_gateways_also_when_all_were_killed(n: int, even: bool) -> None:
    def play(loop: Loop) -> None:
        with fleet_of(loop, n) as fleet:
            ready = sorted(fleet.start())
            assert ready[n * 9 // 10] < READY
            fleet.began = time.time()
            told = b"data: " + json.dumps(fleet.entry(2, False)).encode() + b"\n\n"
            fleet.harness.until(lambda: len(fleet.harness.feeds) == n)
            for feed in fleet.harness.feeds:
                feed.send(told)
            loop.sleep(0.2)

            def all_ask() -> None:
                for i in range(n):
                    loop.spawn(fleet.ask, i, BUSY if even or i < n // 4 else QUIET)

            all_ask()
            loop.sleep(2 * WINDOW + 0.5)
            came = len(fleet.host.came)
            assert came >= ALLOWED / 4 * (4 if even else 1), "what is allowed is used"
            first = fleet.host.most()
            # All are killed right after they sent what they may, and come back within the window.
            burst = ALLOWED / 2 if even else 4
            fleet.harness.until(lambda: fleet.host.lately(0.3) >= burst)
            fleet.kill()
            ready = sorted(fleet.start())
            assert ready[n * 9 // 10] < READY
            all_ask()
            loop.sleep(WINDOW + 1.5)
            assert len(fleet.host.came) > came, "and is used again"
            # What each gateway sends holds for all together, with no more than what is put down to chance.
            assert first <= ALLOWED and fleet.host.most() <= ALLOWED + 2 * math.sqrt(ALLOWED) + 2
            assert set(fleet.answers.values()) == {1}

    on_loop(play)()
