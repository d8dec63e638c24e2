"""A process of hollow gateways: the classes of control that a daemon runs, without viewers and servers.

Each has its own socket, keys, state files and tasks, as in a daemon; a stand-in for its doorman says what it
needs. To others it is a member like any. What a member does not need is not loaded: each vote is written by a
copy of the process, and the copy costs by its size.
"""

import gc
import os
import random
import time
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from pathlib import Path

import msgspec

from ledgehitch.config import Site
from ledgehitch.config.site import can_lend_budgets
from ledgehitch.daemon.budgeting import Budgeting
from ledgehitch.daemon.membership import Membership
from ledgehitch.daemon.owning import Owning, Work
from ledgehitch.door.rates import SET_UPS, offers_budget
from ledgehitch.gateway.admission import AdmissionService
from ledgehitch.http import Refused, Request, Response, Server
from ledgehitch.keys.store import read_key_ring
from ledgehitch.loop import Event, Loop, Task, endpoint
from ledgehitch.owners.facts import BUDGETS, DUTIES
from ledgehitch.proof.tape import Tape
from ledgehitch.scale.relay import answer, served

PAGE = os.sysconf("SC_PAGE_SIZE")


class StatedNeeds(AdmissionService):
    """Says for a gateway without viewers what its door would: always the same share of each whole limit."""

    def __init__(self, site: Site, share: float) -> None:
        """`share`: of the whole fleet's limits, what this one wants."""
        self.refresh_share: Callable[[float], None] | None = None
        self.wanted = {offers_budget(package): share for package in site.door.package_rates}
        if site.door.set_ups:
            self.wanted[SET_UPS] = share
        self.part: dict[str, float] = {}

    def demand(self, now: float) -> tuple[dict[str, float], dict[str, float]]:
        return self.usage(), self.wanted

    def on_demand_reported(self) -> None:
        """Nothing is counted since."""

    def usage(self) -> dict[str, float]:
        return {
            name: min(share, self.part.get(name, 0.0))
            for name, share in self.wanted.items()
            if name == SET_UPS
        }

    def set_share(
        self,
        now: float,
        own: float,
        lent: Mapping[str, float],
        until: float,
        by_budget: Mapping[str, float] | None = None,
    ) -> None:
        mine = by_budget or {}
        self.part = {name: mine.get(name, own) + lent.get(name, 0.0) for name in self.wanted}


class Noted:
    """The work of a duty, with a line on the tape when it begins and when it ends."""

    def __init__(self, loop: Loop, tape: Tape, name: str, duty: str, work: Work | None = None) -> None:
        self.loop, self.tape, self.name, self.duty, self.work = loop, tape, name, duty, work
        self.owned = False

    def run(self, term: int) -> None:
        self.owned = True
        self._note("won", term)
        try:
            if self.work is not None:
                self.work.run(term)
            Event(self.loop).wait()
        finally:
            self.owned = False
            self._note("lost", term)

    def _note(self, what: str, term: int) -> None:
        self.tape.write(what, gateway=self.name, duty=self.duty, term=term)
        self.tape.flush()

    def doing(self) -> str:
        return self.work.doing() if self.work is not None else ""


@dataclass
class Live:
    """A hollow gateway that runs. `over`: set with whether it says farewell."""

    membership: Membership
    work: dict[str, "Noted"]
    over: Event
    task: Task


