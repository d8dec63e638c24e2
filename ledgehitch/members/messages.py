"""Messages of membership, encoded with bounded size. Free of I/O; the frame authenticates them. Layout:

kind u8, sequence u32, about u16, 8 bytes reserved (used by older releases), count u8, then count times
member u16, incarnation u48, status u8
"""

import struct
from typing import Literal, NamedTuple

from ledgehitch.members.roster import STATUSES, MemberStatus

Kind = Literal["ask", "answer", "ask for"]
KINDS: tuple[Kind, ...] = ("ask", "answer", "ask for")
HEADER = struct.Struct(">BIH8xB")
UPDATE = struct.Struct(">HHIB")
MAX_UPDATES = 110  # per message: about a kilobyte, so that refutations keep up with suspicions under loss


class MembershipMessage(NamedTuple):
    """One message. `sequence`: of the requester. `about`: the member probed by an indirect probe."""

    kind: Kind
    sequence: int
    about: int
    news: tuple[MemberStatus, ...]


class InvalidMessage(ValueError):
    """The bytes are no valid message; the text names the reason."""


def encode(message: MembershipMessage) -> bytes:
    updates = message.news[:MAX_UPDATES]
    header = HEADER.pack(
        KINDS.index(message.kind), message.sequence & 0xFFFFFFFF, message.about, len(updates)
    )
    return header + b"".join(
        UPDATE.pack(n, i >> 32 & 0xFFFF, i & 0xFFFFFFFF, STATUSES.index(s)) for n, i, s in updates
    )


def decode(data: bytes) -> MembershipMessage:
    """Decodes a message. Raises `InvalidMessage`."""
    if len(data) < HEADER.size:
        raise InvalidMessage("short")
    kind, sequence, about, count = HEADER.unpack_from(data)
    if kind >= len(KINDS):
        raise InvalidMessage("kind")
    if count > MAX_UPDATES or len(data) != HEADER.size + count * UPDATE.size:
        raise InvalidMessage("length")
    news = []
    for member, high, low, status in UPDATE.iter_unpack(data[HEADER.size :]):
        if status >= len(STATUSES):
            raise InvalidMessage("status")
        news.append(MemberStatus(member, high << 32 | low, STATUSES[status]))
    return MembershipMessage(KINDS[kind], sequence, about, tuple(news))
