"""Messages between gateways as datagrams: bounded, keyed by `blake3`, replay-safe. Free of I/O."""

import struct
from collections.abc import Sequence

from blake3 import blake3

HEADER = struct.Struct(">4sHHQQd")  # mark, from, to, life of the sender, number in it, wall clock at sending
MAGIC = b"LH1\x00"
MAC_BYTES = 16
MAX_DATAGRAM_BYTES = 1200  # bytes of a datagram
MAX_CLOCK_DIFFERENCE_S = (
    5.0  # seconds by which the clocks of two gateways may differ, with the way between them
)
REORDER_WINDOW = 64  # datagrams that may overtake one another


class DatagramRejected(Exception):
    """Why a datagram was not taken; the words are the names of the counters."""


class PeerCodec:
    """Frames of one gateway. The first key of the ring signs, all are taken. `life` rises with each start
    (its wall clock in ns does)."""

    def __init__(self, ring: Sequence[bytes], me: int, life: int) -> None:
        if not ring or any(len(key) != 32 for key in ring):
            raise ValueError("a peer key has 32 bytes")
        self._keys, self.index, self.life = list(ring), me, life
        self._sent = 0
        self._received: dict[int, tuple[int, int, int]] = {}  # by sender: life, highest number, bits under it
        self.rejected: dict[str, int] = {}

    def frame(self, wall: float, to: int, words: bytes) -> bytes:
        if len(words) > MAX_DATAGRAM_BYTES - HEADER.size - MAC_BYTES:
            raise ValueError(f"{len(words)} bytes do not fit into a datagram")
        self._sent += 1
        body = HEADER.pack(MAGIC, self.index, to, self.life, self._sent, wall) + words
        return body + blake3(body, key=self._keys[0]).digest(MAC_BYTES)

    def unframe(self, wall: float, data: bytes) -> tuple[int, bytes]:
        """Who said what; raises `Refusal` and counts it."""
        try:
            return self._unframe(wall, data)
        except DatagramRejected as why:
            self.rejected[str(why)] = self.rejected.get(str(why), 0) + 1
            raise

    def _unframe(self, wall: float, data: bytes) -> tuple[int, bytes]:
        if not HEADER.size + MAC_BYTES <= len(data) <= MAX_DATAGRAM_BYTES:
            raise DatagramRejected("size")
        body, mac = data[:-MAC_BYTES], data[-MAC_BYTES:]
        mark, sender, to, life, number, sent_at = HEADER.unpack_from(body)
        if mark != MAGIC:
            raise DatagramRejected("mark")
        if all(blake3(body, key=key).digest(MAC_BYTES) != mac for key in self._keys):
            raise DatagramRejected("mac")
        if to != self.index or sender == self.index:
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
