"""Run a stand-in of the platform or of one database as a process."""

from __future__ import annotations

import signal
import sys
from typing import Any, TYPE_CHECKING

import click
import gevent
import msgspec
from gevent.event import Event

from .. import __version__
from ..standins.database import DatabaseSettings, start_database
from ..standins.platform import PlatformSettings, start_platform
from ..standins.statements import Costs
from ..tasks.http_server import Address
from .output import EXIT_FAILED
from .params import ADDRESS

if TYPE_CHECKING:
    from collections.abc import Callable

    from ..standins.database import Database
    from ..standins.platform import Platform

DATABASE = DatabaseSettings("")
PLATFORM = PlatformSettings()


SECONDS = click.FloatRange(min=0.0)
RATE = click.FloatRange(min=1.0)


def option(name: str, kind: Any, default: Any, text: str) -> Callable[..., Any]:
    """Declare an option that shows its default."""
    return click.option(name, type=kind, default=default, show_default=True, help=text)


@click.group()
@click.version_option(__version__, prog_name="berylhinge-standin")
def main() -> None:
    """Run a stand-in for tests and trials; it keeps everything in memory.

    Prints one JSON line with its addresses when ready, and runs until SIGTERM
    or Ctrl-C. Exit codes: 0 ended, 1 failed, 2 misuse.
    """


@main.command()
@option("--address", ADDRESS, "127.0.0.1:0", "Service listener.")
@option("--faults", ADDRESS, "127.0.0.1:0", "Fault listener.")
@option("--reads", RATE, PLATFORM.reads_per_second, "Read and watch calls a second.")
@option("--writes", RATE, PLATFORM.writes_per_second, "Write calls a second.")
@option("--list-lag", SECONDS, PLATFORM.list_lag_seconds, "Lag of the list (seconds).")
@option(
    "--announcement",
    SECONDS,
    PLATFORM.announcement_seconds,
    "How long an announced instance stays listed (seconds).",
)
def platform(
    address: Address,
    faults: Address,
    reads: float,
    writes: float,
    list_lag: float,
    announcement: float,
) -> None:
    """Run the key-value service and the list of instances."""
    serve_until_signal(
        lambda: start_platform(
            address=address,
            faults=faults,
            reads_per_second=reads,
            writes_per_second=writes,
            list_lag_seconds=list_lag,
            announcement_seconds=announcement,
        )
    )


@main.command()
@click.option("--name", required=True, help="The upstream's name.")
@option("--place", str, "", "The upstream's place.")
@option("--data", ADDRESS, "127.0.0.1:0", "Data listener.")
@option("--control", ADDRESS, "127.0.0.1:0", "Control listener.")
@option("--faults", ADDRESS, "127.0.0.1:0", "Fault listener.")
@option("--slots", click.IntRange(min=1), DATABASE.slots, "Statements at a time.")
@option(
    "--connections", click.IntRange(min=1), DATABASE.connections, "Data connections."
)
@option("--connect-cost", SECONDS, 0.0, "Cost of a new connection (seconds).")
@option("--read-time", SECONDS, 0.0, "Service time of a read (seconds).")
@option("--write-time", SECONDS, 0.0, "Service time of a write (seconds).")
@option("--lag", SECONDS, 0.0, "Replication lag of this replica (seconds).")
def upstream(
    name: str,
    place: str,
    data: Address,
    control: Address,
    faults: Address,
    slots: int,
    connections: int,
    connect_cost: float,
    read_time: float,
    write_time: float,
    lag: float,
) -> None:
    """Run one database; a promoter makes it lead a group."""
    costs = Costs(
        connect_seconds=connect_cost, read_seconds=read_time, write_seconds=write_time
    )
    serve_until_signal(
        lambda: start_database(
            name,
            place=place,
            data=data,
            control=control,
            faults=faults,
            slots=slots,
            connections=connections,
            costs=costs,
            lag_seconds=lag,
        )
    )


def serve_until_signal(start: Callable[[], Database | Platform]) -> None:
    """Start, print the addresses and serve until a signal ends it."""
    ended = Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        gevent.signal_handler(number, ended.set)
    try:
        standin = start()
    except OSError as error:
        click.echo(f"berylhinge-standin: cannot listen: {error}", err=True)
        sys.exit(EXIT_FAILED)
    click.echo(msgspec.json.encode(standin.addresses()).decode())
    ended.wait()
    standin.stop()


if __name__ == "__main__":
    main()
