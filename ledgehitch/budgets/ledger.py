"""What a lender must count as taken, and how it divides what is left. Free of I/O, clock and chance.

A borrower counts a loan from when it asked, by its own clock; the lender from when it answered, which is
later, and longer by the bound on how far two clocks' rates may differ. Until it hears that a newer loan was
taken (a borrower never goes back to an older one) each loan that was answered may be the one in force: the
largest of them counts. So the parts in force are at no true moment more than the whole.
"""

import heapq
from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field

from ledgehitch.budgets.facts import Budget

MAX_OPEN_LOANS = 24  # loans to one life of a member that may still be in force; further ones wait
MAX_LIVES = 4  # of one member of which loans may still be in force


@dataclass(slots=True)
class Loan:
    number: int
    parts: tuple[int, ...]
    expires_at: float  # by the lender's clock, without the lag of a budget


@dataclass(slots=True)
class BorrowerLife:
    """One life of a member. `said`: what it said last that counts as taken, and up to when that binds."""

    sequence: int = -1
    loans: list[Loan] = field(default_factory=list)
    reported: Loan | None = None
    reserved: list[int] = field(default_factory=list)  # of each budget, as counted last

    def entries(self) -> list[Loan]:
        return [*self.loans, self.reported] if self.reported is not None else self.loans


class Ledger:
    def __init__(self, budgets: Sequence[Budget], pool: Sequence[int]) -> None:
        """`pool`: parts of each budget that may be lent."""
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
        """A borrower's word: it goes back to none of its loans below `number`, and `held` is taken in any
        case, up to `binds`. Whether it counts: one that is doubled or was overtaken does not."""
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
        """Whether it may be answered: it is counted before it is."""
        borrower = self.borrowers[member][life]
        if len(borrower.loans) >= MAX_OPEN_LOANS:
            return False
        borrower.loans.append(loan)
        self._recount(now, member)
        return True

    def available(self, now: float, member: int, life: int, budget: int) -> int:
        """Parts that this life of a member may have, with all that may be in force elsewhere."""
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
                del lives[life]  # nothing of it can be in force
        # Guards against what a killed life left under way being lent again to its next one: that adds up. A
        # rate's loan ends with its process.
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
    """Water-filling: everybody gets what it needs up to one level that uses up the pool; nobody who needs
    less loses to one who asks for more. Ties fall by number."""
    shares, remaining = {}, pool
    order = sorted(needs, key=lambda m: (needs[m], m))
    for place, member in enumerate(order):
        shares[member] = min(needs[member], remaining // (len(order) - place))
        remaining -= shares[member]
    return shares


def divide(
    pool: int, own: Mapping[int, int], wanted: Mapping[int, int], grain: int = 1, priority: Sequence[int] = ()
) -> dict[int, int]:
    """Loans by what is wanted, own part included. What nobody needs is lent in equal parts, so that a need
    that jumps has room at once. Of what is counted they are whole things; `first`: who is to have one where
    not all can."""
    needs = {m: max(0, w - own.get(m, 0)) for m, w in wanted.items()}
    if grain > 1:
        units_needed = {m: -(-need // grain) for m, need in needs.items()}
        order = priority or sorted(needs, key=lambda m: (-needs[m], m))
        return {m: units * grain for m, units in water_fill_units(pool // grain, units_needed, order).items()}
    loans = water_fill(pool, needs)
    remaining = pool - sum(loans.values())
    return {m: parts + remaining // len(loans) for m, parts in loans.items()}


def water_fill_units(units: int, needs: Mapping[int, int], priority: Sequence[int]) -> dict[int, int]:
    """As `filled`, in whole things: what one level for all leaves over goes, one to each, to the first who
    need more; what nobody needs to all alike, and what is left of that to the first."""
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
