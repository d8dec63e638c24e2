"""What is shown of a fleet, as rows and words. Free of I/O."""

from collections.abc import Mapping, Sequence
from typing import Any

from ledgehitch.daemon.facts import State
from ledgehitch.fleet.found import QueryResult

KIND_COLOURS = {"answered": "green", "draining": "yellow", "slow": "yellow"}
MAX_HOSTS_SHOWN = 14


def zone_rows(found: Sequence[QueryResult], zones: Mapping[str, str]) -> list[tuple[str, ...]]:
    """For each hall: gateways that serve and all, viewings, asked for, not let play, the worst p99."""
    rows: list[tuple[str, ...]] = []
    for hall in sorted(set(zones.values())):
        some = [f for f in found if zones.get(f.name) == hall]
        states = [f.state for f in some if f.state is not None]
        serve = sum(s.phase == "ready" for s in states)
        asked = sum(s.counts.asked for s in states)
        bad = sum(s.counts.blocked + s.counts.aborted + s.counts.turned_away for s in states)
        p99 = max((s.joins_ms.get("99", 0.0) for s in states), default=0.0)
        share = f"{100 * bad / asked:.1f}%" if asked else "-"
        viewings = sum(s.viewings for s in states)
        worst = f"{p99:.0f} ms" if p99 else "-"
        rows.append((hall or "-", f"{serve} of {len(some)}", str(viewings), str(asked), share, worst))
    return rows


def host_lines(state: State) -> list[str]:
    """Media hosts as one gateway sees them, the fullest first."""
    order = sorted(state.hosts, key=lambda h: (-state.hosts[h].viewings, h))
    words = [
        f"{h:12} {state.hosts[h].viewings:5}{'' if state.hosts[h].in_service else '  not in service'}"
        for h in order[:MAX_HOSTS_SHOWN]
    ]
    return words + ([f"and {len(order) - MAX_HOSTS_SHOWN} more"] if len(order) > MAX_HOSTS_SHOWN else [])


def plan_summary(lines: Sequence[Mapping[str, Any]]) -> list[str]:
    """A plan from its journal: how far it is, and its last steps."""
    if not lines or lines[0].get("ev") != "plan":
        return []
    plan = lines[0]["plan"]
    last: dict[str, str] = {}
    for line in lines[1:]:
        if "gateway" in line:
            last[str(line["gateway"])] = str(line["ev"])
    total = len(plan["targets"])
    over = sum(step in ("done", "skipped") for step in last.values())
    failed = sum(step == "failed" for step in last.values())
    ends = [line for line in lines if line["ev"] in ("ended", "stopped", "given up")]
    moving = sorted(g for g, step in last.items() if step in ("intended", "sent"))
    if ends:
        word = f"{ends[-1]['ev']}: {ends[-1].get('why', '')}".removesuffix(": ")
    else:
        word = "under way" + (f"; now {', '.join(moving[:6])}" if moving else "")
    head = f"{plan['id']}: {plan['action']}, {over} of {total} done"
    head += f", {failed} failed" if failed else ""
    steps = [line for line in lines[-5:] if "gateway" in line]
    return [head, word, *(format_line(line) for line in steps)]


def format_line(line: Mapping[str, Any]) -> str:
    return "  ".join(str(line[k]) for k in ("ev", "gateway", "why") if k in line)
