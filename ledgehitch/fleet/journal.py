"""What a plan has done, on disk before it is done: appended, checksummed in a chain, synced.

The first line is the plan. A line that was cut off by a kill or a full disk is dropped, since nothing was
done on its word; one that is wrong in the middle is an error, since what follows cannot be believed.
"""

import fcntl
import json
import os
from collections.abc import Mapping
from pathlib import Path
from typing import Any

import msgspec
from blake3 import blake3

from ledgehitch.config import BadInput
from ledgehitch.fleet.plan import Plan

CHECKSUM_DIGITS = 16  # hexadecimal digits


class Journal:
    """Opened for writing: one tool at a time for each fleet (`lock` says of which)."""

    def __init__(self, path: Path, lock: Path) -> None:
        self.path = path
        path.parent.mkdir(parents=True, exist_ok=True)
        self._lock = os.open(lock, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)
        try:
            fcntl.flock(self._lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError:
            who = os.pread(self._lock, 200, 0).decode("utf-8", "replace").strip()
            os.close(self._lock)
            raise BadInput(f"another tool works on this fleet: {who or 'unknown'}") from None
        os.ftruncate(self._lock, 0)
        os.pwrite(self._lock, f"process {os.getpid()}, journal {path}".encode(), 0)
        self._fd = os.open(path, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)
        self.lines, self._sum, whole = _decode(os.pread(self._fd, os.fstat(self._fd).st_size, 0), path)
        os.ftruncate(self._fd, whole)  # a line that was cut off
        self._size = whole

    def append(self, line: Mapping[str, Any]) -> None:
        """The line is on disk when this returns; else it is not there, and nothing may be done on it."""
        text = json.dumps(line, sort_keys=True, separators=(",", ":"))
        new = _checksum(self._sum, text)
        data = f"{new} {text}\n".encode()
        try:
            written = os.pwrite(self._fd, data, self._size)
            if written != len(data):
                raise OSError(28, "No space left on device")
            os.fsync(self._fd)
        except OSError as problem:
            os.ftruncate(self._fd, self._size)
            raise BadInput(
                f"{self.path}: the journal cannot be written, nothing more is done: {problem.strerror}"
            ) from None
        self._sum, self._size = new, self._size + len(data)
        self.lines.append(dict(line))

    def close(self) -> None:
        os.close(self._fd)
        os.ftruncate(self._lock, 0)
        os.close(self._lock)


def _checksum(before: str, text: str) -> str:
    return blake3(f"{before} {text}".encode()).hexdigest()[:CHECKSUM_DIGITS]


def _decode(data: bytes, path: Path) -> tuple[list[dict[str, Any]], str, int]:
    """Lines, the sum of the last and where it ends."""
    lines: list[dict[str, Any]] = []
    last, at = "", 0
    for raw in data.splitlines(keepends=True):
        text = raw.decode("utf-8", "replace")
        found, _, rest = text.rstrip("\n").partition(" ")
        if not text.endswith("\n") or found != _checksum(last, rest):
            if at + len(raw) >= len(data):
                break  # cut off as it was written
            raise BadInput(f"{path}:{len(lines) + 1}: the line does not fit its checksum, it is damaged")
        lines.append(json.loads(rest))
        last, at = found, at + len(raw)
    return lines, last, at


def read_lines(path: Path) -> list[dict[str, Any]]:
    """The whole lines of a journal, for reading alone."""
    try:
        return _decode(path.read_bytes(), path)[0]
    except OSError as problem:
        raise BadInput(f"{path}: no journal: {problem.strerror}") from None


def plan_at_head(lines: list[dict[str, Any]], path: Path) -> Plan:
    """The plan at its head."""
    try:
        return msgspec.convert(lines[0]["plan"], Plan)
    except (IndexError, KeyError, msgspec.ValidationError) as wrong:
        raise BadInput(f"{path}: no plan at its head: {wrong}") from None


def head_line(plan: Plan) -> dict[str, Any]:
    return {"ev": "plan", "plan": msgspec.to_builtins(plan)}


def unfinished_journals(directory: Path) -> list[Path]:
    """Journals of plans that are not at their end, newest last."""
    found = []
    for path in sorted(directory.glob("*.journal")):
        lines = read_lines(path)
        if lines and not any(line.get("ev") in ("ended", "given up") for line in lines):
            found.append(path)
    return found
