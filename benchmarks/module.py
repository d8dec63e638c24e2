"""What the module alone costs a viewing: with room, and when nothing fits. Virtual time, a real clock.

`python -m benchmarks.module [FILE]` measures another text of the module beside this one, in the same run.
"""

import importlib.util
import json
import sys
import time
from pathlib import Path
from types import ModuleType
from typing import Any

from ledgehitch import brain, interface

LADDER = interface.Ladder((150.0, 300.0, 600.0, 1200.0), (0.25, 0.5, 0.75, 1.0))
PACKAGE = interface.Package("p", 0.8, 3.0)
SECONDS = 6.0


def measured(module: ModuleType, hosts: int, rate: int, room: bool) -> float:
    """Milliseconds of the module a viewing, at `rate` a second through one gateway of one."""
    fleet = interface.Fleet(
        cells=hosts,
        racks=max(1, hosts // 7),
        link_unit_kb=1e6,
        uplink_kb=6e6,
        slots={"k": 10**6},
        told_late=0.5,
        told_every=2.0,
        load_fields=("x0", "x1"),
        reports="piggyback",
    )
    gw = module.Gateway(1, 0.0, LADDER, (PACKAGE,), fleet, interface.Terms(tune_ins=3, warm_up=1.0))
    rows = [interface.Row(f"h{i}", i, 1.0, "k", "", "in_service", 0.0) for i in range(hosts)]
    gw.on_host_list(0.0, "total", rows)
    load = 0.3 if room else 1.2
    now, viewing_id, spent = 100.0, 0, 0.0
    playing: dict[int, str] = {}

    def pull() -> None:
        while (decision := gw.decide(now)) is not None:
            match decision:
                case interface.TuneIn(one, host, _):
                    playing[one] = host
                case interface.Block(one, _) | interface.Abort(one):
                    playing.pop(one, None)

    for step in range(int(SECONDS * rate)):
        now = 100.0 + step / rate
        viewing_id += 1
        start = time.perf_counter()
        gw.on_viewing_request(
            now,
            viewing_id,
            "p",
            f"t{viewing_id % 20}",
            (viewing_id % 20) * 3 % hosts,
            max(3, hosts // 5),
            3,
            now + 3.0,
        )
        pull()
        if viewing_id in playing:
            gw.on_tune_in_success(now, viewing_id, playing[viewing_id], 0, 0.03)
            pull()
        if viewing_id - rate in playing:
            gw.on_tune_in_end(
                now, viewing_id - rate, True, interface.Outcome.OK, playing.pop(viewing_id - rate), 1.0, 0
            )
            pull()
        if step % max(1, rate // hosts) == 0:
            host = f"h{(step // max(1, rate // hosts)) % hosts}"
            gw.on_report(now, 0, host, 3, load)
            gw.on_report(now, 0, host, 4, load)
            pull()
        spent += time.perf_counter() - start
    return spent / viewing_id * 1000


def main(other: Path | None = None) -> list[dict[str, Any]]:
    modules = {"this": brain}
    if other is not None:
        spec = importlib.util.spec_from_file_location("other_brain", other)
        assert spec is not None and spec.loader is not None
        modules["other"] = importlib.util.module_from_spec(spec)
        spec.loader.exec_module(modules["other"])
    found = []
    for hosts in (14, 140):
        for rate in (200, 1000):
            for name, module in modules.items():
                room = min(measured(module, hosts, rate, True) for _ in range(2))
                full = min(measured(module, hosts, rate, False) for _ in range(2 if name == "this" else 1))
                found.append(
                    {
                        "module": name,
                        "hosts": hosts,
                        "rate": rate,
                        "room_ms": round(room, 3),
                        "full_ms": round(full, 3),
                        "ratio": round(full / room, 2),
                    }
                )
                print(json.dumps(found[-1]), flush=True)
    return found


if __name__ == "__main__":
    main(Path(sys.argv[1]) if len(sys.argv) > 1 else None)
