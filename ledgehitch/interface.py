"""Types shared by the decision module and its callers: decisions, outcome codes and the facts given at start.

Times are seconds with fractions. Ids are passed on unchanged. The classes `Package`, `Ladder`, `Fleet`,
`Terms` and `Row` are pickled into the checkpoints of flight records, so they and their fields keep their
names. So do the classes of decisions and the order of their fields: decisions are recorded by these.
"""

from collections.abc import Mapping
from dataclasses import dataclass
from enum import IntEnum


class Outcome(IntEnum):
    """How a tune-in or a viewing ended."""

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
    join_target: float  # time within which a viewing should play
    patience: float  # time after which a request has to be answered
    value: float = 1.0  # what a viewing is worth, against those of other packages
    effect: str = "repeatable"  # whether a set-up may be repeated: "repeatable", "by_key" or "once"
    key_scope: str = "all"  # by_key: further tune-ins go to "all" hosts, the same "zone" or the same "cell"
    key_window: float = 0.0  # by_key: time for which a set-up may be repeated
    scale: float = 1.0  # factor on the rates of the ladder
    floor: int = 0  # lowest rung
    top: int = 99  # highest rung
    seats: int = 0  # most viewings of a title at a time; 0: no limit
    live: bool = False


@dataclass(frozen=True)
class Ladder:
    """The rates on offer, one for each rung in rising order, and what each earns."""

    kb: tuple[float, ...]  # kB a second
    earns: tuple[float, ...]


@dataclass(frozen=True)
class Fleet:
    """What is known of links, uplinks and media hosts at start."""

    cells: int = 0
    racks: int = 0
    link_unit_kb: float = 0.0  # kB a second of a link for each unit of its host's weight
    links_kb: float = 0.0  # kB a second of all links together, where there is no unit
    uplink_kb: float = 0.0  # kB a second of each rack's uplink; 0: not known
    slots: Mapping[str, int] | None = None  # places for viewings at a host, by kind of host
    full_from: float = 0.0  # use of a link from which on a host answers that it is full
    join_part: float = 1.0
    told_late: float = 1.0  # age of a report on arrival
    told_every: float = 0.0  # time between two reports
    load_fields: tuple[str, ...] = ()  # meaning of the values that come with answers, in order
    reports: str = (
        "silent"  # how hosts report load: "silent", "piggyback" (with answers) or "pull" (to probes)
    )


@dataclass(frozen=True)
class Terms:
    """The figures of the rules, and what this deployment allows."""

    zone: str = ""
    ordinal: int = 0  # number of this gateway, from 0
    gateways: int = 1
    tune_ins: int = 1  # most tune-ins of a viewing
    answer_slack: float = 0.0  # rule 1: time after the end of patience in which an answer still counts
    drain_grace: float = 0.0  # rule 3: time in which a host that drains may still be sent tune-ins
    ask_within: float = (
        0.0  # rule 3: time after the loss of the list from which on its changes count as heard
    )
    on_request: bool = False  # whether changes of the list come on request only
    cold_share: float = 1.0  # rule 4: share of its pace (slots in a warm-up) that a host bears at its start
    warm_up: float = 0.0
    fall_multiple: float = 1.0  # rule 4: multiple of its pace at which a cold host fails
    fall_after: float = 0.0  # rule 4: time after which it fails; the window of its budget
    extra_free: float | None = None  # rule 6: further tune-ins allowed in each window; None: no limit
    extra_ratio: float = 0.0  # rule 6: further tune-ins allowed for each request in the window
    extra_window: float = 0.0
    may_probe: bool = False
    may_tell: bool = False  # whether messages may be sent to other gateways
    may_advise: bool = False  # whether a block may say when to come back
    longest_advice: float = 0.0
    cross_price: float = 0.0  # price of a viewing that plays from another zone
    # Media hosts with viewings of this gateway from which on it avoids others, since each needs a connection;
    # 0: it has as many connections as it needs.
    max_hosts: int = 0


UNPLACED = -1  # cell of a media host whose row names none


@dataclass(frozen=True)
class Row:
    """One media host in a list of media hosts."""

    host: str
    cell: int  # from 0; `UNPLACED` where the row names none
    weight: float
    kind: str
    zone: str
    state: str  # "in_service", "terminating" or "terminated"
    started: float


@dataclass(frozen=True)
class TuneIn:
    """Ask a media host to start a viewing; the outcome is needed within so many seconds."""

    viewing_id: int
    host: str
    within: float


@dataclass(frozen=True)
class SetRung:
    """Set the rung of a viewing, at its next tune-in or while it plays."""

    viewing_id: int
    rung: int


@dataclass(frozen=True)
class Block:
    """Turn the viewer away; `retry_after` is an advice in seconds, or 0 for none."""

    viewing_id: int
    retry_after: float


@dataclass(frozen=True)
class Abort:
    """Report to the viewer that the viewing failed and may have run."""

    viewing_id: int


@dataclass(frozen=True)
class Probe:
    """Ask a media host for its load."""

    host: str


@dataclass(frozen=True)
class Subscribe:
    """Ask for changes of the list of media hosts from now on."""


@dataclass(frozen=True)
class Tell:
    """Send a message to another gateway, named by its ordinal."""

    message: bytes
    recipient: int


Decision = TuneIn | SetRung | Block | Abort | Probe | Subscribe | Tell
