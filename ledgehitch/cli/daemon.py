"""`daemon` and `why`: a gateway that operators run, and what it decided on a viewing."""

import sys
from pathlib import Path

import click

from ledgehitch.config import BadInput
from ledgehitch.daemon.logfile import LogFile
from ledgehitch.daemon.run import run_daemon
from ledgehitch.daemon.why import explain_viewing
from ledgehitch.fleet.onduty import create_restarts_duty
from ledgehitch.gateway.site_reloader import load_start_version
from ledgehitch.keys.store import Keys


@click.command("daemon")
@click.option("--site", "site_file", type=click.Path(path_type=Path), required=True)
@click.option("--gateway", "name", default=None, help="Which of the site's gateways; the first if left out.")
@click.option("--seed", type=int, default=1, show_default=True)
@click.option(
    "--state",
    type=click.Path(path_type=Path),
    required=True,
    help="Its directory: lock, admin socket, keys and what the next life begins with.",
)
@click.option("--record", type=click.Path(path_type=Path), default=None, help="Writes a flight record there.")
@click.option(
    "--keys",
    type=click.Path(path_type=Path),
    default=None,
    help="Directory with its certificate, for operators on other machines (`ledgehitch keys`).",
)
@click.pass_obj
def daemon_command(
    logfile: LogFile,
    site_file: Path,
    name: str | None,
    seed: int,
    state: Path,
    record: Path | None,
    keys: Path | None,
) -> None:
    """One gateway as a daemon, one of its name on this machine.

    SIGTERM and SIGINT end what plays and stop; SIGUSR1 drains; SIGUSR2 opens the log file anew; SIGHUP
    reloads the site. Operators call it at STATE/NAME.admin (`ledgehitch fleet`). Exit codes: 0 stopped as
    told, 2 bad input, the place or the address is taken, 70 its loop stood still.
    """
    site, name, source = load_start_version(site_file, name, state)
    bearer = Keys(keys) if keys is not None else None
    sys.exit(run_daemon(site, name, seed, state, record, source, logfile, bearer, create_restarts_duty))


@click.command("why")
@click.argument("record", type=click.Path(path_type=Path))
@click.argument("viewing", type=int)
def why_command(record: Path, viewing: int) -> None:
    """What was decided on VIEWING (its number) and on what, from a flight record."""
    lines = explain_viewing(record, viewing)
    if not lines:
        raise BadInput(f"{record}: nothing on viewing {viewing}")
    for line in lines:
        click.echo(line)
