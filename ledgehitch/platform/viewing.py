"""Records of a viewing: what its viewer wants, and the state that is needed to execute decisions on it."""

from dataclasses import dataclass

from ledgehitch.interface import Package
from ledgehitch.loop.timers import Timer
from ledgehitch.platform.host_connection import HostConnection


@dataclass(frozen=True, slots=True)
class WantedViewing:
    """What a viewer asks for; `first_cell` and `cells` name the cells whose media hosts hold the title."""

    package: Package
    title: str
    first_cell: int
    cells: int
    top_rung: int


class Viewing:
    """State of a viewing, dropped when it ends.

    `host` and `address` are those to which its set-up was sent, `connection` the one on which.
    """

    __slots__ = (
        "session_id",
        "package",
        "title",
        "description",
        "rung",
        "tune_ins",
        "host",
        "address",
        "connection",
        "sent_at",
        "deadline",
        "timer",
        "in_flight",
        "plays",
    )

    def __init__(self, session_id: str, package: Package, title: str, description: bytes) -> None:
        self.session_id, self.package, self.title, self.description = session_id, package, title, description
        self.rung = package.floor
        self.tune_ins = 0
        self.host = self.address = ""
        self.connection: HostConnection | None = None
        self.sent_at = self.deadline = 0.0
        self.timer: Timer | None = None
        self.in_flight = self.plays = False
