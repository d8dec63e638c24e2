"""What members say to one another, as bytes of bounded size. Free of I/O; authenticity is the frame's.

kind u8, sequence u32, about u16, 8 bytes that former programs went by, count u8, then count times
member u16, incarnation u48, status u8
"""

import struct
from typing import Literal, NamedTuple

from ledgehitch.members.roster import STATUSES, News

Kind = Literal["ask", "answer", "ask for"]
KINDS: tuple[Kind, ...] = ("ask", "answer", "ask for")
HEAD = struct.Struct(">BIH8xB")
ITEM = struct.Struct(">HHIB")
MOST_NEWS = 110  # of one message: about a kilobyte, so that refutations keep up with doubts under loss


class Words(NamedTuple):
    """`sequence` is the asker's own; `about`: whom a question that was asked for another is about."""

    kind: Kind
    sequence: int
    about: int
    news: tuple[News, ...]


class BadWords(ValueError):
    """What came is none of these; the text says why."""


def written(words: Words) -> bytes:
    some = words.news[:MOST_NEWS]
    head = HEAD.pack(KINDS.index(words.kind), words.sequence & 0xFFFFFFFF, words.about, len(some))
    return head + b"".join(
        ITEM.pack(n, i >> 32 & 0xFFFF, i & 0xFFFFFFFF, STATUSES.index(s)) for n, i, s in some
    )


def read(data: bytes) -> Words:
    """Raises `BadWords`."""
    if len(data) < HEAD.size:
        raise BadWords("short")
    kind, sequence, about, count = HEAD.unpack_from(data)
    if kind >= len(KINDS):
        raise BadWords("kind")
    if count > MOST_NEWS or len(data) != HEAD.size + count * ITEM.size:
        raise BadWords("length")
    news = []
    for member, high, low, status in ITEM.iter_unpack(data[HEAD.size :]):
        if status >= len(STATUSES):
            raise BadWords("status")
        news.append(News(member, high << 32 | low, STATUSES[status]))
    return Words(KINDS[kind], sequence, about, tuple(news))
