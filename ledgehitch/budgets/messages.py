"""Messages between borrowers and the lender, encoded with bounded size. Free of I/O.

The frame authenticates them, and the first byte distinguishes them from messages of membership and owners.
Layout:

kind u8, digest 4 bytes, term u64, life u32, sequence u32, number u32, milliseconds u32, count u8, then for
each budget in turn: of a `want` loan u32, held u32, wanted u32; of a `lent` loan u32.
"""

import struct
from typing import Literal, NamedTuple

from ledgehitch.budgets.facts import MAX_BUDGETS, WHOLE

FIRST_KIND = 64  # smaller numbers are message kinds of membership and owners
Kind = Literal["want", "lent"]
HEADER = struct.Struct(">B4sQIIIIB")
WANT_ROW = struct.Struct(">III")
LENT_ROW = struct.Struct(">I")


class LoanMessage(NamedTuple):
    """One message.

    `number`: of the loan; in a `want`, of the last loan taken, 0 for none under this term. `loans`: parts
    lent, or still held by a loan. `held`: parts that count as taken: a loan, or use beyond the own part.
    `wanted`: parts including the own part. `seconds`: duration of the loan from the request on."""

    kind: Kind
    digest: bytes
    term: int
    life: int
    sequence: int
    number: int = 0
    seconds: float = 0.0
    loans: tuple[int, ...] = ()
    held: tuple[int, ...] = ()
    wanted: tuple[int, ...] = ()


class InvalidMessage(ValueError):
    """The bytes are no valid message; the text names the reason."""


def encode(message: LoanMessage) -> bytes:
    header = HEADER.pack(
        FIRST_KIND + (message.kind == "lent"),
        message.digest,
        message.term,
        message.life,
        message.sequence & 0xFFFFFFFF,
        message.number & 0xFFFFFFFF,
        int(message.seconds * 1000),
        len(message.loans),
    )
    if message.kind == "lent":
        return header + b"".join(LENT_ROW.pack(x) for x in message.loans)
    columns = message.loans, message.held, message.wanted
    return header + b"".join(WANT_ROW.pack(*row) for row in zip(*columns, strict=True))


def decode(data: bytes) -> LoanMessage:
    """Decodes a message. Raises `InvalidMessage`, also for a part above the whole."""
    if len(data) < HEADER.size:
        raise InvalidMessage("short")
    kind, digest, term, life, sequence, number, millis, count = HEADER.unpack_from(data)
    if kind not in (FIRST_KIND, FIRST_KIND + 1):
        raise InvalidMessage("kind")
    row_struct = WANT_ROW if kind == FIRST_KIND else LENT_ROW
    if count > MAX_BUDGETS or len(data) != HEADER.size + count * row_struct.size:
        raise InvalidMessage("length")
    rows = list(row_struct.iter_unpack(data[HEADER.size :]))
    if any(x > WHOLE for row in rows for x in row):
        raise InvalidMessage("more than the whole")
    columns = tuple(zip(*rows, strict=True)) if rows else ((),) * 3
    if kind == FIRST_KIND:
        loans, held, wanted = columns
        return LoanMessage("want", digest, term, life, sequence, number, millis / 1000, loans, held, wanted)
    return LoanMessage("lent", digest, term, life, sequence, number, millis / 1000, columns[0])
