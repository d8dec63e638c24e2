"""`quality ...`: what players reported, and who is to blame."""

import json
import sys
import time
import urllib.error
import urllib.request
from pathlib import Path
from typing import Any

import click
from rich.console import Console, Group
from rich.live import Live
from rich.table import Table
from rich.text import Text

from ledgehitch.config import BadInput
from ledgehitch.quality.page import render_page

SHOWN = 12  # groups of a kind in a table, worst first


@click.group()
def quality() -> None:
    """Quality of experience by rack and title, from players' reports."""


def _asked(gateway: str, within: float) -> Any:
    try:
        with urllib.request.urlopen(f"{gateway}/quality/report", timeout=within) as answer:
            return json.load(answer)
    except (OSError, urllib.error.URLError, ValueError) as problem:
        raise BadInput(f"{gateway} does not answer: {problem}") from None


def _shown(told: Any) -> Group:
    verdict = told["verdict"]
    blamed = {(c["kind"], c["name"]): c for c in verdict["culprits"]}
    parts: list[Any] = [Text(verdict["word"], style="bold red" if blamed else "bold")]
    parts += [Text(f"unclear: {line}") for line in verdict["unclear"]]
    for kind in ("rack", "title", "package", "rung"):
        table = Table(
            kind, "viewings", "bad", "stalled", "slow start", "drops", "start p50", "p95", "", box=None
        )
        groups = told["groups"][kind]
        worst = sorted(groups, key=lambda g: (-groups[g]["bad"] / max(1, groups[g]["viewings"]), g))
        for name in worst[:SHOWN]:
            g = groups[name]
            n = max(1, g["viewings"])
            starts = ("-" if g[at] is None else f"{g[at]:.0f} ms" for at in ("start_p50", "start_p95"))
            mark = blamed.get((kind, name))
            word = (
                f"to blame, +{100 * mark['excess']:.0f}% (at least {100 * mark['least']:.0f}%)"
                if mark
                else ""
            )
            table.add_row(
                name,
                str(g["viewings"]),
                f"{100 * g['bad'] / n:.1f}%",
                f"{100 * g['stalled'] / n:.1f}%",
                f"{100 * g['slow'] / n:.1f}%",
                f"{100 * g['dropped'] / n:.1f}%",
                *starts,
                word,
                style="red" if mark else "",
            )
        parts.append(table)
    counts = told["counts"]
    parts.append(Text("reports: " + ", ".join(f"{name} {value}" for name, value in counts.items() if value)))
    return Group(*parts)


@quality.command()
@click.argument("gateway")
@click.option("--json", "as_json", is_flag=True)
@click.option(
    "--html", "page_file", type=click.Path(path_type=Path), default=None, help="A page with charts."
)
@click.option(
    "--within", type=float, default=5.0, show_default=True, help="Seconds for the gateway to answer."
)
def report(gateway: str, as_json: bool, page_file: Path | None, within: float) -> None:
    """What GATEWAY (http://ADDRESS) knows of all gateways' reports. Exit code 1 where one is to blame."""
    told = _asked(gateway, within)
    if page_file is not None:
        page_file.write_text(render_page(told), "utf-8")
    if as_json:
        click.echo(json.dumps(told))
    else:
        Console(highlight=False, width=None if sys.stdout.isatty() else 140).print(_shown(told))
    sys.exit(1 if told["verdict"]["culprits"] else 0)


@quality.command()
@click.argument("gateway")
@click.option("--every", type=float, default=2.0, show_default=True)
@click.option("--times", type=int, default=0, help="Ends after so many looks; 0: with Ctrl-C.")
def watch(gateway: str, every: float, times: int) -> None:
    """The same, live in the terminal."""
    with Live(_shown(_asked(gateway, 5.0)), auto_refresh=False) as live:
        looks = 1
        while not times or looks < times:
            time.sleep(every)
            live.update(_shown(_asked(gateway, 5.0)), refresh=True)
            looks += 1
