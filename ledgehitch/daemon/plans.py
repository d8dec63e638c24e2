"""The copy of the fleet's plan on one gateway's disk: the last version that the owner of `restarts` sent."""

from pathlib import Path
from typing import Any

import msgspec
import structlog

from ledgehitch.daemon.facts import PlanMessage
from ledgehitch.quality.keep import SnapshotStore

FILE_VERSION = 1
MAX_PLAN_BYTES = 1 << 19  # enough for ten thousand targets and more
log = structlog.get_logger("plans")


class Plans:
    """The stored plan of one gateway."""

    def __init__(self, path: Path) -> None:
        self.store = SnapshotStore(path, private=True, synced=True)
        self.current: PlanMessage | None = None
        self.error = ""  # why the stored plan could not be read
        stored = self.store.read()
        if stored is None:
            return
        try:
            if stored["version"] != FILE_VERSION:
                raise ValueError(f"it is of version {stored['version']!r}, this program keeps {FILE_VERSION}")
            self.current = msgspec.convert(stored["plan"], PlanMessage)
        except (msgspec.ValidationError, KeyError, TypeError, ValueError) as wrong:
            self.error = str(wrong)
            log.error("stored plan is invalid, other gateways may have it", why=self.error)

    def accept(self, new: PlanMessage) -> bool:
        """Stores a plan and returns True, or returns False if it is older than the stored one.

        Raises OSError if it cannot be written to disk.
        """
        if self.current is not None and new.order() < self.current.order():
            return False
        self.store.write({"version": FILE_VERSION, "plan": msgspec.to_builtins(new)})
        self.current, self.error = new, ""
        return True

    def state(self) -> dict[str, Any]:
        """Returns the stored plan, and the error if it could not be read."""
        return {
            "held": msgspec.to_builtins(self.current) if self.current is not None else None,
            "why": self.error,
        }
