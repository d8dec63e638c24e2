"""A daemon's place on disk: one directory, one process at a time, sockets and files nobody else may read."""

import fcntl
import os
from pathlib import Path

from ledgehitch.config import BadInput


class Place:
    """`DIR/NAME.lock` is held for as long as the process lives and names it; a lock that nobody holds is what
    a killed process left behind, and is taken over."""

    def __init__(self, directory: Path, name: str) -> None:
        self.directory, self.name = directory, name
        try:
            directory.mkdir(parents=True, exist_ok=True, mode=0o700)
            self._fd = os.open(directory / f"{name}.lock", os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)
        except OSError as problem:
            raise BadInput(f"{directory}: no place for the daemon's state: {problem.strerror}") from None
        self.stale = 0  # the process that held it last and did not let it go
        try:
            fcntl.flock(self._fd, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError:
            pid = self._read()
            os.close(self._fd)
            raise BadInput(f"{directory}: gateway {name} runs already, as process {pid or '?'}") from None
        self.stale = self._read()
        self._write(str(os.getpid()))

    def _read(self) -> int:
        text = os.pread(self._fd, 32, 0).decode("ascii", "replace").strip()
        return int(text) if text.isdigit() else 0

    def _write(self, text: str) -> None:
        os.ftruncate(self._fd, 0)
        os.pwrite(self._fd, text.encode(), 0)

    @property
    def admin(self) -> Path:
        return self.directory / f"{self.name}.admin"

    def release(self) -> None:
        """At an orderly end: the next one finds nothing stale."""
        if self._fd >= 0:
            self._write("")
            self.admin.unlink(missing_ok=True)
            os.close(self._fd)
            self._fd = -1


def holder(directory: Path, name: str) -> int:
    """The process that holds the place; 0 if none does."""
    try:
        fd = os.open(directory / f"{name}.lock", os.O_RDWR | os.O_CLOEXEC)
    except OSError:
        return 0
    try:
        fcntl.flock(fd, fcntl.LOCK_SH | fcntl.LOCK_NB)
    except OSError:
        text = os.pread(fd, 32, 0).decode("ascii", "replace").strip()
        return int(text) if text.isdigit() else -1
    finally:
        os.close(fd)
    return 0
