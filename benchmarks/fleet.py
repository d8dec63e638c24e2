"""Twenty daemons under load, restarted: in steps, with the tool killed, in batches, all at once.

`python -m benchmarks.fleet [in-steps | killed | batches | at-once]...` (all without words). Media hosts and
viewers are simulated, on loopback; rules are judged from the tape.
"""

import json
import random
import subprocess
import sys
import tempfile
import time
from pathlib import Path
from typing import Any

import msgspec

from ledgehitch.config import Day
from ledgehitch.loop import Loop
from ledgehitch.proof.check import check_tapes, rule_parameters
from ledgehitch.rehearsal.play import Stage

GATEWAYS, RATE = 20, 25.0
WAYS: dict[str, tuple[str, ...]] = {
    "in-steps": ("--at-once", "2", "--drain-within", "4", "--settle", "0.5"),
    "killed": ("--at-once", "2", "--drain-within", "4", "--settle", "0.5"),
    "batches": ("--at-once", "5", "--drain-within", "0", "--settle", "0", "--halls-together"),
    "at-once": ("--at-once", "20", "--drain-within", "0", "--settle", "0", "--halls-together"),
}
KILLS = 50


class Daemons(Stage):
    """A day's processes with daemons for gateways."""

    def start_gateway(self, name: str) -> None:
        self.lives[name] = self.lives.get(name, 0) + 1
        d = self.directory
        self._start(name, "daemon", "--site", f"{d}/site.json", "--gateway", name, "--state", f"{d}/state")
        self.tape.write("gateway", gateway=name, how="up")


def day(length: float) -> Day:
    raw = {
        "name": "fleet",
        "length": length,
        "settle": 8.0,
        "arrivals": {"rate": RATE, "mix": [{"package": "recorded", "watch": 5.0}], "swing": 0.0},
        "shape": {"gateways": GATEWAYS, "hosts": 24, "rack": 4, "zones": 3, "link_kb": 12000.0},
    }
    return msgspec.json.decode(msgspec.json.encode(raw), type=Day)


def tool(directory: Path, *words: str) -> list[str]:
    return [
        sys.executable,
        "-m",
        "ledgehitch",
        "fleet",
        "--site",
        f"{directory}/site.json",
        "--admin-dir",
        f"{directory}/state",
        "--plans",
        f"{directory}/plans",
        *words,
    ]


def restarted(way: str, length: float = 130.0) -> dict[str, Any]:
    """One way of restarting all under load; what viewers got meanwhile and whether rules were kept."""
    directory, loop = Path(tempfile.mkdtemp(prefix="ledgehitch-fleet-")), Loop()
    told: dict[str, Any] = {"way": way, "kills": 0}

    def main() -> Any:
        stage = Daemons(loop, day(length), 1, directory)
        try:
            stage.start_world()
            starts = [loop.spawn(stage.start_gateway, g.name) for g in stage.site.gateways]
            for task in starts:
                task.wait()
            loop.sleep(stage.day.settle)
            d = directory
            stage._start(
                "viewers",
                "standin",
                "viewers",
                "--site",
                f"{d}/site.json",
                "--day",
                f"{d}/day.json",
                "--seed",
                "1",
                "--tape",
                f"{stage.tapes}/viewers.tape",
                "--out",
                f"{d}/service.json",
            )
            loop.sleep(10.0)
            before = states(directory)
            began = time.monotonic()
            chance = random.Random(1)
            words = tool(directory, "restart", *WAYS[way])
            while True:
                with open(directory / "tool.log", "ab") as out:
                    child = subprocess.Popen(words, stdout=out, stderr=out)
                until = time.monotonic() + chance.uniform(0.6, 2.4)
                while child.poll() is None:
                    loop.sleep(0.05)
                    if way == "killed" and told["kills"] < KILLS and time.monotonic() >= until:
                        child.kill()
                        child.wait()
                        told["kills"] += 1
                if child.returncode >= 0:
                    break
                words = tool(directory, "resume")
            told["tool"] = child.returncode
            told["took_s"] = round(time.monotonic() - began, 1)
            after = states(directory)
            told["restarted_once"] = sum(
                a["boot"] != before[n]["boot"] and a["started_by"].endswith(f"/{n}") for n, a in after.items()
            )
            told["phases"] = sorted({a["phase"] for a in after.values()})
            with loop.deadline(length + 60.0):
                stage.children["viewers"].wait()
        finally:
            told["exits"] = sorted(set(stage.end().values()))
        return stage.site

    site = loop.run(main)
    service = json.loads((directory / "service.json").read_text())
    breaches, tape = check_tapes(directory / "tape", rule_parameters(site))
    lines = (directory / "tool.log").read_text().splitlines()
    told["done_lines"] = sum(line.startswith("done") for line in lines)
    told["service"], told["joins_s"] = service["service"], service["joins_s"]
    told["answers"], told["asks"] = service["answers"], tape.get("ask")
    told["breaches"] = [b.describe() for b in breaches[:5]]
    told["broken_rules"] = len(breaches)
    told["worst_10s"] = service["worst_10s"]
    return told


def states(directory: Path) -> dict[str, Any]:
    answer = subprocess.run(
        tool(directory, "--within", "5", "status", "--json"), capture_output=True, check=False
    )
    return {f["name"]: f["state"] for f in json.loads(answer.stdout)}


if __name__ == "__main__":
    for one in sys.argv[1:] or WAYS:
        print(json.dumps(restarted(one)), flush=True)
