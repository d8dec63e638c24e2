"""`lab ...`: runs and compares experiments on the model, and searches for bad day scripts."""

import json
import sys
from pathlib import Path

import click
from rich.console import Console
from rich.progress import BarColumn, MofNCompleteColumn, Progress, TextColumn, TimeElapsedColumn
from rich.table import Table

from ledgehitch.config import BadInput, read_day
from ledgehitch.lab.carry import Done, Lab, open_store
from ledgehitch.lab.compare import MATTERS, compared
from ledgehitch.lab.facts import code_version, read_plan, runs_of
from ledgehitch.lab.seek import keep, sought

RESULTS_OPTION = click.option(
    "--results",
    type=click.Path(path_type=Path),
    default=Path("lab.sqlite"),
    show_default=True,
    help="SQLite file with the results.",
)


@click.group()
def lab() -> None:
    """Experiments on the model: whole fleets in virtual time, with a comparison of changes."""


@lab.command()
@click.argument("plans", metavar="PLAN...", nargs=-1, required=True, type=click.Path(path_type=Path))
@RESULTS_OPTION
@click.option("--cores", type=click.IntRange(1), default=None, help="Processor cores to use; all by default.")
def run(plans: tuple[Path, ...], results: Path, cores: int | None) -> None:
    """Runs the plans and skips runs that are already done. Exit code 1 if a run failed or broke a rule."""
    # All plans are read and checked before the results file is created.
    read = [(plan, list(runs_of(plan, path.parent))) for path in plans for plan in [read_plan(path)]]
    store = open_store(results)
    experiments = Lab(store, cores)
    total = sum(experiments.add(plan, runs) for plan, runs in read)
    out = Console(stderr=True, highlight=False)
    with Progress(
        TextColumn("{task.description}"), BarColumn(), MofNCompleteColumn(), TimeElapsedColumn(), console=out
    ) as bar:
        task = bar.add_task("runs", total=total)

        def show_progress(done: Done) -> None:
            bar.update(task, completed=done.done + done.failed + done.cut + done.others)

        totals = experiments.carry(show_progress)
        show_progress(totals)
    store.close()
    click.echo(
        f"{totals.done} done, {totals.others} were done already or run in another process, "
        f"{totals.failed} failed, {totals.cut} interrupted, {totals.not_begun} not started, "
        f"{totals.broken} broke a rule"
    )
    for reason in totals.whys[:20]:
        click.echo(f"  {reason}")
    sys.exit(1 if totals.failed or totals.broken else 0)


@lab.command()
@click.argument("a")
@click.argument("b")
@RESULTS_OPTION
@click.option("--plan", default=None, help="Only results of this plan.")
@click.option("--by", type=click.Choice(["setting", "code"]), default="setting", show_default=True)
@click.option(
    "--measure",
    "measures",
    multiple=True,
    type=click.Choice(sorted(MATTERS)),
    default=("service", "join_p95", "blocked"),
    show_default=True,
)
@click.option("--json", "as_json", is_flag=True)
def compare(
    a: str, b: str, results: Path, plan: str | None, by: str, measures: tuple[str, ...], as_json: bool
) -> None:
    """Compares B with A, paired by seed: better, worse, the same, or cannot tell."""
    if not results.exists():
        raise BadInput(f"{results}: results file not found")
    store = open_store(results)
    rows = store.rows(plan, None if by == "code" else code_version())
    known = sorted({row[by] for row in rows})
    for name in (a, b):
        if name not in known:
            raise BadInput(
                f"{results}: no {by} {name!r} with this code, there are: {', '.join(known) or 'none'}"
            )
    answers = compared(rows, a, b, measures, by)
    if as_json:
        click.echo(json.dumps([vars(comparison) for comparison in answers]))
        return
    table = Table("condition", "measure", "seeds", a, b, "difference (95%)", "p", "verdict", box=None)
    for comparison in answers:
        seeds_needed = (
            f", {comparison.more} more seeds are needed" if comparison.verdict == "cannot tell" else ""
        )
        table.add_row(
            ", ".join(comparison.condition),
            comparison.measure,
            str(comparison.pairs),
            f"{comparison.a:.4f}",
            f"{comparison.b:.4f}",
            f"{comparison.difference:+.4f} ({comparison.low:+.4f} to {comparison.high:+.4f})",
            f"{comparison.p:.3g}",
            comparison.verdict + seeds_needed,
        )
    Console(highlight=False, width=None if sys.stdout.isatty() else 160).print(table)


@lab.command()
@RESULTS_OPTION
@click.option("--plan", default=None, help="Only results of this plan.")
@click.option("--out", type=click.Path(path_type=Path), default=Path("lab.html"), show_default=True)
def report(results: Path, plan: str | None, out: Path) -> None:
    """Writes an HTML page with tables and charts, and the charts as PNG files next to it."""
    from ledgehitch.lab.report import written  # the chart library is slow to load

    if not results.exists():
        raise BadInput(f"{results}: results file not found")
    store = open_store(results)
    code = code_version()
    matching = [result for result in store.results(plan) if result[0]["code"] == code]
    if not matching:
        raise BadInput(f"{results}: no result of this code version{f' and plan {plan!r}' if plan else ''}")
    for path in written(plan or "experiments", code, matching, out):
        click.echo(str(path))


@lab.command()
@click.argument("day_file", metavar="DAY", type=click.Path(path_type=Path))
@click.option("--tries", type=click.IntRange(1), default=200, show_default=True)
@click.option("--seed", type=int, default=1, show_default=True)
@click.option(
    "--rule", type=click.IntRange(1, 6), default=None, help="Search only for violations of this rule."
)
@click.option(
    "--without",
    type=click.IntRange(1, 6),
    multiple=True,
    help="Disable this rule's check in the module, to verify that the search finds the violation.",
)
@click.option(
    "--out", type=click.Path(path_type=Path), default=None, help="File to write the script to, as a day."
)
@click.option("--cores", type=click.IntRange(1), default=None)
def search(
    day_file: Path,
    tries: int,
    seed: int,
    rule: int | None,
    without: tuple[int, ...],
    out: Path | None,
    cores: int | None,
) -> None:
    """Searches near DAY for the script with the worst service or a broken rule, and minimizes it.

    Exit code 1 if a rule was broken."""
    day = read_day(day_file)
    worst = sought(day, seed, tries, rule, without, cores)
    broken = ", ".join(f"rule {number}: {count}" for number, count in sorted(worst.rules.items())) or "none"
    click.echo(
        f"{worst.tried} scripts tried; the worst has service {worst.service:.3f}, "
        f"rules broken: {broken}; "
        f"{worst.faults_before} faults reduced to {len(worst.day.faults)} in {worst.cuts} runs"
    )
    for fault in worst.day.faults:
        click.echo(f"  {fault}")
    if out is not None:
        keep(worst, out)
        click.echo(f"written to {out}")
    sys.exit(1 if worst.rules else 0)
