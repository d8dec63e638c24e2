"""Finds the racks and titles that cause bad viewings. Free of I/O and deterministic.

A rack is compared with the other racks on the same titles only, and a title with the other titles on the same
racks only (Mantel-Haenszel test over the strata), so that a rack is not blamed for a bad title that it holds.
The most significant culprit is taken first, and its cells are excluded before the next one is searched for.
The error rate over all groups is controlled together (Bonferroni), and a verdict must hold for several
evaluations.
"""

import os
from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Any

# The gateway must stay single-threaded; OpenBLAS would start threads when it is loaded.
os.environ.setdefault("OPENBLAS_NUM_THREADS", "1")

import numpy as np  # noqa: E402
from numpy.typing import NDArray  # noqa: E402
from scipy.stats import norm, poisson  # noqa: E402

from ledgehitch.quality.tally import OTHERS, Cell  # noqa: E402

ALPHA = 0.002  # probability of a false culprit in one evaluation of a healthy fleet, over all groups
MIN_EXCESS = 0.02  # smallest excess share of bad viewings that is reported, however significant
SMALL_COUNT = 50  # expected bad viewings below which the exact Poisson tail is used
MIN_VIEWINGS = 30  # smallest group that is evaluated
MAX_CULPRITS = 12
ALL_BAD = 0.3  # share of bad viewings above which the whole fleet is bad
SET_AFTER, CLEAR_AFTER = 2, 3  # consecutive evaluations that set a verdict, and that clear it
Floats = NDArray[np.float64]


@dataclass(frozen=True)
class Culprit:
    """A rack or title that causes bad viewings.

    `excess` is the share of its viewings that are bad beyond that of the other groups in the same strata, and
    `least` its lower bound (95%). `viewings` and `bad` are the counts behind it.
    """

    kind: str  # "rack" or "title"
    name: str
    excess: float
    least: float
    viewings: int
    bad: int
    sure: float  # 1 minus the p-value, corrected for all groups


@dataclass(frozen=True)
class Verdict:
    """The result of one evaluation. `word` is a one-line summary."""

    culprits: tuple[Culprit, ...] = ()
    viewings: int = 0
    bad_share: float = 0.0
    unclear: tuple[str, ...] = ()  # racks and titles that cannot be distinguished, or sent no reports
    word: str = ""


@dataclass
class _Side:
    """The groups of one kind, and for each cell the index of its group."""

    names: list[str]
    index: NDArray[np.int64] = field(default_factory=lambda: np.zeros(0, np.int64))


def evaluate(table: Mapping[str, Cell], expected: Mapping[str, Any] | None = None) -> Verdict:
    """Evaluates counts by rack and title. Racks in `expected` that sent no report are listed as unclear."""
    keys = sorted(table)
    pairs = [key.partition("\t")[::2] for key in keys]
    viewings_by_cell = np.array([table[k].viewings for k in keys], float)
    bad = np.minimum(np.array([table[k].bad for k in keys], float), viewings_by_cell)
    total, all_bad = float(viewings_by_cell.sum()), float(bad.sum())
    silent_racks = sorted(set(expected or ()) - {rack for rack, _ in pairs})
    unclear = [f"rack {rack} sent no report" for rack in silent_racks]
    if total < MIN_VIEWINGS:
        return Verdict(
            (), int(total), all_bad / max(1.0, total), tuple(unclear), "too few viewings to say anything"
        )
    sides = {"rack": _side([r for r, _ in pairs]), "title": _side([t for _, t in pairs])}
    open_cells = viewings_by_cell > 0
    found: list[Culprit] = []
    excluded: set[tuple[str, str]] = set()
    groups = sum(
        int((np.bincount(s.index, viewings_by_cell, len(s.names)) >= MIN_VIEWINGS).sum())
        for s in sides.values()
    )
    min_z = float(norm.isf(ALPHA / 2 / max(1, groups)))
    while len(found) < MAX_CULPRITS:
        best: tuple[float, Culprit] | None = None
        for kind, other in (("rack", "title"), ("title", "rack")):
            side, strata = sides[kind], sides[other]
            z, excess, error = _compared(side, strata, viewings_by_cell, bad, open_cells)
            counts = np.bincount(side.index, np.where(open_cells, viewings_by_cell, 0.0), len(side.names))
            # Only the few groups that pass the filter are examined one by one, to keep this fast.
            for group in np.flatnonzero((z > min_z) & (excess >= MIN_EXCESS) & (counts >= MIN_VIEWINGS)):
                name = side.names[group]
                if (kind, name) in excluded or name == OTHERS or (best is not None and z[group] <= best[0]):
                    continue
                sure = 1 - min(1.0, float(norm.sf(z[group])) * groups)
                lower_bound = max(0.0, float(excess[group] - 1.645 * error[group]))
                bad_viewings = int(bad[(side.index == group) & open_cells].sum())
                best = (
                    float(z[group]),
                    Culprit(
                        kind, name, float(excess[group]), lower_bound, int(counts[group]), bad_viewings, sure
                    ),
                )
        if best is None:
            break
        culprit = best[1]
        found.append(culprit)
        excluded.add((culprit.kind, culprit.name))
        of_culprit = sides[culprit.kind].index == sides[culprit.kind].names.index(culprit.name)
        open_cells &= ~of_culprit
    unclear += _confounded(found, sides, viewings_by_cell)
    share = all_bad / total
    return Verdict(tuple(found), int(total), share, tuple(unclear), _word(found, share, int(total)))


def _side(names: list[str]) -> _Side:
    distinct = sorted(set(names))
    at = {name: i for i, name in enumerate(distinct)}
    return _Side(distinct, np.array([at[name] for name in names], np.int64))


