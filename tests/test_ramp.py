"""The warm-up of a media host that has just started, under twenty and thirty platform gateways at once.

The set-ups that reach its socket must stay within the ramp for the whole fleet of gateways, also after all of
them were killed and restarted.
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

WINDOW_S, WARM_UP_S, PLACES = 2.0, 12.0, 150
# Set-ups in a window right after the start, by the settings.
ALLOWED = 3 * 0.4 * PLACES * WINDOW_S / WARM_UP_S
READY_WITHIN_S = 10.0  # for nine in ten of the gateways that were started
BUSY_INTERVAL_S, QUIET_INTERVAL_S = 0.03, 0.4  # between set-ups at a gateway


class CountingHost(FakeMediaHost):
    """A media host that records when each set-up arrived."""

    def __init__(self, harness: Harness, name: str) -> None:
        super().__init__(harness, name)
        self.arrivals: list[float] = []
        self.answer = self._record

    def _record(self, tag: str) -> bytes:
        self.arrivals.append(time.monotonic())
        return hostline.encode("STARTED", tag, {}, None, BLOB)

    def count_recent(self, seconds: float) -> int:
        return sum(arrival > time.monotonic() - seconds for arrival in self.arrivals)

    def max_in_window(self) -> int:
        """Returns the largest number of set-ups within any window."""
        return max(
            sum(start <= arrival < start + WINDOW_S for arrival in self.arrivals) for start in self.arrivals
        )


class GatewayFleet:
    """Gateway processes with one media host and one journal service."""

    def __init__(self, loop: Loop, folder: Path, n: int) -> None:
        self.loop, self.folder, self.n = loop, folder, n
        self.harness = Harness(loop, 0, folder, {"peerMessages": False}, start=False)
        self.host = CountingHost(self.harness, "s-0")
        self.harness.hosts = [self.host]
        self.host_started_at = 0.0  # Unix time, 0 for long ago
        self.ports = free_ports(n)
        self.processes: list[subprocess.Popen[bytes]] = []
        self.answers: dict[str, int] = {}
        self.stopped = False

    def entry(self, pos: int, complete: bool) -> dict[str, Any]:
        """Returns a journal event with the media host."""
        (member,) = self.harness.members((self.host, "ready"))
        member.update(size=4000, up_since_ms=int(self.host_started_at * 1000))
        return {"pos": pos, "hosts": {"revision": pos, "complete": complete, "members": [member]}}

    def start(self) -> list[float]:
        """Starts all gateways; returns the seconds until each passed its health check."""
        began = time.monotonic()
        family_info = {**SETTINGS["familyInfo"], "kindSlots": [PLACES], "uplinkKb": 1e9}
        for i, port in enumerate(self.ports):
            settings = {**SETTINGS, "familyInfo": family_info, "ordinal": i, "peersTotal": self.n}
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
        return [self._wait_ready(port) - began for port in self.ports]

    def _wait_ready(self, port: int) -> float:
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

    def send_setups(self, i: int, interval: float) -> None:
        """Sends set-ups to one gateway until it is killed; those pending then need no response."""
        self.harness.listen = f"127.0.0.1:{self.ports[i]}"
        try:
            viewer = ViewerClient(self.harness)
            n = int(time.monotonic() * 1000) % (1 << 30) << 12 | i << 4
            while not self.stopped:
                n += 1 << 12
                viewer.set_up(n)
                status, session_id, _ = viewer.answer()
                self.answers[session_id] = self.answers.get(session_id, 0) + 1
                assert status in ("200", "453")
                self.loop.sleep(interval)
        except (OSError, EOFError, TimedOut):
            return


@contextmanager
def fleet_of(loop: Loop, n: int) -> Iterator[GatewayFleet]:
    with tempfile.TemporaryDirectory() as folder:
        fleet = GatewayFleet(loop, Path(folder), n)
        try:
            yield fleet
        finally:
            fleet.stopped = True
            fleet.kill()


@pytest.mark.parametrize("n, even", [(20, True), (20, False), (30, True)])
def test_a_new_host_gets_no_more_than_the_ramp_allows_also_after_all_gateways_were_killed(
    n: int, even: bool
) -> None:
    def play(loop: Loop) -> None:
        with fleet_of(loop, n) as fleet:
            ready = sorted(fleet.start())
            assert ready[n * 9 // 10] < READY_WITHIN_S
            fleet.host_started_at = time.time()
            host_event = b"data: " + json.dumps(fleet.entry(2, False)).encode() + b"\n\n"
            fleet.harness.until(lambda: len(fleet.harness.feeds) == n)
            for feed in fleet.harness.feeds:
                feed.send(host_event)
            loop.sleep(0.2)

            def send_to_all() -> None:
                for i in range(n):
                    loop.spawn(
                        fleet.send_setups, i, BUSY_INTERVAL_S if even or i < n // 4 else QUIET_INTERVAL_S
                    )

            send_to_all()
            loop.sleep(2 * WINDOW_S + 0.5)
            before_kill = len(fleet.host.arrivals)
            assert before_kill >= ALLOWED / 4 * (4 if even else 1), "the ramp is not used up"
            max_before_kill = fleet.host.max_in_window()
            # All are killed right after they used up the ramp, and are restarted within the window.
            burst = ALLOWED / 2 if even else 4
            fleet.harness.until(lambda: fleet.host.count_recent(0.3) >= burst)
            fleet.kill()
            ready = sorted(fleet.start())
            assert ready[n * 9 // 10] < READY_WITHIN_S
            send_to_all()
            loop.sleep(WINDOW_S + 1.5)
            assert len(fleet.host.arrivals) > before_kill, "no set-up arrived after the restart"
            # All gateways together stay within the ramp, but for a margin for random variation.
            assert (
                max_before_kill <= ALLOWED
                and fleet.host.max_in_window() <= ALLOWED + 2 * math.sqrt(ALLOWED) + 2
            )
            assert set(fleet.answers.values()) == {1}

    on_loop(play)()
