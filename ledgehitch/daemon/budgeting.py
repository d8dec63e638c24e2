"""Carries out budgets: what this gateway needs is asked of the lender and told to the door; the work of the
duty `budgets` answers others. Words ride in membership's frames.
"""

import random
import secrets
import time
from typing import Any

import structlog

from ledgehitch.budgets.borrower import Borrower
from ledgehitch.budgets.facts import ASKS, WHOLE, Budget, budgets_of, digest_of, loan_of, own_parts
from ledgehitch.budgets.lender import Lender
from ledgehitch.budgets.words import BadWords, Words, read, written
from ledgehitch.config import Site
from ledgehitch.daemon.membership import Membership
from ledgehitch.daemon.owning import Owning
from ledgehitch.gateway.doorman import Doorman
from ledgehitch.loop import Loop
from ledgehitch.owners.facts import BUDGETS, promise_of
from ledgehitch.owners.words import NOBODY

LOOKS = 10  # at whether it is time to ask, in the time between two questions
log = structlog.get_logger("budgets")


class Budgeting:
    def __init__(self, loop: Loop, site: Site, owning: Owning, membership: Membership, doorman: Doorman,
                 seed: int) -> None:  # fmt: skip
        self.loop, self.owning, self.membership, self.doorman = loop, owning, membership, doorman
        self.names, self.chance = tuple(membership.names), random.Random(seed)
        self.patience = max(p.patience for p in site.packages)
        self.loan = loan_of(site.owners.lease)
        self.lender: Lender | None = None
        self.borrower, self.digest = Borrower((), 0, 0, b"", self.loan), b""
        self.bad: dict[str, int] = {}
        self.trouble = ""  # why it has its own part alone
        self._joined_at: float | None = None
        self._told: tuple[float, float] = (-1.0, -1.0)
        self.placed(site)
        owning.more = self._heard
        doorman.look = self._look
        self._asking = loop.spawn(self._ask, name="asks for loans")

    def placed(self, site: Site) -> None:
        """The site's limits, at start and at a reload. The same budgets go on; others are borrowed anew."""
        d = site.door
        budgets: tuple[Budget, ...] = budgets_of(d.package_rates, d.set_ups, self.patience)
        self.budgets = budgets
        digest = digest_of(budgets, site.budgets.own_part, self.names)
        if digest == self.digest:  # wholes alone have changed: parts of them go on
            self.borrower.budgets = budgets
            if self.lender is not None:
                self.lender.of(budgets)
            return
        self.digest = digest
        self.lender = None
        self.borrower = Borrower(budgets, 0, secrets.randbits(32), self.digest, self.loan)

    # ---- the part of this gateway --------------------------------------------------------------------------

    def _own(self, now: float) -> int:
        """Parts that need nobody. Guards against a newcomer taking a part that others still have: it waits
        until those that it heard go by its list, and as long as a loan of the lender before may last."""
        owners = self.owning.owners
        if not owners.joined(now):
            self._joined_at = None
            return 0
        if self._joined_at is None:
            sure = owners.memory.intact or owners.memory.begun  # it, or nobody, had a part before
            self._joined_at = -1e18 if sure else now
        if now < self._joined_at + promise_of(loan_of(owners.memory.lists.any_lease())):
            return 0
        return int(owners.memory.lists.own_share() * WHOLE)

    def _look(self, mono: float) -> None:
        """Before anybody is let in: a loan that ended while the process stood still is over."""
        now, b = self.owning.now(), self.borrower
        b.clock(self.owning.owners.clock_good)
        b.own = self._own(now)
        left = b.until - now if b.holds(now) else 0.0
        if (b.own, b.until if left else 0.0) != self._told:
            self._told = b.own, b.until if left else 0.0
            lent = {x.name: b.loans[i] / WHOLE for i, x in enumerate(b.budgets)} if left else {}
            self.doorman.shared(mono, b.own / WHOLE, lent, mono + left)

    def _ask(self) -> None:
        while True:
            self._look(time.monotonic())
            self._once()
            self.loop.sleep(self.loan / ASKS / LOOKS * self.chance.uniform(0.9, 1.1))

    def _once(self) -> None:
        now, b, owners = self.owning.now(), self.borrower, self.owning.owners
        owner, term = owners.owner_of(now, BUDGETS)
        why = ("nobody is known to lend" if owner == NOBODY else
               "the list of gateways changes" if owners.memory.lists.former else
               "it does not count among the others yet" if not owners.joined(now) else "")  # fmt: skip
        if why != self.trouble:
            self.trouble = why
            log.warning("own parts alone", why=why) if why else log.info("loans again", term=term)
        if why or not b.budgets:
            return
        used, wanted = self.doorman.needs(time.monotonic())
        parts = [{k: min(WHOLE, int(share * WHOLE)) for k, share in some.items()} for some in (used, wanted)]
        words = b.asks(now, term, *parts)
        if words is None:
            return
        if owner != owners.me:
            self.membership.send(owner, written(words))
        elif (answer := self._answer(owners.me, words)) is not None:
            self._taken(answer)

    def _taken(self, words: Words) -> None:
        if self.borrower.lent(self.owning.now(), words):
            self._look(time.monotonic())

    # ---- what is heard -------------------------------------------------------------------------------------

    def _heard(self, sender: int, body: bytes) -> None:
        try:
            words = read(body)
        except BadWords as why:
            self.bad[str(why)] = self.bad.get(str(why), 0) + 1
            return
        if words.kind == "lent":
            self._taken(words)
        elif (answer := self._answer(sender, words)) is not None:
            self.membership.send(sender, written(answer))

    def _answer(self, member: int, words: Words) -> Words | None:
        """Only under a lease that runs; while the list of gateways changes nothing is lent."""
        term, owners = self.owning.owns(BUDGETS), self.owning.owners
        if not term or owners.memory.lists.former or self.lender is None or self.lender.term != term:
            return None
        return self.lender.wants(self.owning.now(), member, words)

    # ---- the duty ------------------------------------------------------------------------------------------

    def run(self, term: int) -> None:
        """As owner of the duty; ended with the term. It begins anew where budgets or the list change."""
        while True:
            owners = self.owning.owners
            stale = self.lender is None or self.lender.term != term or self.lender.digest != self.digest
            if stale and not owners.memory.lists.former:
                own = own_parts(owners.memory.lists.own_part, len(self.names))
                former = loan_of(owners.memory.lists.any_lease())
                self.lender = Lender(self.owning.now(), term, self.budgets, own, len(self.names), self.digest,
                                     self.loan, former)  # fmt: skip
                log.info("lends", term=term, pool=self.lender.ledger.pool / WHOLE)
            self.loop.sleep(self.loan / ASKS / LOOKS)

    def doing(self) -> str:
        if self.lender is None:
            return "waits: the list of gateways changes"
        waits = max([w - self.owning.now() for w in self.lender.waits], default=0.0)
        if waits > 0:
            return f"renews what is held, divides anew in {waits:.1f} s at most"
        return f"lends to {len(self.lender.wanted)} of {len(self.names)}"

    def close(self) -> None:
        self._asking.cancel()
        self.owning.more = self.doorman.look = None

    def state(self) -> dict[str, Any]:
        """For people: this gateway's part, and as lender what it lends."""
        now, b = self.owning.now(), self.borrower
        lends = self.lender is not None and self.owning.owns(BUDGETS) == self.lender.term
        used = self.doorman.uses()
        held = b.holds(now)
        mine = {x.name: {"own": b.own, "loan": b.loans[i] if held else 0, "wanted": b.wanted[i],
                         "used": min(WHOLE, int(used.get(x.name, 0.0) * WHOLE)), "unit": x.unit}
                for i, x in enumerate(b.budgets)}  # fmt: skip
        return {
            "whole": WHOLE, "budgets": mine, "loan_left": round(max(0.0, b.until - now), 3) if held else 0.0,
            "term": b.term, "digest": self.digest.hex(), "alone": self.trouble, "refused": dict(b.counts),
            "bad_words": dict(self.bad),
            "lends": self.lender.told(now) if lends and self.lender is not None else None,
            "lender_refused": dict(self.lender.counts) if lends and self.lender is not None else {},
            "names": list(self.names),
        }  # fmt: skip
