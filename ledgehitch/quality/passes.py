"""Who may report on which viewing: tokens by keyed `blake3` that expire, keys that rotate. Free of I/O."""

import base64
import struct
from dataclasses import dataclass
from typing import Any

import msgspec
from blake3 import blake3

from ledgehitch.quality.facts import Seen

HEAD = struct.Struct(">HId")  # key number, length of the viewing's name, when it expires (wall clock)
MAC = 16
VALID = 6 * 3600.0  # seconds that a token holds
OVERLAP = 12 * 3600.0  # seconds that a key still checks tokens after another took its place


class BadPass(ValueError):
    """A token that is refused; the text says why."""


@dataclass(frozen=True)
class Key:
    number: int
    secret: bytes
    since: float
    until: float = float("inf")


class Passes:
    """Signs with the newest key, checks with every key that still holds."""

    def __init__(self, first: bytes, now: float) -> None:
        self.keys = [Key(1, first, now)]

    def rotate(self, secret: bytes, now: float) -> None:
        old = self.keys[-1]
        self.keys[-1] = Key(old.number, old.secret, old.since, now + OVERLAP)
        self.keys = [k for k in self.keys if k.until > now] + [Key(old.number + 1, secret, now)]

    def frozen(self) -> Any:
        """The keys, for a file that nobody else reads: tokens outlive a restart."""
        return msgspec.to_builtins(self.keys, builtin_types=(bytes,))

    def thawed(self, held: Any, now: float) -> None:
        """Takes up kept keys in place of the first one; those that are over are left out."""
        keys = [k for k in msgspec.convert(held, list[Key]) if k.until > now]
        if keys:
            self.keys = keys

    def issue(self, now: float, viewing: str, seen: Seen | None = None) -> str:
        """A token for reports on this viewing; it carries what the gateway saw of it, readable and signed."""
        key = self.keys[-1]
        name = viewing.encode()
        body = HEAD.pack(key.number, len(name), now + VALID) + name + msgspec.msgpack.encode(seen)
        return base64.urlsafe_b64encode(body + self._mac(key, body)).decode().rstrip("=")

    def check(self, now: float, token: str, viewing: str) -> Seen | None:
        """What the token carries; raises `BadPass` unless it was issued for this viewing and still holds."""
        try:
            raw = base64.urlsafe_b64decode(token + "=" * (-len(token) % 4))
            number, size, until = HEAD.unpack_from(raw)
        except (ValueError, struct.error):
            raise BadPass("it is no token of ours") from None
        body, mac = raw[:-MAC], raw[-MAC:]
        key = next((k for k in self.keys if k.number == number and k.until > now), None)
        if key is None:
            raise BadPass("its key is not used any more")
        if self._mac(key, body) != mac:
            raise BadPass("it was not issued here")
        if body[HEAD.size : HEAD.size + size] != viewing.encode():
            raise BadPass("it is for another viewing")
        if now >= until:
            raise BadPass("it has expired")
        return msgspec.msgpack.decode(body[HEAD.size + size :], type=Seen | None)

    @staticmethod
    def _mac(key: Key, body: bytes) -> bytes:
        return blake3(body, key=key.secret).digest(MAC)
