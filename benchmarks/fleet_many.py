"""Many gateways: status over 300 stand-ins of which some stall, and ways of restarting 290 in the model.

`python -m benchmarks.fleet_many [status | restarts]`. Everything is simulated; restarts are in virtual time,
where gateways are killed without a drain, so that steps look worse here than they are.
"""

import json
import subprocess
import sys
import tempfile
import time
from typing import Any

import msgspec

from ledgehitch.config import Day
from ledgehitch.daemon.facts import VERSION, Counts, State
from ledgehitch.fleet.carry import Caller
from ledgehitch.fleet.found import Target, count_by_kind
from ledgehitch.http import Request, Response, Server
from ledgehitch.lab.facts import PORTS
from ledgehitch.loop import Loop, endpoint
from ledgehitch.model.day import played
from ledgehitch.standins.plan import site_of, steps_of

STANDINS, STALLED = 300, 15


def stand(directory: str, number_of: int = STANDINS, stalled: int = STALLED) -> None:
    """Admin calls in one process, some of which take a call and never answer: every twentieth, as it is."""
    loop = Loop()

    def serve(number: int) -> None:
        name = f"g{number}"
        told = State(name, "b", "0", VERSION, 1, "ready", "", 1.0, 1.0, "", 0, Counts(), {}, {})
        body = msgspec.json.encode(told)

        def handle(request: Request) -> Response:
            if stalled and number % (number_of // stalled) == 0:
                loop.sleep(3600.0)
            return Response(200, [("Admin-Version", VERSION)], body)

        Server(loop, endpoint(f"unix:{directory}/{name}.admin"), handle)

    def main() -> None:
        for number in range(number_of):
            serve(number)
        print("{}", flush=True)
        loop.sleep(3600.0)

    loop.run(main)


def status() -> dict[str, Any]:
    with tempfile.TemporaryDirectory() as directory:
        words = [sys.executable, "-m", "benchmarks.fleet_many", "stand", directory]
        child = subprocess.Popen(words, stdout=subprocess.PIPE)
        assert child.stdout is not None
        child.stdout.readline()
        try:
            loop = Loop()
            targets = [Target(f"g{n}", f"unix:{directory}/g{n}.admin") for n in range(STANDINS)]
            began = time.monotonic()
            found = loop.run(lambda: Caller(loop).ask_all(targets))
            took = time.monotonic() - began
        finally:
            child.kill()
            child.wait()
    return {"asked": STANDINS, "found": count_by_kind(found), "took_s": round(took, 2)}


def restarts(way: str, gateways: int = 290, hosts: int = 140, length: float = 80.0) -> dict[str, Any]:
    """`size` is the part of the fleet that is away at once, for 2 s each."""
    ways = {"at once": (1.0, 2.0), "batches of 26%": (0.26, 8.0), "steps of 5": (5 / gateways, 58.0)}
    size, over = ways[way]
    mix = [{"package": "recorded", "share": 2.0, "watch": 4.0}, {"package": "live", "watch": 4.0}]
    raw = {
        "name": "restarts",
        "length": length,
        "arrivals": {"rate": 1.4 * hosts, "swing": 0.0, "returns_at_most": 20, "mix": mix},
        "faults": [{"kind": "gateways_killed", "at": 10.0, "len": over, "size": size, "part": 1.0}],
        "shape": {"gateways": gateways, "hosts": hosts, "rack": 6, "zones": 3, "titles": 60},
    }
    day = msgspec.json.decode(msgspec.json.encode(raw), type=Day)
    site = site_of(day, 1, PORTS)
    told = played(day, site, steps_of(day, site, 1), 1, taped=False).service.summary()
    cells = {int(s): both for s, both in told["by_second"].items()}

    def service(first: int, last: int) -> float:
        asked = sum(cells.get(s, (0, 0))[0] for s in range(first, last))
        return float(sum(cells.get(s, (0, 0))[1] for s in range(first, last)) / max(1e-9, asked))

    before = service(4, 10)
    lost = sum(max(0.0, before * a - g) for s, (a, g) in cells.items() if 10 <= s < int(length) - 2)
    asked_a_second = sum(a for s, (a, _) in cells.items() if 10 <= s < int(length) - 2) / (length - 12)
    return {
        "way": way,
        "service_before": round(before, 3),
        "worst_10s": told["worst_10s"],
        "seconds_of_service_lost": round(lost / max(1e-9, before * asked_a_second), 2),
    }


if __name__ == "__main__":
    match sys.argv[1:]:
        case ["stand", directory, *numbers]:
            stand(directory, *map(int, numbers))
        case ["restarts", *ways]:
            for one in ways or ["at once", "batches of 26%", "steps of 5"]:
                print(json.dumps(restarts(one)), flush=True)
        case _:
            print(json.dumps(status()))
