"""Admission control: which requests are admitted now, queued or rejected, and when to retry. Free of I/O.

Inputs update the state; the caller then calls `decide` until it returns None. Every request is admitted or
rejected exactly once. Queued requests are not known to the decision module yet: the patience of a viewing
counts from its request, and a request that could no longer be set up in time is rejected at once. While
nothing is scarce, requests are admitted in the order in which they arrive.
"""

import random
from collections import deque
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any, Protocol

from ledgehitch.door.heavy import HeavyHitters
from ledgehitch.door.limits import (
    MIN_LIMIT,
    NEW_WEIGHT,
    OLD_WEIGHT,
    AdaptiveLimit,
    AdmissionRate,
    RequestRate,
)
from ledgehitch.door.part import BudgetShare
from ledgehitch.door.queue import FairQueue, QueuedRequest
from ledgehitch.door.rates import SET_UPS, ClientRateLimits, PackageRateLimits, offers_budget
from ledgehitch.door.returns import ReturnSlots, ReturnTickets

MIN_SETUP_TIME_S = 0.35  # a viewing must be admitted this long before its patience ends
SETUP_TIME_FACTOR = 1.3  # times the recent set-up time, within which nearly all set-ups finish
MAX_WAIT_SHARE = 0.6  # share of the join target that a request may queue: a later join is worth little
BROWNOUT_PERIOD_S = 1.0  # between two decisions on rejecting the least valuable packages at once
CALM_PERIODS = 5  # periods without queue time-outs until a rejected level is admitted again
DEMAND_HEADROOM = 1.25  # times the recent concurrent set-ups, which fluctuate, to ask of the fleet's limit
BROWNOUT_TIMEOUTS = 3  # queue time-outs of one value per period, from which less valuable ones are rejected


class ConcurrencyLimit(Protocol):
    """A limit on concurrent set-ups that learns from their results."""

    limit: float

    def on_setup_end(
        self, now: float, in_progress: int, took: float, join_target: float, failed: bool
    ) -> None: ...
    def on_overload(self, now: float) -> None: ...
    def free_slots(self, in_progress: int) -> int: ...


@dataclass(frozen=True)
class Admit:
    """Pass this request to the decision module now."""

    conn: int


@dataclass(frozen=True)
class Reject:
    """Reject this request; it may retry after `advice` seconds (0: no advice) with `ticket`."""

    conn: int
    why: str
    advice: float = 0.0
    ticket: str = ""


Decision = Admit | Reject


