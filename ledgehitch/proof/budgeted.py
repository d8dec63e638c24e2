"""Checks from a tape alone that all gateways together stayed within the budgets of the fleet.

Admitted viewings are seen at the media hosts (`tape.py`: setup, setup_out, setup_gone), loans at the proxies
between daemons (`standins/wires.py`):
    want      who, to, term, life, sequence, number: a borrower sent a request; `number`: the last loan that
    it accepted lent      who, to, term, life, sequence, number, seconds, loans (parts of each budget): a loan
    was delivered
"""

from collections.abc import Iterable, Mapping, Sequence, Set
from dataclasses import dataclass, field, replace
from itertools import zip_longest
from typing import NamedTuple

from ledgehitch.proof.check import CLOCK_TOLERANCE_S, SetUp, collect_set_ups
from ledgehitch.proof.owned import Violation
from ledgehitch.proof.tape import Line

REQUEST_NOTE_DELAY_S = 0.2  # a request may be written to the tape so much later than it was sent


@dataclass(frozen=True)
class FleetLimits:
    """The limits of the whole fleet, as the site states them.

    `own`: by gateway, the parts of `whole` that it has without a loan, for each budget in the order of loans.
    `burst`: seconds' worth of a rate that may come at once, in addition to one offer for each gateway."""

    rates: Mapping[str, float] = field(default_factory=dict)  # offers per second, by package
    set_ups: float = 0.0
    gateways: int = 1
    patience: float = 3.0
    own: Mapping[str, Sequence[int]] = field(default_factory=dict)
    whole: int = 1_000_000_000
    burst: float = 1.0
    regions: Mapping[str, tuple[Sequence[str], int]] = field(default_factory=dict)  # gateways, parts of each


def check_budgets(lines: Sequence[Line], limits: FleetLimits, since: float = 0.0) -> list[Violation]:
    """Checks all limits of the fleet. Set-ups that began before `since`, on the tape's clock, are ignored."""
    sent = sorted((s for s in collect_set_ups(lines) if s.started_at >= since), key=lambda s: s.started_at)
    slack = _longest_admission_delay(lines, limits.patience)
    violations = []
    for package, rate in sorted(limits.rates.items()):
        firsts = [s for s in sent if s.number == 0 and s.line["package"] == package]
        violations += check_rate(firsts, package, rate, limits.burst * rate + limits.gateways + rate * slack)
    if limits.set_ups:
        violations += check_concurrency(sent, limits.set_ups)
    violations += check_loans(lines, limits)
    for region, (names, share) in limits.regions.items():
        violations += check_loans(lines, replace(limits, whole=share), frozenset(names), region)
    return violations


def _longest_admission_delay(lines: Iterable[Line], patience: float) -> float:
    """Returns an upper bound of the seconds between admission and first tune-in: the longest answer."""
    requested, longest = dict[object, float](), 0.0
    for line in lines:
        if line["ev"] == "ask":
            requested[line["conn"]] = line["t"]
        elif line["ev"] == "answer" and line["conn"] in requested and line["kind"] in ("plays", "aborted"):
            longest = max(longest, line["t"] - requested[line["conn"]])
    return min(patience, longest) + CLOCK_TOLERANCE_S


def check_rate(firsts: Sequence[SetUp], package: str, rate: float, allowance: float) -> list[Violation]:
    """Checks that no window has more first tune-ins than its length times the rate, plus `allowance`."""
    best: tuple[float, SetUp] | None = None  # the start of the window with the least room
    for n, set_up in enumerate(firsts):
        balance = n - rate * set_up.started_at
        if best is None or balance < best[0]:
            best = balance, set_up
        if balance - best[0] + 1 > allowance + 1e-6:
            duration = set_up.started_at - best[1].started_at
            count = round(balance - best[0] + rate * duration) + 1
            return [
                Violation(
                    "rates are kept",
                    f"{count} offers of {package} in {duration:.3f} s, the rate is "
                    f"{rate:g} a second and {allowance:.1f} may come at once",
                    (best[1].started_at, set_up.started_at),
                    (best[1].line.at, set_up.line.at),
                )
            ]
    return []


