"""The parts that a lender must count as lent, and the division of the rest. Free of I/O, clocks and random
numbers.

A borrower counts a loan from its request on, by its own clock. The lender counts it from its answer on, which
is later, and longer by the bound on clock drift. Until the lender hears that a newer loan was taken (a
borrower never returns to an older one), each answered loan may be the one in force, so the largest of them
counts. So the parts in force never exceed the whole at any moment.
"""

import heapq
from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field

from ledgehitch.budgets.facts import Budget

MAX_OPEN_LOANS = 24  # to one life of a member that may still be in force; further ones are refused
MAX_LIVES = 4  # of one member whose loans may still be in force


@dataclass(slots=True)
class Loan:
    """A loan, or a borrower's report of the parts that it holds."""

    number: int
    parts: tuple[int, ...]
    expires_at: float  # by the lender's clock, without the lag of a budget


@dataclass(slots=True)
class BorrowerLife:
    """One life of a borrower. `reported`: the parts that it last reported as held."""

    sequence: int = -1
    loans: list[Loan] = field(default_factory=list)
    reported: Loan | None = None
    reserved: list[int] = field(default_factory=list)  # of each budget, at the last recount

    def entries(self) -> list[Loan]:
        """Returns the loans and the report that may be in force."""
        return [*self.loans, self.reported] if self.reported is not None else self.loans


class Ledger:
    """The loans of one lender. Times are seconds of its clock."""

    def __init__(self, budgets: Sequence[Budget], pool: Sequence[int]) -> None:
        """`pool`: lendable parts of each budget."""
        self.budgets, self.pool = tuple(budgets), tuple(pool)
        self.borrowers: dict[int, dict[int, BorrowerLife]] = {}  # by member, by life
        self.reserved: dict[int, list[int]] = {}  # by member, of each budget
        self.reserved_sums = [0] * len(self.budgets)
        self._expiries: list[tuple[float, int]] = []
        self._max_lag = max((b.lag for b in self.budgets), default=0.0)

    def on_report(
        self,
        now: float,
        member: int,
        life: int,
        sequence: int,
        number: int,
        held: tuple[int, ...],
        expires_at: float,
    ) -> bool:
        """Handles a borrower's report: it returns to no loan below `number`, and `held` counts until
        `expires_at`. Returns False for a duplicated or overtaken report, which is ignored."""
        lives = self.borrowers.setdefault(member, {})
        if life not in lives:
            if len(lives) >= MAX_LIVES:
                return False
            lives[life] = BorrowerLife(reserved=[0] * len(self.budgets))
        borrower = lives[life]
        if sequence <= borrower.sequence:
            return False
        borrower.sequence = sequence
        borrower.loans = [loan for loan in borrower.loans if loan.number >= number]
        borrower.reported = Loan(0, held, expires_at)
        self._recount(now, member)
        return True

    def add_loan(self, now: float, member: int, life: int, loan: Loan) -> bool:
        """Counts a loan before it is answered; returns whether it may be answered."""
        borrower = self.borrowers[member][life]
        if len(borrower.loans) >= MAX_OPEN_LOANS:
            return False
        borrower.loans.append(loan)
        self._recount(now, member)
        return True

    def available(self, now: float, member: int, life: int, budget: int) -> int:
        """Returns the parts that this life of a member may have beside all other loans in force."""
        self._expire(now)
        if self.budgets[budget].lag:
            borrower = self.borrowers.get(member, {}).get(life)
            own_reserved = borrower.reserved[budget] if borrower is not None else 0
        else:
            own_reserved = self.reserved[member][budget] if member in self.reserved else 0
        return max(0, self.pool[budget] - self.reserved_sums[budget] + own_reserved)

    def _recount(self, now: float, member: int) -> None:
        lives = self.borrowers.get(member, {})
        newest = next(reversed(lives), None)
        next_expiry = 1e18
        for life, borrower in list(lives.items()):
            borrower.reserved = [0] * len(self.budgets)
            for loan in borrower.entries():
                for i, budget in enumerate(self.budgets):
                    released_at = loan.expires_at + budget.lag
                    if released_at > now and loan.parts[i]:
                        borrower.reserved[i], next_expiry = (
                            max(borrower.reserved[i], loan.parts[i]),
                            min(next_expiry, released_at),
                        )
            borrower.loans = [loan for loan in borrower.loans if loan.expires_at + self._max_lag > now]
            if life != newest and not borrower.loans and not any(borrower.reserved):
                del lives[life]  # none of its loans can be in force
        # Of a count, use begun by a killed life continues beside its next life, so the lives are added. A
        # loan of a rate ends with its process.
        parts = [
            sum(reserved_by_life) if budget.lag else max(reserved_by_life, default=0)
            for budget, reserved_by_life in zip(
                self.budgets,
                zip(*(borrower.reserved for borrower in lives.values()), strict=True),
                strict=False,
            )
        ]
        parts = parts or [0] * len(self.budgets)
        former_parts = self.reserved.get(member, [0] * len(self.budgets))
        self.reserved_sums = [
            s - b + p for s, b, p in zip(self.reserved_sums, former_parts, parts, strict=True)
        ]
        self.reserved[member] = parts
        if next_expiry < 1e17:
            heapq.heappush(self._expiries, (next_expiry, member))

    def _expire(self, now: float) -> None:
        while self._expiries and self._expiries[0][0] <= now:
            self._recount(now, heapq.heappop(self._expiries)[1])


