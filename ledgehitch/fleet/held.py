"""The plan that the fleet holds: which word on it is the latest, what an operator's word makes of it. Free of
I/O."""

from collections.abc import Iterable, Mapping
from typing import Any

import msgspec

from ledgehitch.daemon.facts import PlanCall, PlanMessage
from ledgehitch.fleet.found import Target
from ledgehitch.fleet.plan import Plan


class NotNow(Exception):
    """Why an operator's word is not taken, and the status that says so."""

    def __init__(self, status: int, why: str) -> None:
        super().__init__(why)
        self.status, self.why = status, why


def latest(words: Iterable[PlanMessage | None]) -> PlanMessage | None:
    """Of what several gateways hold."""
    return max((w for w in words if w is not None), key=PlanMessage.order, default=None)


def id_of(words: PlanMessage) -> str:
    return str(words.plan.get("id", "?")) if isinstance(words.plan, dict) else "?"


def after(held: PlanMessage | None, call: PlanCall, known: Mapping[str, Target]) -> PlanMessage:
    """The words that are to lie with a majority now; the same that are held where nothing changes. `known`:
    gateways of the site that the owner runs. Raises `NotNow`."""
    if call.do == "begin":
        return _begun(held, call.plan, known)
    if held is None or held.word not in ("go", "stopped"):
        raise NotNow(409, "no plan is under way")
    word: Any = {"stop": "stopped", "resume": "go", "give up": "given up"}[call.do]
    if held.word == word:
        return held
    return msgspec.structs.replace(held, word=word, why="an operator" if word == "stopped" else "")


def _begun(held: PlanMessage | None, raw: Any, known: Mapping[str, Target]) -> PlanMessage:
    try:
        plan = msgspec.convert(raw, Plan)
    except msgspec.ValidationError as wrong:
        raise NotNow(400, f"the plan does not read: {wrong}") from None
    if plan.action != "restart" or not plan.targets:
        raise NotNow(400, "the fleet carries out restarts, of one gateway at least")
    strange = [t.name for t in plan.targets if t.name not in known]
    if strange:
        raise NotNow(400, f"no gateway {strange[0]!r} in the site that the owner runs")
    if held is not None and id_of(held) == plan.id:
        return held  # said twice: the answer had been lost
    if held is not None and held.word in ("go", "stopped"):
        raise NotNow(409, f"{id_of(held)} is not at its end: resume it or give it up first")
    # Where others call a gateway is the owner's to know, not the tool's machine's.
    plan = msgspec.structs.replace(plan, targets=[known[t.name] for t in plan.targets])
    return PlanMessage(held.version if held is not None else 0, "go", msgspec.to_builtins(plan))
