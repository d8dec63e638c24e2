"""JSON files into typed records, with errors that name file, field and reason."""

from pathlib import Path
from typing import TypeVar

import msgspec

T = TypeVar("T")


class BadInput(Exception):
    """What a person wrote is wrong; the text says where and why."""


def read_record(path: Path, kind: type[T]) -> T:
    try:
        text = path.read_bytes()
    except OSError as problem:
        raise BadInput(f"{path}: cannot be read: {problem.strerror}") from None
    return parse_record(text, kind, str(path))


def parse_record(text: bytes, kind: type[T], name: str) -> T:
    try:
        return msgspec.json.decode(text, type=kind)
    except msgspec.ValidationError as problem:
        reason, _, at = str(problem).partition(" - at `$")
        field = at.rstrip("`").lstrip(".") or "the whole file"
        raise BadInput(f"{name}: {field}: {reason}") from None
    except msgspec.DecodeError as problem:
        raise BadInput(f"{name}: not JSON: {problem}") from None
