"""One gateway on one core against light peers: set-ups a second, what it adds, what it holds, and overload.

All in one run, beside the floors: a bare echo of the same bytes, and parsing alone.
"""

import json
import os
import subprocess
import sys
import tempfile
import time
import urllib.request
from pathlib import Path
from typing import Any

import msgspec

from benchmarks import parsing
from ledgehitch.config import Day
from ledgehitch.rehearsal.play import free_ports, write_key
from ledgehitch.standins.plan import site_of

TICKS = os.sysconf("SC_CLK_TCK")


class Process:
    def __init__(self, *words: str, core: int | None = None) -> None:
        pin = (lambda: os.sched_setaffinity(0, {core})) if core is not None else None
        self.child = subprocess.Popen([sys.executable, *words], stdout=subprocess.PIPE, preexec_fn=pin)
        assert self.child.stdout is not None
        self.child.stdout.readline()

    def cpu(self) -> float:
        """Seconds of CPU it has used."""
        fields = Path(f"/proc/{self.child.pid}/stat").read_text().rsplit(") ", 1)[1].split()
        return (int(fields[11]) + int(fields[12])) / TICKS

    def rss_kb(self) -> int:
        return int(Path(f"/proc/{self.child.pid}/statm").read_text().split()[1]) * 4

    def descriptors(self) -> int:
        return len(os.listdir(f"/proc/{self.child.pid}/fd"))

    def end(self) -> None:
        self.child.terminate()
        self.child.wait()


def loaded(at: str, rate: float, seconds: float, senders: int = 1, name: str = "b") -> list[dict[str, Any]]:
    children = [
        subprocess.Popen(
            [
                sys.executable,
                "-m",
                "benchmarks.peers",
                "load",
                at,
                str(rate / senders),
                str(seconds),
                f"{name}{i}",
                "20",
            ],
            stdout=subprocess.PIPE,
        )
        for i in range(senders)
    ]
    return [json.loads(child.communicate()[0]) for child in children]


def site_file(
    directory: Path, hosts: int, slots: int = 100000, link_kb: float = 1e9, reports: bool = False
) -> tuple[Path, str]:
    day = msgspec.convert(
        {
            "name": "bench",
            "length": 60.0,
            "arrivals": {"rate": 1.0, "mix": [{"package": "recorded"}]},
            "reporting": {"beside": reports},
            "shape": {
                "gateways": 1,
                "hosts": hosts,
                "titles": 20,
                "rack": 7,
                "slots": slots,
                "link_kb": link_kb,
            },
        },
        Day,
    )
    site = site_of(day, 1, free_ports(5), str(write_key(directory / "key")))
    path = directory / f"site-{hosts}.json"
    path.write_bytes(msgspec.json.encode(site))
    return path, site.gateways[0].at


def gateway(directory: Path, hosts: int, **more: Any) -> tuple[Process, Process, str]:
    path, at = site_file(directory, hosts, **more)
    peers = Process("-m", "benchmarks.peers", "hosts", str(path), core=1)
    front = Process("-m", "ledgehitch", "--log-level", "error", "serve", "--site", str(path), core=0)
    time.sleep(2.5)
    return peers, front, at


def state(at: str) -> Any:
    with urllib.request.urlopen(f"http://{at}/state") as answer:
        return json.load(answer)


def listed_host(directory: Path) -> str:
    """Where a media host of the running peers listens, as their list says."""
    site = json.loads((directory / "site-14.json").read_text())
    with urllib.request.urlopen(f"http://{site['list_at']}/hosts?gateway=bench") as answer:
        while not (line := answer.readline()).startswith(b"data:"):
            pass
    return str(json.loads(line[5:])["rows"][0]["at"])


def rates(directory: Path, seconds: float) -> dict[str, Any]:
    found: dict[str, Any] = {}
    echo_at = f"127.0.0.1:{free_ports(1)[0]}"
    echo = Process("-m", "benchmarks.echo", echo_at, core=0)
    for rate in (200, 1000, 2000):
        found[f"echo_{rate}"] = loaded(echo_at, rate, seconds, 2 if rate > 500 else 1)
    echo.end()
    peers, front, at = gateway(directory, 14)
    for rate in (200, 1000, 2000):
        # Straight to a media host: what the same load sees without a gateway between.
        host = listed_host(directory)
        found[f"direct_{rate}"] = loaded(host, rate, seconds, 2 if rate > 500 else 1, f"d{rate}-")
        before, start = front.cpu(), time.monotonic()
        found[f"gateway_{rate}"] = loaded(at, rate, seconds, 2 if rate > 500 else 1, f"r{rate}-")
        found[f"gateway_{rate}_cpu"] = round((front.cpu() - before) / (time.monotonic() - start), 2)
    found["state"] = state(at)["counts"]
    front.end()
    peers.end()
    return found


def held(directory: Path, n: int) -> dict[str, Any]:
    peers, front, at = gateway(directory, 14)
    before = front.rss_kb()
    came = loaded(at, 1000, n / 1000, 2, "h")
    time.sleep(7.0)  # answers are let go
    after, fds = front.rss_kb(), front.descriptors()
    cpu, start = front.cpu(), time.monotonic()
    time.sleep(5.0)
    idle = (front.cpu() - cpu) / (time.monotonic() - start)
    holds = state(at)["viewings"]
    front.end()
    peers.end()
    return {
        "held": holds,
        "kb_each": round((after - before) / max(1, holds), 2),
        "descriptors": fds,
        "idle_cpu": round(idle, 4),
        "answers": [c["answers"] for c in came],
    }


def main(seconds: float = 4.0) -> dict[str, Any]:
    with tempfile.TemporaryDirectory() as place:
        directory = Path(place)
        return {"parsing": parsing.main(), **rates(directory, seconds), "held": held(directory, 20000)}


if __name__ == "__main__":
    print(json.dumps(main(float(sys.argv[1]) if len(sys.argv) > 1 else 4.0), indent=1))
