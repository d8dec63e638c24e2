"""The plan that a majority of the gateways stores: its latest version, and operators' commands on it. Free of
I/O."""

from collections.abc import Iterable, Mapping
from typing import Any

import msgspec

from ledgehitch.daemon.facts import PlanCall, PlanMessage
from ledgehitch.fleet.found import Target
from ledgehitch.fleet.plan import Plan


class CommandRefused(Exception):
    """An operator's command cannot be carried out. `status`: the HTTP status of the answer."""

    def __init__(self, status: int, why: str) -> None:
        super().__init__(why)
        self.status, self.why = status, why


def latest_plan(plans: Iterable[PlanMessage | None]) -> PlanMessage | None:
    """Returns the latest of the plans stored by several gateways, None if there is none."""
    return max((p for p in plans if p is not None), key=PlanMessage.order, default=None)


def plan_id_of(message: PlanMessage) -> str:
    """Returns the id of the plan, "?" if it has none."""
    return str(message.plan.get("id", "?")) if isinstance(message.plan, dict) else "?"


def apply_command(held: PlanMessage | None, call: PlanCall, known: Mapping[str, Target]) -> PlanMessage:
    """Returns the plan to store at a majority after a command; `held` itself if nothing changes.

    `known`: the gateways of the owner's site. Raises `CommandRefused`.
    """
    if call.do == "begin":
        return _begin(held, call.plan, known)
    if held is None or held.word not in ("go", "stopped"):
        raise CommandRefused(409, "no plan is under way")
    word: Any = {"stop": "stopped", "resume": "go", "give up": "given up"}[call.do]
    if held.word == word:
        return held
    return msgspec.structs.replace(held, word=word, why="an operator" if word == "stopped" else "")


def _begin(held: PlanMessage | None, raw: Any, known: Mapping[str, Target]) -> PlanMessage:
    try:
        plan = msgspec.convert(raw, Plan)
    except msgspec.ValidationError as error:
        raise CommandRefused(400, f"the plan does not read: {error}") from None
    if plan.action != "restart" or not plan.targets:
        raise CommandRefused(400, "the fleet carries out restarts, of one gateway at least")
    unknown = [t.name for t in plan.targets if t.name not in known]
    if unknown:
        raise CommandRefused(400, f"no gateway {unknown[0]!r} in the site that the owner runs")
    if held is not None and plan_id_of(held) == plan.id:
        return held  # a repeated command whose answer was lost
    if held is not None and held.word in ("go", "stopped"):
        raise CommandRefused(409, f"{plan_id_of(held)} is not at its end: resume it or give it up first")
    # The addresses come from the owner's site: those of the tool's machine may not be reachable from it.
    plan = msgspec.structs.replace(plan, targets=[known[t.name] for t in plan.targets])
    return PlanMessage(held.version if held is not None else 0, "go", msgspec.to_builtins(plan))
