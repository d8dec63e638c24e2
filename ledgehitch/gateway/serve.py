"""One gateway as a process: built from a site file, and run until it is signalled to stop."""

import gc
import json
import os
import random
import secrets
import signal
import sys
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

import msgspec
import structlog

from ledgehitch import __version__
from ledgehitch.brain import Gateway
from ledgehitch.budgets.facts import WHOLE, budgets_of
from ledgehitch.budgets.units import own_parts
from ledgehitch.config import Site, facts_of
from ledgehitch.config.site import active_gateways, can_lend_budgets, rack_name
from ledgehitch.door.decide import AdmissionController
from ledgehitch.door.names import DEFAULT_ORDER
from ledgehitch.gateway.admission import AdmissionService
from ledgehitch.gateway.executor import Executor
from ledgehitch.gateway.host_list_client import HostListClient
from ledgehitch.gateway.host_monitor import HostMonitor
from ledgehitch.gateway.http_frontend import HttpFrontend
from ledgehitch.gateway.peer_codec import PeerCodec
from ledgehitch.gateway.record import Recorder
from ledgehitch.gateway.recorded_module import RecordedModule
from ledgehitch.gateway.reports import ReportService, TokenIssuer
from ledgehitch.gateway.site_reloader import CompiledSite, SiteReloader
from ledgehitch.http import Limits, Server
from ledgehitch.keys.store import read_key_ring
from ledgehitch.loop import Datagrams, Event, Loop, endpoint
from ledgehitch.quality.keep import SnapshotStore
from ledgehitch.regions.facts import regions_of
from ledgehitch.send_guard import SendGuard
from ledgehitch.signalling import ViewingRegistry

STATISTICS_INTERVAL_S = 5.0  # between log lines with the loop's lag and the counters
SWEEP_INTERVAL_S = 1.0
log = structlog.get_logger("gateway")


def read_peer_keys(site: Site) -> list[bytes]:
    """Returns the keys that gateways share, from a file readable by its owner alone; empty without one."""
    return read_key_ring(Path(site.peer_key_file)) if site.peer_key_file else []


def own_shares(site: Site, name: str) -> tuple[float, dict[str, float]]:
    """Returns the gateway's own share of the fleet's limits, which it has without any loan.

    The first value applies to any limit, the second to budgets whose own share differs. Without lending, the
    whole limits are divided among all gateways."""
    has_loans = can_lend_budgets(site)
    names, share = active_gateways(site) if has_loans else tuple(g.name for g in site.gateways), WHOLE
    region = next((r for r in regions_of(site) if name in r.gateways), None) if has_loans else None
    if region is not None:
        names, share = region.gateways, region.share
    part, patience = site.budgets.own_part if has_loans else 1.0, max(p.patience for p in site.packages)
    budgets = budgets_of(site.door.package_rates, site.door.set_ups, patience)
    own = {b.name: own_parts(b, part, names, share).get(name, 0) / WHOLE for b in budgets}
    return part * share / WHOLE / len(names), own


