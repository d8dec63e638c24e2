"""Two equal halves of real daemons are cut from each other: who owns what, and what is let in meanwhile.

`python -m benchmarks.cut NAME [SECONDS] [PARTS.json]` starts six daemons in two zones, with viewers who ask
for three times what the whole fleet may let in, cuts the zones from each other for SECONDS (60), heals the
cut, and keeps the result as `docs/capacity/kept/NAME.json`. PARTS: parts of the site to take instead, such as
regions. What is let in is counted from first attempts that servers saw. All peers are simulated, on loopback.
"""

import json
import sys
import tempfile
import time
from pathlib import Path
from typing import Any

from benchmarks.data_path import KEPT
from ledgehitch.owners.facts import DUTIES
from ledgehitch.regions.facts import REGIONAL_DUTIES
from ledgehitch.rehearsal.fleet import FleetRig
from ledgehitch.scale.facts import Point, kept_now, load_now, write_kept

GATEWAYS, RATE = 6, 20.0
DOOR = {"on": True, "package_rates": {"recorded": RATE}, "set_ups": 30.0}
BEFORE, AFTER = 10.0, 20.0  # seconds looked at
ENOUGH = 0.90  # of the whole


def let_in(rig: FleetRig) -> list[float]:
    """When each first attempt came to a server."""
    return sorted(x["t"] for x in rig.lines() if x["ev"] == "setup" and x["key"].endswith(".0"))


def share(times: list[float], since: float, until: float) -> float:
    return round(sum(since <= t < until for t in times) / (until - since) / RATE, 3)


def owned(rig: FleetRig, names: list[str]) -> set[str]:
    """The duties that one of these says it owns."""
    told = [rig.asked(n, "/v1/owners") for n in names]
    return {d for t in told if t for d, what in t["duties"].items() if what["mine"]}


def script(rig: FleetRig, seconds: float, seen: dict[str, Any]) -> None:
    sides = [[g.name for g in rig.site.gateways if g.zone == zone] for zone in ("z0", "z1")]
    assert [len(side) for side in sides] == [GATEWAYS // 2] * 2
    regions = bool(rig.site.regions)
    own = set(REGIONAL_DUTIES) if regions else set(DUTIES)  # the duties that a side can be asked to own
    rig.start_all()
    scopes = sides if regions else [rig.names]
    rig.until(lambda: all("budgets" in owned(rig, some) for some in scopes), 60.0)
    rig.viewers()
    rig.until(lambda: len(let_in(rig)) > 3 * RATE, 60.0, 0.5)
    rig.loop.sleep(15.0 + BEFORE)  # parts are lent by use
    seen["cut"] = time.monotonic()
    rig.wires.cuts.cut(sides[0], sides[1])
    lost = seen["cut"] + 3.0 * rig.lease  # what is owned from before has ended
    while time.monotonic() < seen["cut"] + seconds:
        rig.loop.sleep(0.5)
        now = time.monotonic()
        for number, side in enumerate(sides):
            if now > lost and f"owned {number}" not in seen and owned(rig, side) >= own:
                seen[f"owned {number}"] = now - seen["cut"]
    seen["sides_that_own"] = sum(owned(rig, side) >= own for side in sides)
    seen["heal"] = time.monotonic()
    rig.heal()
    rig.loop.sleep(AFTER)
    seen["end"] = time.monotonic()


def main(name: str, seconds: float, parts: Path | None) -> None:
    more = json.loads(parts.read_text()) if parts is not None else {}
    seen: dict[str, Any] = {}
    with tempfile.TemporaryDirectory() as directory:
        rig = FleetRig(
            Path(directory), GATEWAYS, zones=2, hosts=9, rate=3 * RATE, watch=0.3, **{"door": DOOR, **more}
        )
        rig.run(lambda rig: script(rig, seconds, seen))
        times, cut, heal = let_in(rig), seen["cut"], seen["heal"]
        broken = rig.over_budget()
        over = len(broken)
        lease = rig.lease
    windows = [share(times, cut + s, cut + s + 5.0) for s in range(0, int(heal - cut) - 4)]
    # From here on to the heal no five seconds had less: the end of the worst window that is below.
    below = [s + 5 for s, got in enumerate(windows) if got < ENOUGH]
    figures = {
        "before_share": share(times, cut - BEFORE, cut),
        "first_15_s_share": share(times, cut, cut + 15.0),
        "after_15_s_share": share(times, cut + 15.0, heal),
        "worst_5_s_after_15_s_share": min(windows[15:]),
        "enough_from_s": float(below[-1] if below else 0),
        "sides_that_own_all": float(seen["sides_that_own"]),
        "healed_first_10_s_share": share(times, heal, heal + 10.0),
        "healed_next_10_s_share": share(times, heal + 10.0, heal + 20.0),
        "windows_over_the_whole": float(over),
        "lease_s": lease,
        **{f"side_{n}_owns_after_s": round(seen[f"owned {n}"], 1) for n in (0, 1) if f"owned {n}" in seen},
    }
    if below and below[-1] >= int(heal - cut):
        del figures["enough_from_s"]  # never
    for b in broken:
        print(f"BROKEN: {b.invariant}: {b.message}")
    print(json.dumps(figures))
    phase = "equal-split-regions" if "regions" in more else "equal-split"
    point = Point(
        role="owner",
        mechanism="budgets",
        phase=phase,
        size=GATEWAYS,
        size_unit="gateways",
        figures=figures,
        load1=load_now(),
        seconds=seconds,
    )
    words = " ".join([name, f"{seconds:g}", *([str(parts)] if parts is not None else [])])
    write_kept(KEPT / f"{name}.json", kept_now(f"python -m benchmarks.cut {words}", [point]))


if __name__ == "__main__":
    words = sys.argv[1:]
    main(words[0], float(words[1]) if len(words) > 1 else 60.0, Path(words[2]) if len(words) > 2 else None)
