"""The state directory of a daemon: locked by one process at a time, readable by its owner alone."""

import fcntl
import os
from pathlib import Path

from ledgehitch.config import BadInput


class Place:
    """The state directory, locked for the life of the process.

    `DIR/NAME.lock` contains the process id. A lock file that no process holds was left by a killed process
    and is taken over.
    """

    def __init__(self, directory: Path, name: str) -> None:
        self.directory, self.name = directory, name
        try:
            directory.mkdir(parents=True, exist_ok=True, mode=0o700)
            self._fd = os.open(directory / f"{name}.lock", os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)
        except OSError as problem:
            raise BadInput(f"{directory}: cannot use the state directory: {problem.strerror}") from None
        self.stale = 0  # id of the last process if it did not release the lock, else 0
        try:
            fcntl.flock(self._fd, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError:
            pid = self._read()
            os.close(self._fd)
            raise BadInput(
                f"{directory}: gateway {name} is already running as process {pid or '?'}"
            ) from None
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
        """The path of the admin socket."""
        return self.directory / f"{self.name}.admin"

    def release(self) -> None:
        """Releases the lock at a clean exit; the next process finds nothing stale."""
        if self._fd >= 0:
            self._write("")
            self.admin.unlink(missing_ok=True)
            os.close(self._fd)
            self._fd = -1


def holder(directory: Path, name: str) -> int:
    """Returns the id of the process that holds the lock, 0 if none does, -1 if it cannot be read."""
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
