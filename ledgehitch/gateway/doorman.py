"""The door in a gateway: between the desk, which knows each offer, and the module; kept for the next start.

A repeated offer never comes here: it is the desk's, and gets the answer that the first one gets.
"""

import secrets
import time
from collections.abc import Callable, Mapping, Sequence
from typing import Any, Protocol

import msgspec
import structlog

from ledgehitch.door.decide import AdmissionController, Decision
from ledgehitch.door.names import DEFAULT_ORDER, Identity
from ledgehitch.quality.keep import Keep

KEPT_EVERY = 5.0  # seconds: tickets used since then may be used once more after a kill
log = structlog.get_logger("door")


class SomeDoor(Protocol):
    """The door, or a baseline in its place."""

    def on_request(
        self,
        now: float,
        conn: int,
        name: bytes,
        package: str,
        patience: float,
        ticket: str = "",
        wall_clock_offset: float = 0.0,
    ) -> None: ...
    def on_disconnect(self, now: float, conn: int) -> None: ...
    def on_result(self, now: float, conn: int, failed: bool) -> None: ...
    def decide(self, now: float) -> Decision | None: ...
    def wake_at(self) -> float | None: ...
    def state(self, now: float) -> dict[str, Any]: ...


class Doorman:
    """Times are of the machine's monotonic clock, as patience must not depend on a clock that steps."""

    def __init__(
        self, door: SomeDoor, keep: Keep | None = None, order: Sequence[Identity] = DEFAULT_ORDER
    ) -> None:
        self.door, self.keep, self.order = door, keep, order
        # Looks whether what is lent is still in force; called before anybody is let in.
        self.look: Callable[[float], None] | None = None
        self.secret = secrets.token_bytes(32)  # names clients, in this life and the next
        self._kept_at = time.monotonic()
        if keep is not None:
            self._read(keep)
            self.write()  # the keys of the first tickets outlive a kill, too

    # ---- kept for the next start ---------------------------------------------------------------------------

    def _read(self, keep: Keep) -> None:
        held = keep.read()
        if held is None or not isinstance(self.door, AdmissionController):
            return
        try:
            self.door.restore(time.monotonic(), held["door"])
            self.secret = bytes(held["secret"])
        except (msgspec.MsgspecError, KeyError, TypeError, ValueError, RuntimeError) as wrong:
            log.error("what the door kept does not read, it starts anew", why=str(wrong))

    def write(self) -> None:
        if self.keep is not None and isinstance(self.door, AdmissionController):
            self._kept_at = time.monotonic()
            self.keep.write({"door": self.door.snapshot(), "secret": self.secret})

    def keep_now_and_then(self) -> None:
        if time.monotonic() - self._kept_at >= KEPT_EVERY:
            self.write()

    def limited(
        self, client_rate: float, client_burst: float, package_rates: Mapping[str, float], set_ups: float
    ) -> None:
        """The site's limits, at start and at a reload."""
        if isinstance(self.door, AdmissionController):
            self.door.set_limits(client_rate, client_burst, package_rates, set_ups)

    def shared(
        self,
        now: float,
        own: float,
        lent: Mapping[str, float],
        until: float,
        by_budget: Mapping[str, float] | None = None,
    ) -> None:
        """This gateway's part of the fleet's limits, and up to when what is lent of it is in force;
        `by_budget`: its own part of limits of which that is not `own`."""
        if isinstance(self.door, AdmissionController):
            self.door.set_share(now, own, lent, until, by_budget)

    def needs(self, now: float) -> tuple[dict[str, float], dict[str, float]]:
        return self.door.demand(now) if isinstance(self.door, AdmissionController) else ({}, {})

    # ---- viewings ------------------------------------------------------------------------------------------

    def asked(
        self, now: float, viewing_id: int, name: bytes, package: str, patience: float, ticket: str
    ) -> None:
        if self.look is not None:
            self.look(now)
        self.door.on_request(now, viewing_id, name, package, patience, ticket, time.time() - now)

    def needs_told(self) -> None:
        if isinstance(self.door, AdmissionController):
            self.door.on_demand_reported()

    def uses(self) -> dict[str, float]:
        return self.door.usage() if isinstance(self.door, AdmissionController) else {}

    def decide(self, now: float) -> Decision | None:
        if self.look is not None:
            self.look(now)
        return self.door.decide(now)

    def gone(self, now: float, viewing_id: int) -> None:
        self.door.on_disconnect(now, viewing_id)

    def settled(self, now: float, viewing_id: int, failed: bool) -> None:
        self.door.on_result(now, viewing_id, failed)

    def given_up(self, now: float) -> None:
        """A tune-in was not answered in its time."""
        if isinstance(self.door, AdmissionController):
            self.door.on_tune_in_timeout(now)

    def state(self) -> dict[str, Any]:
        return self.door.state(time.monotonic())
