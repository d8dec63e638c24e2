"""Judges from a tape alone that one owner at a time worked, and that a plan touched each gateway once.

Lines, at the wires between daemons (`standins/wires.py`):
    step      id, owner, to, path, duty, term, then, ticket: an owner's call set out
    step_in   id: it was handed to the gateway
    step_out  id, status (0: nobody listened, -1: no whole answer), boot, started_by, phase
At the receiver of verdicts:
    verdict   owner, term, window, status, verdict
"""

from collections import deque
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass
from typing import Any

from ledgehitch.proof.tape import Line


@dataclass(frozen=True)
class Violation:
    """A promise that was not kept. `lines`: where the tape shows it."""

    invariant: str
    message: str
    times: tuple[float, ...]
    lines: tuple[str, ...]


class Step:
    """One call as the wires saw it."""

    def __init__(self, line: Line) -> None:
        self.line = line
        self.owner, self.recipient, self.duty = line["owner"], line["to"], line["duty"]
        self.term: int = line["term"]
        self.is_drain = line["path"] == "/v1/drain"
        self.ticket: str = line.get("ticket", "")
        self.delivered_at = self.answered_at = float("inf")
        self.status = 0
        self.answer: dict[str, Any] = {}

    @property
    def accepted(self) -> bool:
        return self.status == 200


def collect_steps(lines: Iterable[Line]) -> list[Step]:
    found: dict[int, Step] = {}
    for line in lines:
        if line["ev"] == "step":
            found[line["id"]] = Step(line)
        elif line["ev"] == "step_in":
            found[line["id"]].delivered_at = line["t"]
        elif line["ev"] == "step_out":
            step = found[line["id"]]
            step.answered_at, step.status, step.answer = line["t"], line["status"], line
    return list(found.values())


def check_fencing(steps: Sequence[Step]) -> list[Violation]:
    """At one receiver no effect is taken under a term once one under a higher term was taken."""
    out = []
    highest: dict[tuple[str, str], Step] = {}
    taken = deque(sorted((s for s in steps if s.duty and s.accepted), key=lambda s: s.answered_at))
    for step in sorted((s for s in steps if s.duty), key=lambda s: s.delivered_at):
        # What was answered before this one was handed over is surely earlier.
        while taken and taken[0].answered_at <= step.delivered_at:
            other = taken.popleft()
            best = highest.setdefault((other.duty, other.recipient), other)
            if other.term > best.term:
                highest[other.duty, other.recipient] = other
        before = highest.get((step.duty, step.recipient))
        if step.accepted and before is not None and before.term > step.term:
            out.append(
                Violation(
                    "terms fence",
                    f"{step.recipient} took a step of {step.owner} under term {step.term} "
                    f"after one under term {before.term}",
                    (before.answered_at, step.delivered_at),
                    (before.line.at, step.line.at),
                )
            )
    return out


def check_owner_of_term(steps: Sequence[Step], verdicts: Sequence[Line]) -> list[Violation]:
    """A term of a duty is used by one member alone."""
    out, by = [], dict[tuple[str, int], tuple[str, Line]]()
    said = [(s.duty, s.term, s.owner, s.line) for s in steps if s.duty]
    said += [("verdicts", v["term"], v["owner"], v) for v in verdicts]
    for duty, term, owner, line in said:
        first = by.setdefault((duty, term), (owner, line))
        if first[0] != owner:
            out.append(
                Violation(
                    "one owner a term",
                    f"{first[0]} and {owner} used term {term} of {duty}",
                    (first[1]["t"], line["t"]),
                    (first[1].at, line.at),
                )
            )
    return out


def check_restarts(steps: Sequence[Step], names: Iterable[str], whole: bool) -> list[Violation]:
    """For each plan no gateway has two lives that it began; `whole`: and each has one."""
    lives: dict[str, dict[str, Line]] = {}
    for step in steps:
        by, boot = step.answer.get("started_by", ""), step.answer.get("boot", "")
        if by.endswith(f"/{step.recipient}") and boot:
            lives.setdefault(by, {})[boot] = step.line
    out = []
    for ticket, some in sorted(lives.items()):
        if len(some) > 1:
            lines = tuple(line.at for line in some.values())
            times = tuple(line["t"] for line in some.values())
            out.append(Violation("restarted once", f"{ticket} began {len(some)} lives", times, lines))
    if whole:
        begun = {ticket.rpartition("/")[2] for ticket in lives}
        for name in sorted(set(names) - begun):
            out.append(Violation("nobody left out", f"no life of {name} was begun by the plan", (), ()))
    return out


