"""A bench day, as `lbsim draw` prints it, made into a day script of ours, scaled down by a stated factor.

Sizes, rates, ladder and troubles are taken over; what has no counterpart on loopback is listed with a reason,
never dropped silently. Bench times are microseconds.
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
    """The day, and what of it could not be taken over."""
    if scale < 1:
        raise BadInput(f"a day is scaled down: the factor is 1 or more, not {scale:g}")
    try:
        bench = json.loads(path.read_bytes())
        return _day(bench, scale, path.name)
    except OSError as problem:
        raise BadInput(f"{path}: cannot be read: {problem.strerror}") from None
    except json.JSONDecodeError as problem:
        raise BadInput(f"{path}: not JSON: line {problem.lineno}: {problem.msg}") from None
    except KeyError as missing:
        raise BadInput(f"{path}: no bench day: the field {missing} is missing") from None
    except (TypeError, IndexError, ValueError) as problem:
        raise BadInput(f"{path}: no bench day: {problem}") from None


def _day(bench: dict[str, Any], scale: float, name: str) -> tuple[Day, list[str]]:
    fam, classes, kinds = bench["fam"], bench["classes"], bench["tiers"][0]["kinds"]
    servers, gateways = bench["servers"], bench["balancers"]
    hosts = max(3, round(len(servers) / scale))
    shrunk = len(servers) / hosts
    cores = sum(kinds[s["kind"]]["cores"] * s.get("speed", 1.0) for s in servers) / len(servers)
    racks = max(1, round(fam["racks"] / shrunk))
    link = fam["core_kb"] * cores
    rack = -(-hosts // racks)
    mix = [
        {"package": c["name"], "share": c["share"], "watch": fam["life_s"] * use["life"]}
        for c, use in zip(classes, fam["uses"], strict=True)
    ]
    skipped: list[str] = []
    day: dict[str, Any] = {
        "name": f"{bench['site']}-{bench['kind']}",
        "length": bench["length"] / 1e6,
        "source": f"{name}, {len(servers)} hosts and {len(gateways)} gateways scaled down by {shrunk:.3g}",
        "arrivals": {
            "rate": fam["capacity"] * bench["traffic"]["load"] / shrunk,
            "mix": mix,
            "zipf": fam["title_zipf"],
            "small_screens": min(1.0, fam["small_screens"]),
            "returns": fam["returns"],
            "return_after": fam["rejoin_us"] / 1e6,
            "honour_advice": bench["clients"]["honour"],
            "impatient": bench["clients"]["impatient"],
        },
        "shape": {
            "hosts": hosts,
            "gateways": max(1, min(64, round(len(gateways) / shrunk))),
            "zones": len(bench["zones"]),
            "titles": max(3, round(fam["titles"] / shrunk)),
            "rack": rack,
            "slots": max(1, round(fam["core_slots"] * cores)),
            "link_kb": link,
            "uplink_share": min(
                1.5, sum(fam["uplink_kb"]) / len(fam["uplink_kb"]) * fam["racks"] / (link * len(servers))
            ),
            "true_rate_spread": fam["vary"],
            "report_noise": bench["tiers"][0]["report_noise"],
            "list_delay": bench["discovery"]["notice"] / 1e6,
            "peer_delay": bench["allow"]["peer_delay"] / 1e6,
        },
        "faults": list(filter(None, (_fault(t, bench, skipped) for t in bench["troubles"]))),
        "site": {
            "ladder": [{"kb": kb, "earns": w} for kb, w in zip(fam["rates"], fam["worth"], strict=True)],
            "packages": [
                {
                    "name": c["name"],
                    "join_target": c["aim"] / 1e6,
                    "patience": c["deadline"] / 1e6,
                    "value": c["worth"],
                    "scale": u["scale"],
                    "floor": u["floor"],
                    "top": u["top"],
                    "seats": u["seats"],
                    "live": u["live"],
                }
                for c, u in zip(classes, fam["uses"], strict=True)
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
    for c in classes:
        if c["effect"] != "safe":
            skipped.append(f"class {c['name']}: effect {c['effect']} is taken for repeatable")
    if bench["discovery"]["ask"]:
        skipped.append("discovery: the list is pushed here, not asked for")
    made = msgspec.json.decode(msgspec.json.encode(day), type=Day)
    check_day(made, name)
    return made, skipped


def _fault(trouble: dict[str, Any], bench: dict[str, Any], skipped: list[str]) -> dict[str, Any] | None:
    kind = FAULT_KINDS.get(trouble["kind"])
    at, length = trouble["at"] / 1e6, trouble["len"] / 1e6
    if kind is None:
        skipped.append(f"{trouble['kind']} at {at:.1f} s: nothing here plays that kind")
        return None
    if at >= bench["length"] / 1e6:
        skipped.append(f"{trouble['kind']} at {at:.1f} s: after the day's end")
        return None
    met = set(trouble["on"]) | {i for step in trouble["steps"] for i in step["stop"]}
    among = len(bench["balancers"] if KINDS[kind].whom == "gateways" else bench["servers"])
    default = {"link_shrink": 1.0, "uplink_shrink": 0.3}.get(kind, 0.25)
    fault: dict[str, Any] = {"kind": kind, "at": at, "len": max(0.1, length)}
    fault["part"] = min(1.0, len(met) / among) if met else default
    for field, bounds in (("size", KINDS[kind].size), ("extra", KINDS[kind].extra)):
        if bounds is not None:
            fault[field] = min(max(trouble[field], bounds[0]), bounds[1])
    if kind == "peers_lost":
        fault["size"] = 1.0
    if kind == "answers_lost":
        fault["extra"] = float(trouble.get("how") == "reset")
    return fault
