"""Words between gateways as datagrams: from known addresses only, at most 256 bytes, late or never."""

from collections.abc import Callable

from ledgehitch.loop.kernel import Loop
from ledgehitch.loop.sockets import REST, Datagrams, endpoint

MOST = 256  # bytes of a datagram, by the platform's page


class Peers:
    def __init__(
        self, loop: Loop, listen: str, peers: tuple[str, ...], heard: Callable[[float, bytes], None]
    ) -> None:
        self.loop, self.heard = loop, heard
        self.socket = Datagrams(loop, endpoint(listen))
        self.refused = 0
        self.told(peers)

    def told(self, peers: tuple[str, ...]) -> None:
        """The addresses of all gateways, by their numbers."""
        self.at = [endpoint(address) for address in peers]
        self._known = {to.address for to in self.at}

    def tell(self, words: bytes, to: int) -> None:
        if 0 <= to < len(self.at) and len(words) <= MOST:
            self.socket.send(words, self.at[to])

    def run(self) -> None:
        """Hears for good; runs as a task."""
        while True:
            try:
                words, sender = self.socket.receive()
            except OSError:
                # Guards against hearing nobody any more after one that failed (no memory for a moment).
                self.loop.sleep(REST)
                continue
            if sender not in self._known or not 0 < len(words) <= MOST:
                self.refused += 1
                continue
            self.heard(self.loop.now, words)
