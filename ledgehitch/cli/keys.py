"""`keys ...`: manages the certificates of gateways and operators, and the keys of the fleet."""

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
    """Certificates of gateways and operators, and the keys that authenticate gateways to one another."""
    ctx.obj = Keys(directory)


@keys.command("new-authority")
@click.argument("name")
@click.pass_obj
def new_authority(store: Keys, name: str) -> None:
    """Creates the certificate authority.

    Its key is needed only to sign and to revoke: store it on another machine."""
    store.new_authority(name, time.time())
    click.echo(f"{store.ca}\n{store.ca_key}")


@keys.command()
@click.argument("name")
@click.option("--role", type=click.Choice(ROLES), required=True, help="Role: look, operate or gateway.")
@click.option("--days", type=click.FloatRange(0, 3650), default=DAYS, show_default=True)
@click.pass_obj
def issue(store: Keys, name: str, role: Role, days: float) -> None:
    """Issues a certificate for NAME.

    An older certificate of that name stays valid until it expires or is revoked."""
    if not store.ca_key.exists():
        raise BadInput(f"{store.ca_key}: no certificate authority found; run `keys new-authority` first")
    click.echo(store.issue(name, role, time.time(), days))


@keys.command("list")
@click.pass_obj
def list_command(store: Keys) -> None:
    """Lists all certificates with their names and remaining validity."""
    table, now, revoked = Table("file", "names", "for", "good for", box=None), time.time(), store.revoked()
    for path, certificate in store.certificates():
        days_left = (certificate.ends - now) / 86400
        validity = (
            "revoked"
            if certificate.serial in revoked
            else f"{days_left:.1f} days"
            if days_left > 0
            else "expired"
        )
        table.add_row(path.name, certificate.name, ", ".join(certificate.roles) or "signing", validity)
    Console(highlight=False, width=120).print(table)


@keys.command()
@click.argument("certificate", type=click.Path(path_type=Path))
@click.pass_obj
def revoke(store: Keys, certificate: Path) -> None:
    """Revokes a certificate: it is refused wherever this directory's revocation list is installed."""
    click.echo(f"revoked {store.revoke(certificate):x}")


@keys.command("fleet")
@click.argument("step", type=click.Choice(["add", "use", "drop"]))
@click.pass_obj
def fleet_command(store: Keys, step: str) -> None:
    """Rotates the fleet's key in three steps, with a rolling restart after each: add, use, drop."""
    if step == "add":
        click.echo(f"{store.ring}: {store.add_fleet_key()} keys")
    elif step == "use":
        store.sign_with_newer_key()
        click.echo(f"{store.ring}: the newer key signs")
    else:
        store.drop_older_key()
        click.echo(f"{store.ring}: one key")
