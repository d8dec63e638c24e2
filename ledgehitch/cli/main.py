"""The root command: logging, versions, and errors that people made turned into exit code 2."""

import logging
import sys
from typing import Any

import click
import structlog

import ledgehitch
from ledgehitch.cli import config, days, quality, run, standins
from ledgehitch.config import BadInput
from ledgehitch.gateway.record import BadRecord
from ledgehitch.rehearsal.play import DidNotStart


class Root(click.Group):
    def invoke(self, ctx: click.Context) -> Any:
        try:
            return super().invoke(ctx)
        except (BadInput, BadRecord, DidNotStart) as wrong:
            click.echo(f"ledgehitch: {wrong}", err=True)
            ctx.exit(2)


@click.group(cls=Root, context_settings={"help_option_names": ["-h", "--help"]})
@click.version_option(ledgehitch.__version__, prog_name="ledgehitch")
@click.option("--log", "style", type=click.Choice(["json", "text"]), default="json", show_default=True)
@click.option("--log-level", type=click.Choice(["debug", "info", "warning", "error"]), default="info",
              show_default=True)  # fmt: skip
def root(style: str, log_level: str) -> None:
    """A session front: admits viewers to media hosts and sets the rate at which they play."""
    last: Any = structlog.processors.JSONRenderer() if style == "json" else structlog.dev.ConsoleRenderer()
    structlog.configure(
        processors=[
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            structlog.processors.format_exc_info if style == "json" else lambda _, __, event: event,
            last,
        ],
        wrapper_class=structlog.make_filtering_bound_logger(logging.getLevelName(log_level.upper())),
        logger_factory=structlog.WriteLoggerFactory(file=sys.stderr),
        cache_logger_on_first_use=True,
    )


for command in (
    run.up,
    run.serve_command,
    standins.standin,
    days.rehearse_command,
    days.check_tape,
    days.replay,
    days.import_day,
    config.config,
    quality.quality,
):
    root.add_command(command)


def main() -> None:
    root(prog_name="ledgehitch")
