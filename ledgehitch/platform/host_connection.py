"""State of one connection to a media host: what is owed on it, and whether it still works. Free of I/O."""

import math

from ledgehitch.loop.kernel import Task
from ledgehitch.platform.buffered_writer import BufferedWriter

MAX_RECENT = 64  # ids with an outcome that a connection remembers
MAX_UNCONFIRMED_ENDS = 256  # ends of viewings that a connection remembers
UNCONFIRMED_END_S = 10.0  # until an end that was sent counts as read: media hosts need not confirm it
SILENCE_TIMEOUT_S = 2.0  # without a message while one is owed until a connection is taken for useless

Fields = dict[str, str | int | float]


class HostConnection:
    """One connection to a media host.

    It leads to the process that listened at `address` when it was established, under whatever id that is
    listed. `host` is the id that was listed there when it was opened, "" for none: then it takes no set-up.
    `process_since` is a time since which that process has listened there.

    `pending` holds the set-ups on it without an outcome, `recent` the latest with one, `probes` when each
    probe was sent, and `ends_sent` when the end of each viewing was sent that is not confirmed. `queue` holds
    what has not been sent: set-ups as id, fields and description, other lines as bytes. A connection is
    `suspect` after a set-up timed out on it, `closed` when it takes nothing more, and retired when it was
    closed for sending and is still read.
    """

    __slots__ = (
        "host",
        "address",
        "writer",
        "queue",
        "pending",
        "recent",
        "probes",
        "ends_sent",
        "suspect",
        "closed",
        "was_heard",
        "established_at",
        "process_since",
        "last_heard_at",
        "last_used_at",
        "retired_at",
        "_owed_since",
        "task",
    )

    def __init__(self, host: str, address: str, now: float) -> None:
        self.host, self.address = host, address
        self.writer: BufferedWriter | None = None  # None until it is established
        self.queue: list[tuple[str, Fields, bytes] | bytes] = []
        self.pending: dict[str, None] = {}
        self.recent: dict[str, None] = {}
        self.probes: dict[str, float] = {}
        self.ends_sent: dict[str, float] = {}
        self.suspect = self.closed = self.was_heard = False
        self.established_at = self.process_since = math.inf
        self.last_heard_at = -math.inf
        self.last_used_at = now
        self.retired_at: float | None = None
        self._owed_since: float | None = None  # without a message since then, though one is owed
        self.task: Task | None = None

    @property
    def established(self) -> bool:
        return self.writer is not None

    def on_established(self, now: float, writer: BufferedWriter) -> None:
        self.writer = writer
        self.established_at = self.process_since = now

    def write(self, data: bytes) -> None:
        if self.writer is None:
            self.queue.append(data)
        else:
            self.writer.write(data)

    @property
    def unsent_setups(self) -> list[str]:
        """The set-ups that have not been sent."""
        return [item[0] for item in self.queue if not isinstance(item, bytes)]

    def on_outcome(self, tag: str) -> bool:
        """Notes that a set-up has its outcome; returns whether it had none before."""
        was_pending = self.pending.pop(tag, "none") is None
        self.recent.pop(tag, None)
        self.recent[tag] = None
        if len(self.recent) > MAX_RECENT:
            del self.recent[next(iter(self.recent))]
        return was_pending

    def on_asked(self, now: float) -> None:
        """Something was sent that a sound media host answers, or would have answered."""
        if self._owed_since is None:
            self._owed_since = now

    def on_message(self, now: float, is_late: bool) -> None:
        """A message came. One that `is_late`, of a set-up with an outcome, says nothing of the others."""
        self.was_heard = True
        if not is_late:
            self.suspect = False
            self._owed_since = now if self.pending or self.probes else None

    def is_silent(self, now: float) -> bool:
        """Whether messages that the media host sends here are likely to be lost."""
        if self.suspect:
            return True
        return self._owed_since is not None and now - self._owed_since >= SILENCE_TIMEOUT_S

    def on_end_sent(self, now: float, tag: str) -> None:
        """The end of a viewing or set-up was sent."""
        self.ends_sent[tag] = now
        if len(self.ends_sent) > MAX_UNCONFIRMED_ENDS:
            del self.ends_sent[next(iter(self.ends_sent))]

    def take_unconfirmed_ends(self, now: float) -> list[str]:
        """Returns and forgets the ids whose end may not have reached the media host."""
        ends, self.ends_sent = self.ends_sent, {}
        return [tag for tag, sent_at in ends.items() if now - sent_at < UNCONFIRMED_END_S]
