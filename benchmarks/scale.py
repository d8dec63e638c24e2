"""Questions that only the model can answer: many gateways, a thousand hosts, what retries do after restarts.

`python -m benchmarks.scale [gateways|losses|restarts ...]`. All simulated; answers in docs/findings.
"""

import json
import sys
from concurrent.futures import ProcessPoolExecutor
from typing import Any

import msgspec

from benchmarks.fleets import day_of
from ledgehitch.lab.facts import PORTS
from ledgehitch.model.day import played
from ledgehitch.standins.plan import site_of, steps_of

CORES = 4
DEPLOY = {"kind": "deploy", "at": 15.0, "len": 10.0, "part": 0.25, "size": 0.25, "extra": 2.0}
LOSSES: dict[str, list[dict[str, Any]]] = {
    "none": [],
    "restarts": [
        {"kind": "gateways_killed", "at": 10.0, "len": 8.0, "part": 1.0, "size": 0.26, "extra": 2.0}
    ],
    "deploy": [{"kind": "deploy", "at": 10.0, "len": 15.0, "part": 0.5, "size": 0.1, "extra": 2.0}],
    "uplinks": [{"kind": "uplink_shrink", "at": 10.0, "len": 15.0, "part": 0.2, "size": 4.0}],
    "links": [{"kind": "link_shrink", "at": 10.0, "len": 15.0, "part": 0.3, "size": 4.0}],
    "hang": [{"kind": "hang", "at": 10.0, "len": 15.0, "part": 0.1}],
    "burst": [{"kind": "burst", "at": 10.0, "len": 15.0, "size": 3.0}],
    "crowd": [{"kind": "crowd", "at": 10.0, "len": 15.0, "size": 0.4}],
}


def run(job: dict[str, Any]) -> dict[str, Any]:
    day = day_of(job["hosts"], job["gateways"], job["seconds"], job["load"], **job.get("shape", {}))
    data = msgspec.to_builtins(msgspec.structs.replace(day, site={}))
    data["faults"] = job.get("faults", [])
    data["arrivals"] |= job.get("arrivals", {})
    day = msgspec.json.decode(msgspec.json.encode(data), type=type(day))
    seed = job.get("seed", 1)
    site = site_of(day, seed, PORTS)
    result = played(day, site, steps_of(day, site, seed), seed, taped=job.get("cold", False))
    service = result.service
    told = service.summary()
    windows = {}
    for start in range(0, int(day.length), 5):
        cells = [service.by_second.get(s, [0.0, 0.0]) for s in range(start, start + 5)]
        asked = sum(c[0] for c in cells)
        windows[start] = round(sum(c[1] for c in cells) / asked, 3) if asked else None
    out = {k: v for k, v in job.items() if k not in ("faults", "shape", "arrivals")}
    out |= {
        "service": told["service"],
        "windows": windows,
        "answers": told["answers"],
        "joins_s": told["joins_s"],
        "lost": told["lost_by_cause"],
    }
    if job.get("cold"):
        out["cold"] = _cold(result.tape, day)
    return out


def _cold(tape: list[Any], day: Any) -> dict[str, float]:
    """Set-ups that hosts which started during the day got while they warmed up, for each of their places."""
    warm_up = 6.0
    started = {line["host"]: line["t"] for line in tape if line["ev"] == "started"}
    got = dict.fromkeys(started, 0)
    for line in tape:
        if line["ev"] == "setup" and line["host"] in started:
            got[line["host"]] += 0 <= line["t"] - started[line["host"]] < warm_up
    slots = day.shape.slots
    return {"hosts": len(got), "set_ups_a_place": round(sum(got.values()) / max(1, len(got)) / slots, 4)}


def jobs(which: str) -> list[dict[str, Any]]:
    if which == "gateways":
        return [
            {
                "what": which,
                "hosts": 140,
                "gateways": n,
                "seconds": 45.0,
                "load": load,
                "faults": [DEPLOY],
                "cold": True,
            }
            for load in (0.7, 1.2)
            for n in (1000, 2000, 290, 50, 10, 2)
        ]
    if which == "losses":
        return [
            {
                "what": which,
                "fault": name,
                "hosts": 1000,
                "gateways": 200,
                "seconds": 40.0,
                "load": 0.8,
                "faults": faults,
            }
            for name, faults in LOSSES.items()
        ]
    wave = [{"kind": "gateways_killed", "at": 15.0, "len": 4.0, "part": 1.0, "size": 0.5, "extra": 3.0}]
    return [
        {
            "what": which,
            "hosts": 140,
            "gateways": 290,
            "seconds": 75.0,
            "load": load,
            "faults": wave,
            "returns": returns,
            "arrivals": {"returns": 1.0 if returns else 0.0, "returns_at_most": 50},
        }
        for load in (0.6, 0.8, 1.0, 1.3)
        for returns in (True, False)
    ]


def main(which: list[str]) -> list[dict[str, Any]]:
    with ProcessPoolExecutor(CORES) as pool:
        return list(pool.map(run, [job for name in which for job in jobs(name)]))


if __name__ == "__main__":
    print(json.dumps(main(sys.argv[1:] or ["gateways", "losses", "restarts"]), indent=1))
