"""`ledgehitch reports`: takes the reports of a gateway's players in a process of its own."""

import json
import signal
import sys
from pathlib import Path

import structlog

from ledgehitch.config import BadInput, read_site
from ledgehitch.config.site import rack_name
from ledgehitch.gateway.reports import VERDICT_INTERVAL_S, KeyFileVerifier, ReportService
from ledgehitch.http import ConnectFailed, Interrupted, Server
from ledgehitch.loop import Event, Loop, TimedOut, endpoint

log = structlog.get_logger("quality")


def run_report_server(site_file: Path, name: str | None, state_dir: Path) -> int:
    """Runs until SIGTERM or SIGINT and returns the exit code. SIGHUP reads the names of racks again."""
    site = read_site(site_file)
    gateway = next((g for g in site.gateways if name in (None, g.name)), None)
    if gateway is None:
        raise BadInput(f"{site_file}: no gateway {name!r}")
    if not gateway.reports_at:
        raise BadInput(f"{site_file}: gateway {gateway.name} has no reports_at, so it takes reports itself")
    loop = Loop()

    def main() -> int:
        nonlocal site
        stop_event = Event(loop)

        def on_signal(number: int) -> None:
            nonlocal site
            if number != signal.SIGHUP:
                stop_event.set(number)
                return
            try:
                site = read_site(site_file)
            except BadInput as error:
                log.error("cannot read the site file, keeping the former rack names", why=str(error))

        restore = loop.on_signals([signal.SIGTERM, signal.SIGINT, signal.SIGHUP], on_signal)
        others = {g.name: g.reports_at or g.at for g in site.gateways if g.name != gateway.name}
        reports = ReportService(
            loop, gateway.name, others, state_dir, KeyFileVerifier(gateway.name, state_dir).check
        )
        reports.rack_name = lambda rack: rack_name(site.fleet.rack_names, rack)
        playing: dict[str, int] = {}
        reports.playing_by_rack = lambda: playing

        def poll_viewings() -> None:
            """Polls what plays at the gateway, so that a rack without reports is noticed."""
            while True:
                try:
                    with loop.deadline(2.0):
                        current = json.loads(
                            reports.client.request(gateway.at, "GET", "/quality/playing").body
                        )
                    playing.clear()
                    playing.update(current)
                except (TimedOut, ConnectFailed, Interrupted, ValueError):
                    pass  # without an answer, reports are still expected for what played last
                loop.sleep(VERDICT_INTERVAL_S)

        reports.start()
        loop.spawn(poll_viewings, name="poll viewings")
        try:
            server = Server(loop, endpoint(gateway.reports_at), reports.handle)
        except OSError as problem:
            print(f"ledgehitch: {gateway.reports_at}: {problem}", file=sys.stderr)
            return 2
        print(json.dumps({"reports": f"http://{server.at}"}), flush=True)
        stop_event.wait()
        server.close()
        reports.stop()
        restore()
        return 0

    return int(loop.run(main))
