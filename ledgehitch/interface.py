"""Types shared by the decision module and its hosts: decisions, outcome codes and the facts given at start.

Nothing here decides anything. Times are seconds with fractions; ids are passed on as they came.
"""

from collections.abc import Mapping
from dataclasses import dataclass
from enum import IntEnum


class Outcome(IntEnum):
    """How a tune-in ended."""

    OK = 10
    ERROR = 20
    FULL = 30
    TIMEOUT = 40
    CONNECT_FAILED = 50
    RESET = 60
    CANCELLED = 70
    MOOT = 80


@dataclass(frozen=True)
class Package:
    """One kind of viewing that is sold."""

    name: str
    join_target: float
    patience: float
    value: float = 1.0
    effect: str = "repeatable"  # or "by_key", "once"
    key_scope: str = "all"  # by_key: further tune-ins go to "all", the same "zone" or the same "cell"
    key_window: float = 0.0
    scale: float = 1.0
    floor: int = 0
    top: int = 99
    seats: int = 0
    live: bool = False


@dataclass(frozen=True)
class Ladder:
    """The rates on offer and what each earns."""

    kb: tuple[float, ...]
    earns: tuple[float, ...]


@dataclass(frozen=True)
class Fleet:
    """What is known of links, uplinks and the machines at start."""

    cells: int = 0
    racks: int = 0
    link_unit_kb: float = 0.0
    links_kb: float = 0.0
    uplink_kb: float = 0.0
    slots: Mapping[str, int] | None = None
    full_from: float = 0.0
    join_part: float = 1.0
    told_late: float = 1.0
    told_every: float = 0.0
    load_fields: tuple[str, ...] = ()
    reports: str = "silent"  # "piggyback", "pull"


@dataclass(frozen=True)
class Terms:
    """The rules' figures and what this deployment allows."""

    zone: str = ""
    ordinal: int = 0
    gateways: int = 1
    tune_ins: int = 1
    answer_slack: float = 0.0
    drain_grace: float = 0.0
    ask_within: float = 0.0
    on_request: bool = False
    cold_share: float = 1.0
    warm_up: float = 0.0
    fall_multiple: float = 1.0
    fall_after: float = 0.0
    extra_free: float | None = None
    extra_ratio: float = 0.0
    extra_window: float = 0.0
    may_probe: bool = False
    may_tell: bool = False
    may_advise: bool = False
    longest_advice: float = 0.0
    cross_price: float = 0.0


UNPLACED = -1  # the cell of a media host whose row names none


@dataclass(frozen=True)
class Row:
    """One media host as a list names it."""

    host: str
    cell: int  # from 0; `UNPLACED` where the row names none
    weight: float
    kind: str
    zone: str
    state: str  # "in_service", "terminating" or "terminated"
    started: float


@dataclass(frozen=True)
class TuneIn:
    """Ask a media host to start the viewing; the outcome is wanted within so many seconds."""

    viewing_id: int
    host: str
    within: float


@dataclass(frozen=True)
class SetRung:
    viewing_id: int
    rung: int


@dataclass(frozen=True)
class Block:
    """Turn the viewer away; `stay_away` of 0 gives no advice."""

    viewing_id: int
    stay_away: float


@dataclass(frozen=True)
class Abort:
    """Tell the viewer that the viewing failed, with no word on whether it ran."""

    viewing_id: int


@dataclass(frozen=True)
class Probe:
    host: str


@dataclass(frozen=True)
class Subscribe:
    """Ask for changes of the list of media hosts from now on."""


@dataclass(frozen=True)
class Tell:
    """A message for another gateway, named by its ordinal."""

    message: bytes
    recipient: int


Decision = TuneIn | SetRung | Block | Abort | Probe | Subscribe | Tell
