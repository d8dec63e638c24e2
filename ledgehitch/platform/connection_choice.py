"""Decides which connection to a media host takes a set-up, and which connections are closed. Free of I/O.

A connection is described by its address, whether it is established, how many set-ups on it have no
outcome, which ids recently had their outcome there, whether a set-up timed out on it and nothing came since
(suspect), and when it was last used.
"""

from collections.abc import Container, Iterable, Sequence
from typing import Protocol, TypeVar

MIN_UNUSED_S = 1.0  # without use before a connection may be closed
IDLE_FRACTION = 0.9  # part of the idle time after which it is closed here, before the media host closes it
IDLE_MARGIN_S = 0.25  # time by which it is closed before the media host would, at most half the idle time


class Connection(Protocol):
    """The part of a connection that these decisions use."""

    address: str
    pending: dict[str, None]
    recent: dict[str, None]
    suspect: bool
    last_used_at: float

    @property
    def established(self) -> bool: ...


C = TypeVar("C", bound=Connection)


def usable_for(idle: float) -> float:
    """Returns the seconds without use after which a connection is closed and takes no further set-up."""
    return max(0.5 * idle, min(IDLE_FRACTION * idle, idle - IDLE_MARGIN_S))


def choose(connections: Iterable[C], streams: int, now: float, idle: float, tag: str = "") -> C | None:
    """Returns the connection for a further set-up: established, with the fewest pending ones.

    A suspect connection takes none: a peer that sent a malformed answer may leave it open without serving it.
    Nor does one that the media host may be closing as idle, nor one on which this id had an outcome. A late
    duplicate of that outcome would be taken for the outcome of the new set-up.
    """
    usable = [
        connection
        for connection in connections
        if not connection.suspect
        and len(connection.pending) < streams
        and tag not in connection.recent
        and (connection.pending or now - connection.last_used_at < usable_for(idle))
    ]
    return min(
        usable, key=lambda connection: (not connection.established, len(connection.pending)), default=None
    )


def eviction_order(connections: Iterable[C], now: float, needed: Container[str], displace: bool) -> list[C]:
    """Returns those that may be closed for another one, the first choice first.

    These are established and have no pending set-up. First come those to addresses that are not `needed`,
    unused for the longest first, then with `displace` the others. A connection to one with viewings stays
    for a while, so that it brings the releases that are due: closed and opened in turn without this, none
    would be open for long.
    """
    order = []
    for connection in connections:
        is_needed = connection.address in needed
        if connection.pending or not connection.established:
            continue
        if not is_needed or displace and now - connection.last_used_at >= MIN_UNUSED_S:
            order.append((is_needed, connection.last_used_at, connection))
    return [connection for *_, connection in sorted(order, key=lambda entry: entry[:2])]


def expired(now: float, connections: Sequence[C], needed: int, idle: float) -> list[C]:
    """Returns those to close: suspect ones, and idle ones (`idle` in seconds) beyond the `needed` ones."""
    closing: list[C] = []
    for connection in connections:
        unused = now - connection.last_used_at
        if connection.pending or not connection.established or unused < min(MIN_UNUSED_S, usable_for(idle)):
            continue
        if connection.suspect or unused >= usable_for(idle) and len(connections) - len(closing) > needed:
            closing.append(connection)
    return closing
