"""What a scale run is to do: the record of a plan, and what is refused before anything starts. Free of I/O
but for the reading of the file. Times are seconds.
"""

from collections.abc import Callable, Mapping
from pathlib import Path
from typing import Annotated, Literal, NamedTuple

import msgspec

from ledgehitch.config.read import BadInput, read_record
from ledgehitch.config.site import Amount, Count, Name, Positive, Record, Share
from ledgehitch.owners.facts import BUDGETS, DUTIES, rank_members

MOST_PROCESSES = 300  # of a run, with the copies that write votes to disk
LONGEST = 3600.0  # seconds of a run
START = "start"  # the phase before all others

# What a run takes at most, by measurement on loopback with room to spare: for the refusal of a plan alone.
HOLLOW_PROCESS = 80e6  # bytes of a process without members
REAL_PROCESS = 100e6
OTHERS = 600e6  # relays, stand-ins, the run itself
MEMBER = 1.5e6  # bytes of a hollow member, and for each other that it knows
KNOWN = 3e3
OPEN = 40  # descriptors of a process beside its members' sockets
AT_ONCE = 2  # copies of a hollow process that write votes at one time

Kind = Literal["wires_cut", "wires_bad", "daemon_still", "daemon_killed", "restarts"]
Way = Literal["both", "there", "back"]


class Step(Record, kw_only=True, frozen=True):
    """One fault of a phase. `who`: a member's name, "zone NAME", "rack NAME", "region NAME", "process N" (of
    hollow ones) or "owner of DUTY". It is over `len` seconds after `at`."""

    kind: Kind
    at: Amount
    len: Positive
    who: str = ""
    way: Way = "both"  # of a cut: what `who` send, what they hear, or both
    loss: Share = 0.0  # of bad wires: of all messages
    late: Amount = 0.0  # the same: seconds, drawn up to it
    count: Count = 0  # of restarts, spread over `len`; of hollow members
    away: Positive = 2.0  # seconds that each restarted one is away
    farewell: bool = False  # of restarts: it says that it is back soon


class Phase(Record, kw_only=True, frozen=True):
    name: Name
    length: Annotated[float, msgspec.Meta(gt=0, le=600)]
    viewers: bool = False  # whether viewers ask the real members
    faults: list[Step] = []


class Load(Record, kw_only=True, frozen=True):
    """`rate`: viewers a second at the real members together; `package_rate` and `set_ups`: the whole fleet's
    limits. `hollow`: what all hollow members together want of the whole of each limit."""

    rate: Positive = 30.0
    watch: Positive = 0.5
    servers: Annotated[int, msgspec.Meta(ge=1, le=100)] = 9
    package_rate: Positive = 20.0
    set_ups: Positive = 3000.0
    hollow: Share = 0.5


class Plan(Record, kw_only=True, frozen=True):
    """`members`: real and hollow together, in `processes` for the hollow ones and `relays` for what crosses.
    `regions`: groups of zones (z0, z1 ...) by name; left out, the site has one."""

    name: Name
    seed: int = 1
    members: Annotated[int, msgspec.Meta(ge=4, le=2000)]
    real: Annotated[int, msgspec.Meta(ge=0, le=12)] = 6
    processes: Annotated[int, msgspec.Meta(ge=1)] = 11
    relays: Annotated[int, msgspec.Meta(ge=1, le=8)] = 3
    zones: Annotated[int, msgspec.Meta(ge=1, le=32)] = 6
    rack: Annotated[int, msgspec.Meta(ge=1)] = 16  # members of a rack
    regions: dict[Name, list[Name]] = {}
    lease: Annotated[float, msgspec.Meta(ge=0.5, le=600)] = 10.0
    start_over: Annotated[float, msgspec.Meta(ge=0, le=300)] = 0.0  # seconds; 0: all at once
    settle: Annotated[float, msgspec.Meta(gt=0, le=300)] = 30.0  # seconds of the start, before the phases
    load: Load = Load()
    phases: Annotated[list[Phase], msgspec.Meta(min_length=1, max_length=40)]

    def resized(self, members: int) -> "Plan":
        """The same with other members, and the restarts of a day in proportion."""
        by = members / self.members
        phases = [
            msgspec.structs.replace(
                p,
                faults=[
                    msgspec.structs.replace(s, count=max(1, round(s.count * by))) if s.count else s
                    for s in p.faults
                ],
            )
            for p in self.phases
        ]
        return msgspec.structs.replace(self, members=members, phases=phases)


