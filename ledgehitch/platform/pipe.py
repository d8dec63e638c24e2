"""What is on its way out of one connection: sent at once, or kept up to a bound; never waited for."""

from collections.abc import Callable

from ledgehitch.loop.kernel import Loop
from ledgehitch.loop.sockets import Stream


class Pipe:
    def __init__(
        self,
        loop: Loop,
        stream: Stream,
        room: int,
        broke: Callable[[], None],
        drained: Callable[[], None] | None = None,
    ) -> None:
        """`broke` is called, later, when the other side is gone or reads so little that `room` is full;
        `drained` when all that was kept has been sent."""
        self.loop, self.stream, self.room, self.broke = loop, stream, room, broke
        self.drained = drained
        self._kept = b""
        self._watched = self.broken = False

    @property
    def unsent(self) -> int:
        return len(self._kept)

    def write(self, data: bytes) -> bool:
        """Whether it was sent or kept."""
        if self.broken or self.stream.fd < 0:
            return False
        if self._kept:
            self._kept += data
        else:
            try:
                self._kept = self.stream.send_now(data)
            except OSError:
                return self._fail()
        if len(self._kept) > self.room:
            return self._fail()
        if self._kept and not self._watched:
            self._watched = True
            self.loop.on_writable(self.stream.fd, self._writable)
        return True

    def _writable(self) -> None:
        self._watched = False
        if self.stream.fd < 0:
            return
        data, self._kept = self._kept, b""
        if self.write(data) and not self._kept and self.drained is not None:
            self.drained()

    def _fail(self) -> bool:
        self.broken, self._kept = True, b""
        self.loop.call_soon(self.broke)
        return False
