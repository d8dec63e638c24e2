"""Parsers for requests and responses, with size limits. Free of I/O.

They use `httptools`, which is faster than `h11` (`benchmarks/parsing.py`, figures in `docs/gateway.md`).
"""

from typing import Any

import httptools

from ledgehitch.http.message import Refused, Request, Response

MAX_FIELDS = 100  # header fields of one message


class _MessageCollector:
    """The callbacks of `httptools`, which collect a message and enforce the limits."""

    def __init__(self, max_head: int, max_body: int) -> None:
        self.max_head, self.max_body = max_head, max_body
        self.reset()

    def reset(self) -> None:
        self.url = b""
        self.headers: dict[str, str] = {}
        self.body: list[bytes] = []
        self.head_size = self.body_size = 0
        self.started = self.head_complete = self.complete = False

    def on_message_begin(self) -> None:
        self.reset()
        self.started = True

    def on_url(self, part: bytes) -> None:
        self.url += part
        self._add_to_head(len(part))

    def _add_to_head(self, more: int) -> None:
        self.head_size += more
        if self.head_size > self.max_head or len(self.headers) > MAX_FIELDS:
            raise Refused(431, f"the head is larger than {self.max_head} bytes or {MAX_FIELDS} fields")

    def on_header(self, name: bytes, value: bytes) -> None:
        self._add_to_head(len(name) + len(value) + 4)
        key, text = name.decode("latin-1").lower(), value.decode("latin-1")
        previous = self.headers.get(key)
        if previous is not None and key in ("content-length", "host", "authorization") and previous != text:
            raise Refused(400, f"the field {key} came twice with different values")
        self.headers[key] = text if previous is None else f"{previous}, {text}"

    def on_headers_complete(self) -> None:
        self.head_complete = True

    def on_body(self, part: bytes) -> None:
        self.body_size += len(part)
        if self.body_size > self.max_body:
            raise Refused(413, f"the body is larger than {self.max_body} bytes")
        self.body.append(part)

    def on_message_complete(self) -> None:
        self.complete = True


def _cause(error: Exception) -> Refused | None:
    cause: Any = error.__context__ or error.__cause__
    return cause if isinstance(cause, Refused) else None


class RequestReader:
    """An incremental parser: `feed` takes bytes and returns the requests that are complete.

    Raises `Refused` if the bytes are not a request or exceed a limit; the reader is unusable after that.
    """

    def __init__(self, max_head: int = 16384, max_body: int = 65536) -> None:
        self._requests: list[Request] = []
        self._collector = _RequestCollector(max_head, max_body, self._requests)
        self._parser = self._collector.parser = httptools.HttpRequestParser(self._collector)

    @property
    def in_request(self) -> bool:
        """Whether a request has started and is incomplete."""
        return self._collector.started and not self._collector.complete

    @property
    def waits_for_100(self) -> bool:
        """Whether the client waits for a 100 response before it sends the body."""
        parts = self._collector
        return (
            parts.head_complete
            and not parts.complete
            and not parts.body
            and "100-continue" in parts.headers.get("expect", "")
        )

    def feed(self, data: bytes) -> list[Request]:
        try:
            self._parser.feed_data(data)
        except Refused:
            raise
        except httptools.HttpParserUpgrade:
            raise Refused(501, "this server changes to no other protocol") from None
        except httptools.HttpParserError as error:
            raise _cause(error) or Refused(400, f"not an HTTP request: {error}") from None
        requests = self._requests[:]
        self._requests.clear()
        return requests


class _RequestCollector(_MessageCollector):
    parser: Any

    def __init__(self, max_head: int, max_body: int, requests: list[Request]) -> None:
        super().__init__(max_head, max_body)
        self.requests = requests

    def on_message_complete(self) -> None:
        super().on_message_complete()
        method = self.parser.get_method().decode("latin-1")
        target = self.url.decode("latin-1")
        keep = bool(self.parser.should_keep_alive())
        self.requests.append(Request(method, target, self.headers, b"".join(self.body), keep))


class _ResponseCollector(_MessageCollector):
    """Collects the first final response; sets `extra` if more data follows, and ignores it."""

    parser: Any
    finished = keep_alive = extra = False
    status = 0

    def on_message_begin(self) -> None:
        if self.finished:
            self.extra = True
        else:
            super().on_message_begin()

    def on_header(self, name: bytes, value: bytes) -> None:
        if not self.finished:
            super().on_header(name, value)

    def on_headers_complete(self) -> None:
        if not self.finished:
            self.status = self.parser.get_status_code()
            self.head_complete = self.status >= 200

    def on_body(self, part: bytes) -> None:
        if not self.finished:
            super().on_body(part)

    def on_message_complete(self) -> None:
        if not self.finished and self.status >= 200:
            super().on_message_complete()
            self.finished = True
            self.keep_alive = bool(self.parser.should_keep_alive())


class ResponseReader:
    """An incremental parser: `feed` returns the response once it is complete, or its head for a stream.

    Raises `ValueError` if the bytes are not a response. `extra` is set if more data follows the response.
    """

    def __init__(self, max_head: int = 16384, max_body: int = 65536, stream: bool = False) -> None:
        self._collector = _ResponseCollector(max_head, max_body)
        self._parser = self._collector.parser = httptools.HttpResponseParser(self._collector)
        self._stream, self._returned = stream, False

    @property
    def keep_alive(self) -> bool:
        return self._collector.keep_alive

    @property
    def extra(self) -> bool:
        return self._collector.extra

    def take_body(self) -> bytes:
        """Removes and returns the bytes of a streamed body that have arrived so far."""
        data = b"".join(self._collector.body)
        self._collector.body.clear()
        self._collector.body_size = 0
        return data

    def feed(self, data: bytes) -> Response | None:
        """Parses more bytes; returns the response once, when it is complete."""
        parts = self._collector
        if parts.finished:
            parts.extra = True
            return None
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade, Refused) as error:
            if not parts.finished:
                cause = error if isinstance(error, Refused) else _cause(error)
                raise ValueError(str(cause) if cause else f"not an HTTP response: {error}") from None
            parts.extra = True
        if self._returned or not (parts.finished or self._stream and parts.head_complete):
            return None
        return self._response(b"" if self._stream else b"".join(parts.body))

    def at_end(self) -> Response | None:
        """Returns the response if it is delimited by the end of the connection, or None."""
        parts = self._collector
        framed = "content-length" in parts.headers or "transfer-encoding" in parts.headers
        if self._returned or not parts.head_complete or framed:
            return None
        return self._response(b"".join(parts.body))

    def _response(self, body: bytes) -> Response:
        self._returned = True
        return Response(self._collector.status, list(self._collector.headers.items()), body)
