"""Schedules the retries of rejected viewers and issues tickets for them. Free of I/O and clock.

Each advised retry books a slot in its second, so that rejected viewers do not return in one wave. A ticket is
valid once, for its client, for a short time from the advised moment on.
"""

import base64
import struct
from typing import Any

from blake3 import blake3

from ledgehitch.keyed_hashes import RecentKeys

HORIZON_S = 120  # seconds for which slots can be booked
RETURN_SHARE = 0.6  # share of the admission rate that may be promised to returning clients
EARLY_S, LATE_S = 0.25, 3.0  # seconds before and after its time in which a ticket is valid
HEAD = struct.Struct(">Hd8sQ")  # key number, time, client name, serial number
MAC_BYTES = 12
USED_CAPACITY = 50_000  # used tickets that are remembered, at least


class ReturnSlots:
    """Return slots in the coming seconds."""

    def __init__(self) -> None:
        self._first_second = 0
        self._booked = [0.0] * HORIZON_S

    def _advance(self, now: float) -> None:
        second = int(now)
        # After a step of the clock there are no bookings.
        if second < self._first_second - 1 or second >= self._first_second + HORIZON_S:
            self._first_second, self._booked = second, [0.0] * HORIZON_S
        while self._first_second < second:
            self._booked[self._first_second % HORIZON_S] = 0.0
            self._first_second += 1

    def book(self, now: float, pace: float, least: float, most: float) -> float | None:
        """Books a slot in the first second with a free one, `least` to `most` seconds from now.

        Returns the seconds until then, or None if all are booked.
        """
        self._advance(now)
        capacity = max(0.2, RETURN_SHARE * pace)
        spilled = 0.0  # booked slots of earlier seconds that will not be served in them
        first, last = int(now + least), min(int(now + most), self._first_second + HORIZON_S - 1)
        for second in range(self._first_second, last + 1):
            booked = self._booked[second % HORIZON_S] + spilled
            # Slots booked at a higher admission rate spill over into the next seconds when the fleet gets
            # slower.
            if second >= first and booked < capacity:
                self._booked[second % HORIZON_S] += 1.0
                return max(least, second - now)
            spilled = max(0.0, booked - capacity)
        return None


class ReturnTickets:
    """Issues and checks return tickets."""

    def __init__(self, number: int, secret: bytes) -> None:
        self._keys = {number: secret}
        self._newest = number
        self._used = RecentKeys(USED_CAPACITY, 1e-6)  # one unused ticket in a million counts as used
        self._serial = 0
        self.refused: dict[str, int] = {}

    def rotate(self, number: int, secret: bytes) -> None:
        """Signs with a new key from now on; tickets of the previous key stay valid."""
        self._keys = {self._newest: self._keys[self._newest], number: secret}
        self._newest = number

    def snapshot(self) -> dict[str, Any]:
        """Returns the keys and the used tickets; the file that holds them must be private."""
        keys = [[n, k] for n, k in self._keys.items()]
        return {"keys": keys, "used": self._used.snapshot(), "issued": self._serial}

    def restore(self, snapshot: Any) -> None:
        """Replaces the keys and the used tickets by those of a snapshot."""
        self._keys = {int(n): bytes(k) for n, k in snapshot["keys"]}
        self._newest = list(self._keys)[-1]
        self._used.restore(snapshot["used"])
        self._serial = int(snapshot["issued"])

    def issue(self, at: float, name: bytes) -> str:
        """Returns a ticket for this client, valid around the wall clock time `at`."""
        self._serial += 1
        body = HEAD.pack(self._newest, at, name[:8].ljust(8, b"\0"), self._serial)
        return base64.urlsafe_b64encode(body + self._mac(self._newest, body)).decode()

    def _mac(self, number: int, body: bytes) -> bytes:
        return blake3(body, key=self._keys[number]).digest(MAC_BYTES)

    def redeem(self, now: float, ticket: str, name: bytes) -> bool:
        """Returns whether the ticket is valid now for this client, and marks it as used."""
        why = self._rejection(now, ticket, name)
        if why:
            self.refused[why] = self.refused.get(why, 0) + 1
        return not why

    def _rejection(self, now: float, ticket: str, name: bytes) -> str:
        """Returns why the ticket is not valid; empty if it is."""
        try:
            raw = base64.urlsafe_b64decode(ticket.encode())
            number, at, ticket_name, _ = HEAD.unpack_from(raw)
        except (ValueError, struct.error):
            return "no ticket"
        body, mac = raw[: HEAD.size], raw[HEAD.size :]
        if number not in self._keys:
            return "old key"
        if self._mac(number, body) != mac:
            return "forged"
        if ticket_name != name[:8].ljust(8, b"\0"):
            return "another's"
        if now < at - EARLY_S:
            return "early"
        if now > at + LATE_S:
            return "late"
        return "used" if self._used.check_and_add(mac) else ""
