"""`scale ...`: measures many hollow gateways next to real ones, and generates the page on capacity."""

import sys
import tempfile
from collections.abc import Callable
from pathlib import Path

import click
from rich.console import Console
from rich.table import Table

from ledgehitch.config import BadInput, read_site
from ledgehitch.scale.facts import Kept, write_kept

RESULTS_DIRECTORY = Path("docs/capacity/kept")


@click.group()
def scale() -> None:
    """Cost of a larger fleet, measured with hollow gateways next to real ones."""


@scale.command()
@click.argument("plan_file", metavar="PLAN", type=click.Path(path_type=Path))
@click.option(
    "--members",
    type=click.IntRange(4),
    default=None,
    help="Number of members, in place of the plan's own; restarts scale with it.",
)
@click.option("--seed", type=int, default=None, help="Random seed; the plan's own by default.")
@click.option(
    "--out",
    type=click.Path(path_type=Path),
    default=None,
    help="File to write the points to, as JSON; the page is made from those in docs/capacity/kept.",
)
@click.option(
    "--directory",
    type=click.Path(path_type=Path),
    default=None,
    help="Directory for traces, logs and sites; a temporary one by default.",
)
def run(
    plan_file: Path, members: int | None, seed: int | None, out: Path | None, directory: Path | None
) -> None:
    """Runs PLAN.

    Exit codes: 0 parts stayed within the whole and no task failed, 1 otherwise, 2 bad input."""
    from ledgehitch.scale.plan import check, read_plan
    from ledgehitch.scale.play import played
    from ledgehitch.scale.rig import this_machine

    plan = read_plan(plan_file, members or 0, seed)
    check(plan, str(plan_file), this_machine())
    if directory is not None and directory.exists() and any(directory.iterdir()):
        raise BadInput(f"{directory}: is not empty, and existing traces are never written over")
    directory = directory or Path(tempfile.mkdtemp(prefix="ledgehitch-scale-"))
    arguments = [
        str(plan_file),
        *(["--members", str(members)] if members else []),
        *(["--seed", str(seed)] if seed is not None else []),
    ]
    outcome = played(plan, directory, arguments)
    if out is not None:
        write_kept(out, outcome.kept)
    _print_points(outcome.kept)
    for phase, exceeded in outcome.over.items():
        for figure, times in exceeded.items():
            click.echo(
                f"{phase}: {figure} of a real member is {times:.2f} times its limit for control traffic"
            )
    for phase, why in outcome.in_the_way.items():
        click.echo(f"{phase}: no control figures, since the test rig distorted them: {why}")
    for problem in outcome.parts + outcome.wrong:
        click.echo(f"WRONG: {problem}")
    click.echo(f"traces and logs in {directory}; measured with simulated peers on loopback")
    sys.exit(0 if outcome.good() else 1)


@scale.command()
@click.option("--docs", type=click.Path(path_type=Path), default=Path("docs"), show_default=True)
@click.option("--check", is_flag=True, help="Write nothing; exit with code 1 if the page is out of date.")
def report(docs: Path, check: bool) -> None:
    """Generates the tables of DOCS/CAPACITY.md from the stored results and the target in DOCS/capacity."""
    from ledgehitch.scale.report import PAGE, written

    unchanged = written(docs, check)
    click.echo(f"{docs / PAGE}: {'unchanged' if unchanged else 'out of date' if check else 'written'}")
    sys.exit(1 if check and not unchanged else 0)


def _print_points(results: Kept) -> None:
    """Prints the main points of a run as a table."""
    table = Table("phase", "role", "mechanism", "kind", "figures", box=None)
    for point in results.points:
        if point.mechanism in ("all", "difference", "fleet", "rig") or point.role == "owner":
            figures = ", ".join(f"{name} {value:.4g}" for name, value in point.figures.items())
            table.add_row(point.phase, point.role, point.mechanism, point.kind, figures)
    Console(highlight=False, width=None if sys.stdout.isatty() else 220).print(table)


def _process_options(command: Callable[..., None]) -> Callable[..., None]:
    """Adds the options that the processes of a run have in common."""
    for option in (
        click.option("--site", "site_file", type=click.Path(path_type=Path), required=True),
        click.option("--names", "names_file", type=click.Path(path_type=Path), required=True),
        click.option("--control", type=click.Path(path_type=Path), required=True),
        click.option("--tape", type=click.Path(path_type=Path), required=True),
        click.option("--seed", type=int, default=1),
    ):
        command = option(command)
    return command


@scale.command("hollow", hidden=True)
@_process_options
@click.option("--state", type=click.Path(path_type=Path), required=True)
@click.option("--share", type=float, default=0.0)
def hollow_command(
    site_file: Path, names_file: Path, control: Path, tape: Path, seed: int, state: Path, share: float
) -> None:
    """Runs a process of hollow gateways."""
    from ledgehitch.scale.hollow import run_hollow

    sys.exit(
        run_hollow(read_site(site_file), names_file.read_text().split(), state, control, tape, seed, share)
    )


@scale.command("relay", hidden=True)
@_process_options
def relay_command(site_file: Path, names_file: Path, control: Path, tape: Path, seed: int) -> None:
    """Runs a process that relays datagrams to some of the members."""
    from ledgehitch.scale.relay import run_relay

    sys.exit(run_relay(read_site(site_file), names_file.read_text().split(), control, tape, seed))
