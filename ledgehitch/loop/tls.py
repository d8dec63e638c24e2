"""TLS over a stream of the loop: the bytes are worked out by `ssl` in memory, so that no call of it ever
blocks."""

import ssl
from contextlib import suppress

from ledgehitch.loop.sockets import Stream

CHUNK = 65536


class TlsStream:
    """As a `Stream`, with what passes encrypted. `handshake` comes first; bound it with `loop.deadline`."""

    def __init__(self, stream: Stream, context: ssl.SSLContext, server: bool) -> None:
        self.stream, self.loop, self.peer = stream, stream.loop, stream.peer
        self._in, self._out = ssl.MemoryBIO(), ssl.MemoryBIO()
        self._tls = context.wrap_bio(self._in, self._out, server_side=server)

    @property
    def fd(self) -> int:
        return self.stream.fd

    @property
    def since(self) -> float:
        return self.stream.since

    def _flush(self) -> None:
        data = self._out.read()
        if data:
            self.stream.send(data)

    def _fed(self) -> bool:
        """Whether more came; at the end of the stream TLS is told so."""
        data = self.stream.receive(CHUNK)
        if data:
            self._in.write(data)
        else:
            self._in.write_eof()
        return bool(data)

    def handshake(self) -> None:
        """Raises `OSError` (`ssl.SSLError` is one) where the two do not agree."""
        while True:
            try:
                self._tls.do_handshake()
                self._flush()
                return
            except ssl.SSLWantReadError:
                self._flush()
                if not self._fed():
                    raise ConnectionResetError("it hung up in the handshake") from None
            except ssl.SSLError:
                self._flush()  # the alert that says why
                raise

    def certificate(self) -> bytes:
        """The other side's certificate (DER); empty where it showed none."""
        return self._tls.getpeercert(binary_form=True) or b""

    def receive(self, most: int = CHUNK, likely_empty: bool = False) -> bytes:
        while True:
            try:
                return self._tls.read(most)
            except ssl.SSLWantReadError:
                self._flush()
                if not self._fed():
                    return b""
            except (ssl.SSLZeroReturnError, ssl.SSLEOFError):
                return b""

    def send(self, data: bytes) -> None:
        if data:
            self._tls.write(data)
        self._flush()

    def send_now(self, data: bytes) -> bytes:
        """All is taken; what does not go at once goes before the next."""
        self._tls.write(data)
        rest = self.stream.send_now(self._out.read())
        if rest:
            self.stream.send(rest)
        return b""

    def ended(self) -> bool:
        return self.stream.ended()

    def quiet(self) -> bool:
        return self.stream.quiet() and not self._tls.pending() and not self._in.pending

    def close(self) -> None:
        if self.stream.fd >= 0:
            with suppress(ssl.SSLError, ValueError):
                self._tls.unwrap()  # it would wait for the other side's word, which nobody does here
            with suppress(OSError):
                self.stream.send_now(self._out.read())
        self.stream.close()

    def reset(self) -> None:
        self.stream.reset()


AnyStream = Stream | TlsStream
