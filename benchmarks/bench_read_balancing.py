"""Compare ways to choose a database for a read when load reports are stale.

Prints a table of waits, late share, spread and traffic between failure domains, and
draws the load over time for the former and the present way to choose. Without
matplotlib the drawing is left out.
"""

from __future__ import annotations

from math import exp
from multiprocessing import Pool
from pathlib import Path
from random import Random
from statistics import fmean, quantiles
from typing import NamedTuple, TYPE_CHECKING

import click

from berylhinge.core.pooler.catalogue import Database
from berylhinge.core.pooler.database_load import BelievedLoad, DatabaseLoad
from berylhinge.core.pooler.load_balancing import (
    Candidate,
    order_databases,
    shares_of,
)
from berylhinge.types import DatabaseRole

from .read_balancing_model import (
    BUCKET_SECONDS,
    DATABASES,
    Outcome,
    run,
    Setting,
    SLOTS,
    WARM_UP_SECONDS,
)

if TYPE_CHECKING:
    from collections.abc import Callable

    Choice = Callable[[int, list[BelievedLoad | None], float, Random], int]

SEEDS = (11, 12, 13)
PLOT_SEED = 11
PROCESSES = 2
PLOT_PATH = Path(__file__).parent.parent / "docs" / "design" / "read-balancing.png"
UNKNOWN = DatabaseLoad(0, 0, SLOTS, 15_000, 0)
# What the former choice adds for another failure domain and for the primary.
FORMER_FAR_SECONDS, FORMER_PRIMARY_SECONDS = 0.015, 0.003
# Temperature of the choice by exponential weights, at age 0 and for each second.
SOFT_SECONDS, SOFT_GROWTH = 0.01, 5.0
REPLICA = DatabaseRole.REPLICA
MEMBERS = [
    Database(
        str(index), "s", "", "", SLOTS, REPLICA if index else DatabaseRole.PRIMARY,
        False, 0,
    )
    for index in range(DATABASES)
]  # fmt: skip

SETTINGS = [
    *(
        Setting(f"{load:.0%}, {delay} s", delay, load, is_shared=True, seconds=20.0)
        for delay in (0.05, 0.25, 0.75)
        for load in (0.6, 0.75, 0.9)
    ),
    Setting("75%, 0.75 s, answers too", 0.75, 0.75, seconds=20.0),
    Setting("90%, 0.75 s, answers too", 0.75, 0.9, seconds=20.0),
    Setting("one 8 x slower, 60%", 0.75, 0.6, 8.0, is_shared=True, seconds=20.0),
    Setting("one 8 x slower, 60%, answers too", 0.75, 0.6, 8.0, seconds=20.0),
    Setting(
        "primary with own 50%, 75%",
        0.75,
        0.75,
        own_share=0.5,
        is_shared=True,
        seconds=20.0,
    ),
    Setting("wave, 75%", 0.75, 0.75, wave=0.4, is_shared=True, seconds=20.0),
    Setting("wave, 75%, answers too", 0.75, 0.75, wave=0.4, seconds=20.0),
]


class Measures(NamedTuple):
    """Hold what one way to choose gave in one setting."""

    p50: float
    p99: float
    late: float
    spread: float
    far: float
    own_p99: float


def wait_of(believed: BelievedLoad | None, *, counts_own: bool) -> float:
    """Return the reported wait, with the own statements sent since if wanted."""
    load = believed.load if believed else UNKNOWN
    ahead = load.waiting + max(0, load.running - load.slots + 1)
    if believed and counts_own:
        ahead += believed.sent_since
    return ahead * load.run_seconds / load.slots


def former_cost(
    near: int, index: int, believed: BelievedLoad | None, *, counts_own: bool
) -> float:
    """Return what the former choice compares."""
    far = FORMER_FAR_SECONDS if index != near else 0.0
    primary = 0.0 if index else FORMER_PRIMARY_SECONDS
    return wait_of(believed, counts_own=counts_own) + far + primary


def least_loaded(*, counts_own: bool, sampled: int = DATABASES) -> Choice:
    """Choose the lowest cost of all, or of some databases drawn at random."""

    def choose(
        near: int, loads: list[BelievedLoad | None], now: float, rng: Random
    ) -> int:
        return min(
            sorted(rng.sample(range(DATABASES), sampled)),
            key=lambda index: former_cost(
                near, index, loads[index], counts_own=counts_own
            ),
        )

    return choose


def by_weight(*, counts_own: bool) -> Choice:
    """Choose by weights that fall exponentially with the cost, less with age."""

    def choose(
        near: int, loads: list[BelievedLoad | None], now: float, rng: Random
    ) -> int:
        costs = [
            former_cost(near, index, entry, counts_own=counts_own)
            for index, entry in enumerate(loads)
        ]
        age = max(now - entry.observed_at if entry else 1.0 for entry in loads)
        scale = SOFT_SECONDS * (1.0 + SOFT_GROWTH * age)
        low = min(costs)
        weights = [exp((low - cost) / scale) for cost in costs]
        return rng.choices(range(DATABASES), weights)[0]

    return choose


def candidates_of(
    near: int, loads: list[BelievedLoad | None], *, counts_own: bool
) -> list[Candidate]:
    """Return the databases as the pooler's choice sees them."""
    return [
        Candidate(
            MEMBERS[index],
            entry if counts_own or entry is None else entry._replace(sent_since=0),
            index == 0,
            index == near,
        )
        for index, entry in enumerate(loads)
    ]


