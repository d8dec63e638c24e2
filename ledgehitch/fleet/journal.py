"""Write-ahead journal of a plan: lines with chained checksums, synced before the step is carried out.

The first line is the plan. An incomplete last line (the tool was killed, or the disk was full) is dropped,
since its step was not carried out. A damaged line before the end is an error, as the rest cannot be trusted.
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
    """A journal open for writing. `lock`: file that lets one tool at a time change a fleet.

    Raises `BadInput` if another tool holds the lock or the journal is damaged.
    """

    def __init__(self, path: Path, lock: Path) -> None:
        self.path = path
        path.parent.mkdir(parents=True, exist_ok=True)
        self._lock = os.open(lock, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)
        try:
            fcntl.flock(self._lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError:
            holder = os.pread(self._lock, 200, 0).decode("utf-8", "replace").strip()
            os.close(self._lock)
            raise BadInput(f"another tool is changing this fleet: {holder or 'unknown'}") from None
        os.ftruncate(self._lock, 0)
        os.pwrite(self._lock, f"process {os.getpid()}, journal {path}".encode(), 0)
        self._fd = os.open(path, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)
        self.lines, self._last_checksum, valid_size = _decode(
            os.pread(self._fd, os.fstat(self._fd).st_size, 0), path
        )
        os.ftruncate(self._fd, valid_size)  # an incomplete last line
        self._size = valid_size

    def append(self, line: Mapping[str, Any]) -> None:
        """Appends and syncs a line.

        Raises `BadInput` if it is not on disk; its step must not be carried out then.
        """
        text = json.dumps(line, sort_keys=True, separators=(",", ":"))
        checksum = _checksum(self._last_checksum, text)
        data = f"{checksum} {text}\n".encode()
        try:
            written = os.pwrite(self._fd, data, self._size)
            if written != len(data):
                raise OSError(28, "No space left on device")
            os.fsync(self._fd)
        except OSError as error:
            os.ftruncate(self._fd, self._size)
            raise BadInput(
                f"{self.path}: cannot write the journal, no further step is carried out: {error.strerror}"
            ) from None
        self._last_checksum, self._size = checksum, self._size + len(data)
        self.lines.append(dict(line))

    def close(self) -> None:
        os.close(self._fd)
        os.ftruncate(self._lock, 0)
        os.close(self._lock)


def _checksum(previous: str, text: str) -> str:
    return blake3(f"{previous} {text}".encode()).hexdigest()[:CHECKSUM_DIGITS]


def _decode(data: bytes, path: Path) -> tuple[list[dict[str, Any]], str, int]:
    """Returns the lines, the checksum of the last and the offset of its end."""
    lines: list[dict[str, Any]] = []
    checksum, offset = "", 0
    for raw in data.splitlines(keepends=True):
        text = raw.decode("utf-8", "replace")
        found, _, rest = text.rstrip("\n").partition(" ")
        if not text.endswith("\n") or found != _checksum(checksum, rest):
            if offset + len(raw) >= len(data):
                break  # incomplete last line
            raise BadInput(f"{path}:{len(lines) + 1}: checksum mismatch, the line is damaged")
        lines.append(json.loads(rest))
        checksum, offset = found, offset + len(raw)
    return lines, checksum, offset


def read_lines(path: Path) -> list[dict[str, Any]]:
    """Returns the complete lines of a journal without opening it for writing."""
    try:
        return _decode(path.read_bytes(), path)[0]
    except OSError as error:
        raise BadInput(f"{path}: cannot read the journal: {error.strerror}") from None


def plan_at_head(lines: list[dict[str, Any]], path: Path) -> Plan:
    """Returns the plan in the first line of a journal."""
    try:
        return msgspec.convert(lines[0]["plan"], Plan)
    except (IndexError, KeyError, msgspec.ValidationError) as error:
        raise BadInput(f"{path}: no plan in the first line: {error}") from None


def head_line(plan: Plan) -> dict[str, Any]:
    """Returns the first line of the journal of a plan."""
    return {"ev": "plan", "plan": msgspec.to_builtins(plan)}


def unfinished_journals(directory: Path) -> list[Path]:
    """Returns the journals of plans that have not ended, newest last."""
    found = []
    for path in sorted(directory.glob("*.journal")):
        lines = read_lines(path)
        if lines and not any(line.get("ev") in ("ended", "given up") for line in lines):
            found.append(path)
    return found
