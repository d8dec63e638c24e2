"""Checks from a tape alone that one owner at a time acted, and that a plan restarted each gateway once.

Lines written by the proxies between daemons (`standins/wires.py`):
    step      id, owner, to, path, duty, term, then, ticket: an owner sent a request
    step_in   id: the request was delivered to the gateway
    step_out  id, status (0: connection refused, -1: no complete answer), boot, started_by, phase
Written by the receiver of verdicts:
    verdict   owner, term, window, status, verdict
"""

from collections import deque
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass
from typing import Any

from ledgehitch.proof.tape import Line


@dataclass(frozen=True)
class Violation:
    """A violated invariant. `lines`: the lines of the tape that show it."""

    invariant: str
    message: str
    times: tuple[float, ...]
    lines: tuple[str, ...]


class Step:
    """One request of an owner to a gateway, as the proxy between them saw it."""

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
    """Checks that no gateway accepts a request under a term after one under a higher term (fencing)."""
    violations = []
    highest: dict[tuple[str, str], Step] = {}
    accepted = deque(sorted((s for s in steps if s.duty and s.accepted), key=lambda s: s.answered_at))
    for step in sorted((s for s in steps if s.duty), key=lambda s: s.delivered_at):
        # Requests answered before this one was delivered were certainly processed earlier.
        while accepted and accepted[0].answered_at <= step.delivered_at:
            other = accepted.popleft()
            best = highest.setdefault((other.duty, other.recipient), other)
            if other.term > best.term:
                highest[other.duty, other.recipient] = other
        before = highest.get((step.duty, step.recipient))
        if step.accepted and before is not None and before.term > step.term:
            violations.append(
                Violation(
                    "terms fence",
                    f"{step.recipient} accepted a request of {step.owner} under term {step.term} "
                    f"after one under term {before.term}",
                    (before.answered_at, step.delivered_at),
                    (before.line.at, step.line.at),
                )
            )
    return violations


def check_owner_of_term(steps: Sequence[Step], verdicts: Sequence[Line]) -> list[Violation]:
    """Checks that each term of a duty is used by one member only."""
    violations, by = [], dict[tuple[str, int], tuple[str, Line]]()
    used = [(s.duty, s.term, s.owner, s.line) for s in steps if s.duty]
    used += [("verdicts", verdict["term"], verdict["owner"], verdict) for verdict in verdicts]
    for duty, term, owner, line in used:
        first = by.setdefault((duty, term), (owner, line))
        if first[0] != owner:
            violations.append(
                Violation(
                    "one owner a term",
                    f"{first[0]} and {owner} used term {term} of {duty}",
                    (first[1]["t"], line["t"]),
                    (first[1].at, line.at),
                )
            )
    return violations


def check_restarts(steps: Sequence[Step], names: Iterable[str], complete: bool) -> list[Violation]:
    """Checks that no plan started a gateway twice and, with `complete`, that it started each of them."""
    lives: dict[str, dict[str, Line]] = {}
    for step in steps:
        by, boot = step.answer.get("started_by", ""), step.answer.get("boot", "")
        if by.endswith(f"/{step.recipient}") and boot:
            lives.setdefault(by, {})[boot] = step.line
    violations = []
    for ticket, boots in sorted(lives.items()):
        if len(boots) > 1:
            lines = tuple(line.at for line in boots.values())
            times = tuple(line["t"] for line in boots.values())
            violations.append(
                Violation("restarted once", f"{ticket} started {len(boots)} processes", times, lines)
            )
    if complete:
        started = {ticket.rpartition("/")[2] for ticket in lives}
        for name in sorted(set(names) - started):
            violations.append(Violation("nobody left out", f"the plan started no process of {name}", (), ()))
    return violations


def check_away_together(steps: Sequence[Step], most: int) -> list[Violation]:
    """Checks that no more gateways are away together than the plan allows.

    A gateway is away from the acceptance of its restart until it reports to an owner that it serves, no
    matter who started the process that serves."""
    away: dict[str, Step] = {}
    violations = []
    for step in sorted(steps, key=lambda s: s.answered_at):
        if step.is_drain and step.accepted and step.line.get("then") == "restart":
            if step.recipient not in away and step.answer.get("phase") != "ready":
                away[step.recipient] = step
            if len(away) > most:
                names = ", ".join(sorted(away))
                violations.append(
                    Violation(
                        "never more at once",
                        f"{names} were away together, the plan allows {most}",
                        tuple(s.answered_at for s in away.values()),
                        tuple(s.line.at for s in away.values()),
                    )
                )
        elif (
            step.accepted
            and step.answer.get("phase") == "ready"
            and step.recipient in away
            and step.delivered_at > away[step.recipient].answered_at
        ):  # an earlier request may be answered late
            del away[step.recipient]
    return violations


def check_verdicts(verdicts: Sequence[Line]) -> list[Violation]:
    """Checks that no window got two different verdicts, and that none was accepted under a lower term."""
    violations, by, highest = [], dict[int, Line](), 0
    for verdict in verdicts:
        if verdict["status"] != 200:
            continue
        if verdict["term"] < highest:
            violations.append(
                Violation(
                    "terms fence",
                    f"a verdict of term {verdict['term']} was accepted after term {highest}",
                    (verdict["t"],),
                    (verdict.at,),
                )
            )
        highest = max(highest, verdict["term"])
        first = by.setdefault(verdict["window"], verdict)
        if first["verdict"] != verdict["verdict"]:
            violations.append(
                Violation(
                    "one verdict a window",
                    f"window {verdict['window']} got two different verdicts",
                    (first["t"], verdict["t"]),
                    (first.at, verdict.at),
                )
            )
    return violations


def check_lender_of_term(tape: Sequence[Line], regions: Mapping[str, str]) -> list[Violation]:
    """Checks that in a region one member uses each term of budgets, and that no one lends to another region.

    `regions` holds the region of each gateway. Without any, all gateways are in one."""
    violations, by, reported = [], dict[tuple[str, int], Line](), set[tuple[str, int]]()
    for line in (x for x in tape if x["ev"] == "lent"):
        here, there = regions.get(line["who"], ""), regions.get(line["to"], "")
        if here != there:
            violations.append(
                Violation(
                    "each region lends for itself",
                    f"{line['who']} of {here or 'none'} lent to {line['to']} of {there or 'none'}",
                    (line["t"],),
                    (line.at,),
                )
            )
        first = by.setdefault((here, line["term"]), line)
        if first["who"] != line["who"] and (here, line["term"]) not in reported:
            reported.add((here, line["term"]))
            message = f"{first['who']} and {line['who']} used term {line['term']} of budgets"
            times, at = (first["t"], line["t"]), (first.at, line.at)
            violations.append(
                Violation("one owner a term", f"{message} of {here}" if here else message, times, at)
            )
    return violations


def check_owners(
    lines: Sequence[Line],
    names: Iterable[str] = (),
    most: int = 1,
    complete: bool = False,
    regions: Mapping[str, str] | None = None,
) -> list[Violation]:
    """Checks all invariants on owners.

    `complete`: a plan of all gateways in `names` was completed. `regions`: the region of each gateway, where
    the site has any."""
    steps = collect_steps(lines)
    verdicts = [line for line in lines if line["ev"] == "verdict"]
    return [
        *check_fencing(steps),
        *check_owner_of_term(steps, verdicts),
        *check_restarts(steps, names, complete),
        *check_away_together(steps, most),
        *check_verdicts(verdicts),
        *check_lender_of_term(lines, regions or {}),
    ]
