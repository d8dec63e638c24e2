"""What borrowers and the lender say to one another, as bytes of bounded size. Free of I/O; authenticity is
the frame's, and the first byte tells these from what membership and owners say.

kind u8, digest 4 bytes, term u64, life u32, sequence u32, number u32, milliseconds u32, count u8, then for
each budget in turn: of a `want` loan u32, held u32, wanted u32; of a `lent` loan u32.
"""

import struct
from typing import Literal, NamedTuple

from ledgehitch.budgets.facts import MOST_BUDGETS, WHOLE

FIRST = 64  # the kinds of membership and owners lie below
Kind = Literal["want", "lent"]
HEAD = struct.Struct(">B4sQIIIIB")
WANT = struct.Struct(">III")
LENT = struct.Struct(">I")


class Words(NamedTuple):
    """`number`: of the loan; in a `want` of the one that was taken last, 0 for none under this term. `loans`:
    parts lent, or still held by a loan. `held`: what counts as taken, a loan or what is still in use beyond
    the own part. `wanted`: with the own part. `seconds`: how long it lasts from the asking."""

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


class BadWords(ValueError):
    """What came is none of these; the text says why."""


def written(words: Words) -> bytes:
    head = HEAD.pack(
        FIRST + (words.kind == "lent"),
        words.digest,
        words.term,
        words.life,
        words.sequence & 0xFFFFFFFF,
        words.number & 0xFFFFFFFF,
        int(words.seconds * 1000),
        len(words.loans),
    )
    if words.kind == "lent":
        return head + b"".join(LENT.pack(x) for x in words.loans)
    columns = words.loans, words.held, words.wanted
    return head + b"".join(WANT.pack(*each) for each in zip(*columns, strict=True))


def read(data: bytes) -> Words:
    """Raises `BadWords`: a part above the whole, too, which no honest gateway says."""
    if len(data) < HEAD.size:
        raise BadWords("short")
    kind, digest, term, life, sequence, number, millis, count = HEAD.unpack_from(data)
    if kind not in (FIRST, FIRST + 1):
        raise BadWords("kind")
    each = WANT if kind == FIRST else LENT
    if count > MOST_BUDGETS or len(data) != HEAD.size + count * each.size:
        raise BadWords("length")
    rows = list(each.iter_unpack(data[HEAD.size :]))
    if any(x > WHOLE for row in rows for x in row):
        raise BadWords("more than the whole")
    columns = tuple(zip(*rows, strict=True)) if rows else ((),) * 3
    if kind == FIRST:
        loans, held, wanted = columns
        return Words("want", digest, term, life, sequence, number, millis / 1000, loans, held, wanted)
    return Words("lent", digest, term, life, sequence, number, millis / 1000, columns[0])
