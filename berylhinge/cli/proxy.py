"""Run one instance of the proxy."""

from __future__ import annotations

import signal
import sys
import time

import click
import gevent

from .. import __version__
from ..errors import DocumentError
from ..settings import load_settings
from ..tasks.logs import start_logging
from ..tasks.proxy import Proxy
from .output import EXIT_FAILED, EXIT_MISUSE

INCARNATIONS_PER_SECOND = 1_000


def new_incarnation() -> int:
    """Return a number that grows with every start (milliseconds of the epoch)."""
    return time.time_ns() // (1_000_000_000 // INCARNATIONS_PER_SECOND)


@click.command()
@click.version_option(__version__, prog_name="berylhinge-proxy")
@click.option(
    "--settings",
    "path",
    required=True,
    type=click.Path(),
    help="JSON file with the instance's settings; see docs/operating/settings.md.",
)
def main(path: str) -> None:
    """Serve callers' statements through one instance until SIGTERM or SIGINT."""
    try:
        settings = load_settings(path)
    except DocumentError as error:
        for field in error.fields:
            click.echo(f"{path}: {field}", err=True)
        sys.exit(EXIT_MISUSE)
    start_logging()
    try:
        proxy = Proxy(settings, incarnation=new_incarnation())
    except DocumentError as error:
        for field in error.fields:
            click.echo(f"{path}: {field}", err=True)
        sys.exit(EXIT_MISUSE)
    except OSError as error:
        click.echo(f"{path}: cannot listen: {error}; free the address", err=True)
        sys.exit(EXIT_FAILED)
    for number in (signal.SIGTERM, signal.SIGINT):
        gevent.signal_handler(number, proxy.stop_requested.set)
    proxy.start()
    proxy.stop_requested.wait()
    proxy.shut_down()


if __name__ == "__main__":
    main()
