"""Runs a gateway as a daemon: life cycle, admin API, signals, watchdog, and restart in the same process."""

import gc
import os
import random
import signal
import subprocess
import sys
import time
from collections.abc import Callable
from pathlib import Path

import structlog

from ledgehitch.config import Site
from ledgehitch.config.site import can_lend_budgets
from ledgehitch.daemon.admin import Admin
from ledgehitch.daemon.budgeting import Budgeting
from ledgehitch.daemon.life import (
    Admit,
    AnnounceLeave,
    CheckStart,
    EndAllViewings,
    Exit,
    Life,
    NotifySupervisor,
)
from ledgehitch.daemon.logfile import LogFile
from ledgehitch.daemon.membership import Membership
from ledgehitch.daemon.owning import Owning, Work
from ledgehitch.daemon.place import Place
from ledgehitch.daemon.plans import Plans
from ledgehitch.daemon.supervisor import Supervisor
from ledgehitch.daemon.verdicts import Verdicts
from ledgehitch.daemon.watchdog import Watchdog
from ledgehitch.gateway.serve import RunningGateway, print_ready, read_peer_keys
from ledgehitch.gateway.site_reloader import CompiledSite, SiteReloader
from ledgehitch.http import Refused, Request, Response, Server
from ledgehitch.http.client import TLS
from ledgehitch.keys.contexts import tls_context
from ledgehitch.keys.judge import CertificateRejected, authorize, parse_certificate
from ledgehitch.keys.store import Keys
from ledgehitch.loop import Child, Endpoint, Event, Loop, TimedOut, endpoint
from ledgehitch.loop.pump import Pump
from ledgehitch.members.gateway_choice import pick_gateway
from ledgehitch.owners.facts import BUDGETS, RESTARTS, VERDICTS
from ledgehitch.quality.keep import SnapshotStore

TICKET = "LEDGEHITCH_STARTED_BY"  # environment variable: ticket of the restart that began this process
LIST_TIMEOUT_S = 3.0  # until the gateway serves with the last stored copy of the host list
HEARTBEAT_INTERVAL_S = 1.0
START_CHECK_COMMAND = [sys.executable, "-m", "ledgehitch", "daemon", "--help"]
START_CHECK_TIMEOUT_S = 30.0
STALL_LIMIT_CPU_S = 20.0  # CPU time without a turn of the event loop after which the process exits
log = structlog.get_logger("daemon")


