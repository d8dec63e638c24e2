"""Which viewings a dead or silent media host took along, and where a connection is owed. Free of I/O.

A host whose process ended may leave old connections open and silent for seconds: measured, nothing that stood
there came to its end after a new connection was refused, or after the list said gone. So both count at once.
A reset or a closed connection proves nothing: the host may have closed one connection only. Lost is what
stands at a host that refuses connections, that the list calls gone or says started anew since, or that gave
no sign for long while new connections never came up. Releases come on the next connection that is opened, so
one is opened wherever viewings stand and there is none.
"""

import math
from dataclasses import dataclass

SILENT = 3.0  # seconds without a byte, beyond the time between notes, after which a new connection is tried
QUIET_MARGIN = 0.5  # seconds that a note may be late
UNREACHED = 2  # tries in a row that never came up until a silent host is given up
FIRST, LONGEST = 0.05, 0.5  # seconds until a connection is tried again, doubled each time


@dataclass(frozen=True)
class Open:
    """Open a connection to this media host."""

    host: str


@dataclass(frozen=True)
class Lost:
    """All that was set up at this media host before then has ended."""

    host: str
    before: float


Decision = Open | Lost


class _Host:
    __slots__ = (
        "standing",
        "lines",
        "opening",
        "again_at",
        "wait",
        "heard",
        "unreached",
        "started",
        "listed",
    )

    def __init__(self) -> None:
        self.standing = 0  # viewings
        self.lines = 0  # connections that are up
        self.opening = 0
        self.again_at = 0.0
        self.wait = FIRST
        self.heard = 0.0  # when a byte last came, or a connection came up
        self.unreached = 0
        self.started = 0.0  # as the list last said
        self.listed = False


class Watch:
    def __init__(self, told_every: float) -> None:
        """`told_every`: seconds between notes of a host with viewings of ours; 0 where there are none."""
        self.quiet = told_every + QUIET_MARGIN if told_every else SILENT
        self.hosts: dict[str, _Host] = {}
        self._due: list[Decision] = []

    def listed(self, now: float, host: str, gone: bool, started: float) -> None:
        h = self.hosts.get(host)
        if h is None:
            if not gone:
                h = self.hosts[host] = _Host()
                h.started, h.listed = started, True
            return
        if gone:
            h.listed = False
            if h.standing:
                self._due.append(Lost(host, now))
            else:
                self._forget(host)
        elif started > h.started:
            h.started = started
            if h.standing:
                self._due.append(Lost(host, started))

    def stands(self, now: float, host: str) -> None:
        h = self.hosts.setdefault(host, _Host())
        if not h.standing:
            h.heard = max(h.heard, now)
        h.standing += 1

    def over(self, host: str) -> None:
        h = self.hosts.get(host)
        if h is not None:
            h.standing = max(0, h.standing - 1)
            if not h.standing and not h.listed:
                self._forget(host)

    def opening(self, host: str) -> None:
        if (h := self.hosts.get(host)) is not None:
            h.opening += 1

    def opened(self, now: float, host: str) -> None:
        """A connection came up."""
        if (h := self.hosts.get(host)) is not None:
            h.opening = max(0, h.opening - 1)
            h.lines += 1
            h.heard, h.unreached, h.wait = now, 0, FIRST

    def failed(self, now: float, host: str, refused: bool) -> None:
        """A connection did not come about; `refused`: nobody listens there."""
        h = self.hosts.get(host)
        if h is None:
            return
        # Guards against the end of a connection that was begun before the host was gone and came back: with
        # less than none on their way, none would ever be opened for the releases of what stands.
        h.opening = max(0, h.opening - 1)
        h.again_at = now + h.wait
        h.wait = min(LONGEST, 2 * h.wait)
        h.unreached += 1
        if h.standing and (refused or h.unreached >= UNREACHED and now - h.heard > self.quiet):
            self._due.append(Lost(host, now))

    def heard(self, now: float, host: str) -> None:
        if (h := self.hosts.get(host)) is not None:
            h.heard = now

    def broke(self, host: str) -> None:
        """A connection that was up is gone."""
        if (h := self.hosts.get(host)) is not None:
            h.lines = max(0, h.lines - 1)

    def _forget(self, host: str) -> None:
        """Guards against memory that grows with each media host that was ever there."""
        del self.hosts[host]

    def decide(self, now: float) -> Decision | None:
        if self._due:
            return self._due.pop(0)
        for host, h in self.hosts.items():
            if h.standing and not h.opening and now >= self._open_at(h):
                h.again_at = now + h.wait  # should it not even be tried
                return Open(host)
        return None

    def _open_at(self, h: _Host) -> float:
        """When a connection is due: at once where there is none, else when it was silent too long."""
        return h.again_at if not h.lines else max(h.again_at, h.heard + self.quiet)

    def wake_at(self) -> float:
        due = [self._open_at(h) for h in self.hosts.values() if h.standing and not h.opening]
        return min(due, default=math.inf)
