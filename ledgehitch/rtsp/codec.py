"""RTSP/1.0 messages (RFC 2326, sections 4 to 7) in the platform's subset: each has a `Content-Length`, none
is longer than 16 KiB. Free of I/O.
"""

import re
from collections.abc import Iterator

MAX_MESSAGE_BYTES = 16384  # by the platform's specification
MAX_FIELDS = 100  # header fields of one message: each takes far more memory than it has bytes
FIELD_BYTES = 256  # of a header field that is kept, besides its text
VERSION = "RTSP/1.0"
REASONS = {
    200: "OK",
    400: "Bad Request",
    405: "Method Not Allowed",
    408: "Request Timeout",
    413: "Request Entity Too Large",
    451: "Parameter Not Understood",
    453: "Not Enough Bandwidth",
    454: "Session Not Found",
    500: "Internal Server Error",
    503: "Service Unavailable",
}
REQUEST_LINE = re.compile(r"([A-Z_]{1,32}) (rtsp://[\x21-\x7e]{1,1024}) RTSP/1\.0\Z")
STATUS_LINE = re.compile(r"RTSP/1\.0 ([1-5][0-9][0-9])(?: [\x20-\x7e]*)?\Z")
# Both parts match blanks. They are possessive, since a line that does not match at its end would otherwise
# take time in the square of the number of blanks.
HEADER_FIELD = re.compile(r"([A-Za-z0-9-]{1,64}):[ \t]*+([\x20-\x7e]*+)\Z")
CONTENT_LENGTH = re.compile(r"[0-9]{1,9}\Z")

Message = tuple[str, str, dict[str, str], bytes]


class Malformed(ValueError):
    """Bytes that are not a message; nothing after them can be read. `status` is that of the response."""

    def __init__(self, status: int, reason: str) -> None:
        super().__init__(reason)
        self.status = status


class Reader:
    """Incremental parser, which is fed bytes as they arrive.

    `feed` yields each complete message: method, address, fields (names in lower case) and body of a request,
    or "", the status, fields and body of a response. It raises `Malformed` at the first bytes that cannot be
    a message, after the messages before them. It buffers at most `MAX_MESSAGE_BYTES` bytes, and a head.
    """

    __slots__ = ("_rest", "_head", "_broken")

    def __init__(self) -> None:
        self._rest = b""
        # Method, address and fields of a message whose body is incomplete, start of the body, size in total.
        self._head: tuple[str, str, dict[str, str], int, int] | None = None
        self._broken = False

    @property
    def has_partial(self) -> bool:
        """Whether a message has begun and is not complete."""
        return bool(self._rest)

    @property
    def partial_bytes(self) -> int:
        """Number of bytes of memory that an incomplete message takes, its parsed head included."""
        if self._head is None:
            return len(self._rest)
        _, _, fields, body_start, _ = self._head
        return len(self._rest) + body_start + FIELD_BYTES * len(fields)

    def feed(self, data: bytes) -> Iterator[Message]:
        if self._broken:
            return
        self._rest = rest = self._rest + data if self._rest else data
        at = 0
        try:
            while at < len(rest):
                if self._head is None:
                    end = rest.find(b"\r\n\r\n", at, at + MAX_MESSAGE_BYTES)
                    if end < 0:
                        if len(rest) - at >= MAX_MESSAGE_BYTES:
                            raise Malformed(413, f"the head is longer than {MAX_MESSAGE_BYTES} bytes")
                        break
                    self._head = self._parse_head(rest[at:end].decode("latin-1"), end + 4 - at)
                method, target, fields, body_start, size = self._head
                if len(rest) - at < size:
                    break
                body = rest[at + body_start : at + size]
                at += size
                self._head = None
                yield method, target, fields, body
        except Malformed:
            self._broken, self._rest, at = True, b"", 0
            raise
        finally:
            if at and not self._broken:
                self._rest = rest[at:]

    @staticmethod
    def _parse_head(head: str, body_start: int) -> tuple[str, str, dict[str, str], int, int]:
        start, *lines = head.split("\r\n")
        request_line = REQUEST_LINE.match(start)
        status_line = None if request_line else STATUS_LINE.match(start)
        if request_line is None and status_line is None:
            raise Malformed(400, f"{start[:40]!r} is neither a request line nor a status line")
        if len(lines) > MAX_FIELDS:
            raise Malformed(400, f"the head has more than {MAX_FIELDS} fields")
        fields: dict[str, str] = {}
        for line in lines:
            field = HEADER_FIELD.match(line)
            if field is None:
                raise Malformed(400, f"{line[:40]!r} is not a header field")
            name = field[1].lower()
            if name in fields:
                raise Malformed(400, f"header field {name} occurs twice")
            fields[name] = field[2].rstrip()
        length = fields.get("content-length")
        if length is None or CONTENT_LENGTH.match(length) is None:
            raise Malformed(400, f"Content-Length is {length!r:.40}, expected a number of at most 9 digits")
        if body_start + int(length) > MAX_MESSAGE_BYTES:
            raise Malformed(413, f"the message is longer than {MAX_MESSAGE_BYTES} bytes")
        method, target = (
            (request_line[1], request_line[2])
            if request_line
            else ("", status_line[1] if status_line else "")
        )
        return method, target, fields, body_start, body_start + int(length)


def _serialize(start: str, fields: list[tuple[str, str]], body: bytes) -> bytes:
    lines = [start, *(f"{name}: {value}" for name, value in fields), f"Content-Length: {len(body)}"]
    return "\r\n".join(lines).encode("latin-1", "replace") + b"\r\n\r\n" + body


def response(
    status: int, cseq: str, session: str, fields: list[tuple[str, str]] | None = None, body: bytes = b""
) -> bytes:
    """Returns the bytes of a response; an empty `cseq` or `session` is left out."""
    headers = [("CSeq", cseq)] if cseq else []
    headers += [("Session", session)] if session else []
    return _serialize(
        f"{VERSION} {status} {REASONS.get(status, 'Status')}", [*headers, *(fields or [])], body
    )


def request(
    method: str,
    target: str,
    cseq: str,
    session: str,
    fields: list[tuple[str, str]] | None = None,
    body: bytes = b"",
) -> bytes:
    """Returns the bytes of a request."""
    headers = [("CSeq", cseq), ("Session", session), *(fields or [])]
    return _serialize(f"{method} {target} {VERSION}", headers, body)
