"""How the fleet's budgets are divided, from what each gateway says. Free of I/O.

Nothing is smoothed over: who is silent is named, and sums above the whole are shown as such.
"""

from collections.abc import Mapping, Sequence

import msgspec

ENOUGH = 1e-6  # of the whole: rounding of parts


class Mine(msgspec.Struct):
    """One budget at one gateway, in parts of the whole."""

    own: int
    loan: int
    wanted: int
    used: int
    unit: str


class Lends(msgspec.Struct):
    """One budget at the lender. `lent`: what counts as lent, by gateway's number."""

    budget: str
    pool: int
    lent: dict[int, int]
    waits: float


class Told(msgspec.Struct):
    whole: int
    budgets: dict[str, Mine]
    loan_left: float
    alone: str
    term: int
    lends: list[Lends] | None = None


class Divided(msgspec.Struct):
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


def read(body: bytes) -> Told | str:
    """What one gateway says, or why it does not read."""
    try:
        return msgspec.json.decode(body, type=Told)
    except msgspec.MsgspecError as wrong:
        return f"what it says does not read: {wrong}"[:200]


def divided(told: Mapping[str, Told]) -> list[Divided]:
    names = sorted({budget for t in told.values() for budget in t.budgets})
    return [_one(budget, told) for budget in names]


def _one(budget: str, told: Mapping[str, Told]) -> Divided:
    some = {name: (t.budgets[budget], t.whole) for name, t in told.items() if budget in t.budgets}
    by = {n: (m.own / w, m.loan / w, m.wanted / w) for n, (m, w) in some.items()}
    own, lent = sum(o for o, _, _ in by.values()), sum(loan for _, loan, _ in by.values())
    unmet = sum(max(0.0, wanted - o - loan) for o, loan, wanted in by.values())
    books = [(n, x, t.whole) for n, t in told.items() for x in t.lends or () if x.budget == budget]
    wrong = []
    if own + lent > 1 + ENOUGH:
        wrong.append(f"gateways say {own + lent:.4f} of the whole together; a loan that moved while they "
                     "were asked counts twice: ask again")  # fmt: skip
    for name, book, whole in books:
        if sum(book.lent.values()) > book.pool or book.pool > whole:
            wrong.append(f"{name} has lent {sum(book.lent.values()) / whole:.4f} of {book.pool / whole:.4f}")
    if len(books) > 1:
        wrong.append(f"{', '.join(n for n, _, _ in books)} say that they lend: see `fleet owners`")
    units = sorted({m.unit for m, _ in some.values()})
    free = (books[0][1].pool - sum(books[0][1].lent.values())) / books[0][2] if len(books) == 1 else None
    return Divided(budget, ", ".join(units), own, lent, sum(m.used / w for m, w in some.values()),
                   sum(w for _, _, w in by.values()), unmet, free,
                   max((x.waits for _, x, _ in books), default=0.0), by, "; ".join(wrong))  # fmt: skip


def remarks(told: Mapping[str, Told], silent: Sequence[tuple[str, str]]) -> list[str]:
    """Lines on who does not answer, who has its own part alone, and who lends."""
    out = [f"{name}: silent, {why}" for name, why in silent]
    out += [f"{name}: own parts alone: {t.alone}" for name, t in told.items() if t.alone]
    out += [f"{name} lends under term {t.term}" for name, t in told.items() if t.lends is not None]
    return out
