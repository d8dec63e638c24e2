"""Session table of one gateway: which viewing an id belongs to, and who is owed which response or release.

Free of I/O. Inputs (`on_...`) only update the table; `decide()` then returns what is to be sent, one by one,
until None. `conn` is the number of a viewers' connection, `session_id` the id of a viewing on the wire,
`viewing_id` its number in this process. Each set-up gets exactly one response (rule 1). An id that is open is
never accepted for another viewing.
"""

from collections import deque
from dataclasses import dataclass

MAX_UNSENT = 4096  # releases that wait for a connection
MAX_CLOSED = 1024  # ids of closed sessions, kept to recognise messages that crossed the close


@dataclass(frozen=True, slots=True)
class Response:
    """The one response to a set-up.

    `kind` is "plays" with a description in UTF-8, "blocked" with `retry_after` (seconds, 0 for none) or
    "aborted".
    """

    conn: int
    session_id: str
    cseq: str
    kind: str
    description: bytes = b""
    retry_after: float = 0.0


@dataclass(frozen=True, slots=True)
class Release:
    """Tells the viewer that a viewing which played is over; `peer` is the address that set it up."""

    conn: int
    session_id: str
    cause: int
    peer: str = ""


Decision = Response | Release


class Session:
    """One session: a pending set-up or a viewing that plays."""

    __slots__ = ("viewing_id", "session_id", "conn", "cseq", "plays", "peer")

    def __init__(
        self, viewing_id: int, session_id: str, conn: int, cseq: str, plays: bool, peer: str
    ) -> None:
        (self.viewing_id, self.session_id, self.conn, self.cseq, self.plays, self.peer) = (
            viewing_id,
            session_id,
            conn,
            cseq,
            plays,
            peer,
        )


