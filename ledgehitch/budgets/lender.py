"""The lender: the owner of the duty `budgets` under one term. Free of I/O, clock and chance.

A new one does not know what a former one's loans still hold. Until the longest of them has ended it renews to
each borrower no more than that borrower says it holds: that was counted by the former one, whose loans were
within the pool together. Nobody who spoke to this one takes a loan of a former term any more: where all have,
it knows what is held, and waits for nothing but what lives that are over may have left under way.
"""

from collections.abc import Iterable, Mapping, Sequence

from ledgehitch.budgets.facts import Budget
from ledgehitch.budgets.ledger import Ledger, Loan, divide
from ledgehitch.budgets.turns import Turns
from ledgehitch.budgets.words import LoanMessage
from ledgehitch.owners.facts import MAX_CLOCK_DRIFT

DIVISION_INTERVAL = 0.03  # of a loan between two divisions
MIN_CHANGE = 0.1  # of a loan by which a new division must differ somewhere before any loan is moved
MIN_CHANGE_DIVISOR = 200  # of an equal share's parts: below this a difference is noise, too


class Lender:
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
        number; `pool`: what of each may be lent, to `members`. `digests`: of the versions of the site that
        borrowers may go by. `loan`: seconds; `former`: of a former lender's loans, where these were longer.
        `bound`: by which two clocks' rates may differ."""
        self.term, self.own, self.digests, self.loan_duration = term, dict(own), tuple(digests), loan_duration
        self.reserved_duration = loan_duration * (
            1.0 + clock_drift
        )  # how long what a borrower calls `loan` lasts here
        self.budgets, self.members = tuple(budgets), frozenset(members)
        self.ledger = Ledger(budgets, pool)
        # What a former lender answered was asked before its lease ended, so before this one was won.
        max_duration = max(loan_duration, former_loan_duration) * (1.0 + clock_drift)
        self.waits_until = [now + max_duration + b.lag for b in self.budgets]
        self.unheard = set(self.members)  # who has not spoken under this term
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
        """The same budgets of other wholes, or a change of the list that has settled. What was lent is known,
        and numbers go on: guards against a book that begins anew within a term, whose loans nobody takes."""
        self.budgets = self.ledger.budgets = tuple(budgets)
        self.own, self.ledger.pool, self.digests = dict(own), tuple(pool), tuple(digests)
        self.members = frozenset(members)

    def on_request(self, now: float, member: int, message: LoanMessage) -> LoanMessage | None:
        """A borrower's word; gives what may be answered now, and not later: the caller looks at its lease."""
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
        # Who has not asked for a loan's length has none, and is not there to be given one.
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
        """Guards against flutter: loans that chance alone would move stay where they are."""
        if old.keys() != new.keys():
            return True
        threshold = self.ledger.pool[budget] // (MIN_CHANGE_DIVISOR * max(1, len(self.members)))
        return any(abs(new[m] - parts) > max(MIN_CHANGE * parts, threshold) for m, parts in old.items())

    def status(self, now: float) -> list[dict[str, object]]:
        """For people: each budget's pool, what counts as lent by member, and what is wanted."""
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
