"""Summarizes how the fleet's budgets are divided, from the reports of the gateways. Free of I/O.

Gateways without a report are named, and sums above the whole are reported as errors.
"""

from collections.abc import Mapping, Sequence

import msgspec

ROUNDING_TOLERANCE = 1e-6  # as a share of the whole, for the rounding of parts


class GatewayBudget(msgspec.Struct):
    """One budget at one gateway, in parts of the whole."""

    own: int
    loan: int
    wanted: int
    used: int
    unit: str


class LenderAccount(msgspec.Struct):
    """One budget at the lender, in parts of the whole. `lent`: parts on loan, by the gateway's number."""

    budget: str
    pool: int
    lent: dict[int, int]
    waits: float


class BudgetReport(msgspec.Struct):
    """The budgets of one gateway. `lends`: its accounts as a lender, None if it is not one.

    `loan_left`: seconds left of its loans; `alone`: why it has only its own parts, empty if it has not.
    """

    whole: int
    budgets: dict[str, GatewayBudget]
    loan_left: float
    alone: str
    term: int
    lends: list[LenderAccount] | None = None
    region: str = ""
    share: int | None = None  # parts of the whole that its region has; None: all of them


class BudgetSummary(msgspec.Struct):
    """One budget over the fleet, in shares of the whole, 0 to 1. `wrong`: the inconsistencies found."""

    budget: str
    unit: str
    own: float
    lent: float
    used: float
    wanted: float
    unmet: float
    free: float | None  # by the lenders' accounts; None if one is missing
    waits: float
    by: dict[str, tuple[float, float, float]]  # own, loan, wanted
    wrong: str = ""
    # By region: the share that it uses, and of that the own parts, the loans and the use.
    regions: dict[str, tuple[float, float, float, float]] = {}


def decode_report(body: bytes) -> BudgetReport | str:
    """Returns the report of one gateway, or why it does not decode."""
    try:
        return msgspec.json.decode(body, type=BudgetReport)
    except msgspec.MsgspecError as error:
        return f"what it says does not read: {error}"[:200]


def summarize_budgets(reports: Mapping[str, BudgetReport]) -> list[BudgetSummary]:
    """Returns the summary of each budget, from the reports by gateway."""
    names = sorted({budget for t in reports.values() for budget in t.budgets})
    return [_summarize(budget, reports) for budget in names]


def _summarize(budget: str, reports: Mapping[str, BudgetReport]) -> BudgetSummary:
    budgets = {name: (t.budgets[budget], t.whole) for name, t in reports.items() if budget in t.budgets}
    by_gateway = {n: (m.own / w, m.loan / w, m.wanted / w) for n, (m, w) in budgets.items()}
    own, lent = sum(o for o, _, _ in by_gateway.values()), sum(loan for _, loan, _ in by_gateway.values())
    unmet = sum(max(0.0, wanted - o - loan) for o, loan, wanted in by_gateway.values())
    accounts = [(n, x, t.whole) for n, t in reports.items() for x in t.lends or () if x.budget == budget]
    wrong = []
    if own + lent > 1 + ROUNDING_TOLERANCE:
        wrong.append(
            f"gateways say {own + lent:.4f} of the whole together; a loan that moved while they "
            "were asked counts twice: ask again"
        )
    for name, account, whole in accounts:
        if sum(account.lent.values()) > account.pool or account.pool > whole:
            wrong.append(
                f"{name} has lent {sum(account.lent.values()) / whole:.4f} of {account.pool / whole:.4f}"
            )
    names = sorted({t.region for t in reports.values() if t.region})
    regions = {region: _region_shares(budget, region, reports) for region in names}
    lenders = [(reports[n].region, n) for n, _, _ in accounts]
    if len({region for region, _ in lenders}) < len(lenders):
        wrong.append(f"{', '.join(n for n, _, _ in accounts)} say that they lend: see `fleet owners`")
    for region, (share, own_parts, loans, _) in regions.items():
        if own_parts + loans > share + ROUNDING_TOLERANCE:
            wrong.append(
                f"gateways of {region} say {own_parts + loans:.4f} of the whole together, its share is "
                f"{share:.4f}; what moved meanwhile counts twice: ask again"
            )
    if sum(share for share, _, _, _ in regions.values()) > 1 + ROUNDING_TOLERANCE:
        wrong.append("regions say that they use more than the whole together")
    units = sorted({m.unit for m, _ in budgets.values()})
    unlent = [(account.pool - sum(account.lent.values())) / whole for _, account, whole in accounts]
    free = sum(unlent) if len(unlent) == max(1, len(regions)) else None
    return BudgetSummary(
        budget,
        ", ".join(units),
        own,
        lent,
        sum(m.used / w for m, w in budgets.values()),
        sum(w for _, _, w in by_gateway.values()),
        unmet,
        free,
        max((x.waits for _, x, _ in accounts), default=0.0),
        by_gateway,
        "; ".join(wrong),
        regions,
    )


def _region_shares(
    budget: str, region: str, reports: Mapping[str, BudgetReport]
) -> tuple[float, float, float, float]:
    in_region = [t for t in reports.values() if t.region == region]
    own_parts = [(t.budgets[budget], t.whole) for t in in_region if budget in t.budgets]
    share = max((t.whole if t.share is None else t.share) / t.whole for t in in_region)
    return (
        share,
        sum(m.own / w for m, w in own_parts),
        sum(m.loan / w for m, w in own_parts),
        sum(m.used / w for m, w in own_parts),
    )


def remarks(reports: Mapping[str, BudgetReport], silent: Sequence[tuple[str, str]]) -> list[str]:
    """Returns lines on gateways that did not answer, that have only their own parts, and that lend."""
    out = [f"{name}: silent, {why}" for name, why in silent]
    out += [f"{name}: own parts alone: {t.alone}" for name, t in reports.items() if t.alone]
    out += [f"{name} lends under term {t.term}" for name, t in reports.items() if t.lends is not None]
    return out
