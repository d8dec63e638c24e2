"""The server: a task for each connection, limits on what a client may hold up."""

import ssl
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from ledgehitch.http.message import NoAnswer, Refused, Request, Response, problem
from ledgehitch.http.parse import RequestReader
from ledgehitch.loop import AnyStream, Closed, Endpoint, Listener, Loop, Stream, TimedOut, TlsStream


@dataclass(frozen=True)
class Limits:
    """What one client may hold up. Sizes in bytes, times in seconds."""

    head: int = 16384
    body: int = 65536
    connections: int = 4096
    request_within: float = 5.0  # from the first byte of a request to its last
    idle: float = 30.0  # between requests
    send_within: float = 5.0  # for one answer to be taken off


class Server:
    """Serves `handler(request)`, which may wait; what it raises as `Refused` is answered as a problem.

    `served` counts answers by status, `turned_away` connections over the limit.
    """

    def __init__(
        self,
        loop: Loop,
        at: Endpoint,
        handler: Callable[[Request], Response],
        limits: Limits | None = None,
        report: Callable[[str, BaseException], None] | None = None,
        tls: ssl.SSLContext | None = None,
    ) -> None:
        self.tls = tls
        self.loop, self.handler, self.limits = loop, handler, limits or Limits()
        self.listener = Listener(loop, at)
        self.at = self.listener.at
        self.report = report or loop.report
        self.open: dict[AnyStream, None] = {}
        self.served: dict[int, int] = {}
        self.turned_away = self.slow = self.refused_handshakes = 0
        self.task = loop.spawn(self._accept, name=f"listen {self.at}")

    def _accept(self) -> None:
        try:
            while True:
                stream = self.listener.accept()
                if len(self.open) >= self.limits.connections:
                    # Refusal is cheaper than acceptance: one write, no task.
                    self.turned_away += 1
                    try:
                        busy = problem(503, "too many connections", [("Retry-After", "1")])
                        stream.sock.send(busy.written(keep=False))
                    except OSError:
                        pass
                    stream.close()
                    continue
                self.open[stream] = None
                self.loop.spawn(self._connection, stream, name="connection")
        except (OSError, Closed):
            if self.listener.fd >= 0:
                raise
        finally:
            self.listener.close()

    def close(self) -> None:
        """Stops listening; connections end with the answer that they are at."""
        self.listener.close()
        self.task.cancel()

    def _connection(self, plain: Stream) -> None:
        stream: AnyStream = plain
        certificate = b""
        if self.tls is not None:
            wrapped = stream = TlsStream(plain, self.tls, True)
            try:
                with self.loop.deadline(self.limits.request_within):
                    wrapped.handshake()
                certificate = wrapped.certificate()
            except (OSError, TimedOut):
                self.refused_handshakes += 1
                self.open.pop(plain, None)
                plain.close()
                return
            self.open.pop(plain, None)
            self.open[stream] = None
        reader = RequestReader(self.limits.head, self.limits.body)
        try:
            keep = first = True
            while keep:
                try:
                    requests = self._read(stream, reader, first)
                    first = False
                except Refused as refused:
                    self._send(stream, self._refusal(refused).written(keep=False))
                    # Guards against a reset that takes the answer with it: what still comes is read off.
                    self._drain(stream)
                    return
                if not requests:
                    return
                for request in requests:
                    request.peer, request.certificate = stream.peer, certificate
                    request.hung_up = lambda call: self._on_hang_up(stream, call)
                    request.reset = stream.reset
                    keep = self._answer(stream, request) and request.keep
                    if not keep:
                        return
        except (OSError, Closed):
            pass
        except TimedOut:
            self.slow += 1
        finally:
            self.open.pop(stream, None)
            stream.close()

    def _read(self, stream: AnyStream, reader: RequestReader, first: bool) -> list[Request]:
        try:
            with self.loop.deadline(self.limits.idle):
                data = stream.receive(likely_empty=not first)
        except TimedOut:
            return []
        since = stream.earliest_arrival
        told = False
        requests: list[Request] = reader.feed(data) if data else []
        if data and not requests:
            try:
                with self.loop.deadline(self.limits.request_within):
                    while data and not requests:
                        if reader.waits_for_100 and not told:
                            told = True
                            stream.send(b"HTTP/1.1 100 Continue\r\n\r\n")
                        data = stream.receive()
                        requests = reader.feed(data) if data else []
            except TimedOut:
                self.slow += 1
                raise Refused(408, f"the request was not whole in {self.limits.request_within:g} s") from None
        for request in requests:
            request.arrived = since if told is False and len(requests) else stream.earliest_arrival
        return requests

    def _answer(self, stream: AnyStream, request: Request) -> bool:
        try:
            response = self.handler(request)
        except Refused as refused:
            response = self._refusal(refused)
        except NoAnswer:
            return False
        except Exception as error:
            self.report(f"{request.method} {request.path}", error)
            response = problem(500, "a fault of this server; it is in its log")
        finally:
            self._on_hang_up(stream, None)
        self.served[response.status] = self.served.get(response.status, 0) + 1
        whole = False
        try:
            self._send(stream, response.written(request.keep, request.method == "HEAD"))
            # Guards against an answer that went into the buffers of a connection whose client had left.
            whole = not stream.peer_closed()
        finally:
            if response.after is not None:
                response.after(whole)
        if response.stream is not None:
            # A reader that goes away is noticed though nothing is sent to it.
            task: Any = self.loop.current
            self._on_hang_up(stream, task.cancel)
            try:
                response.stream(lambda data: self._send(stream, data))
            finally:
                self._on_hang_up(stream, None)
            return False
        return True

    def _refusal(self, refused: Refused) -> Response:
        return problem(refused.status, refused.detail, refused.headers)

    def _send(self, stream: AnyStream, data: bytes) -> None:
        try:
            rest = stream.send_nowait(data)
            if rest:
                with self.loop.deadline(self.limits.send_within):
                    stream.send(rest)
        except TimedOut:
            self.slow += 1
            raise OSError("the client does not take its answer") from None

    def _drain(self, stream: AnyStream) -> None:
        try:
            with self.loop.deadline(0.2):
                while stream.receive():
                    pass
        except TimedOut:
            pass

    def _on_hang_up(self, stream: AnyStream, call: Callable[[], None] | None) -> None:
        """Calls once if the client hangs up while its request is at work; None withdraws it."""
        if stream.fd < 0:
            return
        if call is None:
            self.loop.on_readable(stream.fd, None)
            return

        def look() -> None:
            if stream.peer_closed():
                call()
            # Bytes of a next request: a client that is still there. It is read when this one is answered.

        self.loop.on_readable(stream.fd, look)
