"""Tapes: trace files with one JSON object per line, written by the simulated peers of the gateways.

Every line has `t` (seconds of the machine's monotonic clock) and `ev`. Written by viewers:
    ask       conn, who, package, title, gateway, patience, offer (digest): a complete request was sent
    answer    conn, status, kind (plays, blocked, aborted, other), extra (bytes after the answer)
    hangup    conn: the viewer closed the connection before an answer
    broken    conn: the connection ended or was reset before an answer
Written by media hosts:
    started   host, slots: a process started, cold
    down      host: its process is gone
    fell      host: it was overloaded while cold and failed
    setup     host, id, key (gateway.boot.vw.number), gateway, package, title, rung: a tune-in arrived
    setup_out id, status: the tune-in was answered
    setup_gone id: the gateway closed the tune-in's connection, or the connection was lost
    stop      id: the session that the tune-in had set up has ended
    rung      id, rung: the rung was changed
Written by the list service:
    told      gateway, host, state: sent on the stream to that gateway
Written by the process that runs the day:
    gateway   gateway, how (up, killed, still: stopped, goes_on: continued)
"""

import io
import time
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import msgspec

_encode = msgspec.json.Encoder().encode


class Tape:
    """Writes lines to a file, buffered. Call `flush` before the file is read or the process ends."""

    def __init__(self, path: Path | None) -> None:
        self._file: io.BufferedWriter | None = None
        if path is not None:
            path.parent.mkdir(parents=True, exist_ok=True)
            self._file = open(path, "ab")  # noqa: SIM115

    def write(self, ev: str, **fields: Any) -> None:
        if self._file is not None:
            self._file.write(_encode({"t": time.monotonic(), "ev": ev, **fields}) + b"\n")

    def flush(self) -> None:
        if self._file is not None:
            self._file.flush()

    def close(self) -> None:
        if self._file is not None:
            self._file.close()
            self._file = None


class Line(dict[str, Any]):
    """One line of a tape; `at` is its file and line number."""

    at: str = ""


def read_tapes(directory: Path) -> list[Line]:
    """Returns all lines of a directory's tapes (`*.tape`) in order of time, without an incomplete last
    line."""
    found: list[Line] = []
    for path in sorted(directory.glob("*.tape")):
        found += _read_tape(path)
    found.sort(key=lambda line: line["t"])
    return found


def _read_tape(path: Path) -> Iterator[Line]:
    with open(path, "rb") as file:
        for number, raw in enumerate(file, 1):
            if not raw.endswith(b"\n"):
                return
            line = Line(msgspec.json.decode(raw))
            line.at = f"{path.name}:{number}"
            yield line
