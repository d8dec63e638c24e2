"""Rate limits for clients and packages in fixed memory. Free of I/O, clock and randomness.

Client limits use the generic cell rate algorithm: one theoretical arrival time per client, which gives the
exact wait. Package limits are token buckets, since this gateway's share of their rate changes.
"""

from array import array
from collections.abc import Mapping

from ledgehitch.door.part import BudgetShare

ROWS, COLUMNS = 4, 16384  # size of the table of clients: half a megabyte
FOREVER = 1e18  # seconds
ROUNDING = 1e-9
SET_UPS = "set_ups"  # name of the fleet's budget for concurrent set-ups


def offers_budget(package: str) -> str:
    """Returns the name of the fleet's budget for the offers of a package."""
    return f"offers.{package}"


class ClientRateLimits:
    """Limits the offers per second of each client, in a table whose size does not depend on their number.

    A client has one entry in each row, chosen by parts of its name (a keyed hash), and exceeds its rate if
    all its entries say so. No client ever gets more than its rate. A client within its rate is rejected only
    if it shares every one of its entries with clients over theirs.
    """

    def __init__(self) -> None:
        self.per_second = self.burst = 0.0  # no limit
        self._arrival_times = array("d", bytes(8 * ROWS * COLUMNS))

    def set_limit(self, per_second: float, burst: float) -> None:
        """Sets the limit; a rate of 0 disables it. Earlier requests still count, at the new rate."""
        self.per_second, self.burst = per_second, max(1.0, burst)

    def acquire(self, now: float, name: bytes) -> float:
        """Returns the seconds until this client may request; 0 admits the request now and counts it."""
        if self.per_second <= 0:
            return 0.0
        interval = 1.0 / self.per_second
        entries = [row * COLUMNS + (name[2 * row] << 8 | name[2 * row + 1]) % COLUMNS for row in range(ROWS)]
        arrival_time = min(self._arrival_times[p] for p in entries)
        wait = arrival_time - now - (self.burst - 1.0) * interval
        if wait > 0:
            return wait
        arrival_time = max(arrival_time, now) + interval
        for p in entries:
            self._arrival_times[p] = max(self._arrival_times[p], arrival_time)
        return 0.0


class PackageRateLimits:
    """Limits the offers per second of each package to this gateway's share of the fleet's rate.

    Over any interval all gateways together admit at most the rate times its length, plus one second's worth,
    plus one for each gateway. A share that moves to another gateway does not carry tokens with it, and a
    process starts without tokens. Otherwise a share that goes around would bring its burst again each time.
    """

    # Seconds' worth of tokens that a bucket holds; a smaller bucket loses capacity to random variation where
    # many gateways hold small shares.
    BURST_S = 1.0

    def __init__(self) -> None:
        self.per_second: dict[str, float] = {}  # rates of the whole fleet
        self._tokens: dict[str, tuple[float, float]] = {}  # tokens, and the time of that count

    def set_limits(self, per_second: Mapping[str, float]) -> None:
        """Sets the fleet's rates; tokens of packages without a limit are dropped."""
        self.per_second = dict(per_second)
        self._tokens = {package: tokens for package, tokens in self._tokens.items() if package in per_second}

    def refill(self, now: float, share: BudgetShare) -> None:
        """Adds tokens up to `now` at the share that was in force; call it before the share changes."""
        for package, per_second in self.per_second.items():
            tokens, updated_at = self._tokens.get(package, (0.0, now))
            tokens += per_second * share.accumulated(updated_at, now, offers_budget(package))
            capacity = max(1.0, per_second * share.share(now, offers_budget(package)) * self.BURST_S)
            self._tokens[package] = min(tokens, capacity), max(updated_at, now)

    def acquire(self, now: float, package: str, share: BudgetShare) -> float:
        """Returns the seconds until an offer may come; 0 admits it now and counts it.

        `share` is this gateway's share of the fleet's rates.
        """
        if package not in self.per_second:
            return 0.0
        self.refill(now, share)
        tokens, updated_at = self._tokens[package]
        if tokens >= 1.0 - ROUNDING:
            self._tokens[package] = max(0.0, tokens - 1.0), updated_at
            return 0.0
        rate = self.per_second[package] * share.share(now, offers_budget(package))
        return (1.0 - tokens) / rate if rate > 0 else FOREVER
