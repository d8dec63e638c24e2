"""`config ...`: checks, formats, compares, shows and explains files in the configuration language."""

import json
import sys
import urllib.error
import urllib.request
from pathlib import Path

import click
import msgspec
from rich.console import Console
from rich.table import Table

from ledgehitch.config import BadInput
from ledgehitch.config.change import changes
from ledgehitch.config.explain import find_vertex, origins, reference
from ledgehitch.config.layout import format_text
from ledgehitch.config.load import Loaded, canonical, load
from ledgehitch.config.syntax import Malformed

PATH = click.Path(path_type=Path)


@click.group()
def config() -> None:
    """Sites in the configuration language.

    Exit codes: 0 success, 1 mistakes or differences found, 2 input could not be read."""


def _load_valid(path: Path) -> Loaded:
    """Returns the loaded file; prints its mistakes and exits with code 1 if it has any."""
    if not path.is_file():
        raise BadInput(f"{path}: no such file")
    loaded = load(path)
    if loaded.mistakes:
        _print_mistakes(loaded)
        sys.exit(1)
    return loaded


def _print_mistakes(loaded: Loaded) -> None:
    """Prints each mistake to standard error, with the source line and a caret under the column."""
    for mistake in loaded.mistakes:
        click.echo(mistake.describe(), err=True)
        line = loaded.line(mistake.at)
        if line.strip():
            text = line.expandtabs(4)
            column = len(line[: mistake.at.column - 1].expandtabs(4))
            click.echo(f"    {text[:160]}\n    {' ' * column}^", err=True)


@config.command("check")
@click.argument("file", type=PATH)
@click.option("--json", "as_json", is_flag=True)
def check_command(file: Path, as_json: bool) -> None:
    """Lists every mistake with its file, line and column, and a hint on how to correct it."""
    if not file.is_file():
        raise BadInput(f"{file}: no such file")
    loaded = load(file)
    if as_json:
        mistakes = [
            {
                "file": mistake.at.file,
                "line": mistake.at.line,
                "column": mistake.at.column,
                "reason": mistake.reason,
                "hint": mistake.hint,
            }
            for mistake in loaded.mistakes
        ]
        click.echo(json.dumps({"good": not mistakes, "mistakes": mistakes}))
    elif loaded.mistakes:
        _print_mistakes(loaded)
        click.echo(f"{len(loaded.mistakes)} mistakes", err=True)
    else:
        click.echo(f"good: {len(loaded.texts)} files, digest {loaded.digest()[:16]}")
    sys.exit(1 if loaded.mistakes else 0)


@config.command()
@click.argument("files", type=PATH, nargs=-1, required=True)
@click.option(
    "--check", "only_check", is_flag=True, help="Write nothing; exit with code 1 if a file would change."
)
def fmt(files: tuple[Path, ...], only_check: bool) -> None:
    """Formats files in the standard layout, without changing their meaning."""
    changed = False
    for path in files:
        try:
            text = path.read_text("utf-8")
            formatted = format_text(text, path.name)
        except (OSError, UnicodeDecodeError) as error:
            raise BadInput(f"{path}: cannot be read: {error}") from None
        except Malformed as error:
            raise BadInput(error.mistake.describe()) from None
        if formatted != text:
            changed = True
            if only_check:
                click.echo(f"{path} would change")
            else:
                temporary = path.with_name(path.name + ".new")
                temporary.write_text(formatted, "utf-8")
                temporary.replace(path)
    sys.exit(1 if only_check and changed else 0)


@config.command()
@click.argument("before", type=PATH)
@click.argument("after", type=PATH)
@click.option("--json", "as_json", is_flag=True)
def diff(before: Path, after: Path, as_json: bool) -> None:
    """Shows what changes in meaning from BEFORE to AFTER, when it takes effect and what it may break."""
    found_changes = changes(_load_valid(before).data, _load_valid(after).data)
    if as_json:
        rows = [
            {
                "path": change.path,
                "before": change.before,
                "after": change.after,
                "effect": change.effect,
                "risk": change.risk,
            }
            for change in found_changes
        ]
        click.echo(json.dumps(rows))
    elif not found_changes:
        click.echo("the same in meaning")
    else:
        table = Table("path", "before", "after", "takes effect", "may break", box=None)
        for change in found_changes:
            table.add_row(
                change.path,
                _json_or_dash(change.before),
                _json_or_dash(change.after),
                change.effect,
                change.risk,
            )
        Console(highlight=False, width=None if sys.stdout.isatty() else 200).print(table)
    sys.exit(1 if found_changes else 0)


def _json_or_dash(value: object) -> str:
    return "-" if value is None else json.dumps(value)


@config.command()
@click.argument("file", type=PATH)
def show(file: Path) -> None:
    """Prints the evaluated file as canonical JSON, and its digest on standard error."""
    loaded = _load_valid(file)
    click.echo(canonical(loaded.data).decode())
    click.echo(f"blake3 {loaded.digest()}", err=True)


@config.command()
@click.argument("file", type=PATH)
@click.argument("path")
def explain(file: Path, path: str) -> None:
    """Shows each file, definition and default behind the value at PATH (such as racks.a.hosts.h1.weight)."""
    loaded = _load_valid(file)
    assert loaded.vertex is not None
    vertex = find_vertex(loaded.evaluation, loaded.vertex, path.split("."))
    if vertex is None:
        raise BadInput(f"{file}: the evaluated file has no value at {path}")
    exact = vertex.value.exact()
    click.echo(f"{path} = {exact}" if exact is not None else path)
    for at, what, through in origins(vertex):
        click.echo(f"  {at}: {what}" + (f"  (through {through})" if through else ""))


@config.command("compile", hidden=True)
@click.argument("file", type=PATH)
def compile_command(file: Path) -> None:
    """Prints a checked version as a gateway reads it: JSON with digest, data and site, or the mistakes."""
    from ledgehitch.gateway.site_reloader import compile_site  # the other commands do not need the gateway

    sys.stdout.buffer.write(msgspec.json.encode(compile_site(file)))


@config.command("reference")
def reference_command() -> None:
    """Prints the reference of all fields, generated from the schema."""
    click.echo(reference())


@config.command()
@click.argument("gateways", nargs=-1, required=True)
@click.option(
    "--within", type=float, default=2.0, show_default=True, help="Seconds to wait for each gateway's answer."
)
def status(gateways: tuple[str, ...], within: float) -> None:
    """Shows the version that each of GATEWAYS (http://ADDRESS) runs and the newest one that it received.

    Exit code 1 if a gateway lags behind or does not answer."""
    lagging = False
    table = Table("gateway", "runs", "told", "state", box=None)
    for at in gateways:
        try:
            with urllib.request.urlopen(f"{at}/state", timeout=within) as response:
                versions = json.load(response).get("config")
        except (OSError, urllib.error.URLError, ValueError) as error:
            versions, lagging = None, True
            table.add_row(at, "?", "?", f"does not answer: {error}")
            continue
        if not versions:
            table.add_row(at, "?", "?", "runs without versioned configuration")
            continue
        remarks = ["lags"] if versions["lags"] else []
        remarks += (
            [f"restart for {len(versions['waits_for_restart'])} changes"]
            if versions["waits_for_restart"]
            else []
        )
        remarks += [f"refused: {versions['last_refusal']}"] if versions["last_refusal"] else []
        lagging |= bool(versions["lags"])
        table.add_row(at, versions["runs"][:16], versions["told"][:16], "; ".join(remarks) or "up to date")
    Console(highlight=False, width=None if sys.stdout.isatty() else 200).print(table)
    sys.exit(1 if lagging else 0)
