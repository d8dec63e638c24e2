"""How a viewers' connection that sends what cannot be taken is slowed down, and when silent ones go. Free of
I/O.

Guards against clients that send the same again the moment it is turned away, that send half a message or
nothing: refusing must cost less than serving, and nobody may hold a descriptor for nothing. Every bound lies
under the three seconds within which such a client is owed an answer or a close.
"""

from collections.abc import Iterable

SILENT = 2.0  # seconds in which a new connection must bring a message, and a message begun must become whole
FREE = 3  # faults of a connection that cost it nothing
PAUSE, LONGEST = 0.05, 1.0  # seconds without reading after a further fault: doubled each time
HEARD = 0.02  # the longest where a set-up waits: its viewer may go, and none may be sent on 0.1 s later
FORGIVEN = 0.5  # faults a second that time takes back: a connection shared by many is not slow for good
MOST_FAULTS = 40  # then it is closed
FRESH = 0.5  # seconds in which the first request of a new connection is on its way, also in pieces
IDLE = 6.0  # seconds after which a connection without a viewing goes: viewers close theirs after 4


def first_to_go(now: float, conns: Iterable[tuple[int, bool, int, bool, float]]) -> int | None:
    """Which connection makes room for a new one, of (number, whether it ever brought a message, sessions on
    it, whether one of them waits, when it was last heard): one that has not spoken for a while, else one
    without a session, else one that is new, else one whose sessions all play (they are tied to no
    connection); of these the one silent longest.

    Guards against connections that asked once and stay for good keeping new viewers out, and in a flood
    against each newcomer being closed for the next before its request can have come.
    """
    may = []
    for number, spoke, sessions, waits, heard in conns:
        if not waits:
            rank = 3 if sessions else 1 if spoke else 0 if now - heard > FRESH else 2
            may.append((rank, heard, number))
    return min(may)[2] if may else None


class Pace:
    """One connection's."""

    __slots__ = ("since", "faults", "fault_at", "begun_at", "spoke")

    def __init__(self, now: float) -> None:
        self.since = self.fault_at = now
        self.faults = 0.0
        self.begun_at: float | None = None  # when the message that is not whole began
        self.spoke = False  # whether a whole message came

    def read(self, now: float, whole: bool, within: bool) -> None:
        """Bytes came: some message became whole, and another is `within`."""
        self.spoke |= whole
        if not within:
            self.begun_at = None
        elif whole or self.begun_at is None:
            self.begun_at = now

    def fault(self, now: float) -> None:
        self.faults = max(0.0, self.faults - FORGIVEN * (now - self.fault_at)) + 1
        self.fault_at = now

    def pause(self, now: float, waits: bool) -> float:
        """Seconds until it is read again; `waits`: whether a set-up on it has no answer yet.

        Guards against hearing late that a viewer hung up or gave up: further tune-ins would begin meanwhile.
        """
        over = self.faults - FORGIVEN * (now - self.fault_at) - FREE
        return min(HEARD if waits else LONGEST, PAUSE * 2 ** min(over, 8)) if over > 0 else 0.0

    def overdue(self, now: float) -> bool:
        """Whether it is to be closed."""
        if self.faults > MOST_FAULTS:
            return True
        if self.begun_at is not None and now - self.begun_at > SILENT:
            return True
        return not self.spoke and now - self.since > SILENT
