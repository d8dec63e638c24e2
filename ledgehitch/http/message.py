"""Requests, responses and problem documents (RFC 9457)."""

import json
from collections.abc import Callable
from typing import Any
from urllib.parse import parse_qs, unquote

REASONS = {
    100: "Continue",
    200: "OK",
    201: "Created",
    202: "Accepted",
    204: "No Content",
    307: "Temporary Redirect",
    400: "Bad Request",
    401: "Unauthorized",
    403: "Forbidden",
    404: "Not Found",
    405: "Method Not Allowed",
    406: "Not Acceptable",
    408: "Request Timeout",
    409: "Conflict",
    412: "Precondition Failed",
    413: "Content Too Large",
    415: "Unsupported Media Type",
    422: "Unprocessable Content",
    428: "Precondition Required",
    429: "Too Many Requests",
    431: "Request Header Fields Too Large",
    500: "Internal Server Error",
    501: "Not Implemented",
    502: "Bad Gateway",
    503: "Service Unavailable",
    504: "Gateway Timeout",
    505: "HTTP Version Not Supported",
}
PROBLEM = "application/problem+json"


class Request:
    """A request. Header names are in lower case; the values of a repeated field are joined by ", "."""

    __slots__ = (
        "method",
        "target",
        "path",
        "_query",
        "headers",
        "body",
        "keep_alive",
        "arrived",
        "on_disconnect",
        "reset",
        "peer",
        "certificate",
    )

    def __init__(
        self, method: str, target: str, headers: dict[str, str], body: bytes = b"", keep_alive: bool = True
    ) -> None:
        self.method, self.target, self.headers, self.body, self.keep_alive = (
            method,
            target,
            headers,
            body,
            keep_alive,
        )
        path, _, self._query = target.partition("?")
        self.path = unquote(path) if "%" in path else path
        self.arrived = 0.0  # the earliest time at which it can have arrived
        # Registers a callback for when the client disconnects; None removes it.
        self.on_disconnect: Callable[[Callable[[], None] | None], None] = lambda _: None
        self.reset: Callable[[], None] = lambda: None  # closes its connection with a TCP reset
        self.peer = ""
        self.certificate = b""  # the client's TLS certificate (DER)

    def query(self, name: str) -> str | None:
        """Returns the first value of a query parameter, or None."""
        return parse_qs(self._query, keep_blank_values=True).get(name, [None])[0] if self._query else None

    def media_type(self) -> str:
        return self.headers.get("content-type", "").partition(";")[0].strip().lower()


class Response:
    """A response with a `body`, or with a `stream` that is called with a function that sends bytes."""

    __slots__ = ("status", "headers", "body", "stream", "on_sent")

    def __init__(
        self,
        status: int,
        headers: list[tuple[str, str]] | None = None,
        body: bytes = b"",
        stream: Callable[[Callable[[bytes], None]], None] | None = None,
    ) -> None:
        self.status, self.headers, self.body, self.stream = status, headers or [], body, stream
        self.on_sent: Callable[[bool], None] | None = None  # called with whether it was sent completely

    def header(self, name: str) -> str | None:
        """Returns the first value of a header field, by its name in lower case, or None."""
        return next((value for n, value in self.headers if n.lower() == name), None)

    def encode(self, keep_alive: bool, head_only: bool = False) -> bytes:
        """Returns the encoded response, or its head only; `keep_alive` keeps the connection alive."""
        lines = [f"HTTP/1.1 {self.status} {REASONS.get(self.status, 'Status')}"]
        lines += [f"{name}: {value}" for name, value in self.headers]
        if self.stream is None and self.status != 204:
            lines.append(f"Content-Length: {len(self.body)}")
        if not keep_alive or self.stream is not None:
            lines.append("Connection: close")
        head = "\r\n".join(lines).encode("latin-1", "replace") + b"\r\n\r\n"
        return head if head_only else head + self.body


class Refused(Exception):
    """A rejected request: it is answered with a problem document."""

    def __init__(self, status: int, detail: str, headers: list[tuple[str, str]] | None = None) -> None:
        super().__init__(detail)
        self.status, self.detail, self.headers = status, detail, headers or []


class NoAnswer(Exception):
    """Raised by a handler to close the connection without a response."""


def problem(
    status: int,
    detail: str,
    headers: list[tuple[str, str]] | None = None,
    kind: str = "about:blank",
    **more: Any,
) -> Response:
    """Returns a problem document (RFC 9457) with `detail`, the type `kind` and further members."""
    body = {"type": kind, "title": REASONS.get(status, "Status"), "status": status, "detail": detail, **more}
    fields = [("Content-Type", PROBLEM), *(headers or [])]
    return Response(status, fields, json.dumps(body).encode())