class RunningGateway:
    """A gateway that serves. It has to be built within a task; `stop` ends it."""

    def __init__(
        self,
        loop: Loop,
        site: Site,
        name: str,
        seed: int,
        state_dir: Path | None = None,
        record: Path | None = None,
        limits: Limits | None = None,
    ) -> None:
        self.loop, self.site, self.name = loop, site, name
        self.boot = secrets.token_hex(4)
        index = [g.name for g in site.gateways].index(name) if name in [g.name for g in site.gateways] else -1
        ladder, packages, fleet, terms = facts_of(site, name)
        own_record = site.gateways[index]
        peer_keys = read_peer_keys(site)
        self.peer_codec = (
            PeerCodec(peer_keys, index, time.time_ns()) if peer_keys and terms.may_tell else None
        )
        module = Gateway(seed, time.monotonic(), ladder, packages, fleet, terms)
        self.reloader: SiteReloader | None = None
        # Called with the site whenever its limits are applied.
        self.on_limits_changed: Callable[[Site], None] = lambda site: None
        self.recorder = Recorder(record) if record is not None else None
        peer_socket = (
            Datagrams(loop, endpoint(own_record.peer_at)) if self.peer_codec and own_record.peer_at else None
        )
        others = {
            i: endpoint(g.peer_via or g.peer_at)
            for i, g in enumerate(site.gateways)
            if i != index and (g.peer_via or g.peer_at)
        }
        self.executor = Executor(
            loop,
            RecordedModule(module, self.recorder),
            ViewingRegistry(secrets.token_bytes(32)),
            SendGuard(terms.drain_grace),
            HostMonitor(random.Random(seed + 1)),
            name,
            self.boot,
            random.Random(seed + 2),
            self.peer_codec,
            peer_socket,
            others,
            fleet.load_fields,
        )
        self.executor.owner_task = loop.current
        titles = {title: (t.first, t.spread) for title, t in site.titles.items()}
        frontend = HttpFrontend(
            loop, self.executor, {p.name: p for p in packages}, titles, ladder.kb, self.state
        )
        self.frontend = frontend
        others_at = {g.name: g.reports_at or g.at for i, g in enumerate(site.gateways) if i != index}
        if site.door.on:
            values = {p.name: p.value for p in packages}
            targets = {p.name: p.join_target for p in packages}
            rng = random.Random(secrets.randbits(64))
            door = AdmissionController(
                time.monotonic(),
                rng,
                values,
                targets,
                terms.may_advise,
                terms.longest_advice,
                gateways=terms.gateways,
            )
            admission_store = (
                SnapshotStore(state_dir / f"{name}.door", private=True) if state_dir is not None else None
            )
            self.executor.admission = AdmissionService(
                door, admission_store, site.door.order or DEFAULT_ORDER
            )
            self._apply_limits(site)
        frontend.token_issuer = TokenIssuer(name, state_dir)
        frontend.playing_by_rack = self.playing_by_rack
        self.reports: ReportService | None = None
        if own_record.reports_at:
            frontend.reports_at = f"http://{own_record.reports_at}"
        else:
            self.reports = frontend.reports = ReportService(
                loop, name, others_at, state_dir, frontend.token_issuer.passes.check
            )
            self.reports.rack_name = lambda rack: rack_name(self.rack_names, rack)
            self.reports.playing_by_rack = self.playing_by_rack
            self.reports.start()
        frontend.rack_of = self.rack_of
        self.rack_names = site.fleet.rack_names
        snapshot_path = state_dir / f"{name}.hosts.json" if state_dir is not None else None
        self.list_client = HostListClient(loop, self.executor, site.list_at, name, snapshot_path)
        self.server = Server(
            loop, endpoint(own_record.at), frontend.handle, limits or Limits(), _log_task_failure
        )
        loop.spawn(self.list_client.run, name="list")
        loop.spawn(self._sweep, name="sweep")
        if peer_socket is not None:
            loop.spawn(self.executor.receive_peer_messages, name="peers")

    def state(self) -> dict[str, Any]:
        executor = self.executor
        return {
            "config": self.reloader.reloads.state() if self.reloader is not None else None,
            "name": self.name,
            "boot": self.boot,
            "version": __version__,
            "draining": self.frontend.draining,
            "viewings": len(executor.viewings),
            "counts": msgspec.to_builtins(executor.counts),
            "list": {
                "epoch": self.list_client.host_list.epoch,
                "version": self.list_client.host_list.version,
            },
            "door": executor.admission.state() if executor.admission is not None else None,
            "hosts": {
                host: {"in_service": gone is None, "viewings": len(executor.playing_at.get(host, {}))}
                for host, gone in executor.send_guard.hosts.items()
            },
            "answers": {str(k): n for k, n in sorted(self.server.served.items())},
            "connections": len(self.server.open),
            "out_of_descriptors": self.server.listener.refused_for_descriptors,
            "stood_still": self.loop.suspensions,
            "failed_tasks": self.loop.failed,
            "to_hosts": {
                "opened": executor.client.opened,
                "reused": executor.client.reused,
                "idle": executor.client.idle(),
            },
            "peers_refused": dict(self.peer_codec.rejected) if self.peer_codec else {},
        }

    def rack_of(self, host: str) -> str:
        """Returns the number of a media host's rack, from its cell in the host list; "?" if it is unknown."""
        entry = self.list_client.host_list.entries.get(host)
        return str(entry.cell % max(1, self.site.fleet.racks)) if entry is not None else "?"

    def playing_by_rack(self) -> dict[str, int]:
        """Returns the numbers of viewings that play now, by rack."""
        counts: dict[str, int] = {}
        for host, viewings in self.executor.playing_at.items():
            rack = self.rack_of(host)
            counts[rack] = counts.get(rack, 0) + len(viewings)
        return counts

    def apply_site(self, site: Site) -> None:
        """Applies what a new version changes at once: where titles lie, names of racks, and limits."""
        self.frontend.titles = {title: (t.first, t.spread) for title, t in site.titles.items()}
        if site.fleet.racks == self.site.fleet.racks:
            self.rack_names = site.fleet.rack_names
        self._apply_limits(site)

    def _apply_limits(self, site: Site) -> None:
        """Applies the site's admission limits."""
        limits, admission = site.door, self.executor.admission
        if admission is not None:
            admission.set_limits(
                limits.client_rate, limits.client_burst, limits.package_rates, limits.set_ups
            )
            # Without a daemon that borrows, a gateway has no more than its own share.
            if admission.refresh_share is None:
                default_share, own = own_shares(site, self.name)
                admission.set_share(time.monotonic(), default_share, {}, 0.0, own)
            self.on_limits_changed(site)
            self.executor.wake()

    def set_draining(self, draining: bool) -> None:
        self.frontend.draining = draining
        if self.reloader is not None:
            self.reloader.set_draining(draining)

    def _sweep(self) -> None:
        logged_at = time.monotonic()
        while True:
            self.loop.sleep(SWEEP_INTERVAL_S)
            self.executor.client.sweep()
            if self.recorder is not None:
                self.recorder.flush()
            if self.executor.admission is not None:
                self.executor.admission.save_if_due()
            if time.monotonic() - logged_at >= STATISTICS_INTERVAL_S:
                logged_at = time.monotonic()
                counts = msgspec.to_builtins(self.executor.counts)
                log.info(
                    "statistics",
                    viewings=len(self.executor.viewings),
                    **self.loop.lag.take_figures(),
                    **counts,
                )

    def stop(self) -> None:
        self.server.close()
        self.executor.client.close()
        if self.reports is not None:
            self.reports.stop()
        if self.executor.admission is not None:
            self.executor.admission.save()
        if self.recorder is not None:
            self.recorder.close()


