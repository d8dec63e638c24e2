"""Which offer is which viewing, who is owed which answer, and when a viewing has no viewer any more.

Inputs (`offered`, `settled`, `delivered`, `undelivered`, `hung_up`, `deleted`, `ended`) only update what is
known; `decide(now)` then gives what is to be done, one by one, until None. `conn` numbers a connection's
request, `viewing_id` a viewing; both are the caller's. An answer leaves here once for each connection, never
twice (rule 1), and one offer is one viewing, however often it comes (rule 2).
"""

import heapq
from collections import deque
from dataclasses import dataclass
from typing import Literal

from blake3 import blake3

AGAIN = 5.0  # seconds after "plays" in which the same offer gets the same answer
AGAIN_FAILED = 0.25  # the same after an abort, or a block without advice
ORPHAN = 5.0  # seconds that a viewing plays on whose answer reached nobody, in case the offer comes again

Kind = Literal["plays", "blocked", "aborted"]


@dataclass(frozen=True)
class Answer:
    """Answer this connection with what was settled for the viewing."""

    conn: int
    viewing_id: int


@dataclass(frozen=True)
class Leave:
    """Nobody waits any more for this viewing, which has no answer yet."""

    viewing_id: int


@dataclass(frozen=True)
class End:
    """This viewing plays and its viewer is gone or has ended it."""

    viewing_id: int


Decision = Answer | Leave | End


@dataclass(frozen=True, slots=True)
class Settled:
    """What a viewing came to. `advice` in seconds, 0 for none; `until`: the offer's repeats get the same.
    `why` and `ticket` are the door's, of who was not let in."""

    kind: Kind
    answer: str = ""
    advice: float = 0.0
    until: float = 0.0
    why: str = ""
    ticket: str = ""


class Entry:
    __slots__ = (
        "viewing_id",
        "key",
        "resource",
        "conns",
        "settled",
        "playing",
        "version",
        "ufrag",
        "orphan_at",
    )

    def __init__(self, viewing_id: int, key: bytes, resource: str, ufrag: str) -> None:
        self.viewing_id, self.key, self.resource, self.ufrag = viewing_id, key, resource, ufrag
        self.conns: dict[int, None] | None = {}  # whose answer is due, or on its way; None: none ever again
        self.settled: Settled | None = None
        self.playing = False
        self.version = 1
        self.orphan_at = 0.0


