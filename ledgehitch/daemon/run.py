"""Runs a gateway as a daemon: carries out what its life decides, takes admin calls, runs anew in place."""

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
from ledgehitch.config.site import lends
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
from ledgehitch.gateway.versions import CompiledSite, SiteReloader
from ledgehitch.http import Refused, Request, Response, Server
from ledgehitch.http.client import TLS
from ledgehitch.keys.contexts import tls_context
from ledgehitch.keys.judge import CertificateRejected, authorize, parse_certificate
from ledgehitch.keys.store import Keys
from ledgehitch.loop import Child, Endpoint, Event, Loop, TimedOut, endpoint
from ledgehitch.loop.pump import Pump
from ledgehitch.members.elsewhere import pick_gateway
from ledgehitch.owners.facts import BUDGETS, RESTARTS, VERDICTS
from ledgehitch.quality.keep import SnapshotStore

TICKET = "LEDGEHITCH_STARTED_BY"  # in the environment: the ticket of the restart that began this life
LIST_WITHIN = 3.0  # seconds to wait for the list before serving with its last copy
SIGN = 1.0
PROOF = [sys.executable, "-m", "ledgehitch", "daemon", "--help"]
PROVEN_WITHIN = 30.0
STILL = 20.0  # seconds of CPU without a turn of the loop after which the process ends
log = structlog.get_logger("daemon")


