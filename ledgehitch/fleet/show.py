"""Formats the state of a fleet as table rows and lines. Free of I/O."""

from collections.abc import Mapping, Sequence
from typing import Any

from ledgehitch.daemon.facts import State
from ledgehitch.fleet.found import QueryResult

KIND_COLOURS = {"answered": "green", "draining": "yellow", "slow": "yellow"}
MAX_HOSTS_SHOWN = 14


def zone_rows(found: Sequence[QueryResult], zones: Mapping[str, str]) -> list[tuple[str, ...]]:
    """Returns a row for each zone.

    Columns: gateways ready of all, viewings, requests, share that failed, worst p99.
    """
    rows: list[tuple[str, ...]] = []
    for zone in sorted(set(zones.values())):
        results = [f for f in found if zones.get(f.name) == zone]
        states = [f.state for f in results if f.state is not None]
        ready = sum(s.phase == "ready" for s in states)
        requested = sum(s.counts.asked for s in states)
        failed_joins = sum(s.counts.blocked + s.counts.aborted + s.counts.turned_away for s in states)
        p99 = max((s.joins_ms.get("99", 0.0) for s in states), default=0.0)
        share = f"{100 * failed_joins / requested:.1f}%" if requested else "-"
        viewings = sum(s.viewings for s in states)
        worst = f"{p99:.0f} ms" if p99 else "-"
        rows.append((zone or "-", f"{ready} of {len(results)}", str(viewings), str(requested), share, worst))
    return rows


def host_lines(state: State) -> list[str]:
    """Returns lines on the media hosts as one gateway sees them, the most loaded first."""
    order = sorted(state.hosts, key=lambda h: (-state.hosts[h].viewings, h))
    lines_shown = [
        f"{h:12} {state.hosts[h].viewings:5}{'' if state.hosts[h].in_service else '  not in service'}"
        for h in order[:MAX_HOSTS_SHOWN]
    ]
    return lines_shown + (
        [f"and {len(order) - MAX_HOSTS_SHOWN} more"] if len(order) > MAX_HOSTS_SHOWN else []
    )


def plan_summary(lines: Sequence[Mapping[str, Any]]) -> list[str]:
    """Returns lines on a plan from its journal: its progress and its last steps."""
    if not lines or lines[0].get("ev") != "plan":
        return []
    plan = lines[0]["plan"]
    last_steps: dict[str, str] = {}
    for line in lines[1:]:
        if "gateway" in line:
            last_steps[str(line["gateway"])] = str(line["ev"])
    total = len(plan["targets"])
    done = sum(step in ("done", "skipped") for step in last_steps.values())
    failed = sum(step == "failed" for step in last_steps.values())
    end_lines = [line for line in lines if line["ev"] in ("ended", "stopped", "given up")]
    under_way = sorted(g for g, step in last_steps.items() if step in ("intended", "sent"))
    if end_lines:
        status = f"{end_lines[-1]['ev']}: {end_lines[-1].get('why', '')}".removesuffix(": ")
    else:
        status = "under way" + (f"; now {', '.join(under_way[:6])}" if under_way else "")
    head = f"{plan['id']}: {plan['action']}, {done} of {total} done"
    head += f", {failed} failed" if failed else ""
    steps = [line for line in lines[-5:] if "gateway" in line]
    return [head, status, *(format_line(line) for line in steps)]


def format_line(line: Mapping[str, Any]) -> str:
    """Returns a journal line as text: event, gateway and reason."""
    return "  ".join(str(line[k]) for k in ("ev", "gateway", "why") if k in line)
