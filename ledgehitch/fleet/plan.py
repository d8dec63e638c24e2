"""State machine of a rolling change: which gateway is next, when it may begin, when to stop. Free of I/O.

Inputs are query results and call results; the caller pulls decisions with `decide`. Each decision on a
gateway is a journal line first and a call second, so that a tool that was killed at any point can resume:
`RollingChange` replays the journal and queries a gateway before it acts on it.
"""

import math
from collections import deque
from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field
from statistics import median
from typing import Any, Literal

import msgspec

from ledgehitch.fleet.found import QueryResult, Target

Action = Literal["restart", "drain", "undrain", "reload", "retire"]
Step = Literal["unseen", "planned", "intended", "sent", "back", "done", "failed", "skipped"]
UNDER_WAY_STEPS = ("unseen", "intended", "sent", "back")
MIN_JOINS_TO_JUDGE = 40  # requested viewings from which on the failure share is judged


class Terms(msgspec.Struct, frozen=True):
    """How a change is carried out. Times are in seconds."""

    at_once: int = 1  # maximum number of gateways under way at the same time
    share: float = 0.0  # the same as a share of the fleet, if that is less; 0: only the number counts
    within: float = 30.0  # drain time: for active viewings to end by themselves
    back_within: float = 60.0  # after the drain time, for a gateway to serve again
    settle: float = 1.0  # for which it must have been ready before it counts as back
    failures: int = 1  # number of failed gateways that stops the plan
    worse: float = 0.05  # allowed rise of blocked, aborted and turned away, as a share of requests
    one_hall: bool = True  # finish a zone before the next one begins
    slow_ms: float = 0.0  # limit of the median over gateways of the 99th percentile of join times; 0: none


class Plan(msgspec.Struct, frozen=True):
    """A whole change, as stored in the first line of its journal."""

    id: str
    action: Action
    targets: list[Target]
    terms: Terms = Terms()
    digest: str = ""  # of the config expected after a reload or a restart; empty: any


@dataclass(frozen=True)
class AppendLine:
    """Append this line to the journal, on disk, before the next decision is carried out."""

    line: Mapping[str, Any]


@dataclass(frozen=True)
class QueryGateway:
    """Query the current state of this gateway."""

    name: str


@dataclass(frozen=True)
class CallGateway:
    """Have this gateway carry out the action. `if_boot`: only in this boot; empty for any boot."""

    name: str
    action: Action
    if_boot: str
    ticket: str


@dataclass(frozen=True)
class Finished:
    """The plan has ended, or was stopped and may be resumed."""

    ended: bool
    why: str = ""


Decision = AppendLine | QueryGateway | CallGateway | Finished


@dataclass
class GatewayProgress:
    """Progress of one gateway of the plan."""

    target: Target
    step: Step = "planned"
    boot: str = ""  # the boot that the action is to end
    since: float = 0.0
    ready_since: float = math.inf  # since when it is ready in its new boot
    why: str = ""
    query_pending: bool = False
    next_query_at: float = 0.0
    uncertain: bool = False  # whether a call was carried out is unknown: query before acting


def order_targets(targets: Sequence[Target]) -> list[Target]:
    """Returns the targets by zone, rack and name.

    Gateways that share a failure domain are changed together, one zone after the other.
    """
    return sorted(targets, key=lambda t: (t.zone, t.rack, t.name))


@dataclass
class JoinStatistics:
    """Counts of requested and failed viewings, summed over restarts of the gateways."""

    requested: int = 0
    failed_joins: int = 0
    last_counts: dict[str, tuple[str, int, int]] = field(default_factory=dict)
    p99: dict[str, float] = field(default_factory=dict)  # join time in ms by gateway, over its last minute

    def add(self, found: QueryResult) -> None:
        """Adds what changed since the last result of the same gateway; its counts restart with each boot."""
        if found.state is None:
            return
        counts, boot = found.state.counts, found.state.boot
        if "99" in found.state.joins_ms:
            self.p99[found.name] = found.state.joins_ms["99"]
        failed_joins = counts.blocked + counts.aborted + counts.turned_away
        before = self.last_counts.get(found.name)
        if before is not None:
            same = before[0] == boot
            self.requested += max(0, counts.asked - (before[1] if same else 0))
            self.failed_joins += max(0, failed_joins - (before[2] if same else 0))
        self.last_counts[found.name] = boot, counts.asked, failed_joins

    def failure_share(self) -> float | None:
        """Returns the share of viewings that failed, None if there were too few."""
        return self.failed_joins / self.requested if self.requested >= MIN_JOINS_TO_JUDGE else None


