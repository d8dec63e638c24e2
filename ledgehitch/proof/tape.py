"""What is written on a tape: one JSON object a line, at the stand-ins' ends of the sockets.

Every line has `t` (seconds of the machine's monotonic clock) and `ev`. At the viewers' end:
    ask       conn, who, package, title, gateway, patience, offer (digest): a whole request was sent
    answer    conn, status, kind (plays, blocked, aborted, other), extra (bytes after the answer)
    hangup    conn: the viewer closed before an answer
    broken    conn: the connection ended or was reset before an answer
At the media hosts' end:
    started   host, slots: a process began, cold
    down      host: its process is gone
    fell      host: it was pushed over while cold
    setup     host, id, key (gateway.boot.vw.number), gateway, package, title, rung: a tune-in came
    setup_out id, status: it was answered
    setup_gone id: the gateway closed it, or it was lost with a connection
    stop      id: what it had set up has ended
    rung      id, rung: the rung was changed
At the list service's end:
    told      gateway, host, state: written to that gateway's stream
By who runs the day:
    gateway   gateway, how (up, killed, still, goes_on)
"""

import io
import time
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import msgspec

_encode = msgspec.json.Encoder().encode


class Tape:
    """Writes lines to a file, buffered; `flush` before the file is read or the process ends."""

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
    """One line of a tape, and where it stands."""

    at: str = ""


def read_tapes(directory: Path) -> list[Line]:
    """All lines of a directory's tapes (`*.tape`) in the order of time; a last line cut off is left out."""
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
