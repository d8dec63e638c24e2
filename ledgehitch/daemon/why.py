"""Explains a viewing from the flight record: its inputs and decisions as text for operators."""

from collections.abc import Iterable
from pathlib import Path
from typing import Any

from ledgehitch.gateway.record import read_entries, segment_paths
from ledgehitch.interface import Outcome

REPORT_KINDS = {1: "share delivered", 2: "rung in force", 3: "use of the link", 4: "use of the uplink"}


def explain_viewing(path: Path, viewing_id: int) -> list[str]:
    """Returns the lines of a record on one viewing, oldest first; the first one is its request."""
    lines: list[str] = []
    for segment in segment_paths(path):
        lines += explain_entries(read_entries(segment), viewing_id)
    return lines


def explain_entries(entries: Iterable[list[Any]], viewing_id: int) -> list[str]:
    """Returns a line with its time for each entry on one viewing."""
    lines = []
    for name, *args in entries:
        if name == "pulled":
            lines += [
                f"{args[0]:.3f}  {text}" for d in args[1] if (text := _describe_decision(d, viewing_id))
            ]
        elif len(args) > 1 and args[1] == viewing_id:
            text = _describe_input(name, args)
            if text:
                lines.append(f"{args[0]:.3f}  {text}")
    return lines


def _describe_decision(decision: list[Any], viewing_id: int) -> str:
    match decision:
        case ["TuneIn", n, host, within] if n == viewing_id:
            return f"-> tune in at {host}, answer wanted within {within:.3f} s"
        case ["SetRung", n, rung] if n == viewing_id:
            return f"-> rung {rung}"
        case ["Block", n, retry_after] if n == viewing_id:
            return "-> blocked" + (f", come again in {retry_after:.1f} s" if retry_after else "")
        case ["Abort", n] if n == viewing_id:
            return "-> aborted"
    return ""


def _describe_input(name: str, args: list[Any]) -> str:
    match name, args[2:]:
        case "asked", [package, title, first, spread, top, patience]:
            return (
                f"asked for {title} as {package}, held by cells {first} to {first + spread - 1}, rungs up to "
                f"{top}, patience up to {patience:.3f}"
            )
        case "opened", [host, number, latency]:
            return f"tune-in {number + 1} at {host} plays after {latency:.3f} s"
        case "told", [host, kind, value]:
            return f"{host} says: {REPORT_KINDS.get(kind, f'kind {kind}')} {value:g}"
        case "ended", [closed, code, host, latency, number, *_]:
            how = Outcome(code).name.lower().replace("_", " ") if code in list(Outcome) else f"code {code}"
            what = "the viewing ended" if closed else f"tune-in {number + 1} failed"
            return f"{what} at {host}: {how}" + (f" after {latency:.3f} s" if latency else "")
        case "left", _:
            return "the viewer left"
    return ""
