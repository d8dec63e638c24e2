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

MOST_OUT = 24  # loans to one life of a member that may still be in force; further ones wait
MOST_LIVES = 4  # of one member of which loans may still be in force


@dataclass(slots=True)
class Loan:
    number: int
    parts: tuple[int, ...]
    ends: float  # by the lender's clock, without the lag of a budget


@dataclass(slots=True)
class Taker:
    """One life of a member. `said`: what it said last that counts as taken, and up to when that binds."""

    sequence: int = -1
    loans: list[Loan] = field(default_factory=list)
    said: Loan | None = None
    taken: list[int] = field(default_factory=list)  # of each budget, as counted last

    def entries(self) -> list[Loan]:
        return [*self.loans, self.said] if self.said is not None else self.loans


class Ledger:
    def __init__(self, budgets: Sequence[Budget], pool: Sequence[int]) -> None:
        """`pool`: parts of each budget that may be lent."""
        self.budgets, self.pool = tuple(budgets), tuple(pool)
        self.takers: dict[int, dict[int, Taker]] = {}  # by member, by life
        self.taken: dict[int, list[int]] = {}  # by member, of each budget
        self.sums = [0] * len(self.budgets)
        self._ends: list[tuple[float, int]] = []
        self._longest = max((b.lag for b in self.budgets), default=0.0)

    def said(
        self,
        now: float,
        member: int,
        life: int,
        sequence: int,
        number: int,
        held: tuple[int, ...],
        binds: float,
    ) -> bool:
        """A borrower's word: it goes back to none of its loans below `number`, and `held` is taken in any
        case, up to `binds`. Whether it counts: one that is doubled or was overtaken does not."""
        lives = self.takers.setdefault(member, {})
        if life not in lives:
            if len(lives) >= MOST_LIVES:
                return False
            lives[life] = Taker(taken=[0] * len(self.budgets))
        one = lives[life]
        if sequence <= one.sequence:
            return False
        one.sequence = sequence
        one.loans = [loan for loan in one.loans if loan.number >= number]
        one.said = Loan(0, held, binds)
        self._counted(now, member)
        return True

    def lent(self, now: float, member: int, life: int, loan: Loan) -> bool:
        """Whether it may be answered: it is counted before it is."""
        one = self.takers[member][life]
        if len(one.loans) >= MOST_OUT:
            return False
        one.loans.append(loan)
        self._counted(now, member)
        return True

    def free(self, now: float, member: int, life: int, budget: int) -> int:
        """Parts that this life of a member may have, with all that may be in force elsewhere."""
        self._expire(now)
        if self.budgets[budget].lag:
            one = self.takers.get(member, {}).get(life)
            mine = one.taken[budget] if one is not None else 0
        else:
            mine = self.taken[member][budget] if member in self.taken else 0
        return max(0, self.pool[budget] - self.sums[budget] + mine)

    def _counted(self, now: float, member: int) -> None:
        lives = self.takers.get(member, {})
        newest = next(reversed(lives), None)
        ends = 1e18
        for life, one in list(lives.items()):
            one.taken = [0] * len(self.budgets)
            for loan in one.entries():
                for i, budget in enumerate(self.budgets):
                    over = loan.ends + budget.lag
                    if over > now and loan.parts[i]:
                        one.taken[i], ends = max(one.taken[i], loan.parts[i]), min(ends, over)
            one.loans = [loan for loan in one.loans if loan.ends + self._longest > now]
            if life != newest and not one.loans and not any(one.taken):
                del lives[life]  # nothing of it can be in force
        # Guards against what a killed life left under way being lent again to its next one: that adds up. A
        # rate's loan ends with its process.
        parts = [
            sum(each) if budget.lag else max(each, default=0)
            for budget, each in zip(
                self.budgets, zip(*(one.taken for one in lives.values()), strict=True), strict=False
            )
        ]
        parts = parts or [0] * len(self.budgets)
        before = self.taken.get(member, [0] * len(self.budgets))
        self.sums = [s - b + p for s, b, p in zip(self.sums, before, parts, strict=True)]
        self.taken[member] = parts
        if ends < 1e17:
            heapq.heappush(self._ends, (ends, member))

    def _expire(self, now: float) -> None:
        while self._ends and self._ends[0][0] <= now:
            self._counted(now, heapq.heappop(self._ends)[1])


def filled(pool: int, needs: Mapping[int, int]) -> dict[int, int]:
    """Water-filling: everybody gets what it needs up to one level that uses up the pool; nobody who needs
    less loses to one who asks for more. Ties fall by number."""
    out, left = {}, pool
    order = sorted(needs, key=lambda m: (needs[m], m))
    for place, member in enumerate(order):
        out[member] = min(needs[member], left // (len(order) - place))
        left -= out[member]
    return out


def divided(
    pool: int, own: Mapping[int, int], wanted: Mapping[int, int], grain: int = 1, first: Sequence[int] = ()
) -> dict[int, int]:
    """Loans by what is wanted, own part included. What nobody needs is lent in equal parts, so that a need
    that jumps has room at once. Of what is counted they are whole things; `first`: who is to have one where
    not all can."""
    needs = {m: max(0, w - own.get(m, 0)) for m, w in wanted.items()}
    if grain > 1:
        whole = {m: -(-need // grain) for m, need in needs.items()}
        order = first or sorted(needs, key=lambda m: (-needs[m], m))
        return {m: things * grain for m, things in whole_ones(pool // grain, whole, order).items()}
    out = filled(pool, needs)
    left = pool - sum(out.values())
    return {m: parts + left // len(out) for m, parts in out.items()}


def whole_ones(things: int, needs: Mapping[int, int], first: Sequence[int]) -> dict[int, int]:
    """As `filled`, in whole things: what one level for all leaves over goes, one to each, to the first who
    need more; what nobody needs to all alike, and what is left of that to the first."""
    out, left = dict[int, int](), things
    order = sorted(needs, key=lambda m: (needs[m], m))
    for place, member in enumerate(order):
        level = left // (len(order) - place)
        if needs[member] > level:
            short = set(order[place:])
            left -= level * len(short)
            lifted = {m for m, _ in zip((m for m in first if m in short), range(left), strict=False)}
            return out | {m: level + (m in lifted) for m in order[place:]}
        out[member] = needs[member]
        left -= needs[member]
    each, more = divmod(left, max(1, len(out)))
    places = {m: place for place, m in enumerate(first)}
    return {m: parts + each + (places[m] < more) for m, parts in out.items()}
