"""`keys ...`: certificates of gateways and operators, and the fleet's own keys."""

import time
from pathlib import Path

import click
from rich.console import Console
from rich.table import Table

from ledgehitch.config import BadInput
from ledgehitch.keys.judge import ROLES, Role
from ledgehitch.keys.store import DAYS, Keys


@click.group()
@click.option("--dir", "directory", type=click.Path(path_type=Path), default=Path("keys"), show_default=True)
@click.pass_context
def keys(ctx: click.Context, directory: Path) -> None:
    """Certificates of gateways and operators, and the keys by which gateways know one another."""
    ctx.obj = Keys(directory)


@keys.command("new-authority")
@click.argument("name")
@click.pass_obj
def new_authority(store: Keys, name: str) -> None:
    """Make the authority that signs. Its key is needed to sign and to revoke alone: keep it elsewhere."""
    store.new_authority(name, time.time())
    click.echo(f"{store.ca}\n{store.ca_key}")


@keys.command()
@click.argument("name")
@click.option("--role", type=click.Choice(ROLES), required=True, help="look, operate, or gateway.")
@click.option("--days", type=click.FloatRange(0, 3650), default=DAYS, show_default=True)
@click.pass_obj
def issue(store: Keys, name: str, role: Role, days: float) -> None:
    """Make a certificate for NAME; an older one of that name stays good until its end or until it is
    revoked."""
    if not store.ca_key.exists():
        raise BadInput(f"{store.ca_key}: no authority there: `keys new-authority` first")
    click.echo(store.issue(name, role, time.time(), days))


@keys.command("list")
@click.pass_obj
def list_command(store: Keys) -> None:
    """All certificates, whom they name, and how long they are still good."""
    table, now, revoked = Table("file", "names", "for", "good for", box=None), time.time(), store.revoked()
    for path, one in store.certificates():
        left = (one.ends - now) / 86400
        word = "revoked" if one.serial in revoked else f"{left:.1f} days" if left > 0 else "expired"
        table.add_row(path.name, one.name, ", ".join(one.roles) or "signing", word)
    Console(highlight=False, width=120).print(table)


@keys.command()
@click.argument("certificate", type=click.Path(path_type=Path))
@click.pass_obj
def revoke(store: Keys, certificate: Path) -> None:
    """Have a certificate refused from now on, wherever this directory's list of revoked ones is."""
    click.echo(f"revoked {store.revoke(certificate):x}")


@keys.command("fleet")
@click.argument("step", type=click.Choice(["add", "use", "drop"]))
@click.pass_obj
def fleet_command(store: Keys, step: str) -> None:
    """Change the fleet's key in three steps, with a rolling restart after each: add, use, drop."""
    if step == "add":
        click.echo(f"{store.ring}: {store.add_fleet_key()} keys")
    elif step == "use":
        store.sign_with_newer_key()
        click.echo(f"{store.ring}: the newer key signs")
    else:
        store.drop_older_key()
        click.echo(f"{store.ring}: one key")
