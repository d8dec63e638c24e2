"""RTSP/1.0 messages (RFC 2326, sections 4 to 7) as the platform uses them: each has a `Content-Length`, none
is longer than 16 KiB. Free of I/O.
"""

import re
from collections.abc import Iterator

MAX_MESSAGE_BYTES = 16384  # bytes of one message, by the platform's page
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
START = re.compile(r"([A-Z_]{1,32}) (rtsp://[\x21-\x7e]{1,1024}) RTSP/1\.0\Z")
ANSWER = re.compile(r"RTSP/1\.0 ([1-5][0-9][0-9])(?: [\x20-\x7e]*)?\Z")
FIELD = re.compile(r"([A-Za-z0-9-]{1,64}):[ \t]*([\x20-\x7e]*)\Z")
LENGTH = re.compile(r"[0-9]{1,9}\Z")

Message = tuple[str, str, dict[str, str], bytes]


class Malformed(ValueError):
    """Bytes that are no message; nothing after them can be read. `status` is what is answered."""

    def __init__(self, status: int, why: str) -> None:
        super().__init__(why)
        self.status = status


class Reader:
    """Feed it bytes as they come. `feed` gives what became whole: method, address, fields (names in lower
    case) and body of a request; "" and the status for an answer. It raises `Malformed` at the first bytes
    that cannot be a message, after giving those before; it keeps no more than `MAX_MESSAGE_BYTES` bytes."""

    __slots__ = ("_rest", "_head", "_broken")

    def __init__(self) -> None:
        self._rest = b""
        self._head: tuple[str, str, dict[str, str], int, int] | None = None  # with start of body, end
        self._broken = False

    @property
    def has_partial(self) -> bool:
        """Whether a message has begun and is not whole."""
        return bool(self._rest)

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
                            raise Malformed(413, f"a head of more than {MAX_MESSAGE_BYTES} bytes")
                        break
                    self._head = self._headed(rest[at:end].decode("latin-1"), end + 4 - at)
                method, target, fields, begin, size = self._head
                if len(rest) - at < size:
                    break
                body = rest[at + begin : at + size]
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
    def _headed(head: str, begin: int) -> tuple[str, str, dict[str, str], int, int]:
        start, *lines = head.split("\r\n")
        asked = START.match(start)
        answered = None if asked else ANSWER.match(start)
        if asked is None and answered is None:
            raise Malformed(400, f"no start line: {start[:40]!r}")
        fields: dict[str, str] = {}
        for line in lines:
            field = FIELD.match(line)
            if field is None:
                raise Malformed(400, f"no header field: {line[:40]!r}")
            name = field[1].lower()
            if name in fields:
                raise Malformed(400, f"{name} came twice")
            fields[name] = field[2].rstrip()
        length = fields.get("content-length")
        if length is None or LENGTH.match(length) is None:
            raise Malformed(400, f"the length is {length!r:.40}")
        if begin + int(length) > MAX_MESSAGE_BYTES:
            raise Malformed(413, f"a message of more than {MAX_MESSAGE_BYTES} bytes")
        method, target = (asked[1], asked[2]) if asked else ("", answered[1] if answered else "")
        return method, target, fields, begin, begin + int(length)


def _written(start: str, fields: list[tuple[str, str]], body: bytes) -> bytes:
    lines = [start, *(f"{name}: {value}" for name, value in fields), f"Content-Length: {len(body)}"]
    return "\r\n".join(lines).encode("latin-1", "replace") + b"\r\n\r\n" + body


def response(
    status: int, cseq: str, session: str, fields: list[tuple[str, str]] | None = None, body: bytes = b""
) -> bytes:
    """An answer; an empty `cseq` or `session` is left out."""
    named = [("CSeq", cseq)] if cseq else []
    named += [("Session", session)] if session else []
    return _written(f"{VERSION} {status} {REASONS.get(status, 'Status')}", [*named, *(fields or [])], body)


def request(
    method: str,
    target: str,
    cseq: str,
    session: str,
    fields: list[tuple[str, str]] | None = None,
    body: bytes = b"",
) -> bytes:
    named = [("CSeq", cseq), ("Session", session), *(fields or [])]
    return _written(f"{method} {target} {VERSION}", named, body)