def check_away_together(steps: Sequence[Step], most: int) -> list[Violation]:
    """From when a restart was taken until its gateway says to an owner that it serves, no more than the plan
    says. A life that was begun by somebody else serves too: it is not away."""
    away: dict[str, Step] = {}
    out = []
    for step in sorted(steps, key=lambda s: s.answered_at):
        if step.is_drain and step.accepted and step.line.get("then") == "restart":
            if step.recipient not in away and step.answer.get("phase") != "ready":
                away[step.recipient] = step
            if len(away) > most:
                names = ", ".join(sorted(away))
                out.append(
                    Violation(
                        "never more at once",
                        f"{names} were away together, {most} may be",
                        tuple(s.answered_at for s in away.values()),
                        tuple(s.line.at for s in away.values()),
                    )
                )
        elif (
            step.accepted
            and step.answer.get("phase") == "ready"
            and step.recipient in away
            and step.delivered_at > away[step.recipient].answered_at
        ):  # what was asked before may be answered late
            del away[step.recipient]
    return out


def check_verdicts(verdicts: Sequence[Line]) -> list[Violation]:
    """No window got two verdicts that differ, and none was taken under a term below an earlier one's."""
    out, by, highest = [], dict[int, Line](), 0
    for v in verdicts:
        if v["status"] != 200:
            continue
        if v["term"] < highest:
            out.append(
                Violation(
                    "terms fence",
                    f"a verdict of term {v['term']} was taken after term {highest}",
                    (v["t"],),
                    (v.at,),
                )
            )
        highest = max(highest, v["term"])
        first = by.setdefault(v["window"], v)
        if first["verdict"] != v["verdict"]:
            out.append(
                Violation(
                    "one verdict a window",
                    f"window {v['window']} was told twice, differently",
                    (first["t"], v["t"]),
                    (first.at, v.at),
                )
            )
    return out


def check_lender_of_term(tape: Sequence[Line], regions: Mapping[str, str]) -> list[Violation]:
    """In one region a term of budgets is used by one member alone, and nobody lends to another region.
    `regions`: of each gateway; without any, all are one."""
    out, by, told = [], dict[tuple[str, int], Line](), set[tuple[str, int]]()
    for line in (x for x in tape if x["ev"] == "lent"):
        here, there = regions.get(line["who"], ""), regions.get(line["to"], "")
        if here != there:
            out.append(
                Violation(
                    "each region lends for itself",
                    f"{line['who']} of {here or 'none'} lent to {line['to']} of {there or 'none'}",
                    (line["t"],),
                    (line.at,),
                )
            )
        first = by.setdefault((here, line["term"]), line)
        if first["who"] != line["who"] and (here, line["term"]) not in told:
            told.add((here, line["term"]))
            what = f"{first['who']} and {line['who']} used term {line['term']} of budgets"
            times, at = (first["t"], line["t"]), (first.at, line.at)
            out.append(Violation("one owner a term", f"{what} of {here}" if here else what, times, at))
    return out


def check_owners(
    lines: Sequence[Line],
    names: Iterable[str] = (),
    most: int = 1,
    whole: bool = False,
    regions: Mapping[str, str] | None = None,
) -> list[Violation]:
    """All promises on owners. `whole`: a plan of all `names` was carried to its end. `regions`: of each
    gateway, where the site has any."""
    steps = collect_steps(lines)
    verdicts = [line for line in lines if line["ev"] == "verdict"]
    return [
        *check_fencing(steps),
        *check_owner_of_term(steps, verdicts),
        *check_restarts(steps, names, whole),
        *check_away_together(steps, most),
        *check_verdicts(verdicts),
        *check_lender_of_term(lines, regions or {}),
    ]
