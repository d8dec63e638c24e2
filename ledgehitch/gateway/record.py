"""The flight recorder: writes every input and decision of the module to a bounded, rotated binary record.

A record consists of segments `NAME.000001`, `NAME.000002`, ... Each starts with a magic line, a head with
versions and a checkpoint of the module. Its entries are framed as length, CRC-32 and msgpack. The oldest
segments are removed; each segment can be replayed from its own checkpoint. An entry cut off by a crash is
skipped in reading.
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
    """Raised for a file that is not a flight record, or that has another version of the format."""


def module_digest() -> str:
    return hashlib.sha256(Path(brain_file.__file__ or "").read_bytes()).hexdigest()[:16]


def encode_decision(decision: Any) -> list[Any]:
    """Returns a decision as it is recorded: the name of its class, then its fields in order."""
    return [type(decision).__name__, *astuple(decision)]


class Recorder:
    """Writes a record of up to `max_segments` segments, each with up to `segment_bytes` of entries."""

    def __init__(self, path: Path, segment_bytes: int = 16 << 20, max_segments: int = 4) -> None:
        self.path, self.segment_bytes, self.max_segments = path, segment_bytes, max(1, max_segments)
        self._encode = msgspec.msgpack.Encoder().encode
        self._number = max([_segment_number(p) for p in segment_paths(path)], default=0)
        self._file: io.BufferedWriter | None = None
        self._size = 0

    def start_segment(self, gateway: Gateway) -> None:
        """Starts a segment with a checkpoint of the module. Must not be called during a pull."""
        if self._file is not None:
            self._file.close()
        self._number += 1
        self.path.parent.mkdir(parents=True, exist_ok=True)
        self._file = open(f"{self.path}.{self._number:06}", "xb")  # noqa: SIM115
        self._file.write(MAGIC)
        self._write(["head", ledgehitch.__version__, module_digest(), sys.version.split()[0]])
        self._write(["state", dump_checkpoint(gateway)])
        # The checkpoint is not counted: one larger than a segment would start a new segment at every entry.
        self._size = 0
        for old in segment_paths(self.path)[: -self.max_segments]:
            old.unlink(missing_ok=True)
        self.flush()

    def append(self, gateway: Gateway, name: str, args: Sequence[Any]) -> None:
        # A checkpoint holds the module as it was before the entry that follows. A pull is recorded only after
        # it has changed the module, so that no segment may start with it.
        if self._file is None:
            return  # closed: inputs during the gateway's shutdown are not recorded
        if self._size >= self.segment_bytes and name != "pulled":
            self.start_segment(gateway)
        self._write([name, *args])

    def _write(self, entry: list[Any]) -> None:
        assert self._file is not None
        data = self._encode(entry)
        self._file.write(ENTRY_HEADER.pack(len(data), zlib.crc32(data)) + data)
        self._size += ENTRY_HEADER.size + len(data)

    def flush(self) -> None:
        """Hands buffered entries to the operating system, so that they survive a crash of this process."""
        if self._file is not None:
            self._file.flush()

    def close(self) -> None:
        if self._file is not None:
            self._file.close()
            self._file = None


def segment_paths(path: Path) -> list[Path]:
    """Returns the segments of a record, oldest first; the path of a segment gives that one alone."""
    if path.is_file():
        return [path]
    return sorted(p for p in path.parent.glob(path.name + ".*") if p.suffix[1:].isdigit())


def _segment_number(path: Path) -> int:
    return int(path.suffix[1:])


def read_entries(path: Path) -> Iterator[list[Any]]:
    """Yields the complete entries of a segment; stops at one that is cut off or damaged."""
    with open(path, "rb") as file:
        if file.read(len(MAGIC)) != MAGIC:
            raise BadRecord(f"{path}: not a flight record, or of another version of the format")
        while len(head := file.read(ENTRY_HEADER.size)) == ENTRY_HEADER.size:
            size, crc = ENTRY_HEADER.unpack(head)
            data = file.read(size) if size <= MAX_ENTRY_BYTES else b""
            if len(data) < size or zlib.crc32(data) != crc:
                return
            yield msgspec.msgpack.decode(data)


# ---- checkpoints -------------------------------------------------------------------------------------------


def dump_checkpoint(gateway: Gateway) -> bytes:
    if gateway.plan is not None:
        raise ValueError("cannot checkpoint the module during a pull of decisions")
    limit = sys.getrecursionlimit()
    try:
        sys.setrecursionlimit(max(limit, 20000))  # viewings and hosts refer to each other in long chains
        return pickle.dumps(gateway, protocol=4)
    finally:
        sys.setrecursionlimit(limit)


class _CheckpointUnpickler(pickle.Unpickler):
    """Loads the module's own classes and nothing else, since a record may come from an untrusted source."""

    ALLOWED = {("random", "Random"): random.Random, ("collections", "deque"): deque}

    def find_class(self, module: str, name: str) -> Any:
        found = self.ALLOWED.get((module, name))
        if found is None and module in (brain_file.__name__, interface.__name__) and "." not in name:
            found = getattr(sys.modules[module], name, None)
            if not isinstance(found, type) or found.__module__ != module:
                found = None
        if found is None:
            raise BadRecord(f"the checkpoint refers to {module}.{name}, which is not a class of the module")
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
    ) as error:
        raise BadRecord(f"cannot read the checkpoint: {error}") from None
    if not isinstance(gateway, Gateway):
        raise BadRecord("the checkpoint does not hold a decision module")
    return gateway
