"""Carries out owners: words in membership's frames, votes and fences on disk, a clock that goes on while the
machine sleeps, and a duty's work begun when it is won and ended when it is lost.
"""

import os
import random
import secrets
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any, Protocol

import msgspec
import structlog

from ledgehitch.budgets.words import FIRST as OF_BUDGETS
from ledgehitch.config import Site
from ledgehitch.config.site import stated
from ledgehitch.daemon.membership import Membership
from ledgehitch.loop import Event, Loop, forked
from ledgehitch.loop.kernel import Task
from ledgehitch.loop.timers import Timer
from ledgehitch.owners.clock import Clock
from ledgehitch.owners.decide import Keep, Lost, Owners, Renewed, Send, Won
from ledgehitch.owners.facts import DUTIES
from ledgehitch.owners.memory import Memory
from ledgehitch.owners.words import BadWords, read, written
from ledgehitch.quality.keep import Keep as File

DISK_AGAIN = 1.0  # seconds until a disk that took nothing is tried again
log = structlog.get_logger("owners")


class Work(Protocol):
    """What an owner does. `run` is a task of its own that ends with the term; `doing` is for people."""

    def run(self, term: int) -> None: ...
    def doing(self) -> str: ...


class Owning:
    def __init__(self, loop: Loop, site: Site, name: str, membership: Membership, directory: Path, seed: int
                 ) -> None:  # fmt: skip
        self.loop, self.name, self.membership = loop, name, membership
        self.file = File(directory / f"{name}.owners", private=True, synced=True)
        self.clock = Clock(self._boottime(), time.monotonic())
        now, names = self._boottime(), tuple(membership.names)
        gone = frozenset(g.name for g in site.gateways if g.gone)
        memory = Memory(now, name, stated(site), DUTIES, site.owners.lease, self._held(),
                        secrets.randbits(32), own_part=site.budgets.own_part, gone=gone)  # fmt: skip
        self.owners = Owners(now, names.index(name), names, memory, random.Random(seed))
        self.work: dict[str, Work] = {}
        self.at_work: dict[str, Task] = {}
        self.disk = ""  # why it took nothing the last time
        self.bad: dict[str, int] = {}
        self.home = loop.current
        self._timer: Timer | None = None
        self._disk_again = 0.0
        self._writing: Event | None = None  # set when what is on its way to the disk is there, or is not
        self.serves: Callable[[], bool] = lambda: False  # whether this gateway takes viewings now
        self.more: Callable[[int, bytes], None] | None = None  # words of borrowers and lenders
        membership.more = self._heard
        self.pull()

    @staticmethod
    def _boottime() -> float:
        return time.clock_gettime(time.CLOCK_BOOTTIME)

    def _held(self) -> Any:
        """What the file holds; one that does not read counts as lost, and is said."""
        try:
            held = self.file.read()
            if isinstance(held, dict):
                # Guards against a file whose sum is right and whose fields are not: of another program.
                Memory(0.0, self.name, (self.name,), DUTIES, 1.0, held, 0)
                return held
        except (msgspec.MsgspecError, KeyError, TypeError, ValueError) as wrong:
            log.error("the votes that were kept do not read, they count as lost", why=repr(wrong))
        return None

    def now(self) -> float:
        now = self._boottime()
        good = self.clock.read(now, time.monotonic())
        if good != self.owners.clock_good:
            log.error("the clock", good=good)
        self.owners.clock(now, good)
        return now

    def _heard(self, sender: int, body: bytes) -> None:
        if body[0] >= OF_BUDGETS:
            if self.more is not None:
                self.more(sender, body)
            return
        try:
            self.owners.heard(self.now(), sender, read(body))
        except BadWords as why:
            self.bad[str(why)] = self.bad.get(str(why), 0) + 1
            return
        self.pull()

    def pull(self) -> None:
        now = self.now()
        self._fitness()
        while self._writing is None and (decision := self.owners.decide(now)) is not None:
            match decision:
                case Send():
                    self._send(decision)
                case Keep(record, then):
                    if self._disk_again > time.monotonic():
                        self.owners.not_kept(now)
                        break
                    self._writing = Event(self.loop)
                    self.loop.spawn(self._keep, record, then, name="votes to disk", owner=self.home)
                case Won(duty, term):
                    log.info("won", duty=duty, term=term)
                    self._begin(duty, term)
                case Renewed(duty, term, left):
                    log.warning("renewed late", duty=duty, term=term, left=round(left, 3))
                case Lost(duty, term, why, late):
                    log.warning("lost", duty=duty, term=term, why=why, late=round(late, 3))
                    self._end(duty)
        if self._timer is not None:
            self.loop.timers.cancel(self._timer)
        wait = max(0.005, self.owners.wake_at(now) - now, self._disk_again - time.monotonic())
        self._timer = self.loop.call_at(time.monotonic() + min(wait, 3600.0), self.pull)

    def _fitness(self) -> None:
        members = self.membership.members
        why = "drains" if not self.serves() else "slow itself" if members.lags() else ""
        self.owners.may(members.alive(), not why, why)

    def _keep(self, record: dict[str, Any], then: tuple[Send, ...]) -> None:
        """Written, synced, moved into its place; or nothing is said that rests on it. A copy of the process
        does it, so that viewers do not wait for the disk. Should this process be killed meanwhile, the copy
        holds its lock until it is through: no new life reads a file that an old one still writes."""

        def put() -> None:
            try:
                self.file.write(record)
            except OSError as problem:
                os._exit(problem.errno or 5)

        code, writing = 5, self._writing
        try:
            code = forked(self.loop, put)
        finally:
            self._writing = None
            assert writing is not None
            writing.set()
        if code:
            if not self.disk:
                log.error("the disk takes no vote: none is given", why=os.strerror(abs(code)))
            self.disk, self._disk_again = os.strerror(abs(code)), time.monotonic() + DISK_AGAIN
            self.owners.not_kept(self.now())
        else:
            if self.disk:
                log.info("the disk takes votes again")
            self.disk, self._disk_again = "", 0.0
            self.owners.kept(record)
            for send in then:
                self._send(send)
        self.pull()

    def _send(self, send: Send) -> None:
        self.membership.send(send.to, written(send.words))

    # ---- the work of a duty --------------------------------------------------------------------------------

    def _begin(self, duty: str, term: int) -> None:
        self._end(duty)
        if duty in self.work:
            self.at_work[duty] = self.loop.spawn(self.work[duty].run, term, name=duty, owner=self.home)

    def _end(self, duty: str) -> None:
        task = self.at_work.pop(duty, None)
        if task is not None:
            task.cancel()

    def owns(self, duty: str) -> int:
        """The term under which an effect may be sent now, 0 for none; looked at before each."""
        term = self.owners.owns(self.now(), duty)
        if not term:
            self.loop.call_soon(self.pull)
        return term

    def refused(self, duty: str, term: int, known: int, where: str) -> None:
        """A receiver refused an effect of ours."""
        log.warning("refused", duty=duty, term=term, known=known, where=where)
        self.owners.refused(self.now(), duty, term, known, where)
        self.pull()

    def takes(self, duty: str, term: int, owner: str) -> int:
        """0 where an effect that came here may be carried out: it is on disk then. Else the term known."""
        taken = self.owners.takes(duty, term)
        self.pull()
        while taken and self.owners.dirty() and self._writing is not None:
            self._writing.wait()
            self.loop.sleep(0.0)  # who wrote goes on first
        known = self.owners.memory.fence.known(duty)
        # A higher term may have come while the disk was waited for.
        if taken and not self.owners.dirty() and known <= term:
            return 0
        log.warning("an owner is refused", duty=duty, owner=owner, term=term, known=known, disk=self.disk)
        return max(known, 1)

    def resign(self) -> None:
        self.owners.resign(self.now())
        self.pull()

    def close(self) -> None:
        """Nothing is voted or owned any more; what was on its way to the disk is there."""
        self.membership.more = None
        while self._writing is not None:
            self._writing.wait()
        for duty in list(self.at_work):
            self._end(duty)
        if self._timer is not None:
            self.loop.timers.cancel(self._timer)
            self._timer = None
        self._writing = Event(self.loop)  # nothing is decided any more

    def state(self) -> dict[str, Any]:
        out = self.owners.state(self.now())
        for duty, told in out["duties"].items():
            told["doing"] = self.work[duty].doing() if told["mine"] and duty in self.work else ""
        frames = dict(self.membership.frames.refused)
        return out | {"disk": self.disk, "bad_words": dict(self.bad), "lease": self.owners.lease,
                      "frames_refused": frames}  # fmt: skip
