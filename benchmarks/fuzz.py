"""Parsers fed with spoilt input for as long as is wished: no crash, no growth. `python -m benchmarks.fuzz
[SECONDS]`.

Datagrams between members, the frames around them, words on duties, bodies of the admin call, journals,
certificates, HTTP requests.
"""

import contextlib
import json
import random
import sys
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

import msgspec

from ledgehitch.config import BadInput
from ledgehitch.daemon.facts import Drain, Fence, PlanCall, PlanMessage, Reload, State
from ledgehitch.fleet.journal import _checksum, _decode
from ledgehitch.gateway.peer_codec import DatagramRejected, PeerCodec
from ledgehitch.http import Refused
from ledgehitch.http.parse import RequestReader
from ledgehitch.keys import judge
from ledgehitch.members.decide import Members
from ledgehitch.members.messages import InvalidMessage, MembershipMessage, decode, encode
from ledgehitch.members.roster import MemberStatus
from ledgehitch.owners.decide import Owners
from ledgehitch.owners.durable_state import DurableState
from ledgehitch.owners.facts import DUTIES, name_digest
from ledgehitch.owners.messages import KINDS as DUTY_KINDS
from ledgehitch.owners.messages import DutyMessage as Duty
from ledgehitch.owners.messages import InvalidMessage as BadDuty
from ledgehitch.owners.messages import decode as duty_read
from ledgehitch.owners.messages import encode as duty_written

KEY = bytes(range(32))


def spoilt(data: bytes, chance: random.Random) -> bytes:
    """Some bytes changed, cut out, doubled or put in."""
    out = bytearray(data)
    for _ in range(chance.randrange(1, 6)):
        at = chance.randrange(len(out) + 1)
        match chance.randrange(4):
            case 0 if at < len(out):
                out[at] = chance.randrange(256)
            case 1:
                del out[at : at + chance.randrange(8)]
            case 2:
                out[at:at] = out[at : at + chance.randrange(16)]
            case _:
                out[at:at] = chance.randbytes(chance.randrange(4))
    return bytes(out)


class Fed:
    def __init__(self, chance: random.Random) -> None:
        self.chance = chance
        self.receiver = PeerCodec([KEY], 1, 1)
        self.sender = PeerCodec([KEY], 0, 1)
        self.members = Members(0.0, 1, 8, 1, random.Random(1))
        self.now = 0.0
        news = tuple(MemberStatus(n, 1 << 16, "alive") for n in range(8))
        self.words = encode(MembershipMessage("ask", 1, 0, news))
        line = json.dumps({"ev": "done", "gateway": "g0"})
        self.journal = f"{_checksum('', line)} {line}\n".encode() * 1
        self.drain = msgspec.json.encode(Drain(3.0, "restart", "t", "b"))
        duty = Duty("ask", 0, 1, 1, name_digest("g0"), b"abcd", b"\0" * 4)
        self.duty_words = [duty_written(duty._replace(kind=kind, terms=(1, 2))) for kind in DUTY_KINDS]
        names = tuple(f"g{n}" for n in range(8))
        memory = DurableState(0.0, "g1", names, DUTIES, 10.0, None, 7)
        self.owners = Owners(0.0, 1, names, memory, random.Random(1))
        self.left = msgspec.json.encode(PlanMessage(duty="restarts", term=1, version=1, word="go", plan={}))
        self.request = b"POST /v1/drain HTTP/1.1\r\nHost: x\r\nContent-Length: 2\r\n\r\n{}"

    def datagram(self) -> None:
        """A stranger's frame, or a frame of a member that says nonsense."""
        self.now += 0.001
        if self.chance.random() < 0.5:
            data = spoilt(self.sender.frame(self.now, 1, self.words), self.chance)
        else:
            data = self.sender.frame(self.now, 1, spoilt(self.words, self.chance)[:1000])
        try:
            sender, body = self.receiver.unframe(self.now, data)
            self.members.on_message(self.now, sender, decode(body))
        except (DatagramRejected, InvalidMessage):
            pass
        while self.members.decide(self.now) is not None:
            pass

    def admin(self) -> None:
        for kind in (Drain, Reload, State):
            with contextlib.suppress(msgspec.MsgspecError, UnicodeDecodeError):
                msgspec.json.decode(spoilt(self.drain, self.chance), type=kind)

    def duty(self) -> None:
        """Words on duties of a member that says nonsense; what an owner leaves with a gateway."""
        self.now += 0.001
        with contextlib.suppress(BadDuty):
            data = spoilt(self.chance.choice(self.duty_words), self.chance)
            self.owners.on_message(self.now, 0, duty_read(data))
        while self.owners.decide(self.now) is not None:
            self.owners.on_stored(self.owners.durable.record())
        for kind in (Fence, PlanMessage, PlanCall):
            with contextlib.suppress(msgspec.MsgspecError, UnicodeDecodeError):
                msgspec.json.decode(spoilt(self.left, self.chance), type=kind)

    def plan(self) -> None:
        with contextlib.suppress(BadInput):
            _decode(spoilt(self.journal, self.chance), Path("journal"))

    def http(self) -> None:
        reader = RequestReader(16384, 65536)
        with contextlib.suppress(Refused):
            reader.feed(spoilt(self.request, self.chance))

    def certificate(self) -> None:
        with contextlib.suppress(judge.CertificateRejected):
            judge.parse_certificate(self.chance.randbytes(self.chance.randrange(200)))


def memory() -> float:
    return int(Path("/proc/self/statm").read_text().split()[1]) * 4 / 1024


def main(seconds: float) -> dict[str, Any]:
    fed = Fed(random.Random(1))
    kinds: dict[str, Callable[[], None]] = {
        "datagram": fed.datagram,
        "admin": fed.admin,
        "journal": fed.plan,
        "http": fed.http,
        "certificate": fed.certificate,
        "duties": fed.duty,
    }
    counts, began, first = dict.fromkeys(kinds, 0), time.monotonic(), 0.0
    while time.monotonic() - began < seconds:
        for name, call in kinds.items():
            for _ in range(100):
                call()
            counts[name] += 100
        if not first and time.monotonic() - began > 0.2 * seconds:
            first = memory()
    return {"inputs": counts, "grown_mb": round(memory() - first, 1), "refused": fed.receiver.rejected}


if __name__ == "__main__":
    print(json.dumps(main(float(sys.argv[1]) if sys.argv[1:] else 60.0)))
