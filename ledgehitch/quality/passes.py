"""Authorisation of reports: expiring tokens signed with keyed `blake3`, and key rotation. Free of I/O."""

import base64
import struct
from dataclasses import dataclass
from typing import Any

import msgspec
from blake3 import blake3

from ledgehitch.quality.facts import ViewingRecord

HEAD = struct.Struct(">HId")  # key number, length of the viewing's name, expiry (wall clock)
MAC_BYTES = 16
TOKEN_LIFETIME_S = 6 * 3600.0  # lifetime of a token in seconds
KEY_OVERLAP_S = 12 * 3600.0  # seconds for which a key verifies tokens after it was replaced


class InvalidToken(ValueError):
    """A rejected token; the text gives the reason."""


@dataclass(frozen=True)
class Key:
    """A signing key, valid up to `until` (wall clock)."""

    number: int
    secret: bytes
    since: float
    until: float = float("inf")


class ReportTokens:
    """Signs tokens with the newest key and verifies them with every valid key."""

    def __init__(self, first: bytes, now: float) -> None:
        self.keys = [Key(1, first, now)]

    def rotate(self, secret: bytes, now: float) -> None:
        """Signs with a new key from now on; the old one verifies for another `KEY_OVERLAP_S` seconds."""
        old = self.keys[-1]
        self.keys[-1] = Key(old.number, old.secret, old.since, now + KEY_OVERLAP_S)
        self.keys = [k for k in self.keys if k.until > now] + [Key(old.number + 1, secret, now)]

    def snapshot(self) -> Any:
        """Returns the keys, so that tokens survive a restart; the file that holds them must be private."""
        return msgspec.to_builtins(self.keys, builtin_types=(bytes,))

    def restore(self, snapshot: Any, now: float) -> None:
        """Replaces the first key by those of a snapshot, without expired ones."""
        keys = [k for k in msgspec.convert(snapshot, list[Key]) if k.until > now]
        if keys:
            self.keys = keys

    def issue(self, now: float, viewing: str, seen: ViewingRecord | None = None) -> str:
        """Returns a token for reports on this viewing; it carries `seen` in plain text, and is signed."""
        key = self.keys[-1]
        name = viewing.encode()
        body = HEAD.pack(key.number, len(name), now + TOKEN_LIFETIME_S) + name + msgspec.msgpack.encode(seen)
        return base64.urlsafe_b64encode(body + self._mac(key, body)).decode().rstrip("=")

    def check(self, now: float, token: str, viewing: str) -> ViewingRecord | None:
        """Returns what the token carries; raises `InvalidToken` unless it is valid for this viewing."""
        try:
            raw = base64.urlsafe_b64decode(token + "=" * (-len(token) % 4))
            number, size, until = HEAD.unpack_from(raw)
        except (ValueError, struct.error):
            raise InvalidToken("it is no token of ours") from None
        body, mac = raw[:-MAC_BYTES], raw[-MAC_BYTES:]
        key = next((k for k in self.keys if k.number == number and k.until > now), None)
        if key is None:
            raise InvalidToken("its key is not used any more")
        if self._mac(key, body) != mac:
            raise InvalidToken("it was not issued here")
        if body[HEAD.size : HEAD.size + size] != viewing.encode():
            raise InvalidToken("it is for another viewing")
        if now >= until:
            raise InvalidToken("it has expired")
        return msgspec.msgpack.decode(body[HEAD.size + size :], type=ViewingRecord | None)

    @staticmethod
    def _mac(key: Key, body: bytes) -> bytes:
        return blake3(body, key=key.secret).digest(MAC_BYTES)
