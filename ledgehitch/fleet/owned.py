"""Who owns the duties of the fleet, from what each gateway says. Free of I/O.

Nothing is guessed: who did not answer is counted, and who contradicts each other is told as such.
"""

from collections.abc import Mapping, Sequence
from typing import Any, Literal

import msgspec

Kind = Literal["owned", "nobody", "unknown", "contradicting"]


class OwnersAnswer(msgspec.Struct, frozen=True):
    """One gateway's answer; `state` None where none came that reads."""

    name: str
    state: dict[str, Any] | None = None
    why: str = ""


class DutyStatus(msgspec.Struct, frozen=True):
    """`duty`: with the region in brackets where each region has an owner of its own."""

    duty: str
    kind: Kind
    owner: str = ""
    term: int = 0
    lease_left: float = 0.0
    doing: str = ""
    refused: int = 0  # effects of former owners, at all gateways that answered
    standstill: str = ""
    why: str = ""


def decode_answer(name: str, status: int, body: bytes) -> OwnersAnswer:
    """What came of asking one gateway."""
    if status != 200:
        return OwnersAnswer(name, None, f"it answers {status}")
    try:
        state = msgspec.json.decode(body, type=dict[str, Any])
        for told in state["duties"].values():
            msgspec.convert(told, _DutyReport)
        return OwnersAnswer(name, state)
    except (msgspec.MsgspecError, KeyError, AttributeError) as wrong:
        return OwnersAnswer(name, None, f"what it says does not read: {wrong!r}"[:200])


class _DutyReport(msgspec.Struct):
    owner: str
    term: int
    lease_left: float
    mine: bool
    refused: int
    doing: str = ""
    standstill: str = ""
    region: str = ""


def summarize_duties(
    said: Sequence[OwnersAnswer], regions: Mapping[str, str] | None = None
) -> list[DutyStatus]:
    """By duty, and by region where a duty is a region's. Two that say they own one are told as contradicting,
    though one of them may stand still and not know better: its term tells which. `regions`: the region of
    each gateway by the site."""
    heard = [s for s in said if s.state is not None]
    scopes = sorted({(d, str(told.get("region", ""))) for s in heard for d, told in _duties(s).items()})
    regional = {d for d, region in scopes if region}
    scopes += [
        (d, region)
        for d in sorted(regional)
        for region in sorted(set((regions or {}).values()))
        if (d, region) not in scopes
    ]
    out = []
    for duty, region in sorted(scopes):
        # A gateway that still goes by a site without regions is asked for none.
        some = [s for s in heard if duty in _duties(s) and _duties(s)[duty].get("region", "") == region]
        asked = [s for s in said if (regions or {}).get(s.name, "") == region] if region else said
        one = _one(duty, some, max(len(asked), len(some)))
        if one.kind == "nobody" and regions and not region:
            # Said though nobody knows who hears whom: it is what regions that are apart look like.
            why = f"it needs a majority of the gateways of all regions; {one.standstill}"
            one = msgspec.structs.replace(one, why=why)
        out.append(msgspec.structs.replace(one, duty=f"{duty} ({region})") if region else one)
    return out


def _duties(said: OwnersAnswer) -> Mapping[str, Any]:
    assert said.state is not None
    duties: Mapping[str, Any] = said.state["duties"]
    return duties


def _one(duty: str, heard: Sequence[OwnersAnswer], asked: int) -> DutyStatus:
    some = [(s.name, msgspec.convert(_duties(s)[duty], _DutyReport)) for s in heard if duty in _duties(s)]
    refused, term = sum(t.refused for _, t in some), max((t.term for _, t in some), default=0)
    mine = sorted(((n, t) for n, t in some if t.mine), key=lambda pair: -pair[1].term)
    if len(mine) > 1:
        why = ", ".join(f"{n} says it owns it with term {t.term}" for n, t in mine)
        return DutyStatus(duty, "contradicting", mine[0][0], mine[0][1].term, refused=refused, why=why)
    if mine:
        name, told = mine[0]
        return DutyStatus(duty, "owned", name, told.term, told.lease_left, told.doing, refused)
    named = sorted({t.owner for _, t in some if t.owner})
    if named:
        why = f"{', '.join(named)} is said to own it and does not say so itself"
        return DutyStatus(duty, "unknown", term=term, refused=refused, why=why)
    stand = next((t.standstill for _, t in some if t.standstill), "")
    if len(some) <= asked // 2:
        why = f"{len(some)} of {asked} answered: others may know an owner"
        return DutyStatus(duty, "unknown", term=term, refused=refused, standstill=stand, why=why)
    return DutyStatus(duty, "nobody", term=term, refused=refused, standstill=stand)


def voting_problems(said: Sequence[OwnersAnswer]) -> list[str]:
    """Lines on gateways that give no vote now, or did not answer."""
    out = [f"{s.name}: silent, {s.why}" for s in said if s.state is None]
    for s in said:
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
            part, all = share["in_force"] / share["whole"], share["stated"] / share["whole"]
            out.append(
                f"{s.name}: its region uses {part:.3f} of the whole, {all:.3f} is stated: others may "
                "still use the rest by a former version of the site"
            )
        if s.state.get("settled") is False:
            out.append(f"{s.name}: the list of gateways changes, a majority of both is needed")
        stale = s.state.get("frames_refused", {}).get("stale", 0)
        if stale:
            out.append(
                f"{s.name}: frames of others are refused as stale, {stale} times: wall clocks are "
                "apart by more than 5 s, who is not heard has no vote"
            )
        if s.state.get("clock") is False:
            out.append(f"{s.name}: its clock stood still or jumped back")
    return out
