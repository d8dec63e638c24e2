"""Carries out owners: words in membership's frames, votes and fences on disk, a clock that goes on while the
machine sleeps, and a duty's work begun when it is won and ended when it is lost.
"""

import os
import random
import secrets
import time
from collections.abc import Callable, Sequence
from pathlib import Path
from typing import Any, Protocol

import msgspec
import structlog

from ledgehitch.budgets.facts import loan_duration
from ledgehitch.budgets.words import FIRST_KIND as OF_BUDGETS
from ledgehitch.config import BadInput, Site
from ledgehitch.config.site import stated
from ledgehitch.daemon.membership import Membership
from ledgehitch.loop import Event, Loop, run_forked
from ledgehitch.loop.kernel import Task
from ledgehitch.loop.timers import Timer
from ledgehitch.owners.clock import ClockCheck
from ledgehitch.owners.decide import Lost, Owners, Renewed, Send, Store, Won
from ledgehitch.owners.facts import BUDGETS, DUTIES, vote_duration
from ledgehitch.owners.memory import DurableState
from ledgehitch.owners.words import InvalidMessage, decode, encode
from ledgehitch.quality.keep import SnapshotStore as File
from ledgehitch.regions.facts import REGIONAL_DUTIES, WHOLE, Region, region_of, regions_digest, regions_of
from ledgehitch.regions.shares import initial_shares

DISK_AGAIN = 1.0  # seconds until a disk that took nothing is tried again
NO_SHARE = "others may still use the share of its region"
log = structlog.get_logger("owners")


class Work(Protocol):
    """What an owner does. `run` is a task of its own that ends with the term; `doing` is for people."""

    def run(self, term: int) -> None: ...
    def doing(self) -> str: ...


class Scope:
    """The duties of one scope, all gateways or those of a region: words out, and a file of their votes."""

    def __init__(self, owning: "Owning", region: str, file: File, owners: Owners) -> None:
        """`region`: empty for the duties of all."""
        self.owning, self.loop, self.region = owning, owning.loop, region
        self.file, self.owners = file, owners
        self.disk = ""  # why it took nothing the last time
        self.writing: Event | None = None  # set when what is on its way to the disk is there, or is not
        self._timer: Timer | None = None
        self._disk_again = 0.0

    def pull(self) -> None:
        own = self.owning
        now = own.now()
        own.look(self)
        while self.writing is None and (decision := self.owners.decide(now)) is not None:
            match decision:
                case Send():
                    self._send(decision)
                case Store(record, then):
                    if self._disk_again > time.monotonic():
                        self.owners.on_store_failed(now)
                        break
                    self.writing = Event(self.loop)
                    self.loop.spawn(self._keep, record, then, name="votes to disk", owner=own.home)
                case Won(duty, term):
                    log.info("won", duty=duty, term=term, **self._told())
                    own.begin(duty, term)
                case Renewed(duty, term, left):
                    log.warning("renewed late", duty=duty, term=term, left=round(left, 3), **self._told())
                case Lost(duty, term, why, late):
                    log.warning("lost", duty=duty, term=term, why=why, late=round(late, 3), **self._told())
                    own.end(duty)
        if self._timer is not None:
            self.loop.timers.cancel(self._timer)
        wait = max(0.005, self.owners.wake_at(now) - now, self._disk_again - time.monotonic())
        self._timer = self.loop.call_at(time.monotonic() + min(wait, 3600.0), self.pull)

    def _told(self) -> dict[str, str]:
        return {"region": self.region} if self.region else {}

    def _keep(self, record: dict[str, Any], then: tuple[Send, ...]) -> None:
        """Written, synced, moved into its place; or nothing is said that rests on it. A copy of the process
        does it, so that viewers do not wait for the disk. Should this process be killed meanwhile, the copy
        holds its lock until it is through: no new life reads a file that an old one still writes."""

        def put() -> None:
            try:
                self.file.write(record)
            except OSError as problem:
                os._exit(problem.errno or 5)

        code, writing = 5, self.writing
        try:
            code = run_forked(self.loop, put)
        finally:
            self.writing = None
            assert writing is not None
            writing.set()
        if code:
            if not self.disk:
                log.error("the disk takes no vote: none is given", why=os.strerror(abs(code)))
            self.disk, self._disk_again = os.strerror(abs(code)), time.monotonic() + DISK_AGAIN
            self.owners.on_store_failed(self.owning.now())
        else:
            if self.disk:
                log.info("the disk takes votes again")
            self.disk, self._disk_again = "", 0.0
            self.owners.on_stored(record)
            for send in then:
                self._send(send)
        self.pull()

    def _send(self, send: Send) -> None:
        self.owning.membership.send(send.recipient, encode(send.message))

    def write_out(self) -> None:
        """Waits until what was on its way to the disk is there; nothing is decided any more after it."""
        while self.writing is not None:
            self.writing.wait()
        if self._timer is not None:
            self.loop.timers.cancel(self._timer)
            self._timer = None
        self.writing = Event(self.loop)


