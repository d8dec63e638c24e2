"""The root command: sets up logging, prints the version, and turns invalid input into exit code 2."""

import importlib
import logging
from pathlib import Path
from typing import Any

import click
import structlog

import ledgehitch
from ledgehitch.config.read import BadInput
from ledgehitch.daemon.logfile import LogFile

# Command name -> (module, attribute). A module is imported only when its command is used:
# `config check` needs no statistics libraries, `up` needs no parser.
COMMANDS = {
    "up": ("run", "up"),
    "serve": ("run", "serve_command"),
    "reports": ("run", "reports_command"),
    "daemon": ("daemon", "daemon_command"),
    "why": ("daemon", "why_command"),
    "fleet": ("fleet", "fleet"),
    "keys": ("keys", "keys"),
    "standin": ("standins", "standin"),
    "rehearse": ("days", "rehearse_command"),
    "check-tape": ("days", "check_tape"),
    "replay": ("days", "replay"),
    "import-day": ("days", "import_day"),
    "config": ("config", "config"),
    "quality": ("quality", "quality"),
    "lab": ("lab", "lab"),
    "scale": ("scale", "scale"),
}


class Root(click.Group):
    """Command group that imports the modules of its commands on first use."""

    def list_commands(self, ctx: click.Context) -> list[str]:
        return sorted(COMMANDS)

    def get_command(self, ctx: click.Context, cmd_name: str) -> click.Command | None:
        if cmd_name not in COMMANDS:
            return None
        module, name = COMMANDS[cmd_name]
        command: click.Command = getattr(importlib.import_module(f"ledgehitch.cli.{module}"), name)
        return command

    def invoke(self, ctx: click.Context) -> Any:
        try:
            return super().invoke(ctx)
        except BadInput as error:
            click.echo(f"ledgehitch: {error}", err=True)
            ctx.exit(2)


@click.group(cls=Root, context_settings={"help_option_names": ["-h", "--help"]})
@click.version_option(ledgehitch.__version__, prog_name="ledgehitch")
@click.option("--log", "style", type=click.Choice(["json", "text"]), default="json", show_default=True)
@click.option(
    "--log-level",
    type=click.Choice(["debug", "info", "warning", "error"]),
    default="info",
    show_default=True,
)
@click.option(
    "--log-file",
    type=click.Path(path_type=Path),
    default=None,
    help="Log file; standard error by default. A daemon reopens it on SIGUSR2.",
)
@click.pass_context
def root(ctx: click.Context, style: str, log_level: str, log_file: Path | None) -> None:
    """A session front: admits viewers to media hosts and sets the rate at which they play."""
    ctx.obj = LogFile(log_file)
    renderer: Any = (
        structlog.processors.JSONRenderer() if style == "json" else structlog.dev.ConsoleRenderer()
    )
    structlog.configure(
        processors=[
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            structlog.processors.format_exc_info if style == "json" else lambda _, __, event: event,
            renderer,
        ],
        wrapper_class=structlog.make_filtering_bound_logger(logging.getLevelName(log_level.upper())),
        logger_factory=structlog.WriteLoggerFactory(file=ctx.obj),
        cache_logger_on_first_use=True,
    )


def main() -> None:
    """Runs the command line."""
    root(prog_name="ledgehitch")
