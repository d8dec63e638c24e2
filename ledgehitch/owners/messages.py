"""Messages between members about duties, encoded with bounded size. Free of I/O.

The frame authenticates them, and the first byte distinguishes them from messages of membership. Layout:

kind u8, duty u8, sequence u32, term u64, digest of the sender's name 4 bytes, of its list 4 bytes, of its
former list 4 bytes, then by kind: nothing, or member u16 and milliseconds u32, or for `greet` and `greeted`
life u32, known life u32, flags u8, count u8 and a term u64 for each of count duties.
"""

import struct
from typing import Literal, NamedTuple

FIRST_KIND = 32  # smaller numbers are message kinds of membership
Kind = Literal["poll", "free", "ask", "grant", "deny", "yield", "told", "greet", "greeted"]
KINDS: tuple[Kind, ...] = ("poll", "free", "ask", "grant", "deny", "yield", "told", "greet", "greeted")
HEADER = struct.Struct(">BBIQ4s4s4s")
OWNER = struct.Struct(">HI")
GREETING = struct.Struct(">IIBB")
TERM = struct.Struct(">Q")
MAX_DUTIES = 32
NO_MEMBER = 0xFFFF


class DutyMessage(NamedTuple):
    """One message. `who`: digest of the sender's name; `list`, `former`: digests of its member lists.

    `member` is the owner named by a `deny` or `told`, for `left` seconds, or the successor named by a
    `yield`. Only greetings have `terms`, in the order of the duties' numbers."""

    kind: Kind
    duty: int
    sequence: int
    term: int
    who: bytes
    list: bytes
    former: bytes
    member: int = NO_MEMBER
    left: float = 0.0
    life: int = 0
    known_life: int = 0
    intact: bool = False
    terms: tuple[int, ...] = ()


class InvalidMessage(ValueError):
    """The bytes are no valid message; the text names the reason."""


def encode(message: DutyMessage) -> bytes:
    header = HEADER.pack(
        FIRST_KIND + KINDS.index(message.kind),
        message.duty,
        message.sequence & 0xFFFFFFFF,
        message.term,
        message.who,
        message.list,
        message.former,
    )
    if message.kind in ("deny", "told", "yield"):
        return header + OWNER.pack(message.member, max(0, min(int(message.left * 1000), 0xFFFFFFFF)))
    if message.kind in ("greet", "greeted"):
        terms = message.terms[:MAX_DUTIES]
        greeting = GREETING.pack(message.life, message.known_life, message.intact, len(terms))
        return header + greeting + b"".join(TERM.pack(term) for term in terms)
    return header


def decode(data: bytes) -> DutyMessage:
    """Decodes a message. Raises `InvalidMessage`."""
    if len(data) < HEADER.size:
        raise InvalidMessage("short")
    number, duty, sequence, term, who, here, former = HEADER.unpack_from(data)
    if not FIRST_KIND <= number < FIRST_KIND + len(KINDS):
        raise InvalidMessage("kind")
    kind, rest = KINDS[number - FIRST_KIND], data[HEADER.size :]
    message = DutyMessage(kind, duty, sequence, term, who, here, former)
    if kind in ("deny", "told", "yield"):
        if len(rest) != OWNER.size:
            raise InvalidMessage("length")
        member, left = OWNER.unpack(rest)
        return message._replace(member=member, left=left / 1000)
    if kind in ("greet", "greeted"):
        if len(rest) < GREETING.size:
            raise InvalidMessage("length")
        life, known, intact, count = GREETING.unpack_from(rest)
        if intact > 1 or count > MAX_DUTIES or len(rest) != GREETING.size + count * TERM.size:
            raise InvalidMessage("length")
        terms = tuple(t for (t,) in TERM.iter_unpack(rest[GREETING.size :]))
        return message._replace(life=life, known_life=known, intact=bool(intact), terms=terms)
    if rest:
        raise InvalidMessage("length")
    return message
