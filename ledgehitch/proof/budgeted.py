"""Judges from a tape alone that gateways together stayed within the budgets of the fleet.

What was let in is seen at the media hosts (`tape.py`: setup, setup_out, setup_gone); what was lent at the
wires between daemons (`standins/wires.py`):
    want      who, to, term, life, sequence, number: a borrower's question set out; `number`: the loan that
              it took last
    lent      who, to, term, life, sequence, number, seconds, loans (parts of each budget): handed over
"""

from collections.abc import Iterable, Mapping, Sequence, Set
from dataclasses import dataclass, field, replace
from itertools import zip_longest
from typing import NamedTuple

from ledgehitch.proof.check import CLOCK_TOLERANCE_S, SetUp, collect_set_ups
from ledgehitch.proof.owned import Violation
from ledgehitch.proof.tape import Line

REQUEST_NOTE_DELAY_S = 0.2  # seconds by which a question may have been noted later than it was asked


@dataclass(frozen=True)
class FleetLimits:
    """What the site gives the whole fleet. `own`: parts of `whole` that a gateway has without a loan, of each
    budget in the order of loans; `burst`: seconds' worth of a rate that may come at once, beside one offer
    for each gateway."""

    rates: Mapping[str, float] = field(default_factory=dict)  # offers a second, by package
    set_ups: float = 0.0
    gateways: int = 1
    patience: float = 3.0
    own: Mapping[str, Sequence[int]] = field(default_factory=dict)
    whole: int = 1_000_000_000
    burst: float = 1.0
    regions: Mapping[str, tuple[Sequence[str], int]] = field(default_factory=dict)  # gateways, parts of each


def check_budgets(lines: Sequence[Line], wholes: FleetLimits, since: float = 0.0) -> list[Violation]:
    """`since`: what began before that, of the tape's clock, is not judged by these wholes."""
    sent = sorted((s for s in collect_set_ups(lines) if s.started_at >= since), key=lambda s: s.started_at)
    slack = _longest_admission_delay(lines, wholes.patience)
    out = []
    for package, rate in sorted(wholes.rates.items()):
        firsts = [s for s in sent if s.number == 0 and s.line["package"] == package]
        out += check_rate(firsts, package, rate, wholes.burst * rate + wholes.gateways + rate * slack)
    if wholes.set_ups:
        out += check_concurrency(sent, wholes.set_ups)
    out += check_loans(lines, wholes)
    for region, (names, share) in wholes.regions.items():
        out += check_loans(lines, replace(wholes, whole=share), frozenset(names), region)
    return out


def _longest_admission_delay(lines: Iterable[Line], patience: float) -> float:
    """Seconds that lay between an offer's being let in and its first tune-in at most: no answer took
    longer."""
    asked, longest = dict[object, float](), 0.0
    for line in lines:
        if line["ev"] == "ask":
            asked[line["conn"]] = line["t"]
        elif line["ev"] == "answer" and line["conn"] in asked and line["kind"] in ("plays", "aborted"):
            longest = max(longest, line["t"] - asked[line["conn"]])
    return min(patience, longest) + CLOCK_TOLERANCE_S


def check_rate(firsts: Sequence[SetUp], package: str, rate: float, more: float) -> list[Violation]:
    """In no window more first tune-ins than its length gives at this rate, and `more`."""
    best: tuple[float, SetUp] | None = None  # the window's beginning that leaves least room
    for n, one in enumerate(firsts):
        paid = n - rate * one.started_at
        if best is None or paid < best[0]:
            best = paid, one
        if paid - best[0] + 1 > more + 1e-6:
            took = one.started_at - best[1].started_at
            count = round(paid - best[0] + rate * took) + 1
            return [
                Violation(
                    "rates are kept",
                    f"{count} offers of {package} in {took:.3f} s, the rate is "
                    f"{rate:g} a second and {more:.1f} may come at once",
                    (best[1].started_at, one.started_at),
                    (best[1].line.at, one.line.at),
                )
            ]
    return []


