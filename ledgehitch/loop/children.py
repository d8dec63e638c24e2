"""Child processes, waited for over the loop by their process descriptors."""

import os
import signal
import subprocess
from collections.abc import Callable, Sequence

from ledgehitch.loop.kernel import Event, Loop, TimedOut


class Child:
    """A process of ours, ended by its number and no other. Its output goes where the caller says."""

    def __init__(
        self,
        loop: Loop,
        command: Sequence[str],
        name: str,
        stdout: int | None = None,
        stderr: int | None = None,
    ) -> None:
        self.loop, self.name = loop, name
        # A session of its own: Ctrl-C at the terminal comes to us, and we end the children in order.
        self.process = subprocess.Popen(
            list(command), stdin=subprocess.DEVNULL, stdout=stdout, stderr=stderr, start_new_session=True
        )
        self.pid = self.process.pid
        self._ended = Event(loop)
        fd = os.pidfd_open(self.pid)

        def over() -> None:
            loop.forget(fd)
            os.close(fd)
            self._ended.set()

        loop.on_readable(fd, over)

    def signal(self, number: int) -> None:
        if self.process.poll() is None:
            self.process.send_signal(number)

    def wait(self) -> int:
        """The exit code; minus the signal's number for one that was killed."""
        self._ended.wait()
        return self.process.wait()

    def end(self, within: float = 1.5) -> int:
        """Asks it to end, and kills it when it has not within so many seconds."""
        self.signal(signal.SIGTERM)
        self.signal(signal.SIGCONT)  # one that was stopped could not hear it
        try:
            with self.loop.deadline(within):
                return self.wait()
        except TimedOut:
            self.signal(signal.SIGKILL)
            return self.wait()

    def first_line(self) -> bytes:
        """Its first line on standard output, for which `stdout` must have been a pipe."""
        assert self.process.stdout is not None
        fd = self.process.stdout.fileno()
        os.set_blocking(fd, False)
        line = b""
        while not line.endswith(b"\n"):
            try:
                got = os.read(fd, 1)
            except BlockingIOError:
                self.loop.wait_readable(fd)
                continue
            if not got:
                break
            line += got
        self.loop.forget(fd)
        return line


def forked(loop: Loop, call: Callable[[], None]) -> int:
    """Runs a call in a copy of this process, as it is now, and waits for it: the loop goes on meanwhile.

    The call may only compute and write files. Gives the exit code, 0 when it came through."""
    pid = os.fork()
    if pid == 0:
        code = 1
        try:
            call()
            code = 0
        finally:
            os._exit(code)
    fd = os.pidfd_open(pid)
    try:
        loop.wait_readable(fd)
    finally:
        loop.forget(fd)
        os.close(fd)
        _, status = os.waitpid(pid, 0)
    return os.waitstatus_to_exitcode(status)
