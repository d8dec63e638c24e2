"""The lender: the owner of the duty `budgets` under one term. Free of I/O, clock and chance.

A new one does not know what a former one's loans still hold. Until the longest of them has ended it renews to
each borrower no more than that borrower says it holds: that was counted by the former one, whose loans were
within the pool together. Nobody who spoke to this one takes a loan of a former term any more: where all have,
it knows what is held, and waits for nothing but what lives that are over may have left under way.
"""

from collections.abc import Iterable, Mapping, Sequence

from ledgehitch.budgets.facts import Budget
from ledgehitch.budgets.ledger import Ledger, Loan, divided
from ledgehitch.budgets.turns import Turns
from ledgehitch.budgets.words import Words
from ledgehitch.owners.facts import RATES

AGAIN = 0.03  # of a loan between two divisions
NOISE = 0.1  # of a loan by which a new division must differ somewhere before any loan is moved
GRAINS = 200  # of an equal share's parts: below this a difference is noise, too


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
        loan: float,
        former: float = 0.0,
        bound: float = RATES,
    ) -> None:
        """`now`: when the duty was won. `own`: parts of each budget that a gateway has without a loan, by its
        number; `pool`: what of each may be lent, to `members`. `digests`: of the versions of the site that
        borrowers may go by. `loan`: seconds; `former`: of a former lender's loans, where these were longer.
        `bound`: by which two clocks' rates may differ."""
        self.term, self.own, self.digests, self.loan = term, dict(own), tuple(digests), loan
        self.counted = loan * (1.0 + bound)  # how long what a borrower calls `loan` lasts here
        self.budgets, self.members = tuple(budgets), frozenset(members)
        self.ledger = Ledger(budgets, pool)
        # What a former lender answered was asked before its lease ended, so before this one was won.
        longest = max(loan, former) * (1.0 + bound)
        self.waits = [now + longest + b.lag for b in self.budgets]
        self.silent = set(self.members)  # who has not spoken under this term
        self.wanted: dict[int, tuple[float, tuple[int, ...]]] = {}
        self.targets: list[dict[int, int]] = [{} for _ in self.budgets]
        self.turns = [Turns(term, loan) for _ in self.budgets]
        self.counts: dict[str, int] = {}
        self._number = 0
        self._divided_at = -1e18

    def of(
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

    def wants(self, now: float, member: int, words: Words) -> Words | None:
        """A borrower's word; gives what may be answered now, and not later: the caller looks at its lease."""
        if words.digest not in self.digests or len(words.loans) != len(self.budgets):
            return self._none("other budgets, or another version of the site")
        if words.term != self.term:
            return self._none("asked under another term")
        if member not in self.members:
            return self._none("a gateway that is not stated")
        binds = now + self.counted
        if not self.ledger.said(now, member, words.life, words.sequence, words.number, words.held, binds):
            return self._none("doubled or overtaken")
        self.silent.discard(member)
        if not self.silent:
            self.waits = [min(w, now + b.lag) for w, b in zip(self.waits, self.budgets, strict=True)]
        fresh = member not in self.wanted
        self.wanted[member] = now, words.wanted
        if fresh or now - self._divided_at >= AGAIN * self.loan:
            self._divide(now)
        loans = []
        for i, budget in enumerate(self.budgets):
            parts = min(self.targets[i].get(member, 0), self.ledger.free(now, member, words.life, i))
            parts = min(parts, words.loans[i]) if now < self.waits[i] else parts
            loans.append(parts // budget.grain * budget.grain)
            if loans[i]:
                self.turns[i].begins(now, member)
        self._number += 1
        loan = Loan(self._number, tuple(loans), now + self.counted)
        if not self.ledger.lent(now, member, words.life, loan):
            return self._none("too many loans that may be in force")
        return Words(
            "lent", words.digest, self.term, words.life, words.sequence, self._number, self.loan, loan.parts
        )

    def _divide(self, now: float) -> None:
        self._divided_at = now
        # Who has not asked for a loan's length has none, and is not there to be given one.
        self.wanted = {m: w for m, w in sorted(self.wanted.items()) if now - w[0] < self.loan}
        for i, budget in enumerate(self.budgets):
            wanted = {m: w[i] for m, (_, w) in self.wanted.items()}
            own = {m: self.own[m][i] for m in wanted if m in self.own}
            first = self.turns[i].order(now, wanted, own, self.targets[i]) if budget.grain > 1 else ()
            new = divided(self.ledger.pool[i], own, wanted, budget.grain, first)
            if self._moved(i, self.targets[i], new):
                self.targets[i] = new
            if budget.grain > 1:
                self.turns[i].divided(now, wanted, own, self.targets[i])

    def _moved(self, budget: int, old: dict[int, int], new: dict[int, int]) -> bool:
        """Guards against flutter: loans that chance alone would move stay where they are."""
        if old.keys() != new.keys():
            return True
        least = self.ledger.pool[budget] // (GRAINS * max(1, len(self.members)))
        return any(abs(new[m] - parts) > max(NOISE * parts, least) for m, parts in old.items())

    def told(self, now: float) -> list[dict[str, object]]:
        """For people: each budget's pool, what counts as lent by member, and what is wanted."""
        out: list[dict[str, object]] = []
        for i, budget in enumerate(self.budgets):
            self.ledger.free(now, -1, 0, i)
            lent = {m: t[i] for m, t in sorted(self.ledger.taken.items()) if t[i]}
            wanted = {m: w[i] for m, (_, w) in sorted(self.wanted.items())}
            out.append(
                {
                    "budget": budget.name,
                    "pool": self.ledger.pool[i],
                    "lent": lent,
                    "wanted": wanted,
                    "waits": round(max(0.0, self.waits[i] - now), 3),
                }
            )
        return out

    def _none(self, why: str) -> Words | None:
        self.counts[why] = self.counts.get(why, 0) + 1
        return None