class Machine(NamedTuple):
    """What there is: bytes of memory, descriptors of a process, processes."""

    memory: float
    descriptors: int
    processes: int


class Seat(NamedTuple):
    """Where a member stands. `process`: -1 for a real one."""

    name: str
    zone: str
    rack: str
    region: str
    process: int


def read_plan(path: Path, members: int = 0, seed: int | None = None) -> Plan:
    """`members`: instead of the plan's own. Raises `BadInput` with file and place."""
    plan = read_record(path, Plan)
    if members:
        plan = plan.resized(members)
    if seed is not None:
        plan = msgspec.structs.replace(plan, seed=seed)
    return plan


def seats(plan: Plan) -> list[Seat]:
    """All members in the order of the site: zones one after the other, real members spread over them, hollow
    processes holding members of all zones."""
    n, real = plan.members, _real(plan)
    region_of = {zone: region for region, some in plan.regions.items() for zone in some}
    found, hollow = list[Seat](), 0
    in_zone = dict[str, int]()
    for i in range(n):
        zone = f"z{i * plan.zones // n}"
        place = in_zone[zone] = in_zone.get(zone, -1) + 1
        process = -1
        if i not in real:
            process, hollow = hollow % plan.processes, hollow + 1
        rack = f"{zone}.r{place // plan.rack}"
        found.append(Seat(f"g{i}", zone, rack, region_of.get(zone, ""), process))
    return found


