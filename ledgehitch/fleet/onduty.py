"""The duty `restarts`: a rolling restart that the fleet carries out itself, run by the owner of the duty.

The plan is stored at a majority of the gateways. A new owner first announces its term to all of them, so that
calls of a former owner are refused. It reads the latest plan from a majority, stores it again under its own
term, recovers the progress from the gateways and continues. It checks its lease before each call.
"""

import time
from collections.abc import Callable, Mapping
from typing import Any

import msgspec
import structlog

from ledgehitch.daemon.facts import Fence, Fenced, PlanCall, PlanMessage, Reload
from ledgehitch.daemon.owning import Owning
from ledgehitch.daemon.run import Daemon
from ledgehitch.fleet.carry import Caller, PlanRunner, verifying_client
from ledgehitch.fleet.found import QueryResult, Target, no_answer
from ledgehitch.fleet.held import CommandRefused, apply_command, latest_plan, plan_id_of
from ledgehitch.fleet.plan import CallGateway, Finished, Plan, RollingChange
from ledgehitch.fleet.show import format_line
from ledgehitch.http import Client, ConnectFailed, Interrupted, Refused, Response
from ledgehitch.http.client import TLS
from ledgehitch.loop import Event, Loop, TimedOut
from ledgehitch.owners.facts import RESTARTS, majority

RETRY_INTERVAL_S = 0.5  # until gateways that did not answer are called again
MAJORITY_TIMEOUT_S = 3.0  # for an operator's command to be stored at a majority
log = structlog.get_logger("restarts")


class NotOwner(Exception):
    """The term is over; the task that gets this exception must end."""


class TermCaller(Caller):
    """Queries and calls under a term.

    Nothing is sent after the lease has ended, and an answer with a higher term ends this one. Methods raise
    `NotOwner`.
    """

    def __init__(self, loop: Loop, client: Client, owning: Owning, term: int) -> None:
        super().__init__(loop, client=client)
        self.owning, self.term = owning, term

    def post(self, target: Target, path: str, message: Reload | Fenced | None) -> Response:
        if self.owning.owned_term(RESTARTS) != self.term:
            raise NotOwner
        assert isinstance(message, Fenced)  # each message of this duty is fenced by its term
        message = msgspec.structs.replace(message, duty=RESTARTS, term=self.term, owner=self.owning.name)
        answer = super().post(target, path, message)
        known_term = answer.header("known-term") or ""
        if answer.status == 409 and known_term.isdigit() and int(known_term) > self.term:
            self.owning.on_effect_refused(RESTARTS, self.term, int(known_term), target.name)
            raise NotOwner
        return answer

    def state(self, target: Target) -> Response:
        return self.post(target, "fence", Fence())

    def ask(self, target: Target) -> QueryResult:
        try:
            return super().ask(target)
        except NotOwner:
            return no_answer(target, "unknown", "no owner any more", 0.0)

    def call(self, target: Target, call: CallGateway, within: float) -> tuple[int, str]:
        if call.action != "restart":
            return 400, "the fleet carries out restarts alone"
        try:
            return super().call(target, call, within)
        except NotOwner:
            return 0, "no owner any more"


