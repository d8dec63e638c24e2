"""Messages between gateways as datagrams: from known addresses only, at most 256 bytes, without retries."""

from collections.abc import Callable

from ledgehitch.loop.kernel import Loop
from ledgehitch.loop.sockets import ACCEPT_PAUSE_S, Datagrams, endpoint

MAX_DATAGRAM_BYTES = 256  # by the platform's specification


class PeerChannel:
    """Sends messages to other gateways and receives theirs."""

    def __init__(
        self, loop: Loop, listen: str, peers: tuple[str, ...], on_message: Callable[[float, bytes], None]
    ) -> None:
        self.loop, self.on_message = loop, on_message
        self.socket = Datagrams(loop, endpoint(listen))
        self.refused = 0  # datagrams of unknown senders or of the wrong size
        self.set_peers(peers)

    def set_peers(self, peers: tuple[str, ...]) -> None:
        """Sets the addresses of all gateways, in the order of their numbers."""
        self.addresses = [endpoint(address) for address in peers]
        self._known = {peer.address for peer in self.addresses}

    def send(self, message: bytes, recipient: int) -> None:
        """Sends a message to the gateway of this number; drops it where there is none or it is too long."""
        if 0 <= recipient < len(self.addresses) and len(message) <= MAX_DATAGRAM_BYTES:
            self.socket.send(message, self.addresses[recipient])

    def run(self) -> None:
        """Receives messages until it is cancelled; runs as a task."""
        while True:
            try:
                message, sender = self.socket.receive()
            except OSError:
                # A failed receive, for instance without memory for a moment, must not end the receiving.
                self.loop.sleep(ACCEPT_PAUSE_S)
                continue
            if sender not in self._known or not 0 < len(message) <= MAX_DATAGRAM_BYTES:
                self.refused += 1
                continue
            self.on_message(self.loop.now, message)
