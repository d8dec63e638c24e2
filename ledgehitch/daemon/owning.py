"""Runs the ownership protocol of `owners`: its I/O, its clock and the work of the duties.

Messages travel in the frames of the membership protocol, votes and fences are stored on disk, and the clock
continues while the machine is suspended. The work of a duty starts when the duty is won and is cancelled when
it is lost.
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
from ledgehitch.budgets.messages import FIRST_KIND as FIRST_BUDGET_KIND
from ledgehitch.config import BadInput, Site
from ledgehitch.config.site import active_gateways
from ledgehitch.daemon.membership import Membership
from ledgehitch.loop import Event, Loop, run_forked
from ledgehitch.loop.kernel import Task
from ledgehitch.loop.timers import Timer
from ledgehitch.owners.clock import ClockCheck
from ledgehitch.owners.decide import Lost, Owners, Renewed, Send, Store, Won
from ledgehitch.owners.durable_state import DurableState
from ledgehitch.owners.facts import BUDGETS, DUTIES, vote_duration
from ledgehitch.owners.messages import InvalidMessage, decode, encode
from ledgehitch.quality.keep import SnapshotStore
from ledgehitch.regions.facts import REGIONAL_DUTIES, WHOLE, Region, region_of, regions_digest, regions_of
from ledgehitch.regions.shares import initial_shares

DISK_RETRY_S = 1.0  # between a failed write and the next one
SHARE_NOT_RELEASED = "others may still use the share of its region"
log = structlog.get_logger("owners")


class Work(Protocol):
    """The work of a duty.

    `run` runs as a task of its own that is cancelled at the end of the term; `doing` describes its progress
    for operators.
    """

    def run(self, term: int) -> None: ...
    def doing(self) -> str: ...


class Scope:
    """The duties whose voters are all gateways, or those of one region, with a file for the votes."""

    def __init__(self, owning: "Owning", region: str, store: SnapshotStore, owners: Owners) -> None:
        """`region`: empty for the duties that all gateways vote on."""
        self.owning, self.loop, self.region = owning, owning.loop, region
        self.store, self.owners = store, owners
        self.disk_error = ""  # reason of the last failed write, empty after a successful one
        self.pending_write: Event | None = None  # of the write in progress; set when it ends
        self._timer: Timer | None = None
        self._disk_retry_at = 0.0

    def pull(self) -> None:
        """Carries state all pending decisions and schedules the next call."""
        owning = self.owning
        now = owning.now()
        owning.update_membership(self)
        while self.pending_write is None and (decision := self.owners.decide(now)) is not None:
            match decision:
                case Send():
                    self._send(decision)
                case Store(record, then):
                    if self._disk_retry_at > time.monotonic():
                        self.owners.on_store_failed(now)
                        break
                    self.pending_write = Event(self.loop)
                    self.loop.spawn(
                        self._store_votes, record, then, name="votes to disk", owner=owning.parent_task
                    )
                case Won(duty, term):
                    log.info("won", duty=duty, term=term, **self._region_label())
                    owning.start_duty(duty, term)
                case Renewed(duty, term, left):
                    log.warning(
                        "renewed late", duty=duty, term=term, left=round(left, 3), **self._region_label()
                    )
                case Lost(duty, term, why, late):
                    log.warning(
                        "lost", duty=duty, term=term, why=why, late=round(late, 3), **self._region_label()
                    )
                    owning.stop_duty(duty)
        if self._timer is not None:
            self.loop.timers.cancel(self._timer)
        wait = max(0.005, self.owners.wake_at(now) - now, self._disk_retry_at - time.monotonic())
        self._timer = self.loop.call_at(time.monotonic() + min(wait, 3600.0), self.pull)

    def _region_label(self) -> dict[str, str]:
        """Returns the region as a field of log lines; nothing for the scope of all gateways."""
        return {"region": self.region} if self.region else {}

    def _store_votes(self, record: dict[str, Any], then: tuple[Send, ...]) -> None:
        """Writes a record durably, then sends the messages that depend on it.

        No message is sent if the write fails. A forked process writes, so that viewers do not wait for the
        disk. It inherits the lock of the state
        directory and holds it until it exits: if this process is killed meanwhile, its successor cannot
        start and read a file that is still being written.
        """

        def write_record() -> None:
            try:
                self.store.write(record)
            except OSError as problem:
                os._exit(problem.errno or 5)

        code, pending_write = 5, self.pending_write
        try:
            code = run_forked(self.loop, write_record)
        finally:
            self.pending_write = None
            assert pending_write is not None
            pending_write.set()
        if code:
            if not self.disk_error:
                log.error("cannot write votes to disk: voting suspended", why=os.strerror(abs(code)))
            self.disk_error, self._disk_retry_at = os.strerror(abs(code)), time.monotonic() + DISK_RETRY_S
            self.owners.on_store_failed(self.owning.now())
        else:
            if self.disk_error:
                log.info("votes are written to disk again: voting resumed")
            self.disk_error, self._disk_retry_at = "", 0.0
            self.owners.on_stored(record)
            for send in then:
                self._send(send)
        self.pull()

    def _send(self, send: Send) -> None:
        self.owning.membership.send(send.recipient, encode(send.message))

    def finish_writing(self) -> None:
        """Waits for the write in progress and stops the scope: no further decision is carried state."""
        while self.pending_write is not None:
            self.pending_write.wait()
        if self._timer is not None:
            self.loop.timers.cancel(self._timer)
            self._timer = None
        self.pending_write = Event(self.loop)


class Owning:
    """All scopes of this gateway, with one clock.

    The first scope has the duties that all gateways vote on. If the site has regions, a second one has the
    regional duties, which the gateways of this gateway's region vote on.
    """

    def __init__(
        self, loop: Loop, site: Site, name: str, membership: Membership, directory: Path, seed: int
    ) -> None:
        self.loop, self.name, self.membership = loop, name, membership
        self.clock = ClockCheck(self._boottime(), time.monotonic())
        regions, self.region = regions_of(site), region_of(site, name)
        if regions and self.region not in [r.name for r in regions]:
            raise BadInput(f"gateway {name}: region {self.region!r} has no gateway that is not declared gone")
        self.regions = {g: r.name for r in regions for g in r.gateways}
        regional_duties = tuple(d for d in DUTIES if d in REGIONAL_DUTIES) if regions else ()
        store = SnapshotStore(directory / f"{name}.owners", private=True, synced=True)
        stored = self._read_votes(store, "")
        global_duties = tuple(duty for duty in DUTIES if duty not in regional_duties)
        global_scope = self._new_scope(
            site, "", active_gateways(site), global_duties, store, stored, regions, random.Random(seed)
        )
        durable = global_scope.owners.durable
        loan_timeout = loan_duration(durable.lists.max_recorded_lease()) + max(
            p.patience for p in site.packages
        )
        share_delayed = bool(durable.lists.former) and durable.lists.regions != regions_digest(regions)
        stored_shares = stored.get("shares") if durable.intact and stored is not None else None
        shares = initial_shares(self.region, regions, active_gateways(site), stored_shares, share_delayed)
        durable.set_shares(self._boottime(), shares, vote_duration(loan_timeout))
        self.scopes = [global_scope]
        if regions:
            voters = next(r.gateways for r in regions if r.name == self.region)
            store = SnapshotStore(directory / f"{name}.owners-region", private=True, synced=True)
            stored = self._read_votes(store, self.region)
            self.scopes.append(
                self._new_scope(
                    site,
                    self.region,
                    voters,
                    regional_duties,
                    store,
                    stored,
                    regions,
                    random.Random(seed + 1),
                )
            )
        self._scopes_by_number = [self.scope_of(duty) for duty in DUTIES]
        self.work: dict[str, Work] = {}
        self.duty_tasks: dict[str, Task] = {}
        self.rejected_messages: dict[str, int] = {}
        self.parent_task = loop.current
        self.is_serving: Callable[[], bool] = lambda: False  # whether this gateway accepts viewings now
        self.on_budget_message: Callable[[int, bytes], None] | None = None  # from borrowers and lenders
        membership.on_other_message = self._on_message
        self.pull()

    def _new_scope(
        self,
        site: Site,
        region: str,
        voters: tuple[str, ...],
        duties: tuple[str, ...],
        store: SnapshotStore,
        stored: Any,
        regions: Sequence[Region],
        rng: random.Random,
    ) -> Scope:
        now, gateway_names = self._boottime(), tuple(self.membership.names)
        gone = frozenset(set(gateway_names) - set(active_gateways(site)))
        durable = DurableState(
            now,
            self.name,
            voters,
            duties,
            site.owners.lease,
            stored,
            secrets.randbits(32),
            own_part=site.budgets.own_part,
            gone=gone,
            regions=regions_digest(regions),
            scope=region,
        )
        listed = set(durable.lists.current) | set(durable.lists.former)
        members = [n for n, gateway in enumerate(gateway_names) if not region or gateway in listed]
        owners = Owners(
            now,
            gateway_names.index(self.name),
            gateway_names,
            durable,
            rng,
            members,
            [DUTIES.index(duty) for duty in duties],
        )
        return Scope(self, region, store, owners)

    @property
    def owners(self) -> Owners:
        """The state machine of the duties that all gateways vote on."""
        return self.scopes[0].owners

    @property
    def disk_error(self) -> str:
        """The reason of the last failed write of any scope, else empty."""
        return next((scope.disk_error for scope in self.scopes if scope.disk_error), "")

    def scope_of(self, duty: str) -> Scope:
        """Returns the scope of a duty; for an unknown duty the scope of all gateways, which counts it."""
        return next((scope for scope in self.scopes if duty in scope.owners.duties), self.scopes[0])

    def share(self) -> int:
        """Returns the parts of WHOLE that this gateway's region may use now of each budget of the fleet."""
        shares = self.owners.durable.shares
        return WHOLE if shares is None else shares.in_force()

    def share_to_lend(self) -> int:
        """Returns the parts of that share that a lender of this region may lend state."""
        shares, lists = self.owners.durable.shares, self.scope_of(BUDGETS).owners.durable.lists
        return WHOLE if shares is None else shares.lendable(lists.max_own_part(), bool(lists.former))

    @staticmethod
    def _boottime() -> float:
        """Returns the seconds since boot, time in suspension included."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)

    def _read_votes(self, store: SnapshotStore, scope: str) -> Any:
        """Returns the stored record, or None if it is missing or invalid; an invalid one is logged."""
        try:
            stored = store.read()
            if isinstance(stored, dict):
                # The checksum does not cover the meaning: another version may have written other fields.
                DurableState(0.0, self.name, (self.name,), DUTIES, 1.0, stored, 0, scope=scope)
                if stored.get("shares") is not None:
                    initial_shares("", (), (), stored["shares"], False)
                return stored
        except (msgspec.MsgspecError, KeyError, TypeError, ValueError) as wrong:
            log.error("stored votes are invalid and treated as lost", why=repr(wrong))
        return None

    def now(self) -> float:
        """Returns the time since boot in seconds, after checking the clock and reporting it to all scopes."""
        now = self._boottime()
        good = self.clock.check(now, time.monotonic())
        if good != self.owners.clock_good:
            log.error("clock check changed", good=good)
        for scope in self.scopes:
            scope.owners.on_clock_check(now, good)
        return now

    def _on_message(self, sender: int, body: bytes) -> None:
        if body[0] >= FIRST_BUDGET_KIND:
            if self.on_budget_message is not None:
                self.on_budget_message(sender, body)
            return
        try:
            message = decode(body)
        except InvalidMessage as why:
            self.rejected_messages[str(why)] = self.rejected_messages.get(str(why), 0) + 1
            return
        scope = (
            self._scopes_by_number[message.duty]
            if message.duty < len(self._scopes_by_number)
            else self.scopes[0]
        )
        scope.owners.on_message(self.now(), sender, message)
        scope.pull()

    def pull(self) -> None:
        """Carries state the pending decisions of all scopes."""
        for scope in self.scopes:
            scope.pull()

    def update_membership(self, scope: Scope) -> None:
        """Reports to a scope which members are alive and whether this gateway should own duties now."""
        members = self.membership.members
        why = "drains" if not self.is_serving() else "slow itself" if members.is_slow() else ""
        scope.owners.on_membership(members.alive(), not why, why)
        unused = {} if self.share() else {duty: SHARE_NOT_RELEASED for duty in REGIONAL_DUTIES}
        scope.owners.withheld = {d: why for d, why in unused.items() if d in scope.owners.duties}
        if scope is not self.scopes[0]:
            behind = bool(scope.owners.durable.lists.former)
            if self.owners.durable.region_unsettled and not behind:
                self.loop.call_soon(self.scopes[0].pull)
            self.owners.durable.region_unsettled = behind

    # ---- the work of a duty --------------------------------------------------------------------------------

    def start_duty(self, duty: str, term: int) -> None:
        """Starts the work of a duty that was won, as a task."""
        self.stop_duty(duty)
        if duty in self.work:
            self.duty_tasks[duty] = self.loop.spawn(
                self.work[duty].run, term, name=duty, owner=self.parent_task
            )

    def stop_duty(self, duty: str) -> None:
        """Cancels the work of a duty, if it runs."""
        task = self.duty_tasks.pop(duty, None)
        if task is not None:
            task.cancel()

    def owned_term(self, duty: str) -> int:
        """Returns the term under which an effect may be sent now, 0 for none; call it before each effect."""
        scope = self.scope_of(duty)
        term = scope.owners.owned_term(self.now(), duty)
        if not term:
            self.loop.call_soon(scope.pull)
        return term

    def on_effect_refused(self, duty: str, term: int, known: int, where: str) -> None:
        """Called when a receiver refused an effect of this owner because it knows a higher term."""
        log.warning("own effect refused", duty=duty, term=term, known=known, where=where)
        scope = self.scope_of(duty)
        scope.owners.on_effect_refused(self.now(), duty, term, known, where)
        scope.pull()

    def accept_effect(self, duty: str, term: int, owner: str) -> int:
        """Returns 0 if an effect received under `term` may be carried state, else the highest known term.

        The term is on disk before 0 is returned.
        """
        scope = self.scope_of(duty)
        accepted = scope.owners.accepts_effect(duty, term)
        scope.pull()
        while accepted and scope.owners.dirty() and scope.pending_write is not None:
            scope.pending_write.wait()
            self.loop.sleep(0.0)  # the writing task continues first
        known = scope.owners.durable.fence.highest_term(duty)
        # A higher term may have arrived during the wait for the disk.
        if accepted and not scope.owners.dirty() and known <= term:
            return 0
        log.warning(
            "effect of an owner refused",
            duty=duty,
            owner=owner,
            term=term,
            known=known,
            disk=scope.disk_error,
        )
        return max(known, 1)

    def resign(self) -> None:
        """Gives up all duties, so that successors are elected before the process ends."""
        for scope in self.scopes:
            scope.owners.resign(self.now())
            scope.pull()

    def close(self) -> None:
        """Stops voting and all work of duties, and share_delayed for the writes in progress."""
        self.membership.on_other_message = None
        for scope in self.scopes:
            scope.finish_writing()
        for duty in list(self.duty_tasks):
            self.stop_duty(duty)

    def state(self) -> dict[str, Any]:
        """Returns the state for operators.

        If the site has regions, each regional duty names its region, and the voting state of the region is
        listed under `region`.
        """
        now, state = self.now(), self.owners.state(self.now())
        for scope in self.scopes[1:]:
            region_state = scope.owners.state(now)
            duties = region_state.pop("duties")
            state["duties"] |= {duty: status | {"region": scope.region} for duty, status in duties.items()}
            state["region"] = region_state | {"name": scope.region, "disk": scope.disk_error}
        shares = self.owners.durable.shares
        if shares is not None:
            state["share"] = {
                "in_force": shares.in_force(),
                "stated": shares.stated_share(),
                "whole": WHOLE,
                "go_by_it": sorted(self.owners.durable.on_current),
            }
        for duty, status in state["duties"].items():
            status["doing"] = self.work[duty].doing() if status["mine"] and duty in self.work else ""
        frames = dict(self.membership.frames.rejected)
        return state | {
            "disk": self.disk_error,
            "bad_words": dict(self.rejected_messages),
            "lease": self.owners.lease,
            "frames_refused": frames,
        }