def check_concurrency(sent: Sequence[SetUp], most: float) -> list[Violation]:
    changes = []
    for one in sent:
        over = one.ended_at if one.ended_at is not None else float("inf")
        changes += [
            (one.started_at + CLOCK_TOLERANCE_S, 1, one),
            (max(over, one.started_at + CLOCK_TOLERANCE_S), -1, one),
        ]
    out = 0
    for t, change, one in sorted(changes, key=lambda c: (c[0], c[1])):
        out += change
        if change > 0 and out > most:
            what = f"{out} were out, {most:g} may be"
            return [Violation("set-ups at once are kept", what, (t,), (one.line.at,))]
    return []


class Held(NamedTuple):
    """A loan that was surely in force. `who` 's life was surely there from `first` to `last`."""

    who: str
    first: float
    last: float
    loans: tuple[int, ...]
    line: Line


def check_loans(
    tape: Sequence[Line], wholes: FleetLimits, of: Set[str] | None = None, region: str = ""
) -> list[Violation]:
    """At no moment own parts and loans that were surely in force above the whole. `of`: the gateways that are
    looked at, all where it is left out; those of a region stay within its share, which is their whole."""
    held = [h for h in loans_in_force(tape) if of is None or h.who in of]
    for budget in range(max((len(h.loans) for h in held), default=0)):
        parts = dict[str, Held]()
        changes = [(t, n, h) for h in held for t, n in ((h.first, 1), (h.last, 0))]
        for t, begins, one in sorted(changes, key=lambda c: c[:2]):
            if not begins:
                if parts.get(one.who) is one:
                    del parts[one.who]
                continue
            parts[one.who] = one
            total = sum(
                (wholes.own[who][budget] if who in wholes.own else 0) + h.loans[budget]
                for who, h in parts.items()
            )
            if total > wholes.whole:
                names = ", ".join(sorted(parts))
                of_it = "its share of " if region else ""
                what = f"{names} had {total / wholes.whole:.3f} of {of_it}budget {budget} together"
                lines = tuple(h.line.at for h in parts.values())
                promise = "parts are within the region's share" if region else "parts are within the whole"
                return [Violation(promise, f"{region}: {what}" if region else what, (t,), lines)]
    return []


def loans_in_force(lines: Sequence[Line]) -> list[Held]:
    """Only loans that a later question says were taken count: up to the next that was, to their end or to the
    end of the process; and of one that then lends itself, until it does: what it lends to itself crosses no
    wire, and takes the place of what it had under a former term."""
    asked: dict[tuple[str, int, int, int], float] = {}
    taken: dict[tuple[str, int, int], list[int]] = {}
    came: dict[tuple[str, int, int, int], Line] = {}
    ended: dict[str, list[float]] = {}
    lends: dict[str, list[tuple[int, float]]] = {}  # by lender: term and when it first lent under it
    for line in lines:
        if line["ev"] == "want":
            asked[line["who"], line["life"], line["term"], line["sequence"]] = line["t"]
            numbers = taken.setdefault((line["who"], line["life"], line["term"]), [])
            if line["number"] and line["number"] not in numbers:
                numbers.append(line["number"])
        elif line["ev"] == "lent":
            came.setdefault((line["to"], line["life"], line["term"], line["number"]), line)
            terms = lends.setdefault(line["who"], [])
            if line["term"] not in [term for term, _ in terms]:
                terms.append((line["term"], line["t"]))
        elif line["ev"] == "gateway" and line["how"] == "killed":
            ended.setdefault(line["gateway"], []).append(line["t"])
    out = []
    for (who, life, term), numbers in taken.items():
        arrived = [came[who, life, term, n] for n in numbers if (who, life, term, n) in came]
        for line, following in zip_longest(arrived, arrived[1:]):
            since = asked.get((who, life, term, line["sequence"]))
            if since is None:
                continue
            last = since + line["seconds"] - REQUEST_NOTE_DELAY_S
            last = min([last, *(t for t in ended.get(who, []) if t >= line["t"])])
            last = min([last, *(t for later, t in lends.get(who, []) if later > term)])
            if following is not None:
                last = min(last, following["t"])
            if last > line["t"]:
                out.append(Held(who, line["t"], last, tuple(line["loans"]), line))
    return out
