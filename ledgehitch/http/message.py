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
    """What was asked. Header names are lower case; of a field sent twice the values are joined by ", "."""

    __slots__ = (
        "method",
        "target",
        "path",
        "_query",
        "headers",
        "body",
        "keep",
        "arrived",
        "hung_up",
        "reset",
        "peer",
        "certificate",
    )

    def __init__(
        self, method: str, target: str, headers: dict[str, str], body: bytes = b"", keep: bool = True
    ) -> None:
        self.method, self.target, self.headers, self.body, self.keep = method, target, headers, body, keep
        path, _, self._query = target.partition("?")
        self.path = unquote(path) if "%" in path else path
        self.arrived = 0.0  # the earliest time at which it can have come
        self.hung_up: Callable[[Callable[[], None] | None], None] = lambda _: None
        self.reset: Callable[[], None] = lambda: None  # ends its connection so that the client sees a reset
        self.peer = ""
        self.certificate = b""  # what the client showed over TLS (DER)

    def query(self, name: str) -> str | None:
        """The first value of a query parameter."""
        return parse_qs(self._query, keep_blank_values=True).get(name, [None])[0] if self._query else None

    def media_type(self) -> str:
        return self.headers.get("content-type", "").partition(";")[0].strip().lower()


class Response:
    """What is answered: a body at once, or a `stream` that is called with a function that sends bytes."""

    __slots__ = ("status", "headers", "body", "stream", "after")

    def __init__(
        self,
        status: int,
        headers: list[tuple[str, str]] | None = None,
        body: bytes = b"",
        stream: Callable[[Callable[[bytes], None]], None] | None = None,
    ) -> None:
        self.status, self.headers, self.body, self.stream = status, headers or [], body, stream
        self.after: Callable[[bool], None] | None = None  # told whether the answer was written whole

    def header(self, name: str) -> str | None:
        """The first value of a header field, by its name in lower case."""
        return next((value for n, value in self.headers if n.lower() == name), None)

    def written(self, keep: bool, head_only: bool = False) -> bytes:
        lines = [f"HTTP/1.1 {self.status} {REASONS.get(self.status, 'Status')}"]
        lines += [f"{name}: {value}" for name, value in self.headers]
        if self.stream is None and self.status != 204:
            lines.append(f"Content-Length: {len(self.body)}")
        if not keep or self.stream is not None:
            lines.append("Connection: close")
        head = "\r\n".join(lines).encode("latin-1", "replace") + b"\r\n\r\n"
        return head if head_only else head + self.body


class Refused(Exception):
    """A request that is answered with a problem document and nothing else."""

    def __init__(self, status: int, detail: str, headers: list[tuple[str, str]] | None = None) -> None:
        super().__init__(detail)
        self.status, self.detail, self.headers = status, detail, headers or []


class NoAnswer(Exception):
    """Raised by a handler for a request that gets no answer: its connection is closed."""


def problem(
    status: int,
    detail: str,
    headers: list[tuple[str, str]] | None = None,
    kind: str = "about:blank",
    **more: Any,
) -> Response:
    """A problem document: what went wrong (`detail`), of which `kind`, with further members."""
    body = {"type": kind, "title": REASONS.get(status, "Status"), "status": status, "detail": detail, **more}
    fields = [("Content-Type", PROBLEM), *(headers or [])]
    return Response(status, fields, json.dumps(body).encode())
