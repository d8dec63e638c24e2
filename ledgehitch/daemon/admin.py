"""The admin API of a gateway, version 1: queries and commands of operators, over HTTP/1.1.

GET  /v1/state, /v1/viewings, /v1/hosts, /v1/limits, /v1/why/ID, /v1/owners, /v1/budgets, /v1/plans
                                                                                   role look
POST /v1/drain, /v1/undrain, /v1/reload, /v1/plan                                  role operate
POST /v1/fence, /v1/plans, and /v1/drain with a term           role gateway: the owner of a duty
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
from ledgehitch.daemon.plans import MAX_PLAN_BYTES, Plans
from ledgehitch.daemon.why import explain_viewing
from ledgehitch.gateway.serve import RunningGateway
from ledgehitch.http import Refused, Request, Response
from ledgehitch.loop import run_forked
from ledgehitch.owners.facts import RESTARTS

MAX_VIEWINGS = 1000  # in one response
MAX_EXPLANATION_BYTES = 60_000  # of a response to /v1/why: it has to fit into a pipe
T = TypeVar("T")


class Admin:
    """Handles the calls of the admin API."""

    def __init__(
        self, running: RunningGateway, life: Life, started_by: str, on_change: Callable[[], None]
    ) -> None:
        """`on_change`: called after an input to `life`, so that its decisions are carried out."""
        self.running, self.life, self.started_by, self.on_change = running, life, started_by, on_change
        self.carried = ""  # ticket of the last restart carried out here
        self.started_at = time.monotonic()
        self.members: Callable[[], dict[str, str]] = dict
        self.owning: Owning | None = None  # None: this gateway takes no part in membership
        self.plans: Plans | None = None
        self.budgeting: Budgeting | None = None
        # Carries out an operator's call on the fleet's plan at the owner of `restarts`; raises `Refused`.
        self.on_plan_call: Callable[[PlanCall], dict[str, Any]] | None = None

    def handle(self, request: Request, role: Role) -> Response:
        """Returns the response to a call by a peer with this role; raises `Refused` with the HTTP status."""
        match request.method, request.path.strip("/").split("/"):
            case "GET", ["v1", "state"]:
                return self._respond(self.state())
            case "GET", ["v1", "hosts"]:
                return self._respond(self.hosts())
            case "GET", ["v1", "limits"]:
                return self._respond({"door": self._admission_state(), "terms": self.running.site.terms})
            case "GET", ["v1", "viewings"]:
                return self._respond(self.viewings(request.query("most") or "100"))
            case "GET", ["v1", "why", viewing]:
                return self._respond(self.why(viewing))
            case "POST", ["v1", "drain"]:
                return self._operate(role, self._drain, self._decode(request, Drain))
            case "POST", ["v1", "undrain"]:
                return self._operate(role, self._undrain, None)
            case "POST", ["v1", "reload"]:
                return self._operate(role, self._reload, self._decode(request, Reload))
            case "GET", ["v1", "owners"]:
                return self._respond(self._owning().state())
            case "GET", ["v1", "budgets"]:
                return self._respond(self._budgeting().state())
            case "GET", ["v1", "plans"]:
                return self._respond(self._plans().state())
            case "POST", ["v1", "fence"]:
                return self._respond_fenced(role, self._decode(request, Fence), self.state)
            case "POST", ["v1", "plans"]:
                return self._respond_fenced(
                    role, message := self._decode(request, PlanMessage), lambda: self._store_plan(message)
                )
            case "POST", ["v1", "plan"]:
                if role != "operate":
                    raise Refused(403, "this certificate may look, not operate")
                return self._respond(self._call_plan(self._decode(request, PlanCall)))
            case _, ["v1", "owners" | "budgets" | "plans" | "plan" | "fence"]:
                raise Refused(405, f"{request.method} is not done here")
            case _, ["v1", "state" | "hosts" | "limits" | "viewings" | "drain" | "undrain" | "reload"]:
                raise Refused(405, f"{request.method} is not done here")
        raise Refused(404, f"nothing at {request.path[:100]!r}; this is version {VERSION}: /v1/state")

    def _respond(self, body: Any) -> Response:
        fields = [("Content-Type", "application/json"), ("Admin-Version", VERSION)]
        return Response(200, fields, msgspec.json.encode(body))

    def _decode(self, request: Request, body_type: type[T]) -> T:
        try:
            return msgspec.json.decode(request.body or b"{}", type=body_type)
        except msgspec.MsgspecError as problem:
            raise Refused(400, f"the call does not read: {problem}") from None

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

    def _check_term(self, step: Fenced) -> None:
        """Refuses a step under a lower term than the highest one known here, and reports the known term.

        This stops a former owner that was suspended and continues after its successor was elected.
        """
        if not step.duty:
            return
        known = self._owning().accept_effect(step.duty, step.term, step.owner)
        if known:
            detail = f"term {step.term} of {step.duty} is over, {known} is known here"
            if self._owning().disk_error:
                detail = f"the disk does not keep the term: {self._owning().disk_error}"
            raise Refused(409, detail, [("Known-Term", str(known))])

    def _respond_fenced(self, role: Role, step: Fenced, call: Callable[[], Any]) -> Response:
        if role == "look":
            raise Refused(403, "this certificate may look, not operate")
        if not step.duty:
            raise Refused(400, "a step for the fleet names its duty and its term")
        self._check_term(step)
        return self._respond(call())

    def _store_plan(self, message: PlanMessage) -> dict[str, Any]:
        if len(msgspec.json.encode(message.plan)) > MAX_PLAN_BYTES:
            raise Refused(413, f"a plan has {MAX_PLAN_BYTES} bytes at most")
        try:
            return {"taken": self._plans().accept(message)}
        except OSError as problem:
            raise Refused(503, f"the disk does not take the plan: {problem.strerror}") from None

    def _call_plan(self, call: PlanCall) -> dict[str, Any]:
        """Carries out a call on the plan at the owner of `restarts`; other gateways name the owner."""
        owning = self._owning()
        if not owning.owned_term(RESTARTS) or self.on_plan_call is None:
            owner = owning.owners.duty_status(owning.now())[RESTARTS]["owner"]
            raise Refused(409, f"{owner or 'nobody that is known'} owns restarts", [("Owner", owner)])
        return self.on_plan_call(call)

    def _operate(self, role: Role, call: Callable[[Any], bool], step: Any) -> Response:
        if role == "look" or (role == "gateway" and not getattr(step, "duty", "")):
            raise Refused(403, "this certificate may look, not operate")
        if isinstance(step, Fenced):
            self._check_term(step)
        boot = self.running.boot
        if getattr(step, "if_boot", "") not in ("", boot):
            raise Refused(412, f"another life runs here: {boot}, started by {self.started_by or 'somebody'}")
        changed = call(step)
        self.on_change()
        return self._respond(Done(changed, self.life.phase, boot))

    # ---- commands ------------------------------------------------------------------------------------------

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

    # ---- queries -------------------------------------------------------------------------------------------

    def _admission_state(self) -> dict[str, Any] | None:
        admission = self.running.executor.admission
        return admission.state() if admission is not None else None

    def state(self) -> State:
        """Returns the state of this gateway."""
        running, now = self.running, time.monotonic()
        executor = running.executor
        counts = {f: getattr(executor.counts, f) for f in Counts.__struct_fields__}
        reloader = running.reloader
        return State(
            name=running.name,
            boot=running.boot,
            version=__version__,
            admin=VERSION,
            pid=os.getpid(),
            phase=self.life.phase,
            why=self.life.why,
            for_s=round(now - self.life.since, 3),
            up_s=round(now - self.started_at, 3),
            started_by=self.started_by,
            viewings=len(executor.viewings),
            counts=Counts(**counts),
            joins_ms=executor.join_times.percentiles_ms(now),
            config=reloader.reloads.state() if reloader is not None else {},
            hosts=self.hosts(),
            members=self.members(),
            door=self._admission_state(),
            zone=next(g.zone for g in running.site.gateways if g.name == running.name),
            carried=self.carried,
        )

    def hosts(self) -> dict[str, HostSeen]:
        """Returns the media hosts as this gateway sees them."""
        executor = self.running.executor
        return {
            host: HostSeen(gone is None, len(executor.playing_at.get(host, {})))
            for host, gone in executor.send_guard.hosts.items()
        }

    def viewings(self, limit: str) -> list[dict[str, Any]]:
        """Returns up to `limit` viewings; `limit` is the text of the query parameter `most`."""
        if not limit.isdigit():
            raise Refused(400, f"most is a number, not {limit[:20]!r}")
        rows = []
        for viewing_id, session in list(self.running.executor.viewings.items())[
            : min(int(limit), MAX_VIEWINGS)
        ]:
            entry = self.running.executor.registry.entries.get(viewing_id)
            rows.append(
                {
                    "vw": viewing_id,
                    "viewing": entry.resource if entry is not None else "",
                    "title": session.title,
                    "package": session.package.name,
                    "host": session.host,
                    "rung": session.current_rung,
                    "plays": bool(session.session_path),
                    "tune_ins": session.tune_ins,
                }
            )
        return rows

    def why(self, viewing: str) -> dict[str, Any]:
        """Returns the explanation of a viewing from the flight record.

        `viewing`: its resource or its number. After the end of a viewing only the number is known.
        """
        recorder = self.running.recorder
        if recorder is None:
            raise Refused(409, "this gateway keeps no flight record: start it with --record")
        entry = self.running.executor.registry.by_resource(viewing)
        if entry is None and not viewing.isdigit():
            raise Refused(404, "no such viewing plays; one that has ended is known by its number alone")
        viewing_id = entry.viewing_id if entry is not None else int(viewing)
        recorder.flush()
        read_end, write_end = os.pipe()

        def write_explanation() -> None:
            lines, size = [], 0
            for line in reversed(explain_viewing(recorder.path, viewing_id)):
                size += len(line) + 8
                if size > MAX_EXPLANATION_BYTES:
                    break
                lines.append(line)
            os.write(write_end, msgspec.json.encode(lines[::-1]))

        try:
            # A forked process reads the record, so that set-ups do not wait for it.
            if run_forked(self.running.loop, write_explanation) != 0:
                raise Refused(500, "the record does not read")
            lines = msgspec.json.decode(os.read(read_end, 65536), type=list[str])
        finally:
            os.close(read_end)
            os.close(write_end)
        if not lines:
            raise Refused(404, f"the record holds nothing on viewing {viewing_id}")
        return {"vw": viewing_id, "lines": lines}
