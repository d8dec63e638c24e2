"""What is asked of the lab and what one run gives: the records of plans and runs."""

from collections.abc import Iterator, Mapping
from dataclasses import dataclass
from pathlib import Path
from typing import Annotated, Any

import msgspec
from blake3 import blake3

from ledgehitch.config import BadInput, Day, Fault, read_day
from ledgehitch.config.day import check_day
from ledgehitch.config.load import canonical, load
from ledgehitch.config.read import parse_record
from ledgehitch.config.site import Amount, Name, Positive, Record
from ledgehitch.standins.plan import site_of

AS_IS = "as it is"
PORTS = range(1, 1 << 20)  # the model listens nowhere: any numbers will do


class Plan(Record, kw_only=True, frozen=True):
    """Days × sizes × faults × settings × seeds. Times are seconds of the machine, not of the model."""

    name: Name
    days: Annotated[list[str], msgspec.Meta(min_length=1)]
    seeds: Annotated[int, msgspec.Meta(ge=1, le=10_000)] = 8
    first_seed: int = 1
    sizes: dict[Name, dict[str, Any]] = {}
    faults: dict[Name, list[Fault]] = {}
    settings: dict[Name, dict[str, Any]] = {}
    limit: Positive = 120.0  # for one run
    within: Amount = 0.0  # for all runs together on the clock; 0: as long as it takes
    weight: Positive = 1.0


@dataclass(frozen=True)
class Run:
    """One day of a plan with one size, one set of faults, one setting and one seed. `key`: its digest."""

    plan: str
    day: str
    size: str
    fault: str
    setting: str
    seed: int
    key: str
    what: Day


def read_plan(path: Path) -> Plan:
    """A plan in the configuration language; what is wrong is told with file, line and column."""
    loaded = load(path, "#Plan")
    if loaded.mistakes:
        raise BadInput("\n".join(m.describe() for m in loaded.mistakes))
    return parse_record(msgspec.json.encode(loaded.data), Plan, str(path))


def changed(day: Day, changes: Mapping[str, Any], where: str) -> Day:
    """The day with settings by dotted path, such as `shape.hosts` or `site.terms.cold_share`. Raises
    `BadInput` for one that does not exist."""
    data = plain(day)
    for path, value in changes.items():
        *parents, last = path.split(".")
        at = data
        for n, name in enumerate(parents):
            inside_site = parents[0] == "site" and n > 0
            if not isinstance(at, dict) or name not in at and not inside_site:
                raise BadInput(f"{where}: {path}: there is no setting {'.'.join(parents[: n + 1])!r}")
            at = at.setdefault(name, {})
        if not isinstance(at, dict) or last not in at and not (parents and parents[0] == "site"):
            raise BadInput(f"{where}: {path}: there is no such setting")
        at[last] = value
    data["site"] = {part: msgspec.Raw(msgspec.json.encode(value)) for part, value in data["site"].items()}
    try:
        made = msgspec.convert(data, Day)
    except msgspec.ValidationError as wrong:
        raise BadInput(f"{where}: {wrong}") from None
    check_day(made, where)
    try:
        site_of(made, 1, PORTS)
    except BadInput as wrong:
        raise BadInput(f"{where}: {wrong}") from None
    return made


def runs_of(plan: Plan, beside: Path) -> Iterator[Run]:
    """All runs of a plan, one seed of everything after the other, so that a part of them can be compared.
    `beside`: the directory that the days' names are relative to."""
    whole: list[tuple[str, str, str, str, Day]] = []
    for file in plan.days:
        day = read_day(beside / file)
        for size, sized in (plan.sizes or {AS_IS: {}}).items():
            for fault, faults in (plan.faults or {AS_IS: day.faults}).items():
                for setting, changes in (plan.settings or {AS_IS: {}}).items():
                    where = f"plan {plan.name}: {day.name}, {size}, {setting}"
                    faulty = msgspec.structs.replace(day, faults=list(faults))
                    made = changed(faulty, {**sized, **changes}, where)
                    whole.append((day.name, size, fault, setting, made))
    for seed in range(plan.first_seed, plan.first_seed + plan.seeds):
        for day_name, size, fault, setting, made in whole:
            key = blake3(canonical([plain(made), seed])).hexdigest(16)
            yield Run(plan.name, day_name, size, fault, setting, seed, key, made)


def plain(day: Day) -> Any:
    """The day as plain data, with the parts of the site that it wants otherwise."""
    data = msgspec.to_builtins(msgspec.structs.replace(day, site={}))
    return data | {"site": {part: msgspec.json.decode(raw) for part, raw in day.site.items()}}


def code_version() -> str:
    """A digest of the program's own sources: results of other versions are other results."""
    digest, root = blake3(), Path(__file__).parent.parent
    for path in sorted(root.rglob("*.py")):
        digest.update(str(path.relative_to(root)).encode() + b"\0" + path.read_bytes())
    return digest.hexdigest(8)
