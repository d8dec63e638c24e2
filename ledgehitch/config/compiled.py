"""A result of the language into the site's records: racks become cells, routes become titles. Free of I/O.

What no type says is checked here with the place of the field that is wrong: references between parts, orders,
names used twice.
"""

import difflib
from typing import Any

import msgspec

from ledgehitch.config.evaluate import Vertex
from ledgehitch.config.read import BadInput
from ledgehitch.config.site import Site, check, wrong_regions
from ledgehitch.config.syntax import SCHEMA, At, Mistake


def compiled(loaded: Any) -> None:
    """Fills `loaded.site`, or adds mistakes to it."""
    data, body = loaded.data, loaded.vertex
    mistakes: list[Mistake] = loaded.mistakes

    def wrong(path: tuple[str, ...], reason: str, hint: str = "") -> None:
        mistakes.append(Mistake(place(body, path), f"{'.'.join(path)}: {reason}", hint))

    racks = data.get("racks", {})
    owner: dict[str, str] = {}
    for rack, r in racks.items():
        for host in r.get("hosts", {}):
            if host in owner:
                wrong(("racks", rack, "hosts", host), f"{host!r} stands in rack {owner[host]} already")
            owner[host] = rack
            kind = r["hosts"][host]["kind"]
            if kind not in data["fleet"].get("slots", {}):
                known = ", ".join(data["fleet"].get("slots", {}))
                wrong(
                    ("racks", rack, "hosts", host, "kind"),
                    f"no places are given for {kind!r}",
                    f"known are {known}",
                )
    rungs = [r["kb"] for r in data["ladder"]]
    for i, (low, high) in enumerate(zip(rungs, rungs[1:], strict=False)):
        if low >= high:
            wrong(("ladder", str(i + 1), "kb"), f"rungs must rise, {high:g} kB/s follows {low:g} kB/s")
    for name, p in data.get("packages", {}).items():
        if p["floor"] > min(p["top"], len(rungs) - 1):
            wrong(
                ("packages", name, "floor"),
                f"rung {p['floor']} is above the highest, {min(p['top'], len(rungs) - 1)}",
            )
        if p["join_target"] > p["patience"]:
            wrong(("packages", name, "join_target"), "the join target is longer than patience")
    sold = data.get("packages", {})
    for name in data["door"].get("package_rates", {}):
        if name not in sold:
            near = difflib.get_close_matches(name, sorted(sold), 1, 0.5)
            hint = f"is {near[0]!r} meant?" if near else f"there are {', '.join(sorted(sold))}"
            wrong(("door", "package_rates", name), f"no package {name!r}", hint)
    cells = max(1, len(racks)) * max((len(r.get("hosts", {})) for r in racks.values()), default=0)
    titles: dict[str, Any] = dict(data.get("titles", {}))
    pools = data.get("pools", {})
    routed: dict[str, str] = {}
    for name, route in data.get("routes", {}).items():
        pool = pools.get(route["pool"])
        if pool is None:
            near = difflib.get_close_matches(route["pool"], sorted(pools), 1, 0.5)
            hint = f"is {near[0]!r} meant?" if near else f"there are {', '.join(sorted(pools)) or 'none'}"
            wrong(("routes", name, "pool"), f"no pool {route['pool']!r}", hint)
            continue
        for i, title in enumerate(route["titles"]):
            if title in titles:
                where = f"route {routed[title]}" if title in routed else "titles"
                wrong(("routes", name, "titles", str(i)), f"{title!r} is placed by {where} already")
            titles[title], routed[title] = pool, name
    for path, parts in ((("titles",), data.get("titles", {})), (("pools",), pools)):
        for name, held in parts.items():
            if held["first"] >= max(1, cells):
                wrong((*path, name, "first"), f"{held['first']} is no cell, there are {cells}")
    if not data["ladder"]:
        wrong(("ladder",), "a ladder has a rung at least")
    for part in ("packages", "gateways"):
        if not data.get(part):
            wrong((part,), "there must be one at least")
    if mistakes:
        return
    raw = site_data(data, cells, titles)
    try:
        loaded.site = msgspec.convert(raw, Site)
        for spot, reason in wrong_regions(loaded.site):
            wrong(spot, reason)
        if mistakes:
            loaded.site = None
            return
        check(loaded.site, "site")
    except (msgspec.ValidationError, BadInput) as problem:
        mistakes.append(Mistake(At(next(iter(loaded.texts), ""), 1, 1), str(problem)))


def site_data(data: dict[str, Any], cells: int, titles: dict[str, Any]) -> dict[str, Any]:
    """The site's records as plain data. The k-th host of the r-th rack stands in cell r + k * racks, so that
    a run of cells crosses the racks; racks of the module are cells modulo their number."""
    racks = data.get("racks", {})
    hosts = []
    for r, rack in enumerate(racks.values()):
        for k, (name, host) in enumerate(rack.get("hosts", {}).items()):
            hosts.append({"name": name, "cell": r + k * len(racks), **host})
    uplinks = [rack["uplink"] for rack in racks.values()]
    fleet = dict(data["fleet"])
    unit = fleet.pop("link_unit")
    if not fleet.get("load_fields"):
        fleet["load_fields"] = ["x0", "x1"]
    fleet |= {
        "cells": cells,
        "racks": len(racks),
        "rack_names": list(racks),
        "link_unit_kb": unit,
        "uplink_kb": sum(uplinks) / len(uplinks) if uplinks else 0.0,
    }
    return {
        "name": data["name"],
        "ladder": data["ladder"],
        "fleet": fleet,
        "terms": data["terms"],
        "titles": titles,
        "packages": [{"name": name, **p} for name, p in data["packages"].items()],
        "gateways": [{"name": name, **g} for name, g in data["gateways"].items()],
        "regions": [{"name": name, **r} for name, r in data.get("regions", {}).items()],
        "hosts": sorted(hosts, key=lambda h: int(h["cell"])),
        "list_at": data["list_at"],
        "peer_key_file": data["peer_key_file"],
        "door": data["door"],
        "owners": data["owners"],
        "budgets": data["budgets"],
    }


def place(body: Vertex, path: tuple[str, ...]) -> At:
    """Where a part of the result was said, or the nearest thing around it that was."""
    found, at = body, body.at() or At("", 1, 1)
    for name in path:
        if found.items is not None and name.isdigit() and int(name) < len(found.items):
            found = found.items[int(name)]
        elif name in found.fields:
            found = found.fields[name]
        else:
            break
        own = [s.node.at for s in found.said if s.node.at.file != SCHEMA]
        at = own[0] if own else at
    return at
