"""The list of media hosts, built from complete lists and changes by version. Free of I/O.

A list service names its `epoch` (one run of its process) and counts versions up within it. Changes that do
not follow the known version are not applied; a complete list has to be requested instead.
"""

from collections.abc import Sequence

import msgspec

from ledgehitch.interface import Row

RECONNECT_DELAY_S = 0.2, 1.0  # until the stream is opened again: least delay, and most random addition


class HostEntry(msgspec.Struct, frozen=True):
    """One media host as the list service sends it. `started`: seconds of the wall clock, 0 if unknown."""

    host: str
    at: str
    cell: int
    weight: float
    kind: str
    zone: str
    state: str
    started: float = 0.0

    def to_row(self, clock_offset: float) -> Row:
        """Returns the entry as the module takes it. `clock_offset`: wall clock minus monotonic clock."""
        started = self.started - clock_offset if self.started else 0.0
        return Row(self.host, self.cell, self.weight, self.kind, self.zone, self.state, started)


class HostListUpdate(msgspec.Struct, frozen=True):
    """A complete list or changes, as sent over the stream and saved to the file."""

    epoch: str
    version: int
    rows: list[HostEntry]


class HostList:
    """The newest known state of all listed media hosts."""

    def __init__(self) -> None:
        self.epoch, self.version = "", -1
        self.entries: dict[str, HostEntry] = {}
        self.stale_updates = 0

    def apply_full_list(self, update: HostListUpdate) -> Sequence[HostEntry] | None:
        """Replaces the list; returns None if the update is older than the known version."""
        if update.epoch == self.epoch and update.version < self.version:
            self.stale_updates += 1
            return None
        self.epoch, self.version = update.epoch, update.version
        self.entries = {entry.host: entry for entry in update.rows}
        return update.rows

    def apply_changes(self, update: HostListUpdate) -> Sequence[HostEntry] | None:
        """Applies changes; returns () if they are known already, None if a complete list is needed."""
        if update.epoch == self.epoch and update.version <= self.version:
            self.stale_updates += 1
            return ()
        if update.epoch != self.epoch or update.version != self.version + 1:
            return None
        self.version = update.version
        for entry in update.rows:
            self.entries[entry.host] = entry
            if entry.state == "terminated":
                del self.entries[entry.host]
        return update.rows

    def snapshot(self) -> HostListUpdate:
        """Returns the list to be saved for the next start."""
        return HostListUpdate(self.epoch, self.version, list(self.entries.values()))
