"""Which list of media hosts counts: complete lists and changes by version. Free of I/O.

A list service names its `epoch` (one life of its process) and counts versions up within it. A change that
does not follow on what is known asks for a complete list instead of being guessed at.
"""

from collections.abc import Sequence

import msgspec

from ledgehitch.interface import Row

RECONNECT_DELAY_S = 0.2, 1.0  # seconds until the stream is asked for again: at least, and more by chance


class HostEntry(msgspec.Struct, frozen=True):
    """One media host as the list service sends it. `started` is seconds of the wall clock, 0 unknown."""

    host: str
    at: str
    cell: int
    weight: float
    kind: str
    zone: str
    state: str
    started: float = 0.0

    def to_row(self, ahead: float) -> Row:
        """As the module is told it; `ahead` is what the wall clock is ahead of the gateway's."""
        began = self.started - ahead if self.started else 0.0
        return Row(self.host, self.cell, self.weight, self.kind, self.zone, self.state, began)


class HostListUpdate(msgspec.Struct, frozen=True):
    """What comes over the stream, and what is kept in the file for the next start."""

    epoch: str
    version: int
    rows: list[HostEntry]


class HostList:
    def __init__(self) -> None:
        self.epoch, self.version = "", -1
        self.entries: dict[str, HostEntry] = {}
        self.stale_updates = 0

    def apply_full_list(self, news: HostListUpdate) -> Sequence[HostEntry] | None:
        """A complete list; None if it is older than what is known."""
        if news.epoch == self.epoch and news.version < self.version:
            self.stale_updates += 1
            return None
        self.epoch, self.version = news.epoch, news.version
        self.entries = {line.host: line for line in news.rows}
        return news.rows

    def apply_changes(self, news: HostListUpdate) -> Sequence[HostEntry] | None:
        """Changes; empty if they are known already, None if a complete list must be asked for."""
        if news.epoch == self.epoch and news.version <= self.version:
            self.stale_updates += 1
            return ()
        if news.epoch != self.epoch or news.version != self.version + 1:
            return None
        self.version = news.version
        for line in news.rows:
            self.entries[line.host] = line
            if line.state == "terminated":
                del self.entries[line.host]
        return news.rows

    def snapshot(self) -> HostListUpdate:
        """For the file: what the next start begins with."""
        return HostListUpdate(self.epoch, self.version, list(self.entries.values()))
