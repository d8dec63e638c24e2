"""What crosses the border of the admin call, version 1. Times are seconds."""

from typing import Any, Literal

import msgspec

VERSION = "1"  # of the admin call: rises when something that is here changes its meaning
Role = Literal["look", "operate", "gateway"]  # a gateway: looks, and takes steps that a term fences


class Counts(msgspec.Struct, frozen=True):
    """Since this life began."""

    asked: int = 0
    plays: int = 0
    blocked: int = 0
    aborted: int = 0
    left: int = 0
    turned_away: int = 0


class HostSeen(msgspec.Struct, frozen=True):
    """One media host as this gateway sees it."""

    in_service: bool
    viewings: int


class State(msgspec.Struct, frozen=True):
    """One gateway: who it is, what it does, what it holds."""

    name: str
    boot: str
    version: str
    admin: str
    pid: int
    phase: str
    why: str  # who asked for the drain
    for_s: float  # seconds in this phase
    up_s: float
    started_by: str  # the ticket of the restart that this life came from
    viewings: int
    counts: Counts
    joins_ms: dict[str, float]  # of the last minute: 50, 99
    config: dict[str, Any]  # digest that runs, digest told, what waits for a restart
    hosts: dict[str, HostSeen] = {}
    members: dict[str, str] = {}  # other gateways as this one sees them
    door: dict[str, Any] | None = None
    zone: str = ""
    carried: str = ""  # the ticket for which a life here was ended last, kept on disk: it may have died since


class Fenced(msgspec.Struct, frozen=True, kw_only=True):
    """Of a step on behalf of the fleet: the duty, the term and who owns it. Without a duty it is an
    operator's own."""

    duty: str = ""
    term: int = 0
    owner: str = ""


class Fence(Fenced, forbid_unknown_fields=True, frozen=True):
    """POST /v1/fence: an owner says its term before its first step, and asks for the state."""


class PlanMessage(Fenced, forbid_unknown_fields=True, frozen=True):
    """POST /v1/plans: what the owner of `restarts` leaves with each gateway. The higher (term, version)
    counts. `word`: go, stopped, given up, ended."""

    version: int
    word: Literal["go", "stopped", "given up", "ended"]
    plan: Any = None
    why: str = ""
    share: float | None = None  # of viewings turned away before the first step

    def order(self) -> tuple[int, int]:
        """The higher is the later word."""
        return self.term, self.version


class PlanCall(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """POST /v1/plan: what an operator wants of the plan that the fleet carries out."""

    do: Literal["begin", "stop", "resume", "give up"]
    plan: Any = None


class Drain(Fenced, forbid_unknown_fields=True, frozen=True):
    """POST /v1/drain. `if_boot`: only where this life still runs."""

    within: float = 0.0
    then: Literal["stay", "restart", "stop", "leave"] = "stay"
    ticket: str = ""
    if_boot: str = ""


class Reload(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """POST /v1/reload."""

    ticket: str = ""
    if_boot: str = ""


class Done(msgspec.Struct, frozen=True):
    """What became of a call that changes something."""

    changed: bool
    phase: str
    boot: str
