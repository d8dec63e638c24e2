"""Day scripts: arrivals and faults over a period of seconds, for runs on loopback and in the model alike.

A fault has a kind, a time, a length and, as needed, `part` (fraction of the fleet that it affects), `size`
(strength) and `extra`. `KINDS` documents their meaning and bounds for each kind.
"""

from dataclasses import dataclass
from pathlib import Path
from typing import Annotated, Literal

import msgspec

from ledgehitch.config.read import BadInput, parse_record, read_record
from ledgehitch.config.site import Amount, Count, Positive, Record, Share


@dataclass(frozen=True)
class Kind:
    """A kind of fault: what it affects, its effect, and the bounds of `size` and `extra` (None: not used)."""

    target: Literal["hosts", "links", "uplinks", "list", "gateways", "viewers", "peers", "daemons"]
    what: str
    size: tuple[float, float] | None = None
    extra: tuple[float, float] | None = None


KINDS: dict[str, Kind] = {
    "crash": Kind("hosts", "the process dies, connections are reset, and it restarts cold at the end"),
    "vanish": Kind("hosts", "the machine stops answering and returns cold"),
    "hang": Kind("hosts", "accepts set-ups without an answer; playing viewings get no data"),
    "slow": Kind(
        "hosts", "set-ups take `size` times as long, the link capacity is divided by `size`", (1, 100)
    ),
    "neighbour": Kind(
        "links", "another program uses `size` of the link, on and off every `extra` s", (0, 0.95), (0.05, 60)
    ),
    "fast_errors": Kind("hosts", "`size` of the set-ups fail immediately", (0, 1)),
    "answers_lost": Kind(
        "hosts",
        "the answers of `size` of the running set-ups are lost: no answer, or a reset if `extra` is 1",
        (0, 1),
        (0, 1),
    ),
    "bad_answers": Kind(
        "hosts",
        "`size` of the set-ups answer with a truncated answer, a wrong SDP, or twice, in turn",
        (0, 1),
    ),
    "link_shrink": Kind("links", "the link has 1 / `size` of its capacity", (1, 100)),
    "uplink_shrink": Kind("uplinks", "the rack's uplink has 1 / `size` of its capacity", (1, 100)),
    "deploy": Kind(
        "hosts",
        "hosts are replaced, `size` of the fleet at a time, drained for `extra` s; successors start cold",
        (0.01, 1),
        (0, 60),
    ),
    "burst": Kind("viewers", "viewers arrive at `size` times the rate", (1, 100)),
    "crowd": Kind("viewers", "`size` of the viewers request one title that few hosts hold", (0, 1)),
    "rack_stalls": Kind(
        "viewers", "`size` of the reports of players served by one rack report stalls", (0, 1)
    ),
    "title_stalls": Kind("viewers", "`size` of the reports of players of one title report stalls", (0, 1)),
    "gateways_killed": Kind(
        "gateways",
        "gateways are killed in waves, `size` of them at a time, and start again after `extra` s",
        (0.01, 1),
        (0, 30),
    ),
    "gateways_still": Kind("gateways", "gateways are stopped and continue at the end"),
    "peers_lost": Kind("peers", "`size` of the messages between gateways are lost", (0, 1)),
    "list_late": Kind("list", "updates of the list of media hosts arrive `size` s late", (0, 60)),
    "list_lost": Kind("list", "the list service is unavailable"),
}


# Faults between daemons, injected by the rig of several processes. Days of one process and models have none.
DAEMON_FAULTS: dict[str, Kind] = {
    "wires_cut": Kind(
        "daemons",
        "`who` is partitioned from the others; `extra` 1: only its messages are lost, 2: only those to it",
        None,
        (0, 2),
    ),
    "wires_bad": Kind(
        "daemons",
        "`size` of the daemons' messages are lost, as many duplicated; delays up to `extra` s",
        (0, 1),
        (0, 60),
    ),
    "daemon_still": Kind("daemons", "`who` is stopped and continues at the end"),
    "daemon_killed": Kind("daemons", "`who` is killed and restarts at the end"),
}


class Fault(Record, kw_only=True, frozen=True):
    kind: str
    at: Amount
    len: Positive = 5.0
    part: Share = 0.25
    who: str = ""  # of daemons: a gateway's name, "hall NAME" or "owner of DUTY"
    size: float | None = None
    extra: float | None = None

    def size_or_default(self) -> float:
        """Returns `size`, or else the middle of its bounds (at most the larger of 2 and the lower one)."""
        return self.size if self.size is not None else _default_within(_kind(self.kind).size)

    def extra_or_default(self) -> float:
        """Returns `extra`, or else the middle of its bounds (at most the larger of 2 and the lower one)."""
        return self.extra if self.extra is not None else _default_within(_kind(self.kind).extra)


def _kind(name: str) -> Kind:
    return KINDS[name] if name in KINDS else DAEMON_FAULTS[name]


def _default_within(bounds: tuple[float, float] | None) -> float:
    return 0.0 if bounds is None else min((bounds[0] + bounds[1]) / 2, max(2.0, bounds[0]))


