"""Run one pooler instance on the users' platform."""

from __future__ import annotations

import signal
import sys

import click
import gevent

from .. import __version__
from ..errors import DocumentError
from ..tasks.logs import start_bounded_logging
from ..tasks.pooler.instance import Pooler
from ..tasks.pooler.settings import load_pooler_settings
from .output import EXIT_FAILED, EXIT_MISUSE


@click.command()
@click.version_option(__version__, prog_name="berylhinge-pooler")
@click.option(
    "--settings",
    "path",
    required=True,
    type=click.Path(),
    help="JSON file with the instance's settings; see docs/operating/pooler.md.",
)
def main(path: str) -> None:
    """Serve callers' sessions through one instance until SIGTERM or SIGINT."""
    try:
        settings = load_pooler_settings(path)
    except DocumentError as error:
        for field in error.fields:
            click.echo(f"{path}: {field}", err=True)
        sys.exit(EXIT_MISUSE)
    log = start_bounded_logging(sys.stdout.fileno())
    pooler = Pooler(settings)
    for number in (signal.SIGTERM, signal.SIGINT):
        gevent.signal_handler(number, pooler.stopping.set)
    gevent.signal_handler(signal.SIGHUP, pooler.log.info, "Settings may have changed.")
    try:
        pooler.start()
    except OSError as error:
        click.echo(f"cannot listen: {error}; free the address", err=True)
        sys.exit(EXIT_FAILED)
    pooler.stopping.wait()
    pooler.shut_down()
    log.flush()


if __name__ == "__main__":
    main()
