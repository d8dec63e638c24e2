"""`daemon` and `why`: runs a gateway for operators, and explains its decisions on a viewing."""

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
@click.option(
    "--gateway", "name", default=None, help="Name of the gateway in the site; the first one by default."
)
@click.option("--seed", type=int, default=1, show_default=True)
@click.option(
    "--state",
    type=click.Path(path_type=Path),
    required=True,
    help="Directory for the lock, the admin socket, keys and the state restored at the next start.",
)
@click.option(
    "--record", type=click.Path(path_type=Path), default=None, help="File to write a flight record to."
)
@click.option(
    "--keys",
    type=click.Path(path_type=Path),
    default=None,
    help="Directory with the gateway's certificate (`ledgehitch keys`), for operators on other machines.",
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
    """Runs one gateway as a daemon; only one of a given name may run on a machine.

    SIGTERM and SIGINT end all viewings and stop it. SIGUSR1 drains, SIGUSR2 reopens the log file, SIGHUP
    reloads the site. Operators reach it at STATE/NAME.admin (`ledgehitch fleet`). Exit codes: 0 stopped on
    request, 2 bad input, or the state directory or the address is in use, 70 the event loop hung.
    """
    site, name, source = load_start_version(site_file, name, state)
    key_store = Keys(keys) if keys is not None else None
    sys.exit(run_daemon(site, name, seed, state, record, source, logfile, key_store, create_restarts_duty))


@click.command("why")
@click.argument("record", type=click.Path(path_type=Path))
@click.argument("viewing", type=int)
def why_command(record: Path, viewing: int) -> None:
    """Shows the decisions on VIEWING (its number) and the inputs behind them, from a flight record."""
    lines = explain_viewing(record, viewing)
    if not lines:
        raise BadInput(f"{record}: no entries for viewing {viewing}")
    for line in lines:
        click.echo(line)
