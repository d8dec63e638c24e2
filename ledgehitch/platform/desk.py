"""Who is owed which answer or release, and which id is which viewing. Free of I/O.

Inputs (`asked`, `held`, `plays`, `blocked`, `aborted`, `over`, `torn`, `hung_up`, `came`) only update what is
known; `decide()` then gives what is to be sent, one by one, until None. `conn` numbers a viewers' connection,
`sid` is a viewing's id on the wire, `viewing_id` its number here. An answer leaves once for each set-up,
never twice (rule 1); an id that is open is never taken for another viewing.
"""

from collections import deque
from dataclasses import dataclass

MOST_UNSENT = 4096  # releases that wait for a connection to go out on
MOST_PAST = 1024  # ids that were answered or are over, kept so that what crosses their end is known


@dataclass(frozen=True, slots=True)
class Answer:
    """The one answer to a set-up: `plays` with its description, `blocked` (with advice in seconds, 0 for
    none) or `aborted`."""

    conn: int
    sid: str
    cseq: str
    kind: str
    description: str = ""
    advice: float = 0.0


@dataclass(frozen=True, slots=True)
class Release:
    """Tell the viewer that a viewing that played is over; `peer` is where its set-up came from."""

    conn: int
    sid: str
    cause: int
    peer: str = ""


Decision = Answer | Release


class Entry:
    __slots__ = ("viewing_id", "sid", "conn", "cseq", "plays", "peer")

    def __init__(self, viewing_id: int, sid: str, conn: int, cseq: str, plays: bool, peer: str) -> None:
        self.viewing_id, self.sid, self.conn, self.cseq, self.plays, self.peer = (
            viewing_id,
            sid,
            conn,
            cseq,
            plays,
            peer,
        )


class Desk:
    """The register of one gateway's viewings, by number, by id and by connection."""

    def __init__(self) -> None:
        self.by_viewing_id: dict[int, Entry] = {}
        self.by_sid: dict[str, Entry] = {}
        self.by_conn: dict[int, dict[int, None]] = {}
        self.homes: dict[int, None] = {}  # open connections on which a set-up came, the latest last
        self.peers: dict[int, str] = {}  # where each open connection comes from
        self.waiting = 0  # set-ups without an answer
        self._next = 0
        self.past: dict[str, None] = {}  # ids no longer open, the latest last
        self._due: deque[Decision] = deque()
        self._unsent: deque[tuple[str, int, str]] = deque(maxlen=MOST_UNSENT)

    def opened(self, conn: int, peer: str) -> None:
        """A connection came up, from this address."""
        self.peers[conn] = peer

    def came(self, conn: int) -> None:
        """A set-up came on a connection: releases without one of their own may go out there."""
        self.homes.pop(conn, None)
        self.homes[conn] = None
        while self._unsent:
            self._due.append(Release(conn, *self._unsent.popleft()))

    def asked(self, conn: int, sid: str, cseq: str) -> int | None:
        """The viewing's number; None if the id is open already."""
        return self._entry(conn, sid, cseq, False)

    def held(self, conn: int, sid: str) -> int | None:
        """One that plays already and wants no answer."""
        return self._entry(conn, sid, "", True)

    def _entry(self, conn: int, sid: str, cseq: str, plays: bool) -> int | None:
        if sid in self.by_sid:
            return None
        self._next += 1
        entry = Entry(self._next, sid, conn, cseq, plays, self.peers.get(conn, ""))
        self.by_viewing_id[entry.viewing_id] = self.by_sid[sid] = entry
        self.by_conn.setdefault(conn, {})[entry.viewing_id] = None
        self.waiting += not plays
        self.came(conn)
        return entry.viewing_id

    def plays(self, viewing_id: int, description: str) -> bool:
        """Whether somebody waited for it."""
        entry = self.by_viewing_id.get(viewing_id)
        if entry is None or entry.plays:
            return False
        entry.plays = True
        self.waiting -= 1
        self._due.append(Answer(entry.conn, entry.sid, entry.cseq, "plays", description))
        return True

    def blocked(self, viewing_id: int, advice: float = 0.0) -> None:
        self._end(viewing_id, "blocked", advice)

    def aborted(self, viewing_id: int) -> None:
        self._end(viewing_id, "aborted", 0.0)

    def _end(self, viewing_id: int, kind: str, advice: float) -> None:
        entry = self.by_viewing_id.get(viewing_id)
        if entry is None or entry.plays:
            return
        self._drop(entry)
        self._due.append(Answer(entry.conn, entry.sid, entry.cseq, kind, "", advice))

    def over(self, viewing_id: int, cause: int, owed: bool = True) -> None:
        """A viewing that played has ended; its viewer is owed a release unless it ended it itself."""
        entry = self.by_viewing_id.get(viewing_id)
        if entry is None:
            return
        self._drop(entry)
        if owed:
            self._release(entry.conn, entry.sid, cause, entry.peer)

    def _release(self, conn: int, sid: str, cause: int, peer: str) -> None:
        home = conn if conn in self.homes else self._home_of(peer)
        if home is None:
            self._unsent.append((sid, cause, peer))
        else:
            self._due.append(Release(home, sid, cause, peer))

    def _home_of(self, peer: str) -> int | None:
        """The connection on which a viewer is told whose own is gone: from the same address, else the one
        that carries most, the latest of these.

        Guards against a release that goes to some client which had nothing to do with it."""
        latest = reversed(self.homes)
        return max(latest, key=lambda c: (self.peers.get(c, "") == peer, self.on(c)), default=None)

    def undelivered(self, release: Release) -> None:
        """Its connection turned out to be gone: it goes out on another, or waits for the next.

        Guards against a release that crosses the end of its connection being lost."""
        self.homes.pop(release.conn, None)
        self._release(release.conn, release.sid, release.cause, release.peer)

    def torn(self, sid: str) -> tuple[int, bool] | None:
        """The viewer gives up or ends a viewing: its number, and whether it played; None if unknown."""
        entry = self.by_sid.get(sid)
        if entry is None:
            return None
        self._drop(entry)
        return entry.viewing_id, entry.plays

    def hung_up(self, conn: int) -> list[int]:
        """A connection is gone: what plays stands, tied to no connection; gives those that waited there, for
        which nobody waits any more."""
        self.homes.pop(conn, None)
        self.peers.pop(conn, None)
        left = []
        for viewing_id in self.by_conn.pop(conn, {}):
            entry = self.by_viewing_id[viewing_id]
            entry.conn = 0
            if not entry.plays:
                self._drop(entry)
                left.append(viewing_id)
        return left

    def crossed(self, sid: str) -> bool:
        """Whether an id that is not open was so lately: what comes for it crossed its end on the way."""
        return sid in self.past

    def on(self, conn: int) -> int:
        """How many viewings belong to a connection."""
        return len(self.by_conn.get(conn, ()))

    def waits_on(self, conn: int) -> bool:
        return any(not self.by_viewing_id[viewing_id].plays for viewing_id in self.by_conn.get(conn, ()))

    def _drop(self, entry: Entry) -> None:
        del self.by_viewing_id[entry.viewing_id]
        del self.by_sid[entry.sid]
        self.waiting -= not entry.plays
        self.past.pop(entry.sid, None)
        self.past[entry.sid] = None
        if len(self.past) > MOST_PAST:
            del self.past[next(iter(self.past))]
        there = self.by_conn.get(entry.conn)
        if there is not None:
            there.pop(entry.viewing_id, None)
            if not there:
                del self.by_conn[entry.conn]

    def decide(self) -> Decision | None:
        return self._due.popleft() if self._due else None
