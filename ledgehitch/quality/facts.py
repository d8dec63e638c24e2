"""What players report: keys after CTA-5004 (CMCD) where it has them, checked one by one. Free of I/O."""

from typing import Annotated, Any

import msgspec

MOST_REPORTS = 200  # of one batch
Milliseconds = Annotated[int, msgspec.Meta(ge=0, le=86_400_000)]


class Report(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """One report on one viewing. Times are milliseconds of the player's own clock; only their differences are
    used. Counts are of the time since the report before."""

    sn: Annotated[int, msgspec.Meta(ge=0, lt=2**31)]  # sequence number, one more for each report
    ts: Annotated[int, msgspec.Meta(ge=0, lt=2**53)]  # the player's clock when it was made
    msd: Milliseconds | None = None  # media start delay: from asking to the first picture
    bsd: list[Milliseconds] = []  # lengths of stalls (buffer starvation)
    drops: Annotated[int, msgspec.Meta(ge=0, le=10_000)] = msgspec.field(
        default=0, name="com.ledgehitch-drops"
    )
    rung: Annotated[int, msgspec.Meta(ge=0, le=31)] = msgspec.field(default=0, name="com.ledgehitch-rung")


def reports_in(body: bytes) -> tuple[list[Report], list[dict[str, Any]]]:
    """The good reports of a batch, and for each bad one its place, field and reason.

    Raises `ValueError` for a body that is no batch at all."""
    try:
        raw = msgspec.json.decode(body, type=list[msgspec.Raw])
    except msgspec.MsgspecError as wrong:
        raise ValueError(f"a batch is a list of reports: {wrong}") from None
    if len(raw) > MOST_REPORTS:
        raise ValueError(f"{len(raw)} reports in a batch, {MOST_REPORTS} are allowed")
    good, bad = [], []
    for i, one in enumerate(raw):
        try:
            good.append(msgspec.json.decode(one, type=Report))
        except msgspec.ValidationError as wrong:
            reason, _, at = str(wrong).partition(" - at `$")
            bad.append(
                {"report": i, "field": at.rstrip("`").lstrip(".") or "the whole report", "reason": reason}
            )
        except msgspec.DecodeError as wrong:
            bad.append({"report": i, "field": "the whole report", "reason": str(wrong)})
    return good, bad


class Seen(msgspec.Struct, array_like=True):
    """What the gateway saw of a viewing: where and what it plays, and when it was asked for and answered, in
    seconds of the gateway's wall clock."""

    rack: str
    title: str
    asked_at: float
    answered_at: float
    join_target: float = 0.8
    package: str = ""
