"""The admin call: what a gateway is and does, and what operators may have it do. HTTP/1.1, version 1.

GET  /v1/state, /v1/viewings, /v1/hosts, /v1/limits, /v1/why/ID, /v1/owners, /v1/budgets, /v1/plans
                                                                                   for who may look
POST /v1/drain, /v1/undrain, /v1/reload, /v1/plan                                  for who may operate
POST /v1/fence, /v1/plans, and /v1/drain with a term           for the owner of a duty: another gateway
"""

import os
import time
from collections.abc import Callable
from typing import Any, TypeVar

import msgspec

from ledgehitch import __version__
from ledgehitch.daemon.budgeting import Budgeting
from ledgehitch.daemon.facts import (
    VERSION,
    Counts,
    Done,
    Drain,
    Fence,
    Fenced,
    HostSeen,
    PlanCall,
    PlanMessage,
    Reload,
    Role,
    State,
)
from ledgehitch.daemon.life import Life
from ledgehitch.daemon.owning import Owning
from ledgehitch.daemon.plans import MOST as MOST_PLAN
from ledgehitch.daemon.plans import Plans
from ledgehitch.daemon.why import explain_viewing
from ledgehitch.gateway.serve import RunningGateway
from ledgehitch.http import Refused, Request, Response
from ledgehitch.loop import run_forked
from ledgehitch.owners.facts import RESTARTS

MOST = 1000  # viewings in one answer
MOST_WORDS = 60_000  # bytes of an answer to why: what a pipe holds
T = TypeVar("T")


