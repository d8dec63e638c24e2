"""The lender: the owner of the duty `budgets` under one term. Free of I/O, clocks and random numbers.

A new lender does not know which loans of the former one are in force. Until the longest of them has ended, it
renews to each borrower at most what that borrower reports as held: the former lender counted it, and its
loans were within the pool. A borrower that has sent a request to this lender takes no loan of a former term.
Once all have, the lender knows what is held, and waits only for use that ended lives may have begun.
"""

from collections.abc import Iterable, Mapping, Sequence

from ledgehitch.budgets.facts import Budget
from ledgehitch.budgets.ledger import Ledger, Loan, divide
from ledgehitch.budgets.messages import LoanMessage
from ledgehitch.budgets.turns import Turns
from ledgehitch.owners.facts import MAX_CLOCK_DRIFT

DIVISION_INTERVAL = 0.03  # of a loan's duration, between two divisions
MIN_CHANGE = 0.1  # of a loan; a new division with only smaller differences is not applied
MIN_CHANGE_DIVISOR = 200  # differences below this fraction (1 / n) of an equal share are ignored, too


class Lender:
    """Answers the requests of borrowers under one term."""

    def __init__(
        self,
        now: float,
        term: int,
        budgets: Sequence[Budget],
        own: Mapping[int, Sequence[int]],
        pool: Sequence[int],
        members: Iterable[int],
        digests: Sequence[bytes],
        loan_duration: float,
        former_loan_duration: float = 0.0,
        clock_drift: float = MAX_CLOCK_DRIFT,
    ) -> None:
        """`now`: when the duty was won. `own`: parts of each budget that a gateway has without a loan, by its
        number. `pool`: lendable parts of each budget, for `members`. `digests`: of the versions of the site
        that borrowers may use. `loan_duration`: in seconds. `former_loan_duration`: of a former lender, if
        longer. `clock_drift`: maximum relative difference between the rates of two clocks."""
        self.term, self.own, self.digests, self.loan_duration = term, dict(own), tuple(digests), loan_duration
        self.reserved_duration = loan_duration * (1.0 + clock_drift)  # a loan's duration by this clock
        self.budgets, self.members = tuple(budgets), frozenset(members)
        self.ledger = Ledger(budgets, pool)
        # Loans of a former lender were requested before its lease ended, so before this one was won.
        max_duration = max(loan_duration, former_loan_duration) * (1.0 + clock_drift)
        self.waits_until = [now + max_duration + b.lag for b in self.budgets]
        self.unheard = set(self.members)  # members without a request under this term
        self.wanted: dict[int, tuple[float, tuple[int, ...]]] = {}
        self.targets: list[dict[int, int]] = [{} for _ in self.budgets]
        self.turns = [Turns(term, loan_duration) for _ in self.budgets]
        self.counts: dict[str, int] = {}
        self._number = 0
        self._last_division_at = -1e18

    def reconfigure(
        self,
        budgets: Sequence[Budget],
        own: Mapping[int, Sequence[int]],
        pool: Sequence[int],
        members: Iterable[int],
        digests: Sequence[bytes],
    ) -> None:
        """Applies other wholes of the same budgets, or a settled change of the list.

        The ledger and the loan numbers continue: within a term, borrowers take no loan with a lower
        number."""
        self.budgets = self.ledger.budgets = tuple(budgets)
        self.own, self.ledger.pool, self.digests = dict(own), tuple(pool), tuple(digests)
        self.members = frozenset(members)

    def on_request(self, now: float, member: int, message: LoanMessage) -> LoanMessage | None:
        """Handles a borrower's request and returns the answer, None if it is refused.

        The caller must check its lease and send the answer at once."""
        if message.digest not in self.digests or len(message.loans) != len(self.budgets):
            return self._refuse("other budgets, or another version of the site")
        if message.term != self.term:
            return self._refuse("asked under another term")
        if member not in self.members:
            return self._refuse("a gateway that is not stated")
        expires_at = now + self.reserved_duration
        if not self.ledger.on_report(
            now, member, message.life, message.sequence, message.number, message.held, expires_at
        ):
            return self._refuse("doubled or overtaken")
        self.unheard.discard(member)
        if not self.unheard:
            self.waits_until = [
                min(w, now + b.lag) for w, b in zip(self.waits_until, self.budgets, strict=True)
            ]
        is_new = member not in self.wanted
        self.wanted[member] = now, message.wanted
        if is_new or now - self._last_division_at >= DIVISION_INTERVAL * self.loan_duration:
            self._divide(now)
        loans = []
        for i, budget in enumerate(self.budgets):
            parts = min(self.targets[i].get(member, 0), self.ledger.available(now, member, message.life, i))
            parts = min(parts, message.loans[i]) if now < self.waits_until[i] else parts
            loans.append(parts // budget.grain * budget.grain)
            if loans[i]:
                self.turns[i].on_lent(now, member)
        self._number += 1
        loan = Loan(self._number, tuple(loans), now + self.reserved_duration)
        if not self.ledger.add_loan(now, member, message.life, loan):
            return self._refuse("too many loans that may be in force")
        return LoanMessage(
            "lent",
            message.digest,
            self.term,
            message.life,
            message.sequence,
            self._number,
            self.loan_duration,
            loan.parts,
        )

    def _divide(self, now: float) -> None:
        self._last_division_at = now
        # A member without a request for the duration of a loan has none, and is left out.
        self.wanted = {m: w for m, w in sorted(self.wanted.items()) if now - w[0] < self.loan_duration}
        for i, budget in enumerate(self.budgets):
            wanted = {m: w[i] for m, (_, w) in self.wanted.items()}
            own = {m: self.own[m][i] for m in wanted if m in self.own}
            priority = self.turns[i].order(now, wanted, own, self.targets[i]) if budget.grain > 1 else ()
            new = divide(self.ledger.pool[i], own, wanted, budget.grain, priority)
            if self._differs(i, self.targets[i], new):
                self.targets[i] = new
            if budget.grain > 1:
                self.turns[i].on_division(now, wanted, own, self.targets[i])

    def _differs(self, budget: int, old: dict[int, int], new: dict[int, int]) -> bool:
        """Returns whether a new division differs enough to be applied, so that noise moves no loans."""
        if old.keys() != new.keys():
            return True
        threshold = self.ledger.pool[budget] // (MIN_CHANGE_DIVISOR * max(1, len(self.members)))
        return any(abs(new[m] - parts) > max(MIN_CHANGE * parts, threshold) for m, parts in old.items())

    def status(self, now: float) -> list[dict[str, object]]:
        """Returns each budget's pool, lent and wanted parts by member, for operators."""
        rows: list[dict[str, object]] = []
        for i, budget in enumerate(self.budgets):
            self.ledger.available(now, -1, 0, i)
            lent = {m: t[i] for m, t in sorted(self.ledger.reserved.items()) if t[i]}
            wanted = {m: w[i] for m, (_, w) in sorted(self.wanted.items())}
            rows.append(
                {
                    "budget": budget.name,
                    "pool": self.ledger.pool[i],
                    "lent": lent,
                    "wanted": wanted,
                    "waits": round(max(0.0, self.waits_until[i] - now), 3),
                }
            )
        return rows

    def _refuse(self, reason: str) -> LoanMessage | None:
        self.counts[reason] = self.counts.get(reason, 0) + 1
        return None
