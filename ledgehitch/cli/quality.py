"""`quality ...`: shows what players reported, and which rack, title, package or rung is to blame."""

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

MOST_GROUPS_SHOWN = 12  # groups of each kind in a table, worst first


@click.group()
def quality() -> None:
    """Quality of experience by rack and title, from the players' reports."""


def _fetch_report(gateway: str, within: float) -> Any:
    """Returns the quality report of a gateway; raises BadInput if it does not answer in time.

    `within` is the time-out in seconds.
    """
    try:
        with urllib.request.urlopen(f"{gateway}/quality/report", timeout=within) as response:
            return json.load(response)
    except (OSError, urllib.error.URLError, ValueError) as error:
        raise BadInput(f"{gateway} does not answer: {error}") from None


def _render(quality_report: Any) -> Group:
    """Returns the verdict and a table of each kind of group for the terminal."""
    verdict = quality_report["verdict"]
    blamed = {(c["kind"], c["name"]): c for c in verdict["culprits"]}
    parts: list[Any] = [Text(verdict["word"], style="bold red" if blamed else "bold")]
    parts += [Text(f"unclear: {line}") for line in verdict["unclear"]]
    for kind in ("rack", "title", "package", "rung"):
        table = Table(
            kind, "viewings", "bad", "stalled", "slow start", "drops", "start p50", "p95", "", box=None
        )
        groups = quality_report["groups"][kind]
        worst = sorted(
            groups, key=lambda group: (-groups[group]["bad"] / max(1, groups[group]["viewings"]), group)
        )
        for name in worst[:MOST_GROUPS_SHOWN]:
            group = groups[name]
            viewings = max(1, group["viewings"])
            starts = (
                "-" if group[at] is None else f"{group[at]:.0f} ms" for at in ("start_p50", "start_p95")
            )
            culprit = blamed.get((kind, name))
            blame = (
                f"to blame, +{100 * culprit['excess']:.0f}% (at least {100 * culprit['least']:.0f}%)"
                if culprit
                else ""
            )
            table.add_row(
                name,
                str(group["viewings"]),
                f"{100 * group['bad'] / viewings:.1f}%",
                f"{100 * group['stalled'] / viewings:.1f}%",
                f"{100 * group['slow'] / viewings:.1f}%",
                f"{100 * group['dropped'] / viewings:.1f}%",
                *starts,
                blame,
                style="red" if culprit else "",
            )
        parts.append(table)
    counts = quality_report["counts"]
    parts.append(Text("reports: " + ", ".join(f"{name} {value}" for name, value in counts.items() if value)))
    return Group(*parts)


@quality.command()
@click.argument("gateway")
@click.option("--json", "as_json", is_flag=True)
@click.option(
    "--html",
    "page_file",
    type=click.Path(path_type=Path),
    default=None,
    help="File to write an HTML page with charts to.",
)
@click.option(
    "--within", type=float, default=5.0, show_default=True, help="Seconds to wait for the gateway's answer."
)
def report(gateway: str, as_json: bool, page_file: Path | None, within: float) -> None:
    """Shows what GATEWAY (http://ADDRESS) knows of the players' reports to all gateways.

    Exit code 1 if a rack, title, package or rung is to blame."""
    quality_report = _fetch_report(gateway, within)
    if page_file is not None:
        page_file.write_text(render_page(quality_report), "utf-8")
    if as_json:
        click.echo(json.dumps(quality_report))
    else:
        Console(highlight=False, width=None if sys.stdout.isatty() else 140).print(_render(quality_report))
    sys.exit(1 if quality_report["verdict"]["culprits"] else 0)


@quality.command()
@click.argument("gateway")
@click.option("--every", type=float, default=2.0, show_default=True)
@click.option("--times", type=int, default=0, help="Number of updates before it ends; 0 runs until Ctrl-C.")
def watch(gateway: str, every: float, times: int) -> None:
    """Shows the report of GATEWAY live in the terminal."""
    with Live(_render(_fetch_report(gateway, 5.0)), auto_refresh=False) as live:
        updates = 1
        while not times or updates < times:
            time.sleep(every)
            live.update(_render(_fetch_report(gateway, 5.0)), refresh=True)
            updates += 1
