"""A log file that is opened anew on a signal, so that whoever rotates it can move it away."""

import os
import sys
from pathlib import Path


class LogFile:
    """What `structlog` writes to: a file, or standard error where none is named."""

    def __init__(self, path: Path | None) -> None:
        self.path = path
        self._file = self._opened()

    def _opened(self) -> int:
        if self.path is None:
            return sys.stderr.fileno()
        return os.open(self.path, os.O_WRONLY | os.O_CREAT | os.O_APPEND | os.O_CLOEXEC, 0o640)

    def write(self, text: str) -> int:
        try:
            return os.write(self._file, text.encode())
        except OSError:
            return 0  # a full disk must not end viewings

    def flush(self) -> None:
        """Nothing is held back."""

    def reopen(self) -> None:
        """Goes on with a new file under the same name; with the old one where that cannot be opened."""
        if self.path is None:
            return
        try:
            new = self._opened()
        except OSError as problem:
            self.write(f"{self.path}: not opened anew: {problem.strerror}\n")
            return
        os.close(self._file)
        self._file = new
