"""`standin ...`: the stand-ins as processes, for rehearsals and for trying out."""

import json
import signal
import sys
from collections.abc import Callable
from pathlib import Path

import click
import msgspec

from ledgehitch.config import Day, Fault, Site, read_day, read_site
from ledgehitch.config.day import check_day
from ledgehitch.http import Client, ConnectFailed, Interrupted
from ledgehitch.loop import Event, Loop, TimedOut, endpoint
from ledgehitch.proof.tape import Tape
from ledgehitch.standins.places import behaviour_of
from ledgehitch.standins.viewers import play
from ledgehitch.standins.world import World


@click.group()
def standin() -> None:
    """Stand-ins for media hosts, list service and viewers."""


def options(call: Callable[..., None]) -> Callable[..., None]:
    for option in (
        click.option("--site", "site_file", type=click.Path(path_type=Path), required=True),
        click.option("--day", "day_file", type=click.Path(path_type=Path), required=True),
        click.option("--seed", type=int, default=1, show_default=True),
        click.option("--tape", type=click.Path(path_type=Path), default=None),
    ):
        call = option(call)
    return call


@standin.command()
@options
@click.option("--control", default="127.0.0.1:0", show_default=True, help="Where faults are taken.")
def world(site_file: Path, day_file: Path, seed: int, tape: Path | None, control: str) -> None:
    """All media hosts of a site, its list service and the network between gateways, until SIGTERM."""
    sys.exit(run_world(read_site(site_file), read_day(day_file), seed, tape, control))


def run_world(site: Site, day: Day, seed: int, tape_path: Path | None, control: str) -> int:
    loop, tape, s = Loop(), Tape(tape_path), day.shape

    def main() -> int:
        over = Event(loop)
        restore = loop.on_signals([signal.SIGTERM, signal.SIGINT], over.set)
        fleet = World(
            loop,
            site,
            behaviour_of(s),
            tape,
            seed,
            s.fresh,
            s.link_kb,
            s.list_delay,
            s.peer_delay,
            s.peer_loss,
        )
        server = fleet.control(endpoint(control))
        print(json.dumps({"control": str(server.at), "list": str(fleet.lists.want_at)}), flush=True)
        over.wait()
        restore()
        return 0

    try:
        return int(loop.run(main))
    finally:
        tape.close()


@standin.command()
@options
@click.option("--out", type=click.Path(path_type=Path), default=None, help="What the viewers got, as JSON.")
def viewers(site_file: Path, day_file: Path, seed: int, tape: Path | None, out: Path | None) -> None:
    """The viewers of a day; ends when the day has."""
    site, day = read_site(site_file), read_day(day_file)
    print(json.dumps({"viewers": day.name}), flush=True)
    told = json.dumps(play(site, day, seed, tape))
    if out is not None:
        out.write_text(told)
    else:
        click.echo(told)


@standin.command()
@click.argument("control")
@click.argument("kind")
@click.option("--part", type=float, default=0.25, show_default=True)
@click.option("--len", "length", type=float, default=5.0, show_default=True)
@click.option("--size", type=float, default=None)
@click.option("--extra", type=float, default=None)
def fault(
    control: str, kind: str, part: float, length: float, size: float | None, extra: float | None
) -> None:
    """Starts a fault of KIND at a running `standin world` whose control address is CONTROL."""
    wanted = Fault(kind=kind, at=0.0, len=length, part=part, size=size, extra=extra)
    day = msgspec.convert(
        {"name": "now", "length": 1.0, "arrivals": {"rate": 1.0, "mix": [{"package": "p"}]}}, Day
    )
    check_day(msgspec.structs.replace(day, faults=[wanted]), "now")
    loop = Loop()

    def main() -> tuple[int, str]:
        try:
            with loop.deadline(5.0):
                said = Client(loop).request(control, "POST", "/fault", body=msgspec.json.encode(wanted))
        except (TimedOut, ConnectFailed, Interrupted) as problem:
            return 1, f"{control} does not answer: {problem}"
        return (0 if said.status == 200 else 2), said.body.decode()

    code, text = loop.run(main)
    click.echo(text, err=bool(code))
    sys.exit(code)
