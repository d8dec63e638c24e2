"""What a gateway turned out to be when it was asked. Free of I/O.

Who does not answer is not left out and nothing is guessed: each one asked for stands in the result, once.
"""

from collections.abc import Sequence
from typing import Literal, get_args

import msgspec

from ledgehitch.daemon.facts import VERSION, State

Kind = Literal["answered", "draining", "slow", "refused", "silent", "impostor", "wrong version", "unknown"]
SLOW_SHARE = 0.5  # part of the deadline after which an answer counts as slow


class Target(msgspec.Struct, frozen=True):
    """One gateway of the fleet, as the site names it."""

    name: str
    at: str  # unix:PATH, or HOST:PORT over TLS
    zone: str = ""
    rack: str = ""


class QueryResult(msgspec.Struct, frozen=True):
    """`why` in words for people; `state` where it told one that can be believed."""

    name: str
    kind: Kind
    why: str = ""
    took: float = 0.0
    state: State | None = None


def classify_answer(
    target: Target, took: float, within: float, status: int, version: str, body: bytes
) -> QueryResult:
    """An answer came."""
    if status in (401, 403):
        return QueryResult(target.name, "refused", "it does not take this certificate", took)
    if version != VERSION:
        spoken = f"version {version}" if version else "no version"
        return QueryResult(
            target.name, "wrong version", f"its admin call has {spoken}, this tool {VERSION}", took
        )
    if status != 200:
        return QueryResult(target.name, "unknown", f"it answers {status}", took)
    try:
        state = msgspec.json.decode(body, type=State)
    except msgspec.MsgspecError as wrong:
        return QueryResult(target.name, "unknown", f"its state does not read: {wrong}", took)
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
    target: Target, how: Literal["refused", "silent", "unknown"], why: str, took: float
) -> QueryResult:
    """No answer came: nobody listens, nothing came in time, or what came is no HTTP."""
    return QueryResult(target.name, how, why, took)


def count_by_kind(found: Sequence[QueryResult]) -> dict[str, int]:
    """How many of each kind, the usual first."""
    out: dict[str, int] = {}
    for kind in get_args(Kind):
        n = sum(f.kind == kind for f in found)
        if n:
            out[kind] = n
    return out
