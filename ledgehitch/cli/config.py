"""`config ...`: check, format, compare, show and explain files of the language."""

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
from ledgehitch.config.explain import found, origins, reference
from ledgehitch.config.layout import format_text
from ledgehitch.config.load import Loaded, canonical, load
from ledgehitch.config.syntax import Malformed

PATH = click.Path(path_type=Path)


@click.group()
def config() -> None:
    """Sites in the configuration language. Exit codes: 0 fine, 1 mistakes or differences, 2 not read."""


def _good(path: Path) -> Loaded:
    if not path.is_file():
        raise BadInput(f"{path}: no such file")
    loaded = load(path)
    if loaded.mistakes:
        _tell(loaded)
        sys.exit(1)
    return loaded


def _tell(loaded: Loaded) -> None:
    for m in loaded.mistakes:
        click.echo(m.describe(), err=True)
        line = loaded.line(m.at)
        if line.strip():
            text = line.expandtabs(4)
            column = len(line[: m.at.column - 1].expandtabs(4))
            click.echo(f"    {text[:160]}\n    {' ' * column}^", err=True)


@config.command("check")
@click.argument("file", type=PATH)
@click.option("--json", "as_json", is_flag=True)
def check_command(file: Path, as_json: bool) -> None:
    """Names every mistake with file, line, column, and what would be right."""
    if not file.is_file():
        raise BadInput(f"{file}: no such file")
    loaded = load(file)
    if as_json:
        told = [
            {"file": m.at.file, "line": m.at.line, "column": m.at.column, "reason": m.reason, "hint": m.hint}
            for m in loaded.mistakes
        ]
        click.echo(json.dumps({"good": not told, "mistakes": told}))
    elif loaded.mistakes:
        _tell(loaded)
        click.echo(f"{len(loaded.mistakes)} mistakes", err=True)
    else:
        click.echo(f"good: {len(loaded.texts)} files, digest {loaded.digest()[:16]}")
    sys.exit(1 if loaded.mistakes else 0)


@config.command()
@click.argument("files", type=PATH, nargs=-1, required=True)
@click.option(
    "--check", "only_check", is_flag=True, help="Changes nothing; exit code 1 where something would."
)
def fmt(files: tuple[Path, ...], only_check: bool) -> None:
    """Lays files out in the one way; the meaning never changes."""
    changed = False
    for path in files:
        try:
            text = path.read_text("utf-8")
            new = format_text(text, path.name)
        except (OSError, UnicodeDecodeError) as problem:
            raise BadInput(f"{path}: cannot be read: {problem}") from None
        except Malformed as wrong:
            raise BadInput(wrong.mistake.describe()) from None
        if new != text:
            changed = True
            if only_check:
                click.echo(f"{path} would change")
            else:
                partly = path.with_name(path.name + ".new")
                partly.write_text(new, "utf-8")
                partly.replace(path)
    sys.exit(1 if only_check and changed else 0)


@config.command()
@click.argument("before", type=PATH)
@click.argument("after", type=PATH)
@click.option("--json", "as_json", is_flag=True)
def diff(before: Path, after: Path, as_json: bool) -> None:
    """What changes in meaning from BEFORE to AFTER, when it takes effect and what it may break."""
    made = changes(_good(before).data, _good(after).data)
    if as_json:
        told = [
            {"path": c.path, "before": c.before, "after": c.after, "effect": c.effect, "risk": c.risk}
            for c in made
        ]
        click.echo(json.dumps(told))
    elif not made:
        click.echo("the same in meaning")
    else:
        table = Table("path", "before", "after", "takes effect", "may break", box=None)
        for c in made:
            table.add_row(c.path, _or_none(c.before), _or_none(c.after), c.effect, c.risk)
        Console(highlight=False, width=None if sys.stdout.isatty() else 200).print(table)
    sys.exit(1 if made else 0)


def _or_none(value: object) -> str:
    return "-" if value is None else json.dumps(value)


@config.command()
@click.argument("file", type=PATH)
def show(file: Path) -> None:
    """The result as canonical JSON, its digest on standard error."""
    loaded = _good(file)
    click.echo(canonical(loaded.data).decode())
    click.echo(f"blake3 {loaded.digest()}", err=True)


@config.command()
@click.argument("file", type=PATH)
@click.argument("path")
def explain(file: Path, path: str) -> None:
    """Where the value at PATH (as racks.a.hosts.h1.weight) comes from: every file, definition and default."""
    loaded = _good(file)
    assert loaded.vertex is not None
    vertex = found(loaded.evaluation, loaded.vertex, path.split("."))
    if vertex is None:
        raise BadInput(f"{file}: the result has nothing at {path}")
    exact = vertex.value.exact()
    click.echo(f"{path} = {exact}" if exact is not None else path)
    for at, what, through in origins(vertex):
        click.echo(f"  {at}: {what}" + (f"  (through {through})" if through else ""))


@config.command("compile", hidden=True)
@click.argument("file", type=PATH)
def compile_command(file: Path) -> None:
    """A checked version as a gateway takes it: JSON with digest, data, site, or the mistakes."""
    from ledgehitch.gateway.versions import compile_site  # the other commands need no gateway

    sys.stdout.buffer.write(msgspec.json.encode(compile_site(file)))


@config.command("reference")
def reference_command() -> None:
    """The reference of all fields, made from the schema."""
    click.echo(reference())


@config.command()
@click.argument("gateways", nargs=-1, required=True)
@click.option("--within", type=float, default=2.0, show_default=True, help="Seconds for each to answer.")
def status(gateways: tuple[str, ...], within: float) -> None:
    """What each of GATEWAYS (http://ADDRESS) runs and was told; names those that lag (exit code 1)."""
    lag = False
    table = Table("gateway", "runs", "told", "state", box=None)
    for at in gateways:
        try:
            with urllib.request.urlopen(f"{at}/state", timeout=within) as answer:
                told = json.load(answer).get("config")
        except (OSError, urllib.error.URLError, ValueError) as problem:
            told, lag = None, True
            table.add_row(at, "?", "?", f"does not answer: {problem}")
            continue
        if not told:
            table.add_row(at, "?", "?", "runs without a configuration of versions")
            continue
        words = ["lags"] if told["lags"] else []
        words += (
            [f"restart for {len(told['waits_for_restart'])} changes"] if told["waits_for_restart"] else []
        )
        words += [f"refused: {told['last_refusal']}"] if told["last_refusal"] else []
        lag |= bool(told["lags"])
        table.add_row(at, told["runs"][:16], told["told"][:16], "; ".join(words) or "up to date")
    Console(highlight=False, width=None if sys.stdout.isatty() else 200).print(table)
    sys.exit(1 if lag else 0)
