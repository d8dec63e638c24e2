"""Carries out budgets: what this gateway needs is asked of the lender and told to the door; the work of the
duty `budgets` answers others. Words ride in membership's frames.
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
from ledgehitch.budgets.parts import OwnPart, lending_terms
from ledgehitch.budgets.words import InvalidMessage, LoanMessage, decode, encode
from ledgehitch.config import Site
from ledgehitch.daemon.membership import Membership
from ledgehitch.daemon.owning import NO_SHARE, Owning
from ledgehitch.gateway.doorman import AdmissionService
from ledgehitch.loop import Loop
from ledgehitch.owners.facts import BUDGETS, MemberLists
from ledgehitch.owners.words import NO_MEMBER

LOOKS = 10  # at whether it is time to ask, in the time between two questions
log = structlog.get_logger("budgets")


class Budgeting:
    borrower: Borrower

    def __init__(
        self,
        loop: Loop,
        site: Site,
        owning: Owning,
        membership: Membership,
        doorman: AdmissionService,
        seed: int,
    ) -> None:
        self.loop, self.owning, self.membership, self.doorman = loop, owning, membership, doorman
        self.names, self.chance = tuple(membership.names), random.Random(seed)
        self.patience = max(p.patience for p in site.packages)
        self.loan = loan_duration(site.owners.lease)
        self.lender: Lender | None = None
        self.budgets: tuple[Budget, ...] = ()
        self.lists: MemberLists = owning.of(BUDGETS).owners.durable.lists  # by which it borrows and lends now
        self.bad: dict[str, int] = {}
        self.trouble = ""  # why it has its own part alone
        # Parts of the whole that the scope has in which it lends and borrows: all, or a region's share.
        self.share, self.to_lend = owning.share(), owning.share_to_lend()
        self.own = OwnPart(owning.now(), self.lists, owning.name, (), self.share)
        self._told: tuple[tuple[int, ...], float] = ((), -1.0)
        self.placed(site)
        owning.more = self._heard
        doorman.refresh_share = self._look
        self._asking = loop.spawn(self._ask, name="asks for loans")

    def placed(self, site: Site) -> None:
        """The site's limits, at start and at a reload. Where wholes alone have changed, parts of them go on;
        other budgets are borrowed anew."""
        d, before = site.door, [(x.name, x.unit) for x in self.budgets]
        self.budgets = budgets_of(d.package_rates, d.set_ups, self.patience)
        self.own.set_budgets(self.budgets, self.share)
        if before and before == [(x.name, x.unit) for x in self.budgets]:
            self.borrower.budgets = self.budgets
            self._goes_on()
            return
        self.lender = None
        life = secrets.randbits(32)
        nothing = (0,) * len(self.budgets)
        self.borrower = Borrower(self.budgets, nothing, life, self._digests(), self.loan)

    def _digests(self) -> tuple[bytes, ...]:
        """Of the versions of the site that may be about, this gateway's own first."""
        lists = self.lists
        versions = [(lists.own_part, lists.current), (lists.former_own_part, lists.former)]
        return tuple(budgets_digest(self.budgets, part, names) for part, names in versions if names)

    def _listed(self) -> None:
        """A change of the list that has settled, or has begun to be one, or a larger share: loans go on by
        what is left."""
        lists = self.owning.of(BUDGETS).owners.durable.lists
        shares = self.owning.share(), self.owning.share_to_lend()
        if shares != (self.share, self.to_lend):
            self.share, self.to_lend = shares
            log.info("share", now=self.share / WHOLE, to_lend=self.to_lend / WHOLE)
            self.own.set_budgets(self.budgets, self.share)
            self._goes_on()
        if lists != self.lists:
            self.lists = lists
            self.own.on_list_change(self.owning.now(), lists)
            self.borrower.digests = self._digests()
            self._goes_on()

    def _goes_on(self) -> None:
        if self.lender is not None:
            self.lender.reconfigure(self.budgets, *self._lent_by(), self._digests())

    # ---- the part of this gateway --------------------------------------------------------------------------

    def _look(self, mono: float) -> None:
        """Before anybody is let in: a loan that ended while the process stood still is over."""
        self._listed()
        now, b = self.owning.now(), self.borrower
        owners = self.owning.of(BUDGETS).owners
        b.on_clock_check(owners.clock_good)
        b.own = self.own.parts_at(
            now, owners.joined(now), owners.durable.intact or owners.durable.bootstrapped
        )
        left = b.loan_until - now if b.loan_valid(now) else 0.0
        if (b.own, b.loan_until if left else 0.0) != self._told:
            self._told = b.own, b.loan_until if left else 0.0
            lent = {x.name: b.loans[i] / WHOLE for i, x in enumerate(b.budgets)} if left else {}
            own = {x.name: b.own[i] / WHOLE for i, x in enumerate(b.budgets)}
            rest = next((own[x.name] for x in b.budgets if x.unit == "rate"), 0.0)
            self.doorman.set_share(mono, rest, lent, mono + left, own)

    def _ask(self) -> None:
        while True:
            self._look(time.monotonic())
            self._once()
            self.loop.sleep(self.loan / REQUESTS_PER_LOAN / LOOKS * self.chance.uniform(0.9, 1.1))

    def _once(self) -> None:
        now, b, owners = self.owning.now(), self.borrower, self.owning.of(BUDGETS).owners
        owner, term = owners.owner_of(now, BUDGETS)
        why = (
            NO_SHARE
            if owner == NO_MEMBER and not self.share
            else "nobody is known to lend"
            if owner == NO_MEMBER
            else "it does not count among the others yet"
            if not owners.joined(now)
            else ""
        )
        if why != self.trouble:
            self.trouble = why
            log.warning("own parts alone", why=why) if why else log.info("loans again", term=term)
        if why or not b.budgets:
            return
        used, wanted = self.doorman.demand(time.monotonic())
        words = b.next_request(
            now,
            term,
            {x.name: parts_used(x, used.get(x.name, 0.0)) for x in b.budgets},
            {x.name: parts_wanted(x, wanted.get(x.name, 0.0)) for x in b.budgets},
        )
        if words is None:
            return
        self.doorman.on_demand_reported()
        if owner != owners.me:
            self.membership.send(owner, encode(words))
        elif (answer := self._answer(owners.me, words)) is not None:
            self._taken(answer)

    def _taken(self, words: LoanMessage) -> None:
        if self.borrower.on_loan(self.owning.now(), words):
            self._look(time.monotonic())

    # ---- what is heard -------------------------------------------------------------------------------------

    def _heard(self, sender: int, body: bytes) -> None:
        try:
            words = decode(body)
        except InvalidMessage as why:
            self.bad[str(why)] = self.bad.get(str(why), 0) + 1
            return
        if words.kind == "lent":
            self._taken(words)
        elif (answer := self._answer(sender, words)) is not None:
            self.membership.send(sender, encode(answer))

    def _answer(self, member: int, words: LoanMessage) -> LoanMessage | None:
        """Only under a lease that runs."""
        term = self.owning.owned_term(BUDGETS)
        if not term or self.lender is None or self.lender.term != term:
            return None
        return self.lender.on_request(self.owning.now(), member, words)

    # ---- the duty ------------------------------------------------------------------------------------------

    def run(self, term: int) -> None:
        """As owner of the duty; ended with the term. It begins anew where budgets or the list change."""
        while True:
            self._listed()
            if self.lender is None or self.lender.term != term:
                self.lender = self._lends(term)
                log.info("lends", term=term, pool=[parts / WHOLE for parts in self.lender.ledger.pool])
            self.loop.sleep(self.loan / REQUESTS_PER_LOAN / LOOKS)

    def _lends(self, term: int) -> Lender:
        former = loan_duration(self.lists.max_recorded_lease())
        return Lender(
            self.owning.now(), term, self.budgets, *self._lent_by(), self._digests(), self.loan, former
        )

    def _lent_by(self) -> tuple[dict[int, tuple[int, ...]], tuple[int, ...], set[int]]:
        numbers = {name: n for n, name in enumerate(self.names)}
        return lending_terms(
            self.budgets, self.lists, self.owning.of(BUDGETS).owners.durable.gone, numbers, self.to_lend
        )

    def doing(self) -> str:
        if self.lender is None:
            return "begins"
        waits = max([w - self.owning.now() for w in self.lender.waits_until], default=0.0)
        if waits > 0:
            return f"renews what is held, divides anew in {waits:.1f} s at most"
        return f"lends to {len(self.lender.wanted)} of {len(self.lender.members)}"

    def close(self) -> None:
        self._asking.cancel()
        self.owning.more = self.doorman.refresh_share = None

    def state(self) -> dict[str, Any]:
        """For people: this gateway's part, and as lender what it lends."""
        now, b = self.owning.now(), self.borrower
        lends = self.lender is not None and self.owning.owned_term(BUDGETS) == self.lender.term
        used = self.doorman.usage()
        held = b.loan_valid(now)
        mine = {
            x.name: {
                "own": b.own[i],
                "loan": b.loans[i] if held else 0,
                "wanted": b.wanted[i],
                "used": parts_used(x, used.get(x.name, 0.0)),
                "unit": x.unit,
            }
            for i, x in enumerate(b.budgets)
        }
        return {
            "whole": WHOLE,
            "budgets": mine,
            "loan_left": round(max(0.0, b.loan_until - now), 3) if held else 0.0,
            "term": b.term,
            "digests": [d.hex() for d in b.digests],
            "alone": self.trouble,
            "refused": dict(b.counts),
            "bad_words": dict(self.bad),
            "lends": self.lender.status(now) if lends and self.lender is not None else None,
            "lender_refused": dict(self.lender.counts) if lends and self.lender is not None else {},
            "names": list(self.names),
            "region": self.owning.of(BUDGETS).region,
            "share": self.share,
        }
