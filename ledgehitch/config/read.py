"""Decodes JSON files to typed records, with errors that name file, field and reason."""

from pathlib import Path
from typing import TypeVar

import msgspec

T = TypeVar("T")


class BadInput(Exception):
    """Raised when a file or argument from the user is invalid. The text says where and why."""


def read_record(path: Path, kind: type[T]) -> T:
    """Reads a JSON file as a record of type `kind`. Raises `BadInput` if it cannot be read or is invalid."""
    try:
        text = path.read_bytes()
    except OSError as error:
        raise BadInput(f"{path}: cannot be read: {error.strerror}") from None
    return parse_record(text, kind, str(path))


def parse_record(text: bytes, kind: type[T], name: str) -> T:
    """Decodes JSON as a record of type `kind`. Raises `BadInput`, which calls the source `name`."""
    try:
        return msgspec.json.decode(text, type=kind)
    except msgspec.ValidationError as error:
        reason, _, at = str(error).partition(" - at `$")
        field = at.rstrip("`").lstrip(".") or "the whole file"
        raise BadInput(f"{name}: {field}: {reason}") from None
    except msgspec.DecodeError as error:
        raise BadInput(f"{name}: not JSON: {error}") from None
