"""Snapshots on disk: two are kept, each whole or not at all.

A snapshot is a magic line, its length, a `blake3` digest and msgpack. It is written beside the older of the
two and moved into its place, so that a kill at any byte leaves at least the other one.
"""

import os
import struct
from pathlib import Path
from typing import Any

import msgspec
from blake3 import blake3

MAGIC = b"ledgehitch quality 1\n"
HEAD = struct.Struct(">QI")  # serial number, length


class Keep:
    """Two files, `PATH.0` and `PATH.1`; the one with the higher serial that is whole counts."""

    def __init__(self, path: Path, private: bool = False) -> None:
        self.path, self.private = path, private
        self.serial = max((s for s, _ in self._whole()), default=0)

    def write(self, thing: Any) -> None:
        self.serial += 1
        body = msgspec.msgpack.encode(thing)
        head = HEAD.pack(self.serial, len(body))
        data = MAGIC + head + blake3(head + body).digest() + body
        slot = self.path.with_name(f"{self.path.name}.{self.serial % 2}")
        slot.parent.mkdir(parents=True, exist_ok=True)
        partly = slot.with_name(slot.name + ".new")
        mode = 0o600 if self.private else 0o644
        with open(os.open(partly, os.O_WRONLY | os.O_CREAT | os.O_TRUNC, mode), "wb") as file:
            file.write(data)
        os.replace(partly, slot)

    def read(self) -> Any:
        """What the newest whole snapshot holds; None without one."""
        found = sorted(self._whole(), key=lambda pair: pair[0])
        return msgspec.msgpack.decode(found[-1][1]) if found else None

    def _whole(self) -> list[tuple[int, bytes]]:
        found = []
        for n in (0, 1):
            try:
                data = self.path.with_name(f"{self.path.name}.{n}").read_bytes()
            except OSError:
                continue
            rest = data.removeprefix(MAGIC)
            head, digest, body = rest[: HEAD.size], rest[HEAD.size : HEAD.size + 32], rest[HEAD.size + 32 :]
            if len(rest) == len(data) or len(head) < HEAD.size:
                continue
            serial, length = HEAD.unpack(head)
            if len(body) == length and blake3(head + body).digest() == digest:
                found.append((serial, body))
        return found
