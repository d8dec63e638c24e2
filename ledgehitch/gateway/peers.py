"""Messages between gateways as datagrams: bounded, keyed by `blake3`, replay-safe. Free of I/O."""

import struct
from collections.abc import Sequence

from blake3 import blake3

HEAD = struct.Struct(">4sHHQQd")  # mark, from, to, life of the sender, number in it, wall clock at sending
MARK = b"LH1\x00"
MAC = 16
MOST = 1200  # bytes of a datagram
FRESH = 5.0  # seconds by which the clocks of two gateways may differ, with the way between them
WINDOW = 64  # datagrams that may overtake one another


class Refusal(Exception):
    """Why a datagram was not taken; the words are the names of the counters."""


class Peers:
    """Frames of one gateway. The first key of the ring signs, all are taken. `life` rises with each start
    (its wall clock in ns does)."""

    def __init__(self, ring: Sequence[bytes], me: int, life: int) -> None:
        if not ring or any(len(key) != 32 for key in ring):
            raise ValueError("a peer key has 32 bytes")
        self._ring, self.me, self.life = list(ring), me, life
        self._sent = 0
        self._seen: dict[int, tuple[int, int, int]] = {}  # by sender: life, highest number, bits under it
        self.refused: dict[str, int] = {}

    def frame(self, wall: float, to: int, words: bytes) -> bytes:
        if len(words) > MOST - HEAD.size - MAC:
            raise ValueError(f"{len(words)} bytes do not fit into a datagram")
        self._sent += 1
        body = HEAD.pack(MARK, self.me, to, self.life, self._sent, wall) + words
        return body + blake3(body, key=self._ring[0]).digest(MAC)

    def words(self, wall: float, data: bytes) -> tuple[int, bytes]:
        """Who said what; raises `Refusal` and counts it."""
        try:
            return self._words(wall, data)
        except Refusal as why:
            self.refused[str(why)] = self.refused.get(str(why), 0) + 1
            raise

    def _words(self, wall: float, data: bytes) -> tuple[int, bytes]:
        if not HEAD.size + MAC <= len(data) <= MOST:
            raise Refusal("size")
        body, mac = data[:-MAC], data[-MAC:]
        mark, sender, to, life, number, sent_at = HEAD.unpack_from(body)
        if mark != MARK:
            raise Refusal("mark")
        if all(blake3(body, key=key).digest(MAC) != mac for key in self._ring):
            raise Refusal("mac")
        if to != self.me or sender == self.me:
            raise Refusal("address")
        if not abs(wall - sent_at) <= FRESH:
            raise Refusal("stale")
        known_life, highest, bits = self._seen.get(sender, (0, 0, 0))
        if life < known_life:
            raise Refusal("former life")
        if life > known_life:
            highest, bits = 0, 0
        if number > highest:
            bits = (bits << (number - highest) | 1) & ((1 << WINDOW) - 1) if number - highest < WINDOW else 1
            highest = number
        else:
            back = highest - number
            if back >= WINDOW or bits >> back & 1:
                raise Refusal("replayed")
            bits |= 1 << back
        self._seen[sender] = life, highest, bits
        return sender, body[HEAD.size :]
