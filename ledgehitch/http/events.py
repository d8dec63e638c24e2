"""Server-sent events: encoding and incremental parsing, after section 9.2 of the HTML standard."""

from collections import deque
from collections.abc import Callable, Iterator

from ledgehitch.loop import Channel, Loop

MAX_LINE_BYTES = 1 << 20  # a stream with a longer line is invalid
MAX_EVENT_CHARACTERS = 1 << 22  # a stream with a longer event is invalid


def encode_event(data: str, name: str = "", number: str = "") -> bytes:
    """Returns the encoding of one event; `number` is its id."""
    lines = [f"event: {name}"] if name else []
    lines += [f"id: {number}"] if number else []
    lines += [f"data: {line}" for line in data.split("\n")]
    return ("\n".join(lines) + "\n\n").encode()


class EventParser:
    """An incremental parser: `feed` takes bytes and yields (name, id, data) of each complete event."""

    def __init__(self) -> None:
        self._rest = b""
        self._name = self._number = ""
        self._data: list[str] = []
        self._size = 0  # characters of the event so far, line ends included

    def feed(self, data: bytes) -> Iterator[tuple[str, str, str]]:
        *lines, self._rest = (self._rest + data).replace(b"\r\n", b"\n").split(b"\n")
        if len(self._rest) > MAX_LINE_BYTES:
            raise ValueError("a line of the event stream is too long")
        for raw in lines:
            line = raw.decode("utf-8", "replace")
            if not line:
                if self._data:
                    yield self._name, self._number, "\n".join(self._data)
                self._name, self._data, self._size = "", [], 0
                continue
            field, _, value = line.partition(":")
            value = value.removeprefix(" ")
            if field == "data":
                self._size += len(value) + 1
                if self._size > MAX_EVENT_CHARACTERS:
                    raise ValueError("an event of the stream is too long")
                self._data.append(value)
            elif field == "event":
                self._name = value
            elif field == "id":
                self._number = value


def parse_events(parts: Iterator[bytes]) -> Iterator[tuple[str, str, str]]:
    """Yields (name, id, data) of each event in a stream of bytes."""
    reader = EventParser()
    for part in parts:
        yield from reader.feed(part)


class Feed:
    """A bounded queue of data for one reader of a stream. A reader that is too slow is disconnected."""

    def __init__(self, loop: Loop, room: int = 4096) -> None:
        self._channel: Channel[bytes] = Channel(loop, room)
        self.overflowed = False

    def send(self, data: bytes) -> bool:
        """Queues data for the reader; returns False if the reader is too slow and is disconnected."""
        if not self._channel.try_put(data):
            self.overflowed = True
            self._channel.close()
        return not self.overflowed

    def close(self) -> None:
        self._channel.close()

    def send_all(self, send: Callable[[bytes], None]) -> None:
        """Serves as the stream of a response until it is closed; joins queued data into one write."""
        while True:
            parts: deque[bytes] = deque([self._channel.take()])
            while len(self._channel) and len(parts) < 256:
                parts.append(self._channel.take())
            send(b"".join(parts))