def _real(plan: Plan) -> set[int]:
    """The numbers of the real members. Those that should lend to all and to their regions are among them, so
    that what a lender takes is seen at a process of its own; the others fill up zones."""
    zones = [i * plan.zones // plan.members for i in range(plan.members)]
    order = rank_members(BUDGETS, [f"g{i}" for i in range(plan.members)])
    firsts = [order[0]]
    for some in plan.regions.values():
        firsts += [i for i in order if f"z{zones[i]}" in some][:1]
    real = set(list(dict.fromkeys(firsts))[: plan.real])
    while len(real) < min(plan.real, plan.members):
        have = [zones[i] for i in sorted(real)]
        free = [i for i in range(plan.members) if i not in real]
        real.add(min(free, key=lambda i: (have.count(zones[i]), i)))
    return real


def meant(who: str, all_of: list[Seat], owners: Mapping[str, str] | None = None) -> list[str]:
    """The members that a fault names. `owners`: by duty, where it names one of them. Raises `BadInput`."""
    kind, _, which = who.partition(" ")
    found = {
        "zone": [s.name for s in all_of if s.zone == which],
        "rack": [s.name for s in all_of if s.rack == which],
        "region": [s.name for s in all_of if which and s.region == which],
        "process": [s.name for s in all_of if s.process >= 0 and str(s.process) == which],
        "owner": [],
    }.get(kind, [s.name for s in all_of if s.name == who])
    if kind == "owner":
        duty = which.removeprefix("of ")
        if duty not in DUTIES:
            raise BadInput(f"{who!r}: no duty {duty!r}, there are {', '.join(DUTIES)}")
        return [owners[duty]] if owners and duty in owners else []
    if not found:
        raise BadInput(f"{who!r} is no member, zone, rack, region, process or owner of this plan")
    return found


def check(plan: Plan, where: str, machine: Machine) -> None:
    """What the types do not say. Raises `BadInput` that names the place."""

    def wrong(field: str, reason: str) -> None:
        raise BadInput(f"{where}: {field}: {reason}")

    zones = [f"z{i}" for i in range(plan.zones)]
    if plan.real < 1:
        wrong("real", "without a real member nothing says that the hollow ones are like one")
    if plan.members - plan.real < plan.processes:
        wrong("processes", f"{plan.processes}, for {plan.members - plan.real} hollow members")
    if plan.zones > plan.members:
        wrong("zones", f"{plan.zones}, for {plan.members} members")
    given = [zone for some in plan.regions.values() for zone in some]
    for region, some in plan.regions.items():
        if not some:
            wrong(f"regions.{region}", "a region without zones")
        for zone in some:
            if zone not in zones:
                wrong(f"regions.{region}", f"no zone {zone!r}, there are {zones[0]} to {zones[-1]}")
            if given.count(zone) > 1:
                wrong(f"regions.{region}", f"zone {zone!r} is in two regions")
    if plan.regions and (lone := [z for z in zones if z not in given]):
        wrong("regions", f"zone {lone[0]!r} is in none of them")
    if plan.start_over > plan.settle:
        wrong("start_over", f"{plan.start_over:g} s, the start is over after {plan.settle:g} s")
    all_of, names = seats(plan), list[str]()
    for i, phase in enumerate(plan.phases):
        if phase.name == START:
            wrong(f"phases[{i}].name", f"{START!r} is the name of the start of all")
        if phase.name in names:
            wrong(f"phases[{i}].name", f"{phase.name!r} is named twice")
        names.append(phase.name)
        _check_steps(phase, f"{where}: phases[{i}]", all_of)
    _check_size(plan, wrong, machine)


def _check_steps(phase: Phase, where: str, all_of: list[Seat]) -> None:
    at = 0.0
    for j, step in enumerate(phase.faults):
        place = f"{where}.faults[{j}]"
        if step.at < at:
            raise BadInput(f"{place}.at: {step.at:g} s comes after {at:g} s, times must rise")
        at = step.at
        if step.at + step.len > phase.length:
            raise BadInput(f"{place}.len: over at {step.at + step.len:g} s, the phase at {phase.length:g} s")
        if step.kind == "restarts" and (step.who or not step.count):
            raise BadInput(f"{place}: restarts have a count, and meet hollow members drawn by the seed")
        if step.kind == "wires_bad" and step.who:
            raise BadInput(f"{place}.who: all wires are bad or none")
        if step.kind in ("wires_cut", "daemon_still", "daemon_killed"):
            try:
                met = meant(step.who, all_of)
            except BadInput as problem:
                raise BadInput(f"{place}.who: {problem}") from None
            process = {s.process for s in all_of if s.name in met}
            if step.kind == "daemon_still" and not step.who.startswith("process ") and process != {-1}:
                raise BadInput(f"{place}.who: a hollow member stands still with its whole process alone")


def _check_size(plan: Plan, wrong: Callable[[str, str], None], machine: Machine) -> None:
    took = size_of(plan)
    if sum(p.length for p in plan.phases) + plan.settle > LONGEST:
        wrong("phases", f"they take more than {LONGEST:g} s together")
    if plan.processes > 12:
        wrong("processes", f"{plan.processes}, hollow members live in a dozen at most")
    if took.memory > machine.memory / 2:
        wrong(
            "members",
            f"they need some {took.memory / 1e9:.1f} GB, half of memory is {machine.memory / 2e9:.1f} GB",
        )
    if took.descriptors > machine.descriptors / 2:
        wrong(
            "members",
            f"they need some {took.descriptors} descriptors, half of what there is are "
            f"{machine.descriptors // 2}",
        )
    most = min(machine.processes // 2, MOST_PROCESSES)
    if took.processes > most:
        wrong("members", f"they need some {took.processes} processes, at most {most} may be")


def size_of(plan: Plan) -> Machine:
    """What a run takes at most, about."""
    hollow = plan.members - plan.real
    memory = (
        plan.processes * HOLLOW_PROCESS
        + (plan.real + 1) * REAL_PROCESS
        + OTHERS
        + hollow * (MEMBER + KNOWN * plan.members)
    )
    processes = plan.processes * (1 + AT_ONCE) + 2 * (plan.real + 1) + plan.relays + 4
    return Machine(memory, 2 * plan.members + OPEN * processes, processes)