def check_concurrency(sent: Sequence[SetUp], most: float) -> list[Violation]:
    """Checks that no more than `most` set-ups are in progress at once."""
    changes = []
    for set_up in sent:
        over = set_up.ended_at if set_up.ended_at is not None else float("inf")
        changes += [
            (set_up.started_at + CLOCK_TOLERANCE_S, 1, set_up),
            (max(over, set_up.started_at + CLOCK_TOLERANCE_S), -1, set_up),
        ]
    in_progress = 0
    for t, change, set_up in sorted(changes, key=lambda c: (c[0], c[1])):
        in_progress += change
        if change > 0 and in_progress > most:
            message = f"{in_progress} set-ups were in progress, the limit is {most:g}"
            return [Violation("set-ups at once are kept", message, (t,), (set_up.line.at,))]
    return []


class LoanInForce(NamedTuple):
    """A loan of gateway `who` that was certainly in force from `first` to `last`."""

    who: str
    first: float
    last: float
    loans: tuple[int, ...]
    line: Line


def check_loans(
    tape: Sequence[Line], limits: FleetLimits, of: Set[str] | None = None, region: str = ""
) -> list[Violation]:
    """Checks that own parts and loans certainly in force never add up to more than the whole.

    `of`: the gateways to check, by default all. The gateways of a region have to stay within its share, which
    is their whole."""
    held = [h for h in loans_in_force(tape) if of is None or h.who in of]
    for budget in range(max((len(h.loans) for h in held), default=0)):
        parts = dict[str, LoanInForce]()
        changes = [(t, n, h) for h in held for t, n in ((h.first, 1), (h.last, 0))]
        for t, begins, set_up in sorted(changes, key=lambda c: c[:2]):
            if not begins:
                if parts.get(set_up.who) is set_up:
                    del parts[set_up.who]
                continue
            parts[set_up.who] = set_up
            total = sum(
                (limits.own[who][budget] if who in limits.own else 0) + h.loans[budget]
                for who, h in parts.items()
            )
            if total > limits.whole:
                names = ", ".join(sorted(parts))
                of_it = "its share of " if region else ""
                message = f"{names} had {total / limits.whole:.3f} of {of_it}budget {budget} together"
                lines = tuple(h.line.at for h in parts.values())
                invariant = "parts are within the region's share" if region else "parts are within the whole"
                return [Violation(invariant, f"{region}: {message}" if region else message, (t,), lines)]
    return []


def loans_in_force(lines: Sequence[Line]) -> list[LoanInForce]:
    """Returns the loans that were certainly in force, and when.

    A loan counts if a later request says that it was accepted. It lasts up to the next accepted loan, its end
    or the end of the process. If the borrower becomes the lender, it lasts until then: what a gateway lends
    to itself crosses no proxy and replaces what it had under an earlier term."""
    requested: dict[tuple[str, int, int, int], float] = {}
    accepted: dict[tuple[str, int, int], list[int]] = {}
    delivered: dict[tuple[str, int, int, int], Line] = {}
    ended: dict[str, list[float]] = {}
    lends: dict[str, list[tuple[int, float]]] = {}  # by lender: term and when it first lent under it
    for line in lines:
        if line["ev"] == "want":
            requested[line["who"], line["life"], line["term"], line["sequence"]] = line["t"]
            numbers = accepted.setdefault((line["who"], line["life"], line["term"]), [])
            if line["number"] and line["number"] not in numbers:
                numbers.append(line["number"])
        elif line["ev"] == "lent":
            delivered.setdefault((line["to"], line["life"], line["term"], line["number"]), line)
            terms = lends.setdefault(line["who"], [])
            if line["term"] not in [term for term, _ in terms]:
                terms.append((line["term"], line["t"]))
        elif line["ev"] == "gateway" and line["how"] == "killed":
            ended.setdefault(line["gateway"], []).append(line["t"])
    loans = []
    for (who, life, term), numbers in accepted.items():
        arrived = [delivered[who, life, term, n] for n in numbers if (who, life, term, n) in delivered]
        for line, following in zip_longest(arrived, arrived[1:]):
            since = requested.get((who, life, term, line["sequence"]))
            if since is None:
                continue
            last = since + line["seconds"] - REQUEST_NOTE_DELAY_S
            last = min([last, *(t for t in ended.get(who, []) if t >= line["t"])])
            last = min([last, *(t for later, t in lends.get(who, []) if later > term)])
            if following is not None:
                last = min(last, following["t"])
            if last > line["t"]:
                loans.append(LoanInForce(who, line["t"], last, tuple(line["loans"]), line))
    return loans
