"""Snapshots on disk: the two latest are stored, each written atomically.

A snapshot consists of a magic line, a serial number and length, a `blake3` digest and msgpack data. It is
written to a temporary file that then replaces the older of the two, so that a crash at any byte leaves a
valid one.
"""

import os
import struct
from pathlib import Path
from typing import Any

import msgspec
from blake3 import blake3

MAGIC = b"ledgehitch quality 1\n"
FILE_IDENTITY = struct.Struct(">QQ")  # inode number, time of its last change in ns
HEAD = struct.Struct(">QI")  # serial number, length of the data


class SnapshotStore:
    """Two files, `PATH.0` and `PATH.1`; the valid one with the higher serial number is read.

    With `synced`, data survives a power failure, and there is only one file, since an older snapshot must
    never be read in place of a damaged newer one. `PATH.mark` then holds the inode number and the change time
    of the file, so that a restored copy is not mistaken for the latest snapshot (`read` returns None). A disk
    that is restored as a whole is not detected.
    """

    def __init__(self, path: Path, private: bool = False, synced: bool = False) -> None:
        self.path, self.private, self.synced = path, private, synced
        self.serial = max((s for s, _ in self._valid_snapshots()), default=0)

    def write(self, data: Any) -> None:
        self.serial += 1
        target = self.path.with_name(f"{self.path.name}.{0 if self.synced else self.serial % 2}")
        target.parent.mkdir(parents=True, exist_ok=True)
        temporary = target.with_name(target.name + ".new")
        self._write_file(temporary, self._encode(data), os.O_TRUNC)
        os.replace(temporary, target)
        if self.synced:
            directory = os.open(target.parent, os.O_RDONLY | os.O_DIRECTORY)
            try:
                os.fsync(directory)
            finally:
                os.close(directory)
            # After a crash before this line the file is ignored, since its mark does not match.
            self._write_file(self._mark_path, FILE_IDENTITY.pack(*self._identity(target)), 0)

    def _write_file(self, path: Path, data: bytes, flags: int) -> None:
        descriptor = os.open(path, os.O_WRONLY | os.O_CREAT | flags, 0o600 if self.private else 0o644)
        with open(descriptor, "wb") as file:
            file.write(data)
            if self.synced:
                file.flush()
                os.fsync(descriptor)

    @property
    def _mark_path(self) -> Path:
        return self.path.with_name(f"{self.path.name}.mark")

    @staticmethod
    def _identity(target: Path) -> tuple[int, int]:
        place = os.stat(target)
        return place.st_ino, place.st_ctime_ns

    def _encode(self, data: Any) -> bytes:
        body = msgspec.msgpack.encode(data)
        head = HEAD.pack(self.serial, len(body))
        return MAGIC + head + blake3(head + body).digest() + body

    def read(self) -> Any:
        """Returns the data of the latest valid snapshot, or None."""
        found = sorted(self._valid_snapshots(), key=lambda pair: pair[0])
        if not found:
            return None
        if self.synced and not self._mark_matches():
            return None
        return msgspec.msgpack.decode(found[-1][1])

    def _mark_matches(self) -> bool:
        """Returns whether the mark matches the file."""
        try:
            mark = self._mark_path.read_bytes()
            return mark == FILE_IDENTITY.pack(*self._identity(self.path.with_name(f"{self.path.name}.0")))
        except OSError:
            return False

    def _valid_snapshots(self) -> list[tuple[int, bytes]]:
        """Returns the serial number and data of each valid snapshot."""
        found = []
        for n in (0,) if self.synced else (0, 1):
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
