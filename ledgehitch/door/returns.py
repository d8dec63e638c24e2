"""When who is turned away should come again, and tickets for those who do. Free of I/O and clock.

Each return that is advised takes a place in the second for which it is advised, so that the refused do not
come as one wave. A ticket is good once, for its client, from its time on for a while.
"""

import base64
import struct
from typing import Any

from blake3 import blake3

from ledgehitch.keyed import Remembered

AHEAD = 120  # seconds for which places are kept
SHARE = 0.6  # of what is let in a second that returning clients may be told to take
EARLY, LATE = 0.25, 3.0  # seconds around its time in which a ticket is good
HEAD = struct.Struct(">Hd8sQ")  # key number, time, client, number
MAC = 12
REMEMBERED = 50_000  # used tickets, at least


class Places:
    """Places in the seconds to come, each taken once."""

    def __init__(self) -> None:
        self._from = 0
        self._taken = [0.0] * AHEAD

    def _at(self, now: float) -> None:
        second = int(now)
        if second < self._from - 1 or second >= self._from + AHEAD:  # the clock stepped: nothing is known
            self._from, self._taken = second, [0.0] * AHEAD
        while self._from < second:
            self._taken[self._from % AHEAD] = 0.0
            self._from += 1

    def booked(self, now: float, pace: float, least: float, most: float) -> float | None:
        """Seconds until the first second with a place left, from `least` to `most` from now; None where all
        are taken. The place is taken."""
        self._at(now)
        room = max(0.2, SHARE * pace)
        over = 0.0  # places taken in the seconds before that will not be served in them
        first, last = int(now + least), min(int(now + most), self._from + AHEAD - 1)
        for second in range(self._from, last + 1):
            taken = self._taken[second % AHEAD] + over
            # Guards against promises of a faster time being forgotten when the fleet becomes slower.
            if second >= first and taken < room:
                self._taken[second % AHEAD] += 1.0
                return max(least, second - now)
            over = max(0.0, taken - room)
        return None


class Tickets:
    def __init__(self, number: int, secret: bytes) -> None:
        self._keys = {number: secret}
        self._newest = number
        self._used = Remembered(REMEMBERED, 1e-6)
        self._issued = 0
        self.refused: dict[str, int] = {}

    def rotate(self, number: int, secret: bytes) -> None:
        """A new key signs; the one before still checks."""
        self._keys = {self._newest: self._keys[self._newest], number: secret}
        self._newest = number

    def frozen(self) -> dict[str, Any]:
        """Keys and what was used, for a file that nobody else reads."""
        keys = [[n, k] for n, k in self._keys.items()]
        return {"keys": keys, "used": self._used.frozen(), "issued": self._issued}

    def thawed(self, held: Any) -> None:
        self._keys = {int(n): bytes(k) for n, k in held["keys"]}
        self._newest = list(self._keys)[-1]
        self._used.thawed(held["used"])
        self._issued = int(held["issued"])

    def issue(self, at: float, name: bytes) -> str:
        self._issued += 1
        body = HEAD.pack(self._newest, at, name[:8].ljust(8, b"\0"), self._issued)
        return base64.urlsafe_b64encode(body + self._mac(self._newest, body)).decode()

    def _mac(self, number: int, body: bytes) -> bytes:
        return blake3(body, key=self._keys[number]).digest(MAC)

    def good(self, now: float, ticket: str, name: bytes) -> bool:
        """Whether it counts now, for this client; it does once."""
        why = self._why_not(now, ticket, name)
        if why:
            self.refused[why] = self.refused.get(why, 0) + 1
        return not why

    def _why_not(self, now: float, ticket: str, name: bytes) -> str:
        try:
            raw = base64.urlsafe_b64decode(ticket.encode())
            number, at, its_name, _ = HEAD.unpack_from(raw)
        except (ValueError, struct.error):
            return "no ticket"
        body, mac = raw[: HEAD.size], raw[HEAD.size :]
        if number not in self._keys:
            return "old key"
        if self._mac(number, body) != mac:
            return "forged"
        if its_name != name[:8].ljust(8, b"\0"):
            return "another's"
        if now < at - EARLY:
            return "early"
        if now > at + LATE:
            return "late"
        return "used" if self._used.seen(mac) else ""