class Daemon:
    """`run` within a task; gives the exit code, and whether the process is to run anew."""

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
        """`restarts`: what does the work of the duty of that name, from a floor above."""
        self.keys = keys
        self.loop, self.site, self.name, self.place, self.logfile = loop, site, name, place, logfile
        self.supervisor = Supervisor(environment)
        self.running = RunningGateway(loop, site, name, seed, place.directory, record)
        self.running.frontend.draining = True  # until it is ready
        held = lambda: len(self.running.executor.viewings)  # noqa: E731
        self.running.reloader = SiteReloader(loop, *source, self.running.apply_site, name, held)
        self.life = Life(time.monotonic(), max(p.patience for p in site.packages))
        self.stir = Pump(loop, self._pull).schedule  # something was told
        self.admin = Admin(self.running, self.life, environment.get(TICKET, ""), self.stir)
        self.carried = SnapshotStore(place.directory / f"{name}.carried", synced=True)
        self.admin.carried = str(self.carried.read() or "")
        self.on_leave: Callable[[bool], None] = lambda back_soon: None
        self.running.frontend.other_gateway = self._elsewhere
        self.chance = random.Random(seed + 3)
        self.over = Event(loop)
        self.home = loop.current
        self.membership = self._members(seed)
        self.budgeting: Budgeting | None = None
        self.owning = self._owns(seed, restarts)

    def run(self) -> Exit:
        restore = self.loop.on_signals(
            [signal.SIGTERM, signal.SIGINT, signal.SIGUSR1, signal.SIGUSR2, signal.SIGHUP], self._on
        )
        watchdog = Watchdog(STILL, lambda text: write_line(self.logfile, text))
        admins = self._serve_admin()
        if self.place.stale:
            log.warning("the last life was not ended in order", pid=self.place.stale)
        self.loop.spawn(self._signs, watchdog, name="signs of life")
        self._wait_for_list()
        self.life.on_serving(time.monotonic())
        self.stir()
        print_ready(str(self.running.server.at))
        log.info(
            "serves",
            gateway=self.name,
            at=str(self.running.server.at),
            boot=self.running.boot,
            pid=os.getpid(),
            started_by=self.admin.started_by,
        )
        self.over.wait()
        exit_as = self.over.value
        assert isinstance(exit_as, Exit)
        watchdog.stop()
        for admin in admins:
            admin.close()
        self.running.stop()
        if self.budgeting is not None:
            self.budgeting.close()
        if self.owning is not None:
            self.owning.close()
        if exit_as.restart:
            self._note_carried()
        if self.membership is not None:
            self.membership.close()
        self.place.release()
        restore()
        log.info("is over", again=exit_as.restart, why=self.life.why)
        return exit_as

    def _note_carried(self) -> None:
        """Guards against a second restart by the same plan where the new life is killed before it was seen:
        whoever starts next here finds for which ticket the last life was ended."""
        try:
            self.carried.write(self.life.why)
        except OSError as problem:
            log.error("not noted that the restart was carried out", why=problem.strerror)

    def _members(self, seed: int) -> Membership | None:
        """Where the site gives this gateway a place in membership, and a key to the fleet."""
        here = next(g for g in self.site.gateways if g.name == self.name)
        ring = read_peer_keys(self.site)
        if not here.members_at or not ring:
            return None
        some = Membership(self.loop, self.site, self.name, ring, self.place.directory, seed + 4)
        self.admin.members, self.on_leave = some.statuses, some.leave
        return some

    def _owns(self, seed: int, restarts: "Callable[[Daemon], Work] | None") -> Owning | None:
        """The duties of the fleet, where this gateway has a part in membership."""
        if self.membership is None:
            return None
        self.admin.plans = Plans(self.place.directory / f"{self.name}.plan")
        own = Owning(self.loop, self.site, self.name, self.membership, self.place.directory, seed + 5)
        own.is_serving = lambda: self.life.phase == "ready"
        self.admin.owning = own
        if restarts is not None:
            own.work[RESTARTS] = restarts(self)
        doorman = self.running.executor.admission
        if doorman is not None and lends(self.site):
            self.budgeting = Budgeting(self.loop, self.site, own, self.membership, doorman, seed + 6)
            self.admin.budgeting = own.work[BUDGETS] = self.budgeting
            self.running.on_limits_changed = self.budgeting.placed
        if self.site.owners.verdicts_to and self.running.reports is not None:
            own.work[VERDICTS] = Verdicts(self.loop, self.site, self.name, own, self.running.reports)
        return own

    def _elsewhere(self) -> str:
        there = self.membership.is_alive if self.membership is not None else lambda name: True
        return pick_gateway(self.name, self.site.gateways, there, self.chance)

    def _serve_admin(self) -> list[Server]:
        at = Endpoint(endpoint(f"unix:{self.place.admin}").family, str(self.place.admin))
        before = os.umask(0o177)
        try:
            # Only who may write to the socket gets here: its owner, and root.
            servers = [Server(self.loop, at, lambda request: self.admin.handle(request, "operate"))]
        finally:
            os.umask(before)
        here = next(g for g in self.site.gateways if g.name == self.name)
        if here.admin_at and self.keys is not None:
            tls = tls_context(self.keys.ca, self.keys.directory / f"{self.name}.pem", True)
            far = endpoint(here.admin_at.removeprefix(TLS))
            servers.append(Server(self.loop, far, self._asked_from_afar, tls=tls))
        return servers

    def _asked_from_afar(self, request: Request) -> Response:
        assert self.keys is not None
        try:
            one = parse_certificate(request.certificate)
            role = authorize(one, time.time(), ("operate", "look", "gateway"), self.keys.revoked())
        except CertificateRejected as why:
            log.warning("an operator is refused", why=str(why), peer=request.peer)
            raise Refused(403, str(why)) from None
        return self.admin.handle(request, role)

    def _wait_for_list(self) -> None:
        until = time.monotonic() + LIST_WITHIN
        heard = self.running.list_client.host_list
        while not self.running.executor.addresses and heard.version < 0 and time.monotonic() < until:
            self.loop.sleep(0.02)

    def _signs(self, watchdog: Watchdog) -> None:
        """That the loop turns: to our own watchdog, and to the supervisor's where it has one."""
        every = min(SIGN, self.supervisor.every or SIGN)
        while True:
            watchdog.sign()
            if self.supervisor.every:
                self.supervisor.notify("WATCHDOG=1")
            self.loop.sleep(every)

    def _on(self, number: int) -> None:
        name = signal.Signals(number).name
        now = time.monotonic()
        if number in (signal.SIGTERM, signal.SIGINT):
            self.life.drain(now, 0.0, "stop", name)
        elif number == signal.SIGUSR1:
            self.life.drain(now, 1e9, "stay", name)
        elif number == signal.SIGUSR2:
            self.logfile.reopen()
            log.info("the log file is opened anew")
        elif self.running.reloader is not None:
            self.supervisor.notify(f"RELOADING=1\nMONOTONIC_USEC={int(now * 1e6)}")
            self.running.reloader.reload()
            self.supervisor.notify("READY=1")
        self.stir()

    def _prove(self) -> None:
        """Runs the program that is installed now, as far as it needs none of what this process holds."""
        child = Child(self.loop, PROOF, "proof", subprocess.DEVNULL, subprocess.DEVNULL)
        try:
            with self.loop.deadline(PROVEN_WITHIN):
                code = child.wait()
        except TimedOut:
            code = child.terminate(0.5) or -1
        why = "" if code == 0 else f"the program that is installed does not start (exit code {code})"
        if why:
            log.error("not restarted, this life goes on", why=why)
        self.life.on_start_check(time.monotonic(), code == 0, why)
        self.stir()

    # ---- the life ------------------------------------------------------------------------------------------

    def _pull(self) -> float | None:
        now = time.monotonic()
        self.life.on_viewing_count(now, len(self.running.executor.viewings))
        while (decision := self.life.decide(now)) is not None:
            match decision:
                case Admit(open):
                    self.running.set_draining(not open)
                    if not open and self.owning is not None:
                        self.owning.resign()  # before it is gone: a successor is named
                case EndAllViewings():
                    log.info("ends what still plays", viewings=len(self.running.executor.viewings))
                    self.running.executor.end_all()
                case AnnounceLeave(back_soon):
                    self.on_leave(back_soon)
                case CheckStart():
                    self.loop.spawn(self._prove, name="prove", owner=self.home)
                case NotifySupervisor(text):
                    self.supervisor.notify(text)
                case Exit() as exit_as:
                    self.over.set(exit_as)
        wake = self.life.wake_at()
        return None if wake is None else max(wake, now + 0.005)


def write_line(file: LogFile, text: str) -> None:
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
    """Runs until the life is over. A restart does not come back: the process runs anew in its place."""
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
        os.execv(sys.executable, [sys.executable, *_own_words()])
    return int(exit_as.code)


def _own_words() -> list[str]:
    """The words after the interpreter with which this process was started."""
    return sys.orig_argv[1:]


def _report(name: str, error: BaseException) -> None:
    log.error("task failed", task=name, error=f"{type(error).__name__}: {error}", exc_info=error)
