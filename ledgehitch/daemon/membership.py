"""Carries out membership: datagrams in and out, and the number of this life on disk."""

import random
import time
from collections.abc import Callable, Sequence
from pathlib import Path
from typing import Any

import structlog
from blake3 import blake3

from ledgehitch.config import Site
from ledgehitch.gateway.peers import DatagramRejected, PeerCodec
from ledgehitch.loop import Datagrams, Loop, endpoint
from ledgehitch.loop.timers import Timer
from ledgehitch.members.decide import Members, Send, StatusChanged
from ledgehitch.members.words import InvalidMessage, decode, encode
from ledgehitch.owners.words import FIRST_KIND
from ledgehitch.quality.keep import SnapshotStore

CONTEXT = "ledgehitch 2026 membership datagrams"  # so that no datagram of another kind is one of these
log = structlog.get_logger("members")


class Membership:
    def __init__(
        self, loop: Loop, site: Site, name: str, ring: Sequence[bytes], directory: Path, seed: int
    ) -> None:
        self.loop, self.site = loop, site
        self.names = [g.name for g in site.gateways]
        me = self.names.index(name)
        self.store = SnapshotStore(directory / f"{name}.members")
        held: dict[str, Any] = self.store.read() or {}
        self.life = max(int(held.get("life", 0)) + 1, 1)
        self.store.write({"life": self.life})
        secrets = [blake3(key, derive_key_context=CONTEXT).digest() for key in ring]
        self.frames = PeerCodec(secrets, me, time.time_ns())
        now = time.monotonic()
        self.members = Members(now, me, len(self.names), self.life, random.Random(seed))
        here = site.gateways[me]
        self.socket = Datagrams(loop, endpoint(here.members_at))
        self.at = {
            i: endpoint(g.members_via or g.members_at)
            for i, g in enumerate(site.gateways)
            if i != me and (g.members_via or g.members_at)
        }
        self.bad: dict[str, int] = {}
        self.more: Callable[[int, bytes], None] | None = None  # words that are not membership's own
        self._timer: Timer | None = None
        self._hearing = loop.spawn(self._hear, name="members")
        self._pull()

    def _hear(self) -> None:
        while True:
            try:
                data, _ = self.socket.receive()
            except ConnectionAbortedError:
                return  # it was closed while this task was about to read
            try:
                sender, body = self.frames.unframe(time.time(), data)
                if body and body[0] >= FIRST_KIND:
                    if self.more is not None:
                        self.more(sender, body)
                    continue
                self.members.on_message(time.monotonic(), sender, decode(body))
            except DatagramRejected:
                continue  # counted there
            except InvalidMessage as why:
                self.bad[str(why)] = self.bad.get(str(why), 0) + 1
                continue
            self._pull()

    def _pull(self) -> None:
        now = time.monotonic()
        while (decision := self.members.decide(now)) is not None:
            match decision:
                case Send(to, words):
                    self.send(to, encode(words))
                case StatusChanged(member, status):
                    log.info("a member", gateway=self.names[member], status=status)
        if self._timer is not None:
            self.loop.timers.cancel(self._timer)
        self._timer = self.loop.call_at(max(self.members.wake_at(), now + 0.005), self._pull)

    def send(self, to: int, body: bytes) -> None:
        if to in self.at:
            self.socket.send(self.frames.frame(time.time(), to, body), self.at[to])

    def leave(self, back_soon: bool) -> None:
        """Told to others as the process goes."""
        self.members.leave(time.monotonic(), not back_soon)
        self._pull()

    def close(self) -> None:
        """Nothing is heard or said any more."""
        self._hearing.cancel()
        self.socket.close()
        if self._timer is not None:
            self.loop.timers.cancel(self._timer)

    def statuses(self) -> dict[str, str]:
        return {self.names[n]: status for n, status in self.members.statuses().items()}

    def is_alive(self, name: str) -> bool:
        """Whether a gateway may be sent viewers."""
        return self.members.roster.status(self.names.index(name)) == "alive"
