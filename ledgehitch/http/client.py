"""The client: keeps connections open for each address, closes idle ones, never sends a request twice."""

from collections import deque
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from typing import TYPE_CHECKING

from ledgehitch.http.message import Response
from ledgehitch.http.parse import ResponseReader
from ledgehitch.loop import Endpoint, Loop, Stream, connect, endpoint

if TYPE_CHECKING:
    import ssl

    from ledgehitch.loop import AnyStream, TlsStream

IDLE = 10.0  # seconds that a connection is kept unused: less than servers keep theirs
KEPT = 64  # unused connections kept for one address
MOST_BODY = 1 << 20
TLS = "tls:"  # before an address that is spoken to over TLS


class ConnectFailed(Exception):
    """No connection came about: the request certainly was not sent."""


class Interrupted(Exception):
    """The connection broke after the request may have been sent: it may have been carried out."""


class Client:
    """Requests to addresses such as `127.0.0.1:80`. Bound each call with `loop.deadline`.

    A call that is cut short by its deadline closes its connection: the other side sees it end.
    """

    def __init__(
        self,
        loop: Loop,
        tls: "ssl.SSLContext | None" = None,
        judge: Callable[[str, bytes], None] = lambda address, shown: None,
    ) -> None:
        """`tls` is for addresses such as `tls:127.0.0.1:80`; `judge` is shown each one's certificate (DER)
        and raises an error that says why it is not the one that is meant."""
        self.loop, self.tls, self.judge = loop, tls, judge
        self._pools: dict[str, deque[tuple[float, AnyStream]]] = {}
        self._endpoints: dict[str, Endpoint] = {}
        self.opened = self.reused = self.dirty = 0

    def request(
        self,
        address: str,
        method: str,
        target: str,
        headers: list[tuple[str, str]] | None = None,
        body: bytes = b"",
    ) -> Response:
        """The response, or `ConnectFailed` (never sent), `Interrupted` (may have run), `ValueError`
        (what came back is no HTTP)."""
        stream = self._stream(address)
        fine = False
        try:
            reader = ResponseReader(most_body=MOST_BODY)
            try:
                stream.send(_written(address, method, target, headers or [], body))
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
            fine = reader.keep and not reader.extra
            return response
        finally:
            if fine:
                self._keep(address, stream)
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
        """A response whose body comes bit by bit; its head must come within so many seconds, the connection
        too where nothing else is said."""
        with self.loop.deadline(within if connect_within is None else connect_within):
            stream = self._connect(address)
        try:
            reader = ResponseReader(stream=True)
            response = None
            try:
                with self.loop.deadline(within):
                    stream.send(_written(address, "GET", target, headers or [], b""))
                    while response is None:
                        data = stream.receive()
                        if not data:
                            raise Interrupted("it hung up before its answer")
                        response = reader.feed(data)
            except OSError as problem:
                raise Interrupted(str(problem)) from None

            def parts() -> Iterator[bytes]:
                if first := reader.taken():
                    yield first
                while True:
                    try:
                        data = stream.receive()
                    except OSError:
                        return
                    if not data:
                        return
                    reader.feed(data)
                    if more := reader.taken():
                        yield more

            yield response, parts()
        finally:
            stream.close()

    def _stream(self, address: str) -> "AnyStream":
        pool = self._pools.get(address)
        while pool:
            _, stream = pool.pop()
            # Guards against sending into a connection that the other side has closed, or that holds an
            # answer nobody asked for (a second one to an earlier request).
            if stream.is_idle():
                self.reused += 1
                return stream
            self.dirty += 1
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
        return self._wrapped(address, stream) if address.startswith(TLS) else stream

    def _wrapped(self, address: str, stream: Stream) -> "TlsStream":
        if self.tls is None:
            stream.close()
            raise ConnectFailed(f"{address} asks for a certificate, and none is given")
        from ledgehitch.loop import TlsStream  # here: most gateways on small machines speak none

        wrapped = TlsStream(stream, self.tls, False)
        fine = False
        try:
            wrapped.handshake()
            self.judge(address, wrapped.certificate())
            fine = True
            return wrapped
        except OSError as problem:
            raise ConnectFailed(f"no TLS with {address}: {problem}") from None
        finally:
            if not fine:
                stream.close()

    def _keep(self, address: str, stream: "AnyStream") -> None:
        pool = self._pools.setdefault(address, deque())
        if len(pool) >= KEPT:
            pool.popleft()[1].close()
        pool.append((self.loop.now + IDLE, stream))

    def sweep(self) -> None:
        """Closes what was idle too long; run now and then."""
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
        """How many unused connections are held."""
        return sum(map(len, self._pools.values()))


def _written(address: str, method: str, target: str, headers: list[tuple[str, str]], body: bytes) -> bytes:
    host = "localhost" if address.startswith("unix:") else address.removeprefix(TLS)
    lines = [f"{method} {target} HTTP/1.1", f"Host: {host}"]
    lines += [f"{name}: {value}" for name, value in headers]
    if body or method in ("POST", "PUT", "PATCH"):
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode("latin-1", "replace") + b"\r\n\r\n" + body