class Daemon:
    """One gateway process. Call `run` within a task; it returns the exit code and whether to restart."""

    def __init__(
        self,
        loop: Loop,
        site: Site,
        name: str,
        seed: int,
        place: Place,
        record: Path | None,
        source: tuple[Path, CompiledSite, Path | None],
        logfile: LogFile,
        environment: dict[str, str],
        keys: Keys | None = None,
        restarts: "Callable[[Daemon], Work] | None" = None,
    ) -> None:
        """`restarts`: creates the work of the duty of that name, which a higher layer implements."""
        self.keys = keys
        self.loop, self.site, self.name, self.place, self.logfile = loop, site, name, place, logfile
        self.supervisor = Supervisor(environment)
        self.running = RunningGateway(loop, site, name, seed, place.directory, record)
        self.running.frontend.draining = True  # until it is ready
        viewing_count = lambda: len(self.running.executor.viewings)  # noqa: E731
        self.running.reloader = SiteReloader(loop, *source, self.running.apply_site, name, viewing_count)
        self.life = Life(time.monotonic(), max(p.patience for p in site.packages))
        self.wake = Pump(loop, self._pull).schedule  # after an input to `life`
        self.admin = Admin(self.running, self.life, environment.get(TICKET, ""), self.wake)
        self.restart_store = SnapshotStore(place.directory / f"{name}.carried", synced=True)
        self.admin.carried = str(self.restart_store.read() or "")
        self.on_leave: Callable[[bool], None] = lambda back_soon: None
        self.running.frontend.other_gateway = self._pick_other_gateway
        self.rng = random.Random(seed + 3)
        self.exited = Event(loop)
        self.parent_task = loop.current
        self.membership = self._join_membership(seed)
        self.budgeting: Budgeting | None = None
        self.owning = self._start_owning(seed, restarts)

    def run(self) -> Exit:
        """Serves until the life cycle ends, then closes everything; returns the last decision."""
        restore = self.loop.on_signals(
            [signal.SIGTERM, signal.SIGINT, signal.SIGUSR1, signal.SIGUSR2, signal.SIGHUP], self._on_signal
        )
        watchdog = Watchdog(STALL_LIMIT_CPU_S, lambda text: write_line(self.logfile, text))
        admin_servers = self._serve_admin()
        if self.place.stale:
            log.warning("the previous process did not exit cleanly", pid=self.place.stale)
        self.loop.spawn(self._send_heartbeats, watchdog, name="heartbeats")
        self._wait_for_list()
        self.life.on_serving(time.monotonic())
        self.wake()
        print_ready(str(self.running.server.at))
        log.info(
            "serves",
            gateway=self.name,
            at=str(self.running.server.at),
            boot=self.running.boot,
            pid=os.getpid(),
            started_by=self.admin.started_by,
        )
        self.exited.wait()
        exit_as = self.exited.value
        assert isinstance(exit_as, Exit)
        watchdog.stop()
        for server in admin_servers:
            server.close()
        self.running.stop()
        if self.budgeting is not None:
            self.budgeting.close()
        if self.owning is not None:
            self.owning.close()
        if exit_as.restart:
            self._record_restart()
        if self.membership is not None:
            self.membership.close()
        self.place.release()
        restore()
        log.info("exits", again=exit_as.restart, why=self.life.why)
        return exit_as

    def _record_restart(self) -> None:
        """Stores the ticket of the restart that is being carried out.

        If the new process is killed before the restart is observed, the next one reports this ticket and
        the same plan does not restart the gateway a second time.
        """
        try:
            self.restart_store.write(self.life.why)
        except OSError as problem:
            log.error("cannot store the ticket of the restart", why=problem.strerror)

    def _join_membership(self, seed: int) -> Membership | None:
        """Joins the membership, if the site has an address for this gateway and a fleet key."""
        gateway = next(g for g in self.site.gateways if g.name == self.name)
        ring = read_peer_keys(self.site)
        if not gateway.members_at or not ring:
            return None
        membership = Membership(self.loop, self.site, self.name, ring, self.place.directory, seed + 4)
        self.admin.members, self.on_leave = membership.statuses, membership.leave
        return membership

    def _start_owning(self, seed: int, restarts: "Callable[[Daemon], Work] | None") -> Owning | None:
        """Sets up the duties of the fleet, if this gateway is in the membership."""
        if self.membership is None:
            return None
        self.admin.plans = Plans(self.place.directory / f"{self.name}.plan")
        owning = Owning(self.loop, self.site, self.name, self.membership, self.place.directory, seed + 5)
        owning.is_serving = lambda: self.life.phase == "ready"
        self.admin.owning = owning
        if restarts is not None:
            owning.work[RESTARTS] = restarts(self)
        admission = self.running.executor.admission
        if admission is not None and can_lend_budgets(self.site):
            self.budgeting = Budgeting(self.loop, self.site, owning, self.membership, admission, seed + 6)
            self.admin.budgeting = owning.work[BUDGETS] = self.budgeting
            self.running.on_limits_changed = self.budgeting.configure
        if self.site.owners.verdicts_to and self.running.reports is not None:
            owning.work[VERDICTS] = Verdicts(self.loop, self.site, self.name, owning, self.running.reports)
        return owning

    def _pick_other_gateway(self) -> str:
        is_alive = self.membership.is_alive if self.membership is not None else lambda name: True
        return pick_gateway(self.name, self.site.gateways, is_alive, self.rng)

    def _serve_admin(self) -> list[Server]:
        address = Endpoint(endpoint(f"unix:{self.place.admin}").family, str(self.place.admin))
        previous_umask = os.umask(0o177)
        try:
            # Only processes that may write to the socket can connect: its owner's, and root's.
            servers = [Server(self.loop, address, lambda request: self.admin.handle(request, "operate"))]
        finally:
            os.umask(previous_umask)
        gateway = next(g for g in self.site.gateways if g.name == self.name)
        if gateway.admin_at and self.keys is not None:
            tls = tls_context(self.keys.ca, self.keys.directory / f"{self.name}.pem", True)
            address = endpoint(gateway.admin_at.removeprefix(TLS))
            servers.append(Server(self.loop, address, self._on_remote_call, tls=tls))
        return servers

    def _on_remote_call(self, request: Request) -> Response:
        assert self.keys is not None
        try:
            certificate = parse_certificate(request.certificate)
            role = authorize(certificate, time.time(), ("operate", "look", "gateway"), self.keys.revoked())
        except CertificateRejected as why:
            log.warning("admin call rejected", why=str(why), peer=request.peer)
            raise Refused(403, str(why)) from None
        return self.admin.handle(request, role)

    def _wait_for_list(self) -> None:
        deadline = time.monotonic() + LIST_TIMEOUT_S
        host_list = self.running.list_client.host_list
        while not self.running.executor.addresses and host_list.version < 0 and time.monotonic() < deadline:
            self.loop.sleep(0.02)

    def _send_heartbeats(self, watchdog: Watchdog) -> None:
        """Reports that the event loop runs to the watchdog, and to the supervisor if it asks for that."""
        interval = min(HEARTBEAT_INTERVAL_S, self.supervisor.watchdog_interval_s or HEARTBEAT_INTERVAL_S)
        while True:
            watchdog.heartbeat()
            if self.supervisor.watchdog_interval_s:
                self.supervisor.notify("WATCHDOG=1")
            self.loop.sleep(interval)

    def _on_signal(self, number: int) -> None:
        name = signal.Signals(number).name
        now = time.monotonic()
        if number in (signal.SIGTERM, signal.SIGINT):
            self.life.drain(now, 0.0, "stop", name)
        elif number == signal.SIGUSR1:
            self.life.drain(now, 1e9, "stay", name)
        elif number == signal.SIGUSR2:
            self.logfile.reopen()
            log.info("log file reopened")
        elif self.running.reloader is not None:
            self.supervisor.notify(f"RELOADING=1\nMONOTONIC_USEC={int(now * 1e6)}")
            self.running.reloader.reload()
            self.supervisor.notify("READY=1")
        self.wake()

    def _check_start(self) -> None:
        """Runs the installed program with a command that needs no resource of this process."""
        child = Child(self.loop, START_CHECK_COMMAND, "proof", subprocess.DEVNULL, subprocess.DEVNULL)
        try:
            with self.loop.deadline(START_CHECK_TIMEOUT_S):
                code = child.wait()
        except TimedOut:
            code = child.terminate(0.5) or -1
        why = "" if code == 0 else f"the program that is installed does not start (exit code {code})"
        if why:
            log.error("restart cancelled: this process continues to serve", why=why)
        self.life.on_start_check(time.monotonic(), code == 0, why)
        self.wake()

    # ---- life cycle ----------------------------------------------------------------------------------------

    def _pull(self) -> float | None:
        now = time.monotonic()
        self.life.on_viewing_count(now, len(self.running.executor.viewings))
        while (decision := self.life.decide(now)) is not None:
            match decision:
                case Admit(open):
                    self.running.set_draining(not open)
                    if not open and self.owning is not None:
                        self.owning.resign()  # so that successors are elected before it is gone
                case EndAllViewings():
                    log.info("ending the remaining viewings", viewings=len(self.running.executor.viewings))
                    self.running.executor.end_all()
                case AnnounceLeave(back_soon):
                    self.on_leave(back_soon)
                case CheckStart():
                    self.loop.spawn(self._check_start, name="prove", owner=self.parent_task)
                case NotifySupervisor(text):
                    self.supervisor.notify(text)
                case Exit() as exit_as:
                    self.exited.set(exit_as)
        wake = self.life.wake_at()
        return None if wake is None else max(wake, now + 0.005)


