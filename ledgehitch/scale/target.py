"""The size that is coming, as the operators' letter states it, and what was read into it: `target.json`.

Seconds, bytes, counts. A *topic* is a title, a *shard* the part of a title's sessions that one gateway
answers for, a *connection* a client's connection held, a *delivery* one word pushed to one session.
"""

import math
from pathlib import Path
from typing import Annotated, Literal

import msgspec

from ledgehitch.config.read import BadInput, read_record
from ledgehitch.config.site import Amount, Positive, Record, Share

Whole = Annotated[int, msgspec.Meta(ge=1)]
DAY = 86_400.0
YEAR = 365.0 * DAY


class Control(Record, kw_only=True, frozen=True):
    """What a gateway may spend on control, and the machines that are set aside for it."""

    cpu_s_per_s: Positive
    memory_bytes: Positive
    bytes_per_s: Positive
    machines: Whole


class Readings(Record, kw_only=True, frozen=True):
    """What the letter does not say and something is worked out from. `lists_per_s`: whole lists asked for
    when all gateways start within 100 s; `tool_within_s`: how long an operator may wait for all of them."""

    servers: Whole
    gateway_cores: Positive
    gateway_memory_bytes: Positive
    turns_per_s: Positive
    lists_per_s: Positive
    tool_within_s: Positive


class Failure(Record, kw_only=True, frozen=True):
    """`gateways`: how many it meets; `length_s`: how long it lasts; 0: until the fleet has made it good."""

    name: Literal["machine", "restart", "rack", "zone", "regions-apart"]
    per_year: Positive
    gateways: Whole
    length_s: Amount = 0.0
    reading: Annotated[str, msgspec.Meta(min_length=1)]


class Target(Record, kw_only=True, frozen=True):
    version: Literal[1] = 1
    gateways: Whole
    connections: Whole
    shards: Whole
    largest_topic: Whole
    deliveries_per_s: Positive
    delivery_within_s: Positive
    delivery_share: Share
    regions: Whole
    zones: Whole
    changes_per_day: Positive
    change_within_s: Positive
    control: Control
    readings: Readings
    failures: Annotated[list[Failure], msgspec.Meta(min_length=1)]

    @property
    def connections_each(self) -> float:
        return self.connections / self.gateways

    @property
    def deliveries_each(self) -> float:
        return self.deliveries_per_s / self.gateways

    @property
    def topic_words(self) -> tuple[float, float]:
        """Deliveries of one word to the largest topic at a gateway: where it is spread evenly, at once; where
        all of it is at one gateway, a second, in the time that a delivery may take."""
        return self.largest_topic / self.gateways, self.largest_topic / self.delivery_within_s


def read_target(path: Path) -> Target:
    """Raises `BadInput` that names the file and the field."""
    target = read_record(path, Target)

    def wrong(field: str, reason: str) -> None:
        raise BadInput(f"{path}: {field}: {reason}")

    if target.largest_topic > target.connections:
        wrong("largest_topic", f"{target.largest_topic} listeners are more than all connections")
    if target.shards < target.gateways:
        wrong("shards", f"{target.shards} are fewer than gateways")
    if target.zones < target.regions:
        wrong("zones", f"{target.zones} zones cannot make {target.regions} regions")
    names = [f.name for f in target.failures]
    for i, failure in enumerate(target.failures):
        if failure.name in names[:i]:
            wrong(f"failures[{i}].name", f"{failure.name!r} is named twice")
        if failure.gateways > target.gateways:
            wrong(f"failures[{i}].gateways", f"{failure.gateways} are more than there are")
        if not math.isfinite(failure.per_year) or failure.per_year * failure.length_s > YEAR:
            wrong(f"failures[{i}].length_s", "they last longer than a year together")
    return target
