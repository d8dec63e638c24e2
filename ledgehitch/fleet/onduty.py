"""The work of the duty `restarts`: the fleet's own rolling change, carried on by whoever owns it.

The plan lies with a majority of the gateways. A new owner first says its term to all of them, so that no step
of a former one arrives any more, takes the latest plan that a majority knows of, leaves it there under its
own term, and goes on: what was done it learns from the gateways. It looks at its lease before each call.
"""

import time
from collections.abc import Callable, Mapping
from typing import Any

import msgspec
import structlog

from ledgehitch.daemon.facts import Fence, Fenced, PlanCall, PlanMessage, Reload
from ledgehitch.daemon.owning import Owning
from ledgehitch.daemon.run import Daemon
from ledgehitch.fleet.carry import Caller, Work, trusted
from ledgehitch.fleet.found import Found, Target, unheard
from ledgehitch.fleet.held import NotNow, after, id_of, latest
from ledgehitch.fleet.plan import Call, Over, Plan, Rolling
from ledgehitch.fleet.show import line_words
from ledgehitch.http import Client, ConnectFailed, Interrupted, Refused, Response
from ledgehitch.http.client import TLS
from ledgehitch.loop import Event, Loop, TimedOut
from ledgehitch.owners.facts import RESTARTS, majority

AGAIN = 0.5  # seconds until those who did not answer are asked again
FOR_OTHERS = 3.0  # seconds that an operator's word may take to be with a majority
log = structlog.get_logger("restarts")


class NotOwner(Exception):
    """The term is over; the task that hears it ends."""


class UnderTerm(Caller):
    """Asks and calls under a term: nothing goes out once the lease is over, and a gateway that knows a higher
    term ends it."""

    def __init__(self, loop: Loop, client: Client, owning: Owning, term: int) -> None:
        super().__init__(loop, client=client)
        self.owning, self.term = owning, term

    def post(self, target: Target, path: str, what: Reload | Fenced | None) -> Response:
        if self.owning.owned_term(RESTARTS) != self.term:
            raise NotOwner
        assert isinstance(what, Fenced)  # all that the fleet itself does is
        what = msgspec.structs.replace(what, duty=RESTARTS, term=self.term, owner=self.owning.name)
        answer = super().post(target, path, what)
        known = answer.header("known-term") or ""
        if answer.status == 409 and known.isdigit() and int(known) > self.term:
            self.owning.on_effect_refused(RESTARTS, self.term, int(known), target.name)
            raise NotOwner
        return answer

    def state(self, target: Target) -> Response:
        return self.post(target, "fence", Fence())

    def ask(self, target: Target) -> Found:
        try:
            return super().ask(target)
        except NotOwner:
            return unheard(target, "unknown", "no owner any more", 0.0)

    def call(self, target: Target, call: Call, within: float) -> tuple[int, str]:
        if call.action != "restart":
            return 400, "the fleet carries out restarts alone"
        try:
            return super().call(target, call, within)
        except NotOwner:
            return 0, "no owner any more"


