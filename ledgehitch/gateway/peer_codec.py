"""Datagrams between gateways: bounded in size, authenticated by keyed `blake3`, safe from replay. Free of
I/O."""

import struct
from collections.abc import Sequence

from blake3 import blake3

# Magic, sender, recipient, life of the sender, sequence number, wall clock at sending.
HEADER = struct.Struct(">4sHHQQd")
MAGIC = b"LH1\x00"
MAC_BYTES = 16
MAX_DATAGRAM_BYTES = 1200
MAX_CLOCK_DIFFERENCE_S = 5.0  # between two gateways' clocks, transit time included
REORDER_WINDOW = 64  # datagrams; an older one is taken for a replay


class DatagramRejected(Exception):
    """Raised for a datagram that is not accepted; its text is the name of the counter for the reason."""


class PeerCodec:
    """Frames and unframes the datagrams of one gateway.

    The first key signs, all keys are accepted. `life` has to rise with each start; the start's wall clock in
    ns does."""

    def __init__(self, keys: Sequence[bytes], index: int, life: int) -> None:
        if not keys or any(len(key) != 32 for key in keys):
            raise ValueError("at least one peer key is needed, each of 32 bytes")
        self._keys, self.index, self.life = list(keys), index, life
        self._sent = 0  # sequence number of the last datagram
        # By sender: life, highest sequence number, bit mask of those below it.
        self._received: dict[int, tuple[int, int, int]] = {}
        self.rejected: dict[str, int] = {}

    def frame(self, wall: float, recipient: int, message: bytes) -> bytes:
        if len(message) > MAX_DATAGRAM_BYTES - HEADER.size - MAC_BYTES:
            raise ValueError(f"{len(message)} bytes do not fit into a datagram")
        self._sent += 1
        body = HEADER.pack(MAGIC, self.index, recipient, self.life, self._sent, wall) + message
        return body + blake3(body, key=self._keys[0]).digest(MAC_BYTES)

    def unframe(self, wall: float, data: bytes) -> tuple[int, bytes]:
        """Returns the sender and the message. Raises `DatagramRejected`, and counts the reason."""
        try:
            return self._unframe(wall, data)
        except DatagramRejected as why:
            self.rejected[str(why)] = self.rejected.get(str(why), 0) + 1
            raise

    def _unframe(self, wall: float, data: bytes) -> tuple[int, bytes]:
        if not HEADER.size + MAC_BYTES <= len(data) <= MAX_DATAGRAM_BYTES:
            raise DatagramRejected("size")
        body, mac = data[:-MAC_BYTES], data[-MAC_BYTES:]
        magic, sender, recipient, life, number, sent_at = HEADER.unpack_from(body)
        if magic != MAGIC:
            raise DatagramRejected("mark")
        if all(blake3(body, key=key).digest(MAC_BYTES) != mac for key in self._keys):
            raise DatagramRejected("mac")
        if recipient != self.index or sender == self.index:
            raise DatagramRejected("address")
        if not abs(wall - sent_at) <= MAX_CLOCK_DIFFERENCE_S:
            raise DatagramRejected("stale")
        known_life, highest, bits = self._received.get(sender, (0, 0, 0))
        if life < known_life:
            raise DatagramRejected("former life")
        if life > known_life:
            highest, bits = 0, 0
        if number > highest:
            bits = (
                (bits << (number - highest) | 1) & ((1 << REORDER_WINDOW) - 1)
                if number - highest < REORDER_WINDOW
                else 1
            )
            highest = number
        else:
            back = highest - number
            if back >= REORDER_WINDOW or bits >> back & 1:
                raise DatagramRejected("replayed")
            bits |= 1 << back
        self._received[sender] = life, highest, bits
        return sender, body[HEADER.size :]
