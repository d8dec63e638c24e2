"""Runs the lending protocol of `budgets`: its I/O, and the work of the duty `budgets`.

As borrower, this gateway requests what it needs from the lender and passes its share to admission control. As
owner of the duty, it is the lender and answers requests. Messages travel in the frames of the membership
protocol.
"""

import random
import secrets
import time
from typing import Any

import structlog

from ledgehitch.budgets.borrower import Borrower
from ledgehitch.budgets.facts import (
    REQUESTS_PER_LOAN,
    WHOLE,
    Budget,
    budgets_digest,
    budgets_of,
    loan_duration,
    parts_used,
    parts_wanted,
)
from ledgehitch.budgets.lender import Lender
from ledgehitch.budgets.messages import InvalidMessage, LoanMessage, decode, encode
from ledgehitch.budgets.parts import OwnPart, lending_terms
from ledgehitch.config import Site
from ledgehitch.daemon.membership import Membership
from ledgehitch.daemon.owning import SHARE_NOT_RELEASED, Owning
from ledgehitch.gateway.admission import AdmissionService
from ledgehitch.loop import Loop
from ledgehitch.owners.facts import BUDGETS, MemberLists
from ledgehitch.owners.messages import NO_MEMBER

CHECKS_PER_REQUEST = 10  # in the time between two requests: whether the next one is due
log = structlog.get_logger("budgets")


