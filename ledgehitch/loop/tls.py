"""TLS over a stream of the loop. It uses `ssl` on memory buffers, so that no call of it blocks."""

import ssl
from contextlib import suppress

from ledgehitch.loop.sockets import Stream

CHUNK = 65536


class TlsStream:
    """An encrypted stream with the interface of `Stream`.

    Call `handshake` first, within a `loop.deadline`.
    """

    def __init__(self, stream: Stream, context: ssl.SSLContext, server: bool) -> None:
        self.stream, self.loop, self.peer = stream, stream.loop, stream.peer
        self._in, self._out = ssl.MemoryBIO(), ssl.MemoryBIO()
        self._tls = context.wrap_bio(self._in, self._out, server_side=server)

    @property
    def fd(self) -> int:
        return self.stream.fd

    @property
    def earliest_arrival(self) -> float:
        return self.stream.earliest_arrival

    def _flush(self) -> None:
        data = self._out.read()
        if data:
            self.stream.send(data)

    def _fed(self) -> bool:
        """Feeds received bytes, or the end of the stream, to TLS; returns whether there were bytes."""
        data = self.stream.receive(CHUNK)
        if data:
            self._in.write(data)
        else:
            self._in.write_eof()
        return bool(data)

    def handshake(self) -> None:
        """Completes the handshake; raises `OSError`, for instance `ssl.SSLError`, if it fails."""
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
                self._flush()  # sends the alert with the reason
                raise

    def certificate(self) -> bytes:
        """Returns the peer's certificate (DER); empty if it presented none."""
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

    def send_nowait(self, data: bytes) -> bytes:
        """Sends all of the data, waiting for what cannot be sent at once; returns no rest."""
        self._tls.write(data)
        rest = self.stream.send_nowait(self._out.read())
        if rest:
            self.stream.send(rest)
        return b""

    def peer_closed(self) -> bool:
        return self.stream.peer_closed()

    def is_idle(self) -> bool:
        return self.stream.is_idle() and not self._tls.pending() and not self._in.pending

    def close(self) -> None:
        if self.stream.fd >= 0:
            with suppress(ssl.SSLError, ValueError):
                self._tls.unwrap()  # queues the closing alert; the peer's own alert is not awaited
            with suppress(OSError):
                self.stream.send_nowait(self._out.read())
        self.stream.close()

    def reset(self) -> None:
        self.stream.reset()


AnyStream = Stream | TlsStream
