"""A log file that is reopened on a signal, so that it can be rotated."""

import os
import sys
from pathlib import Path


class LogFile:
    """The file that `structlog` writes to, or standard error if `path` is None."""

    def __init__(self, path: Path | None) -> None:
        self.path = path
        self._descriptor = self._open()

    def _open(self) -> int:
        if self.path is None:
            return sys.stderr.fileno()
        return os.open(self.path, os.O_WRONLY | os.O_CREAT | os.O_APPEND | os.O_CLOEXEC, 0o640)

    def write(self, text: str) -> int:
        """Writes a text and returns the number of bytes written, 0 after an error."""
        try:
            return os.write(self._descriptor, text.encode())
        except OSError:
            return 0  # a full disk must not end viewings

    def flush(self) -> None:
        """Does nothing: writes are not buffered."""

    def reopen(self) -> None:
        """Continues in a new file of the same name; in the old one if that cannot be opened."""
        if self.path is None:
            return
        try:
            descriptor = self._open()
        except OSError as problem:
            self.write(f"{self.path}: not reopened: {problem.strerror}\n")
            return
        os.close(self._descriptor)
        self._descriptor = descriptor
