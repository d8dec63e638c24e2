"""Matches offers to viewings, decides who gets which answer, and detects viewings without a viewer.

Inputs (the `on_<event>` methods) only update the state; the caller then calls `decide(now)` until it returns
None. `conn` identifies the request of a connection and `viewing_id` a viewing; the caller assigns both. Each
connection gets at most one answer (rule 1), and repeated offers never start another viewing (rule 2).
"""

import heapq
from collections import deque
from dataclasses import dataclass
from typing import Literal

from blake3 import blake3

REPEAT_WINDOW_S = 5.0  # after "plays", a repeated offer gets the same answer
FAILED_REPEAT_WINDOW_S = 0.25  # the same after an abort, or a block without advice
ORPHAN_GRACE_S = 5.0  # a viewing whose answer reached nobody plays on, in case the offer is repeated

Kind = Literal["plays", "blocked", "aborted"]


@dataclass(frozen=True)
class Answer:
    """Send the result of the viewing to this connection."""

    conn: int
    viewing_id: int


@dataclass(frozen=True)
class AbandonViewing:
    """Abandon this viewing: it has no answer yet, and no connection waits for one."""

    viewing_id: int


@dataclass(frozen=True)
class EndViewing:
    """End this viewing: it plays, and its viewer has left or deleted it."""

    viewing_id: int


Decision = Answer | AbandonViewing | EndViewing


@dataclass(frozen=True, slots=True)
class ViewingResult:
    """The result of a viewing.

    `advice` is the retry delay in seconds, 0 for none. Repeated offers get the same result up to `until`.
    `why` and `ticket` come from admission control, for a rejected viewer.
    """

    kind: Kind
    answer: str = ""
    advice: float = 0.0
    until: float = 0.0
    why: str = ""
    ticket: str = ""


class RegistryEntry:
    """One viewing in the registry."""

    __slots__ = (
        "viewing_id",
        "key",
        "resource",
        "waiting_conns",
        "result",
        "playing",
        "version",
        "ufrag",
        "orphan_at",
    )

    def __init__(self, viewing_id: int, key: bytes, resource: str, ufrag: str) -> None:
        self.viewing_id, self.key, self.resource, self.ufrag = viewing_id, key, resource, ufrag
        self.waiting_conns: (
            dict[int, None] | None
        ) = {}  # connections that await the answer; None: it was delivered
        self.result: ViewingResult | None = None
        self.playing = False
        self.version = 1
        self.orphan_at = 0.0


