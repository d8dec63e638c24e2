"""The little of SDP (RFC 8866) and of trickle ICE fragments (RFC 8840) that a gateway reads.

No maintained library serves for this alone: those there are bring a whole media stack. What is read here is
checked; all else is passed through untouched.
"""

import re
from dataclasses import dataclass, field

MOST_LINES = 2000
FLAGS = frozenset(("sendrecv", "sendonly", "recvonly", "inactive"))
WELL_FORMED = re.compile(r"(?:[A-Za-z]=[^\n]*(?:\n|\Z))+\s*")
READ = re.compile(
    r"^(?:m=(?P<m>[^\r\n]*)|b=(?P<b>[^\r\n]*)"
    r"|a=(?P<a>mid|ice-ufrag|ice-pwd|fingerprint|sendrecv|sendonly|recvonly|inactive)\b(?::(?P<v>[^\r\n]*))?)",
    re.MULTILINE,
)
MEDIA_KINDS = re.compile(r"^m=(\S+)", re.MULTILINE)
NEEDED = (("o", "an origin line (o=)"), ("s", "a session name (s=)"), ("t", "a time line (t=)"))


class BadSdp(ValueError):
    """A description that does not parse: `line` counts from 1, `reason` in plain words."""

    def __init__(self, line: int, reason: str) -> None:
        super().__init__(f"line {line}: {reason}")
        self.line, self.reason = line, reason


@dataclass
class Media:
    kind: str
    mid: str = ""
    direction: str = "sendrecv"
    kb: float | None = None  # most that the sender of the offer wants to take, in kB a second


@dataclass
class Offer:
    """What is read of an offer or answer."""

    media: list[Media] = field(default_factory=list)
    ufrag: str = ""
    password: str = ""
    fingerprint: bool = False
    kb: float | None = None

    def most_kb(self) -> float | None:
        """The bandwidth that it allows, in kB a second: of the session, or of its media together."""
        if self.kb is not None:
            return self.kb
        known = [m.kb for m in self.media if m.kb is not None]
        return sum(known) if known else None


@dataclass
class Fragment:
    ufrag: str = ""
    password: str = ""
    candidates: int = 0


def _lines(text: str) -> list[str]:
    lines = text.split("\n", MOST_LINES)
    if len(lines) > MOST_LINES:
        raise BadSdp(MOST_LINES, f"more than {MOST_LINES} lines")
    while lines and not lines[-1].strip("\r"):
        lines.pop()
    return lines


def _malformed(number: int, line: str) -> BadSdp:
    if not line:
        return BadSdp(number, "an empty line inside the description")
    return BadSdp(number, f"{line[:40]!r} is no line of the form x=value")


def _kb(number: int, value: str) -> float | None:
    kind, _, amount = value.partition(":")
    if kind not in ("AS", "TIAS"):
        return None
    if not amount.strip().isdigit():
        raise BadSdp(number, f"a bandwidth is a whole number, not {amount[:20]!r}")
    return int(amount) / 8 if kind == "AS" else int(amount) / 8000


def read_sdp(text: str) -> Offer:
    """Reads an offer or an answer; raises `BadSdp` with the line."""
    lines = _lines(text)
    if not lines or lines[0].rstrip("\r") != "v=0":
        raise BadSdp(1, "a description starts with v=0")
    if WELL_FORMED.fullmatch(text) is None:
        for number, line in enumerate(lines, 1):
            if line[1:2] != "=" or not line[0].isalpha():
                raise _malformed(number, line.rstrip("\r"))
    found = Offer()
    media = None
    for match in READ.finditer(text):
        name = match["a"]
        if name is None:
            number = text.count("\n", 0, match.start()) + 1
            if match["b"] is not None:
                kb = _kb(number, match["b"])
                if kb is not None and media is not None:
                    media.kb = kb
                elif kb is not None:
                    found.kb = kb
                continue
            parts = match["m"].split()
            if len(parts) < 4 or not parts[1].partition("/")[0].isdigit():
                said = match["m"][:40]
                raise BadSdp(number, f"a media line is 'm=kind port protocol formats', not 'm={said}'")
            media = Media(parts[0])
            found.media.append(media)
        elif name in FLAGS:
            if media is not None:
                media.direction = name
        elif name == "mid":
            if media is not None:
                media.mid = match["v"] or ""
        elif name == "ice-ufrag":
            found.ufrag = found.ufrag or match["v"] or ""
        elif name == "ice-pwd":
            found.password = found.password or match["v"] or ""
        else:
            found.fingerprint = True
    head = text.partition("\nm=")[0]
    last = len(lines)
    for needed, why in NEEDED:
        if f"\n{needed}=" not in head:
            raise BadSdp(last, f"{why} is missing")
    if not found.media:
        raise BadSdp(last, "no media line (m=)")
    if not found.ufrag or not found.password:
        raise BadSdp(last, "ICE credentials (a=ice-ufrag, a=ice-pwd) are missing")
    if not found.fingerprint:
        raise BadSdp(last, "a certificate's fingerprint (a=fingerprint) is missing")
    return found


def read_fragment(text: str) -> Fragment:
    """Reads the body of a PATCH: credentials and how many candidates."""
    found = Fragment()
    for number, line in enumerate(_lines(text), 1):
        line = line.rstrip("\r")
        if line[1:2] != "=":
            raise _malformed(number, line)
        if line[0] == "a":
            name, _, rest = line[2:].partition(":")
            if name == "ice-ufrag":
                found.ufrag = rest
            elif name == "ice-pwd":
                found.password = rest
            elif name == "candidate":
                found.candidates += 1
        elif line[0] != "m":
            raise BadSdp(number, f"a fragment holds a= and m= lines, not {line[0]}=")
    if not found.ufrag or not found.password:
        raise BadSdp(1, "ICE credentials (a=ice-ufrag, a=ice-pwd) are missing")
    return found


def wrong_answer(offer: Offer, text: str) -> str:
    """Why this is no answer to the offer; empty if it is one."""
    if not text.startswith("v=0") or WELL_FORMED.fullmatch(text) is None:
        try:
            read_sdp(text)
        except BadSdp as problem:
            return str(problem)
    kinds = MEDIA_KINDS.findall(text)
    if kinds != [m.kind for m in offer.media]:
        return f"{len(kinds)} media lines answer {len(offer.media)}, or of other kinds"
    return ""
