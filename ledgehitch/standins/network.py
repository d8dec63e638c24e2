"""The simulated network between gateways: a UDP proxy that delays and drops datagrams."""

import random
import time

from ledgehitch.loop import Datagrams, Endpoint, Loop

MAX_IN_FLIGHT = 10000  # datagrams


class PeerNetwork:
    """Forwards datagrams to each gateway with a random delay in seconds and a probability of loss."""

    def __init__(
        self, loop: Loop, routes: dict[str, tuple[Endpoint, Endpoint]], delay: float, loss: float, seed: int
    ) -> None:
        """Starts a proxy for each gateway. `routes`: by gateway, the proxy's address and its own."""
        self.loop, self.delay, self.loss = loop, delay, loss
        self.fault_loss = 0.0  # loss probability of the active fault; the larger of the two applies
        self.chance = random.Random(f"{seed}/peers")
        self.delivered = self.lost = self._in_flight = 0
        for name, (via, to) in sorted(routes.items()):
            loop.spawn(self._carry, Datagrams(loop, via), to, name=f"peers to {name}")

    def _carry(self, socket: Datagrams, to: Endpoint) -> None:
        while True:
            data, _ = socket.receive()
            dropped = self.chance.random() < max(self.loss, self.fault_loss)
            if dropped or self._in_flight >= MAX_IN_FLIGHT:
                self.lost += 1
                continue
            self._in_flight += 1
            at = time.monotonic() + self.delay * self.chance.expovariate(1.0)
            self.loop.call_at(at, lambda data=data: self._deliver(socket, data, to))  # type: ignore[misc]

    def _deliver(self, socket: Datagrams, data: bytes, to: Endpoint) -> None:
        self._in_flight -= 1
        self.delivered += socket.send(data, to)
