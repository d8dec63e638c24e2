"""How the fleet's budgets are divided, from what each gateway says. Free of I/O.

Nothing is smoothed over: who is silent is named, and sums above the whole are shown as such.
"""

from collections.abc import Mapping, Sequence

import msgspec

ROUNDING_TOLERANCE = 1e-6  # of the whole: rounding of parts


class GatewayBudget(msgspec.Struct):
    """One budget at one gateway, in parts of the whole."""

    own: int
    loan: int
    wanted: int
    used: int
    unit: str


class LenderAccount(msgspec.Struct):
    """One budget at the lender. `lent`: what counts as lent, by gateway's number."""

    budget: str
    pool: int
    lent: dict[int, int]
    waits: float


class BudgetReport(msgspec.Struct):
    whole: int
    budgets: dict[str, GatewayBudget]
    loan_left: float
    alone: str
    term: int
    lends: list[LenderAccount] | None = None
    region: str = ""
    share: int | None = None  # parts of the whole that its region has; None: all


class BudgetSummary(msgspec.Struct):
    """Shares of the whole, 0 to 1; `wrong`: what does not add up."""

    budget: str
    unit: str
    own: float
    lent: float
    used: float
    wanted: float
    unmet: float
    free: float | None  # by the lender's book; None without one
    waits: float
    by: dict[str, tuple[float, float, float]]  # own, loan, wanted
    wrong: str = ""
    # By region: the share that it uses, and of that own parts, what is lent, and what is used.
    regions: dict[str, tuple[float, float, float, float]] = {}


def decode_report(body: bytes) -> BudgetReport | str:
    """What one gateway says, or why it does not read."""
    try:
        return msgspec.json.decode(body, type=BudgetReport)
    except msgspec.MsgspecError as wrong:
        return f"what it says does not read: {wrong}"[:200]


def summarize_budgets(told: Mapping[str, BudgetReport]) -> list[BudgetSummary]:
    names = sorted({budget for t in told.values() for budget in t.budgets})
    return [_one(budget, told) for budget in names]


def _one(budget: str, told: Mapping[str, BudgetReport]) -> BudgetSummary:
    some = {name: (t.budgets[budget], t.whole) for name, t in told.items() if budget in t.budgets}
    by = {n: (m.own / w, m.loan / w, m.wanted / w) for n, (m, w) in some.items()}
    own, lent = sum(o for o, _, _ in by.values()), sum(loan for _, loan, _ in by.values())
    unmet = sum(max(0.0, wanted - o - loan) for o, loan, wanted in by.values())
    books = [(n, x, t.whole) for n, t in told.items() for x in t.lends or () if x.budget == budget]
    wrong = []
    if own + lent > 1 + ROUNDING_TOLERANCE:
        wrong.append(
            f"gateways say {own + lent:.4f} of the whole together; a loan that moved while they "
            "were asked counts twice: ask again"
        )
    for name, book, whole in books:
        if sum(book.lent.values()) > book.pool or book.pool > whole:
            wrong.append(f"{name} has lent {sum(book.lent.values()) / whole:.4f} of {book.pool / whole:.4f}")
    names = sorted({t.region for t in told.values() if t.region})
    regions = {region: _of_region(budget, region, told) for region in names}
    lenders = [(told[n].region, n) for n, _, _ in books]
    if len({region for region, _ in lenders}) < len(lenders):
        wrong.append(f"{', '.join(n for n, _, _ in books)} say that they lend: see `fleet owners`")
    for region, (share, mine, loans, _) in regions.items():
        if mine + loans > share + ROUNDING_TOLERANCE:
            wrong.append(
                f"gateways of {region} say {mine + loans:.4f} of the whole together, its share is "
                f"{share:.4f}; what moved meanwhile counts twice: ask again"
            )
    if sum(share for share, _, _, _ in regions.values()) > 1 + ROUNDING_TOLERANCE:
        wrong.append("regions say that they use more than the whole together")
    units = sorted({m.unit for m, _ in some.values()})
    left = [(book.pool - sum(book.lent.values())) / whole for _, book, whole in books]
    free = sum(left) if len(left) == max(1, len(regions)) else None
    return BudgetSummary(
        budget,
        ", ".join(units),
        own,
        lent,
        sum(m.used / w for m, w in some.values()),
        sum(w for _, _, w in by.values()),
        unmet,
        free,
        max((x.waits for _, x, _ in books), default=0.0),
        by,
        "; ".join(wrong),
        regions,
    )


def _of_region(
    budget: str, region: str, told: Mapping[str, BudgetReport]
) -> tuple[float, float, float, float]:
    some = [t for t in told.values() if t.region == region]
    mine = [(t.budgets[budget], t.whole) for t in some if budget in t.budgets]
    share = max((t.whole if t.share is None else t.share) / t.whole for t in some)
    return (
        share,
        sum(m.own / w for m, w in mine),
        sum(m.loan / w for m, w in mine),
        sum(m.used / w for m, w in mine),
    )


def remarks(told: Mapping[str, BudgetReport], silent: Sequence[tuple[str, str]]) -> list[str]:
    """Lines on who does not answer, who has its own part alone, and who lends."""
    out = [f"{name}: silent, {why}" for name, why in silent]
    out += [f"{name}: own parts alone: {t.alone}" for name, t in told.items() if t.alone]
    out += [f"{name} lends under term {t.term}" for name, t in told.items() if t.lends is not None]
    return out