class ViewingRegistry:
    """The viewings of one gateway, by offer, by resource and by connection."""

    def __init__(self, secret: bytes) -> None:
        self._secret = secret  # 32 bytes; makes the names of resources unguessable
        self.entries: dict[int, RegistryEntry] = {}
        self._by_key: dict[bytes, RegistryEntry] = {}
        self._by_resource: dict[str, RegistryEntry] = {}
        self._by_conn: dict[int, RegistryEntry] = {}
        self._due: deque[Decision] = deque()
        self._checks: list[tuple[float, int]] = []  # timers: when to check which viewing

    # ---- inputs --------------------------------------------------------------------------------------------

    def on_offer(self, now: float, conn: int, key: bytes, viewing_id: int, ufrag: str = "") -> bool:
        """An offer arrived; `key` is a digest of everything that identifies it.

        Returns whether it is a new viewing, which then has the id `viewing_id`. Otherwise the connection gets
        the answer of the known viewing.
        """
        known = self._by_key.get(key)
        if known is not None and (known.result is None or now < known.result.until):
            self._by_conn[conn] = known
            if known.waiting_conns is None:
                known.waiting_conns = {}
            known.waiting_conns[conn] = None
            known.orphan_at = 0.0
            if known.result is not None:
                self._due.append(Answer(conn, known.viewing_id))
            return False
        resource = blake3(viewing_id.to_bytes(8, "big"), key=self._secret).hexdigest(16)
        entry = RegistryEntry(viewing_id, key, resource, ufrag)
        assert entry.waiting_conns is not None
        entry.waiting_conns[conn] = None
        self.entries[viewing_id] = self._by_key[key] = self._by_resource[resource] = self._by_conn[conn] = (
            entry
        )
        return True

    def on_result(
        self,
        now: float,
        viewing_id: int,
        kind: Kind,
        answer: str = "",
        advice: float = 0.0,
        why: str = "",
        ticket: str = "",
    ) -> None:
        """The viewing has its result. A second result for the same viewing is ignored."""
        entry = self.entries.get(viewing_id)
        if entry is None or entry.result is not None:
            return
        repeat_window = REPEAT_WINDOW_S if kind == "plays" else max(advice, FAILED_REPEAT_WINDOW_S)
        entry.result = ViewingResult(kind, answer, advice, now + repeat_window, why, ticket)
        entry.playing = kind == "plays"
        for conn in entry.waiting_conns or ():
            self._due.append(Answer(conn, viewing_id))
        if entry.playing and not entry.waiting_conns:
            self._due.append(EndViewing(viewing_id))  # all connections closed before the result came
        heapq.heappush(self._checks, (now + repeat_window, viewing_id))

    def on_answer_sent(self, now: float, conn: int) -> None:
        """The answer was sent to this connection."""
        entry = self._by_conn.pop(conn, None)
        if entry is not None and entry.waiting_conns is not None:
            entry.waiting_conns.pop(conn, None)
            if not entry.waiting_conns:
                entry.waiting_conns = None

    def on_answer_failed(self, now: float, conn: int) -> None:
        """The answer could not be sent: the viewing has no viewer unless the offer is repeated."""
        entry = self._by_conn.pop(conn, None)
        if entry is None or entry.waiting_conns is None:
            return
        entry.waiting_conns.pop(conn, None)
        if not entry.waiting_conns and entry.playing:
            entry.orphan_at = now + ORPHAN_GRACE_S
            heapq.heappush(self._checks, (entry.orphan_at, entry.viewing_id))

    def on_disconnect(self, now: float, conn: int) -> None:
        """A connection closed before its answer was sent."""
        entry = self._by_conn.get(conn)
        if entry is None:
            return
        if entry.result is not None:
            self.on_answer_failed(now, conn)
            return
        del self._by_conn[conn]
        if entry.waiting_conns is not None:
            entry.waiting_conns.pop(conn, None)
        if not entry.waiting_conns:
            self._due.append(AbandonViewing(entry.viewing_id))
            self._drop(entry)

    def on_delete(self, now: float, resource: str) -> bool:
        """The viewer deletes the viewing. Returns whether it exists and plays."""
        entry = self._by_resource.get(resource)
        if entry is None or not entry.playing:
            return False
        entry.playing = False
        self._due.append(EndViewing(entry.viewing_id))
        self._drop(entry)
        return True

    def on_viewing_end(self, now: float, viewing_id: int) -> None:
        """A playing viewing ended at its media host."""
        entry = self.entries.get(viewing_id)
        if entry is not None and entry.result is not None:
            entry.playing = False
            self._drop(entry)

    def on_patch(self, resource: str, if_match: str | None, ufrag: str) -> int:
        """Returns the HTTP status for a PATCH with this condition and ICE user fragment.

        204 accepts trickled candidates and 200 an ICE restart, which raises the version; errors are 404, 412
        and 428.
        """
        entry = self._by_resource.get(resource)
        if entry is None or not entry.playing:
            return 404
        if if_match is None:
            return 428
        if if_match.strip() == "*":
            if ufrag == entry.ufrag:
                return 412  # unchanged credentials are no ICE restart
            entry.ufrag, entry.version = ufrag, entry.version + 1
            return 200
        if if_match.strip() != self.etag(entry):
            return 412
        return 204 if ufrag == entry.ufrag else 412

    # ---- queries -------------------------------------------------------------------------------------------

    def by_resource(self, resource: str) -> RegistryEntry | None:
        """Returns the viewing of a resource, or None."""
        return self._by_resource.get(resource)

    @staticmethod
    def etag(entry: RegistryEntry) -> str:
        """Returns the entity tag of the viewing's current ICE session."""
        return f'"{entry.resource[:8]}-{entry.version}"'

    # ---- decisions -----------------------------------------------------------------------------------------

    def decide(self, now: float) -> Decision | None:
        """Returns the next decision, or None when there is nothing to do at `now`."""
        while self._checks and self._checks[0][0] <= now:
            entry = self.entries.get(heapq.heappop(self._checks)[1])
            if entry is None or entry.result is None:
                continue
            if entry.playing and 0 < entry.orphan_at <= now:
                entry.playing = False
                self._due.append(EndViewing(entry.viewing_id))
                self._drop(entry)
            elif entry.result.until <= now:
                if entry.playing:
                    # Repeats are no longer answered: only the resource is held, and the text is freed.
                    entry.result = ViewingResult("plays")
                    if self._by_key.get(entry.key) is entry:
                        del self._by_key[entry.key]
                else:
                    self._drop(entry)
        return self._due.popleft() if self._due else None

    def wake_at(self) -> float | None:
        """Returns when to call `decide` again without further input, or None."""
        return self._checks[0][0] if self._checks else None

    def _drop(self, entry: RegistryEntry) -> None:
        self.entries.pop(entry.viewing_id, None)
        self._by_resource.pop(entry.resource, None)
        if self._by_key.get(entry.key) is entry:
            del self._by_key[entry.key]
