"""Bytes into requests and responses, by `httptools`, with limits; free of I/O.

`httptools` was chosen by measuring it against `h11` (`benchmarks/parsing.py`, figures in `docs/gateway.md`).
"""

from typing import Any

import httptools

from ledgehitch.http.message import Refused, Request, Response

MOST_FIELDS = 100


class _Parts:
    """The callbacks that `httptools` makes, and the limits they hold."""

    def __init__(self, most_head: int, most_body: int) -> None:
        self.most_head, self.most_body = most_head, most_body
        self.fresh()

    def fresh(self) -> None:
        self.url = b""
        self.headers: dict[str, str] = {}
        self.body: list[bytes] = []
        self.head_size = self.body_size = 0
        self.begun = self.headed = self.complete = False

    def on_message_begin(self) -> None:
        self.fresh()
        self.begun = True

    def on_url(self, part: bytes) -> None:
        self.url += part
        self._head(len(part))

    def _head(self, more: int) -> None:
        self.head_size += more
        if self.head_size > self.most_head or len(self.headers) > MOST_FIELDS:
            raise Refused(431, f"the head is larger than {self.most_head} bytes or {MOST_FIELDS} fields")

    def on_header(self, name: bytes, value: bytes) -> None:
        self._head(len(name) + len(value) + 4)
        key, text = name.decode("latin-1").lower(), value.decode("latin-1")
        held = self.headers.get(key)
        if held is not None and key in ("content-length", "host", "authorization") and held != text:
            raise Refused(400, f"the field {key} came twice with different values")
        self.headers[key] = text if held is None else f"{held}, {text}"

    def on_headers_complete(self) -> None:
        self.headed = True

    def on_body(self, part: bytes) -> None:
        self.body_size += len(part)
        if self.body_size > self.most_body:
            raise Refused(413, f"the body is larger than {self.most_body} bytes")
        self.body.append(part)

    def on_message_complete(self) -> None:
        self.complete = True


def _cause(error: Exception) -> Refused | None:
    cause: Any = error.__context__ or error.__cause__
    return cause if isinstance(cause, Refused) else None


class RequestReader:
    """Feed it bytes as they come; `feed` gives the requests that became whole.

    Raises `Refused` for what cannot be a request or is over a limit; nothing can be read after that.
    """

    def __init__(self, most_head: int = 16384, most_body: int = 65536) -> None:
        self._done: list[Request] = []
        self._parts = _Requests(most_head, most_body, self._done)
        self._parser = self._parts.parser = httptools.HttpRequestParser(self._parts)

    @property
    def within(self) -> bool:
        """Whether a request has begun and is not whole."""
        return self._parts.begun and not self._parts.complete

    @property
    def waits_for_100(self) -> bool:
        """Whether the client holds its body back until it is told to go on."""
        p = self._parts
        return p.headed and not p.complete and not p.body and "100-continue" in p.headers.get("expect", "")

    def feed(self, data: bytes) -> list[Request]:
        try:
            self._parser.feed_data(data)
        except Refused:
            raise
        except httptools.HttpParserUpgrade:
            raise Refused(501, "this server changes to no other protocol") from None
        except httptools.HttpParserError as error:
            raise _cause(error) or Refused(400, f"not an HTTP request: {error}") from None
        done = self._done[:]
        self._done.clear()
        return done


class _Requests(_Parts):
    parser: Any

    def __init__(self, most_head: int, most_body: int, done: list[Request]) -> None:
        super().__init__(most_head, most_body)
        self.done = done

    def on_message_complete(self) -> None:
        super().on_message_complete()
        method = self.parser.get_method().decode("latin-1")
        target = self.url.decode("latin-1")
        keep = bool(self.parser.should_keep_alive())
        self.done.append(Request(method, target, self.headers, b"".join(self.body), keep))


class _Responses(_Parts):
    """A first final response; whatever comes behind it is `extra` and touches it not."""

    parser: Any
    over = keep = extra = False
    status = 0

    def on_message_begin(self) -> None:
        if self.over:
            self.extra = True
        else:
            super().on_message_begin()

    def on_header(self, name: bytes, value: bytes) -> None:
        if not self.over:
            super().on_header(name, value)

    def on_headers_complete(self) -> None:
        if not self.over:
            self.status = self.parser.get_status_code()
            self.headed = self.status >= 200

    def on_body(self, part: bytes) -> None:
        if not self.over:
            super().on_body(part)

    def on_message_complete(self) -> None:
        if not self.over and self.status >= 200:
            super().on_message_complete()
            self.over = True
            self.keep = bool(self.parser.should_keep_alive())


class ResponseReader:
    """Feed it bytes as they come; `feed` gives the response once it is whole (or its head, for a stream).

    Raises `ValueError` for what cannot be a response. `extra` tells that more came than was asked for.
    """

    def __init__(self, most_head: int = 16384, most_body: int = 65536, stream: bool = False) -> None:
        self._parts = _Responses(most_head, most_body)
        self._parser = self._parts.parser = httptools.HttpResponseParser(self._parts)
        self._stream, self._told = stream, False

    @property
    def keep(self) -> bool:
        return self._parts.keep

    @property
    def extra(self) -> bool:
        return self._parts.extra

    def taken(self) -> bytes:
        """The body's bytes so far, of a stream; they are forgotten here."""
        data = b"".join(self._parts.body)
        self._parts.body.clear()
        self._parts.body_size = 0
        return data

    def feed(self, data: bytes) -> Response | None:
        parts = self._parts
        if parts.over:
            parts.extra = True
            return None
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade, Refused) as error:
            if not parts.over:
                cause = error if isinstance(error, Refused) else _cause(error)
                raise ValueError(str(cause) if cause else f"not an HTTP response: {error}") from None
            parts.extra = True
        if self._told or not (parts.over or self._stream and parts.headed):
            return None
        return self._made(b"" if self._stream else b"".join(parts.body))

    def at_end(self) -> Response | None:
        """The response whose end is the end of the connection, if it is one of those."""
        parts = self._parts
        framed = "content-length" in parts.headers or "transfer-encoding" in parts.headers
        if self._told or not parts.headed or framed:
            return None
        return self._made(b"".join(parts.body))

    def _made(self, body: bytes) -> Response:
        self._told = True
        return Response(self._parts.status, list(self._parts.headers.items()), body)
