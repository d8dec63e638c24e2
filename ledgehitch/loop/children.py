"""Child processes, awaited in the loop through process file descriptors."""

import os
import signal
import subprocess
from collections.abc import Callable, Sequence

from ledgehitch.loop.kernel import Event, Loop, TimedOut


class Child:
    """A child process, signalled by its own process id only. The caller chooses where its output goes."""

    def __init__(
        self,
        loop: Loop,
        command: Sequence[str],
        name: str,
        stdout: int | None = None,
        stderr: int | None = None,
    ) -> None:
        self.loop, self.name = loop, name
        # In a session of its own, it does not get Ctrl-C from the terminal: the parent ends its children in
        # order.
        self.process = subprocess.Popen(
            list(command), stdin=subprocess.DEVNULL, stdout=stdout, stderr=stderr, start_new_session=True
        )
        self.pid = self.process.pid
        self._ended = Event(loop)
        fd = os.pidfd_open(self.pid)

        def over() -> None:
            loop.unregister(fd)
            os.close(fd)
            self._ended.set()

        loop.on_readable(fd, over)

    def signal(self, number: int) -> None:
        if self.process.poll() is None:
            self.process.send_signal(number)

    def wait(self) -> int:
        """Waits for the exit and returns the exit code, or minus the number of the fatal signal."""
        self._ended.wait()
        return self.process.wait()

    def terminate(self, within: float = 1.5) -> int:
        """Terminates the process, and kills it if it is still running after `within` seconds."""
        self.signal(signal.SIGTERM)
        self.signal(signal.SIGCONT)  # a stopped process could not handle SIGTERM
        try:
            with self.loop.deadline(within):
                return self.wait()
        except TimedOut:
            self.signal(signal.SIGKILL)
            return self.wait()

    def first_line(self) -> bytes:
        """Waits for the first line on standard output; `stdout` must be a pipe."""
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
        self.loop.unregister(fd)
        return line


def run_forked(loop: Loop, call: Callable[[], None]) -> int:
    """Runs a call in a fork of this process and waits for it while the loop continues.

    The call may only compute and write files. Returns the exit code, 0 on success.
    """
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
        loop.unregister(fd)
        os.close(fd)
        _, status = os.waitpid(pid, 0)
    return os.waitstatus_to_exitcode(status)
