"""The flight recorder: every input and decision of the module in a bounded, rotated binary record.

A record is segments `NAME.000001`, `NAME.000002`, ... Each starts with a magic line and a head (versions,
seed and facts), then a checkpoint of the module, and holds entries framed as length, CRC-32 and msgpack. The
oldest segments are removed; any one segment can be replayed from its checkpoint. An entry cut off by a crash
is left out in reading.
"""

import hashlib
import io
import pickle
import random
import struct
import sys
import zlib
from collections import deque
from collections.abc import Iterator, Sequence
from dataclasses import astuple
from pathlib import Path
from typing import Any

import msgspec

import ledgehitch
from ledgehitch import brain as brain_file
from ledgehitch import interface
from ledgehitch.brain import Gateway
from ledgehitch.config.read import BadInput

MAGIC = b"ledgehitch record 1\n"
ENTRY_HEADER = struct.Struct(">II")
MAX_ENTRY_BYTES = 1 << 28


class BadRecord(BadInput):
    """A file that is no record, or of another version of the format."""


def module_digest() -> str:
    return hashlib.sha256(Path(brain_file.__file__ or "").read_bytes()).hexdigest()[:16]


def encode_decision(decision: Any) -> list[Any]:
    """A decision as it stands in the record: its name and its fields."""
    return [type(decision).__name__, *astuple(decision)]


class Recorder:
    """Writes entries; `segment` bounds the bytes of entries behind a checkpoint, `keep` the segments."""

    def __init__(self, path: Path, segment_bytes: int = 16 << 20, max_segments: int = 4) -> None:
        self.path, self.segment_bytes, self.max_segments = path, segment_bytes, max(1, max_segments)
        self._encode = msgspec.msgpack.Encoder().encode
        self._number = max([_segment_number(p) for p in segment_paths(path)], default=0)
        self._file: io.BufferedWriter | None = None
        self._size = 0

    def start_segment(self, gateway: Gateway) -> None:
        """Starts a segment with the module as it is now (between pulls)."""
        if self._file is not None:
            self._file.close()
        self._number += 1
        self.path.parent.mkdir(parents=True, exist_ok=True)
        self._file = open(f"{self.path}.{self._number:06}", "xb")  # noqa: SIM115
        self._file.write(MAGIC)
        self._write(["head", ledgehitch.__version__, module_digest(), sys.version.split()[0]])
        self._write(["state", dump_checkpoint(gateway)])
        # Guards against a checkpoint larger than a segment starting a new one at every entry.
        self._size = 0
        for old in segment_paths(self.path)[: -self.max_segments]:
            old.unlink(missing_ok=True)
        self.flush()

    def append(self, gateway: Gateway, name: str, args: Sequence[Any]) -> None:
        # A checkpoint is the module before the entry that follows it; a pull is noted when it is over.
        if self._file is None:
            return  # closed: what still comes as the gateway ends is not part of the record
        if self._size >= self.segment_bytes and name != "pulled":
            self.start_segment(gateway)
        self._write([name, *args])

    def _write(self, thing: list[Any]) -> None:
        assert self._file is not None
        data = self._encode(thing)
        self._file.write(ENTRY_HEADER.pack(len(data), zlib.crc32(data)) + data)
        self._size += ENTRY_HEADER.size + len(data)

    def flush(self) -> None:
        """Hands what is buffered to the operating system, which keeps it if this process dies."""
        if self._file is not None:
            self._file.flush()

    def close(self) -> None:
        if self._file is not None:
            self._file.close()
            self._file = None


def segment_paths(path: Path) -> list[Path]:
    """The segments of a record, oldest first; a segment's own path stands for itself alone."""
    if path.is_file():
        return [path]
    return sorted(p for p in path.parent.glob(path.name + ".*") if p.suffix[1:].isdigit())


def _segment_number(path: Path) -> int:
    return int(path.suffix[1:])


def read_entries(path: Path) -> Iterator[list[Any]]:
    """The whole entries of a segment, up to where it was cut off."""
    with open(path, "rb") as file:
        if file.read(len(MAGIC)) != MAGIC:
            raise BadRecord(f"{path}: not a record of this version")
        while len(head := file.read(ENTRY_HEADER.size)) == ENTRY_HEADER.size:
            size, crc = ENTRY_HEADER.unpack(head)
            data = file.read(size) if size <= MAX_ENTRY_BYTES else b""
            if len(data) < size or zlib.crc32(data) != crc:
                return
            yield msgspec.msgpack.decode(data)


# ---- the module as bytes -----------------------------------------------------------------------------------


def dump_checkpoint(gateway: Gateway) -> bytes:
    if gateway.plan is not None:
        raise ValueError("the module is in the middle of a pull")
    limit = sys.getrecursionlimit()
    try:
        sys.setrecursionlimit(max(limit, 20000))  # viewings and hosts refer to one another in long chains
        return pickle.dumps(gateway, protocol=4)
    finally:
        sys.setrecursionlimit(limit)


class _CheckpointUnpickler(pickle.Unpickler):
    """Takes the module's own classes and nothing else: a record may come from anywhere."""

    ALLOWED = {("random", "Random"): random.Random, ("collections", "deque"): deque}

    def find_class(self, module: str, name: str) -> Any:
        found = self.ALLOWED.get((module, name))
        if found is None and module in (brain_file.__name__, interface.__name__) and "." not in name:
            found = getattr(sys.modules[module], name, None)
            if not isinstance(found, type) or found.__module__ != module:
                found = None
        if found is None:
            raise BadRecord(f"a record that asks for {module}.{name} is not one of ours")
        return found


def load_checkpoint(data: bytes) -> Gateway:
    try:
        gateway = _CheckpointUnpickler(io.BytesIO(data)).load()
    except (
        pickle.UnpicklingError,
        EOFError,
        AttributeError,
        TypeError,
        ValueError,
        IndexError,
        KeyError,
    ) as e:
        raise BadRecord(f"the checkpoint does not read: {e}") from None
    if not isinstance(gateway, Gateway):
        raise BadRecord("the checkpoint holds no module")
    return gateway