def write_line(file: LogFile, text: str) -> None:
    """Writes one line to the log file."""
    file.write(text + "\n")


def run_daemon(
    site: Site,
    name: str,
    seed: int,
    state_dir: Path,
    record: Path | None,
    source: tuple[Path, CompiledSite, Path | None],
    logfile: LogFile,
    keys: Keys | None = None,
    restarts: Callable[[Daemon], Work] | None = None,
) -> int:
    """Runs a gateway and returns its exit code. A restart does not return: it executes the program anew."""
    place = Place(state_dir, name)
    gc.collect()
    gc.freeze()
    gc.set_threshold(2_000, 4, 1_000)
    loop = Loop(_report)
    ticket = ""

    def main() -> Exit:
        nonlocal ticket
        daemon = Daemon(
            loop, site, name, seed, place, record, source, logfile, dict(os.environ), keys, restarts
        )
        exit_as = daemon.run()
        ticket = daemon.life.why
        return exit_as

    try:
        exit_as = loop.run(main)
    except OSError as problem:
        print(f"ledgehitch: {name}: {problem}", file=sys.stderr)
        return 2
    if exit_as.restart:
        os.environ[TICKET] = ticket
        sys.stdout.flush()
        os.execv(sys.executable, [sys.executable, *_own_arguments()])
    return int(exit_as.code)


def _own_arguments() -> list[str]:
    """Returns the arguments after the interpreter with which this process was started."""
    return sys.orig_argv[1:]


def _report(name: str, error: BaseException) -> None:
    log.error("task failed", task=name, error=f"{type(error).__name__}: {error}", exc_info=error)
