"""`ledgehitch reports`: takes a gateway's players' reports in a process of its own beside it."""

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
    """Runs until SIGTERM or SIGINT; SIGHUP reads the site anew, for what racks are called."""
    site = read_site(site_file)
    here = next((g for g in site.gateways if name in (None, g.name)), None)
    if here is None:
        raise BadInput(f"{site_file}: no gateway {name!r}")
    if not here.reports_at:
        raise BadInput(f"{site_file}: gateway {here.name} has no reports_at, it takes reports itself")
    loop = Loop()

    def main() -> int:
        nonlocal site
        over = Event(loop)

        def on(number: int) -> None:
            nonlocal site
            if number != signal.SIGHUP:
                over.set(number)
                return
            try:
                site = read_site(site_file)
            except BadInput as wrong:
                log.error("the site does not read, the names of before stay", why=str(wrong))

        restore = loop.on_signals([signal.SIGTERM, signal.SIGINT, signal.SIGHUP], on)
        others = {g.name: g.reports_at or g.at for g in site.gateways if g.name != here.name}
        reports = ReportService(
            loop, here.name, others, state_dir, KeyFileVerifier(here.name, state_dir).check
        )
        reports.rack_name = lambda rack: rack_name(site.fleet.rack_names, rack)
        playing: dict[str, int] = {}
        reports.playing_by_rack = lambda: playing

        def ask() -> None:
            """What plays at the gateway, so that a rack that says nothing is seen."""
            while True:
                try:
                    with loop.deadline(2.0):
                        told = json.loads(reports.client.request(here.at, "GET", "/quality/playing").body)
                    playing.clear()
                    playing.update(told)
                except (TimedOut, ConnectFailed, Interrupted, ValueError):
                    pass  # while it is away what it played last is expected to report
                loop.sleep(VERDICT_INTERVAL_S)

        reports.start()
        loop.spawn(ask, name="ask what plays")
        try:
            server = Server(loop, endpoint(here.reports_at), reports.handle)
        except OSError as problem:
            print(f"ledgehitch: {here.reports_at}: {problem}", file=sys.stderr)
            return 2
        print(json.dumps({"reports": f"http://{server.at}"}), flush=True)
        over.wait()
        server.close()
        reports.stop()
        restore()
        return 0

    return int(loop.run(main))
