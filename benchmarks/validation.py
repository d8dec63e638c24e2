"""The model held against loopback: the same scripts, seeds and rules in both, in one run.

`python -m benchmarks.validation [SEEDS]`. Prints service and joins of both, and the order of the scripts.
Peers are simulated on both sides; on loopback the gateways are real processes on this machine.
"""

import json
import sys
import tempfile
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from typing import Any

import msgspec

from ledgehitch.config import Day
from ledgehitch.lab.carry import one_run

BASE: dict[str, Any] = {
    "length": 24.0,
    "arrivals": {
        "rate": 14.0,
        "mix": [
            {"package": "recorded", "share": 2.0, "watch": 9.0},
            {"package": "live", "share": 1.0, "watch": 12.0},
        ],
    },
    "shape": {"gateways": 3, "hosts": 9, "rack": 3, "link_kb": 24000.0},
}
SCRIPTS: dict[str, dict[str, Any]] = {
    "quiet": {},
    "overload": {
        "arrivals": {**BASE["arrivals"], "rate": 60.0},
        "shape": {**BASE["shape"], "link_kb": 8000.0},
    },
    "crash": {"faults": [{"kind": "crash", "at": 6.0, "len": 8.0, "part": 0.4}]},
    "vanish": {"faults": [{"kind": "vanish", "at": 6.0, "len": 8.0, "part": 0.3}]},
    "hang": {"faults": [{"kind": "hang", "at": 6.0, "len": 6.0, "part": 0.3}]},
    "uplink": {"faults": [{"kind": "uplink_shrink", "at": 6.0, "len": 10.0, "part": 0.67, "size": 4.0}]},
    "link": {"faults": [{"kind": "link_shrink", "at": 6.0, "len": 10.0, "part": 0.6, "size": 4.0}]},
    "lost": {
        "faults": [{"kind": "answers_lost", "at": 5.0, "len": 10.0, "part": 0.5, "size": 0.5, "extra": 0.0}]
    },
    "errors": {"faults": [{"kind": "fast_errors", "at": 5.0, "len": 10.0, "part": 0.5, "size": 0.8}]},
    "deploy": {
        "faults": [{"kind": "deploy", "at": 4.0, "len": 12.0, "part": 0.8, "size": 0.25, "extra": 1.5}]
    },
    "restarts": {
        "faults": [
            {"kind": "gateways_killed", "at": 6.0, "len": 6.0, "part": 1.0, "size": 0.34, "extra": 3.0}
        ]
    },
    "burst": {"faults": [{"kind": "burst", "at": 6.0, "len": 8.0, "size": 4.0}]},
}


def script(name: str) -> Day:
    return msgspec.convert({"name": name, **BASE, **SCRIPTS[name]}, Day)


def on_loopback(job: tuple[str, int]) -> dict[str, Any]:
    from ledgehitch.rehearsal.play import rehearse

    with tempfile.TemporaryDirectory() as directory:
        result = rehearse(script(job[0]), job[1], Path(directory) / "day")
    service = result.service
    return {
        "service": service["service"],
        "joins": service["joins_s"],
        "breaches": len(result.breaches),
        "blocked": service["answers"].get("blocked", 0),
        "answers": service["answers"],
    }


def in_model(job: tuple[str, int]) -> dict[str, Any]:
    told = one_run(script(job[0]), job[1])
    service = told["service"]
    return {
        "service": service["service"],
        "joins": service["joins_s"],
        "breaches": sum(told["rules"].values()),
        "blocked": service["answers"].get("blocked", 0),
        "answers": service["answers"],
    }


def _ratio(a: float, b: float) -> float:
    return round(a / b, 3) if b else 0.0


def main(seeds: int) -> dict[str, Any]:
    jobs = [(name, seed) for seed in range(1, seeds + 1) for name in SCRIPTS]
    with ThreadPoolExecutor(2) as pool:  # each waits for the processes of its day
        real = list(pool.map(lambda job: _apart(on_loopback, job), jobs))
    model = [in_model(job) for job in jobs]
    table: dict[str, Any] = {}
    for name in SCRIPTS:
        mine = [i for i, job in enumerate(jobs) if job[0] == name]

        def mean(side: list[dict[str, Any]], what: str, mine: list[int] = mine) -> float:
            return float(
                sum(
                    side[i]["service"] if what == "service" else side[i]["joins"].get(what, 0.0) for i in mine
                )
            ) / len(mine)

        table[name] = {
            "service": [round(mean(real, "service"), 3), round(mean(model, "service"), 3)],
            "off": round(mean(model, "service") - mean(real, "service"), 3),
            **{
                f"join_p{p}": [
                    round(mean(real, p), 3),
                    round(mean(model, p), 3),
                    _ratio(mean(model, p), mean(real, p)),
                ]
                for p in ("50", "95")
            },
            "answers": [real[mine[0]]["answers"], model[mine[0]]["answers"]],
            "breaches": [sum(real[i]["breaches"] for i in mine), sum(model[i]["breaches"] for i in mine)],
        }
    order = [sorted(table, key=lambda n: (-table[n]["service"][side], n)) for side in (0, 1)]
    return {"scripts": table, "order_on_loopback": order[0], "order_in_model": order[1]}


def _apart(call: Any, job: tuple[str, int]) -> Any:
    """In a process of its own: a loop belongs to one thread."""
    import subprocess

    code = (
        f"import json; from benchmarks.validation import {call.__name__} as f; print(json.dumps(f({job!r})))"
    )
    done = subprocess.run([sys.executable, "-c", code], capture_output=True, text=True, check=True)
    return json.loads(done.stdout.strip().splitlines()[-1])


if __name__ == "__main__":
    print(json.dumps(main(int(sys.argv[1]) if len(sys.argv) > 1 else 1), indent=1))