def water_fill(pool: int, needs: Mapping[int, int]) -> dict[int, int]:
    """Divides the pool by water-filling: each member gets its need up to a common level.

    No member that needs less loses to one that asks for more. Ties are broken by member number."""
    shares, remaining = {}, pool
    order = sorted(needs, key=lambda m: (needs[m], m))
    for place, member in enumerate(order):
        shares[member] = min(needs[member], remaining // (len(order) - place))
        remaining -= shares[member]
    return shares


def divide(
    pool: int, own: Mapping[int, int], wanted: Mapping[int, int], grain: int = 1, priority: Sequence[int] = ()
) -> dict[int, int]:
    """Divides the pool into loans by the wanted parts, which include own parts.

    The surplus is lent in equal parts, so that a jump in need has room at once. Of a count, loans are whole
    units; `priority` orders the members that get one if there are too few."""
    needs = {m: max(0, w - own.get(m, 0)) for m, w in wanted.items()}
    if grain > 1:
        units_needed = {m: -(-need // grain) for m, need in needs.items()}
        order = priority or sorted(needs, key=lambda m: (-needs[m], m))
        return {m: units * grain for m, units in water_fill_units(pool // grain, units_needed, order).items()}
    loans = water_fill(pool, needs)
    remaining = pool - sum(loans.values())
    return {m: parts + remaining // len(loans) for m, parts in loans.items()}


def water_fill_units(units: int, needs: Mapping[int, int], priority: Sequence[int]) -> dict[int, int]:
    """Divides as `water_fill` does, in whole units.

    The remainder of the common level goes to the first members by priority that need more, one unit each. The
    surplus is distributed evenly, its remainder by priority."""
    shares, remaining = dict[int, int](), units
    order = sorted(needs, key=lambda m: (needs[m], m))
    for place, member in enumerate(order):
        level = remaining // (len(order) - place)
        if needs[member] > level:
            unmet = set(order[place:])
            remaining -= level * len(unmet)
            one_more = {
                m for m, _ in zip((m for m in priority if m in unmet), range(remaining), strict=False)
            }
            return shares | {m: level + (m in one_more) for m in order[place:]}
        shares[member] = needs[member]
        remaining -= needs[member]
    each, extra = divmod(remaining, max(1, len(shares)))
    places = {m: place for place, m in enumerate(priority)}
    return {m: parts + each + (places[m] < extra) for m, parts in shares.items()}