class Budgeting:
    """The borrower of this gateway, and its lender while it owns the duty `budgets`."""

    borrower: Borrower

    def __init__(
        self,
        loop: Loop,
        site: Site,
        owning: Owning,
        membership: Membership,
        admission: AdmissionService,
        seed: int,
    ) -> None:
        self.loop, self.owning, self.membership, self.admission = loop, owning, membership, admission
        self.names, self.rng = tuple(membership.names), random.Random(seed)
        self.patience = max(p.patience for p in site.packages)
        self.loan = loan_duration(site.owners.lease)
        self.lender: Lender | None = None
        self.budgets: tuple[Budget, ...] = ()
        # The member lists that borrowing and lending are based on now.
        self.lists: MemberLists = owning.scope_of(BUDGETS).owners.durable.lists
        self.rejected_messages: dict[str, int] = {}
        self.no_loan_reason = ""  # why it uses its own part alone
        # Parts of WHOLE available in the scope of the duty: all of it, or the share of a region.
        self.share, self.to_lend = owning.share(), owning.share_to_lend()
        self.own_part = OwnPart(owning.now(), self.lists, owning.name, (), self.share)
        self._last_share: tuple[tuple[int, ...], float] = ((), -1.0)
        self.configure(site)
        owning.on_budget_message = self._on_message
        admission.refresh_share = self._refresh_share
        self._request_task = loop.spawn(self._request_loans, name="loan requests")

    def configure(self, site: Site) -> None:
        """Applies the limits of the site, at start and at a reload.

        If only the totals have changed, current loans stay valid; with other budgets a new borrower starts.
        """
        door, previous = site.door, [(budget.name, budget.unit) for budget in self.budgets]
        self.budgets = budgets_of(door.package_rates, door.set_ups, self.patience)
        self.own_part.set_budgets(self.budgets, self.share)
        if previous and previous == [(budget.name, budget.unit) for budget in self.budgets]:
            self.borrower.budgets = self.budgets
            self._reconfigure_lender()
            return
        self.lender = None
        life = secrets.randbits(32)
        no_loans = (0,) * len(self.budgets)
        self.borrower = Borrower(self.budgets, no_loans, life, self._digests(), self.loan)

    def _digests(self) -> tuple[bytes, ...]:
        """Returns the digests of the site versions that may be in use, this gateway's own first."""
        lists = self.lists
        versions = [(lists.own_part, lists.current), (lists.former_own_part, lists.former)]
        return tuple(budgets_digest(self.budgets, part, names) for part, names in versions if names)

    def _apply_list_changes(self) -> None:
        """Applies a change of the member lists, begun or completed, or of the share; loans stay within the
        remaining parts."""
        lists = self.owning.scope_of(BUDGETS).owners.durable.lists
        shares = self.owning.share(), self.owning.share_to_lend()
        if shares != (self.share, self.to_lend):
            self.share, self.to_lend = shares
            log.info("share of the region changed", now=self.share / WHOLE, to_lend=self.to_lend / WHOLE)
            self.own_part.set_budgets(self.budgets, self.share)
            self._reconfigure_lender()
        if lists != self.lists:
            self.lists = lists
            self.own_part.on_list_change(self.owning.now(), lists)
            self.borrower.digests = self._digests()
            self._reconfigure_lender()

    def _reconfigure_lender(self) -> None:
        if self.lender is not None:
            self.lender.reconfigure(self.budgets, *self._lending_terms(), self._digests())

    # ---- borrower ------------------------------------------------------------------------------------------

    def _refresh_share(self, mono: float) -> None:
        """Passes the current share to admission control.

        Called before each admission too, so that a loan that expired while the process was suspended is not
        used. `mono`: seconds of the monotonic clock.
        """
        self._apply_list_changes()
        now, borrower = self.owning.now(), self.borrower
        owners = self.owning.scope_of(BUDGETS).owners
        borrower.on_clock_check(owners.clock_good)
        borrower.own = self.own_part.parts_at(
            now, owners.joined(now), owners.durable.intact or owners.durable.bootstrapped
        )
        left = borrower.loan_until - now if borrower.loan_valid(now) else 0.0
        if (borrower.own, borrower.loan_until if left else 0.0) != self._last_share:
            self._last_share = borrower.own, borrower.loan_until if left else 0.0
            lent = (
                {budget.name: borrower.loans[i] / WHOLE for i, budget in enumerate(borrower.budgets)}
                if left
                else {}
            )
            own = {budget.name: borrower.own[i] / WHOLE for i, budget in enumerate(borrower.budgets)}
            rate_part = next((own[budget.name] for budget in borrower.budgets if budget.unit == "rate"), 0.0)
            self.admission.set_share(mono, rate_part, lent, mono + left, own)

    def _request_loans(self) -> None:
        while True:
            self._refresh_share(time.monotonic())
            self._request_loan()
            self.loop.sleep(self.loan / REQUESTS_PER_LOAN / CHECKS_PER_REQUEST * self.rng.uniform(0.9, 1.1))

    def _request_loan(self) -> None:
        now, borrower, owners = self.owning.now(), self.borrower, self.owning.scope_of(BUDGETS).owners
        owner, term = owners.owner_of(now, BUDGETS)
        why = (
            SHARE_NOT_RELEASED
            if owner == NO_MEMBER and not self.share
            else "nobody is known to lend"
            if owner == NO_MEMBER
            else "it does not count among the others yet"
            if not owners.joined(now)
            else ""
        )
        if why != self.no_loan_reason:
            self.no_loan_reason = why
            log.warning("using own parts only", why=why) if why else log.info("borrowing again", term=term)
        if why or not borrower.budgets:
            return
        used, wanted = self.admission.demand(time.monotonic())
        message = borrower.next_request(
            now,
            term,
            {budget.name: parts_used(budget, used.get(budget.name, 0.0)) for budget in borrower.budgets},
            {budget.name: parts_wanted(budget, wanted.get(budget.name, 0.0)) for budget in borrower.budgets},
        )
        if message is None:
            return
        self.admission.on_demand_reported()
        if owner != owners.me:
            self.membership.send(owner, encode(message))
        elif (answer := self._answer(owners.me, message)) is not None:
            self._on_loan(answer)

    def _on_loan(self, message: LoanMessage) -> None:
        if self.borrower.on_loan(self.owning.now(), message):
            self._refresh_share(time.monotonic())

    # ---- messages ------------------------------------------------------------------------------------------

    def _on_message(self, sender: int, body: bytes) -> None:
        try:
            message = decode(body)
        except InvalidMessage as why:
            self.rejected_messages[str(why)] = self.rejected_messages.get(str(why), 0) + 1
            return
        if message.kind == "lent":
            self._on_loan(message)
        elif (answer := self._answer(sender, message)) is not None:
            self.membership.send(sender, encode(answer))

    def _answer(self, member: int, message: LoanMessage) -> LoanMessage | None:
        """Returns the lender's reply, or None if this gateway holds no valid lease of the duty."""
        term = self.owning.owned_term(BUDGETS)
        if not term or self.lender is None or self.lender.term != term:
            return None
        return self.lender.on_request(self.owning.now(), member, message)

    # ---- lender --------------------------------------------------------------------------------------------

    def run(self, term: int) -> None:
        """Lends as owner of the duty until cancelled at the end of the term; a new lender starts when the
        budgets change."""
        while True:
            self._apply_list_changes()
            if self.lender is None or self.lender.term != term:
                self.lender = self._new_lender(term)
                log.info("lending", term=term, pool=[parts / WHOLE for parts in self.lender.ledger.pool])
            self.loop.sleep(self.loan / REQUESTS_PER_LOAN / CHECKS_PER_REQUEST)

    def _new_lender(self, term: int) -> Lender:
        former = loan_duration(self.lists.max_recorded_lease())
        return Lender(
            self.owning.now(), term, self.budgets, *self._lending_terms(), self._digests(), self.loan, former
        )

    def _lending_terms(self) -> tuple[dict[int, tuple[int, ...]], tuple[int, ...], set[int]]:
        numbers = {name: n for n, name in enumerate(self.names)}
        return lending_terms(
            self.budgets, self.lists, self.owning.scope_of(BUDGETS).owners.durable.gone, numbers, self.to_lend
        )

    def doing(self) -> str:
        """Returns the lender's progress for operators."""
        if self.lender is None:
            return "begins"
        wait = max([until - self.owning.now() for until in self.lender.waits_until], default=0.0)
        if wait > 0:
            return f"renews what is held, divides anew in {wait:.1f} s at most"
        return f"lends to {len(self.lender.wanted)} of {len(self.lender.members)}"

    def close(self) -> None:
        """Stops borrowing; admission control keeps its last share."""
        self._request_task.cancel()
        self.owning.on_budget_message = self.admission.refresh_share = None

    def state(self) -> dict[str, Any]:
        """Returns the state for operators: this gateway's share, and as lender what it has lent."""
        now, borrower = self.owning.now(), self.borrower
        lends = self.lender is not None and self.owning.owned_term(BUDGETS) == self.lender.term
        used = self.admission.usage()
        loan_valid = borrower.loan_valid(now)
        own_budgets = {
            budget.name: {
                "own": borrower.own[i],
                "loan": borrower.loans[i] if loan_valid else 0,
                "wanted": borrower.wanted[i],
                "used": parts_used(budget, used.get(budget.name, 0.0)),
                "unit": budget.unit,
            }
            for i, budget in enumerate(borrower.budgets)
        }
        return {
            "whole": WHOLE,
            "budgets": own_budgets,
            "loan_left": round(max(0.0, borrower.loan_until - now), 3) if loan_valid else 0.0,
            "term": borrower.term,
            "digests": [d.hex() for d in borrower.digests],
            "alone": self.no_loan_reason,
            "refused": dict(borrower.counts),
            "bad_words": dict(self.rejected_messages),
            "lends": self.lender.status(now) if lends and self.lender is not None else None,
            "lender_refused": dict(self.lender.counts) if lends and self.lender is not None else {},
            "names": list(self.names),
            "region": self.owning.scope_of(BUDGETS).region,
            "share": self.share,
        }
