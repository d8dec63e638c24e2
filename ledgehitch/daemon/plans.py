"""The plan that the fleet carries out, as one gateway keeps it: what its owner left here last, on disk."""

from pathlib import Path
from typing import Any

import msgspec
import structlog

from ledgehitch.daemon.facts import PlanMessage
from ledgehitch.quality.keep import SnapshotStore

VERSION = 1  # of the file
MOST = 1 << 19  # bytes of a plan: ten thousand targets and more
log = structlog.get_logger("plans")


class Plans:
    def __init__(self, path: Path) -> None:
        self.store = SnapshotStore(path, private=True, synced=True)
        self.held: PlanMessage | None = None
        self.why = ""  # the file does not read
        held = self.store.read()
        if held is None:
            return
        try:
            if held["version"] != VERSION:
                raise ValueError(f"it is of version {held['version']!r}, this program keeps {VERSION}")
            self.held = msgspec.convert(held["plan"], PlanMessage)
        except (msgspec.ValidationError, KeyError, TypeError, ValueError) as wrong:
            self.why = str(wrong)
            log.error("the plan that was kept does not read, others may know it", why=self.why)

    def accept(self, new: PlanMessage) -> bool:
        """Whether this is later than what is held, and on disk now. Raises OSError where the disk does not
        take it."""
        if self.held is not None and new.order() < self.held.order():
            return False
        self.store.write({"version": VERSION, "plan": msgspec.to_builtins(new)})
        self.held, self.why = new, ""
        return True

    def state(self) -> dict[str, Any]:
        return {"held": msgspec.to_builtins(self.held) if self.held is not None else None, "why": self.why}
