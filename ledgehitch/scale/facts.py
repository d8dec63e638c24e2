"""What one measurement gave, as it is kept: a file of points under `docs/capacity/kept/`.

Seconds, bytes and plain counts throughout. A figure that is a rate says so in its name (`bytes_per_s`); one
of a core's time is `cpu_s_per_s`. Names of figures that roles share: `COMMON`.
"""

import datetime
import os
from collections.abc import Iterable
from pathlib import Path
from typing import Annotated, Literal

import msgspec

from ledgehitch.config.read import BadInput, read_record
from ledgehitch.config.site import Amount, Name, Positive, Record

VERSION = 1
ROLES = ("data-path", "control", "owner", "control-machine", "discovery", "server", "operator")
# a share of a core; bytes sent and received; frames both ways; resident memory above the process without it
COMMON = ("cpu_s_per_s", "bytes_out_per_s", "bytes_in_per_s", "messages_per_s", "memory_bytes")
Role = Literal["data-path", "control", "owner", "control-machine", "discovery", "server", "operator"]
Kind = Literal["real", "hollow", "virtual", "call"]  # `call`: the function alone; `virtual`: in virtual time
FigureName = Annotated[str, msgspec.Meta(min_length=1, max_length=64, pattern="^[a-z][a-z0-9_]*$")]


class Machine(Record, kw_only=True, frozen=True):
    cores: Annotated[int, msgspec.Meta(ge=1)]
    memory_bytes: Annotated[int, msgspec.Meta(ge=1)]


class Point(Record, kw_only=True, frozen=True):
    """One measurement at one size. `load1`: the load average beside it; `seconds`: how long it took."""

    role: Role
    mechanism: Name
    phase: Name
    size: Positive
    size_unit: Name
    figures: Annotated[dict[FigureName, float], msgspec.Meta(min_length=1)]
    kind: Kind = "real"
    seed: int = 0
    load1: Amount
    seconds: Amount


class Kept(Record, kw_only=True, frozen=True):
    """The points of one command. `at`: UTC, ISO 8601."""

    version: Literal[1] = 1
    command: Annotated[str, msgspec.Meta(min_length=1)]
    at: Annotated[str, msgspec.Meta(pattern=r"^\d{4}-\d\d-\d\dT\d\d:\d\d:\d\dZ$")]
    machine: Machine
    points: Annotated[list[Point], msgspec.Meta(min_length=1)]


def read_kept(path: Path) -> Kept:
    """Raises `BadInput` that names the file and the place in it."""
    kept = read_record(path, Kept)
    units: dict[tuple[str, str, str, str], str] = {}
    for n, point in enumerate(kept.points):
        what = (point.kind, point.role, point.mechanism, point.phase)
        if units.setdefault(what, point.size_unit) != point.size_unit:
            raise BadInput(
                f"{path}: points[{n}].size_unit: {point.size_unit!r}, where an earlier point of "
                f"{' '.join(what)} has {units[what]!r}"
            )
    return kept


def read_all(directory: Path) -> dict[str, Kept]:
    """Every kept result by name, in the order of names."""
    if not directory.is_dir():
        raise BadInput(f"{directory}: no directory of kept results")
    return {path.stem: read_kept(path) for path in sorted(directory.glob("*.json"))}


def this_machine() -> Machine:
    memory = os.sysconf("SC_PAGE_SIZE") * os.sysconf("SC_PHYS_PAGES")
    return Machine(cores=os.cpu_count() or 1, memory_bytes=memory)


def load_now() -> float:
    return round(os.getloadavg()[0], 2)


def kept_now(command: str, points: Iterable[Point]) -> Kept:
    now = datetime.datetime.now(datetime.UTC).strftime("%Y-%m-%dT%H:%M:%SZ")
    return Kept(command=command, at=now, machine=this_machine(), points=list(points))


def write_kept(path: Path, kept: Kept) -> None:
    """The whole file or nothing of it; the text is the same for the same facts."""
    lines = [msgspec.json.encode(point).decode() for point in kept.points]
    head = msgspec.to_builtins(kept) | {"points": []}
    text = msgspec.json.format(msgspec.json.encode(head), indent=1).decode().removesuffix("[]\n}")
    made = path.with_suffix(".new")
    try:
        path.parent.mkdir(parents=True, exist_ok=True)
        made.write_text(text + "[\n  " + ",\n  ".join(lines) + "\n ]\n}\n", "utf-8")
        made.replace(path)
    except OSError as problem:
        raise BadInput(f"{path}: not kept: {problem.strerror}") from None
