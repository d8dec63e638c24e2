"""`python -m ledgehitch.platform`: one gateway on the platform, configured by the file in `ROUTER_CONFIG`."""

import gc
import os
import resource
import signal
import sys
import time
from dataclasses import replace

from ledgehitch.brain import Gateway
from ledgehitch.facts import InvalidSetting, read_connection_settings, read_settings
from ledgehitch.interface import Row
from ledgehitch.loop.kernel import Event, Loop
from ledgehitch.loop.sockets import Listener, endpoint
from ledgehitch.platform.byte_budget import ByteBudget
from ledgehitch.platform.configuration import Configuration, parse_configuration, parse_host_list
from ledgehitch.platform.controller import Controller
from ledgehitch.platform.failure_detector import FailureDetector
from ledgehitch.platform.host_connections import HostConnections
from ledgehitch.platform.journal_client import JournalClient
from ledgehitch.platform.lifecycle import Lifecycle
from ledgehitch.platform.log import log
from ledgehitch.platform.peer_channel import PeerChannel
from ledgehitch.platform.resource_limits import limits_for
from ledgehitch.platform.sessions import SessionTable
from ledgehitch.platform.viewer_server import ViewerServer
from ledgehitch.send_guard import SendGuard

SWEEP_INTERVAL_S = 0.25  # between two sweeps for connections to close
COUNTS_INTERVAL_S = 5.0  # between two lines of counts in the log


def load_configuration(path: str) -> Configuration:
    """Returns the configuration in a file; raises `InvalidSetting`, or `OSError` for an unreadable file."""
    with open(path, "rb") as file:
        configuration = parse_configuration(file.read())
    # A reload must not take addresses from a file with whose settings no gateway would start.
    read_settings(configuration.settings)
    read_connection_settings(configuration.settings)
    return configuration


