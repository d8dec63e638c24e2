"""What a difference between two settings says: paired by seed, with error bars. Free of I/O and chance.

Each condition (day, size, faults) and measure is one question; all questions of one comparison are corrected
together (Holm), so that looking at many does not find what is not there.
"""

import math
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, replace
from typing import Any

import numpy as np
from scipy import stats

SURE = 0.95  # of all answers of one comparison together
POWER = 0.8  # with which the number of further seeds is reckoned
MATTERS = {
    "service": 0.01,
    "worst_10s": 0.02,
    "join_p50": 0.01,
    "join_p95": 0.05,
    "blocked": 0.01,
    "short": 0.01,
    "breaches": 0.5,
}
HIGH_IS_GOOD = ("service", "worst_10s")


@dataclass(frozen=True)
class Answer:
    """One question's answer. `difference`: B minus A in the mean, `low` to `high` its 95% interval; `p` is
    corrected; `more`: seeds beyond those there are until a difference that matters would be told."""

    condition: tuple[str, str, str]
    measure: str
    pairs: int
    a: float
    b: float
    difference: float
    low: float
    high: float
    p: float
    verdict: str  # better, worse, cannot tell, the same
    more: int


def compared(
    rows: Iterable[Mapping[str, Any]], a: str, b: str, measures: Iterable[str], by: str = "setting"
) -> list[Answer]:
    """B held against A; `by`: the column that tells them apart, `setting` or `code`."""
    rows = list(rows)
    raw: list[Answer] = []
    conditions = sorted({(r["day"], r["size"], r["fault"]) for r in rows})
    for condition in conditions:
        mine = [r for r in rows if (r["day"], r["size"], r["fault"]) == condition]
        for measure in measures:
            of_a = {_pair(r, by): float(r[measure]) for r in mine if r[by] == a}
            of_b = {_pair(r, by): float(r[measure]) for r in mine if r[by] == b}
            both = sorted(of_a.keys() & of_b.keys(), key=str)
            if both:
                raw.append(_one(condition, measure, [of_a[k] for k in both], [of_b[k] for k in both]))
    return _corrected(raw)


def _pair(row: Mapping[str, Any], by: str) -> tuple[Any, ...]:
    other = "code" if by == "setting" else "setting"
    return row["seed"], row[other]


def _one(condition: tuple[str, str, str], measure: str, a: list[float], b: list[float]) -> Answer:
    d = np.array(b) - np.array(a)
    n, mean = len(d), float(d.mean())
    spread = float(d.std(ddof=1)) if n > 1 else float("inf")
    error = spread / math.sqrt(n)
    if n < 2:
        low, high, p = -math.inf, math.inf, 1.0
    elif spread < 1e-12:
        low = high = mean
        p = 0.0 if abs(mean) > 1e-12 else 1.0
    else:
        half = float(stats.t.ppf((1 + SURE) / 2, n - 1)) * error
        low, high, p = mean - half, mean + half, float(2 * stats.t.sf(abs(mean) / error, n - 1))
    z = float(stats.norm.ppf((1 + SURE) / 2) + stats.norm.ppf(POWER))
    due = math.ceil((z * spread / MATTERS[measure]) ** 2) if math.isfinite(spread) else 8
    more = max(0, max(due, 3) - n)
    return Answer(condition, measure, n, float(np.mean(a)), float(np.mean(b)), mean, low, high, p, "", more)


def _corrected(raw: list[Answer]) -> list[Answer]:
    """Holm's correction over all questions, then the plain word for each."""
    order = sorted(range(len(raw)), key=lambda i: raw[i].p)
    least, corrected = 0.0, [1.0] * len(raw)
    for rank, i in enumerate(order):
        least = max(least, min(1.0, raw[i].p * (len(raw) - rank)))
        corrected[i] = least
    out = []
    for answer, p in zip(raw, corrected, strict=True):
        matters = MATTERS[answer.measure]
        if p <= 1 - SURE:
            good = (answer.difference > 0) == (answer.measure in HIGH_IS_GOOD)
            verdict, more = ("better" if good else "worse"), 0
        elif -matters < answer.low and answer.high < matters:
            verdict, more = "the same", 0
        else:
            verdict, more = "cannot tell", max(1, answer.more)
        out.append(replace(answer, p=p, verdict=verdict, more=more))
    return out