class Hollow:
    def __init__(
        self, loop: Loop, site: Site, names: list[str], state: Path, tape: Tape, seed: int, share: float
    ) -> None:
        self.loop, self.site, self.state, self.tape, self.share = loop, site, state, tape, share
        self.names, self.seed, self.ring = names, seed, read_key_ring(Path(site.peer_key_file))
        self.lives = dict.fromkeys(names, 0)
        self.live: dict[str, Live] = {}
        self.home = loop.current
        self.empty = rss()  # bytes before the first member

    # ---- members -------------------------------------------------------------------------------------------

    def start(self, names: list[str]) -> None:
        """All in one turn of the loop, so that none is doubted while it waits for its turn; returns when they
        hear."""
        all_begun = []
        for name in names:
            if name not in self.live:
                self.lives[name] += 1
                all_begun.append(Event(self.loop))
                self.loop.spawn(self._run, name, all_begun[-1], name=name, owner=self.home)
        for begun in all_begun:
            begun.wait()

    def _run(self, name: str, begun: Event) -> None:
        """As a daemon puts it together."""
        task, over = self.loop.current, Event(self.loop)
        assert task is not None
        seed = seed_of(self.seed, name, self.lives[name])
        try:
            membership = Membership(self.loop, self.site, name, self.ring, self.state, seed + 4)
            owning = Owning(self.loop, self.site, name, membership, self.state, seed + 5)
            owning.is_serving = lambda: True
            budgeting: Budgeting | None = None
            if can_lend_budgets(self.site):
                needs = StatedNeeds(self.site, self.share)
                budgeting = Budgeting(self.loop, self.site, owning, membership, needs, seed + 6)
            work = {
                duty: Noted(self.loop, self.tape, name, duty, budgeting if duty == BUDGETS else None)
                for duty in DUTIES
            }
            owning.work.update(work)
            self.live[name] = Live(membership, work, over, task)
        finally:
            begun.set()
        farewell = over.wait()
        if farewell:
            owning.resign()
            membership.leave(True)
        # A kill: first its socket, so that nothing that follows is heard by others.
        membership.close()
        if budgeting is not None:
            budgeting.close()
        owning.close()

    def stop(self, name: str, farewell: bool) -> None:
        """Killed where it says no farewell; its state files stay."""
        if (one := self.live.pop(name, None)) is not None:
            one.over.set(farewell)
            one.task.wait()

    # ---- what is asked of the process ----------------------------------------------------------------------

    def handle(self, request: Request) -> Response:
        told = msgspec.json.decode(request.body) if request.body else {}
        match request.path:
            case "/start":
                self.start(told["names"])
            case "/stop":
                for name in told["names"]:
                    self.stop(name, told["farewell"])
            case "/owners":
                return answer(
                    {
                        duty: name
                        for name, one in self.live.items()
                        for duty, work in one.work.items()
                        if work.owned
                    }
                )
            case "/views":
                return answer({"wrong": self.wrong(told["up"])})
            case "/state":
                slow = sum(one.membership.members.is_slow() for one in self.live.values())
                refused: dict[str, int] = {}
                for one in self.live.values():
                    for why, n in one.membership.frames.rejected.items():
                        refused[why] = refused.get(why, 0) + n
                return answer(
                    {
                        "live": len(self.live),
                        "memory": rss(),
                        "empty": self.empty,
                        "slow": slow,
                        "refused": refused,
                        "failed": self.loop.failed,
                        **self.loop.lag.take_figures(),
                    }
                )
            case _:
                raise Refused(404, f"no such call: {request.path}")
        return answer({"t": time.monotonic()})

    def wrong(self, groups: list[str]) -> int:
        """How many beliefs are wrong, over all members here. `groups`: a letter for each gateway, of who can
        hear each other; "-" for one that is down. A member should take for there those of its group alone."""
        total = 0
        for one in self.live.values():
            mine = groups[one.membership.members.me]
            for n, entry in one.membership.members.roster.entries.items():
                total += (entry.status == "alive") != (groups[n] == mine)
        return total


def seed_of(seed: int, name: str, life: int) -> int:
    """A seed of its own for each life of each member."""
    return random.Random(f"{seed}/{name}/{life}").getrandbits(32)


def rss() -> int:
    """Bytes of this process that are in memory."""
    with open("/proc/self/statm") as file:
        return int(file.read().split()[1]) * PAGE


def run_hollow(
    site: Site, names: list[str], state: Path, control: Path, tape: Path, seed: int, share: float
) -> int:
    """Runs until SIGTERM; members begin when they are told to."""
    gc.collect()
    gc.freeze()
    gc.set_threshold(2_000, 4, 1_000)  # as a daemon has it
    loop, lines = Loop(), Tape(tape)

    def begin() -> Server:
        hollow = Hollow(loop, site, names, state, lines, seed, share)
        return Server(loop, endpoint(f"unix:{control}"), hollow.handle)

    return served(loop, lines, control, begin)
