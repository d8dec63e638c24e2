"""Requests and responses of the admin API, version 1. Times are in seconds."""

from typing import Any, Literal

import msgspec

VERSION = "1"  # of the admin API: increased when a field here changes its meaning
Role = Literal["look", "operate", "gateway"]  # a gateway: queries, and steps fenced by a term


class Counts(msgspec.Struct, frozen=True):
    """Requests and their outcomes since this process started."""

    asked: int = 0
    plays: int = 0
    blocked: int = 0
    aborted: int = 0
    left: int = 0
    turned_away: int = 0


class HostSeen(msgspec.Struct, frozen=True):
    """A media host as this gateway sees it."""

    in_service: bool
    viewings: int


class State(msgspec.Struct, frozen=True):
    """The state of a gateway."""

    name: str
    boot: str
    version: str
    admin: str
    pid: int
    phase: str
    why: str  # origin of the drain
    for_s: float  # seconds in this phase
    up_s: float
    started_by: str  # ticket of the restart that started this process
    viewings: int
    counts: Counts
    joins_ms: dict[str, float]  # percentiles 50 and 99 of the last minute
    config: dict[str, Any]  # digest in use, last digest read, changes that need a restart
    hosts: dict[str, HostSeen] = {}
    members: dict[str, str] = {}  # status of the other gateways as seen by this one
    door: dict[str, Any] | None = None
    zone: str = ""
    carried: str = ""  # ticket of the last restart carried out here; stored on disk, so it survives a kill


class Fenced(msgspec.Struct, frozen=True, kw_only=True):
    """The duty, the term and the owner of a step on behalf of the fleet.

    A step without a duty comes from an operator.
    """

    duty: str = ""
    term: int = 0
    owner: str = ""


class Fence(Fenced, forbid_unknown_fields=True, frozen=True):
    """POST /v1/fence: an owner announces its term before its first step, and requests the state."""


class PlanMessage(Fenced, forbid_unknown_fields=True, frozen=True):
    """POST /v1/plans: the plan that the owner of `restarts` stores on each gateway.

    The one with the highest (term, version) is in force. `word`: the state of the plan.
    """

    version: int
    word: Literal["go", "stopped", "given up", "ended"]
    plan: Any = None
    why: str = ""
    share: float | None = None  # of viewings turned away before the first step

    def order(self) -> tuple[int, int]:
        """Returns the sort key: the plan with the higher one is the later."""
        return self.term, self.version


class PlanCall(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """POST /v1/plan: an operator's command on the fleet's plan."""

    do: Literal["begin", "stop", "resume", "give up"]
    plan: Any = None


class Drain(Fenced, forbid_unknown_fields=True, frozen=True):
    """POST /v1/drain. `if_boot`: drain only if the process with this boot identifier still runs."""

    within: float = 0.0
    then: Literal["stay", "restart", "stop", "leave"] = "stay"
    ticket: str = ""
    if_boot: str = ""


class Reload(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """POST /v1/reload."""

    ticket: str = ""
    if_boot: str = ""


class Done(msgspec.Struct, frozen=True):
    """The result of a call that changes something."""

    changed: bool
    phase: str
    boot: str
