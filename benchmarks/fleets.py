"""The model's speed and what large fleets do: cost per viewing, memory, the module's part.

`python -m benchmarks.fleets HOSTS GATEWAYS SECONDS [LOAD]` plays one fleet at full load; without words, a
series from 10 to 1,000 media hosts. Everything is simulated, on one core.
"""

import json
import resource
import subprocess
import sys
import time
from typing import Any

import msgspec

from ledgehitch.config import Day
from ledgehitch.lab.facts import PORTS
from ledgehitch.model.day import played
from ledgehitch.standins.plan import site_of, steps_of

SLOTS, WATCH = 60, 20.0
SERIES = ((10, 20), (35, 70), (140, 290), (400, 800), (1000, 2000))


def day_of(hosts: int, gateways: int, seconds: float, load: float, **more: Any) -> Day:
    """A fleet of which viewers ask `load` times what fits: 60 kB/s of a link is one viewing at a rung of 300
    kB/s in five, so links carry about 40 viewings."""
    per_host = 24_000.0
    fits = per_host * hosts * 0.8 / 600.0
    shape = {
        "hosts": hosts,
        "gateways": gateways,
        "titles": max(20, hosts),
        "rack": 7,
        "slots": SLOTS,
        "link_kb": per_host,
    }
    return msgspec.convert(
        {
            "name": f"fleet-{hosts}-{gateways}",
            "length": seconds,
            "arrivals": {"rate": load * fits / WATCH, "mix": [{"package": "recorded", "watch": WATCH}]},
            "shape": {**shape, **more},
        },
        Day,
    )


def one(hosts: int, gateways: int, seconds: float, load: float = 1.0) -> dict[str, Any]:
    day = day_of(hosts, gateways, seconds, load)
    began = time.perf_counter()
    site = site_of(day, 1, PORTS)
    result = played(day, site, steps_of(day, site, 1), 1, taped=False, timed=True)
    took = time.perf_counter() - began
    service = result.service
    watched = max(1.0, service.watched_seconds)
    most_mb = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / 1024
    return {
        "hosts": hosts,
        "gateways": gateways,
        "seconds": seconds,
        "load": load,
        "took_s": round(took, 1),
        "module_s": round(result.module_s, 1),
        "visits": service.visits,
        "joined": service.joined,
        "viewing_seconds": round(watched),
        "us_per_viewing_second": round(1e6 * took / watched, 1),
        "module_us_per_viewing_second": round(1e6 * result.module_s / watched, 1),
        "calls": result.calls,
        "most_mb": round(most_mb),
        "service": service.summary()["service"],
        "blocked": service.answers.get("blocked", 0),
        "joins_s": service.summary()["joins_s"],
    }


def plot(rows: list[dict[str, Any]], path: str) -> None:
    """Cost of a second of a viewing by size of the fleet, the module's part apart."""
    import matplotlib

    matplotlib.use("Agg")
    import matplotlib.pyplot as plt

    figure, ax = plt.subplots(figsize=(7, 4))
    hosts = [r["hosts"] for r in rows]
    ax.plot(hosts, [r["us_per_viewing_second"] for r in rows], marker="o", label="all")
    ax.plot(hosts, [r["module_us_per_viewing_second"] for r in rows], marker="o", label="the module")
    ax.set_xscale("log")
    ax.set_xlabel("media hosts (gateways: twice as many)")
    ax.set_ylabel("us for a second of a viewing")
    ax.set_ylim(bottom=0)
    ax.legend()
    figure.savefig(path, dpi=80, bbox_inches="tight", metadata={"Software": None})


def main() -> list[dict[str, Any]]:
    """Each size in a process of its own, for its memory."""
    found = []
    for hosts, gateways in SERIES:
        words = [sys.executable, "-m", "benchmarks.fleets", str(hosts), str(gateways), "60"]
        found.append(json.loads(subprocess.run(words, capture_output=True, text=True, check=True).stdout))
    return found


if __name__ == "__main__":
    words = sys.argv[1:]
    load = float(words[3]) if len(words) > 3 else 1.0
    print(json.dumps(one(int(words[0]), int(words[1]), float(words[2]), load) if words else main(), indent=1))
