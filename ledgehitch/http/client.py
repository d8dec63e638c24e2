"""HTTP client with a pool of connections for each address. It never retries a request."""

from collections import deque
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from typing import TYPE_CHECKING

from ledgehitch.http.message import Response
from ledgehitch.http.parse import ResponseReader
from ledgehitch.loop import Endpoint, Loop, Stream, TimedOut, connect, endpoint

if TYPE_CHECKING:
    import ssl

    from ledgehitch.loop import AnyStream, TlsStream

IDLE_TIMEOUT_S = 10.0  # shorter than the idle time-out of servers
MAX_IDLE_CONNECTIONS = 64  # for each address
MAX_BODY_BYTES = 1 << 20
TLS = "tls:"  # prefix of an address that uses TLS


class ConnectFailed(Exception):
    """The connection could not be established, so the request was certainly not sent."""


class ConnectTimedOut(TimedOut):
    """The connection was not established in time, so the request was certainly not sent."""


class Interrupted(Exception):
    """The connection broke after the request may have been sent, so it may have been executed."""


class Client:
    """Sends requests to addresses such as `127.0.0.1:80`. Callers limit the time with `loop.deadline`.

    A call that is interrupted by its deadline closes its connection, which the server can notice.
    """

    def __init__(
        self,
        loop: Loop,
        tls: "ssl.SSLContext | None" = None,
        verify: Callable[[str, bytes], None] = lambda address, certificate: None,
    ) -> None:
        """Starts without connections.

        `tls` is used for addresses such as `tls:127.0.0.1:80`. `verify` is called with the address and the
        certificate (DER) of each server, and raises an error to reject it.
        """
        self.loop, self.tls, self.verify = loop, tls, verify
        self._pools: dict[str, deque[tuple[float, AnyStream]]] = {}
        self._endpoints: dict[str, Endpoint] = {}
        self.opened = self.reused = self.unusable = 0

    def request(
        self,
        address: str,
        method: str,
        target: str,
        headers: list[tuple[str, str]] | None = None,
        body: bytes = b"",
    ) -> Response:
        """Sends a request and returns the response.

        Raises `ConnectFailed` if it was not sent, `Interrupted` if it may have been executed, and
        `ValueError` if the response is not valid HTTP.
        """
        stream = self._acquire(address)
        reusable = False
        try:
            reader = ResponseReader(max_body=MAX_BODY_BYTES)
            try:
                stream.send(_encode_request(address, method, target, headers or [], body))
                response = None
                while response is None:
                    data = stream.receive(likely_empty=True)
                    if not data:
                        response = reader.at_end()
                        if response is None:
                            raise Interrupted("it hung up before its answer was whole")
                        break
                    response = reader.feed(data)
            except OSError as problem:
                raise Interrupted(str(problem)) from None
            reusable = reader.keep_alive and not reader.extra
            return response
        finally:
            if reusable:
                self._return_to_pool(address, stream)
            else:
                stream.close()

    @contextmanager
    def stream(
        self,
        address: str,
        target: str,
        headers: list[tuple[str, str]] | None = None,
        within: float = 2.0,
        connect_within: float | None = None,
    ) -> Iterator[tuple[Response, Iterator[bytes]]]:
        """Requests a streamed response and yields it with an iterator over the parts of its body.

        The head of the response must arrive `within` seconds, or `TimedOut` is raised, and the connection be
        established `within` or `connect_within` seconds, or `ConnectTimedOut` is raised.
        """
        try:
            with self.loop.deadline(within if connect_within is None else connect_within):
                stream = self._connect(address)
        except TimedOut:
            raise ConnectTimedOut from None
        try:
            reader = ResponseReader(stream=True)
            response = None
            try:
                with self.loop.deadline(within):
                    stream.send(_encode_request(address, "GET", target, headers or [], b""))
                    while response is None:
                        data = stream.receive()
                        if not data:
                            raise Interrupted("it hung up before its answer")
                        response = reader.feed(data)
            except OSError as problem:
                raise Interrupted(str(problem)) from None

            def parts() -> Iterator[bytes]:
                if first := reader.take_body():
                    yield first
                while True:
                    try:
                        data = stream.receive()
                    except OSError:
                        return
                    if not data:
                        return
                    reader.feed(data)
                    if more := reader.take_body():
                        yield more

            yield response, parts()
        finally:
            stream.close()

    def _acquire(self, address: str) -> "AnyStream":
        pool = self._pools.get(address)
        while pool:
            _, stream = pool.pop()
            # A pooled connection may have been closed by the server, or hold an unsolicited response, such as
            # a second one to an earlier request.
            if stream.is_idle():
                self.reused += 1
                return stream
            self.unusable += 1
            stream.close()
        return self._connect(address)

    def _connect(self, address: str) -> "AnyStream":
        at = self._endpoints.get(address)
        if at is None:
            at = self._endpoints[address] = endpoint(address.removeprefix(TLS))
        self.opened += 1
        try:
            stream = connect(self.loop, at)
        except OSError as problem:
            raise ConnectFailed(str(problem)) from None
        return self._start_tls(address, stream) if address.startswith(TLS) else stream

    def _start_tls(self, address: str, stream: Stream) -> "TlsStream":
        if self.tls is None:
            stream.close()
            raise ConnectFailed(f"{address} asks for a certificate, and none is given")
        from ledgehitch.loop import TlsStream  # imported here: gateways on small machines rarely use TLS

        wrapped = TlsStream(stream, self.tls, False)
        accepted = False
        try:
            wrapped.handshake()
            self.verify(address, wrapped.certificate())
            accepted = True
            return wrapped
        except OSError as problem:
            raise ConnectFailed(f"no TLS with {address}: {problem}") from None
        finally:
            if not accepted:
                stream.close()

    def _return_to_pool(self, address: str, stream: "AnyStream") -> None:
        pool = self._pools.setdefault(address, deque())
        if len(pool) >= MAX_IDLE_CONNECTIONS:
            pool.popleft()[1].close()
        pool.append((self.loop.now + IDLE_TIMEOUT_S, stream))

    def sweep(self) -> None:
        """Closes connections that are broken or were idle too long; to be called periodically."""
        for address in list(self._pools):
            pool = self._pools[address]
            while pool and (pool[0][0] <= self.loop.now or not pool[0][1].is_idle()):
                pool.popleft()[1].close()
            if not pool:
                del self._pools[address]

    def close(self) -> None:
        for pool in self._pools.values():
            for _, stream in pool:
                stream.close()
        self._pools.clear()

    def idle(self) -> int:
        """Returns the number of idle connections."""
        return sum(map(len, self._pools.values()))


def _encode_request(
    address: str, method: str, target: str, headers: list[tuple[str, str]], body: bytes
) -> bytes:
    host = "localhost" if address.startswith("unix:") else address.removeprefix(TLS)
    lines = [f"{method} {target} HTTP/1.1", f"Host: {host}"]
    lines += [f"{name}: {value}" for name, value in headers]
    if body or method in ("POST", "PUT", "PATCH"):
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode("latin-1", "replace") + b"\r\n\r\n" + body
