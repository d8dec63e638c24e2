"""`rehearse`, `check-tape`, `replay` and `import-day`: runs day scripts and checks their traces."""

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
@click.option("--seed", type=int, default=None, help="Random seed; the day's own by default.")
@click.option(
    "--tape",
    "directory",
    type=click.Path(path_type=Path),
    default=None,
    help="Directory for traces, logs, site and flight records; a temporary one by default.",
)
@click.option("--record", is_flag=True, help="Have the gateways write flight records.")
@click.option("--json", "as_json", is_flag=True)
def rehearse_command(
    day_file: Path, seed: int | None, directory: Path | None, record: bool, as_json: bool
) -> None:
    """Runs DAY on loopback. Exit codes: 0 all rules held, 1 a rule was broken, 2 bad input."""
    day = read_day(day_file)
    if directory is not None and directory.exists() and any(directory.iterdir()):
        raise BadInput(f"{directory}: is not empty, and existing traces are never written over")
    result = rehearse(day, seed if seed is not None else day.seed, directory, record)
    if as_json:
        click.echo(json.dumps(result.summary(), indent=1))
    else:
        _print_result(result)
    sys.exit(1 if result.breaches else 0)


def _print_result(result: Result) -> None:
    out = Console(highlight=False)
    summary = result.summary()
    service = summary["service"]
    out.print(f"[bold]{result.day}[/bold], seed {result.seed} (with simulated peers on loopback)")
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
    fault_table = Table("at, s", "fault", "met", "service 5 s before", "5 s from it on", box=None)
    for fault in result.faults:
        fault_table.add_row(
            str(fault["at"]),
            fault["kind"],
            ", ".join(fault["met"])[:40],
            str(fault["service_before"]),
            str(fault["service_after"]),
        )
    out.print(fault_table)
    for breach in result.breaches[:20]:
        out.print(f"[red]{breach.describe(result.started_at)}[/red]", soft_wrap=True)
    out.print(
        f"rules: {'kept' if not result.breaches else 'BROKEN'}; tape in {result.directory}", soft_wrap=True
    )


@click.command("check-tape")
@click.argument("directory", type=click.Path(path_type=Path))
@click.option("--json", "as_json", is_flag=True)
def check_tape(directory: Path, as_json: bool) -> None:
    """Checks the six rules against the traces of a rehearsal in DIRECTORY. Exit codes as for `rehearse`."""
    tape_directory = directory / "tape" if (directory / "tape").is_dir() else directory
    site_file = next(
        (folder / "site.json" for folder in (directory, directory.parent) if (folder / "site.json").exists()),
        None,
    )
    if site_file is None or not list(tape_directory.glob("*.tape")):
        raise BadInput(f"{directory}: no tapes with their site.json found")
    breaches, entry_counts = check_tapes(tape_directory, rule_parameters(read_site(site_file)))
    if as_json:
        rows = [
            {
                "rule": breach.rule,
                "what": breach.message,
                "viewing": breach.viewing,
                "times": breach.times,
                "lines": breach.lines,
            }
            for breach in breaches
        ]
        click.echo(json.dumps({"kept": not breaches, "breaches": rows, "tape": entry_counts}, indent=1))
    else:
        for breach in breaches:
            click.echo(breach.describe())
        click.echo(f"rules {'BROKEN' if breaches else 'kept'}; trace entries: {entry_counts}")
    sys.exit(1 if breaches else 0)


@click.command()
@click.argument("record", type=click.Path(path_type=Path))
def replay(record: Path) -> None:
    """Replays a flight RECORD through the decision module.

    Exit code 1 if a decision differs; the first difference is printed."""
    verdict = replay_record(record)
    if not verdict.same_module:
        click.echo("the record was written by a different version of the decision module")
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
    help="Divisor for the numbers of hosts, gateways and viewers.",
)
@click.option("--out", type=click.Path(path_type=Path), default=None)
def import_day(file: Path, scale: float, out: Path | None) -> None:
    """Converts a bench day, as printed by `lbsim draw`, to a day script."""
    day, skipped = import_bench_day(file, scale)
    for line in skipped:
        click.echo(f"skipped: {line}", err=True)
    text = msgspec.json.format(msgspec.json.encode(day)).decode()
    if out is not None:
        out.write_text(text + "\n")
    else:
        click.echo(text)
