"""Admission control of a gateway, between the viewing registry and the module. Its state survives restarts.

A repeated offer never comes here: the registry gives it the same answer as the first one.
"""

import secrets
import time
from collections.abc import Callable, Mapping, Sequence
from typing import Any, Protocol

import msgspec
import structlog

from ledgehitch.door.decide import AdmissionController, Decision
from ledgehitch.door.names import DEFAULT_ORDER, Identity
from ledgehitch.quality.keep import SnapshotStore

SAVE_INTERVAL_S = 5.0  # tickets used since the last save may be used once more after a kill
log = structlog.get_logger("door")


class AdmissionPolicy(Protocol):
    """The admission controller, or a baseline of the benchmarks in its place."""

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


class AdmissionService:
    """Runs an admission controller and saves its state.

    Times are of the machine's monotonic clock, since patience must not depend on a clock that steps."""

    def __init__(
        self,
        controller: AdmissionPolicy,
        store: SnapshotStore | None = None,
        order: Sequence[Identity] = DEFAULT_ORDER,
    ) -> None:
        self.controller, self.store, self.order = controller, store, order
        # Checks whether the budget loan is still valid; called before any request is admitted.
        self.refresh_share: Callable[[float], None] | None = None
        self.secret = secrets.token_bytes(32)  # keys the clients' names; survives restarts
        self._saved_at = time.monotonic()
        if store is not None:
            self._load(store)
            self.save()  # so that the keys of the first tickets survive a kill

    # ---- saved state ---------------------------------------------------------------------------------------

    def _load(self, store: SnapshotStore) -> None:
        saved = store.read()
        if saved is None or not isinstance(self.controller, AdmissionController):
            return
        try:
            self.controller.restore(time.monotonic(), saved["door"])
            self.secret = bytes(saved["secret"])
        except (msgspec.MsgspecError, KeyError, TypeError, ValueError, RuntimeError) as error:
            log.error("cannot read the saved admission state, starting without it", why=str(error))

    def save(self) -> None:
        if self.store is not None and isinstance(self.controller, AdmissionController):
            self._saved_at = time.monotonic()
            self.store.write({"door": self.controller.snapshot(), "secret": self.secret})

    def save_if_due(self) -> None:
        if time.monotonic() - self._saved_at >= SAVE_INTERVAL_S:
            self.save()

    def set_limits(
        self, client_rate: float, client_burst: float, package_rates: Mapping[str, float], set_ups: float
    ) -> None:
        """Applies the site's limits, at start and at a reload."""
        if isinstance(self.controller, AdmissionController):
            self.controller.set_limits(client_rate, client_burst, package_rates, set_ups)

    def set_share(
        self,
        now: float,
        own: float,
        lent: Mapping[str, float],
        until: float,
        by_budget: Mapping[str, float] | None = None,
    ) -> None:
        """Sets this gateway's share of the fleet's limits, and until when the lent part of it is valid.
        `by_budget` holds its own part of those limits of which it is not `own`."""
        if isinstance(self.controller, AdmissionController):
            self.controller.set_share(now, own, lent, until, by_budget)

    def demand(self, now: float) -> tuple[dict[str, float], dict[str, float]]:
        return self.controller.demand(now) if isinstance(self.controller, AdmissionController) else ({}, {})

    # ---- viewings ------------------------------------------------------------------------------------------

    def on_request(
        self, now: float, viewing_id: int, name: bytes, package: str, patience: float, ticket: str
    ) -> None:
        if self.refresh_share is not None:
            self.refresh_share(now)
        self.controller.on_request(now, viewing_id, name, package, patience, ticket, time.time() - now)

    def on_demand_reported(self) -> None:
        if isinstance(self.controller, AdmissionController):
            self.controller.on_demand_reported()

    def usage(self) -> dict[str, float]:
        return self.controller.usage() if isinstance(self.controller, AdmissionController) else {}

    def decide(self, now: float) -> Decision | None:
        if self.refresh_share is not None:
            self.refresh_share(now)
        return self.controller.decide(now)

    def on_viewer_left(self, now: float, viewing_id: int) -> None:
        self.controller.on_disconnect(now, viewing_id)

    def on_result(self, now: float, viewing_id: int, failed: bool) -> None:
        self.controller.on_result(now, viewing_id, failed)

    def on_tune_in_timeout(self, now: float) -> None:
        """A tune-in of an admitted viewing timed out."""
        if isinstance(self.controller, AdmissionController):
            self.controller.on_tune_in_timeout(now)

    def state(self) -> dict[str, Any]:
        return self.controller.state(time.monotonic())
