"""Converts a bench day, as printed by `lbsim draw`, to a day script, scaled down by a given factor.

Sizes, rates, the ladder and faults are converted. Whatever has no counterpart on loopback is reported with a
reason, never dropped silently. Times in bench days are in microseconds.
"""

import json
from pathlib import Path
from typing import Any

import msgspec

from ledgehitch.config import KINDS, BadInput, Day
from ledgehitch.config.day import check_day

FAULT_KINDS = {
    "crash": "crash",
    "vanish": "vanish",
    "hang": "hang",
    "slow": "slow",
    "neighbour": "neighbour",
    "fast_errors": "fast_errors",
    "burst": "burst",
    "hot_key": "crowd",
    "deploy": "deploy",
    "balancer_roll": "gateways_killed",
    "balancer_stall": "gateways_still",
    "shared_slow": "link_shrink",
    "origin_slow": "uplink_shrink",
    "answer_lost": "answers_lost",
    "peer_down": "peers_lost",
}


def import_bench_day(path: Path, scale: float) -> tuple[Day, list[str]]:
    """Returns the converted day and a description of each part that could not be converted.

    Raises `BadInput` when the file cannot be read, is no bench day, or `scale` is below 1.
    """
    if scale < 1:
        raise BadInput(f"the scale factor has to be 1 or more, not {scale:g}")
    try:
        bench = json.loads(path.read_bytes())
        return _convert_day(bench, scale, path.name)
    except OSError as problem:
        raise BadInput(f"{path}: cannot be read: {problem.strerror}") from None
    except json.JSONDecodeError as problem:
        raise BadInput(f"{path}: not JSON: line {problem.lineno}: {problem.msg}") from None
    except KeyError as missing:
        raise BadInput(f"{path}: not a bench day: the field {missing} is missing") from None
    except (TypeError, IndexError, ValueError) as problem:
        raise BadInput(f"{path}: not a bench day: {problem}") from None


def _convert_day(bench: dict[str, Any], scale: float, name: str) -> tuple[Day, list[str]]:
    family, classes, kinds = bench["fam"], bench["classes"], bench["tiers"][0]["kinds"]
    servers, gateways = bench["servers"], bench["balancers"]
    hosts = max(3, round(len(servers) / scale))
    shrunk = len(servers) / hosts
    cores = sum(kinds[server["kind"]]["cores"] * server.get("speed", 1.0) for server in servers) / len(
        servers
    )
    racks = max(1, round(family["racks"] / shrunk))
    link_kb = family["core_kb"] * cores
    rack_size = -(-hosts // racks)
    mix = [
        {"package": klass["name"], "share": klass["share"], "watch": family["life_s"] * use["life"]}
        for klass, use in zip(classes, family["uses"], strict=True)
    ]
    skipped: list[str] = []
    day: dict[str, Any] = {
        "name": f"{bench['site']}-{bench['kind']}",
        "length": bench["length"] / 1e6,
        "source": f"{name}, {len(servers)} hosts and {len(gateways)} gateways scaled down by {shrunk:.3g}",
        "arrivals": {
            "rate": family["capacity"] * bench["traffic"]["load"] / shrunk,
            "mix": mix,
            "zipf": family["title_zipf"],
            "small_screens": min(1.0, family["small_screens"]),
            "returns": family["returns"],
            "return_after": family["rejoin_us"] / 1e6,
            "honour_advice": bench["clients"]["honour"],
            "impatient": bench["clients"]["impatient"],
        },
        "shape": {
            "hosts": hosts,
            "gateways": max(1, min(64, round(len(gateways) / shrunk))),
            "zones": len(bench["zones"]),
            "titles": max(3, round(family["titles"] / shrunk)),
            "rack": rack_size,
            "slots": max(1, round(family["core_slots"] * cores)),
            "link_kb": link_kb,
            "uplink_share": min(
                1.5,
                sum(family["uplink_kb"])
                / len(family["uplink_kb"])
                * family["racks"]
                / (link_kb * len(servers)),
            ),
            "true_rate_spread": family["vary"],
            "report_noise": bench["tiers"][0]["report_noise"],
            "list_delay": bench["discovery"]["notice"] / 1e6,
            "peer_delay": bench["allow"]["peer_delay"] / 1e6,
        },
        "faults": list(
            filter(None, (_convert_fault(trouble, bench, skipped) for trouble in bench["troubles"]))
        ),
        "site": {
            "ladder": [
                {"kb": kb, "earns": worth} for kb, worth in zip(family["rates"], family["worth"], strict=True)
            ],
            "packages": [
                {
                    "name": klass["name"],
                    "join_target": klass["aim"] / 1e6,
                    "patience": klass["deadline"] / 1e6,
                    "value": klass["worth"],
                    "scale": use["scale"],
                    "floor": use["floor"],
                    "top": use["top"],
                    "seats": use["seats"],
                    "live": use["live"],
                }
                for klass, use in zip(classes, family["uses"], strict=True)
            ],
            "terms": {
                "drain_grace": bench["drain_grace"] / 1e6,
                "fall_multiple": bench["fall_multiple"],
                "fall_after": bench["fall_for"] / 1e6,
                "warm_up": bench["tiers"][0]["stated_cold"] / 1e6,
                "cold_share": bench["tiers"][0]["stated_cold_from"],
                "may_probe": bench["allow"]["probes"],
                "may_tell": bench["allow"]["peers"],
                "may_advise": bench["allow"]["retry_after"],
                "tune_ins": bench["allow"]["max_attempts"],
            },
        },
    }
    for klass in classes:
        if klass["effect"] != "safe":
            skipped.append(f"class {klass['name']}: effect {klass['effect']} is treated as repeatable")
    if bench["discovery"]["ask"]:
        skipped.append("discovery: the list is pushed on loopback, not polled")
    converted = msgspec.json.decode(msgspec.json.encode(day), type=Day)
    check_day(converted, name)
    return converted, skipped


def _convert_fault(
    trouble: dict[str, Any], bench: dict[str, Any], skipped: list[str]
) -> dict[str, Any] | None:
    kind = FAULT_KINDS.get(trouble["kind"])
    at, length = trouble["at"] / 1e6, trouble["len"] / 1e6
    if kind is None:
        skipped.append(f"{trouble['kind']} at {at:.1f} s: no fault on loopback corresponds to this kind")
        return None
    if at >= bench["length"] / 1e6:
        skipped.append(f"{trouble['kind']} at {at:.1f} s: starts after the end of the day")
        return None
    affected = set(trouble["on"]) | {i for step in trouble["steps"] for i in step["stop"]}
    population = len(bench["balancers"] if KINDS[kind].target == "gateways" else bench["servers"])
    default_part = {"link_shrink": 1.0, "uplink_shrink": 0.3}.get(kind, 0.25)
    fault: dict[str, Any] = {"kind": kind, "at": at, "len": max(0.1, length)}
    fault["part"] = min(1.0, len(affected) / population) if affected else default_part
    for field, bounds in (("size", KINDS[kind].size), ("extra", KINDS[kind].extra)):
        if bounds is not None:
            fault[field] = min(max(trouble[field], bounds[0]), bounds[1])
    if kind == "peers_lost":
        fault["size"] = 1.0
    if kind == "answers_lost":
        fault["extra"] = float(trouble.get("how") == "reset")
    return fault
