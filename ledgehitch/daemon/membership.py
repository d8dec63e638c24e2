"""Runs the membership protocol of `members`: its datagrams, and the incarnation number on disk."""

import random
import time
from collections.abc import Callable, Sequence
from pathlib import Path
from typing import Any

import structlog
from blake3 import blake3

from ledgehitch.config import Site
from ledgehitch.gateway.peer_codec import DatagramRejected, PeerCodec
from ledgehitch.loop import Datagrams, Loop, endpoint
from ledgehitch.loop.timers import Timer
from ledgehitch.members.decide import Members, Send, StatusChanged
from ledgehitch.members.messages import InvalidMessage, decode, encode
from ledgehitch.owners.messages import FIRST_KIND
from ledgehitch.quality.keep import SnapshotStore

KEY_CONTEXT = "ledgehitch 2026 membership datagrams"  # separates these keys from those of other datagrams
log = structlog.get_logger("members")


class Membership:
    """This gateway's part in the membership protocol, and the transport for the protocols above it."""

    def __init__(
        self, loop: Loop, site: Site, name: str, key_ring: Sequence[bytes], directory: Path, seed: int
    ) -> None:
        self.loop, self.site = loop, site
        self.names = [g.name for g in site.gateways]
        own_number = self.names.index(name)
        self.store = SnapshotStore(directory / f"{name}.members")
        stored: dict[str, Any] = self.store.read() or {}
        self.life = max(int(stored.get("life", 0)) + 1, 1)
        self.store.write({"life": self.life})
        secrets = [blake3(key, derive_key_context=KEY_CONTEXT).digest() for key in key_ring]
        self.frames = PeerCodec(secrets, own_number, time.time_ns())
        now = time.monotonic()
        self.members = Members(now, own_number, len(self.names), self.life, random.Random(seed))
        own_record = site.gateways[own_number]
        self.socket = Datagrams(loop, endpoint(own_record.members_at))
        self.addresses = {
            i: endpoint(g.members_via or g.members_at)
            for i, g in enumerate(site.gateways)
            if i != own_number and (g.members_via or g.members_at)
        }
        self.rejected_messages: dict[str, int] = {}
        self.on_other_message: Callable[[int, bytes], None] | None = None  # of other protocols
        self._timer: Timer | None = None
        self._receive_task = loop.spawn(self._receive, name="members")
        self._pull()

    def _receive(self) -> None:
        while True:
            try:
                data, _ = self.socket.receive()
            except ConnectionAbortedError:
                return  # closed while this task was about to read
            try:
                sender, body = self.frames.unframe(time.time(), data)
                if body and body[0] >= FIRST_KIND:
                    if self.on_other_message is not None:
                        self.on_other_message(sender, body)
                    continue
                self.members.on_message(time.monotonic(), sender, decode(body))
            except DatagramRejected:
                continue  # counted by the codec
            except InvalidMessage as why:
                self.rejected_messages[str(why)] = self.rejected_messages.get(str(why), 0) + 1
                continue
            self._pull()

    def _pull(self) -> None:
        now = time.monotonic()
        while (decision := self.members.decide(now)) is not None:
            match decision:
                case Send(recipient, message):
                    self.send(recipient, encode(message))
                case StatusChanged(member, status):
                    log.info("member status changed", gateway=self.names[member], status=status)
        if self._timer is not None:
            self.loop.timers.cancel(self._timer)
        self._timer = self.loop.call_at(max(self.members.wake_at(), now + 0.005), self._pull)

    def send(self, recipient: int, body: bytes) -> None:
        """Sends a message to a gateway; dropped if it has no address."""
        if recipient in self.addresses:
            self.socket.send(self.frames.frame(time.time(), recipient, body), self.addresses[recipient])

    def leave(self, back_soon: bool) -> None:
        """Announces to the others that this process exits."""
        self.members.leave(time.monotonic(), not back_soon)
        self._pull()

    def close(self) -> None:
        """Stops receiving and sending."""
        self._receive_task.cancel()
        self.socket.close()
        if self._timer is not None:
            self.loop.timers.cancel(self._timer)

    def statuses(self) -> dict[str, str]:
        """Returns the status of each other gateway by name."""
        return {self.names[n]: status for n, status in self.members.statuses().items()}

    def is_alive(self, name: str) -> bool:
        """Returns whether a gateway is alive, so that viewers may be sent there."""
        return self.members.roster.status(self.names.index(name)) == "alive"
