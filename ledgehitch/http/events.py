"""Server-sent events: written, and read from bytes as they come. After the HTML standard, section 9.2."""

from collections import deque
from collections.abc import Callable, Iterator

from ledgehitch.loop import Channel, Loop

MOST_LINE = 1 << 20  # bytes of one line; a stream with a longer one is broken


def event(data: str, name: str = "", number: str = "") -> bytes:
    """One event as it goes over the wire."""
    lines = [f"event: {name}"] if name else []
    lines += [f"id: {number}"] if number else []
    lines += [f"data: {line}" for line in data.split("\n")]
    return ("\n".join(lines) + "\n\n").encode()


class Events:
    """Feed it bytes; `feed` gives (name, number, data) of each event that became whole."""

    def __init__(self) -> None:
        self._rest = b""
        self._name = self._number = ""
        self._data: list[str] = []

    def feed(self, data: bytes) -> Iterator[tuple[str, str, str]]:
        *lines, self._rest = (self._rest + data).replace(b"\r\n", b"\n").split(b"\n")
        if len(self._rest) > MOST_LINE:
            raise ValueError("a line of the event stream is too long")
        for raw in lines:
            line = raw.decode("utf-8", "replace")
            if not line:
                if self._data:
                    yield self._name, self._number, "\n".join(self._data)
                self._name, self._data = "", []
                continue
            field, _, value = line.partition(":")
            value = value.removeprefix(" ")
            if field == "data":
                self._data.append(value)
            elif field == "event":
                self._name = value
            elif field == "id":
                self._number = value


def events_from(parts: Iterator[bytes]) -> Iterator[tuple[str, str, str]]:
    reader = Events()
    for part in parts:
        yield from reader.feed(part)


class Feed:
    """What is to be sent to one reader of a stream: bounded; a reader too slow is cut off, not waited for."""

    def __init__(self, loop: Loop, room: int = 4096) -> None:
        self._channel: Channel[bytes] = Channel(loop, room)
        self.cut = False

    def tell(self, data: bytes) -> bool:
        """Whether the reader still keeps up."""
        if not self._channel.try_put(data):
            self.cut = True
            self._channel.close()
        return not self.cut

    def close(self) -> None:
        self._channel.close()

    def send_all(self, send: Callable[[bytes], None]) -> None:
        """Runs as a response's stream until closed; joins what has gathered into one write."""
        while True:
            parts: deque[bytes] = deque([self._channel.take()])
            while len(self._channel) and len(parts) < 256:
                parts.append(self._channel.take())
            send(b"".join(parts))
