"""`standin ...`: runs the stand-ins as processes, for rehearsals and manual tests."""

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
from ledgehitch.standins.places import habits_of
from ledgehitch.standins.viewers import play
from ledgehitch.standins.world import World


@click.group()
def standin() -> None:
    """Stand-ins for media hosts, the list service and viewers."""


def process_options(command: Callable[..., None]) -> Callable[..., None]:
    """Adds the options that the stand-in processes have in common."""
    for option in (
        click.option("--site", "site_file", type=click.Path(path_type=Path), required=True),
        click.option("--day", "day_file", type=click.Path(path_type=Path), required=True),
        click.option("--seed", type=int, default=1, show_default=True),
        click.option("--tape", type=click.Path(path_type=Path), default=None),
    ):
        command = option(command)
    return command


@standin.command()
@process_options
@click.option(
    "--control", default="127.0.0.1:0", show_default=True, help="Address at which faults are requested."
)
def world(site_file: Path, day_file: Path, seed: int, tape: Path | None, control: str) -> None:
    """Runs all media hosts of a site, its list service and the network between gateways, until SIGTERM."""
    sys.exit(run_world(read_site(site_file), read_day(day_file), seed, tape, control))


def run_world(site: Site, day: Day, seed: int, tape_path: Path | None, control: str) -> int:
    """Runs the stand-in world until SIGTERM or SIGINT, and returns the exit code.

    Its first line on standard output gives the addresses of `control` and of the list service.
    """
    loop, tape, shape = Loop(), Tape(tape_path), day.shape

    def main() -> int:
        stop_requested = Event(loop)
        restore_signals = loop.on_signals([signal.SIGTERM, signal.SIGINT], stop_requested.set)
        stand_in_world = World(
            loop,
            site,
            habits_of(shape),
            tape,
            seed,
            shape.fresh,
            shape.link_kb,
            shape.list_delay,
            shape.peer_delay,
            shape.peer_loss,
        )
        server = stand_in_world.control(endpoint(control))
        print(json.dumps({"control": str(server.at), "list": str(stand_in_world.lists.want_at)}), flush=True)
        stop_requested.wait()
        restore_signals()
        return 0

    try:
        return int(loop.run(main))
    finally:
        tape.close()


@standin.command()
@process_options
@click.option(
    "--out",
    type=click.Path(path_type=Path),
    default=None,
    help="File to write the viewers' results to, as JSON.",
)
def viewers(site_file: Path, day_file: Path, seed: int, tape: Path | None, out: Path | None) -> None:
    """Runs the viewers of a day until the day ends."""
    site, day = read_site(site_file), read_day(day_file)
    print(json.dumps({"viewers": day.name}), flush=True)
    results = json.dumps(play(site, day, seed, tape))
    if out is not None:
        out.write_text(results)
    else:
        click.echo(results)


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
    """Starts a fault of KIND in the running `standin world` whose control address is CONTROL."""
    requested = Fault(kind=kind, at=0.0, len=length, part=part, size=size, extra=extra)
    day = msgspec.convert(
        {"name": "now", "length": 1.0, "arrivals": {"rate": 1.0, "mix": [{"package": "p"}]}}, Day
    )
    check_day(msgspec.structs.replace(day, faults=[requested]), "now")
    loop = Loop()

    def main() -> tuple[int, str]:
        try:
            with loop.deadline(5.0):
                response = Client(loop).request(
                    control, "POST", "/fault", body=msgspec.json.encode(requested)
                )
        except (TimedOut, ConnectFailed, Interrupted) as error:
            return 1, f"{control} does not answer: {error}"
        return (0 if response.status == 200 else 2), response.body.decode()

    code, text = loop.run(main)
    click.echo(text, err=bool(code))
    sys.exit(code)
