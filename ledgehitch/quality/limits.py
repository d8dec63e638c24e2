"""Rate limit for clients' reports, in fixed memory. Free of I/O, clock and randomness.

Token buckets in a fixed number of cells, selected by a keyed hash of the client (a viewing, by its token).
Clients that fall into the same cell share its rate until the key changes.
"""

from ledgehitch.keyed_hashes import cell_of

CELLS = 65536
RATE, BURST = 5.0, 200.0  # reports per second and at once, for one client
REKEY_PERIOD_S = 60.0  # seconds after which clients are assigned to cells anew


class ReportRateLimit:
    """Token buckets for all clients of a gateway."""

    def __init__(self, secret: bytes) -> None:
        self._secret, self._epoch = secret, -1
        self._tokens = [BURST] * CELLS
        self._updated_at = [0.0] * CELLS

    def acquire(self, now: float, client: str, reports: int) -> float:
        """Returns the seconds until `reports` may come; 0 admits them now and counts them."""
        epoch = int(now // REKEY_PERIOD_S)
        if epoch != self._epoch:
            self._epoch = epoch
            self._tokens, self._updated_at = [BURST] * CELLS, [now] * CELLS
        cell = cell_of(self._secret, epoch, client.encode(), CELLS)
        self._tokens[cell] = min(BURST, self._tokens[cell] + (now - self._updated_at[cell]) * RATE)
        self._updated_at[cell] = max(self._updated_at[cell], now)
        if self._tokens[cell] >= reports:
            self._tokens[cell] -= reports
            return 0.0
        return (reports - self._tokens[cell]) / RATE
