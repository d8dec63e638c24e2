"""Parses the subset of SDP (RFC 8866) and trickle ICE fragments (RFC 8840) that a gateway needs.

Maintained libraries for this come with a whole media stack. The fields that are read here are validated;
everything else is passed through unchanged.
"""

import re
from dataclasses import dataclass, field

MAX_LINES = 2000
DIRECTIONS = frozenset(("sendrecv", "sendonly", "recvonly", "inactive"))
WELL_FORMED = re.compile(r"(?:[A-Za-z]=[^\n]*(?:\n|\Z))+\s*")
FIELDS = re.compile(
    r"^(?:m=(?P<m>[^\r\n]*)|b=(?P<b>[^\r\n]*)"
    r"|a=(?P<a>mid|ice-ufrag|ice-pwd|fingerprint|sendrecv|sendonly|recvonly|inactive)\b(?::(?P<v>[^\r\n]*))?)",
    re.MULTILINE,
)
MEDIA_KINDS = re.compile(r"^m=(\S+)", re.MULTILINE)
REQUIRED_LINES = (("o", "an origin line (o=)"), ("s", "a session name (s=)"), ("t", "a time line (t=)"))


class BadSdp(ValueError):
    """An invalid session description. `line` counts from 1, and `reason` is readable text."""

    def __init__(self, line: int, reason: str) -> None:
        super().__init__(f"line {line}: {reason}")
        self.line, self.reason = line, reason


@dataclass
class Media:
    """One media section (m=)."""

    kind: str
    mid: str = ""
    direction: str = "sendrecv"
    kb: float | None = None  # maximum bandwidth that the sender of the offer accepts, in kB/s


@dataclass
class Offer:
    """The parsed fields of an offer or answer."""

    media: list[Media] = field(default_factory=list)
    ufrag: str = ""
    password: str = ""
    fingerprint: bool = False
    kb: float | None = None

    def max_kb(self) -> float | None:
        """Returns the allowed bandwidth in kB/s: that of the session, or else the sum over its media."""
        if self.kb is not None:
            return self.kb
        known = [m.kb for m in self.media if m.kb is not None]
        return sum(known) if known else None


@dataclass
class Fragment:
    """The parsed fields of a trickle ICE fragment."""

    ufrag: str = ""
    password: str = ""
    candidates: int = 0


def _lines(text: str) -> list[str]:
    lines = text.split("\n", MAX_LINES)
    if len(lines) > MAX_LINES:
        raise BadSdp(MAX_LINES, f"more than {MAX_LINES} lines")
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


def parse_sdp(text: str) -> Offer:
    """Parses an offer or an answer; raises `BadSdp` with the number of the line at fault."""
    lines = _lines(text)
    if not lines or lines[0].rstrip("\r") != "v=0":
        raise BadSdp(1, "a description starts with v=0")
    if WELL_FORMED.fullmatch(text) is None:
        for number, line in enumerate(lines, 1):
            if line[1:2] != "=" or not line[0].isalpha():
                raise _malformed(number, line.rstrip("\r"))
    parsed = Offer()
    media = None
    for match in FIELDS.finditer(text):
        name = match["a"]
        if name is None:
            number = text.count("\n", 0, match.start()) + 1
            if match["b"] is not None:
                kb = _kb(number, match["b"])
                if kb is not None and media is not None:
                    media.kb = kb
                elif kb is not None:
                    parsed.kb = kb
                continue
            parts = match["m"].split()
            if len(parts) < 4 or not parts[1].partition("/")[0].isdigit():
                media_line = match["m"][:40]
                raise BadSdp(number, f"a media line is 'm=kind port protocol formats', not 'm={media_line}'")
            media = Media(parts[0])
            parsed.media.append(media)
        elif name in DIRECTIONS:
            if media is not None:
                media.direction = name
        elif name == "mid":
            if media is not None:
                media.mid = match["v"] or ""
        elif name == "ice-ufrag":
            parsed.ufrag = parsed.ufrag or match["v"] or ""
        elif name == "ice-pwd":
            parsed.password = parsed.password or match["v"] or ""
        else:
            parsed.fingerprint = True
    head = text.partition("\nm=")[0]
    last = len(lines)
    for line_type, description in REQUIRED_LINES:
        if f"\n{line_type}=" not in head:
            raise BadSdp(last, f"{description} is missing")
    if not parsed.media:
        raise BadSdp(last, "no media line (m=)")
    if not parsed.ufrag or not parsed.password:
        raise BadSdp(last, "ICE credentials (a=ice-ufrag, a=ice-pwd) are missing")
    if not parsed.fingerprint:
        raise BadSdp(last, "a certificate's fingerprint (a=fingerprint) is missing")
    return parsed


def parse_fragment(text: str) -> Fragment:
    """Parses the body of a PATCH: the ICE credentials and the number of candidates."""
    parsed = Fragment()
    for number, line in enumerate(_lines(text), 1):
        line = line.rstrip("\r")
        if line[1:2] != "=":
            raise _malformed(number, line)
        if line[0] == "a":
            name, _, rest = line[2:].partition(":")
            if name == "ice-ufrag":
                parsed.ufrag = rest
            elif name == "ice-pwd":
                parsed.password = rest
            elif name == "candidate":
                parsed.candidates += 1
        elif line[0] != "m":
            raise BadSdp(number, f"a fragment holds a= and m= lines, not {line[0]}=")
    if not parsed.ufrag or not parsed.password:
        raise BadSdp(1, "ICE credentials (a=ice-ufrag, a=ice-pwd) are missing")
    return parsed


def answer_mismatch(offer: Offer, text: str) -> str:
    """Returns why `text` is not an answer to the offer; empty if it is one."""
    if not text.startswith("v=0") or WELL_FORMED.fullmatch(text) is None:
        try:
            parse_sdp(text)
        except BadSdp as problem:
            return str(problem)
    kinds = MEDIA_KINDS.findall(text)
    if kinds != [m.kind for m in offer.media]:
        return f"{len(kinds)} media lines answer {len(offer.media)}, or of other kinds"
    return ""
