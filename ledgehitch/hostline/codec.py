"""One JSON object a line: type (`verb`), id (`tag`), fields (`opts`), cause (`rc`), description (`blob`).
Free of I/O. No line is longer than 16 KiB.
"""

import math
import re
from collections.abc import Iterator, Mapping, Sequence

import msgspec

MAX_LINE_BYTES = 16384  # bytes of one line, by the platform's page
VERBS = frozenset(
    ("START", "PENDING", "STARTED", "FINISH", "FINISHED", "ECHO", "ECHOED", "NOTICE", "MOVE", "RATE")
)
TAG = re.compile(r"[0-9a-f]{16}\Z")

Fields = dict[str, str | int | float]
Message = tuple[str, str, Fields, int | None, str | None]


class Malformed(ValueError):
    """Bytes that are no line of the protocol; nothing after them can be relied on."""


class Reader:
    """Feed it bytes as they come. `feed` gives verb, tag, fields, cause (None without one) and description
    (None without one) of each line that became whole, and raises `Malformed` at the first that is none; it
    keeps no more than `MAX_LINE_BYTES` bytes."""

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
                yield _read(line)
            if len(rest) >= MAX_LINE_BYTES:
                raise Malformed(f"a line of more than {MAX_LINE_BYTES} bytes")
            self._rest = rest
        except Malformed:
            self._broken = True
            raise


def _read(line: bytes) -> Message:
    if len(line) >= MAX_LINE_BYTES:
        raise Malformed(f"a line of more than {MAX_LINE_BYTES} bytes")
    try:
        thing = msgspec.json.decode(line)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as why:
        raise Malformed(f"no JSON: {why}") from None
    if not isinstance(thing, dict):
        raise Malformed("no object")
    verb, tag, fields = thing.get("verb"), thing.get("tag"), thing.get("opts", {})
    cause, blob = thing.get("rc"), thing.get("blob")
    if not isinstance(verb, str) or verb not in VERBS:
        raise Malformed(f"no type: {verb!r:.40}")
    if not isinstance(tag, str) or TAG.match(tag) is None:
        raise Malformed(f"no id: {tag!r:.40}")
    if not isinstance(fields, dict):
        raise Malformed("the fields are no object")
    for value in fields.values():
        if isinstance(value, bool) or not isinstance(value, (str, int, float)):
            raise Malformed("a field is neither text nor a number")
    if cause is not None and (isinstance(cause, bool) or not isinstance(cause, int)):
        raise Malformed(f"the cause is no number: {cause!r:.40}")
    if blob is not None and not isinstance(blob, str):
        raise Malformed("the description is no text")
    return verb, tag, fields, cause, blob


def encode(
    verb: str,
    tag: str,
    fields: Mapping[str, str | int | float],
    cause: int | None = None,
    blob: str | None = None,
) -> bytes:
    """One line, its line feed included."""
    thing: dict[str, object] = {"verb": verb, "tag": tag, "opts": dict(fields)}
    if cause is not None:
        thing["rc"] = cause
    if blob is not None:
        thing["blob"] = blob
    return msgspec.json.encode(thing) + b"\n"


def parse_loads(fields: Fields, names: Sequence[str]) -> list[float]:
    """A report such as `x0:0.4;active:12` in the order of `names`; -1 stands for what is not in it, or is no
    number. Empty where no report came along."""
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
