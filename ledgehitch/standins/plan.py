"""Derives a day's site and the schedule of its faults. Free of I/O; the same for the same seed."""

import random
from collections.abc import Sequence
from dataclasses import dataclass
from typing import Any

import msgspec

from ledgehitch.config import KINDS, BadInput, Day, Fault, Site
from ledgehitch.config.site import check

LADDER = [(150.0, 0.25), (300.0, 0.5), (600.0, 0.75), (1200.0, 1.0)]  # kB a second, share of the value
MIN_COPIES = 3  # cells that hold a title, at least


def site_of(day: Day, seed: int, ports: Sequence[int], key_file: str = "") -> Site:
    """Returns the site of a day's shape: racks of hosts, titles on some hosts, gateways over the zones.

    `ports` holds one for the list service, then for each gateway one for HTTP, one where it receives
    datagrams, one of the proxy that its peers send to, and one for reports if a separate process takes them.
    Raises `BadInput` if the day's own site settings are invalid.
    """
    shape = day.shape
    chance = random.Random(f"{seed}/site")
    port = iter(ports)
    cells = shape.hosts
    racks = max(1, -(-shape.hosts // shape.rack))
    list_at = f"127.0.0.1:{next(port)}"
    gateways = [
        {
            "name": f"g{i}",
            "at": f"127.0.0.1:{next(port)}",
            "zone": f"z{i % shape.zones}",
            "peer_at": f"127.0.0.1:{next(port)}",
            "peer_via": f"127.0.0.1:{next(port)}",
            "reports_at": f"127.0.0.1:{next(port)}" if day.reporting.beside else "",
        }
        for i in range(shape.gateways)
    ]
    hosts = [
        {
            "name": f"h{i}",
            "at": "127.0.0.1:0",
            "cell": i,
            "weight": 1.0,
            "kind": "std",
            "zone": f"z{i % shape.zones}",
        }
        for i in range(shape.hosts)
    ]
    min_spread = min(MIN_COPIES, cells)
    titles = {}
    for n in range(1, shape.titles + 1):
        spread = max(min_spread, round(cells * 0.6 / n**0.5))
        titles[f"clip-{n}"] = {"first": chance.randrange(cells), "spread": min(cells, spread)}
    used = sorted({m.package for m in day.arrivals.mix})
    raw: dict[str, Any] = {
        "name": "rehearsal",
        "ladder": [{"kb": kb, "earns": earns} for kb, earns in LADDER],
        "packages": [
            {"name": name, "join_target": 0.8, "patience": 3.0, "value": 3.0 if name == "live" else 1.0}
            for name in used
        ],
        "fleet": {
            "cells": cells,
            "racks": racks,
            "link_unit_kb": shape.link_kb,
            "uplink_kb": shape.link_kb * shape.rack * shape.uplink_share,
            "slots": {"std": shape.slots},
        },
        "terms": {"warm_up": 6.0, "cold_share": 0.4, "fall_multiple": 3.0, "fall_after": 2.0},
        "titles": titles,
        "gateways": gateways,
        "hosts": hosts,
        "list_at": list_at,
        "peer_key_file": key_file,
    }
    for part, value in day.site.items():
        override = msgspec.json.decode(value)
        raw[part] = (
            {**raw[part], **override}
            if isinstance(raw.get(part), dict) and isinstance(override, dict)
            else override
        )
    try:
        site = msgspec.convert(raw, type=Site)
    except msgspec.ValidationError as error:
        raise BadInput(f"{day.name}: site: {error}") from None
    check(site, f"{day.name}: site")
    sold_packages = {p.name for p in site.packages}
    for i, mix in enumerate(day.arrivals.mix):
        if mix.package not in sold_packages:
            raise BadInput(f"{day.name}: arrivals.mix[{i}].package: the site sells no {mix.package!r}")
    return site


@dataclass(frozen=True)
class Step:
    """A timed action on a gateway (kill, start, still, go_on) or on the simulated media hosts (fault)."""

    at: float
    do: str
    gateway: str = ""
    fault: Fault | None = None


def steps_of(day: Day, site: Site, seed: int) -> list[Step]:
    """Returns the day's faults as steps in order of time."""
    chance = random.Random(f"{seed}/steps")
    names = [g.name for g in site.gateways]
    steps: list[Step] = []
    for fault in day.faults:
        affected = chance.sample(names, max(1, round(fault.part * len(names))))
        if fault.kind == "gateways_killed":
            wave_size = max(1, round((fault.size if fault.size is not None else 0.2) * len(names)))
            waves = [affected[i : i + wave_size] for i in range(0, len(affected), wave_size)]
            down_time = fault.extra if fault.extra is not None else 0.5
            for i, members in enumerate(waves):
                at = fault.at + i * max(down_time, fault.len / max(1, len(waves)))
                for name in members:
                    steps += [Step(at, "kill", name), Step(at + down_time, "start", name)]
        elif fault.kind == "gateways_still":
            for name in affected:
                steps += [Step(fault.at, "still", name), Step(fault.at + fault.len, "go_on", name)]
        elif KINDS[fault.kind].target != "viewers":
            steps.append(Step(fault.at, "fault", fault=fault))
    return sorted(steps, key=lambda step: step.at)