def _compared(
    side: _Side, strata: _Side, n: Floats, bad: Floats, open_cells: NDArray[np.bool_]
) -> tuple[Floats, Floats, Floats]:
    """Returns for each group z of the Mantel-Haenszel test, the excess share of bad viewings, its error.

    In each stratum the cell of the group is compared with all other open cells.
    """
    own_n, own_bad = np.where(open_cells, n, 0.0), np.where(open_cells, bad, 0.0)
    stratum_n = np.bincount(strata.index, own_n, len(strata.names))[strata.index]
    stratum_bad = np.bincount(strata.index, own_bad, len(strata.names))[strata.index]
    others = stratum_n - own_n
    comparable = open_cells & (own_n > 0) & (others > 0)
    totals = np.where(comparable, stratum_n, 1.0)
    expected = np.where(comparable, own_n * stratum_bad / totals, 0.0)
    variance = np.where(
        comparable & (totals > 1),
        own_n * others * stratum_bad * (totals - stratum_bad) / (totals * totals * np.maximum(totals - 1, 1)),
        0.0,
    )
    size = len(side.names)
    observed = np.bincount(side.index, np.where(comparable, own_bad, 0.0), size)
    expected_bad = np.bincount(side.index, expected, size)
    difference = observed - expected_bad
    spread = np.sqrt(np.bincount(side.index, variance, size))
    # For small counts the normal tail would make a handful of bad viewings significant, so Poisson's is used.
    exact = norm.isf(np.clip(poisson.sf(observed - 1, np.maximum(expected_bad, 1e-9)), 1e-300, 1.0))
    with np.errstate(divide="ignore", invalid="ignore"):
        z = np.where(spread > 0, (difference - 0.5) / spread, 0.0)
        z = np.where(expected_bad < SMALL_COUNT, np.minimum(z, exact), z)
        weight = np.where(comparable, own_n * others / totals, 0.0)
        other_share = np.where(comparable, (stratum_bad - own_bad) / np.where(others > 0, others, 1.0), 0.0)
        own_share = np.where(comparable, own_bad / np.where(own_n > 0, own_n, 1.0), 0.0)
        weights = np.bincount(side.index, weight, size)
        excess = np.where(
            weights > 0, np.bincount(side.index, weight * (own_share - other_share), size) / weights, 0.0
        )
        error = np.where(np.abs(z) > 0, np.abs(excess) / np.maximum(np.abs(z), 1e-9), 1.0)
    return z, excess, error


def _confounded(found: list[Culprit], sides: dict[str, _Side], viewings: Floats) -> list[str]:
    """Describes culprits that share nearly all viewings with one group of the other kind."""
    described = []
    for culprit in found:
        side = sides[culprit.kind]
        other = sides["title" if culprit.kind == "rack" else "rack"]
        of_culprit = side.index == side.names.index(culprit.name)
        counts = np.bincount(other.index, np.where(of_culprit, viewings, 0.0), len(other.names))
        top = int(counts.argmax())
        of_other = float(np.where(other.index == top, viewings, 0.0).sum())
        if counts[top] > 0.9 * counts.sum() and counts[top] > 0.9 * of_other:
            kind = "title" if culprit.kind == "rack" else "rack"
            described.append(
                f"{culprit.kind} {culprit.name} and {kind} {other.names[top]} cannot be told apart"
            )
    return described


def _word(found: list[Culprit], share: float, total: int) -> str:
    if found:
        names = ", ".join(f"{c.kind} {c.name} (+{100 * c.excess:.0f}% bad)" for c in found)
        return f"to blame: {names}; {100 * share:.1f}% of {total} viewings are bad"
    if share > ALL_BAD:
        return (
            f"{100 * share:.0f}% of {total} viewings are bad everywhere alike: no rack or title is to blame"
        )
    return f"healthy: {100 * share:.1f}% of {total} viewings are bad, no rack or title stands out"


class VerdictTracker:
    """Verdicts with hysteresis: set after `SET_AFTER` evaluations in a row, cleared after `CLEAR_AFTER`."""

    def __init__(self) -> None:
        self.named: dict[tuple[str, str], Culprit] = {}
        self._found_times: dict[tuple[str, str], int] = {}
        self._missed_times: dict[tuple[str, str], int] = {}
        self.verdict = Verdict()

    def evaluate(self, table: Mapping[str, Cell], expected: Mapping[str, Any] | None = None) -> Verdict:
        return self.on_evaluation(evaluate(table, expected))

    def on_evaluation(self, evaluation: Verdict) -> Verdict:
        """Takes the result of one evaluation; returns the verdict after it."""
        now = {(c.kind, c.name): c for c in evaluation.culprits}
        for key, culprit in now.items():
            self._found_times[key] = self._found_times.get(key, 0) + 1
            self._missed_times.pop(key, None)
            if self._found_times[key] >= SET_AFTER or key in self.named:
                self.named[key] = culprit
        for key in [k for k in self._found_times if k not in now]:
            self._missed_times[key] = self._missed_times.get(key, 0) + 1
            if key not in self.named or self._missed_times[key] >= CLEAR_AFTER:
                for records in (self.named, self._found_times, self._missed_times):
                    records.pop(key, None)
        named = sorted(self.named.values(), key=lambda c: (-c.excess, c.kind, c.name))
        self.verdict = Verdict(
            tuple(named),
            evaluation.viewings,
            evaluation.bad_share,
            evaluation.unclear,
            evaluation.word
            if not evaluation.viewings or not named and evaluation.word.startswith("too few")
            else _word(named, evaluation.bad_share, evaluation.viewings),
        )
        return self.verdict
