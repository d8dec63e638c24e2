"""Compiles an evaluated site file to the site's records: racks to cells, routes to titles. Free of I/O.

Checks what the types cannot express (references between parts, order, duplicate names) and reports the
position of the wrong field.
"""

import difflib
from typing import Any

import msgspec

from ledgehitch.config.evaluate import Vertex
from ledgehitch.config.read import BadInput
from ledgehitch.config.site import Site, check, region_mistakes
from ledgehitch.config.syntax import SCHEMA, At, Mistake


def compile_site(loaded: Any) -> None:
    """Sets `loaded.site`, or adds to `loaded.mistakes` what prevents it."""
    data, body = loaded.data, loaded.vertex
    mistakes: list[Mistake] = loaded.mistakes

    def add_mistake(path: tuple[str, ...], reason: str, hint: str = "") -> None:
        mistakes.append(Mistake(locate(body, path), f"{'.'.join(path)}: {reason}", hint))

    racks = data.get("racks", {})
    rack_of_host: dict[str, str] = {}
    for rack, r in racks.items():
        for host in r.get("hosts", {}):
            if host in rack_of_host:
                add_mistake(
                    ("racks", rack, "hosts", host), f"{host!r} stands in rack {rack_of_host[host]} already"
                )
            rack_of_host[host] = rack
            kind = r["hosts"][host]["kind"]
            if kind not in data["fleet"].get("slots", {}):
                known = ", ".join(data["fleet"].get("slots", {}))
                add_mistake(
                    ("racks", rack, "hosts", host, "kind"),
                    f"no places are given for {kind!r}",
                    f"known are {known}",
                )
    rungs = [r["kb"] for r in data["ladder"]]
    for i, (low, high) in enumerate(zip(rungs, rungs[1:], strict=False)):
        if low >= high:
            add_mistake(("ladder", str(i + 1), "kb"), f"rungs must rise, {high:g} kB/s follows {low:g} kB/s")
    for name, p in data.get("packages", {}).items():
        if p["floor"] > min(p["top"], len(rungs) - 1):
            add_mistake(
                ("packages", name, "floor"),
                f"rung {p['floor']} is above the highest, {min(p['top'], len(rungs) - 1)}",
            )
        if p["join_target"] > p["patience"]:
            add_mistake(("packages", name, "join_target"), "the join target is longer than patience")
    packages = data.get("packages", {})
    for name in data["door"].get("package_rates", {}):
        if name not in packages:
            near = difflib.get_close_matches(name, sorted(packages), 1, 0.5)
            hint = f"is {near[0]!r} meant?" if near else f"there are {', '.join(sorted(packages))}"
            add_mistake(("door", "package_rates", name), f"no package {name!r}", hint)
    cells = max(1, len(racks)) * max((len(r.get("hosts", {})) for r in racks.values()), default=0)
    titles: dict[str, Any] = dict(data.get("titles", {}))
    pools = data.get("pools", {})
    routed: dict[str, str] = {}
    for name, route in data.get("routes", {}).items():
        pool = pools.get(route["pool"])
        if pool is None:
            near = difflib.get_close_matches(route["pool"], sorted(pools), 1, 0.5)
            hint = f"is {near[0]!r} meant?" if near else f"there are {', '.join(sorted(pools)) or 'none'}"
            add_mistake(("routes", name, "pool"), f"no pool {route['pool']!r}", hint)
            continue
        for i, title in enumerate(route["titles"]):
            if title in titles:
                where = f"route {routed[title]}" if title in routed else "titles"
                add_mistake(("routes", name, "titles", str(i)), f"{title!r} is placed by {where} already")
            titles[title], routed[title] = pool, name
    for path, parts in ((("titles",), data.get("titles", {})), (("pools",), pools)):
        for name, placement in parts.items():
            if placement["first"] >= max(1, cells):
                add_mistake((*path, name, "first"), f"{placement['first']} is no cell, there are {cells}")
    if not data["ladder"]:
        add_mistake(("ladder",), "a ladder has a rung at least")
    for part in ("packages", "gateways"):
        if not data.get(part):
            add_mistake((part,), "there must be one at least")
    if mistakes:
        return
    raw = site_data(data, cells, titles)
    try:
        loaded.site = msgspec.convert(raw, Site)
        for field_path, reason in region_mistakes(loaded.site):
            add_mistake(field_path, reason)
        if mistakes:
            loaded.site = None
            return
        check(loaded.site, "site")
    except (msgspec.ValidationError, BadInput) as error:
        mistakes.append(Mistake(At(next(iter(loaded.texts), ""), 1, 1), str(error)))


def site_data(data: dict[str, Any], cells: int, titles: dict[str, Any]) -> dict[str, Any]:
    """Returns the site's records as plain data.

    The k-th host of the r-th rack is in cell r + k * racks, so a run of consecutive cells spans the racks.
    The decision module takes the cell modulo the number of racks as the rack.
    """
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


def locate(body: Vertex, path: tuple[str, ...]) -> At:
    """Returns where a part of the result was written, or else its nearest written ancestor."""
    found, at = body, body.at() or At("", 1, 1)
    for name in path:
        if found.items is not None and name.isdigit() and int(name) < len(found.items):
            found = found.items[int(name)]
        elif name in found.fields:
            found = found.fields[name]
        else:
            break
        written = [s.node.at for s in found.conjuncts if s.node.at.file != SCHEMA]
        at = written[0] if written else at
    return at
