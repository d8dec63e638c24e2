"""`up` and `serve`: a gateway with stand-ins for trying out, and a gateway alone."""

import sys
from pathlib import Path

import click

from ledgehitch.gateway.report_server import run_report_server
from ledgehitch.gateway.serve import print_ready, serve
from ledgehitch.gateway.site_reloader import load_start_version
from ledgehitch.rehearsal.up import run_up


@click.command()
@click.option("--port", type=click.IntRange(0, 65535), default=0, help="Of the gateway; 0: any free one.")
@click.option("--seed", type=int, default=1, show_default=True)
def up(port: int, seed: int) -> None:
    """A gateway, a list service and six stand-in media hosts on loopback, until Ctrl-C.

    The first line on standard output, once all is ready, names the gateway's address.
    """
    sys.exit(run_up(port, seed))


@click.command("serve")
@click.option("--site", "site_file", type=click.Path(path_type=Path), required=True)
@click.option("--gateway", "name", default=None, help="Which of the site's gateways; the first if left out.")
@click.option("--seed", type=int, default=1, show_default=True)
@click.option(
    "--state",
    type=click.Path(path_type=Path),
    default=None,
    help="Directory for what the next start begins with.",
)
@click.option("--record", type=click.Path(path_type=Path), default=None, help="Writes a flight record there.")
def serve_command(
    site_file: Path, name: str | None, seed: int, state: Path | None, record: Path | None
) -> None:
    """One gateway of a site, until SIGTERM or SIGINT. SIGHUP reloads the site, SIGUSR1 drains."""
    site, name, source = load_start_version(site_file, name, state)
    sys.exit(serve(site, name, seed, state, record, print_ready, source))


@click.command("reports")
@click.option("--site", "site_file", type=click.Path(path_type=Path), required=True)
@click.option("--gateway", "name", default=None, help="Whose players; the site's first if left out.")
@click.option(
    "--state", type=click.Path(path_type=Path), required=True, help="The gateway's own: its keys lie there."
)
def reports_command(site_file: Path, name: str | None, state: Path) -> None:
    """Takes the players' reports of a gateway in a process beside it (`reports_at` of the gateway)."""
    sys.exit(run_report_server(site_file, name, state))
