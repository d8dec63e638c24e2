"""Buffered output of one connection: data is sent at once or kept up to a limit, and a write never blocks."""

from collections.abc import Callable

from ledgehitch.loop.kernel import Loop
from ledgehitch.loop.sockets import Stream


class BufferedWriter:
    """Writes to a stream without blocking."""

    def __init__(
        self,
        loop: Loop,
        stream: Stream,
        max_buffered: int,
        on_broken: Callable[[], None],
        on_drained: Callable[[], None] | None = None,
    ) -> None:
        """`on_broken` is called, in a later turn, when the peer is gone or reads so slowly that more than
        `max_buffered` bytes are unsent; `on_drained` when all buffered data has been sent."""
        self.loop, self.stream, self.max_buffered, self.on_broken = loop, stream, max_buffered, on_broken
        self.on_drained = on_drained
        self._buffer = b""
        self._watching = self.broken = False

    @property
    def unsent_bytes(self) -> int:
        """Number of buffered bytes."""
        return len(self._buffer)

    def write(self, data: bytes) -> bool:
        """Sends or buffers the data; returns False where the connection is gone or its buffer is full."""
        if self.broken or self.stream.fd < 0:
            return False
        if self._buffer:
            self._buffer += data
        else:
            try:
                self._buffer = self.stream.send_nowait(data)
            except OSError:
                return self._fail()
        if len(self._buffer) > self.max_buffered:
            return self._fail()
        if self._buffer and not self._watching:
            self._watching = True
            self.loop.on_writable(self.stream.fd, self._on_writable)
        return True

    def _on_writable(self) -> None:
        self._watching = False
        if self.stream.fd < 0:
            return
        data, self._buffer = self._buffer, b""
        if self.write(data) and not self._buffer and self.on_drained is not None:
            self.on_drained()

    def _fail(self) -> bool:
        self.broken, self._buffer = True, b""
        self.loop.call_soon(self.on_broken)
        return False