def _log_task_failure(name: str, error: BaseException) -> None:
    log.error("task failed", task=name, error=f"{type(error).__name__}: {error}", exc_info=error)


def serve(
    site: Site,
    name: str,
    seed: int,
    state_dir: Path | None,
    record: Path | None,
    ready: Callable[[str], None] | None = None,
    source: tuple[Path, CompiledSite, Path | None] | None = None,
) -> int:
    """Runs a gateway until SIGTERM or SIGINT and returns the exit code. SIGUSR1 drains it.

    SIGHUP reloads the site where there is a `source`: the file, the first version and the path of the last
    good version. `ready` is called with the address once the gateway serves."""
    loop = Loop(_log_task_failure)
    # Collector pauses must not grow with the number of viewings. Objects that exist at the start are never
    # collected, and viewings are freed by reference counting.
    gc.collect()
    gc.freeze()
    gc.set_threshold(2_000, 4, 1_000)

    def main() -> int:
        stop_event = Event(loop)

        def on_signal(number: int) -> None:
            if number == signal.SIGUSR1:
                running.set_draining(True)
                log.info("draining")
            elif number == signal.SIGHUP:
                if running.reloader is not None:
                    running.reloader.reload()
            else:
                stop_event.set(number)

        restore = loop.on_signals([signal.SIGTERM, signal.SIGINT, signal.SIGUSR1, signal.SIGHUP], on_signal)
        try:
            running = RunningGateway(loop, site, name, seed, state_dir, record)
            if source is not None:
                running.reloader = SiteReloader(
                    loop, *source, running.apply_site, name, lambda: len(running.executor.viewings)
                )
        except OSError as problem:
            print(f"ledgehitch: {name}: {problem}", file=sys.stderr)
            return 2
        address = str(running.server.at)
        log.info("serves", gateway=name, at=address, boot=running.boot, pid=os.getpid())
        if ready is not None:
            ready(address)
        stop_event.wait()
        log.info("stopping", signal=stop_event.value)
        running.stop()
        restore()
        return 0

    return int(loop.run(main))


def print_ready(address: str) -> None:
    """Prints the line that the starting process waits for."""
    print(json.dumps({"gateway": f"http://{address}"}), flush=True)
