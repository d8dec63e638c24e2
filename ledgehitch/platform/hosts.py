"""Connections to media hosts: opened as needed, shared by set-ups, let go when idle. Decides nothing.

What comes in is handed to the carrier at once. Which connection takes a set-up is decided in `lines.py`.
"""

import errno
import time
from typing import Protocol

from ledgehitch import hostline
from ledgehitch.facts import Reach
from ledgehitch.interface import Outcome
from ledgehitch.loop.kernel import Cancelled, Loop, Task, TimedOut
from ledgehitch.loop.sockets import Stream, connect, endpoint
from ledgehitch.platform.lines import first_to_go, fittest, over
from ledgehitch.platform.log import log
from ledgehitch.platform.lost import Watch
from ledgehitch.platform.pipe import Pipe

MOST_READ = 16384
MOST_PAST = 64  # ids kept of a connection that had their outcome there
REFUSED = (errno.ECONNREFUSED, errno.ECONNRESET)


class Carrier(Protocol):
    """Who is told what media hosts say; `now` is when it came."""

    def leaves(self, now: float, tag: str, line: "Line") -> float | None: ...
    def started(self, now: float, tag: str, host: str, line: "Line", blob: str) -> None: ...
    def finished(
        self, now: float, tag: str, host: str, line: "Line", cause: int, loads: list[float]
    ) -> None: ...
    def noticed(self, now: float, tag: str, host: str, note: str, value: float) -> None: ...
    def probed(self, now: float, host: str, passed: bool, took: float, loads: list[float]) -> None: ...
    def broke(self, now: float, tag: str, host: str, how: Outcome) -> None: ...
    def stir(self) -> None: ...


Fields = dict[str, str | int | float]


class Line:
    """One connection: `open` holds the set-ups on it without an outcome, `past` the latest that had one,
    `held` what has not left (set-ups as id, fields and description; other lines as bytes), `probes` when each
    test went out."""

    __slots__ = (
        "host",
        "address",
        "pipe",
        "held",
        "open",
        "past",
        "probes",
        "doubted",
        "closed",
        "used_at",
        "task",
    )

    def __init__(self, host: str, address: str, now: float) -> None:
        self.host, self.address = host, address
        self.pipe: Pipe | None = None  # None until it is up
        self.held: list[tuple[str, Fields, str] | bytes] = []
        self.open: dict[str, None] = {}
        self.past: dict[str, None] = {}
        self.probes: dict[str, float] = {}
        self.doubted = self.closed = False
        self.used_at = now
        self.task: Task | None = None

    @property
    def up(self) -> bool:
        return self.pipe is not None

    def write(self, data: bytes) -> None:
        if self.pipe is None:
            self.held.append(data)
        else:
            self.pipe.write(data)

    @property
    def unsent(self) -> list[str]:
        """The set-ups that have not left."""
        return [words[0] for words in self.held if not isinstance(words, bytes)]

    def over(self, tag: str) -> bool:
        """A set-up has its outcome; whether it had none before."""
        had_none = self.open.pop(tag, "none") is None
        self.past.pop(tag, None)
        self.past[tag] = None
        if len(self.past) > MOST_PAST:
            del self.past[next(iter(self.past))]
        return had_none


