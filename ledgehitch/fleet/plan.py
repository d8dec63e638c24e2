"""The steps of a rolling change: who is touched next, when the next one may be, when to stop. Free of I/O.

Inputs say what was found and what came of a call; `decide` is pulled. What is decided on a gateway is a line
for the journal first and a call second, so that a tool that was cut off between any two bytes can go on:
`Rolling` takes the lines of the journal back in and asks before it touches anything.
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
MIN_JOINS_TO_JUDGE = 40  # viewings asked for since, from which on joins are judged


class Terms(msgspec.Struct, frozen=True):
    """How a change is carried out. Times are seconds."""

    at_once: int = 1  # gateways under way at the same time, at most
    share: float = 0.0  # or this part of the fleet, where that is less; 0: only the number counts
    within: float = 30.0  # for what plays to end by itself
    back_within: float = 60.0  # beyond that, for a gateway to serve again
    settle: float = 1.0  # that it must have served before it counts as back
    failures: int = 1  # that stop the plan
    worse: float = 0.05  # by which blocked, aborted and turned away may rise, as a part of those asked for
    one_hall: bool = True  # a hall is finished before the next begins
    slow_ms: float = 0.0  # that the gateways' 99th percentiles of joins may come to, in the median; 0: any


class Plan(msgspec.Struct, frozen=True):
    """A whole change, as it stands at the head of its journal."""

    id: str
    action: Action
    targets: list[Target]
    terms: Terms = Terms()
    digest: str = ""  # of the config that all are to run after a reload or a restart; empty: any


@dataclass(frozen=True)
class AppendLine:
    """Keep this line on disk before anything else is done."""

    line: Mapping[str, Any]


@dataclass(frozen=True)
class QueryGateway:
    """Find out what this gateway is now."""

    name: str


@dataclass(frozen=True)
class CallGateway:
    """Have this gateway do it. `if_boot`: only the life that was found; empty where that does not matter."""

    name: str
    action: Action
    if_boot: str
    ticket: str


@dataclass(frozen=True)
class Finished:
    """The plan is at its end, or stopped: it may be resumed."""

    ended: bool
    why: str = ""


Decision = AppendLine | QueryGateway | CallGateway | Finished


@dataclass
class GatewayProgress:
    """What is known of one gateway of the plan."""

    target: Target
    step: Step = "planned"
    boot: str = ""  # of the life that was to be ended
    since: float = 0.0
    served_from: float = math.inf  # seen to serve in its new life
    why: str = ""
    asking: bool = False  # a question is out
    ask_at: float = 0.0
    unsure: bool = False  # taken up from a journal: asked before it is touched


def order_targets(targets: Sequence[Target]) -> list[Target]:
    """By hall and rack, and within these by name: what fails together is touched together, one hall after the
    other."""
    return sorted(targets, key=lambda t: (t.zone, t.rack, t.name))


@dataclass
class JoinStatistics:
    """Viewings asked for and those that were not let play, summed over the lives of gateways."""

    asked: int = 0
    bad: int = 0
    seen: dict[str, tuple[str, int, int]] = field(default_factory=dict)
    p99: dict[str, float] = field(default_factory=dict)  # by gateway, of its last minute

    def add(self, found: QueryResult) -> None:
        if found.state is None:
            return
        c, boot = found.state.counts, found.state.boot
        if "99" in found.state.joins_ms:
            self.p99[found.name] = found.state.joins_ms["99"]
        bad = c.blocked + c.aborted + c.turned_away
        before = self.seen.get(found.name)
        if before is not None:
            same = before[0] == boot
            self.asked += max(0, c.asked - (before[1] if same else 0))
            self.bad += max(0, bad - (before[2] if same else 0))
        self.seen[found.name] = boot, c.asked, bad

    def failure_share(self) -> float | None:
        return self.bad / self.asked if self.asked >= MIN_JOINS_TO_JUDGE else None


class RollingChange:
    ASKED_EVERY = 0.25  # seconds between two questions to one gateway that is under way

    def __init__(
        self, now: float, plan: Plan, lines: Sequence[Mapping[str, Any]] = (), learnt: bool = False
    ) -> None:
        """`lines`: of the journal, where the plan is taken up again. `learnt`: there is none, what was done
        is learned from the gateways: until one has answered it counts as under way."""
        self.plan = plan
        self.gateways = {t.name: GatewayProgress(t) for t in order_targets(plan.targets)}
        self.joins = JoinStatistics()
        self.baseline: float | None = None
        self.stopped = ""
        self.over = False
        self._due: deque[Decision] = deque()
        resumed = False
        for line in lines:
            resumed |= self._replayed(line)
        # Who resumes has seen what had failed until then.
        self._forgiven = sum(one.step == "failed" for one in self.gateways.values())
        for one in self.gateways.values():
            if learnt and one.step == "planned":
                one.step = "unseen"
            one.unsure = one.step in ("intended", "sent", "back")
            one.since = now
        if resumed:
            self._due.append(AppendLine({"ev": "resumed"}))

    def _replayed(self, line: Mapping[str, Any]) -> bool:
        one = self.gateways.get(str(line.get("gateway", "")))
        match line.get("ev"):
            case "intended" if one is not None:
                one.step, one.boot = "intended", str(line["boot"])
            case "sent" if one is not None and one.step == "intended":
                one.step = "sent"
            case "done" | "failed" | "skipped" as step if one is not None:
                one.step, one.why = step, str(line.get("why", ""))
            case "again":
                for failed in [o for o in self.gateways.values() if o.step == "failed"]:
                    failed.step, failed.why = "planned", ""
            case "baseline":
                self.baseline = float(line["share"])
        return True

    def ticket(self, name: str) -> str:
        return f"{self.plan.id}/{name}"

    # ---- what happens --------------------------------------------------------------------------------------

    def on_query_result(self, now: float, found: QueryResult) -> None:
        """What a gateway of the plan is now; also of those that are not under way, for the joins."""
        self.joins.add(found)
        one = self.gateways.get(found.name)
        if one is None:
            return
        one.asking = False
        if one.step == "unseen":
            self._learn(now, one, found)
        elif one.step == "planned":
            self._begin(now, one, found)
        elif one.step in ("intended", "sent", "back"):
            self._look(now, one, found)

    def on_call_result(self, now: float, name: str, status: int, why: str = "") -> None:
        """What came of a call; status 0: no answer, it may have been carried out."""
        one = self.gateways[name]
        if one.step != "intended":
            return
        if status == 200:
            self._to(now, one, "sent")
        elif status in (0, 412):
            one.unsure = True  # asked before anything is done
        else:
            self._to(now, one, "failed", f"answers {status}: {why}"[:200])

    def _begin(self, now: float, one: GatewayProgress, found: QueryResult) -> None:
        state = found.state
        if state is None:
            self._to(now, one, "failed", f"{found.kind}: {found.why}" if found.why else found.kind)
            return
        if self._already(one, found):
            self._to(now, one, "skipped", "nothing to do")
            return
        one.boot = state.boot
        one.step, one.since = "intended", now
        self._due.append(AppendLine({"ev": "intended", "gateway": one.target.name, "boot": one.boot}))
        self._due.append(self._call(one))

    def _learn(self, now: float, one: GatewayProgress, found: QueryResult) -> None:
        """Guards against a second call to one that a former owner has called: its own words say how far it
        is. One that does not answer may be between two lives, and holds its place until it is overdue."""
        state, ticket = found.state, self.ticket(one.target.name)
        if state is None:
            if now - one.since > self._allowed():
                why = f"{found.kind}: {found.why}" if found.why else found.kind
                self._to(now, one, "failed", f"not seen in {self._allowed():g} s, {why}")
        elif ticket in (state.started_by, state.carried) and self.plan.action == "restart":
            one.step, one.boot, one.since = "sent", "", now  # in its new life; it has yet to settle
            self._look(now, one, found)
        elif state.phase != "ready" and state.why == ticket:
            one.step, one.boot, one.since = "sent", state.boot, now
        else:
            one.step = "planned"

    def _already(self, one: GatewayProgress, found: QueryResult) -> bool:
        state = found.state
        assert state is not None
        match self.plan.action:
            case "retire":
                return False
            case "restart":
                return self.ticket(one.target.name) in (state.started_by, state.carried)
            case "drain":
                return state.phase in ("draining", "drained", "ending")
            case "undrain":
                return state.phase == "ready"
            case "reload":
                return bool(self.plan.digest) and state.config.get("runs") == self.plan.digest
        return False

    def _call(self, one: GatewayProgress) -> CallGateway:
        return CallGateway(one.target.name, self.plan.action, one.boot, self.ticket(one.target.name))

    def _look(self, now: float, one: GatewayProgress, found: QueryResult) -> None:
        """A gateway that is under way answered, or did not."""
        state, unsure = found.state, one.unsure
        if state is not None:
            one.unsure = False
            if state.boot == one.boot:
                if self.plan.action == "restart":
                    if not unsure and state.phase == "ready" and state.why and one.step == "sent":
                        self._to(now, one, "failed", f"it goes on in its old life: {state.why}")
                        return
                    if unsure and state.phase == "ready" and one.step in ("intended", "sent"):
                        # The call did not get through, or was not carried out: this life still serves.
                        one.step, one.since = "intended", now
                        self._due.append(self._call(one))
                        return
                elif self._reached(one, found):
                    self._to(now, one, "done")
                    return
                elif unsure and one.step == "intended":
                    self._due.append(self._call(one))
                    return
            elif self.plan.action != "restart":
                self._to(now, one, "failed", f"restarted in between, by {state.started_by or 'somebody'}")
                return
            elif self._served(now, one, found):
                if self.plan.digest and state.config.get("runs") != self.plan.digest:
                    runs = str(state.config.get("runs", ""))[:16] or "no config that it names"
                    self._to(now, one, "failed", f"it came back with another config: {runs}")
                    return
                mine = self.ticket(one.target.name) in (state.started_by, state.carried)
                word = "" if mine else f"restarted by {state.started_by or 'somebody else'}"
                self._to(now, one, "done" if mine else "skipped", word)
                return
        else:
            one.served_from = math.inf
            if self.plan.action == "retire" and found.kind == "refused" and one.step != "intended":
                self._to(now, one, "done")  # it is gone, as it was told to
                return
        if found.kind == "impostor" or now - one.since > self._allowed():
            why = f"{found.kind}: {found.why}" if found.why else found.kind
            self._to(now, one, "failed", f"not back in {self._allowed():g} s, {why}")

    def _reached(self, one: GatewayProgress, found: QueryResult) -> bool:
        state = found.state
        assert state is not None
        if self.plan.action == "reload" and self.plan.digest:
            return state.config.get("runs") == self.plan.digest
        if self.plan.action == "retire":
            return False
        if self.plan.action == "drain":
            return state.phase in ("draining", "drained", "ending")
        return state.phase == "ready"

    def _served(self, now: float, one: GatewayProgress, found: QueryResult) -> bool:
        """In its new life, ready for a while: one that falls again at once is not back."""
        if found.state is None or found.state.phase != "ready":
            one.served_from = math.inf
            return False
        one.served_from = min(one.served_from, now)
        if one.step != "back":
            one.step = "back"
        return now - one.served_from >= self.plan.terms.settle

    def _allowed(self) -> float:
        drains = self.plan.terms.within if self.plan.action in ("restart", "retire") else 0.0
        return drains + self.plan.terms.back_within

    def _to(self, now: float, one: GatewayProgress, step: Step, why: str = "") -> None:
        one.step, one.since, one.why = step, now, why
        line = {"ev": step, "gateway": one.target.name}
        self._due.append(AppendLine(line | ({"why": why} if why else {})))

    # ---- what is decided -----------------------------------------------------------------------------------

    def decide(self, now: float) -> Decision | None:
        if not self._due and not self.over:
            self._next(now)
        return self._due.popleft() if self._due else None

    def _next(self, now: float) -> None:
        some = list(self.gateways.values())
        moving = [o for o in some if o.step in UNDER_WAY_STEPS]
        left = [o for o in some if o.step == "planned"]
        if not self.stopped:
            self.stopped = self._trouble(some)
            if self.stopped:
                self._due.append(AppendLine({"ev": "stopped", "why": self.stopped}))
        if not moving and (self.stopped or not left):
            self.over = True
            if not self.stopped:
                self._due.append(AppendLine({"ev": "ended"}))
            self._due.append(Finished(not self.stopped, self.stopped))
            return
        for one in moving:
            if not one.asking and now >= one.ask_at:
                self._ask(now, one)
        if self.stopped:
            return  # what is under way is brought to its end, nothing new begins
        hall = next((o.target.zone for o in (moving or left)), "")
        beginning = sum(o.asking for o in left)
        for one in left:
            if len(moving) + beginning >= self._most():
                return
            if self.plan.terms.one_hall and one.target.zone != hall:
                return
            if not one.asking:
                beginning += 1
                self._ask(now, one)

    def _most(self) -> int:
        terms = self.plan.terms
        most = max(1, terms.at_once)
        return max(1, min(most, int(terms.share * len(self.gateways)))) if terms.share > 0 else most

    def _ask(self, now: float, one: GatewayProgress) -> None:
        one.asking, one.ask_at = True, now + self.ASKED_EVERY
        self._due.append(QueryGateway(one.target.name))

    def _trouble(self, some: Sequence[GatewayProgress]) -> str:
        """Why nothing more is begun, empty if it may be."""
        failed = [o for o in some if o.step == "failed"]
        if len(failed) - self._forgiven >= max(1, self.plan.terms.failures):
            return f"{len(failed)} failed: " + "; ".join(f"{o.target.name}: {o.why}" for o in failed[:3])
        share = self.joins.failure_share()
        if share is not None and self.baseline is not None and share > self.baseline + self.plan.terms.worse:
            before = f"{100 * self.baseline:.1f}% before"
            return f"{100 * share:.1f}% of viewings are turned away or fail, {before}"
        joins = list(self.joins.p99.values())
        most = self.plan.terms.slow_ms
        if most and joins and (middle := median(joins)) > most:
            return f"joins take {middle:.0f} ms at the 99th percentile, {most:g} are allowed"
        return ""

    def on_baseline_measured(self, joins: JoinStatistics) -> None:
        """What joins were like before the first step; kept, so that a resumed plan goes by the same."""
        share = joins.failure_share()
        if self.baseline is None and share is not None:
            self.baseline = share
            self._due.append(AppendLine({"ev": "baseline", "share": round(share, 6)}))

    def wake_at(self, now: float) -> float | None:
        """When to ask again what is under way."""
        if self._due:
            return now
        moving = [o for o in self.gateways.values() if o.step in UNDER_WAY_STEPS]
        asks = [o.ask_at for o in moving if not o.asking]
        return min(asks, default=None)

    def count_by_step(self) -> dict[str, int]:
        """How many are at each step."""
        out: dict[str, int] = {}
        for one in self.gateways.values():
            out[one.step] = out.get(one.step, 0) + 1
        return out


def preview_groups(plan: Plan) -> list[list[str]]:
    """Which gateways would be under way together, in order: what `--plan` shows."""
    rolling = RollingChange(0.0, plan)
    most = rolling._most()
    groups: list[list[Target]] = []
    for target in order_targets(plan.targets):
        last = groups[-1] if groups else None
        new_hall = plan.terms.one_hall and last is not None and last[-1].zone != target.zone
        if last is None or len(last) >= most or new_hall:
            groups.append([target])
        else:
            last.append(target)
    return [[t.name for t in group] for group in groups]