class Restarts:
    def __init__(self, loop: Loop, name: str, targets: list[Target], owning: Owning, client: Client) -> None:
        self.loop, self.name, self.owning, self.client = loop, name, owning, client
        self.targets = targets
        self.term = 0
        self.words: PlanMessage | None = None  # as it lies with a majority
        self.known = False  # whether a majority has told what it knows
        self.rolling: Rolling | None = None
        self.news = Event(loop)
        self._changing: Event | None = None
        self._version = 0

    def doing(self) -> str:
        if not self.known:
            return "asks a majority for the plan"
        words = self.words
        if words is None:
            return "no plan"
        if self.rolling is None or words.word != "go":
            return f"{id_of(words)}: {words.word}" + (f", {words.why}" if words.why else "")
        told = ", ".join(f"{n} {step}" for step, n in sorted(self.rolling.told().items()))
        return f"{id_of(words)}: {told}"

    # ---- a term --------------------------------------------------------------------------------------------

    def run(self, term: int) -> None:
        self.term, self.words, self.known, self.rolling = term, None, False, None
        self._changing, self._version = None, 0
        caller = UnderTerm(self.loop, self.client, self.owning, term)
        try:
            self._learn(caller)
            while True:
                if self.words is not None and self.words.word == "go":
                    self._carry(caller)
                else:
                    self.news.wait()
                self.news = Event(self.loop)
        except NotOwner:
            log.info("gives up, another may own it", term=term)

    def _learn(self, caller: UnderTerm) -> None:
        """The latest plan that a majority knows of, left there again under this term: a former owner's word
        that comes later is refused by each of them."""
        heard: dict[str, PlanMessage | None] = {}
        while len(heard) < majority(len(self.targets)):
            for target in self.targets:
                if target.name not in heard:
                    self._hear(caller, target, heard)
            if len(heard) < majority(len(self.targets)):
                self.loop.sleep(AGAIN)
        last = latest(heard.values())
        if last is not None:
            self._leave(caller, lambda _: last)
        self.known = True

    def _hear(self, caller: UnderTerm, target: Target, heard: dict[str, PlanMessage | None]) -> None:
        try:
            if caller.state(target).status != 200:
                return
            with self.loop.deadline(caller.within):
                answer = self.client.request(target.at, "GET", f"/v1/plans?owner={self.name}")
            held = msgspec.json.decode(answer.body, type=dict[str, Any]).get("held")
            heard[target.name] = msgspec.convert(held, PlanMessage) if held is not None else None
        except (TimedOut, ConnectFailed, Interrupted, ValueError) as why:
            log.debug("not heard", gateway=target.name, why=str(why))

    def _leave(self, caller: UnderTerm, change: Callable[[PlanMessage | None], PlanMessage]) -> None:
        """With a majority, on their disks, before anything is done on it; tried until it is. One change at a
        time, each with a version of its own: one that was cut off may lie with some."""
        while self._changing is not None:
            self._changing.wait()
        self._changing = done = Event(self.loop)
        try:
            self._spread(caller, change(self.words))
        finally:
            self._changing = None
            done.set()

    def _spread(self, caller: UnderTerm, words: PlanMessage) -> None:
        self._version = max(self._version, words.version) + 1
        new = msgspec.structs.replace(words, version=self._version)
        left: set[str] = set()

        def one(target: Target) -> None:
            try:
                if caller.post(target, "plans", new).status == 200:
                    left.add(target.name)
            except (TimedOut, ConnectFailed, Interrupted, ValueError) as why:
                log.debug("not left", gateway=target.name, why=str(why))

        while True:
            tasks = [
                self.loop.spawn(self._unless_over, one, t, name=f"leave {t.name}")
                for t in self.targets
                if t.name not in left
            ]
            for task in tasks:
                task.wait()
            if len(left) >= majority(len(self.targets)):
                break
            if self.owning.owned_term(RESTARTS) != self.term:
                raise NotOwner
            self.loop.sleep(AGAIN)
        self.words = new

    def _unless_over(self, call: Callable[[Target], None], target: Target) -> None:
        try:
            call(target)
        except NotOwner:
            return  # who waits for it looks at the lease itself

    def _carry(self, caller: UnderTerm) -> None:
        words = self.words
        assert words is not None
        plan = msgspec.convert(words.plan, Plan)
        before = [] if words.share is None else [{"ev": "baseline", "share": words.share}]
        self.rolling = Rolling(time.monotonic(), plan, before, learnt=True)
        work = Work(self.loop, caller, _Lines(self, caller), self.rolling, self._tell)
        ends: list[Over] = []
        news = self.news  # one that is cancelled later must not wake what comes after

        def carry() -> None:
            try:
                ends.append(work.run())
            finally:
                news.set()

        task = self.loop.spawn(carry, name="plan")
        news.wait()
        if not ends:
            task.cancel()  # an operator's word: what is under way comes back by itself
            return
        result = ends[0]
        if self.owning.owned_term(RESTARTS) != self.term:
            raise NotOwner
        word: Any = "ended" if result.ended else "stopped"
        self._leave(caller, lambda now: msgspec.structs.replace(now or words, word=word, why=result.why))
        log.info("the plan", id=plan.id, word=word, why=result.why)

    def _tell(self, line: Mapping[str, Any]) -> None:
        log.info("step", what=line_words(line), term=self.term)

    # ---- an operator's word --------------------------------------------------------------------------------

    def planned(self, call: PlanCall) -> dict[str, Any]:
        """Answered once it lies with a majority; raises `Refused`."""
        if not self.known:
            raise Refused(503, "the owner does not know the plan yet: come again", [("Retry-After", "1")])
        held = self.words
        try:
            new = after(held, call, {t.name: t for t in self.targets})
        except NotNow as why:
            raise Refused(why.status, why.why) from None
        if held is not None and new is held:
            return {"word": held.word, "id": id_of(held)}
        caller = UnderTerm(self.loop, self.client, self.owning, self.term)
        try:
            with self.loop.deadline(FOR_OTHERS):
                self._leave(caller, lambda _: new)
        except NotOwner:
            raise Refused(409, "this gateway owns restarts no longer", [("Owner", "")]) from None
        except TimedOut:
            raise Refused(
                503,
                "no majority has taken it yet, it may still come into force: see the status",
                [("Retry-After", "1")],
            ) from None
        self.news.set()
        assert self.words is not None
        return {"word": self.words.word, "id": id_of(self.words)}


class _Lines:
    """In the journal's place: what must outlive the owner lies with the gateways, or can be learned there."""

    def __init__(self, work: Restarts, caller: UnderTerm) -> None:
        self.work, self.caller = work, caller

    def append(self, line: Mapping[str, Any]) -> None:
        if line.get("ev") == "baseline" and self.work.words is not None:
            words, share = self.work.words, float(line["share"])
            self.work._leave(self.caller, lambda now: msgspec.structs.replace(now or words, share=share))


def restarts_of(daemon: Daemon) -> Restarts:
    """The work at one daemon; gateways are called where the site says, or in the same state directory."""
    site, directory = daemon.site, daemon.place.directory
    targets = []
    for g in site.gateways:
        at = g.admin_via or (TLS + g.admin_at.removeprefix(TLS) if g.admin_at else "")
        targets.append(Target(g.name, at or f"unix:{directory / g.name}.admin", g.zone, g.rack))
    client = Client(daemon.loop)
    if (keys := daemon.keys) is not None:
        names = {t.at: t.name for t in targets}
        client = trusted(daemon.loop, keys, keys.directory / f"{daemon.name}.pem", names)
    assert daemon.admin.owning is not None
    work = Restarts(daemon.loop, daemon.name, targets, daemon.admin.owning, client)
    daemon.admin.on_plan_call = work.planned
    return work
