"""Rate limit for clients' reports, in fixed memory. Free of I/O, clock and randomness.

Token buckets in a fixed number of cells, selected by a keyed hash of the client (a viewing, by its token).
Clients that fall into the same cell share its rate until the key changes.
"""

from ledgehitch.keyed import cell_of

CELLS = 65536
RATE, BURST = 5.0, 200.0  # reports per second and at once, for one client
REKEY = 60.0  # seconds after which clients are assigned to cells anew


class Limits:
    """Token buckets for all clients of a gateway."""

    def __init__(self, secret: bytes) -> None:
        self._secret, self._era = secret, -1
        self._left = [BURST] * CELLS
        self._at = [0.0] * CELLS

    def asks(self, now: float, client: str, reports: int) -> float:
        """Returns the seconds until `reports` may come; 0 admits them now and counts them."""
        era = int(now // REKEY)
        if era != self._era:
            self._era = era
            self._left, self._at = [BURST] * CELLS, [now] * CELLS
        i = cell_of(self._secret, era, client.encode(), CELLS)
        self._left[i] = min(BURST, self._left[i] + (now - self._at[i]) * RATE)
        self._at[i] = max(self._at[i], now)
        if self._left[i] >= reports:
            self._left[i] -= reports
            return 0.0
        return (reports - self._left[i]) / RATE
