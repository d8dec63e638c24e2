"""What members say to one another on duties, as bytes of bounded size. Free of I/O; authenticity is the
frame's, and the first byte tells these from membership's own words.

kind u8, duty u8, sequence u32, term u64, who said it 4 bytes, its list 4 bytes, its former list 4 bytes, then
by kind: nothing, or member u16 and milliseconds u32, or for `greet` and `greeted` life u32, known life u32,
flags u8, count u8 and count times a term u64 of each duty in turn.
"""

import struct
from typing import Literal, NamedTuple

FIRST = 32  # the kinds of membership lie below
Kind = Literal["poll", "free", "ask", "grant", "deny", "yield", "told", "greet", "greeted"]
KINDS: tuple[Kind, ...] = ("poll", "free", "ask", "grant", "deny", "yield", "told", "greet", "greeted")
HEAD = struct.Struct(">BBIQ4s4s4s")
TAIL = struct.Struct(">HI")
LIVES = struct.Struct(">IIBB")
TERM = struct.Struct(">Q")
MOST_DUTIES = 32
NOBODY = 0xFFFF


class Words(NamedTuple):
    """`member`, `left`: whom a `deny` or `told` names as owner and for how long (seconds), or whom a `yield`
    names as successor. `terms` by the duties' numbers, in greetings alone."""

    kind: Kind
    duty: int
    sequence: int
    term: int
    who: bytes
    list: bytes
    former: bytes
    member: int = NOBODY
    left: float = 0.0
    life: int = 0
    known_life: int = 0
    intact: bool = False
    terms: tuple[int, ...] = ()


class BadWords(ValueError):
    """What came is none of these; the text says why."""


def written(words: Words) -> bytes:
    head = HEAD.pack(
        FIRST + KINDS.index(words.kind),
        words.duty,
        words.sequence & 0xFFFFFFFF,
        words.term,
        words.who,
        words.list,
        words.former,
    )
    if words.kind in ("deny", "told", "yield"):
        return head + TAIL.pack(words.member, max(0, min(int(words.left * 1000), 0xFFFFFFFF)))
    if words.kind in ("greet", "greeted"):
        some = words.terms[:MOST_DUTIES]
        lives = LIVES.pack(words.life, words.known_life, words.intact, len(some))
        return head + lives + b"".join(TERM.pack(term) for term in some)
    return head


def read(data: bytes) -> Words:
    """Raises `BadWords`."""
    if len(data) < HEAD.size:
        raise BadWords("short")
    number, duty, sequence, term, who, here, former = HEAD.unpack_from(data)
    if not FIRST <= number < FIRST + len(KINDS):
        raise BadWords("kind")
    kind, rest = KINDS[number - FIRST], data[HEAD.size :]
    words = Words(kind, duty, sequence, term, who, here, former)
    if kind in ("deny", "told", "yield"):
        if len(rest) != TAIL.size:
            raise BadWords("length")
        member, left = TAIL.unpack(rest)
        return words._replace(member=member, left=left / 1000)
    if kind in ("greet", "greeted"):
        if len(rest) < LIVES.size:
            raise BadWords("length")
        life, known, intact, count = LIVES.unpack_from(rest)
        if intact > 1 or count > MOST_DUTIES or len(rest) != LIVES.size + count * TERM.size:
            raise BadWords("length")
        terms = tuple(t for (t,) in TERM.iter_unpack(rest[LIVES.size :]))
        return words._replace(life=life, known_life=known, intact=bool(intact), terms=terms)
    if rest:
        raise BadWords("length")
    return words