class Owning:
    """All scopes of this gateway, with one clock: the duties of all, and where the site has regions those of
    its own, by the votes of the region's gateways alone."""

    def __init__(
        self, loop: Loop, site: Site, name: str, membership: Membership, directory: Path, seed: int
    ) -> None:
        self.loop, self.name, self.membership = loop, name, membership
        self.clock = ClockCheck(self._boottime(), time.monotonic())
        regions, self.region = regions_of(site), region_of(site, name)
        if regions and self.region not in [r.name for r in regions]:
            raise BadInput(f"gateway {name}: region {self.region!r} has no gateway that is not declared gone")
        self.regions = {g: r.name for r in regions for g in r.gateways}
        mine = tuple(d for d in DUTIES if d in REGIONAL_DUTIES) if regions else ()
        file = File(directory / f"{name}.owners", private=True, synced=True)
        held = self._held(file, "")
        rest = tuple(duty for duty in DUTIES if duty not in mine)
        everywhere = self._scope(site, "", stated(site), rest, file, held, regions, random.Random(seed))
        memory = everywhere.owners.durable
        lent = loan_duration(memory.lists.max_recorded_lease()) + max(p.patience for p in site.packages)
        waits = bool(memory.lists.former) and memory.lists.regions != regions_digest(regions)
        kept = held.get("shares") if memory.intact and held is not None else None
        shares = initial_shares(self.region, regions, stated(site), kept, waits)
        memory.set_shares(self._boottime(), shares, vote_duration(lent))
        self.scopes = [everywhere]
        if regions:
            inside = next(r.gateways for r in regions if r.name == self.region)
            file = File(directory / f"{name}.owners-region", private=True, synced=True)
            held = self._held(file, self.region)
            self.scopes.append(
                self._scope(site, self.region, inside, mine, file, held, regions, random.Random(seed + 1))
            )
        self._by_number = [self.of(duty) for duty in DUTIES]
        self.work: dict[str, Work] = {}
        self.at_work: dict[str, Task] = {}
        self.bad: dict[str, int] = {}
        self.home = loop.current
        self.is_serving: Callable[[], bool] = lambda: False  # whether this gateway takes viewings now
        self.more: Callable[[int, bytes], None] | None = None  # words of borrowers and lenders
        membership.more = self._heard
        self.pull()

    def _scope(
        self,
        site: Site,
        region: str,
        names: tuple[str, ...],
        duties: tuple[str, ...],
        file: File,
        held: Any,
        regions: Sequence[Region],
        chance: random.Random,
    ) -> Scope:
        now, numbered = self._boottime(), tuple(self.membership.names)
        gone = frozenset(set(numbered) - set(stated(site)))
        memory = DurableState(
            now,
            self.name,
            names,
            duties,
            site.owners.lease,
            held,
            secrets.randbits(32),
            own_part=site.budgets.own_part,
            gone=gone,
            regions=regions_digest(regions),
            scope=region,
        )
        some = set(memory.lists.current) | set(memory.lists.former)
        members = [n for n, one in enumerate(numbered) if not region or one in some]
        owners = Owners(
            now,
            numbered.index(self.name),
            numbered,
            memory,
            chance,
            members,
            [DUTIES.index(duty) for duty in duties],
        )
        return Scope(self, region, file, owners)

    @property
    def owners(self) -> Owners:
        """Of the duties of all."""
        return self.scopes[0].owners

    @property
    def disk(self) -> str:
        return next((scope.disk for scope in self.scopes if scope.disk), "")

    def of(self, duty: str) -> Scope:
        """The scope of a duty; that of all where nobody knows it, which counts it."""
        return next((scope for scope in self.scopes if duty in scope.owners.duties), self.scopes[0])

    def share(self) -> int:
        """Parts of WHOLE that this gateway's region may use now of each of the fleet's budgets."""
        shares = self.owners.durable.shares
        return WHOLE if shares is None else shares.in_force()

    def share_to_lend(self) -> int:
        """Of which a lender of this region may go by."""
        shares, lists = self.owners.durable.shares, self.of(BUDGETS).owners.durable.lists
        return WHOLE if shares is None else shares.lendable(lists.max_own_part(), bool(lists.former))

    @staticmethod
    def _boottime() -> float:
        return time.clock_gettime(time.CLOCK_BOOTTIME)

    def _held(self, file: File, scope: str) -> Any:
        """What the file holds; one that does not read counts as lost, and is said."""
        try:
            held = file.read()
            if isinstance(held, dict):
                # Guards against a file whose sum is right and whose fields are not: of another program.
                DurableState(0.0, self.name, (self.name,), DUTIES, 1.0, held, 0, scope=scope)
                if held.get("shares") is not None:
                    initial_shares("", (), (), held["shares"], False)
                return held
        except (msgspec.MsgspecError, KeyError, TypeError, ValueError) as wrong:
            log.error("the votes that were kept do not read, they count as lost", why=repr(wrong))
        return None

    def now(self) -> float:
        now = self._boottime()
        good = self.clock.check(now, time.monotonic())
        if good != self.owners.clock_good:
            log.error("the clock", good=good)
        for scope in self.scopes:
            scope.owners.on_clock_check(now, good)
        return now

    def _heard(self, sender: int, body: bytes) -> None:
        if body[0] >= OF_BUDGETS:
            if self.more is not None:
                self.more(sender, body)
            return
        try:
            words = decode(body)
        except InvalidMessage as why:
            self.bad[str(why)] = self.bad.get(str(why), 0) + 1
            return
        scope = self._by_number[words.duty] if words.duty < len(self._by_number) else self.scopes[0]
        scope.owners.on_message(self.now(), sender, words)
        scope.pull()

    def pull(self) -> None:
        for scope in self.scopes:
            scope.pull()

    def look(self, scope: Scope) -> None:
        """What a scope goes by that others know: whether this one should own anything now."""
        members = self.membership.members
        why = "drains" if not self.is_serving() else "slow itself" if members.is_slow() else ""
        scope.owners.on_membership(members.alive(), not why, why)
        unused = {} if self.share() else {duty: NO_SHARE for duty in REGIONAL_DUTIES}
        scope.owners.withheld = {d: why for d, why in unused.items() if d in scope.owners.duties}
        if scope is not self.scopes[0]:
            behind = bool(scope.owners.durable.lists.former)
            if self.owners.durable.region_unsettled and not behind:
                self.loop.call_soon(self.scopes[0].pull)
            self.owners.durable.region_unsettled = behind

    # ---- the work of a duty --------------------------------------------------------------------------------

    def begin(self, duty: str, term: int) -> None:
        self.end(duty)
        if duty in self.work:
            self.at_work[duty] = self.loop.spawn(self.work[duty].run, term, name=duty, owner=self.home)

    def end(self, duty: str) -> None:
        task = self.at_work.pop(duty, None)
        if task is not None:
            task.cancel()

    def owned_term(self, duty: str) -> int:
        """The term under which an effect may be sent now, 0 for none; looked at before each."""
        scope = self.of(duty)
        term = scope.owners.owned_term(self.now(), duty)
        if not term:
            self.loop.call_soon(scope.pull)
        return term

    def on_effect_refused(self, duty: str, term: int, known: int, where: str) -> None:
        """A receiver refused an effect of ours."""
        log.warning("refused", duty=duty, term=term, known=known, where=where)
        scope = self.of(duty)
        scope.owners.on_effect_refused(self.now(), duty, term, known, where)
        scope.pull()

    def accept_effect(self, duty: str, term: int, owner: str) -> int:
        """0 where an effect that came here may be carried out: it is on disk then. Else the term known."""
        scope = self.of(duty)
        taken = scope.owners.accepts_effect(duty, term)
        scope.pull()
        while taken and scope.owners.dirty() and scope.writing is not None:
            scope.writing.wait()
            self.loop.sleep(0.0)  # who wrote goes on first
        known = scope.owners.durable.fence.highest_term(duty)
        # A higher term may have come while the disk was waited for.
        if taken and not scope.owners.dirty() and known <= term:
            return 0
        log.warning("an owner is refused", duty=duty, owner=owner, term=term, known=known, disk=scope.disk)
        return max(known, 1)

    def resign(self) -> None:
        for scope in self.scopes:
            scope.owners.resign(self.now())
            scope.pull()

    def close(self) -> None:
        """Nothing is voted or owned any more; what was on its way to the disk is there."""
        self.membership.more = None
        for scope in self.scopes:
            scope.write_out()
        for duty in list(self.at_work):
            self.end(duty)

    def state(self) -> dict[str, Any]:
        """For people. Where the site has regions, each duty says whose it is, and what holds for the region's
        own votes stands beside what holds for those of all."""
        now, out = self.now(), self.owners.state(self.now())
        for scope in self.scopes[1:]:
            inside = scope.owners.state(now)
            duties = inside.pop("duties")
            out["duties"] |= {duty: told | {"region": scope.region} for duty, told in duties.items()}
            out["region"] = inside | {"name": scope.region, "disk": scope.disk}
        shares = self.owners.durable.shares
        if shares is not None:
            out["share"] = {
                "in_force": shares.in_force(),
                "stated": shares.stated_share(),
                "whole": WHOLE,
                "go_by_it": sorted(self.owners.durable.on_current),
            }
        for duty, told in out["duties"].items():
            told["doing"] = self.work[duty].doing() if told["mine"] and duty in self.work else ""
        frames = dict(self.membership.frames.rejected)
        return out | {
            "disk": self.disk,
            "bad_words": dict(self.bad),
            "lease": self.owners.lease,
            "frames_refused": frames,
        }