class Hosts:
    def __init__(
        self,
        loop: Loop,
        reach: Reach,
        watch: Watch,
        most_lines: int,
        out_bytes: int,
        load_fields: tuple[str, ...],
    ) -> None:
        self.loop, self.reach, self.watch = loop, reach, watch
        self.most_lines, self.out_bytes, self.load_fields = most_lines, out_bytes, load_fields
        self.at: dict[str, str] = {}
        self.started: dict[str, float] = {}  # when each process began, as the list last said
        self.lines: dict[str, list[Line]] = {}
        self.opened = self.spoilt = 0
        self.carrier: Carrier
        self.home: Task | None = None  # owns the tasks of all lines
        self._probes = 0

    @property
    def count(self) -> int:
        """Connections that are up or being opened."""
        return sum(map(len, self.lines.values()))

    @property
    def unsent(self) -> int:
        """Bytes that are kept until the other side reads."""
        return sum(x.pipe.unsent for lines in self.lines.values() for x in lines if x.pipe is not None)

    # ---- what the carrier asks for -------------------------------------------------------------------------

    def set_up(self, tag: str, host: str, fields: Fields, blob: str) -> Line | None:
        """Sends a set-up, or holds it until the connection is up and has sent what came before; None where no
        connection may be had, nothing is sent then."""
        line = self._fit(host, tag)
        if line is None:
            return None
        line.open[tag] = None
        line.used_at = self.loop.now
        if line.pipe is None or line.pipe.unsent or line.held:
            line.held.append((tag, fields, blob))
        else:
            line.pipe.write(hostline.encode("START", tag, fields, None, blob))
        return line

    def _flush(self, line: Line) -> None:
        """Sends what was held, as far as it goes. A set-up passes the module's gate again as it leaves."""
        while line.held and line.pipe is not None and not line.pipe.unsent and not line.closed:
            words = line.held.pop(0)
            if isinstance(words, bytes):
                line.pipe.write(words)
                continue
            tag, fields, blob = words
            left = self.carrier.leaves(time.monotonic(), tag, line)
            if left is None:
                line.open.pop(tag, None)
                continue
            line.used_at = self.loop.now
            fields["left"] = str(max(1, int(left * 1000)))
            line.pipe.write(hostline.encode("START", tag, fields, None, blob))

    def give_up(self, line: Line, tag: str, late: bool) -> bool:
        """Gives up a set-up that has no outcome; `late` when it ran out of time. Whether it had left."""
        unsent = tag in line.unsent
        if unsent:
            line.held = [words for words in line.held if isinstance(words, bytes) or words[0] != tag]
            line.open.pop(tag, None)
        elif line.over(tag) and not line.closed:
            line.doubted |= late
            line.write(hostline.encode("FINISH", tag, {}, 16))
        return not unsent

    def release(self, host: str, tag: str, line: Line | None) -> None:
        """Ends a viewing that stands."""
        self._say(host, line, hostline.encode("FINISH", tag, {}, 31))

    def set_rung(self, host: str, tag: str, line: Line | None, rung: int) -> None:
        self._say(host, line, hostline.encode("RATE", tag, {"rung": rung}))

    def probe(self, host: str) -> bool:
        line = self._fit(host)
        if line is None or len(line.probes) >= self.reach.streams:
            return False
        self._probes += 1
        tag = f"{self._probes:016x}"
        line.probes[tag] = time.monotonic()
        line.used_at = self.loop.now
        line.write(hostline.encode("ECHO", tag, {}, 1))
        return True

    def keep(self, host: str) -> None:
        """Opens a connection to a host whose releases are awaited."""
        if host in self.at:
            self._open(host)

    def listed(self, host: str, address: str, gone: bool, started: float = 0.0) -> None:
        """Guards against connections to a process that is gone, or to where the host was before: they may
        stay open and silent, and take no set-up any more."""
        lines = self.lines.get(host, ())
        if gone:
            self.at.pop(host, None)
            self.started.pop(host, None)
        else:
            if started > self.started.get(host, started):
                for line in lines:
                    line.doubted = True
            self.at[host], self.started[host] = address, started
        for line in list(lines):
            if not line.open and (gone or line.address != address):
                self.close(line)

    def _say(self, host: str, line: Line | None, data: bytes) -> None:
        """On the connection of the set-up; where that is gone, on any; else on the next one opened."""
        if line is None or line.closed:
            at = self.at.get(host)
            lines = [x for x in self.lines.get(host, ()) if not x.closed and x.address == (at or x.address)]
            line = next((x for x in lines if x.pipe is not None), None) or next(iter(lines), None)
            line = line or self._open(host)
        if line is not None:
            line.write(data)

    def _fit(self, host: str, tag: str = "") -> Line | None:
        now, address = self.loop.now, self.at.get(host)
        lines = [x for x in self.lines.get(host, ()) if not x.closed and x.address == address]
        while (line := fittest(lines, self.reach.streams, now, self.reach.idle, tag)) is not None:
            # Guards against a set-up into a connection that the other side has closed, which is not read yet.
            if line.open or line.pipe is None or not line.pipe.stream.ended():
                return line
            lines.remove(line)
        return self._open(host)

    # ---- one connection ------------------------------------------------------------------------------------

    def _open(self, host: str) -> Line | None:
        address = self.at.get(host)
        if address is None:
            return None
        if self.count >= self.most_lines:
            spare = first_to_go(x for lines in self.lines.values() for x in lines if not x.closed)
            if spare is not None:
                self.close(spare)
            log("no-room-for-line", host=host, lines=self.count)
            return None
        line = Line(host, address, self.loop.now)
        self.lines.setdefault(host, []).append(line)
        self.opened += 1
        self.watch.opening(host)
        line.task = self.loop.spawn(self._run, line, address, name="line", owner=self.home)
        return line

    def _run(self, line: Line, address: str) -> None:
        try:
            with self.loop.deadline(self.reach.connect_within):
                stream = connect(self.loop, endpoint(address))
        except (OSError, TimedOut) as why:
            log("line-failed", host=line.host, why=str(why) or "time", open=len(line.open))
            self.watch.failed(self.loop.now, line.host, isinstance(why, OSError) and why.errno in REFUSED)
            self._gone(line, Outcome.CONNECT_FAILED)
            return
        except Cancelled:
            self.watch.failed(self.loop.now, line.host, False)
            self._gone(line, Outcome.CONNECT_FAILED)
            raise
        line.pipe = Pipe(
            self.loop, stream, self.out_bytes, lambda: self.close(line), lambda: self._flush(line)
        )
        self.watch.opened(self.loop.now, line.host)
        self._flush(line)
        how = Outcome.RESET
        try:
            self._read(line, stream)
            log("line-ended", host=line.host, open=len(line.open))
        except hostline.Malformed as why:
            # Guards against a spoilt answer being taken for a process that died: the host did answer.
            how = Outcome.ERROR
            self.spoilt += 1
            log("spoilt-line", host=line.host, why=str(why)[:80], open=len(line.open))
        except OSError as why:
            log("line-reset", host=line.host, why=why.strerror, open=len(line.open))
        finally:
            stream.close()
            self.watch.broke(line.host)
            self._gone(line, how)

    def _read(self, line: Line, stream: Stream) -> None:
        reader = hostline.Reader()
        while True:
            data = stream.receive(MOST_READ, likely_empty=True)
            if not data:
                return
            now = self.loop.now
            self.watch.heard(now, line.host)
            for verb, tag, fields, cause, blob in reader.feed(data):
                line.doubted = False
                self._heard(now, line, verb, tag, fields, cause, blob)

    def _heard(
        self,
        now: float,
        line: Line,
        verb: str,
        tag: str,
        fields: hostline.codec.Fields,
        cause: int | None,
        blob: str | None,
    ) -> None:
        carrier = self.carrier
        if verb == "STARTED":
            line.over(tag)
            carrier.started(now, tag, line.host, line, blob or "")
        elif verb == "FINISH":
            line.over(tag)
            loads = hostline.parse_loads(fields, self.load_fields)
            carrier.finished(now, tag, line.host, line, 0 if cause is None else cause, loads)
        elif verb == "NOTICE":
            value = fields.get("value", "")
            try:
                carrier.noticed(now, tag, line.host, str(fields.get("note", "")), float(value))
            except ValueError:
                raise hostline.Malformed(f"a note of {value!r:.40}") from None
        elif verb == "ECHOED":
            sent = line.probes.pop(tag, None)
            if sent is not None:
                loads = hostline.parse_loads(fields, self.load_fields)
                carrier.probed(now, line.host, cause == 1, now - sent, loads)

    def close(self, line: Line) -> None:
        """Guards against a set-up or a release that goes out on a connection which ends as its task runs."""
        line.closed = True
        if line.task is not None:
            line.task.cancel()

    def _gone(self, line: Line, how: Outcome) -> None:
        """What was open on a connection that ended is told."""
        line.closed = True
        lines = self.lines[line.host]
        lines.remove(line)
        if not lines:
            del self.lines[line.host]
        now = self.loop.now
        unsent = line.unsent
        for tag in list(line.open):
            self.carrier.broke(now, tag, line.host, Outcome.CONNECT_FAILED if tag in unsent else how)
        line.open.clear()
        line.held.clear()
        for sent in line.probes.values():
            self.carrier.probed(now, line.host, False, now - sent, [])
        line.probes.clear()
        self.carrier.stir()

    def sweep(self, now: float) -> None:
        """Lets go of connections that were unused too long, and of doubted ones without a set-up."""
        for host, lines in self.lines.items():
            h = self.watch.hosts.get(host)
            needed = 1 if h is not None and h.standing else 0
            for line in over(now, [x for x in lines if not x.closed], needed, self.reach.idle):
                self.close(line)
