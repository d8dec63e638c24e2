"""The door in the model: the bad day's rules with it on, a storm of three times the load at many gateways.

`python -m benchmarks.door_model [GATEWAYS HOSTS]`. Everything is simulated, in virtual time.
"""

import json
import sys
from pathlib import Path
from typing import Any

import msgspec

from ledgehitch.config import Day, read_day
from ledgehitch.lab.facts import PORTS
from ledgehitch.model.day import played
from ledgehitch.proof.check import check_rules, rule_parameters
from ledgehitch.standins.plan import site_of, steps_of

DAYS = Path(__file__).parent.parent / "days"
OVER, CALM = (10.0, 70.0), 110.0  # from, to: three times the load; the end of the day


def storm_day(gateways: int, hosts: int, rate: float, on: bool) -> Day:
    """0.8 of the load that `rate` is, three times as much for a minute, and then 0.8 again."""
    mix = [{"package": "recorded", "share": 2.0, "watch": 4.0}, {"package": "live", "watch": 4.0}]
    raw = {
        "name": "storm",
        "length": CALM,
        "settle": 2.0,
        "arrivals": {"rate": 0.8 * rate, "mix": mix, "swing": 0.0, "returns_at_most": 20},
        "faults": [{"kind": "burst", "at": OVER[0], "len": OVER[1] - OVER[0], "part": 1.0, "size": 3.75}],
        "shape": {
            "gateways": gateways,
            "hosts": hosts,
            "rack": 6,
            "zones": 3,
            "titles": 60,
            "link_kb": 6000.0,
        },
        "site": {"door": {"on": on}},
    }
    return msgspec.json.decode(msgspec.json.encode(raw), type=Day)


def run(day: Day, seed: int = 1) -> dict[str, Any]:
    site = site_of(day, seed, PORTS)
    result = played(day, site, steps_of(day, site, seed), seed)
    told = result.service.summary()
    breaches = check_rules(result.tape, rule_parameters(site))
    cells = {int(s): both for s, both in told["by_second"].items()}

    def service(first: float, last: float) -> float:
        asked = sum(cells.get(s, (0, 0))[0] for s in range(int(first), int(last)))
        got = sum(cells.get(s, (0, 0))[1] for s in range(int(first), int(last)))
        return float(got / max(1e-9, asked))

    before = service(3, OVER[0])
    whole = next((s for s in range(int(OVER[1]), int(CALM) - 5) if service(s, s + 5) >= 0.95 * before), None)
    return {
        "service": told["service"],
        "before": round(before, 3),
        "in_storm": round(service(20, OVER[1]), 3),
        "after": round(service(OVER[1] + 10, CALM - 5), 3),
        "whole_after_s": None if whole is None else whole - int(OVER[1]),
        "answers": told["answers"],
        "breaches": [b.describe() for b in breaches[:5]],
    }


def with_door(day: Day, on: bool) -> Day:
    door = msgspec.Raw(msgspec.json.encode({"on": on}))
    return msgspec.structs.replace(day, site={**day.site, "door": door})


def main(gateways: int, hosts: int) -> dict[str, Any]:
    rate = 2.6 * hosts  # what fills the links at the middle rung
    bad = read_day(DAYS / "bad-day.lh")
    return {
        "gateways": gateways,
        "hosts": hosts,
        "bad_day": {str(on): run(with_door(bad, on), bad.seed) for on in (True, False)},
        "storm": {str(on): run(storm_day(gateways, hosts, rate, on)) for on in (True, False)},
    }


if __name__ == "__main__":
    print(json.dumps(main(*(int(word) for word in sys.argv[1:3] or ("6", "12"))), indent=1))
