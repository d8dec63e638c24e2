"""`up`, `serve` and `reports`: a demo gateway with stand-ins, a gateway alone, and its report receiver."""

import sys
from pathlib import Path

import click

from ledgehitch.gateway.report_server import run_report_server
from ledgehitch.gateway.serve import print_ready, serve
from ledgehitch.gateway.site_reloader import load_start_version
from ledgehitch.rehearsal.up import run_up


@click.command()
@click.option(
    "--port", type=click.IntRange(0, 65535), default=0, help="Port of the gateway; 0 picks a free one."
)
@click.option("--seed", type=int, default=1, show_default=True)
def up(port: int, seed: int) -> None:
    """Runs a gateway, a list service and six stand-in media hosts on loopback until Ctrl-C.

    Once all are ready, the first line on standard output gives the gateway's address.
    """
    sys.exit(run_up(port, seed))


@click.command("serve")
@click.option("--site", "site_file", type=click.Path(path_type=Path), required=True)
@click.option(
    "--gateway", "name", default=None, help="Name of the gateway in the site; the first one by default."
)
@click.option("--seed", type=int, default=1, show_default=True)
@click.option(
    "--state",
    type=click.Path(path_type=Path),
    default=None,
    help="Directory for the state restored at the next start.",
)
@click.option(
    "--record", type=click.Path(path_type=Path), default=None, help="File to write a flight record to."
)
def serve_command(
    site_file: Path, name: str | None, seed: int, state: Path | None, record: Path | None
) -> None:
    """Runs one gateway of a site until SIGTERM or SIGINT. SIGHUP reloads the site, SIGUSR1 drains."""
    site, name, source = load_start_version(site_file, name, state)
    sys.exit(serve(site, name, seed, state, record, print_ready, source))


@click.command("reports")
@click.option("--site", "site_file", type=click.Path(path_type=Path), required=True)
@click.option(
    "--gateway", "name", default=None, help="Gateway whose players report; the site's first by default."
)
@click.option(
    "--state",
    type=click.Path(path_type=Path),
    required=True,
    help="State directory of the gateway, which holds its keys.",
)
def reports_command(site_file: Path, name: str | None, state: Path) -> None:
    """Receives the players' reports of a gateway in a separate process, at the gateway's `reports_at`."""
    sys.exit(run_report_server(site_file, name, state))
