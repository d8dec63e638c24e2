"""Checking a site in the language: time for a large one and ten times its text, memory, a long fuzz.

`python -m benchmarks.config [FUZZ_SECONDS]`; every measurement is a process of its own.
"""

import json
import random
import resource
import subprocess
import sys
import tempfile
import time
from pathlib import Path
from typing import Any

from ledgehitch.config.layout import format_text
from ledgehitch.config.load import load, load_text
from ledgehitch.config.syntax import Malformed

PIECES = ["{", "}", "[", "]", "#A", "a: ", "&", "|", "*", '"', "\\(", "1e9s", "%", "...", "?", "\0", "\u2028"]
HEAD = """\
name: "large"
ladder: [{ kb: 150kB/s, earns: 25% }, { kb: 1200kB/s, earns: 100% }]
packages: recorded: { join_target: 800ms, patience: 3s }
fleet: { link_unit: 6MB/s, slots: { std: 60 } }
racks: [rack=string]: uplink: 14MB/s
pools: all: { first: 0, spread: 3 }
gateways: g0: at: "127.0.0.1:8080"
list_at: "127.0.0.1:8081"
include "parts/*.lh"
"""


def write(root: Path, hosts: int, routes: int, files: int, padding: int = 0) -> Path:
    (root / "parts").mkdir(parents=True)
    lines = [f'racks: r{i % 10}: hosts: host-{i}: {{ at: "127.0.0.1:{i}", weight: 2 }}' for i in range(hosts)]
    lines += [f'routes: route-{i}: {{ titles: ["t{i}"], pool: "all" }}' for i in range(routes)]
    for i in range(files - 1):
        notes = "\n".join(["// " + "x" * 96] * (padding // 100 // files))
        (root / "parts" / f"p{i:03}.lh").write_text("\n".join(lines[i :: files - 1]) + "\n" + notes + "\n")
    (root / "site.lh").write_text(HEAD)
    return root / "site.lh"


def one(path: str) -> dict[str, Any]:
    load_text('name: "warm"')
    start = time.perf_counter()
    loaded = load(Path(path))
    took = time.perf_counter() - start
    size = sum(len(t.encode()) for t in loaded.texts.values())
    return {
        "seconds": round(took, 3),
        "files": len(loaded.texts),
        "kB": size // 1000,
        "mistakes": [m.describe() for m in loaded.mistakes][:2],
        "peak_MB": resource.getrusage(resource.RUSAGE_SELF).ru_maxrss // 1024,
    }


def fuzz(seconds: float, seed: int) -> dict[str, int]:
    """Mutated good texts: how many, and how many ended in anything but a mistake or a result."""
    chance, end = random.Random(seed), time.monotonic() + seconds
    good = HEAD.replace('include "parts/*.lh"\n', 'routes: a: { titles: ["x"], pool: "all" }\n')
    runs = finds = slow = 0
    while time.monotonic() < end:
        text = list(good)
        for _ in range(chance.randrange(1, 12)):
            at = chance.randrange(len(text))
            text[at : at + chance.randrange(4)] = chance.choice([*PIECES, chance.choice(good)])
        start = time.monotonic()
        try:
            broken = "".join(text)
            loaded = load_text(broken)
            if not loaded.mistakes:
                assert load_text(format_text(broken)).digest() == loaded.digest()
        except Malformed:
            pass
        except Exception as find:
            finds += 1
            print(f"find: {type(find).__name__}: {find}: {broken!r}", file=sys.stderr)
        runs += 1
        slow += time.monotonic() - start > 2.0
    return {"runs": runs, "finds": finds, "slower_than_2s": slow}


def main(fuzz_seconds: float) -> dict[str, Any]:
    found: dict[str, Any] = {}
    with tempfile.TemporaryDirectory() as place:
        for name, size in (
            ("140 hosts, 300 routes, 60 files", (140, 300, 60)),
            ("ten times the text", (1400, 3000, 60)),
            ("10 MB of text", (1400, 3000, 60, 10_000_000)),
        ):
            path = write(Path(place) / name.replace(" ", "-"), *size)
            done = subprocess.run(
                [sys.executable, "-m", "benchmarks.config", "one", str(path)], capture_output=True
            )
            found[name] = json.loads(done.stdout)
    found["fuzz"] = fuzz(fuzz_seconds, 1)
    return found


if __name__ == "__main__":
    if sys.argv[1:2] == ["one"]:
        print(json.dumps(one(sys.argv[2])))
    else:
        print(json.dumps(main(float(sys.argv[1]) if len(sys.argv) > 1 else 20.0), indent=1))
