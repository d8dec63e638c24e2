"""The network between gateways: takes datagrams at a port for each and delivers them late, or not at all."""

import random
import time

from ledgehitch.loop import Datagrams, Endpoint, Loop

MOST_ON_THEIR_WAY = 10000


class PeerNetwork:
    def __init__(
        self, loop: Loop, routes: dict[str, tuple[Endpoint, Endpoint]], delay: float, loss: float, seed: int
    ) -> None:
        """`routes`: for each gateway where others send to, and where it hears."""
        self.loop, self.delay, self.loss = loop, delay, loss
        self.lost_more = 0.0  # what a trouble adds to the loss
        self.chance = random.Random(f"{seed}/peers")
        self.delivered = self.lost = self._on_their_way = 0
        for name, (via, to) in sorted(routes.items()):
            loop.spawn(self._carry, Datagrams(loop, via), to, name=f"peers to {name}")

    def _carry(self, socket: Datagrams, to: Endpoint) -> None:
        while True:
            data, _ = socket.receive()
            dropped = self.chance.random() < max(self.loss, self.lost_more)
            if dropped or self._on_their_way >= MOST_ON_THEIR_WAY:
                self.lost += 1
                continue
            self._on_their_way += 1
            at = time.monotonic() + self.delay * self.chance.expovariate(1.0)
            self.loop.call_at(at, lambda data=data: self._deliver(socket, data, to))  # type: ignore[misc]

    def _deliver(self, socket: Datagrams, data: bytes, to: Endpoint) -> None:
        self._on_their_way -= 1
        self.delivered += socket.send(data, to)
