"""`rehearse`, `check-tape`, `replay` and `import-day`."""

import json
import sys
from pathlib import Path

import click
import msgspec
from rich.console import Console
from rich.table import Table

from ledgehitch.config import BadInput, read_day, read_site
from ledgehitch.gateway.replay import replay_record
from ledgehitch.proof.check import check_tapes, rule_parameters
from ledgehitch.rehearsal.imported import import_bench_day
from ledgehitch.rehearsal.play import Result, rehearse


@click.command("rehearse")
@click.argument("day_file", metavar="DAY", type=click.Path(path_type=Path))
@click.option("--seed", type=int, default=None, help="The day's own if left out.")
@click.option(
    "--tape",
    "directory",
    type=click.Path(path_type=Path),
    default=None,
    help="Directory for tape, logs, site and records; a temporary one if left out.",
)
@click.option("--record", is_flag=True, help="Gateways write flight records.")
@click.option("--json", "as_json", is_flag=True)
def rehearse_command(
    day_file: Path, seed: int | None, directory: Path | None, record: bool, as_json: bool
) -> None:
    """Plays the DAY on loopback. Exit code 0: rules kept, 1: broken, 2: bad input."""
    day = read_day(day_file)
    if directory is not None and directory.exists() and any(directory.iterdir()):
        raise BadInput(f"{directory}: is not empty, and a tape is never written over")
    result = rehearse(day, seed if seed is not None else day.seed, directory, record)
    if as_json:
        click.echo(json.dumps(result.summary(), indent=1))
    else:
        _show(result)
    sys.exit(1 if result.breaches else 0)


def _show(result: Result) -> None:
    out = Console(highlight=False)
    told = result.summary()
    service = told["service"]
    out.print(f"[bold]{result.day}[/bold], seed {result.seed} (simulated peers on loopback)")
    table = Table("what", "figure", box=None)
    for name in (
        "visits",
        "service",
        "worst_10s",
        "joined",
        "joined_in_time",
        "joins_s",
        "answers",
        "short_share",
        "rung_shares",
    ):
        table.add_row(name, str(service.get(name)))
    out.print(table)
    faults = Table("at, s", "fault", "met", "service 5 s before", "5 s from it on", box=None)
    for f in result.faults:
        faults.add_row(
            str(f["at"]),
            f["kind"],
            ", ".join(f["met"])[:40],
            str(f["service_before"]),
            str(f["service_after"]),
        )
    out.print(faults)
    for breach in result.breaches[:20]:
        out.print(f"[red]{breach.describe(result.started_at)}[/red]", soft_wrap=True)
    out.print(
        f"rules: {'kept' if not result.breaches else 'BROKEN'}; tape in {result.directory}", soft_wrap=True
    )


@click.command("check-tape")
@click.argument("directory", type=click.Path(path_type=Path))
@click.option("--json", "as_json", is_flag=True)
def check_tape(directory: Path, as_json: bool) -> None:
    """Judges the six rules from the tapes of a rehearsal in DIRECTORY. Exit code 0, 1 or 2 as `rehearse`."""
    tapes = directory / "tape" if (directory / "tape").is_dir() else directory
    site_file = next(
        (d / "site.json" for d in (directory, directory.parent) if (d / "site.json").exists()), None
    )
    if site_file is None or not list(tapes.glob("*.tape")):
        raise BadInput(f"{directory}: no tapes with their site.json there")
    breaches, held = check_tapes(tapes, rule_parameters(read_site(site_file)))
    if as_json:
        told = [
            {"rule": b.rule, "what": b.message, "viewing": b.viewing, "times": b.times, "lines": b.lines}
            for b in breaches
        ]
        click.echo(json.dumps({"kept": not breaches, "breaches": told, "tape": held}, indent=1))
    else:
        for breach in breaches:
            click.echo(breach.describe())
        click.echo(f"rules {'BROKEN' if breaches else 'kept'}; the tape holds {held}")
    sys.exit(1 if breaches else 0)


@click.command()
@click.argument("record", type=click.Path(path_type=Path))
def replay(record: Path) -> None:
    """Feeds a flight RECORD to the module again; exit code 1 at a difference, which is named."""
    verdict = replay_record(record)
    if not verdict.same_module:
        click.echo("the record was written with another text of the module")
    click.echo(
        f"{verdict.entries} entries, {verdict.pulls} pulls, {verdict.decisions} decisions: "
        + (verdict.difference or "no difference")
    )
    sys.exit(1 if verdict.difference else 0)


@click.command("import-day")
@click.argument("file", type=click.Path(path_type=Path))
@click.option(
    "--scale",
    type=float,
    default=8.0,
    show_default=True,
    help="Hosts, gateways and viewers are divided by it.",
)
@click.option("--out", type=click.Path(path_type=Path), default=None)
def import_day(file: Path, scale: float, out: Path | None) -> None:
    """Writes a day script from a bench day as `lbsim draw` prints it."""
    day, skipped = import_bench_day(file, scale)
    for line in skipped:
        click.echo(f"left out: {line}", err=True)
    text = msgspec.json.format(msgspec.json.encode(day)).decode()
    if out is not None:
        out.write_text(text + "\n")
    else:
        click.echo(text)
