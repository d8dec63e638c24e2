"""JSON lines of at most 16 KiB, one object each: type (`verb`), id (`tag`), fields (`opts`), cause (`rc`) and
description (`blob`). Free of I/O.
"""

import math
import re
from collections.abc import Iterator, Mapping, Sequence

import msgspec

MAX_LINE_BYTES = 16384  # by the platform's specification
VERBS = frozenset(
    ("START", "PENDING", "STARTED", "FINISH", "FINISHED", "ECHO", "ECHOED", "NOTICE", "MOVE", "RATE")
)
TAG = re.compile(r"[0-9a-f]{16}\Z")

Fields = dict[str, str | int | float]
Message = tuple[str, str, Fields, int | None, str | None]


class Malformed(ValueError):
    """Bytes that are not a line of the protocol; nothing after them can be relied on."""


class Reader:
    """Incremental parser, which is fed bytes as they arrive.

    `feed` yields verb, tag, fields, cause and description of each complete line, the last two None where they
    are missing. It raises `Malformed` at the first invalid line. It buffers at most `MAX_LINE_BYTES` bytes.
    """

    __slots__ = ("_rest", "_broken")

    def __init__(self) -> None:
        self._rest = b""
        self._broken = False

    def feed(self, data: bytes) -> Iterator[Message]:
        if self._broken:
            return
        *lines, rest = (self._rest + data if self._rest else data).split(b"\n")
        self._rest = b""
        try:
            for line in lines:
                yield _decode(line)
            if len(rest) >= MAX_LINE_BYTES:
                raise Malformed(f"the line is longer than {MAX_LINE_BYTES} bytes")
            self._rest = rest
        except Malformed:
            self._broken = True
            raise


def _decode(line: bytes) -> Message:
    if len(line) >= MAX_LINE_BYTES:
        raise Malformed(f"the line is longer than {MAX_LINE_BYTES} bytes")
    try:
        message = msgspec.json.decode(line)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        raise Malformed(f"the line is not valid JSON: {error}") from None
    if not isinstance(message, dict):
        raise Malformed("the line is not a JSON object")
    verb, tag, fields = message.get("verb"), message.get("tag"), message.get("opts", {})
    cause, description = message.get("rc"), message.get("blob")
    if not isinstance(verb, str) or verb not in VERBS:
        raise Malformed(f"verb {verb!r:.40} is unknown")
    if not isinstance(tag, str) or TAG.match(tag) is None:
        raise Malformed(f"tag {tag!r:.40} is not an id of 16 lower-case hex digits")
    if not isinstance(fields, dict):
        raise Malformed("opts is not an object")
    for value in fields.values():
        if isinstance(value, bool) or not isinstance(value, (str, int, float)):
            raise Malformed("a value of opts is neither text nor a number")
    if cause is not None and (isinstance(cause, bool) or not isinstance(cause, int)):
        raise Malformed(f"rc {cause!r:.40} is not an integer")
    if description is not None and not isinstance(description, str):
        raise Malformed("blob is not text")
    return verb, tag, fields, cause, description


def encode(
    verb: str,
    tag: str,
    fields: Mapping[str, str | int | float],
    cause: int | None = None,
    description: str | None = None,
) -> bytes:
    """Returns one line, its line feed included."""
    message: dict[str, object] = {"verb": verb, "tag": tag, "opts": dict(fields)}
    if cause is not None:
        message["rc"] = cause
    if description is not None:
        message["blob"] = description
    return msgspec.json.encode(message) + b"\n"


def parse_loads(fields: Fields, names: Sequence[str]) -> list[float]:
    """Returns the values of a load report such as `x0:0.4;active:12` in the order of `names`.

    A value that is missing or not a finite number is -1. The list is empty where there is no report.
    """
    report = fields.get("load")
    if not isinstance(report, str) or not report:
        return []
    values: dict[str, float] = {}
    for part in report.split(";"):
        name, _, value = part.partition(":")
        try:
            number = float(value)
        except ValueError:
            continue
        if math.isfinite(number):
            values[name] = number
    return [values.get(name, -1.0) for name in names]