class Mix(Record, kw_only=True, frozen=True):
    """One package's share of the arrivals, and the mean of its exponential viewing times in seconds."""

    package: str
    share: Positive = 1.0
    watch: Positive = 20.0
    method: Literal["whep", "whip"] = "whep"


class Arrivals(Record, kw_only=True, frozen=True):
    """Arrivals of `rate` viewers per second, with titles by Zipf's law with exponent `zipf`."""

    rate: Positive
    mix: Annotated[list[Mix], msgspec.Meta(min_length=1)]
    shape: Literal["steady", "ramp", "wave", "peak", "event"] = "steady"
    swing: Share = 0.2
    zipf: Amount = 0.8
    small_screens: Share = 0.2  # viewers who cannot use the upper half of the rungs
    returns: Share = 0.9  # fraction of blocked viewers and broken viewings that come again
    return_after: Positive = 1.0
    returns_at_most: Count = 3
    honour_advice: Share = 1.0
    impatient: Share = 0.0  # fraction that hangs up early
    repeats: Share = 0.0  # fraction that repeats its offer on a second connection before the first answer
    seeks: Amount = 0.0  # per second of watching; each is a new tune-in of the same title
    resizes: Amount = 0.0  # per second of watching; a change of the highest rung, which is a new tune-in too
    leave_under: Share = 0.75  # fraction of the rate delivered below which viewers begin to leave


class Reporting(Record, kw_only=True, frozen=True):
    """Reports of players to their gateways. With `every` 0 they send none."""

    every: Amount = 0.0
    copies: Annotated[int, msgspec.Meta(ge=1, le=20)] = 1  # sent of each report
    late: Amount = 0.0  # maximum of the random delay of each, in seconds
    lying: Share = 0.0  # fraction of players that report stalls that did not happen
    beside: bool = False  # a separate process next to each gateway receives them


class Shape(Record, kw_only=True, frozen=True):
    """Size of the installation that the day needs, and the behaviour of its media hosts."""

    gateways: Annotated[int, msgspec.Meta(ge=1, le=4096)] = 3
    hosts: Annotated[int, msgspec.Meta(ge=1, le=4096)] = 9
    zones: Annotated[int, msgspec.Meta(ge=1, le=8)] = 1
    titles: Annotated[int, msgspec.Meta(ge=1, le=5000)] = 20
    rack: Annotated[int, msgspec.Meta(ge=1, le=64)] = 3  # hosts per rack
    slots: Annotated[int, msgspec.Meta(ge=1)] = 60
    link_kb: Positive = 6000.0
    uplink_share: Positive = 0.8  # fraction of the sum of a rack's links
    setup: Positive = 0.05  # median of the set-up time, in seconds
    setup_spread: Amount = 0.4  # sigma of its logarithm
    true_rate_spread: Amount = 0.1
    true_rate_swing: Share = 0.0  # fraction by which true rates oscillate, each host with its own timing
    far: Amount = 0.0  # one-way delay between zones in seconds, in the model only
    report_noise: Amount = 0.05
    list_delay: Amount = 0.5
    peer_delay: Amount = 0.01
    peer_loss: Share = 0.01
    fresh: bool = False  # media hosts start cold


class Day(Record, kw_only=True, frozen=True):
    name: str
    length: Positive
    arrivals: Arrivals
    faults: list[Fault] = []
    shape: Shape = Shape()
    reporting: Reporting = Reporting()
    settle: Amount = 2.0  # seconds between the last start and the first viewer
    seed: int = 1
    site: dict[str, msgspec.Raw] = {}  # parts of the site file that this day overrides
    source: str = ""  # where an imported day came from


def read_day(path: Path) -> Day:
    """Reads a day in the configuration language, or as JSON of the records (`.json`)."""
    if path.suffix != ".json":
        from ledgehitch.config.load import load  # it reads sites, which this module builds on

        loaded = load(path, "#Day")
        if loaded.mistakes:
            raise BadInput("\n".join(m.describe() for m in loaded.mistakes))
        day = parse_record(msgspec.json.encode(loaded.data), Day, str(path))
    else:
        day = read_record(path, Day)
    check_day(day, str(path))
    return day


def check_day(day: Day, name: str) -> None:
    """Checks kinds, times and bounds of a day's faults. Raises `BadInput`, which calls the day `name`."""
    for i, fault in enumerate(day.faults):
        at = f"{name}: faults[{i}]"
        kind = KINDS.get(fault.kind)
        if fault.kind in DAEMON_FAULTS:
            raise BadInput(f"{at}.kind: {fault.kind} is played between daemons alone")
        if kind is None:
            raise BadInput(f"{at}.kind: no fault {fault.kind!r}, known are {', '.join(sorted(KINDS))}")
        for field, value, bounds in (("size", fault.size, kind.size), ("extra", fault.extra, kind.extra)):
            if value is None:
                continue
            if bounds is None:
                raise BadInput(f"{at}.{field}: a {fault.kind} has none")
            if not bounds[0] <= value <= bounds[1]:
                raise BadInput(f"{at}.{field}: {value:g} is not from {bounds[0]:g} to {bounds[1]:g}")
        if fault.at >= day.length:
            raise BadInput(f"{at}.at: {fault.at:g} s is after the day's end, {day.length:g} s")
