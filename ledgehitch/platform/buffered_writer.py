"""Buffered output of one connection: data is sent at once or kept up to a limit, and a write never blocks."""

from collections.abc import Callable

from ledgehitch.loop.kernel import Loop
from ledgehitch.loop.sockets import Stream
from ledgehitch.platform.byte_budget import ByteBudget


class BufferedWriter:
    """Writes to a stream without blocking."""

    def __init__(
        self,
        loop: Loop,
        stream: Stream,
        unsent: "ByteBudget[BufferedWriter]",
        on_broken: Callable[[], None],
        on_drained: Callable[[], None] | None = None,
    ) -> None:
        """`on_broken` is called, in a later turn, when the peer is gone or reads so slowly that the budget of
        unsent bytes is exceeded; `on_drained` when all buffered data has been sent."""
        self.loop, self.stream, self.unsent, self.on_broken = loop, stream, unsent, on_broken
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
        self.unsent.hold(self, len(self._buffer))
        if len(self._buffer) > self.unsent.limit_each:
            return self._fail()
        while self.unsent.exceeded:
            # The peer that reads least makes room, so that one which reads keeps its connection.
            self.unsent.largest()._fail()
        if self.broken:
            return False
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
        self._discard()
        self.loop.call_soon(self.on_broken)
        return False

    def _discard(self) -> None:
        self.broken, self._buffer = True, b""
        self.unsent.hold(self, 0)

    def close(self) -> None:
        """Discards what is unsent, and the callbacks with what they refer to."""
        self._discard()
        self.on_broken, self.on_drained = _ignore, None


def _ignore() -> None:
    """Called in place of a callback once the connection is closed."""
