"""`lab ...`: experiments on the model."""

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

RESULTS = click.option(
    "--results",
    type=click.Path(path_type=Path),
    default=Path("lab.sqlite"),
    show_default=True,
    help="The file of results.",
)


@click.group()
def lab() -> None:
    """Experiments on the model: whole fleets in virtual time, one change held against another."""


@lab.command()
@click.argument("plans", metavar="PLAN...", nargs=-1, required=True, type=click.Path(path_type=Path))
@RESULTS
@click.option("--cores", type=click.IntRange(1), default=None, help="All if left out.")
def run(plans: tuple[Path, ...], results: Path, cores: int | None) -> None:
    """Runs the plans; what is done is not run again. Exit code 1 where a run failed or broke a rule."""
    # All of it is read and checked before a file of results is made.
    read = [(plan, list(runs_of(plan, path.parent))) for path in plans for plan in [read_plan(path)]]
    store = open_store(results)
    work = Lab(store, cores)
    total = sum(work.add(plan, runs) for plan, runs in read)
    out = Console(stderr=True, highlight=False)
    with Progress(
        TextColumn("{task.description}"), BarColumn(), MofNCompleteColumn(), TimeElapsedColumn(), console=out
    ) as bar:
        task = bar.add_task("runs", total=total)

        def moved(done: Done) -> None:
            bar.update(task, completed=done.done + done.failed + done.cut + done.others)

        came = work.carry(moved)
        moved(came)
    store.close()
    click.echo(
        f"{came.done} done, {came.others} were done already or are another's, {came.failed} failed, "
        f"{came.cut} cut off, {came.not_begun} not begun, {came.broken} broke a rule"
    )
    for why in came.whys[:20]:
        click.echo(f"  {why}")
    sys.exit(1 if came.failed or came.broken else 0)


@lab.command()
@click.argument("a")
@click.argument("b")
@RESULTS
@click.option("--plan", default=None, help="Of this plan only.")
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
    """Holds B against A, paired by seed: better, worse, the same, or cannot tell."""
    if not results.exists():
        raise BadInput(f"{results}: there is no such file of results")
    store = open_store(results)
    rows = store.rows(plan, None if by == "code" else code_version())
    known = sorted({r[by] for r in rows})
    for name in (a, b):
        if name not in known:
            raise BadInput(
                f"{results}: no {by} {name!r} with this code, there are: {', '.join(known) or 'none'}"
            )
    answers = compared(rows, a, b, measures, by)
    if as_json:
        click.echo(json.dumps([vars(x) for x in answers]))
        return
    table = Table("condition", "measure", "seeds", a, b, "difference (95%)", "p", "verdict", box=None)
    for x in answers:
        more = f", {x.more} more seeds would tell" if x.verdict == "cannot tell" else ""
        table.add_row(
            ", ".join(x.condition),
            x.measure,
            str(x.pairs),
            f"{x.a:.4f}",
            f"{x.b:.4f}",
            f"{x.difference:+.4f} ({x.low:+.4f} to {x.high:+.4f})",
            f"{x.p:.3g}",
            x.verdict + more,
        )
    Console(highlight=False, width=None if sys.stdout.isatty() else 160).print(table)


@lab.command()
@RESULTS
@click.option("--plan", default=None, help="Of this plan only.")
@click.option("--out", type=click.Path(path_type=Path), default=Path("lab.html"), show_default=True)
def report(results: Path, plan: str | None, out: Path) -> None:
    """A page with tables and charts, and the charts as PNG beside it."""
    from ledgehitch.lab.report import written  # the charts' library takes its time to load

    if not results.exists():
        raise BadInput(f"{results}: there is no such file of results")
    store = open_store(results)
    code = code_version()
    found = [one for one in store.results(plan) if one[0]["code"] == code]
    if not found:
        raise BadInput(f"{results}: no result of this code{f' and plan {plan!r}' if plan else ''}")
    for path in written(plan or "experiments", code, found, out):
        click.echo(str(path))


@lab.command()
@click.argument("day_file", metavar="DAY", type=click.Path(path_type=Path))
@click.option("--tries", type=click.IntRange(1), default=200, show_default=True)
@click.option("--seed", type=int, default=1, show_default=True)
@click.option("--rule", type=click.IntRange(1, 6), default=None, help="Looks for this rule's breaking only.")
@click.option(
    "--without",
    type=click.IntRange(1, 6),
    multiple=True,
    help="Takes this rule's gate out of the module, to see that the search finds it.",
)
@click.option("--out", type=click.Path(path_type=Path), default=None, help="Keeps the script as a day there.")
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
    """Looks near DAY for the script on which viewers lose most or a rule breaks, and cuts it down.

    Exit code 1 where a rule was broken."""
    day = read_day(day_file)
    found = sought(day, seed, tries, rule, without, cores)
    broken = ", ".join(f"rule {r}: {n}" for r, n in sorted(found.rules.items())) or "none"
    click.echo(
        f"{found.tried} scripts; the worst has service {found.service:.3f}, rules broken: {broken}; "
        f"{found.faults_before} faults cut down to {len(found.day.faults)} in {found.cuts} runs"
    )
    for fault in found.day.faults:
        click.echo(f"  {fault}")
    if out is not None:
        keep(found, out)
        click.echo(f"kept as {out}")
    sys.exit(1 if found.rules else 0)
