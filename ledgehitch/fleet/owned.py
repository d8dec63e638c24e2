"""Summarizes who owns the duties of the fleet, from the answers of the gateways. Free of I/O.

Gateways without an answer are counted, and contradicting answers are reported as such.
"""

from collections.abc import Mapping, Sequence
from typing import Any, Literal

import msgspec

Kind = Literal["owned", "nobody", "unknown", "contradicting"]


class OwnersAnswer(msgspec.Struct, frozen=True):
    """One gateway's answer; `state` is None if no valid one came, and `why` says why."""

    name: str
    state: dict[str, Any] | None = None
    why: str = ""


class DutyStatus(msgspec.Struct, frozen=True):
    """Status of one duty. `duty`: with the region in brackets if each region has its own owner."""

    duty: str
    kind: Kind
    owner: str = ""
    term: int = 0
    lease_left: float = 0.0
    doing: str = ""
    refused: int = 0  # calls of former owners refused, over all gateways that answered
    standstill: str = ""
    why: str = ""


def decode_answer(name: str, status: int, body: bytes) -> OwnersAnswer:
    """Returns the answer of one gateway; without a state if it is not a valid one."""
    if status != 200:
        return OwnersAnswer(name, None, f"it answers {status}")
    try:
        state = msgspec.json.decode(body, type=dict[str, Any])
        for report in state["duties"].values():
            msgspec.convert(report, _DutyReport)
        return OwnersAnswer(name, state)
    except (msgspec.MsgspecError, KeyError, AttributeError) as error:
        return OwnersAnswer(name, None, f"what it says does not read: {error!r}"[:200])


class _DutyReport(msgspec.Struct):
    """One duty as a gateway reports it. `mine`: whether the gateway claims it; `refused`: refused calls."""

    owner: str
    term: int
    lease_left: float
    mine: bool
    refused: int
    doing: str = ""
    standstill: str = ""
    region: str = ""


def summarize_duties(
    answers: Sequence[OwnersAnswer], regions: Mapping[str, str] | None = None
) -> list[DutyStatus]:
    """Returns the status of each duty, by region if a duty is owned per region.

    Two gateways that claim a duty are reported as contradicting, though one of them may be suspended and
    unaware that its term is over: the terms tell which. `regions`: region by gateway, from the site.
    """
    valid = [s for s in answers if s.state is not None]
    scopes = sorted(
        {
            (duty_name, str(report.get("region", "")))
            for s in valid
            for duty_name, report in _duties(s).items()
        }
    )
    regional = {duty_name for duty_name, region in scopes if region}
    scopes += [
        (duty_name, region)
        for duty_name in sorted(regional)
        for region in sorted(set((regions or {}).values()))
        if (duty_name, region) not in scopes
    ]
    out = []
    for duty, region in sorted(scopes):
        # A gateway that still runs a site without regions is not counted in any.
        reports = [s for s in valid if duty in _duties(s) and _duties(s)[duty].get("region", "") == region]
        expected = [s for s in answers if (regions or {}).get(s.name, "") == region] if region else answers
        one = _summarize_duty(duty, reports, max(len(expected), len(reports)))
        if one.kind == "nobody" and regions and not region:
            # Connectivity between gateways is not known here; partitioned regions look like this.
            why = f"it needs a majority of the gateways of all regions; {one.standstill}"
            one = msgspec.structs.replace(one, why=why)
        out.append(msgspec.structs.replace(one, duty=f"{duty} ({region})") if region else one)
    return out


def _duties(answer: OwnersAnswer) -> Mapping[str, Any]:
    assert answer.state is not None
    duties: Mapping[str, Any] = answer.state["duties"]
    return duties


def _summarize_duty(duty: str, valid: Sequence[OwnersAnswer], expected: int) -> DutyStatus:
    reports = [(s.name, msgspec.convert(_duties(s)[duty], _DutyReport)) for s in valid if duty in _duties(s)]
    refused, term = sum(t.refused for _, t in reports), max((t.term for _, t in reports), default=0)
    claims = sorted(((n, t) for n, t in reports if t.mine), key=lambda pair: -pair[1].term)
    if len(claims) > 1:
        why = ", ".join(f"{n} says it owns it with term {t.term}" for n, t in claims)
        return DutyStatus(duty, "contradicting", claims[0][0], claims[0][1].term, refused=refused, why=why)
    if claims:
        name, report = claims[0]
        return DutyStatus(duty, "owned", name, report.term, report.lease_left, report.doing, refused)
    named_owners = sorted({t.owner for _, t in reports if t.owner})
    if named_owners:
        why = f"{', '.join(named_owners)} is said to own it and does not say so itself"
        return DutyStatus(duty, "unknown", term=term, refused=refused, why=why)
    standstill_reason = next((t.standstill for _, t in reports if t.standstill), "")
    if len(reports) <= expected // 2:
        why = f"{len(reports)} of {expected} answered: others may know an owner"
        return DutyStatus(duty, "unknown", term=term, refused=refused, standstill=standstill_reason, why=why)
    return DutyStatus(duty, "nobody", term=term, refused=refused, standstill=standstill_reason)


def voting_problems(answers: Sequence[OwnersAnswer]) -> list[str]:
    """Returns lines on gateways that cannot vote now or did not answer, and why."""
    out = [f"{s.name}: silent, {s.why}" for s in answers if s.state is None]
    for s in answers:
        if s.state is None:
            continue
        for key, word in (("disk", "its disk takes no vote: "), ("why_not", "")):
            if s.state.get(key):
                out.append(f"{s.name}: {word}{s.state[key]}")
        region = s.state.get("region") or {}
        if region.get("why_not") and region["why_not"] != s.state.get("why_not"):
            out.append(f"{s.name}: in region {region.get('name')}: {region['why_not']}")
        share = s.state.get("share") or {}
        if share and share.get("in_force", 0) < share.get("stated", 0):
            used_share, stated_share = share["in_force"] / share["whole"], share["stated"] / share["whole"]
            out.append(
                f"{s.name}: its region uses {used_share:.3f} of the whole, {stated_share:.3f} is stated: "
                "others may still use the rest under a former version of the site"
            )
        if s.state.get("settled") is False:
            out.append(f"{s.name}: the list of gateways is changing, a majority of both is needed")
        stale = s.state.get("frames_refused", {}).get("stale", 0)
        if stale:
            out.append(
                f"{s.name}: frames of others are refused as stale, {stale} times: wall clocks "
                "differ by more than 5 s, and a gateway that is not heard has no vote"
            )
        if s.state.get("clock") is False:
            out.append(f"{s.name}: its clock stopped or jumped back")
    return out