class AdmissionController:
    """Admission control of one gateway."""

    def __init__(
        self,
        now: float,
        rng: random.Random,
        values: Mapping[str, float],
        targets: Mapping[str, float],
        may_advise: bool,
        longest_advice: float,
        limit: ConcurrencyLimit | None = None,
        gateways: int = 1,
    ) -> None:
        """Starts with an empty queue.

        `values` and `targets` hold the value and the join target in seconds of each package. `gateways` is
        the number of gateways that share the fleet's limits according to the site; each has an equal share
        until `set_share` sets another one.
        """
        self.rng, self.values, self.targets = rng, values, targets
        self.may_advise, self.longest_advice = may_advise, longest_advice
        self.limit: ConcurrencyLimit = limit if limit is not None else AdaptiveLimit()
        self.queue = FairQueue(rng.randbytes(32))
        self.heavy_hitters, self.admission_rate, self.return_slots = (
            HeavyHitters(),
            AdmissionRate(),
            ReturnSlots(),
        )
        self.tickets = ReturnTickets(rng.randrange(1 << 16), rng.randbytes(32))
        self.share, self.client_rates, self.package_rates = (
            BudgetShare(1.0 / gateways),
            ClientRateLimits(),
            PackageRateLimits(),
        )
        self.setup_time = 0.0  # moving average of the set-up time in seconds
        self.set_ups = 0.0  # concurrent set-ups of the whole fleet; 0: only the adaptive limit applies
        self.in_progress: dict[int, tuple[float, str]] = {}  # set-ups: time of admission and package
        self.levels = sorted(set(values.values())) or [1.0]
        self.wall_clock_offset = 0.0
        self.level = 0  # packages of less value than `levels[level]` are rejected at once
        self._request_rates: dict[str, RequestRate] = {}  # request rate of each package that has a limit
        self._peak_load = 0  # highest number in progress or queued since the demand was last reported
        self.counts = {"let_in": 0, "turned_away": 0, "over_rate": 0, "returned": 0}
        self._due: deque[Decision] = deque()
        self._period_start, self._calm_periods = now, 0
        self._queue_timeouts: dict[float, int] = {}  # queue time-outs in this period, by package value

    def set_limits(
        self, client_rate: float, client_burst: float, package_rates: Mapping[str, float], set_ups: float
    ) -> None:
        """Sets the site's limits, at start and at a reload.

        Requests in progress or queued are not affected: a lower limit takes effect by admitting nothing until
        their number has fallen below it.
        """
        self.client_rates.set_limit(client_rate, client_burst)
        self.package_rates.set_limits(package_rates)
        self._request_rates = {p: self._request_rates.get(p, RequestRate()) for p in package_rates}
        self.set_ups = set_ups

    def set_share(
        self,
        now: float,
        own: float,
        lent: Mapping[str, float],
        until: float,
        by_budget: Mapping[str, float] | None = None,
    ) -> None:
        """Sets this gateway's own share of the fleet's limits and what is lent to it up to `until`.

        `by_budget` holds its own share of the limits for which it differs from `own`.
        """
        self.package_rates.refill(now, self.share)
        self.share.update(own, lent, until, by_budget)

    def demand(self, now: float) -> tuple[dict[str, float], dict[str, float]]:
        """Returns the shares of the fleet's limits that are in use here and that are wanted here.

        For set-ups the wanted share follows the highest concurrency since `on_demand_reported`. It is 0 where
        there was none, since a set-up that may be started here cannot be started elsewhere.
        """
        used, wanted = self.usage(), dict[str, float]()
        for package, per_second in self.package_rates.per_second.items():
            wanted[offers_budget(package)] = self._request_rates[package].rate_at(now) / per_second
        if self.set_ups:
            peak = min(DEMAND_HEADROOM * self._peak_load + 1.0, self.limit.limit) if self._peak_load else 0.0
            wanted[SET_UPS] = peak / self.set_ups
        return used, wanted

    # ---- inputs --------------------------------------------------------------------------------------------

    def on_request(
        self,
        now: float,
        conn: int,
        name: bytes,
        package: str,
        patience: float,
        ticket: str = "",
        wall_clock_offset: float = 0.0,
    ) -> None:
        """A client requests a viewing that must be answered by `patience`.

        `wall_clock_offset` is the lead of the wall clock over `now` in seconds. Only tickets use the wall
        clock, so a step of it affects nothing else.
        """
        self.heavy_hitters.on_request(now, name)
        self.wall_clock_offset = wall_clock_offset
        if package in self._request_rates:
            self._request_rates[package].on_request(now)
        value = self.values.get(package, self.levels[0])
        until = patience - min(
            max(MIN_SETUP_TIME_S, SETUP_TIME_FACTOR * self.setup_time), 0.5 * max(0.0, patience - now)
        )
        returns = bool(ticket) and self.tickets.redeem(now + wall_clock_offset, ticket, name)
        # A returning viewer has missed its join target already, so its promise holds up to its patience.
        if not returns:
            until = min(until, now + MAX_WAIT_SHARE * self.targets.get(package, 1.0))
        request = QueuedRequest(conn, name, package, self.levels[0] / value, now, until)
        self.counts["returned"] += returns
        if self.client_rates.per_second and (wait := self.client_rates.acquire(now, name)) > 0:
            self._reject_over_rate(request, "over its rate", wait)
            return
        if self.package_rates.per_second and not returns:
            wait = self.package_rates.acquire(now, package, self.share)
            if wait > 0:
                self._reject_over_rate(request, f"over the fleet's budget {offers_budget(package)}", wait)
                return
        if value < self.levels[self.level] and not returns:
            self._reject(now, request, "brown-out")
            return
        dropped = self.queue.put(now, request, first=returns)
        self._peak_load = max(self._peak_load, len(self.in_progress) + len(self.queue))
        if dropped is not None:
            self._reject(now, dropped, "the queue is full")

    def on_disconnect(self, now: float, conn: int) -> None:
        """The client disconnected while it was queued or after it was admitted."""
        self.queue.remove(conn)
        self.in_progress.pop(conn, None)

    def on_result(self, now: float, conn: int, failed: bool) -> None:
        """The decision module has answered: the viewing plays, or it was blocked or aborted (`failed`)."""
        set_up = self.in_progress.pop(conn, None)
        if set_up is not None:
            since, package = set_up
            self.setup_time = (NEW_WEIGHT * (now - since) + OLD_WEIGHT * self.setup_time) / (
                NEW_WEIGHT + OLD_WEIGHT
            )
            self.limit.on_setup_end(
                now, len(self.in_progress) + 1, now - since, self.targets.get(package, 1.0), failed
            )

    def on_tune_in_timeout(self, now: float) -> None:
        """A tune-in of an admitted viewing timed out."""
        self.limit.on_overload(now)

    def on_demand_reported(self) -> None:
        """The demand was reported: starts measuring the highest concurrency anew."""
        self._peak_load = len(self.in_progress) + len(self.queue)

    def usage(self) -> dict[str, float]:
        """Returns the share of the limit on concurrent set-ups that is in use here."""
        return {SET_UPS: len(self.in_progress) / self.set_ups} if self.set_ups else {}

    # ---- decisions -----------------------------------------------------------------------------------------

    def decide(self, now: float) -> Decision | None:
        """Returns the next decision, or None when there is nothing to do at `now`."""
        expiry = self.queue.wake_at()
        if expiry is not None and expiry <= now:
            for request in self.queue.pop_expired(now):
                self._reject(now, request, "no turn in time")
        if not 0 <= now - self._period_start < BROWNOUT_PERIOD_S:
            self._update_brownout(now)
        if self._due:
            return self._due.popleft()
        if self._free_slots(now) <= 0:
            return None
        first = self.queue.pop_next(now)
        if first is None:
            return None
        self.in_progress[first.conn] = now, first.package
        self.admission_rate.on_admission(now)
        self.counts["let_in"] += 1
        return Admit(first.conn)

    def can_admit(self, now: float) -> bool:
        """Returns whether a queued request could be admitted now."""
        return len(self.queue) > 0 and self._free_slots(now) > 0

    def _free_slots(self, now: float) -> int:
        """Returns how many more set-ups all limits on concurrency together allow."""
        free = self.limit.free_slots(len(self.in_progress))
        if self.set_ups:
            free = min(free, self.share.whole_units(now, SET_UPS, int(self.set_ups)) - len(self.in_progress))
        return free

    def _reject_over_rate(self, request: QueuedRequest, why: str, wait: float) -> None:
        """Rejects a request over a rate limit, with the wait that the limit gives and without a ticket."""
        self.counts["over_rate"] += 1
        advice = min(wait, self.longest_advice) if self.may_advise else 0.0
        self._due.append(Reject(request.conn, why, advice))

    def _reject(self, now: float, request: QueuedRequest, why: str) -> None:
        self.counts["turned_away"] += 1
        if why != "brown-out":
            value = self.values.get(request.package, self.levels[0])
            self._queue_timeouts[value] = self._queue_timeouts.get(value, 0) + 1
        advice, ticket = 0.0, ""
        if self.may_advise and self.longest_advice > 0:
            rate = self.admission_rate.rate_at(now)
            queue_time = len(self.queue) / rate if rate > 0 else 1.0
            least = min(max(0.5, queue_time), self.longest_advice)
            delay = self.return_slots.book(now, rate, least, self.longest_advice)
            if delay is None:  # all return slots are booked: the longest advice, without a promise
                advice = self.longest_advice * self.rng.uniform(0.7, 1.0)
            else:
                advice = min(delay + self.rng.random(), self.longest_advice)
                ticket = self.tickets.issue(now + self.wall_clock_offset + advice, request.name)
        self._due.append(Reject(request.conn, why, advice, ticket))

    def _update_brownout(self, now: float) -> None:
        """Raises or lowers the level of package value below which requests are rejected at once.

        It rises by one level a period while more valuable requests time out in the queue.
        """
        pressed = [value for value, n in self._queue_timeouts.items() if n >= BROWNOUT_TIMEOUTS]
        self._period_start, self._queue_timeouts = now, {}
        lowest = self.levels[self.level]
        if any(value > lowest for value in pressed) and self.level < len(self.levels) - 1:
            self.level += 1
        self._calm_periods = 0 if pressed else self._calm_periods + 1
        if self.level and self._calm_periods >= CALM_PERIODS:
            self.level, self._calm_periods = self.level - 1, 0

    def wake_at(self) -> float | None:
        """Returns when to call `decide` again; 0 if a decision is due, None if only input can make one."""
        if self._due:
            return 0.0
        expiry = self.queue.wake_at()
        next_period = self._period_start + BROWNOUT_PERIOD_S if self.level else None
        return min((t for t in (expiry, next_period) if t is not None), default=None)

    # ---- status and snapshot -------------------------------------------------------------------------------

    def state(self, now: float) -> dict[str, Any]:
        """Returns the figures for operators."""
        return {
            "limit": round(self.limit.limit, 1),
            "share": {
                budget: round(self.share.share(now, budget), 4)
                for budget in [
                    *map(offers_budget, self.package_rates.per_second),
                    *([SET_UPS] if self.set_ups else []),
                ]
            },
            "out": len(self.in_progress),
            "waiting": len(self.queue),
            "level": self.level,
            "let_in_a_second": round(self.admission_rate.rate_at(now), 1),
            **self.counts,
            "tickets_refused": dict(self.tickets.refused),
            "heaviest": self.heavy_hitters.heaviest(5),
            "heaviest_error": round(self.heavy_hitters.error(), 1),
        }

    def snapshot(self) -> dict[str, Any]:
        """Returns what the next process restores: heavy clients, used tickets, limits."""
        return {
            "heavy": self.heavy_hitters.snapshot(),
            "tickets": self.tickets.snapshot(),
            "limit": self.limit.limit,
            "level": self.level,
        }

    def restore(self, now: float, snapshot: Mapping[str, Any]) -> None:
        """Restores a snapshot, with half the limit, since a wave of requests may follow a restart."""
        self.heavy_hitters.restore(now, list(snapshot["heavy"]))
        self.tickets.restore(snapshot["tickets"])
        self.limit.limit = max(MIN_LIMIT, 0.5 * float(snapshot["limit"]))
        self.level = min(int(snapshot["level"]), len(self.levels) - 1)
