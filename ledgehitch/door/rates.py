"""How often a client and a package may ask: rates in fixed memory. Free of I/O, clock and chance.

A client's rate is kept as the time at which all that was asked for would be paid off (the generic cell rate
algorithm): one number, and the wait it gives is exact. A package's is kept as what was gathered and not
spent, since this gateway's part of it changes.
"""

from array import array
from collections.abc import Mapping

from ledgehitch.door.part import Part

ROWS, COLUMNS = 4, 16384  # of the clients' table: half a megabyte
FOREVER = 1e18
ROUNDING = 1e-9
SET_UPS = "set_ups"  # what the limit on set-ups at once is called among the budgets of the fleet


def budget_of(package: str) -> str:
    """What the offers of a package are called among the budgets of the fleet."""
    return f"offers.{package}"


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
        places = [row * COLUMNS + (name[2 * row] << 8 | name[2 * row + 1]) % COLUMNS for row in range(ROWS)]
        paid = min(self._paid_at[p] for p in places)
        wait = paid - now - (self.burst - 1.0) * each
        if wait > 0:
            return wait
        paid = max(paid, now) + each
        for p in places:
            self._paid_at[p] = max(self._paid_at[p], paid)
        return 0.0


class PackageRates:
    """So many offers a second for each package, this gateway's part of what the fleet is given.

    Over any time gateways together let in no more than the rate gives, a second's worth, and one for each
    gateway. A part that moves takes nothing with it that was gathered already, and a life begins with
    nothing: else a part that goes around would bring its burst again each time."""

    # Seconds' worth that may come at once: with less, what chance swings costs where many hold little.
    BURST = 1.0

    def __init__(self) -> None:
        self.a_second: dict[str, float] = {}  # of the fleet
        self._left: dict[str, tuple[float, float]] = {}  # gathered and not spent, and when that was so

    def changed(self, a_second: Mapping[str, float]) -> None:
        self.a_second = dict(a_second)
        self._left = {package: left for package, left in self._left.items() if package in a_second}

    def gather(self, now: float, part: Part) -> None:
        """Up to now by the part that was in force; before it changes."""
        for package, a_second in self.a_second.items():
            left, at = self._left.get(package, (0.0, now))
            left += a_second * part.gathered(at, now, budget_of(package))
            most = max(1.0, a_second * part.share(now, budget_of(package)) * self.BURST)
            self._left[package] = min(left, most), max(at, now)

    def wait(self, now: float, package: str, part: Part) -> float:
        """As `ClientRates.wait`; `part`: this gateway's of the fleet's rate."""
        if package not in self.a_second:
            return 0.0
        self.gather(now, part)
        left, at = self._left[package]
        if left >= 1.0 - ROUNDING:
            self._left[package] = max(0.0, left - 1.0), at
            return 0.0
        rate = self.a_second[package] * part.share(now, budget_of(package))
        return (1.0 - left) / rate if rate > 0 else FOREVER