class RollingChange:
    """Decides the steps of one plan. Pull `decide` after each input and at `wake_at`."""

    QUERY_INTERVAL_S = 0.25  # between two queries to one gateway that is under way

    def __init__(
        self, now: float, plan: Plan, lines: Sequence[Mapping[str, Any]] = (), without_journal: bool = False
    ) -> None:
        """`lines`: of the journal, if the plan is resumed. `without_journal`: what was done is recovered from
        the gateways; each one counts as under way until it has answered."""
        self.plan = plan
        self.gateways = {t.name: GatewayProgress(t) for t in order_targets(plan.targets)}
        self.joins = JoinStatistics()
        self.baseline: float | None = None
        self.stop_reason = ""
        self.finished = False
        self._decisions: deque[Decision] = deque()
        resumed = False
        for line in lines:
            resumed |= self._replay(line)
        # Earlier failures are known to the operator who resumes, and do not stop the plan again.
        self._earlier_failures = sum(progress.step == "failed" for progress in self.gateways.values())
        for progress in self.gateways.values():
            if without_journal and progress.step == "planned":
                progress.step = "unseen"
            progress.uncertain = progress.step in ("intended", "sent", "back")
            progress.since = now
        if resumed:
            self._decisions.append(AppendLine({"ev": "resumed"}))

    def _replay(self, line: Mapping[str, Any]) -> bool:
        progress = self.gateways.get(str(line.get("gateway", "")))
        match line.get("ev"):
            case "intended" if progress is not None:
                progress.step, progress.boot = "intended", str(line["boot"])
            case "sent" if progress is not None and progress.step == "intended":
                progress.step = "sent"
            case "done" | "failed" | "skipped" as step if progress is not None:
                progress.step, progress.why = step, str(line.get("why", ""))
            case "again":
                for failed in [o for o in self.gateways.values() if o.step == "failed"]:
                    failed.step, failed.why = "planned", ""
            case "baseline":
                self.baseline = float(line["share"])
        return True

    def ticket(self, name: str) -> str:
        """Returns the string by which a gateway's state identifies the call of this plan."""
        return f"{self.plan.id}/{name}"

    # ---- inputs --------------------------------------------------------------------------------------------

    def on_query_result(self, now: float, found: QueryResult) -> None:
        """Takes the result of a query; also of gateways that are not under way, for the join statistics."""
        self.joins.add(found)
        progress = self.gateways.get(found.name)
        if progress is None:
            return
        progress.query_pending = False
        if progress.step == "unseen":
            self._recover_step(now, progress, found)
        elif progress.step == "planned":
            self._begin_gateway(now, progress, found)
        elif progress.step in ("intended", "sent", "back"):
            self._check_progress(now, progress, found)

    def on_call_result(self, now: float, name: str, status: int, why: str = "") -> None:
        """Takes the result of a call. Status 0: no answer, so the call may have been carried out."""
        progress = self.gateways[name]
        if progress.step != "intended":
            return
        if status == 200:
            self._set_step(now, progress, "sent")
        elif status in (0, 412):
            progress.uncertain = True  # query before acting
        else:
            self._set_step(now, progress, "failed", f"answers {status}: {why}"[:200])

    def _begin_gateway(self, now: float, progress: GatewayProgress, found: QueryResult) -> None:
        state = found.state
        if state is None:
            self._set_step(now, progress, "failed", f"{found.kind}: {found.why}" if found.why else found.kind)
            return
        if self._is_already_done(progress, found):
            self._set_step(now, progress, "skipped", "nothing to do")
            return
        progress.boot = state.boot
        progress.step, progress.since = "intended", now
        self._decisions.append(
            AppendLine({"ev": "intended", "gateway": progress.target.name, "boot": progress.boot})
        )
        self._decisions.append(self._call_for(progress))

    def _recover_step(self, now: float, progress: GatewayProgress, found: QueryResult) -> None:
        """Recovers the step of a gateway from its state, so that it is not called a second time.

        A former owner may have called it already. One that does not answer may be restarting, and counts as
        under way until its time limit.
        """
        state, ticket = found.state, self.ticket(progress.target.name)
        if state is None:
            if now - progress.since > self._time_limit():
                why = f"{found.kind}: {found.why}" if found.why else found.kind
                self._set_step(now, progress, "failed", f"not seen in {self._time_limit():g} s, {why}")
        elif ticket in (state.started_by, state.carried) and self.plan.action == "restart":
            progress.step, progress.boot, progress.since = "sent", "", now  # in its new boot, not settled yet
            self._check_progress(now, progress, found)
        elif state.phase != "ready" and state.why == ticket:
            progress.step, progress.boot, progress.since = "sent", state.boot, now
        else:
            progress.step = "planned"

    def _is_already_done(self, progress: GatewayProgress, found: QueryResult) -> bool:
        state = found.state
        assert state is not None
        match self.plan.action:
            case "retire":
                return False
            case "restart":
                return self.ticket(progress.target.name) in (state.started_by, state.carried)
            case "drain":
                return state.phase in ("draining", "drained", "ending")
            case "undrain":
                return state.phase == "ready"
            case "reload":
                return bool(self.plan.digest) and state.config.get("runs") == self.plan.digest
        return False

    def _call_for(self, progress: GatewayProgress) -> CallGateway:
        return CallGateway(
            progress.target.name, self.plan.action, progress.boot, self.ticket(progress.target.name)
        )

    def _check_progress(self, now: float, progress: GatewayProgress, found: QueryResult) -> None:
        """Handles the result of a query to a gateway that is under way."""
        state, uncertain = found.state, progress.uncertain
        if state is not None:
            progress.uncertain = False
            if state.boot == progress.boot:
                if self.plan.action == "restart":
                    if not uncertain and state.phase == "ready" and state.why and progress.step == "sent":
                        self._set_step(now, progress, "failed", f"it goes on in its old life: {state.why}")
                        return
                    if uncertain and state.phase == "ready" and progress.step in ("intended", "sent"):
                        # The call was lost or not carried out: the old boot still serves.
                        progress.step, progress.since = "intended", now
                        self._decisions.append(self._call_for(progress))
                        return
                elif self._has_reached_target(progress, found):
                    self._set_step(now, progress, "done")
                    return
                elif uncertain and progress.step == "intended":
                    self._decisions.append(self._call_for(progress))
                    return
            elif self.plan.action != "restart":
                self._set_step(
                    now, progress, "failed", f"restarted in between, by {state.started_by or 'somebody'}"
                )
                return
            elif self._is_settled(now, progress, found):
                if self.plan.digest and state.config.get("runs") != self.plan.digest:
                    runs = str(state.config.get("runs", ""))[:16] or "no config that it names"
                    self._set_step(now, progress, "failed", f"it came back with another config: {runs}")
                    return
                by_this_plan = self.ticket(progress.target.name) in (state.started_by, state.carried)
                reason = "" if by_this_plan else f"restarted by {state.started_by or 'somebody else'}"
                self._set_step(now, progress, "done" if by_this_plan else "skipped", reason)
                return
        else:
            progress.ready_since = math.inf
            if self.plan.action == "retire" and found.kind == "refused" and progress.step != "intended":
                self._set_step(now, progress, "done")  # it has left, as requested
                return
        if found.kind == "impostor" or now - progress.since > self._time_limit():
            why = f"{found.kind}: {found.why}" if found.why else found.kind
            self._set_step(now, progress, "failed", f"not back in {self._time_limit():g} s, {why}")

    def _has_reached_target(self, progress: GatewayProgress, found: QueryResult) -> bool:
        state = found.state
        assert state is not None
        if self.plan.action == "reload" and self.plan.digest:
            return state.config.get("runs") == self.plan.digest
        if self.plan.action == "retire":
            return False
        if self.plan.action == "drain":
            return state.phase in ("draining", "drained", "ending")
        return state.phase == "ready"

    def _is_settled(self, now: float, progress: GatewayProgress, found: QueryResult) -> bool:
        """Returns whether it has been ready in its new boot for the settle time.

        One that fails again at once is not back.
        """
        if found.state is None or found.state.phase != "ready":
            progress.ready_since = math.inf
            return False
        progress.ready_since = min(progress.ready_since, now)
        if progress.step != "back":
            progress.step = "back"
        return now - progress.ready_since >= self.plan.terms.settle

    def _time_limit(self) -> float:
        drain_time = self.plan.terms.within if self.plan.action in ("restart", "retire") else 0.0
        return drain_time + self.plan.terms.back_within

    def _set_step(self, now: float, progress: GatewayProgress, step: Step, why: str = "") -> None:
        progress.step, progress.since, progress.why = step, now, why
        line = {"ev": step, "gateway": progress.target.name}
        self._decisions.append(AppendLine(line | ({"why": why} if why else {})))

    # ---- decisions -----------------------------------------------------------------------------------------

    def decide(self, now: float) -> Decision | None:
        """Returns the next decision, None if there is none at this time."""
        if not self._decisions and not self.finished:
            self._decide_next(now)
        return self._decisions.popleft() if self._decisions else None

    def _decide_next(self, now: float) -> None:
        all_progress = list(self.gateways.values())
        under_way = [o for o in all_progress if o.step in UNDER_WAY_STEPS]
        waiting = [o for o in all_progress if o.step == "planned"]
        if not self.stop_reason:
            self.stop_reason = self._reason_to_stop(all_progress)
            if self.stop_reason:
                self._decisions.append(AppendLine({"ev": "stopped", "why": self.stop_reason}))
        if not under_way and (self.stop_reason or not waiting):
            self.finished = True
            if not self.stop_reason:
                self._decisions.append(AppendLine({"ev": "ended"}))
            self._decisions.append(Finished(not self.stop_reason, self.stop_reason))
            return
        for progress in under_way:
            if not progress.query_pending and now >= progress.next_query_at:
                self._query(now, progress)
        if self.stop_reason:
            return  # gateways under way are finished, no other begins
        zone = next((o.target.zone for o in (under_way or waiting)), "")
        starting = sum(o.query_pending for o in waiting)
        for progress in waiting:
            if len(under_way) + starting >= self._max_concurrent():
                return
            if self.plan.terms.one_hall and progress.target.zone != zone:
                return
            if not progress.query_pending:
                starting += 1
                self._query(now, progress)

    def _max_concurrent(self) -> int:
        terms = self.plan.terms
        limit = max(1, terms.at_once)
        return max(1, min(limit, int(terms.share * len(self.gateways)))) if terms.share > 0 else limit

    def _query(self, now: float, progress: GatewayProgress) -> None:
        progress.query_pending, progress.next_query_at = True, now + self.QUERY_INTERVAL_S
        self._decisions.append(QueryGateway(progress.target.name))

    def _reason_to_stop(self, all_progress: Sequence[GatewayProgress]) -> str:
        """Returns why no further gateway may begin, empty if one may."""
        failed = [o for o in all_progress if o.step == "failed"]
        if len(failed) - self._earlier_failures >= max(1, self.plan.terms.failures):
            return f"{len(failed)} failed: " + "; ".join(f"{o.target.name}: {o.why}" for o in failed[:3])
        share = self.joins.failure_share()
        if share is not None and self.baseline is not None and share > self.baseline + self.plan.terms.worse:
            before = f"{100 * self.baseline:.1f}% before"
            return f"{100 * share:.1f}% of viewings are turned away or fail, {before}"
        joins = list(self.joins.p99.values())
        limit = self.plan.terms.slow_ms
        if limit and joins and (median_p99 := median(joins)) > limit:
            return f"joins take {median_p99:.0f} ms at the 99th percentile, {limit:g} are allowed"
        return ""

    def on_baseline_measured(self, joins: JoinStatistics) -> None:
        """Takes the join statistics from before the first step.

        Their failure share is stored, so that a resumed plan uses the same.
        """
        share = joins.failure_share()
        if self.baseline is None and share is not None:
            self.baseline = share
            self._decisions.append(AppendLine({"ev": "baseline", "share": round(share, 6)}))

    def wake_at(self, now: float) -> float | None:
        """Returns when to call `decide` again, None if no query is due."""
        if self._decisions:
            return now
        under_way = [o for o in self.gateways.values() if o.step in UNDER_WAY_STEPS]
        query_times = [o.next_query_at for o in under_way if not o.query_pending]
        return min(query_times, default=None)

    def count_by_step(self) -> dict[str, int]:
        """Returns the number of gateways at each step."""
        out: dict[str, int] = {}
        for progress in self.gateways.values():
            out[progress.step] = out.get(progress.step, 0) + 1
        return out


def preview_groups(plan: Plan) -> list[list[str]]:
    """Returns the groups of gateways that would be under way together, in order, as `--plan` prints them."""
    rolling = RollingChange(0.0, plan)
    limit = rolling._max_concurrent()
    groups: list[list[Target]] = []
    for target in order_targets(plan.targets):
        last = groups[-1] if groups else None
        new_zone = plan.terms.one_hall and last is not None and last[-1].zone != target.zone
        if last is None or len(last) >= limit or new_zone:
            groups.append([target])
        else:
            last.append(target)
    return [[t.name for t in group] for group in groups]