class SessionTable:
    """The sessions of one gateway, by number, by id and by connection."""

    def __init__(self) -> None:
        self.by_viewing_id: dict[int, Session] = {}
        self.by_session_id: dict[str, Session] = {}
        self.by_conn: dict[int, dict[int, None]] = {}
        self.release_routes: dict[int, None] = {}  # open connections on which a set-up came, the latest last
        self.peers: dict[int, str] = {}  # remote address of each open connection
        self.pending = 0  # set-ups without a response
        self._last_id = 0
        self.closed: dict[str, None] = {}  # ids of closed sessions, the latest last
        self._due: deque[Decision] = deque()
        self._unsent: deque[tuple[str, int, str]] = deque(maxlen=MAX_UNSENT)

    def on_connection_opened(self, conn: int, peer: str) -> None:
        """A connection from this address was accepted."""
        self.peers[conn] = peer

    def _add_release_route(self, conn: int) -> None:
        """Lets releases whose own connection is gone use this one, on which a set-up came."""
        self.release_routes.pop(conn, None)
        self.release_routes[conn] = None
        while self._unsent:
            self._due.append(Release(conn, *self._unsent.popleft()))

    def on_setup(self, conn: int, session_id: str, cseq: str) -> int | None:
        """Returns the number of the new viewing, None if the id is open already."""
        return self._add(conn, session_id, cseq, False)

    def on_handover(self, conn: int, session_id: str) -> int | None:
        """Adds a viewing that plays already and needs no response; returns as `on_setup` does."""
        return self._add(conn, session_id, "", True)

    def _add(self, conn: int, session_id: str, cseq: str, plays: bool) -> int | None:
        if session_id in self.by_session_id:
            return None
        self._last_id += 1
        session = Session(self._last_id, session_id, conn, cseq, plays, self.peers.get(conn, ""))
        self.by_viewing_id[session.viewing_id] = self.by_session_id[session_id] = session
        self.by_conn.setdefault(conn, {})[session.viewing_id] = None
        self.pending += not plays
        self._add_release_route(conn)
        return session.viewing_id

    def on_playing(self, viewing_id: int, description: bytes) -> bool:
        """Returns whether a set-up was pending for the viewing that plays now."""
        session = self.by_viewing_id.get(viewing_id)
        if session is None or session.plays:
            return False
        session.plays = True
        self.pending -= 1
        self._due.append(Response(session.conn, session.session_id, session.cseq, "plays", description))
        return True

    def on_blocked(self, viewing_id: int, retry_after: float = 0.0) -> None:
        self._refuse(viewing_id, "blocked", retry_after)

    def on_aborted(self, viewing_id: int) -> None:
        self._refuse(viewing_id, "aborted", 0.0)

    def _refuse(self, viewing_id: int, kind: str, retry_after: float) -> None:
        session = self.by_viewing_id.get(viewing_id)
        if session is None or session.plays:
            return
        self._remove(session)
        self._due.append(Response(session.conn, session.session_id, session.cseq, kind, b"", retry_after))

    def on_ended(self, viewing_id: int, cause: int, notify: bool = True) -> None:
        """A viewing that played has ended; `notify` is false where its viewer ended it."""
        session = self.by_viewing_id.get(viewing_id)
        if session is None:
            return
        self._remove(session)
        if notify:
            self._release(session.conn, session.session_id, cause, session.peer)

    def _release(self, conn: int, session_id: str, cause: int, peer: str) -> None:
        route = conn if conn in self.release_routes else self._release_route(peer)
        if route is None:
            self._unsent.append((session_id, cause, peer))
        else:
            self._due.append(Release(route, session_id, cause, peer))

    def _release_route(self, peer: str) -> int | None:
        """Returns the connection for a release whose own connection is gone.

        Preferred is one from the viewer's address, then the one with the most sessions, then the latest. So a
        release does not go to a client that has nothing to do with the viewing while there is a better one.
        """
        latest = reversed(self.release_routes)
        return max(
            latest, key=lambda conn: (self.peers.get(conn, "") == peer, self.sessions_on(conn)), default=None
        )

    def on_release_failed(self, release: Release) -> None:
        """Sends a release again whose connection ended meanwhile: on another one, or on the next to come."""
        self.release_routes.pop(release.conn, None)
        self._release(release.conn, release.session_id, release.cause, release.peer)

    def on_teardown(self, session_id: str) -> tuple[int, bool] | None:
        """The viewer cancels or ends a viewing: returns its number and whether it played, None if unknown."""
        session = self.by_session_id.get(session_id)
        if session is None:
            return None
        self._remove(session)
        return session.viewing_id, session.plays

    def on_connection_closed(self, conn: int) -> list[int]:
        """Removes the pending set-ups of a closed connection and returns their numbers.

        Viewings that play stay, bound to no connection.
        """
        self.release_routes.pop(conn, None)
        self.peers.pop(conn, None)
        removed = []
        for viewing_id in self.by_conn.pop(conn, {}):
            session = self.by_viewing_id[viewing_id]
            session.conn = 0
            if not session.plays:
                self._remove(session)
                removed.append(viewing_id)
        return removed

    def was_open(self, session_id: str) -> bool:
        """Whether an id was open recently: a message for it then crossed the end of its session."""
        return session_id in self.closed

    def sessions_on(self, conn: int) -> int:
        """Returns how many viewings belong to a connection."""
        return len(self.by_conn.get(conn, ()))

    def has_pending(self, conn: int) -> bool:
        """Whether a set-up on this connection has no response yet."""
        return any(not self.by_viewing_id[viewing_id].plays for viewing_id in self.by_conn.get(conn, ()))

    def _remove(self, session: Session) -> None:
        del self.by_viewing_id[session.viewing_id]
        del self.by_session_id[session.session_id]
        self.pending -= not session.plays
        self.closed.pop(session.session_id, None)
        self.closed[session.session_id] = None
        if len(self.closed) > MAX_CLOSED:
            del self.closed[next(iter(self.closed))]
        of_connection = self.by_conn.get(session.conn)
        if of_connection is not None:
            of_connection.pop(session.viewing_id, None)
            if not of_connection:
                del self.by_conn[session.conn]

    def decide(self) -> Decision | None:
        """Returns the next response or release to send, None where there is none."""
        return self._due.popleft() if self._due else None
