"""Connections to media hosts: opened when needed, shared by set-ups, closed when idle.

They are kept by address: the list's id for a media host may change while viewings stand there. Messages are
passed on to the controller at once. Which connection takes a set-up is decided in `connection_choice.py`.
"""

import errno
import time
from collections.abc import Sequence
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
from ledgehitch.platform.process_evidence import extend_continuity

READ_BYTES = 16384  # of one read
CLOSE_TIMEOUT_S = 1.0  # for a media host to close a connection whose sending half was closed here
NO_HOST = ""  # of a connection to an address at which no media host is listed


class HostEvents(Protocol):
    """Receiver of what media hosts report; `now` is when it came."""

    def confirm_delayed_send(self, now: float, tag: str, connection: "HostConnection") -> float | None: ...
    def on_started(self, now: float, tag: str, connection: "HostConnection", description: str) -> None: ...
    def on_finished(
        self, now: float, tag: str, connection: "HostConnection", cause: int, loads: list[float]
    ) -> None: ...
    def on_notice(
        self, now: float, tag: str, connection: "HostConnection", note: str, value: float
    ) -> None: ...
    def on_probe_result(
        self, now: float, host: str, passed: bool, took: float, loads: list[float]
    ) -> None: ...
    def on_connection_lost(self, now: float, tag: str, host: str, outcome: Outcome) -> None: ...
    def on_host_connection_ended(self, address: str, was_lost: bool) -> None: ...
    def is_at(self, tag: str, address: str) -> bool: ...
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
        self.addresses: dict[str, str] = {}  # of each media host that is listed
        self.hosts_listed: dict[str, str] = {}  # by address, the media host that was listed there last
        self.connections: dict[str, list[HostConnection]] = {}  # by address
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

    def release(self, address: str, tag: str, connection: HostConnection | None) -> None:
        """Ends a viewing that plays."""
        sent_on = self._send(address, connection, hostline.encode("FINISH", tag, {}, 31))
        if sent_on is not None:
            sent_on.on_end_sent(time.monotonic(), tag)

    def set_rung(self, address: str, tag: str, connection: HostConnection | None, rung: int) -> None:
        self._send(address, connection, hostline.encode("RATE", tag, {"rung": rung}))

    def probe(self, host: str) -> bool:
        """Sends a probe; returns False where no connection is available."""
        connection = self._choose(host, displace=False)
        if connection is None or len(connection.probes) >= self.settings.max_streams:
            return False
        connection.last_used_at = self.loop.now
        self._send_probe(connection, with_report=True)
        return True

    def verify(self, address: str) -> None:
        """Tests whether the connections to an address still lead to a process."""
        for connection in self.connections.get(address, ()):
            if connection.established and not connection.closed and not connection.probes:
                self._send_probe(connection, with_report=False)

    def _send_probe(self, connection: HostConnection, with_report: bool) -> None:
        self._probes += 1
        tag = f"{self._probes:016x}"
        connection.probes[tag] = time.monotonic()
        connection.on_asked(time.monotonic())
        connection.write(hostline.encode("ECHO", tag, {}, int(with_report)))

    def open(self, address: str) -> HostConnection | None:
        """Opens a connection to an address, for releases from there or for messages that are tied to none.

        Set-ups may use it, too, where a media host is listed there.
        """
        return self._open(self.hosts_listed.get(address, NO_HOST), address)

    def connections_to(self, address: str) -> Sequence[HostConnection]:
        return self.connections.get(address, ())

    def on_host_listed(self, host: str, address: str, gone: bool, started_at: float = 0.0) -> None:
        """Updates the address of a host; connections to a former process or address take no set-up any more.

        They are closed, except where viewings are at their address: as long as they bring data, the process
        that these are at has not ended.
        """
        former_address = self.addresses.pop(host, None)
        if former_address is not None and self.hosts_listed.get(former_address) == host:
            del self.hosts_listed[former_address]
        if not gone:
            self.addresses[host], self.hosts_listed[address] = address, host
            for connection in self.connections.get(address, ()):
                if connection.established_at < started_at:
                    connection.suspect = True
        if former_address is not None and (gone or former_address != address):
            for connection in list(self.connections.get(former_address, ())):
                if connection.host == host and self._is_obsolete(connection):
                    self.close(connection)

    def _is_obsolete(self, connection: HostConnection) -> bool:
        """Whether a connection to a former process or address of its media host is of no use any more."""
        return (
            self.addresses.get(connection.host) != connection.address
            and not connection.pending
            and connection.address not in self.detector.addresses_with_viewings
        )

    def _send(self, address: str, connection: HostConnection | None, data: bytes) -> HostConnection | None:
        """Sends on the connection of the set-up; where that is gone or silent on any other, or on a new one.

        Returns the connection, None where none is available.
        """
        if connection is None or connection.closed or connection.is_silent(time.monotonic()):
            connection = self._any_connection(address) or self.open(address)
        if connection is not None:
            connection.write(data)
        return connection

    def _any_connection(self, address: str) -> HostConnection | None:
        """Returns an open connection for a message that is tied to none, the one most likely to work.

        The latest one leads to the process that listens now.
        """
        now = time.monotonic()
        usable = [
            each for each in self.connections.get(address, ()) if not each.closed and not each.is_silent(now)
        ]
        return min(usable, key=lambda each: (not each.established, -each.established_at), default=None)

    def _choose(self, host: str, tag: str = "", displace: bool = True) -> HostConnection | None:
        now, address = self.loop.now, self.addresses.get(host)
        if address is None:
            return None
        usable = [each for each in self.connections.get(address, ()) if not each.closed and each.host == host]
        while (
            connection := choose(usable, self.settings.max_streams, now, self.settings.idle_timeout_s, tag)
        ) is not None:
            # The media host may have closed the connection, which is not read yet: no set-up may go there.
            if connection.pending or connection.writer is None or not connection.writer.stream.peer_closed():
                return connection
            usable.remove(connection)
        return self._open(host, address, displace)

    # ---- one connection ------------------------------------------------------------------------------------

    def _open(self, host: str, address: str, displace: bool = True) -> HostConnection | None:
        """Opens a connection; `displace`: even in place of one to another host with viewings."""
        if self.descriptors >= self.max_connections and not self._evict(displace):
            log("connection-limit", host=host, lines=self.count)
            return None
        connection = HostConnection(host, address, self.loop.now)
        self.connections.setdefault(address, []).append(connection)
        self.opened += 1
        self.detector.on_connecting(address)
        connection.task = self.loop.spawn(
            self._run, connection, address, name="host-connection", owner=self.owner
        )
        return connection

    def _evict(self, displace: bool) -> bool:
        """Closes a connection at once, for another one to be opened; returns whether there was one."""
        for candidate in eviction_order(
            (each for connections in self.connections.values() for each in connections if not each.closed),
            self.loop.now,
            self.detector.addresses_with_viewings,
            displace,
        ):
            # A release may have come on it that is not read yet.
            if candidate.writer is not None and candidate.writer.stream.is_idle():
                self.close(candidate)
                candidate.writer.stream.close()
                self.detector.on_evicted(self.loop.now, candidate.address)
                return True
        return False

    def _run(self, connection: HostConnection, address: str) -> None:
        begun_at = time.monotonic()
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
            # One that was reset says nothing: it was established before.
            refused = isinstance(error, OSError) and error.errno == errno.ECONNREFUSED
            self.detector.on_connect_failed(self.loop.now, address, refused, begun_at)
            self._on_closed(connection, Outcome.CONNECT_FAILED)
            return
        except Cancelled:
            self.detector.on_connect_failed(self.loop.now, address, False)
            self._on_closed(connection, Outcome.CONNECT_FAILED)
            raise
        writer = BufferedWriter(
            self.loop,
            stream,
            self.unsent,
            lambda: self.close(connection),
            lambda: self._flush(connection),
        )
        connection.on_established(time.monotonic(), writer)
        self.detector.on_connected(self.loop.now, address)
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
            writer.close()
            self.detector.on_connection_closed(
                self.loop.now,
                address,
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
            self.detector.on_data(now, connection.address)
            connection.last_heard_at = now
            extend_continuity(now, connection, self.connections[connection.address])
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
            controller.on_started(now, tag, connection, description or "")
        elif verb == "FINISHED":
            self._on_end_confirmed(connection.address, tag)
        elif verb == "FINISH":
            connection.on_outcome(tag)
            self._on_end_confirmed(connection.address, tag)
            loads = hostline.parse_loads(fields, self.load_fields)
            controller.on_finished(now, tag, connection, 0 if cause is None else cause, loads)
        elif verb == "NOTICE":
            value = fields.get("value", "")
            try:
                controller.on_notice(now, tag, connection, str(fields.get("note", "")), float(value))
            except (ValueError, OverflowError):
                raise hostline.Malformed(f"the value of a notice is {value!r:.40}, not a number") from None
        elif verb == "ECHOED":
            sent_at = connection.probes.pop(tag, None)
            if sent_at is not None:
                loads = hostline.parse_loads(fields, self.load_fields)
                controller.on_probe_result(now, connection.host, cause == 1, now - sent_at, loads)

    def _on_end_confirmed(self, address: str, tag: str) -> None:
        for connection in self.connections.get(address, ()):
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
        was_lost = connection.established and not connection.closed
        connection.closed = True
        connections = self.connections[connection.address]
        connections.remove(connection)
        if not connections:
            del self.connections[connection.address]
        self.controller.on_host_connection_ended(connection.address, was_lost)
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
        address = connection.address
        for tag in connection.take_unconfirmed_ends(time.monotonic()):
            if not self.controller.is_at(tag, address):
                log("end-sent-again", host=connection.host, session=tag)
                self._send(address, None, hostline.encode("FINISH", tag, {}, 31))

    def sweep(self, now: float) -> None:
        """Closes connections that were unused for too long, and silent ones without a set-up."""
        for address, connections in list(self.connections.items()):
            self._check_silence(now, address, connections)
            for connection in list(connections):
                if self._is_obsolete(connection) and not connection.closed and connection.host != NO_HOST:
                    self.close(connection)
                if connection.retired_at is not None and now - connection.retired_at > CLOSE_TIMEOUT_S:
                    connection.retired_at = None
                    self.close(connection)
            needed = 1 if address in self.detector.addresses_with_viewings else 0
            for connection in expired(
                now, [each for each in connections if not each.closed], needed, self.settings.idle_timeout_s
            ):
                if connection.suspect:
                    self.close(connection)
                else:
                    self._retire(connection)

    def _check_silence(self, now: float, address: str, connections: list[HostConnection]) -> None:
        """Takes a connection that owes an answer for too long out of use; what it holds comes on the next."""
        silent = [each for each in connections if not each.closed and each.is_silent(now)]
        for connection in silent:
            if not connection.pending:
                connection.suspect = True
        if silent:
            self.detector.on_connection_silent(now, address)