class Desk:
    """The register of one gateway's viewings, by offer, by resource and by connection."""

    def __init__(self, secret: bytes) -> None:
        self._secret = secret  # 32 bytes: resources are named so that nobody can guess one
        self.entries: dict[int, Entry] = {}
        self._by_key: dict[bytes, Entry] = {}
        self._by_resource: dict[str, Entry] = {}
        self._by_conn: dict[int, Entry] = {}
        self._due: deque[Decision] = deque()
        self._checks: list[tuple[float, int]] = []  # when to look at a viewing again

    # ---- what happens --------------------------------------------------------------------------------------

    def offered(self, now: float, conn: int, key: bytes, viewing_id: int, ufrag: str = "") -> bool:
        """An offer came; `key` is its digest with all that makes it that offer. Whether it is a new viewing
        (then it has the number `viewing_id`); else the connection gets the answer that the known one gets."""
        known = self._by_key.get(key)
        if known is not None and (known.settled is None or now < known.settled.until):
            self._by_conn[conn] = known
            if known.conns is None:
                known.conns = {}
            known.conns[conn] = None
            known.orphan_at = 0.0
            if known.settled is not None:
                self._due.append(Answer(conn, known.viewing_id))
            return False
        resource = blake3(viewing_id.to_bytes(8, "big"), key=self._secret).hexdigest(16)
        entry = Entry(viewing_id, key, resource, ufrag)
        assert entry.conns is not None
        entry.conns[conn] = None
        self.entries[viewing_id] = self._by_key[key] = self._by_resource[resource] = self._by_conn[conn] = (
            entry
        )
        return True

    def settled(
        self,
        now: float,
        viewing_id: int,
        kind: Kind,
        answer: str = "",
        advice: float = 0.0,
        why: str = "",
        ticket: str = "",
    ) -> None:
        """The viewing has its one answer. A second one is refused: the first stands."""
        entry = self.entries.get(viewing_id)
        if entry is None or entry.settled is not None:
            return
        again = AGAIN if kind == "plays" else max(advice, AGAIN_FAILED)
        entry.settled = Settled(kind, answer, advice, now + again, why, ticket)
        entry.playing = kind == "plays"
        for conn in entry.conns or ():
            self._due.append(Answer(conn, viewing_id))
        if entry.playing and not entry.conns:
            self._due.append(End(viewing_id))  # all hung up as it was settled
        heapq.heappush(self._checks, (now + again, viewing_id))

    def delivered(self, now: float, conn: int) -> None:
        entry = self._by_conn.pop(conn, None)
        if entry is not None and entry.conns is not None:
            entry.conns.pop(conn, None)
            if not entry.conns:
                entry.conns = None

    def undelivered(self, now: float, conn: int) -> None:
        """The answer could not be written: unless the offer comes again, nobody watches."""
        entry = self._by_conn.pop(conn, None)
        if entry is None or entry.conns is None:
            return
        entry.conns.pop(conn, None)
        if not entry.conns and entry.playing:
            entry.orphan_at = now + ORPHAN
            heapq.heappush(self._checks, (entry.orphan_at, entry.viewing_id))

    def hung_up(self, now: float, conn: int) -> None:
        """A connection ended before its answer."""
        entry = self._by_conn.get(conn)
        if entry is None:
            return
        if entry.settled is not None:
            self.undelivered(now, conn)
            return
        del self._by_conn[conn]
        if entry.conns is not None:
            entry.conns.pop(conn, None)
        if not entry.conns:
            self._due.append(Leave(entry.viewing_id))
            self._drop(entry)

    def deleted(self, now: float, resource: str) -> bool:
        """The viewer ends the viewing; whether there is one."""
        entry = self._by_resource.get(resource)
        if entry is None or not entry.playing:
            return False
        entry.playing = False
        self._due.append(End(entry.viewing_id))
        self._drop(entry)
        return True

    def ended(self, now: float, viewing_id: int) -> None:
        """A viewing that played has ended at its media host."""
        entry = self.entries.get(viewing_id)
        if entry is not None and entry.settled is not None:
            entry.playing = False
            self._drop(entry)

    def patched(self, resource: str, if_match: str | None, ufrag: str) -> int:
        """The status for a PATCH with this condition and these credentials: 204 trickle, 200 ICE restart
        (the version rises), 404, 412, 428."""
        entry = self._by_resource.get(resource)
        if entry is None or not entry.playing:
            return 404
        if if_match is None:
            return 428
        if if_match.strip() == "*":
            if ufrag == entry.ufrag:
                return 412  # credentials that are in force already restart nothing
            entry.ufrag, entry.version = ufrag, entry.version + 1
            return 200
        if if_match.strip() != self.etag(entry):
            return 412
        return 204 if ufrag == entry.ufrag else 412

    # ---- what is known -------------------------------------------------------------------------------------

    def of(self, resource: str) -> Entry | None:
        return self._by_resource.get(resource)

    @staticmethod
    def etag(entry: Entry) -> str:
        return f'"{entry.resource[:8]}-{entry.version}"'

    # ---- what is to be done --------------------------------------------------------------------------------

    def decide(self, now: float) -> Decision | None:
        while self._checks and self._checks[0][0] <= now:
            entry = self.entries.get(heapq.heappop(self._checks)[1])
            if entry is None or entry.settled is None:
                continue
            if entry.playing and 0 < entry.orphan_at <= now:
                entry.playing = False
                self._due.append(End(entry.viewing_id))
                self._drop(entry)
            elif entry.settled.until <= now:
                if entry.playing:
                    # From now on it is held by its resource alone: the answer's text is let go.
                    entry.settled = Settled("plays")
                    if self._by_key.get(entry.key) is entry:
                        del self._by_key[entry.key]
                else:
                    self._drop(entry)
        return self._due.popleft() if self._due else None

    def wake_at(self) -> float | None:
        return self._checks[0][0] if self._checks else None

    def _drop(self, entry: Entry) -> None:
        self.entries.pop(entry.viewing_id, None)
        self._by_resource.pop(entry.resource, None)
        if self._by_key.get(entry.key) is entry:
            del self._by_key[entry.key]