class Admin:
    def __init__(
        self, running: RunningGateway, life: Life, started_by: str, changed: Callable[[], None]
    ) -> None:
        """`changed`: called when something was asked of the life, so that it is pulled."""
        self.running, self.life, self.started_by, self.changed = running, life, started_by, changed
        self.carried = ""  # for which ticket a life here was ended last
        self.born = time.monotonic()
        self.members: Callable[[], dict[str, str]] = dict
        self.owning: Owning | None = None  # None: this gateway takes no part in membership
        self.plans: Plans | None = None
        self.budgeting: Budgeting | None = None
        # What becomes of an operator's word on the fleet's plan, at the owner: raises `Refused`.
        self.on_plan_call: Callable[[PlanCall], dict[str, Any]] | None = None

    def handle(self, request: Request, role: Role) -> Response:
        match request.method, request.path.strip("/").split("/"):
            case "GET", ["v1", "state"]:
                return self._told(self.state())
            case "GET", ["v1", "hosts"]:
                return self._told(self.hosts())
            case "GET", ["v1", "limits"]:
                return self._told({"door": self._door(), "terms": self.running.site.terms})
            case "GET", ["v1", "viewings"]:
                return self._told(self.viewings(request.query("most") or "100"))
            case "GET", ["v1", "why", which]:
                return self._told(self.why(which))
            case "POST", ["v1", "drain"]:
                return self._operates(role, self._drain, self._read(request, Drain))
            case "POST", ["v1", "undrain"]:
                return self._operates(role, self._undrain, None)
            case "POST", ["v1", "reload"]:
                return self._operates(role, self._reload, self._read(request, Reload))
            case "GET", ["v1", "owners"]:
                return self._told(self._owning().state())
            case "GET", ["v1", "budgets"]:
                return self._told(self._budgeting().state())
            case "GET", ["v1", "plans"]:
                return self._told(self._plans().state())
            case "POST", ["v1", "fence"]:
                return self._fenced(role, self._read(request, Fence), self.state)
            case "POST", ["v1", "plans"]:
                return self._fenced(
                    role, words := self._read(request, PlanMessage), lambda: self._left(words)
                )
            case "POST", ["v1", "plan"]:
                if role != "operate":
                    raise Refused(403, "this certificate may look, not operate")
                return self._told(self._plan(self._read(request, PlanCall)))
            case _, ["v1", "owners" | "budgets" | "plans" | "plan" | "fence"]:
                raise Refused(405, f"{request.method} is not done here")
            case _, ["v1", "state" | "hosts" | "limits" | "viewings" | "drain" | "undrain" | "reload"]:
                raise Refused(405, f"{request.method} is not done here")
        raise Refused(404, f"nothing at {request.path[:100]!r}; this is version {VERSION}: /v1/state")

    def _told(self, thing: Any) -> Response:
        fields = [("Content-Type", "application/json"), ("Admin-Version", VERSION)]
        return Response(200, fields, msgspec.json.encode(thing))

    def _read(self, request: Request, kind: type[T]) -> T:
        try:
            return msgspec.json.decode(request.body or b"{}", type=kind)
        except msgspec.MsgspecError as wrong:
            raise Refused(400, f"the call does not read: {wrong}") from None

    def _owning(self) -> Owning:
        if self.owning is None:
            raise Refused(409, "this gateway has no part in membership: see members_at, peer_key_file")
        return self.owning

    def _budgeting(self) -> Budgeting:
        self._owning()
        if self.budgeting is None:
            raise Refused(409, "this gateway has no door: see door.on in the site")
        return self.budgeting

    def _plans(self) -> Plans:
        self._owning()
        assert self.plans is not None
        return self.plans

    def _pass(self, what: Fenced) -> None:
        """Guards against an owner that woke up late: a term below the highest one seen here is refused, with
        the one that is known, before anything is done."""
        if not what.duty:
            return
        known = self._owning().accept_effect(what.duty, what.term, what.owner)
        if known:
            word = f"term {what.term} of {what.duty} is over, {known} is known here"
            if self._owning().disk:
                word = f"the disk does not keep the term: {self._owning().disk}"
            raise Refused(409, word, [("Known-Term", str(known))])

    def _fenced(self, role: Role, what: Fenced, call: Callable[[], Any]) -> Response:
        if role == "look":
            raise Refused(403, "this certificate may look, not operate")
        if not what.duty:
            raise Refused(400, "a step for the fleet names its duty and its term")
        self._pass(what)
        return self._told(call())

    def _left(self, words: PlanMessage) -> dict[str, Any]:
        if len(msgspec.json.encode(words.plan)) > MOST_PLAN:
            raise Refused(413, f"a plan has {MOST_PLAN} bytes at most")
        try:
            return {"taken": self._plans().accept(words)}
        except OSError as problem:
            raise Refused(503, f"the disk does not take the plan: {problem.strerror}") from None

    def _plan(self, call: PlanCall) -> dict[str, Any]:
        """At the owner of `restarts`; elsewhere it says who that is."""
        owning = self._owning()
        if not owning.owned_term(RESTARTS) or self.on_plan_call is None:
            owner = owning.owners.duty_status(owning.now())[RESTARTS]["owner"]
            raise Refused(409, f"{owner or 'nobody that is known'} owns restarts", [("Owner", owner)])
        return self.on_plan_call(call)

    def _operates(self, role: Role, call: Callable[[Any], bool], what: Any) -> Response:
        if role == "look" or (role == "gateway" and not getattr(what, "duty", "")):
            raise Refused(403, "this certificate may look, not operate")
        if isinstance(what, Fenced):
            self._pass(what)
        boot = self.running.boot
        if getattr(what, "if_boot", "") not in ("", boot):
            raise Refused(412, f"another life runs here: {boot}, started by {self.started_by or 'somebody'}")
        changed = call(what)
        self.changed()
        return self._told(Done(changed, self.life.phase, boot))

    # ---- what is asked -------------------------------------------------------------------------------------

    def _drain(self, drain: Drain) -> bool:
        if not 0 <= drain.within < 1e9:
            raise Refused(400, f"within: {drain.within:g} s is no time to drain within")
        return self.life.drain(time.monotonic(), drain.within, drain.then, drain.ticket or "an operator")

    def _undrain(self, _: None) -> bool:
        return self.life.undrain(time.monotonic())

    def _reload(self, _: Reload) -> bool:
        if self.running.reloader is None:
            raise Refused(409, "this gateway has no site file to read again")
        self.running.reloader.reload()
        return True

    # ---- what is told --------------------------------------------------------------------------------------

    def _door(self) -> dict[str, Any] | None:
        doorman = self.running.executor.admission
        return doorman.state() if doorman is not None else None

    def state(self) -> State:
        r, now = self.running, time.monotonic()
        c = r.executor
        counts = {f: getattr(c.counts, f) for f in Counts.__struct_fields__}
        versions = r.reloader
        return State(
            name=r.name,
            boot=r.boot,
            version=__version__,
            admin=VERSION,
            pid=os.getpid(),
            phase=self.life.phase,
            why=self.life.why,
            for_s=round(now - self.life.since, 3),
            up_s=round(now - self.born, 3),
            started_by=self.started_by,
            viewings=len(c.viewings),
            counts=Counts(**counts),
            joins_ms=c.join_times.percentiles_ms(now),
            config=versions.reloads.state() if versions is not None else {},
            hosts=self.hosts(),
            members=self.members(),
            door=self._door(),
            zone=next(g.zone for g in r.site.gateways if g.name == r.name),
            carried=self.carried,
        )

    def hosts(self) -> dict[str, HostSeen]:
        c = self.running.executor
        return {
            h: HostSeen(gone is None, len(c.playing_at.get(h, {}))) for h, gone in c.send_guard.hosts.items()
        }

    def viewings(self, most: str) -> list[dict[str, Any]]:
        if not most.isdigit():
            raise Refused(400, f"most is a number, not {most[:20]!r}")
        out = []
        for viewing_id, v in list(self.running.executor.viewings.items())[: min(int(most), MOST)]:
            entry = self.running.executor.registry.entries.get(viewing_id)
            out.append(
                {
                    "vw": viewing_id,
                    "viewing": entry.resource if entry is not None else "",
                    "title": v.title,
                    "package": v.package.name,
                    "host": v.host,
                    "rung": v.current_rung,
                    "plays": bool(v.session_path),
                    "tune_ins": v.tune_ins,
                }
            )
        return out

    def why(self, which: str) -> dict[str, Any]:
        """`which`: a viewing's resource or its number, which the record goes on knowing when it has ended."""
        recorder = self.running.recorder
        if recorder is None:
            raise Refused(409, "this gateway keeps no flight record: start it with --record")
        entry = self.running.executor.registry.by_resource(which)
        if entry is None and not which.isdigit():
            raise Refused(404, "no such viewing plays; one that has ended is known by its number alone")
        viewing_id = entry.viewing_id if entry is not None else int(which)
        recorder.flush()
        ours, theirs = os.pipe()

        def tell() -> None:
            lines, size = [], 0
            for line in reversed(explain_viewing(recorder.path, viewing_id)):
                size += len(line) + 8
                if size > MOST_WORDS:
                    break
                lines.append(line)
            os.write(theirs, msgspec.json.encode(lines[::-1]))

        try:
            # A copy of the process reads the record, so that set-ups do not wait for it.
            if run_forked(self.running.loop, tell) != 0:
                raise Refused(500, "the record does not read")
            lines = msgspec.json.decode(os.read(ours, 65536), type=list[str])
        finally:
            os.close(ours)
            os.close(theirs)
        if not lines:
            raise Refused(404, f"the record holds nothing on viewing {viewing_id}")
        return {"vw": viewing_id, "lines": lines}
