"""What is not let in when a gateway dies, when the lender does, and when all are restarted in order.

`python -m benchmarks.failures NAME [LEASE]`: six daemons, viewers who ask for three times what the whole
fleet may let in, owners' leases of LEASE seconds (10, as sites have it if they say nothing). What is missing
is summed over time and told in seconds of one gateway's part. Counted from first attempts that servers saw;
sessions that played at a gateway that died are not in it. All peers are simulated, on loopback.
"""

import json
import sys
import tempfile
import time
from pathlib import Path

from benchmarks.cut import DOOR, GATEWAYS, RATE, let_in
from benchmarks.data_path import KEPT
from ledgehitch.rehearsal.fleet import FleetRig
from ledgehitch.scale.facts import Point, kept_now, load_now, write_kept

Spans = dict[str, tuple[float, float, int]]  # from, until, how many gateways were met


def script(rig: FleetRig, spans: Spans) -> None:
    rig.start_all()
    rig.owner("budgets", within=90.0)
    rig.viewers()
    rig.until(lambda: len(let_in(rig)) > 3 * RATE, 90.0, 0.5)
    rig.loop.sleep(3.0 * rig.lease)  # parts are lent by use

    def looked_at(name: str, seconds: float, met: int = 1) -> None:
        began = time.monotonic()
        rig.loop.sleep(seconds)
        spans[name] = began, time.monotonic(), met

    looked_at("nothing", 20.0)
    for name in ("one-killed", "lender-killed"):
        lender = rig.owner("budgets", within=90.0)
        who = lender if name == "lender-killed" else next(n for n in rig.names if n != lender)
        rig.kill(who)
        looked_at(name, 4.0 * rig.lease)
        rig.start_all([who])
        rig.owner("budgets", within=90.0)
        rig.loop.sleep(3.0 * rig.lease)
    began = time.monotonic()
    # Viewers ask for three times what is let in: most are refused, which must not stop the plan.
    rig.by_fleet("--settle", "1", "--worse", "1", "--failures", "5", "--back-within", "60")
    rig.until(lambda: rig.plan() in ("ended", "stopped"), 400.0, 0.5)
    if rig.plan() != "ended":
        print(f"restarts: not measured, the plan is {rig.plan()}: {rig.fleet('plan', 'status')[1]}")
        return
    rig.loop.sleep(2.0 * rig.lease)
    spans["restarted"] = began, time.monotonic(), GATEWAYS


def main(name: str, lease: float) -> None:
    spans: Spans = {}
    with tempfile.TemporaryDirectory() as directory:
        rig = FleetRig(
            Path(directory),
            GATEWAYS,
            zones=2,
            hosts=9,
            rate=3 * RATE,
            watch=0.3,
            lease=lease,
            length=900.0,
            door=DOOR,
        )
        rig.run(lambda rig: script(rig, spans))
        times, broken = let_in(rig), rig.over_budget()
    for b in broken:
        print(f"BROKEN: {b.invariant}: {b.message}", flush=True)
    over = len(broken)
    since, until, _ = spans.pop("nothing")
    usual = sum(since <= t < until for t in times) / (until - since)  # a second, of all
    points = []
    if "restarted" in spans:
        began, until, _ = spans["restarted"]
        told = {"seconds": round(until - began - 2.0 * lease, 1)}
        points.append(
            Point(
                role="operator",
                mechanism="fleet-restart",
                phase="restart",
                size=GATEWAYS,
                size_unit="gateways",
                figures=told,
                load1=load_now(),
                seconds=round(until - began, 1),
            )
        )
    for phase, (since, until, met) in spans.items():
        got = sum(since <= t < until for t in times)
        lost = max(0.0, (until - since) - got / usual)  # seconds of the whole
        figures = {
            "lost_gateway_s": round(lost * GATEWAYS / met, 2),
            "usual_share": round(usual / RATE, 3),
            "share": round(got / usual / (until - since), 3),
            "windows_over_the_whole": float(over),
            "lease_s": lease,
        }
        print(json.dumps({"phase": phase, **figures}), flush=True)
        points.append(
            Point(
                role="owner",
                mechanism="budgets",
                phase=phase,
                size=GATEWAYS,
                size_unit="gateways",
                figures=figures,
                load1=load_now(),
                seconds=round(until - since, 1),
            )
        )
    write_kept(KEPT / f"{name}.json", kept_now(f"python -m benchmarks.failures {name} {lease:g}", points))


if __name__ == "__main__":
    main(sys.argv[1], float(sys.argv[2]) if len(sys.argv) > 2 else 10.0)
