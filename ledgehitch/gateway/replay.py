"""Replays a flight record: feeds its inputs to the module again and compares the decisions."""

from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from ledgehitch.brain import Gateway
from ledgehitch.gateway.record import (
    BadRecord,
    encode_decision,
    load_checkpoint,
    module_digest,
    read_entries,
    segment_paths,
)
from ledgehitch.interface import Row

# The method of `Gateway` that takes each recorded input, by the name under which records hold it.
INPUTS: dict[str, Callable[..., None]] = {
    "listed": Gateway.on_host_list,
    "asked": Gateway.on_viewing_request,
    "opened": Gateway.on_tune_in_success,
    "told": Gateway.on_report,
    "ended": Gateway.on_tune_in_end,
    "left": Gateway.on_viewer_left,
    "probed": Gateway.on_probe_result,
    "peer_said": Gateway.on_peer_message,
}


@dataclass
class ReplayResult:
    """The result of a replay. `difference` describes the first difference, and is empty without one."""

    entries: int = 0
    pulls: int = 0
    decisions: int = 0
    difference: str = ""
    same_module: bool = True


def replay_record(path: Path) -> ReplayResult:
    """Replays each segment from the checkpoint that it holds, up to the first difference."""
    found = segment_paths(path)
    if not found:
        raise BadRecord(f"{path}: no flight record found")
    result = ReplayResult()
    for segment in found:
        gateway: Gateway | None = None
        for number, (name, *args) in enumerate(read_entries(segment), 1):
            result.entries += 1
            if name == "head":
                result.same_module &= args[1] == module_digest()
            elif name == "state":
                gateway = load_checkpoint(args[0])
            elif gateway is None:
                raise BadRecord(f"{segment}: entry {number} has no checkpoint before it")
            elif name == "pulled":
                result.pulls += 1
                result.decisions += len(args[1])
                difference = _first_difference(gateway, args[0], args[1])
                if difference:
                    result.difference = f"{segment}: entry {number}, at {args[0]:.6f}: {difference}"
                    return result
            elif name in INPUTS:
                if name == "listed":
                    args[2] = [Row(**row) if isinstance(row, dict) else Row(*row) for row in args[2]]
                INPUTS[name](gateway, *args)
            else:
                raise BadRecord(f"{segment}: entry {number}: {name!r} is not an input of the module")
    return result


def _first_difference(gateway: Gateway, now: float, recorded: list[Any]) -> str:
    for i, expected in enumerate(recorded):
        decision = gateway.decide(now)
        actual = encode_decision(decision) if decision is not None else None
        if actual != expected:
            return f"decision {i + 1} was {expected}, is {actual}"
    extra = gateway.decide(now)
    return f"a further decision {encode_decision(extra)}" if extra is not None else ""
