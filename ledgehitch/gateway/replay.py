"""A record fed to the module again: the first difference, or that there is none."""

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
    """What a replay found. `difference` is empty when there is none."""

    entries: int = 0
    pulls: int = 0
    decisions: int = 0
    difference: str = ""
    same_module: bool = True


def replay_record(path: Path) -> ReplayResult:
    """Replays each segment from its checkpoint (the state that the record holds, not a guess at it)."""
    found = segment_paths(path)
    if not found:
        raise BadRecord(f"{path}: no record there")
    verdict = ReplayResult()
    for segment in found:
        gateway: Gateway | None = None
        for number, (name, *args) in enumerate(read_entries(segment), 1):
            verdict.entries += 1
            if name == "head":
                verdict.same_module &= args[1] == module_digest()
            elif name == "state":
                gateway = load_checkpoint(args[0])
            elif gateway is None:
                raise BadRecord(f"{segment}: entry {number}: no checkpoint before it")
            elif name == "pulled":
                verdict.pulls += 1
                verdict.decisions += len(args[1])
                difference = _first_difference(gateway, args[0], args[1])
                if difference:
                    verdict.difference = f"{segment}: entry {number}, at {args[0]:.6f}: {difference}"
                    return verdict
            elif name in INPUTS:
                if name == "listed":
                    args[2] = [Row(**row) if isinstance(row, dict) else Row(*row) for row in args[2]]
                INPUTS[name](gateway, *args)
            else:
                raise BadRecord(f"{segment}: entry {number}: {name!r} is no input of the module")
    return verdict


def _first_difference(gateway: Gateway, now: float, recorded: list[Any]) -> str:
    for i, before in enumerate(recorded):
        decision = gateway.decide(now)
        after = encode_decision(decision) if decision is not None else None
        if after != before:
            return f"decision {i + 1} was {before}, is {after}"
    more = gateway.decide(now)
    return f"a further decision {encode_decision(more)}" if more is not None else ""
