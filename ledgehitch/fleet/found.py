"""Classifies the answers of gateways to a status query. Free of I/O.

Each gateway that was queried has exactly one result, also if it did not answer.
"""

from collections.abc import Sequence
from typing import Literal, get_args

import msgspec

from ledgehitch.daemon.facts import VERSION, State

Kind = Literal["answered", "draining", "slow", "refused", "silent", "impostor", "wrong version", "unknown"]
SLOW_SHARE = 0.5  # share of the deadline after which an answer counts as slow


class Target(msgspec.Struct, frozen=True):
    """One gateway of the fleet, as named in the site."""

    name: str
    at: str  # unix:PATH, or HOST:PORT over TLS
    zone: str = ""
    rack: str = ""


class QueryResult(msgspec.Struct, frozen=True):
    """Result of querying one gateway.

    `why`: the reason, for operators; `state`: None unless a valid one came; `took`: seconds.
    """

    name: str
    kind: Kind
    why: str = ""
    took: float = 0.0
    state: State | None = None


def classify_answer(
    target: Target, took: float, within: float, status: int, version: str, body: bytes
) -> QueryResult:
    """Classifies an HTTP answer that took `took` of `within` seconds."""
    if status in (401, 403):
        return QueryResult(target.name, "refused", "it does not take this certificate", took)
    if version != VERSION:
        actual = f"version {version}" if version else "no version"
        return QueryResult(
            target.name, "wrong version", f"its admin call has {actual}, this tool {VERSION}", took
        )
    if status != 200:
        return QueryResult(target.name, "unknown", f"it answers {status}", took)
    try:
        state = msgspec.json.decode(body, type=State)
    except msgspec.MsgspecError as error:
        return QueryResult(target.name, "unknown", f"its state does not read: {error}", took)
    if state.name != target.name:
        return QueryResult(target.name, "impostor", f"{state.name} answers at its address", took)
    if state.phase != "ready":
        return QueryResult(
            target.name, "draining", f"{state.phase}: {state.why}" if state.why else state.phase, took, state
        )
    if took > SLOW_SHARE * within:
        return QueryResult(target.name, "slow", f"it took {took:.2f} s", took, state)
    return QueryResult(target.name, "answered", "", took, state)


def no_answer(
    target: Target, kind: Literal["refused", "silent", "unknown"], why: str, took: float
) -> QueryResult:
    """Returns the result for a gateway without an answer: connection refused, time-out, or invalid HTTP."""
    return QueryResult(target.name, kind, why, took)


def count_by_kind(found: Sequence[QueryResult]) -> dict[str, int]:
    """Returns the number of results of each kind, in the order of `Kind`."""
    out: dict[str, int] = {}
    for kind in get_args(Kind):
        count = sum(f.kind == kind for f in found)
        if count:
            out[kind] = count
    return out