class RestartsDuty:
    """Carries out the fleet's restart plan while this gateway owns the duty and takes commands."""

    def __init__(self, loop: Loop, name: str, targets: list[Target], owning: Owning, client: Client) -> None:
        self.loop, self.name, self.owning, self.client = loop, name, owning, client
        self.targets = targets
        self.term = 0
        self.stored_plan: PlanMessage | None = None  # as stored at a majority
        self.plan_known = False  # whether a majority has answered with its stored plan
        self.rolling: RollingChange | None = None
        self.changed = Event(loop)
        self._store_in_progress: Event | None = None
        self._version = 0

    def doing(self) -> str:
        """Returns the current activity, for the owners' status."""
        if not self.plan_known:
            return "asks a majority for the plan"
        stored_plan = self.stored_plan
        if stored_plan is None:
            return "no plan"
        if self.rolling is None or stored_plan.word != "go":
            return f"{plan_id_of(stored_plan)}: {stored_plan.word}" + (
                f", {stored_plan.why}" if stored_plan.why else ""
            )
        steps = ", ".join(f"{n} {step}" for step, n in sorted(self.rolling.count_by_step().items()))
        return f"{plan_id_of(stored_plan)}: {steps}"

    # ---- a term --------------------------------------------------------------------------------------------

    def run(self, term: int) -> None:
        """Runs the duty under a term, until the term is over."""
        self.term, self.stored_plan, self.plan_known, self.rolling = term, None, False, None
        self._store_in_progress, self._version = None, 0
        caller = TermCaller(self.loop, self.client, self.owning, term)
        try:
            self._recover_plan(caller)
            while True:
                if self.stored_plan is not None and self.stored_plan.word == "go":
                    self._run_plan(caller)
                else:
                    self.changed.wait()
                self.changed = Event(self.loop)
        except NotOwner:
            log.info("term over, another gateway may own the duty", term=term)

    def _recover_plan(self, caller: TermCaller) -> None:
        """Reads the latest plan from a majority and stores it again under this term.

        Each of them then refuses a late message of a former owner.
        """
        stored_plans: dict[str, PlanMessage | None] = {}
        while len(stored_plans) < majority(len(self.targets)):
            for target in self.targets:
                if target.name not in stored_plans:
                    self._query_stored_plan(caller, target, stored_plans)
            if len(stored_plans) < majority(len(self.targets)):
                self.loop.sleep(RETRY_INTERVAL_S)
        last = latest_plan(stored_plans.values())
        if last is not None:
            self._store(caller, lambda _: last)
        self.plan_known = True

    def _query_stored_plan(
        self, caller: TermCaller, target: Target, stored_plans: dict[str, PlanMessage | None]
    ) -> None:
        try:
            if caller.state(target).status != 200:
                return
            with self.loop.deadline(caller.within):
                answer = self.client.request(target.at, "GET", f"/v1/plans?owner={self.name}")
            held = msgspec.json.decode(answer.body, type=dict[str, Any]).get("held")
            stored_plans[target.name] = msgspec.convert(held, PlanMessage) if held is not None else None
        except (TimedOut, ConnectFailed, Interrupted, ValueError) as why:
            log.debug("stored plan not received", gateway=target.name, why=str(why))

    def _store(self, caller: TermCaller, change: Callable[[PlanMessage | None], PlanMessage]) -> None:
        """Stores a change of the plan on disk at a majority, before it takes effect; retries until done.

        One change at a time, each with its own version: an interrupted one may be stored at a minority.
        """
        while self._store_in_progress is not None:
            self._store_in_progress.wait()
        self._store_in_progress = done = Event(self.loop)
        try:
            self._store_at_majority(caller, change(self.stored_plan))
        finally:
            self._store_in_progress = None
            done.set()

    def _store_at_majority(self, caller: TermCaller, stored_plan: PlanMessage) -> None:
        self._version = max(self._version, stored_plan.version) + 1
        new = msgspec.structs.replace(stored_plan, version=self._version)
        stored_by: set[str] = set()

        def store_at(target: Target) -> None:
            try:
                if caller.post(target, "plans", new).status == 200:
                    stored_by.add(target.name)
            except (TimedOut, ConnectFailed, Interrupted, ValueError) as why:
                log.debug("plan not stored", gateway=target.name, why=str(why))

        while True:
            tasks = [
                self.loop.spawn(self._ignore_lost_term, store_at, t, name=f"store plan at {t.name}")
                for t in self.targets
                if t.name not in stored_by
            ]
            for task in tasks:
                task.wait()
            if len(stored_by) >= majority(len(self.targets)):
                break
            if self.owning.owned_term(RESTARTS) != self.term:
                raise NotOwner
            self.loop.sleep(RETRY_INTERVAL_S)
        self.stored_plan = new

    def _ignore_lost_term(self, call: Callable[[Target], None], target: Target) -> None:
        try:
            call(target)
        except NotOwner:
            return  # the waiting task checks the lease itself

    def _run_plan(self, caller: TermCaller) -> None:
        stored_plan = self.stored_plan
        assert stored_plan is not None
        plan = msgspec.convert(stored_plan.plan, Plan)
        before = [] if stored_plan.share is None else [{"ev": "baseline", "share": stored_plan.share}]
        self.rolling = RollingChange(time.monotonic(), plan, before, without_journal=True)
        runner = PlanRunner(self.loop, caller, _BaselineSink(self, caller), self.rolling, self._log_step)
        results: list[Finished] = []
        changed = self.changed  # the event of this run: a task cancelled late must not set that of the next

        def run_plan() -> None:
            try:
                results.append(runner.run())
            finally:
                changed.set()

        task = self.loop.spawn(run_plan, name="plan")
        changed.wait()
        if not results:
            task.cancel()  # an operator's command: gateways under way come back by themselves
            return
        result = results[0]
        if self.owning.owned_term(RESTARTS) != self.term:
            raise NotOwner
        word: Any = "ended" if result.ended else "stopped"
        self._store(
            caller, lambda now: msgspec.structs.replace(now or stored_plan, word=word, why=result.why)
        )
        log.info("plan finished", id=plan.id, word=word, why=result.why)

    def _log_step(self, line: Mapping[str, Any]) -> None:
        log.info("step", what=format_line(line), term=self.term)

    # ---- an operator's commands ----------------------------------------------------------------------------

    def on_plan_call(self, call: PlanCall) -> dict[str, Any]:
        """Carries out an operator's command, returns once it is stored at a majority. Raises `Refused`."""
        if not self.plan_known:
            raise Refused(503, "the owner does not know the plan yet: come again", [("Retry-After", "1")])
        held = self.stored_plan
        try:
            new = apply_command(held, call, {t.name: t for t in self.targets})
        except CommandRefused as why:
            raise Refused(why.status, why.why) from None
        if held is not None and new is held:
            return {"word": held.word, "id": plan_id_of(held)}
        caller = TermCaller(self.loop, self.client, self.owning, self.term)
        try:
            with self.loop.deadline(MAJORITY_TIMEOUT_S):
                self._store(caller, lambda _: new)
        except NotOwner:
            raise Refused(409, "this gateway owns restarts no longer", [("Owner", "")]) from None
        except TimedOut:
            raise Refused(
                503,
                "no majority has taken it yet, it may still come into force: see the status",
                [("Retry-After", "1")],
            ) from None
        self.changed.set()
        assert self.stored_plan is not None
        return {"word": self.stored_plan.word, "id": plan_id_of(self.stored_plan)}


