"""HTTP server with one task for each connection and limits on the resources of a client."""

import ssl
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from ledgehitch.http.message import NoAnswer, Refused, Request, Response, problem
from ledgehitch.http.parse import RequestReader
from ledgehitch.loop import AnyStream, Closed, Endpoint, Listener, Loop, Stream, TimedOut, TlsStream


@dataclass(frozen=True)
class Limits:
    """Limits on the resources that clients may use. Sizes are in bytes, times in seconds."""

    max_head: int = 16384
    max_body: int = 65536
    max_connections: int = 4096
    request_timeout_s: float = 5.0  # from the first byte of a request to its last
    idle_timeout_s: float = 30.0  # between requests
    send_timeout_s: float = 5.0  # for the client to receive one response


class Server:
    """Answers requests with `handler(request)`, which may wait; `Refused` becomes a problem document.

    `served` counts responses by status, `rejected_connections` the connections over the limit.
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
        self.rejected_connections = self.timeouts = self.failed_handshakes = 0
        self.task = loop.spawn(self._accept, name=f"listen {self.at}")

    def _accept(self) -> None:
        try:
            while True:
                stream = self.listener.accept()
                if len(self.open) >= self.limits.max_connections:
                    # Rejecting takes one write and no task, so it is cheaper than accepting.
                    self.rejected_connections += 1
                    try:
                        busy = problem(503, "too many connections", [("Retry-After", "1")])
                        stream.sock.send(busy.encode(keep_alive=False))
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
        """Stops listening; open connections finish their current response."""
        self.listener.close()
        self.task.cancel()

    def _connection(self, plain: Stream) -> None:
        stream: AnyStream = plain
        certificate = b""
        if self.tls is not None:
            wrapped = stream = TlsStream(plain, self.tls, True)
            try:
                with self.loop.deadline(self.limits.request_timeout_s):
                    wrapped.handshake()
                certificate = wrapped.certificate()
            except (OSError, TimedOut):
                self.failed_handshakes += 1
                self.open.pop(plain, None)
                plain.close()
                return
            self.open.pop(plain, None)
            self.open[stream] = None
        reader = RequestReader(self.limits.max_head, self.limits.max_body)
        try:
            keep = first = True
            while keep:
                try:
                    requests = self._read(stream, reader, first)
                    first = False
                except Refused as refused:
                    self._send(stream, self._refusal(refused).encode(keep_alive=False))
                    # Closing with unread data would reset the connection and lose the response.
                    self._drain(stream)
                    return
                if not requests:
                    return
                for request in requests:
                    request.peer, request.certificate = stream.peer, certificate
                    request.on_disconnect = lambda call: self._watch_disconnect(stream, call)
                    request.reset = stream.reset
                    keep = self._answer(stream, request) and request.keep_alive
                    if not keep:
                        return
        except (OSError, Closed):
            pass
        except TimedOut:
            self.timeouts += 1
        finally:
            self.open.pop(stream, None)
            stream.close()

    def _read(self, stream: AnyStream, reader: RequestReader, first: bool) -> list[Request]:
        try:
            with self.loop.deadline(self.limits.idle_timeout_s):
                data = stream.receive(likely_empty=not first)
        except TimedOut:
            return []
        since = stream.earliest_arrival
        sent_continue = False
        requests: list[Request] = reader.feed(data) if data else []
        if data and not requests:
            try:
                with self.loop.deadline(self.limits.request_timeout_s):
                    while data and not requests:
                        if reader.waits_for_100 and not sent_continue:
                            sent_continue = True
                            stream.send(b"HTTP/1.1 100 Continue\r\n\r\n")
                        data = stream.receive()
                        requests = reader.feed(data) if data else []
            except TimedOut:
                self.timeouts += 1
                raise Refused(
                    408, f"the request was not whole in {self.limits.request_timeout_s:g} s"
                ) from None
        for request in requests:
            request.arrived = since if sent_continue is False and len(requests) else stream.earliest_arrival
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
            self._watch_disconnect(stream, None)
        self.served[response.status] = self.served.get(response.status, 0) + 1
        complete = False
        try:
            self._send(stream, response.encode(request.keep_alive, request.method == "HEAD"))
            # The response may have gone into the buffers of a connection that the client had closed.
            complete = not stream.peer_closed()
        finally:
            if response.on_sent is not None:
                response.on_sent(complete)
        if response.stream is not None:
            # Notices a reader that disconnects while there is nothing to send.
            task: Any = self.loop.current
            self._watch_disconnect(stream, task.cancel)
            try:
                response.stream(lambda data: self._send(stream, data))
            finally:
                self._watch_disconnect(stream, None)
            return False
        return True

    def _refusal(self, refused: Refused) -> Response:
        return problem(refused.status, refused.detail, refused.headers)

    def _send(self, stream: AnyStream, data: bytes) -> None:
        try:
            rest = stream.send_nowait(data)
            if rest:
                with self.loop.deadline(self.limits.send_timeout_s):
                    stream.send(rest)
        except TimedOut:
            self.timeouts += 1
            raise OSError("client does not receive its response") from None

    def _drain(self, stream: AnyStream) -> None:
        try:
            with self.loop.deadline(0.2):
                while stream.receive():
                    pass
        except TimedOut:
            pass

    def _watch_disconnect(self, stream: AnyStream, call: Callable[[], None] | None) -> None:
        """Calls once if the client disconnects while its request is processed; None removes the callback."""
        if stream.fd < 0:
            return
        if call is None:
            self.loop.on_readable(stream.fd, None)
            return

        def check() -> None:
            if stream.peer_closed():
                call()
            # Otherwise the bytes belong to the next request, which is read once this one is answered.

        self.loop.on_readable(stream.fd, check)
