"""Slows down viewers' connections that send invalid requests, and closes silent ones. Free of I/O.

Some clients repeat a request as soon as it is refused, send half a message or nothing. Refusing must cost
less than serving, and no client may occupy a descriptor without use. Each time-out is below the three seconds
within which such a client is owed a response or a close.
"""

from collections.abc import Iterable

MESSAGE_TIMEOUT_S = 2.0  # until a new connection's first message is complete, and each message once begun
FREE_FAULTS = 3  # faults of a connection without a pause
MIN_PAUSE_S, MAX_PAUSE_S = 0.05, 1.0  # without reading after a further fault: doubled each time
# The longest pause while a set-up is pending: its viewer may leave, and 0.1 s later no tune-in may begin.
MAX_PAUSE_PENDING_S = 0.02
FAULT_DECAY_PER_S = 0.5  # faults that expire: a connection shared by many viewers must not stay slow for good
MAX_FAULTS = 40  # more close the connection
FIRST_REQUEST_GRACE_S = 0.5  # in which the first request of a new connection may arrive, also in pieces
IDLE_TIMEOUT_S = 6.0  # until a connection without a viewing is closed: viewers close theirs after 4 s


def eviction_candidate(now: float, connections: Iterable[tuple[int, bool, int, bool, float]]) -> int | None:
    """Returns the number of the connection to close for a new one, None where there is none.

    Each is described by (number, whether it ever sent a message, number of its sessions, whether one of them
    is pending, when it was last heard). Chosen in this order: one that has sent nothing for a while, one
    without a session, a new one, one whose sessions all play, since those are bound to no connection. Of
    several the one silent for the longest is closed. So connections that sent one request and stay open do
    not keep new viewers out, and in a flood a new connection is not closed for the next one before its
    request can arrive.
    """
    candidates = []
    for number, has_sent, sessions, pending, last_heard_at in connections:
        if not pending:
            rank = (
                3 if sessions else 1 if has_sent else 0 if now - last_heard_at > FIRST_REQUEST_GRACE_S else 2
            )
            candidates.append((rank, last_heard_at, number))
    return min(candidates)[2] if candidates else None


class Throttle:
    """Counts the faults of one viewers' connection and times its messages."""

    __slots__ = ("opened_at", "faults", "last_fault_at", "message_began_at", "has_sent")

    def __init__(self, now: float) -> None:
        self.opened_at = self.last_fault_at = now
        self.faults = 0.0
        self.message_began_at: float | None = None  # of the incomplete message
        self.has_sent = False  # whether a complete message came

    def on_data(self, now: float, complete: bool, partial: bool) -> None:
        """Bytes came: `complete` if they completed a message, `partial` if they left one incomplete."""
        self.has_sent |= complete
        if not partial:
            self.message_began_at = None
        elif complete or self.message_began_at is None:
            self.message_began_at = now

    def on_fault(self, now: float) -> None:
        self.faults = max(0.0, self.faults - FAULT_DECAY_PER_S * (now - self.last_fault_at)) + 1
        self.last_fault_at = now

    def pause(self, now: float, pending: bool) -> float:
        """Returns the seconds until the connection is read again; `pending`: whether a set-up on it is.

        A pending set-up shortens the pause: if its viewer hung up or gave up meanwhile, further tune-ins
        would begin before that is read.
        """
        excess = self.faults - FAULT_DECAY_PER_S * (now - self.last_fault_at) - FREE_FAULTS
        return (
            min(MAX_PAUSE_PENDING_S if pending else MAX_PAUSE_S, MIN_PAUSE_S * 2 ** min(excess, 8))
            if excess > 0
            else 0.0
        )

    def should_close(self, now: float) -> bool:
        """Whether the connection sent too many faults, or a message took too long."""
        if self.faults > MAX_FAULTS:
            return True
        if self.message_began_at is not None and now - self.message_began_at > MESSAGE_TIMEOUT_S:
            return True
        return not self.has_sent and now - self.opened_at > MESSAGE_TIMEOUT_S