class _BaselineSink:
    """Replaces the journal: stores the baseline with the plan.

    The progress of the gateways is recovered from themselves.
    """

    def __init__(self, duty: RestartsDuty, caller: TermCaller) -> None:
        self.duty, self.caller = duty, caller

    def append(self, line: Mapping[str, Any]) -> None:
        if line.get("ev") == "baseline" and self.duty.stored_plan is not None:
            stored_plan, share = self.duty.stored_plan, float(line["share"])
            self.duty._store(
                self.caller, lambda now: msgspec.structs.replace(now or stored_plan, share=share)
            )


def create_restarts_duty(daemon: Daemon) -> RestartsDuty:
    """Creates the duty for one daemon.

    Gateways are called at the address in the site, else at a socket in the daemon's state directory.
    """
    site, directory = daemon.site, daemon.place.directory
    targets = []
    for gateway in site.gateways:
        at = gateway.admin_via or (TLS + gateway.admin_at.removeprefix(TLS) if gateway.admin_at else "")
        targets.append(
            Target(gateway.name, at or f"unix:{directory / gateway.name}.admin", gateway.zone, gateway.rack)
        )
    client = Client(daemon.loop)
    if (keys := daemon.keys) is not None:
        names = {t.at: t.name for t in targets}
        client = verifying_client(daemon.loop, keys, keys.directory / f"{daemon.name}.pem", names)
    assert daemon.admin.owning is not None
    duty = RestartsDuty(daemon.loop, daemon.name, targets, daemon.admin.owning, client)
    daemon.admin.on_plan_call = duty.on_plan_call
    return duty
