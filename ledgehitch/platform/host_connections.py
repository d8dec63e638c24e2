"""Connections to media hosts: opened when needed, shared by set-ups, closed when idle.

Messages are passed on to the controller at once. Which connection takes a set-up is decided in
`connection_choice.py`.
"""

import errno
import time
from typing import Protocol

from ledgehitch import hostline
from ledgehitch.facts import ConnectionSettings
from ledgehitch.interface import Outcome
from ledgehitch.loop.kernel import Cancelled, Loop, Task, TimedOut
from ledgehitch.loop.sockets import Stream, connect, endpoint
from ledgehitch.platform.buffered_writer import BufferedWriter
from ledgehitch.platform.byte_budget import ByteBudget
from ledgehitch.platform.connection_choice import choose, eviction_order, expired
from ledgehitch.platform.failure_detector import FailureDetector
from ledgehitch.platform.host_connection import Fields, HostConnection
from ledgehitch.platform.log import log

READ_BYTES = 16384  # of one read
CLOSE_TIMEOUT_S = 1.0  # for a media host to close a connection whose sending half was closed here
REFUSED = (errno.ECONNREFUSED, errno.ECONNRESET)


class HostEvents(Protocol):
    """Receiver of what media hosts report; `now` is when it came."""

    def confirm_delayed_send(self, now: float, tag: str, connection: "HostConnection") -> float | None: ...
    def on_started(
        self, now: float, tag: str, host: str, connection: "HostConnection", description: str
    ) -> None: ...
    def on_finished(
        self,
        now: float,
        tag: str,
        host: str,
        connection: "HostConnection",
        cause: int,
        loads: list[float],
    ) -> None: ...
    def on_notice(self, now: float, tag: str, host: str, note: str, value: float) -> None: ...
    def on_probe_result(
        self, now: float, host: str, passed: bool, took: float, loads: list[float]
    ) -> None: ...
    def on_connection_lost(self, now: float, tag: str, host: str, outcome: Outcome) -> None: ...
    def is_at(self, tag: str, host: str) -> bool: ...
    def schedule(self) -> None: ...


