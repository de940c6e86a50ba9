"""Run every shipped scenario and print the measures as one table.

Baselines are replayed over the same run's arrivals by ``load/baselines.py``;
they are models, as the proxy offers no switch for them.
"""

from __future__ import annotations

import os
import sys
from pathlib import Path
from typing import NamedTuple, TYPE_CHECKING

import click
import msgspec

from berylhinge.errors import BerylhingeError
from berylhinge.load.baselines import (
    fared,
    first_come,
    lease_gap_seconds,
    noisy_organisations,
    static_shares,
)
from berylhinge.load.results import allowances_of
from berylhinge.load.scenario import with_seconds

from .probes import load_scenario
from .runs import run_scenario

if TYPE_CHECKING:
    from berylhinge.load.experiment import Run
    from berylhinge.load.scenario import Scenario

SETTLE_SECONDS = 10.0
USERS = ("kattevakt", "agency")
FAULTS = (
    "calm",
    "primary-cut-off",
    "noisy-organisation",
    "store-down",
    "rolling-replacement",
)
HEAD = (
    "user, fault",
    "replica share",
    "primary-only*",
    "write gap ms",
    "store-lease* ms",
    "worst organisation",
    "static shares*",
    "first-come*",
    "wrongful / due",
    "static shares*",
    "for the rate",
    "broken",
)


class Row(NamedTuple):
    """Hold one scenario's measures beside the baselines'."""

    name: str
    replica_share: float
    gap_ms: float | None
    lease_gap_ms: float | None
    worst: float
    worst_static: float
    worst_first_come: float
    wrongful: int
    due: int
    wrongful_static: int
    wrongful_rate: int
    broken: int


def row_of(scenario: Scenario, run: Run) -> Row:
    """Measure one run and replay its arrivals through the baselines."""
    result = run.result
    allowances = allowances_of(scenario)
    noisy = noisy_organisations(scenario)
    warm = scenario["warmup_seconds"]
    counted = [one for one in run.operations if one.intended >= warm]
    instances = scenario["fleet"]["instances"]
    static = fared(static_shares(counted, allowances, instances), allowances, noisy)
    queued = fared(first_come(counted, scenario, limited=False), allowances, noisy)
    gap = result["failover_gap_ms"]
    lease = 1e3 * lease_gap_seconds(seed=scenario["seed"]) if gap is not None else None
    return Row(
        scenario["name"],
        result["replica_read_share"],
        gap,
        lease,
        result["worst_success_share"],
        static.worst_success_share,
        queued.worst_success_share,
        result["wrongful_refusals"],
        result["due"],
        static.wrongful,
        result["wrongful_rate_refusals"],
        sum(result["broken_promises"].values()),
    )


def cells(row: Row) -> tuple[str, ...]:
    """Format one row."""
    return (
        row.name,
        f"{row.replica_share:.4f}",
        "0",
        "-" if row.gap_ms is None else f"{row.gap_ms:.0f}",
        "-" if row.lease_gap_ms is None else f"{row.lease_gap_ms:.0f}",
        f"{row.worst:.5f}",
        f"{row.worst_static:.5f}",
        f"{row.worst_first_come:.5f}",
        f"{row.wrongful} / {row.due}",
        str(row.wrongful_static),
        str(row.wrongful_rate),
        str(row.broken),
    )


def print_row(values: tuple[str, ...]) -> None:
    """Print one line of the table."""
    click.echo("| " + " | ".join(values) + " |")


@click.command()
@click.option("--seconds", type=click.FloatRange(min=5), help="Length of each run.")
@click.option(
    "--settle",
    type=click.FloatRange(min=0),
    default=SETTLE_SECONDS,
    show_default=True,
    help="Seconds between the fleet's readiness and the run.",
)
@click.option("--only", default="", help="Run the scenarios whose name holds this.")
@click.option("--out", type=click.Path(path_type=Path), help="Folder for the results.")
def main(seconds: float | None, settle: float, only: str, out: Path | None) -> None:
    """Run the scenarios and print the table; exit 1 on a broken promise or a failed run."""
    print_row(HEAD)
    print_row(("---",) * len(HEAD))
    broken = failed = 0
    for name in (f"{user}-{fault}" for user in USERS for fault in FAULTS):
        if only not in name:
            continue
        scenario = load_scenario(name)
        if seconds is not None:
            scenario = with_seconds(scenario, seconds)
        try:
            run = run_scenario(scenario, settle_seconds=settle)
        except BerylhingeError as error:
            failed += 1
            print_row((name, f"not ended: {error}"))
            continue
        row = row_of(scenario, run)
        broken += row.broken
        print_row(cells(row))
        click.echo(f"{name}: {run.result['refusals']}", err=True)
        if out is not None:
            out.mkdir(parents=True, exist_ok=True)
            path = out / f"{name}.json"
            path.write_bytes(msgspec.json.encode(run.result))
    click.echo(f"runs begin {settle:g} s after the fleet's readiness")
    click.echo("* replayed over the same run's arrivals by a model")
    click.echo(f"machine load {os.getloadavg()[0]:.1f} of {os.cpu_count()} cores")
    sys.exit(1 if broken or failed else 0)


if __name__ == "__main__":
    main()
