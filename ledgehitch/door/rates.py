"""How often a client and a package may ask: rates in fixed memory. Free of I/O, clock and chance.

Each rate is kept as the time at which all that was asked for would be paid off (the generic cell rate
algorithm): one number, and the wait it gives is exact.
"""

from array import array
from collections.abc import Mapping

ROWS, COLUMNS = 4, 16384  # of the clients' table: half a megabyte
FOREVER = 1e18


class ClientRates:
    """So many offers a second for each client, in a table that no number of names makes larger.

    A client has one place in each row, by parts of its name (a keyed hash). It is over its rate where all its
    places say so: no client is ever let over its rate, and an innocent one is held to be over it only where
    it shares all of its places with heavy ones at once."""

    def __init__(self) -> None:
        self.a_second = self.burst = 0.0  # no limit
        self._paid_at = array("d", bytes(8 * ROWS * COLUMNS))

    def changed(self, a_second: float, burst: float) -> None:
        """0 a second is no limit. What is owed stays owed, at the new rate."""
        self.a_second, self.burst = a_second, max(1.0, burst)

    def wait(self, now: float, name: bytes) -> float:
        """Seconds until this client may ask; 0 where it may now, and has."""
        if self.a_second <= 0:
            return 0.0
        each = 1.0 / self.a_second
        places = [
            row * COLUMNS + (name[2 * row] << 8 | name[2 * row + 1]) % COLUMNS for row in range(ROWS)
        ]
        paid = min(self._paid_at[p] for p in places)
        wait = paid - now - (self.burst - 1.0) * each
        if wait > 0:
            return wait
        paid = max(paid, now) + each
        for p in places:
            self._paid_at[p] = max(self._paid_at[p], paid)
        return 0.0


class PackageRates:
    """So many offers a second for each package, this gateway's part of what the fleet is given."""

    BURST = 0.5  # seconds' worth that may come at once

    def __init__(self) -> None:
        self.a_second: dict[str, float] = {}  # of the fleet
        self._paid_at: dict[str, float] = {}

    def changed(self, a_second: Mapping[str, float]) -> None:
        self.a_second = dict(a_second)
        self._paid_at = {package: at for package, at in self._paid_at.items() if package in a_second}

    def wait(self, now: float, package: str, share: float) -> float:
        """As `ClientRates.wait`; `share`: this gateway's part of the fleet's rate."""
        rate = self.a_second.get(package, 0.0) * share
        if rate <= 0:
            return FOREVER if package in self.a_second else 0.0
        paid = self._paid_at.get(package, -FOREVER)
        wait = paid - now - max(0.0, self.BURST - 1.0 / rate)
        if wait > 0:
            return wait
        self._paid_at[package] = max(paid, now) + 1.0 / rate
        return 0.0
