"""`scale ...`: many hollow gateways beside real ones, and the page on capacity made from it."""

import sys
import tempfile
from collections.abc import Callable
from pathlib import Path

import click
from rich.console import Console
from rich.table import Table

from ledgehitch.config import BadInput, read_site
from ledgehitch.scale.facts import Kept, write_kept

KEPT = Path("docs/capacity/kept")


@click.group()
def scale() -> None:
    """What a fleet of the size that is coming costs, measured with hollow gateways beside real ones."""


@scale.command()
@click.argument("plan_file", metavar="PLAN", type=click.Path(path_type=Path))
@click.option(
    "--members",
    type=click.IntRange(4),
    default=None,
    help="Instead of the plan's own; restarts in proportion.",
)
@click.option("--seed", type=int, default=None, help="The plan's own if left out.")
@click.option(
    "--out",
    type=click.Path(path_type=Path),
    default=None,
    help="Keeps the points there, as JSON; the page looks in docs/capacity/kept.",
)
@click.option(
    "--directory",
    type=click.Path(path_type=Path),
    default=None,
    help="For tapes, logs and sites; a temporary one if left out.",
)
def run(
    plan_file: Path, members: int | None, seed: int | None, out: Path | None, directory: Path | None
) -> None:
    """Plays PLAN. Exit code 0: parts stayed within the whole and no task failed, 1: not so, 2: bad input."""
    from ledgehitch.scale.plan import check, read_plan
    from ledgehitch.scale.play import played
    from ledgehitch.scale.rig import this_machine

    plan = read_plan(plan_file, members or 0, seed)
    check(plan, str(plan_file), this_machine())
    if directory is not None and directory.exists() and any(directory.iterdir()):
        raise BadInput(f"{directory}: is not empty, and a tape is never written over")
    directory = directory or Path(tempfile.mkdtemp(prefix="ledgehitch-scale-"))
    words = [
        str(plan_file),
        *(["--members", str(members)] if members else []),
        *(["--seed", str(seed)] if seed is not None else []),
    ]
    came = played(plan, directory, words)
    if out is not None:
        write_kept(out, came.kept)
    _show(came.kept)
    for phase, found in came.over.items():
        for figure, times in found.items():
            click.echo(f"{phase}: {figure} of a real member is {times:.2f} times what control may take")
    for phase, why in came.in_the_way.items():
        click.echo(f"{phase}: no figures of control, the rig stood in their way: {why}")
    for wrong in came.parts + came.wrong:
        click.echo(f"WRONG: {wrong}")
    click.echo(f"tapes and logs in {directory}; of simulated peers on loopback")
    sys.exit(0 if came.good() else 1)


@scale.command()
@click.option("--docs", type=click.Path(path_type=Path), default=Path("docs"), show_default=True)
@click.option("--check", is_flag=True, help="Writes nothing; exit code 1 where the page is another.")
def report(docs: Path, check: bool) -> None:
    """Makes the tables of DOCS/CAPACITY.md from DOCS/capacity: kept results and the target."""
    from ledgehitch.scale.report import PAGE, written

    same = written(docs, check)
    click.echo(f"{docs / PAGE}: {'as it was' if same else 'another' if check else 'written'}")
    sys.exit(1 if check and not same else 0)


def _show(kept: Kept) -> None:
    table = Table("phase", "role", "mechanism", "kind", "figures", box=None)
    for p in kept.points:
        if p.mechanism in ("all", "difference", "fleet", "rig") or p.role == "owner":
            told = ", ".join(f"{k} {v:.4g}" for k, v in p.figures.items())
            table.add_row(p.phase, p.role, p.mechanism, p.kind, told)
    Console(highlight=False, width=None if sys.stdout.isatty() else 220).print(table)


def _inside(call: Callable[..., None]) -> Callable[..., None]:
    """Options of the processes that a run is made of."""
    for option in (
        click.option("--site", "site_file", type=click.Path(path_type=Path), required=True),
        click.option("--names", "names_file", type=click.Path(path_type=Path), required=True),
        click.option("--control", type=click.Path(path_type=Path), required=True),
        click.option("--tape", type=click.Path(path_type=Path), required=True),
        click.option("--seed", type=int, default=1),
    ):
        call = option(call)
    return call


@scale.command("hollow", hidden=True)
@_inside
@click.option("--state", type=click.Path(path_type=Path), required=True)
@click.option("--share", type=float, default=0.0)
def hollow_command(
    site_file: Path, names_file: Path, control: Path, tape: Path, seed: int, state: Path, share: float
) -> None:
    """A process of hollow gateways."""
    from ledgehitch.scale.hollow import run_hollow

    sys.exit(
        run_hollow(read_site(site_file), names_file.read_text().split(), state, control, tape, seed, share)
    )


@scale.command("relay", hidden=True)
@_inside
def relay_command(site_file: Path, names_file: Path, control: Path, tape: Path, seed: int) -> None:
    """A process that carries datagrams to some members."""
    from ledgehitch.scale.relay import run_relay

    sys.exit(run_relay(read_site(site_file), names_file.read_text().split(), control, tape, seed))
