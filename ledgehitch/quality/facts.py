"""Players' reports and their validation. Keys follow CTA-5004 (CMCD) where it has them. Free of I/O."""

from typing import Annotated, Any

import msgspec

MAX_REPORTS = 200  # in one batch
Milliseconds = Annotated[int, msgspec.Meta(ge=0, le=86_400_000)]


class Report(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """One report on one viewing.

    Times are in milliseconds of the player's own clock, and only their differences are used. Counts cover the
    time since the previous report.
    """

    sn: Annotated[int, msgspec.Meta(ge=0, lt=2**31)]  # sequence number
    ts: Annotated[int, msgspec.Meta(ge=0, lt=2**53)]  # time of the report on the player's clock
    msd: Milliseconds | None = None  # media start delay: from the request to the first picture
    bsd: list[Milliseconds] = []  # lengths of stalls (buffer starvation)
    drops: Annotated[int, msgspec.Meta(ge=0, le=10_000)] = msgspec.field(
        default=0, name="com.ledgehitch-drops"
    )
    rung: Annotated[int, msgspec.Meta(ge=0, le=31)] = msgspec.field(default=0, name="com.ledgehitch-rung")


def parse_reports(body: bytes) -> tuple[list[Report], list[dict[str, Any]]]:
    """Returns the valid reports of a batch, and the index, field and reason for each invalid one.

    Raises `ValueError` if the body is not a batch.
    """
    try:
        raw = msgspec.json.decode(body, type=list[msgspec.Raw])
    except msgspec.MsgspecError as error:
        raise ValueError(f"a batch is a list of reports: {error}") from None
    if len(raw) > MAX_REPORTS:
        raise ValueError(f"{len(raw)} reports in a batch, {MAX_REPORTS} are allowed")
    good, bad = [], []
    for i, item in enumerate(raw):
        try:
            good.append(msgspec.json.decode(item, type=Report))
        except msgspec.ValidationError as error:
            reason, _, at = str(error).partition(" - at `$")
            bad.append(
                {"report": i, "field": at.rstrip("`").lstrip(".") or "the whole report", "reason": reason}
            )
        except msgspec.DecodeError as error:
            bad.append({"report": i, "field": "the whole report", "reason": str(error)})
    return good, bad


class ViewingRecord(msgspec.Struct, array_like=True):
    """The gateway's record of a viewing: where and what it plays, and when it was requested and answered.

    Times are in seconds of the gateway's wall clock.
    """

    rack: str
    title: str
    asked_at: float
    answered_at: float
    join_target: float = 0.8
    package: str = ""