def by_level(*, counts_own: bool) -> Choice:
    """Choose by the shares that fill all queues to one level, wherever they are."""

    def choose(
        near: int, loads: list[BelievedLoad | None], now: float, rng: Random
    ) -> int:
        shares = shares_of(candidates_of(near, loads, counts_own=counts_own), now)
        return rng.choices(range(DATABASES), shares)[0]

    return choose


def present(
    near: int, loads: list[BelievedLoad | None], now: float, rng: Random
) -> int:
    """Choose as the pooler does."""
    found = order_databases(candidates_of(near, loads, counts_own=True), now, rng)
    return int(found[0].id)


CHOICES: dict[str, Choice] = {
    "least (former)": least_loaded(counts_own=False),
    "least, own": least_loaded(counts_own=True),
    "two": least_loaded(counts_own=False, sampled=2),
    "two, own": least_loaded(counts_own=True, sampled=2),
    "weights, own": by_weight(counts_own=True),
    "level": by_level(counts_own=False),
    "level, own": by_level(counts_own=True),
    "level, own, near (taken)": present,
}


def measure(job: tuple[Setting, str]) -> Measures:
    """Run one setting with one choice for all seeds."""
    setting, name = job
    outcomes = [run(setting, CHOICES[name], seed) for seed in SEEDS]
    waits = [wait for outcome in outcomes for wait in outcome.waits]
    own_waits = [wait for outcome in outcomes for wait in outcome.own_waits]
    percentiles = quantiles(waits, n=100)
    sent = sum(sum(map(sum, outcome.buckets)) for outcome in outcomes)
    sent -= sum(outcome.own for outcome in outcomes)
    return Measures(
        percentiles[49],
        percentiles[98],
        sum(outcome.late for outcome in outcomes) / len(waits),
        fmean(spread_of(outcome) for outcome in outcomes),
        sum(outcome.far for outcome in outcomes) / sent,
        quantiles(own_waits, n=100)[98] if own_waits else 0.0,
    )


def spread_of(outcome: Outcome) -> float:
    """Return the statements sent to the busiest database over the mean, by bucket."""
    first = int(WARM_UP_SECONDS / BUCKET_SECONDS)
    return fmean(
        max(bucket) / fmean(bucket) for bucket in outcome.buckets[first:] if any(bucket)
    )


def draw_load() -> None:
    """Draw the statements sent to each database over time, former and present way."""
    try:
        import matplotlib
    except ImportError:
        click.echo("matplotlib is not installed; no drawing")
        return
    matplotlib.use("agg")
    from matplotlib import pyplot

    setting = Setting("", 0.75, 0.75, is_shared=True, seconds=15.0)
    figure, panels = pyplot.subplots(
        2, 1, figsize=(8, 5), sharex=True, sharey=True, layout="constrained"
    )
    names = ("least (former)", "level, own, near (taken)")
    for axes, name in zip(panels, names, strict=True):
        buckets = run(setting, CHOICES[name], PLOT_SEED).buckets
        times = [index * BUCKET_SECONDS for index in range(len(buckets))]
        for database in range(DATABASES):
            rates = [bucket[database] / BUCKET_SECONDS for bucket in buckets]
            axes.plot(times, rates, label=f"database {database + 1}")
        axes.axhline(200, color="grey", linestyle=":", label="capacity of one")
        axes.set_title(name)
        axes.set_ylabel("reads sent in a second")
    panels[0].legend(loc="upper right", fontsize="small")
    panels[1].set_xlabel("seconds")
    figure.savefig(PLOT_PATH, dpi=80)
    click.echo(f"drawn: docs/design/{PLOT_PATH.name}")


def print_tables(found: dict[tuple[str, str], Measures]) -> None:
    """Print what callers got, and how even and how far reads were sent."""
    settings = list(dict.fromkeys(setting for setting, _ in found))
    names = list(dict.fromkeys(name for _, name in found))
    tables = {
        "p50 / p99 in ms from sending to the answer, late; own: p99 wait of own work": (
            lambda one: (
                f"{one.p50 * 1e3:.0f} / {one.p99 * 1e3:.0f}, {one.late:.1%}"
                + (f"; own {one.own_p99 * 1e3:.0f}" if one.own_p99 else "")
            )
        ),
        "busiest database over the mean in 0.25 s, reads that left the domain": (
            lambda one: f"{one.spread:.2f}, {one.far:.0%}"
        ),
    }
    for title, cell in tables.items():
        click.echo(f"\n{title}:\n")
        click.echo(f"| setting | {' | '.join(names)} |")
        click.echo("|---" * (len(names) + 1) + "|")
        for setting in settings:
            cells = " | ".join(cell(found[setting, name]) for name in names)
            click.echo(f"| {setting} | {cells} |")


@click.command()
def main() -> None:
    """Print the tables and draw the load over time."""
    click.echo(f"seeds {SEEDS}")
    jobs = [(setting, name) for setting in SETTINGS for name in CHOICES]
    with Pool(PROCESSES) as pool:
        results = pool.map(measure, jobs, chunksize=1)
    print_tables(
        {
            (setting.name, name): result
            for (setting, name), result in zip(jobs, results, strict=True)
        }
    )
    draw_load()


if __name__ == "__main__":
    main()