class HostConnections:
    """All connections to media hosts."""

    def __init__(
        self,
        loop: Loop,
        settings: ConnectionSettings,
        detector: FailureDetector,
        max_connections: int,
        unsent: ByteBudget[BufferedWriter],
        load_fields: tuple[str, ...],
    ) -> None:
        self.loop, self.settings, self.detector = loop, settings, detector
        self.max_connections, self.unsent, self.load_fields = max_connections, unsent, load_fields
        self.addresses: dict[str, str] = {}
        self.started_at: dict[str, float] = {}  # when each process began, by the latest list
        self.connections: dict[str, list[HostConnection]] = {}
        self.opened = self.malformed = 0
        self.controller: HostEvents
        self.owner: Task | None = None  # of the tasks of all connections
        self._probes = 0

    @property
    def count(self) -> int:
        """Number of connections that are established or being opened."""
        return sum(map(len, self.connections.values()))

    @property
    def descriptors(self) -> int:
        """Number of descriptors that the connections use."""
        return sum(
            each.writer is None or each.writer.stream.fd >= 0
            for connections in self.connections.values()
            for each in connections
        )

    @property
    def unsent_bytes(self) -> int:
        """Number of bytes that are buffered until media hosts read."""
        return self.unsent.total

    # ---- commands of the controller ------------------------------------------------------------------------

    def set_up(self, tag: str, host: str, fields: Fields, description: bytes) -> HostConnection | None:
        """Sends a set-up, or queues it until the connection is established and has sent what came before.

        Returns None, and sends nothing, where no connection is available.
        """
        connection = self._choose(host, tag)
        if connection is None:
            return None
        connection.pending[tag] = None
        connection.last_used_at = self.loop.now
        if connection.writer is None or connection.writer.unsent_bytes or connection.queue:
            connection.queue.append((tag, fields, description))
        else:
            connection.on_asked(time.monotonic())
            connection.writer.write(hostline.encode("START", tag, fields, None, description.decode()))
        return connection

    def _flush(self, connection: HostConnection) -> None:
        """Sends as much of the queue as the socket takes. Each queued set-up is checked again before it."""
        while (
            connection.queue
            and connection.writer is not None
            and not connection.writer.unsent_bytes
            and not connection.closed
        ):
            item = connection.queue.pop(0)
            if isinstance(item, bytes):
                connection.writer.write(item)
                continue
            tag, fields, description = item
            time_left = self.controller.confirm_delayed_send(time.monotonic(), tag, connection)
            if time_left is None:
                connection.pending.pop(tag, None)
                continue
            connection.last_used_at = self.loop.now
            connection.on_asked(time.monotonic())
            fields["left"] = str(max(1, int(time_left * 1000)))
            connection.writer.write(hostline.encode("START", tag, fields, None, description.decode()))

    def cancel(self, connection: HostConnection, tag: str, timed_out: bool) -> bool:
        """Cancels a set-up that has no outcome; returns whether it had been sent."""
        unsent = tag in connection.unsent_setups
        if unsent:
            connection.queue = [
                item for item in connection.queue if isinstance(item, bytes) or item[0] != tag
            ]
            connection.pending.pop(tag, None)
        elif connection.on_outcome(tag) and not connection.closed:
            connection.suspect |= timed_out
            connection.on_asked(time.monotonic())
            connection.on_end_sent(time.monotonic(), tag)
            connection.write(hostline.encode("FINISH", tag, {}, 16))
        return not unsent

    def release(self, host: str, tag: str, connection: HostConnection | None) -> None:
        """Ends a viewing that plays."""
        sent_on = self._send(host, connection, hostline.encode("FINISH", tag, {}, 31))
        if sent_on is not None:
            sent_on.on_end_sent(time.monotonic(), tag)

    def set_rung(self, host: str, tag: str, connection: HostConnection | None, rung: int) -> None:
        self._send(host, connection, hostline.encode("RATE", tag, {"rung": rung}))

    def probe(self, host: str) -> bool:
        """Sends a probe; returns False where no connection is available."""
        connection = self._choose(host, displace=False)
        if connection is None or len(connection.probes) >= self.settings.max_streams:
            return False
        self._probes += 1
        tag = f"{self._probes:016x}"
        connection.probes[tag] = time.monotonic()
        connection.on_asked(time.monotonic())
        connection.last_used_at = self.loop.now
        connection.write(hostline.encode("ECHO", tag, {}, 1))
        return True

    def open(self, host: str) -> None:
        """Opens a connection to a host whose releases are expected."""
        if host in self.addresses:
            self._open(host)

    def on_host_listed(self, host: str, address: str, gone: bool, started_at: float = 0.0) -> None:
        """Updates the address of a host and closes or distrusts connections to its former process or address.

        Those may stay open and silent, and take no set-up any more.
        """
        connections = self.connections.get(host, ())
        if gone:
            self.addresses.pop(host, None)
            self.started_at.pop(host, None)
        else:
            if started_at > self.started_at.get(host, started_at):
                for connection in connections:
                    connection.suspect = True
            self.addresses[host], self.started_at[host] = address, started_at
        for connection in list(connections):
            if not connection.pending and (gone or connection.address != address):
                self.close(connection)

    def _send(self, host: str, connection: HostConnection | None, data: bytes) -> HostConnection | None:
        """Sends on the connection of the set-up; where that is gone or silent on any other, or on a new one.

        Returns the connection, None where none is available.
        """
        if connection is None or connection.closed or connection.is_silent(time.monotonic()):
            connection = self._any_connection(host) or self._open(host)
        if connection is not None:
            connection.write(data)
        return connection

    def _any_connection(self, host: str) -> HostConnection | None:
        """Returns an open connection for a message that is tied to none, the one most likely to work."""
        now, address = time.monotonic(), self.addresses.get(host)
        usable = [
            each
            for each in self.connections.get(host, ())
            if not each.closed and not each.is_silent(now) and each.address == (address or each.address)
        ]
        return min(usable, key=lambda each: not each.established, default=None)

    def _choose(self, host: str, tag: str = "", displace: bool = True) -> HostConnection | None:
        now, address = self.loop.now, self.addresses.get(host)
        usable = [
            each for each in self.connections.get(host, ()) if not each.closed and each.address == address
        ]
        while (
            connection := choose(usable, self.settings.max_streams, now, self.settings.idle_timeout_s, tag)
        ) is not None:
            # The media host may have closed the connection, which is not read yet: no set-up may go there.
            if connection.pending or connection.writer is None or not connection.writer.stream.peer_closed():
                return connection
            usable.remove(connection)
        return self._open(host, displace)

    # ---- one connection ------------------------------------------------------------------------------------

    def _open(self, host: str, displace: bool = True) -> HostConnection | None:
        """Opens a connection; `displace`: even in place of one to another host with viewings."""
        address = self.addresses.get(host)
        if address is None:
            return None
        if self.descriptors >= self.max_connections and not self._evict(displace):
            log("connection-limit", host=host, lines=self.count)
            return None
        connection = HostConnection(host, address, self.loop.now)
        self.connections.setdefault(host, []).append(connection)
        self.opened += 1
        self.detector.on_connecting(host)
        connection.task = self.loop.spawn(
            self._run, connection, address, name="host-connection", owner=self.owner
        )
        return connection

    def _evict(self, displace: bool) -> bool:
        """Closes a connection at once, for another one to be opened; returns whether there was one."""
        for candidate in eviction_order(
            (each for connections in self.connections.values() for each in connections if not each.closed),
            self.loop.now,
            self.detector.hosts_with_viewings,
            displace,
        ):
            # A release may have come on it that is not read yet.
            if candidate.writer is not None and candidate.writer.stream.is_idle():
                self.close(candidate)
                candidate.writer.stream.close()
                self.detector.on_evicted(self.loop.now, candidate.host)
                return True
        return False

    def _run(self, connection: HostConnection, address: str) -> None:
        try:
            with self.loop.deadline(self.settings.connect_timeout_s):
                stream = connect(self.loop, endpoint(address))
        except (OSError, TimedOut) as error:
            log(
                "connect-failed",
                host=connection.host,
                why=str(error) or "timed out",
                open=len(connection.pending),
            )
            self.detector.on_connect_failed(
                self.loop.now, connection.host, isinstance(error, OSError) and error.errno in REFUSED
            )
            self._on_closed(connection, Outcome.CONNECT_FAILED)
            return
        except Cancelled:
            self.detector.on_connect_failed(self.loop.now, connection.host, False)
            self._on_closed(connection, Outcome.CONNECT_FAILED)
            raise
        connection.writer = BufferedWriter(
            self.loop,
            stream,
            self.unsent,
            lambda: self.close(connection),
            lambda: self._flush(connection),
        )
        self.detector.on_connected(self.loop.now, connection.host)
        self._flush(connection)
        outcome, all_was_read = Outcome.RESET, False
        try:
            self._read(connection, stream)
            # What the media host sent before it closed was read, unless something between cut it short.
            all_was_read = connection.retired_at is not None
            log("connection-ended", host=connection.host, open=len(connection.pending))
        except hostline.Malformed as error:
            # Not a reset: the host did answer, so its process has not died.
            outcome = Outcome.ERROR
            self.malformed += 1
            log("malformed-line", host=connection.host, why=str(error)[:80], open=len(connection.pending))
        except OSError as error:
            log("connection-reset", host=connection.host, why=error.strerror, open=len(connection.pending))
        finally:
            stream.close()
            connection.writer.close()
            self.detector.on_connection_closed(
                self.loop.now,
                connection.host,
                may_hold_releases=not all_was_read,
                closed_here=connection.closed or outcome is Outcome.ERROR,
                was_heard=connection.was_heard,
            )
            self._on_closed(connection, outcome)

    def _read(self, connection: HostConnection, stream: Stream) -> None:
        reader = hostline.Reader()
        while True:
            data = stream.receive(READ_BYTES, likely_empty=True)
            if not data:
                return
            now = self.loop.now
            self.detector.on_data(now, connection.host)
            for verb, tag, fields, cause, description in reader.feed(data):
                is_late = tag in connection.recent
                self._on_message(now, connection, verb, tag, fields, cause, description)
                connection.on_message(now, is_late)

    def _on_message(
        self,
        now: float,
        connection: HostConnection,
        verb: str,
        tag: str,
        fields: hostline.codec.Fields,
        cause: int | None,
        description: str | None,
    ) -> None:
        controller = self.controller
        if verb == "STARTED":
            connection.on_outcome(tag)
            controller.on_started(now, tag, connection.host, connection, description or "")
        elif verb == "FINISHED":
            self._on_end_confirmed(connection.host, tag)
        elif verb == "FINISH":
            connection.on_outcome(tag)
            self._on_end_confirmed(connection.host, tag)
            loads = hostline.parse_loads(fields, self.load_fields)
            controller.on_finished(
                now, tag, connection.host, connection, 0 if cause is None else cause, loads
            )
        elif verb == "NOTICE":
            value = fields.get("value", "")
            try:
                controller.on_notice(now, tag, connection.host, str(fields.get("note", "")), float(value))
            except (ValueError, OverflowError):
                raise hostline.Malformed(f"the value of a notice is {value!r:.40}, not a number") from None
        elif verb == "ECHOED":
            sent_at = connection.probes.pop(tag, None)
            if sent_at is not None:
                loads = hostline.parse_loads(fields, self.load_fields)
                controller.on_probe_result(now, connection.host, cause == 1, now - sent_at, loads)

    def _on_end_confirmed(self, host: str, tag: str) -> None:
        for connection in self.connections.get(host, ()):
            connection.ends_sent.pop(tag, None)

    def close(self, connection: HostConnection) -> None:
        """Closes a connection; it takes no set-up or release from now on, though its task ends later."""
        connection.closed = True
        if connection.task is not None:
            connection.task.cancel()

    def _retire(self, connection: HostConnection) -> None:
        """Closes the sending half of an idle connection, and the rest when the media host has closed it.

        A release that is under way still arrives.
        """
        writer = connection.writer
        if writer is None or writer.unsent_bytes or not writer.stream.close_sending():
            self.close(connection)
            return
        connection.closed = True
        connection.retired_at = self.loop.now

    def _on_closed(self, connection: HostConnection, outcome: Outcome) -> None:
        """Reports the pending set-ups and probes of a connection that ended."""
        connection.closed = True
        connections = self.connections[connection.host]
        connections.remove(connection)
        if not connections:
            del self.connections[connection.host]
        now = self.loop.now
        unsent = connection.unsent_setups
        for tag in list(connection.pending):
            self.controller.on_connection_lost(
                now, tag, connection.host, Outcome.CONNECT_FAILED if tag in unsent else outcome
            )
        connection.pending.clear()
        connection.queue.clear()
        for sent_at in connection.probes.values():
            self.controller.on_probe_result(now, connection.host, False, now - sent_at, [])
        connection.probes.clear()
        self._send_ends_again(connection)
        self.controller.schedule()

    def _send_ends_again(self, connection: HostConnection) -> None:
        """Sends ends of viewings, which may be lost with the connection that has ended, on another.

        That is done once for each. An id that came again since, and is now at the same media host, is left
        alone.
        """
        host = connection.host
        for tag in connection.take_unconfirmed_ends(time.monotonic()):
            if not self.controller.is_at(tag, host):
                log("end-sent-again", host=host, session=tag)
                self._send(host, None, hostline.encode("FINISH", tag, {}, 31))

    def sweep(self, now: float) -> None:
        """Closes connections that were unused for too long, and silent ones without a set-up."""
        for host, connections in list(self.connections.items()):
            self._check_silence(now, host, connections)
            for connection in connections:
                if connection.retired_at is not None and now - connection.retired_at > CLOSE_TIMEOUT_S:
                    connection.retired_at = None
                    self.close(connection)
            state = self.detector.hosts.get(host)
            needed = 1 if state is not None and state.viewings else 0
            for connection in expired(
                now, [each for each in connections if not each.closed], needed, self.settings.idle_timeout_s
            ):
                if connection.suspect:
                    self.close(connection)
                else:
                    self._retire(connection)

    def _check_silence(self, now: float, host: str, connections: list[HostConnection]) -> None:
        """Takes a connection that owes an answer for too long out of use; what it holds comes on the next."""
        silent = [each for each in connections if not each.closed and each.is_silent(now)]
        for connection in silent:
            if not connection.pending:
                connection.suspect = True
        if silent:
            self.detector.on_connection_silent(now, host)
