"""The little of SDP (RFC 8866) and of trickle ICE fragments (RFC 8840) that a gateway reads.

No maintained library serves for this alone: those there are bring a whole media stack. What is read here is
checked; all else is passed through untouched.
"""

from dataclasses import dataclass, field

MOST_LINES = 2000
DIRECTIONS = ("sendrecv", "sendonly", "recvonly", "inactive")


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


def _lines(text: str) -> list[tuple[int, str, str]]:
    lines = []
    raw = text.replace("\r\n", "\n").split("\n")
    if len(raw) > MOST_LINES:
        raise BadSdp(MOST_LINES, f"more than {MOST_LINES} lines")
    for number, line in enumerate(raw, 1):
        if not line:
            if any(raw[number:]):
                raise BadSdp(number, "an empty line inside the description")
            break
        if len(line) < 2 or line[1] != "=" or not line[0].isalpha():
            raise BadSdp(number, f"{line[:40]!r} is no line of the form x=value")
        lines.append((number, line[0], line[2:]))
    return lines


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
    if not lines or lines[0][1:] != ("v", "0"):
        raise BadSdp(1, "a description starts with v=0")
    found = Offer()
    seen = ""
    for number, letter, value in lines:
        if letter == "m":
            parts = value.split()
            if len(parts) < 4 or not parts[1].partition("/")[0].isdigit():
                raise BadSdp(number, f"a media line is 'm=kind port protocol formats', not 'm={value[:40]}'")
            found.media.append(Media(parts[0]))
        elif letter == "b":
            kb = _kb(number, value)
            if kb is not None and found.media:
                found.media[-1].kb = kb
            elif kb is not None:
                found.kb = kb
        elif letter == "a":
            name, _, rest = value.partition(":")
            if name == "ice-ufrag":
                found.ufrag = found.ufrag or rest
            elif name == "ice-pwd":
                found.password = found.password or rest
            elif name == "fingerprint":
                found.fingerprint = True
            elif name == "mid" and found.media:
                found.media[-1].mid = rest
            elif name in DIRECTIONS and found.media:
                found.media[-1].direction = name
        elif not found.media:
            seen += letter
    last = lines[-1][0]
    for needed, why in (
        ("o", "an origin line (o=)"),
        ("s", "a session name (s=)"),
        ("t", "a time line (t=)"),
    ):
        if needed not in seen:
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
    for number, letter, value in _lines(text):
        if letter == "a":
            name, _, rest = value.partition(":")
            if name == "ice-ufrag":
                found.ufrag = rest
            elif name == "ice-pwd":
                found.password = rest
            elif name == "candidate":
                found.candidates += 1
        elif letter != "m":
            raise BadSdp(number, f"a fragment holds a= and m= lines, not {letter}=")
    if not found.ufrag or not found.password:
        raise BadSdp(1, "ICE credentials (a=ice-ufrag, a=ice-pwd) are missing")
    return found


def wrong_answer(offer: Offer, text: str) -> str:
    """Why this is no answer to the offer; empty if it is one."""
    try:
        answer = read_sdp(text)
    except BadSdp as problem:
        return str(problem)
    if [m.kind for m in answer.media] != [m.kind for m in offer.media]:
        return f"{len(answer.media)} media lines answer {len(offer.media)}, or of other kinds"
    return ""