class RunningGateway:
    """The parts of a gateway process and their wiring."""

    def __init__(self, loop: Loop, configuration: Configuration, path: str) -> None:
        now = time.monotonic()
        self.loop, self.path = loop, path
        settings = read_settings(configuration.settings)
        ladder, packages, fleet, terms = settings
        # The machine may allow fewer descriptors than the configuration says.
        allowed = resource.getrlimit(resource.RLIMIT_NOFILE)[0]
        sockets = configuration.sockets if allowed < 0 else min(configuration.sockets, allowed)
        connection_settings, limits = (
            read_connection_settings(configuration.settings),
            limits_for(configuration.memory_mb, sockets),
        )
        terms = replace(terms, max_hosts=limits.max_hosts)
        gateway = Gateway(configuration.seed, now, ladder, packages, fleet, terms)
        self.lifecycle = Lifecycle(max((package.patience for package in packages), default=0.0))
        detector, sessions = FailureDetector(fleet.told_every), SessionTable()
        hosts = HostConnections(
            loop,
            connection_settings,
            detector,
            limits.host_connections,
            ByteBudget(limits.unsent_bytes, limits.send_buffer_bytes),
            fleet.load_fields,
        )
        self.peers: PeerChannel | None = None
        self.controller = Controller(
            loop,
            gateway,
            sessions,
            SendGuard(terms.drain_grace),
            detector,
            hosts,
            self._send_to_peer,
            fleet.told_every if fleet.reports == "piggyback" else 0.0,
        )
        if configuration.peer_listen and terms.may_tell:
            self.peers = PeerChannel(
                loop, configuration.peer_listen, configuration.peers, self.controller.on_peer_message
            )
        hosts.controller = self.controller
        viewers = ViewerServer(
            loop,
            self.controller,
            self.lifecycle,
            {package.name: package for package in packages},
            fleet,
            ladder,
            limits,
        )
        self.controller.viewers = viewers
        self.journal = JournalClient(
            loop,
            self.controller,
            configuration.journal,
            self._apply_known_events(now, configuration),
            configuration.seed,
        )
        self.journal.owner = hosts.owner = viewers.owner = loop.main_task
        self.listener = Listener(loop, endpoint(configuration.listen))

    def _send_to_peer(self, message: bytes, recipient: int) -> None:
        if self.peers is not None:
            self.peers.send(message, recipient)

    def _apply_known_events(self, now: float, configuration: Configuration) -> int:
        """Applies the journal events before this start as one list; returns the position of the last."""
        by_host: dict[str, tuple[Row, str]] = {}
        last = 0
        for pos, entry in configuration.known_events:
            last = max(last, pos)
            host_list = parse_host_list(entry, time.time() - time.monotonic())
            if host_list is None:
                continue
            how, rows = host_list
            if how == "total":
                by_host = {}
            for row, address in rows:
                by_host[row.host] = (row, address)
        rows = [(row, address) for row, address in by_host.values() if row.state != "terminated"]
        self.controller.on_host_list(now, "warm_copy", rows)
        return last

    def start(self) -> None:
        viewers, spawn = self.controller.viewers, self.loop.spawn
        spawn(viewers.serve, self.listener, name="viewer-server")
        self.journal.start()
        if self.peers is not None:
            spawn(self.peers.run, name="peers")
        self.lifecycle.on_serving()
        self.counts_logged_at = self.loop.now
        self.loop.call_at(self.loop.now + SWEEP_INTERVAL_S, self._sweep)

    def _sweep(self) -> None:
        now = self.loop.now
        self.loop.call_at(
            now + SWEEP_INTERVAL_S, self._sweep
        )  # first, so that an error does not end the sweeps
        self.controller.sweep(now)
        if now - self.counts_logged_at >= COUNTS_INTERVAL_S:
            self.counts_logged_at = now
            self.log_counts()

    def log_counts(self) -> None:
        controller, viewers, hosts = self.controller, self.controller.viewers, self.controller.hosts
        aside = sum(host.aside_until > self.loop.now for host in controller.gateway.hosts.values())
        try:
            with open("/proc/self/statm") as pages:
                resident_kb = int(pages.read().split()[1]) * os.sysconf("SC_PAGE_SIZE") >> 10
        except OSError:  # without a free descriptor the other counts are still needed
            resident_kb = -1
        log(
            "counts",
            waiting=controller.sessions.pending,
            playing=len(controller.sessions.by_viewing_id) - controller.sessions.pending,
            conns=len(viewers.connections),
            aside=aside,
            doubted=controller.evidence.doubted_count,
            lines=hosts.count,
            opened=hosts.opened,
            spoilt=hosts.malformed,
            refused=viewers.refused,
            off=viewers.rejected_connections,
            room=viewers.evicted,
            calls=self.journal.calls,
            doubled=self.journal.duplicates,
            unread=self.journal.unreadable,
            pos=self.journal.pos,
            strangers=self.peers.refused if self.peers is not None else 0,
            kb=resident_kb,
            cpu=f"{time.process_time():.2f}",
            lag=f"{self.loop.lag.quantile(0.99)}/{self.loop.lag.worst:.3f}",
            **controller.counts,
        )
        self.loop.lag.worst = 0.0

    def reload(self) -> None:
        """Reads the configuration again; a new journal address and new peers are used at once."""
        try:
            configuration = load_configuration(self.path)
        except (OSError, InvalidSetting) as error:
            log("reload-failed", why=str(error))
            return
        log("reloaded", journal=configuration.journal)
        self.journal.move(configuration.journal)
        if self.peers is not None:
            self.peers.set_peers(configuration.peers)

    def shut_down(self) -> None:
        """Returns when each accepted set-up has its response and the time for playing viewings is over."""
        self.lifecycle.on_sigterm(self.loop.now)
        log("ends")
        controller, expired = self.controller, False
        while True:
            now, pending = time.monotonic(), controller.sessions.pending
            if self.lifecycle.final_responses_due(now) and not expired:
                expired = True
                controller.expire_waiting(now)
            unsent = controller.viewers.unsent_bytes + controller.hosts.unsent_bytes
            if self.lifecycle.may_exit(
                now, pending, len(controller.sessions.by_viewing_id) - pending, unsent
            ):
                return
            self.loop.sleep(0.05)


def main() -> int:
    path = os.environ.get("ROUTER_CONFIG", "")
    try:
        if not path:
            raise InvalidSetting("ROUTER_CONFIG is not set")
        configuration = load_configuration(path)
    except (OSError, InvalidSetting) as error:
        print(f"ledgehitch.platform: {path}: {error}", file=sys.stderr)
        return 2
    loop = Loop()

    def run() -> int:
        terminated = Event(loop)
        running: list[RunningGateway] = []

        def on_signal(number: int) -> None:
            if number == signal.SIGHUP:
                if running:
                    running[0].reload()
            else:
                terminated.set(number)

        loop.on_signals([signal.SIGTERM, signal.SIGINT, signal.SIGHUP], on_signal)
        try:
            running.append(RunningGateway(loop, configuration, path))
        except (OSError, InvalidSetting) as error:
            print(f"ledgehitch.platform: {path}: {error}", file=sys.stderr)
            return 2
        # Exempts the objects that exist now from collection, so that its pauses stay short as viewings grow.
        gc.collect()
        gc.freeze()
        running[0].start()
        log("serves", gateway=configuration.name, at=configuration.listen, pid=os.getpid())
        terminated.wait()
        running[0].shut_down()
        running[0].log_counts()
        for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
            # A signal that arrives when the loop's handlers are gone must not end the process as a crash.
            signal.signal(number, signal.SIG_IGN)
        return 0

    return int(loop.run(run))


if __name__ == "__main__":
    sys.exit(main())
