"""Measure what sharing capacity costs an instance, against the fleet's size.

Virtual time: bytes are the encoded messages sent, without transport; processor time
is that of the cores' steps and admissions.
"""

from __future__ import annotations

from random import Random
from time import process_time
from typing import NamedTuple

import click
from msgspec import msgpack

from berylhinge.core.buckets import RateLimit
from properties.fleet_world import World

SIZES = (7, 20, 50)
ORGANISATIONS = 8
REQUESTS_A_SECOND = 20.0
PHASE_SECONDS = 10.0
LETTER_SIZE = 2000


class Cost(NamedTuple):
    """Report one fleet size; bytes and time are for one instance and second."""

    size: int
    idle_bytes: float
    idle_cpu: float
    loaded_bytes: float
    requests: float
    epoch_bytes: float
    roster_bytes: int


def measure(size: int, *, burst: float) -> Cost:
    """Run a fleet idle, under load and through a death."""
    rng = Random(1)
    rate = size * REQUESTS_A_SECOND / ORGANISATIONS
    names = [f"o{index}" for index in range(ORGANISATIONS)]
    terms = {name: RateLimit(rate / 0.8, burst * rate) for name in names}
    world = World(rng, terms, size=size)
    sent = [0]

    def on_message(message: object) -> None:
        sent[0] += len(msgpack.encode(message))

    world.on_message = on_message
    world.run(10.0)
    sent[0], begun = 0, process_time()
    world.run(10.0 + PHASE_SECONDS)
    cpu = (process_time() - begun) / size / PHASE_SECONDS
    idle = sent[0] / size / PHASE_SECONDS
    drive(world, names, rate)
    world.run(30.0 + PHASE_SECONDS)
    sent[0] = 0
    world.run(30.0 + 2 * PHASE_SECONDS)
    loaded = sent[0] / size / PHASE_SECONDS
    sent[0] = 0
    world.kill("i1")
    world.run(30.0 + 3 * PHASE_SECONDS)
    epoch = max(0.0, sent[0] / size - loaded * PHASE_SECONDS)
    roster = len(msgpack.encode(world.roster))
    return Cost(size, idle, cpu, loaded, REQUESTS_A_SECOND, epoch, roster)


def drive(world: World, names: list[str], rate: float) -> None:
    """Offer Poisson arrivals of every organisation, spread over who runs."""

    def arrive(name: str) -> None:
        live = [node for node, held in world.nodes.items() if held.alive]
        world.request(world.rng.choice(live), name)
        world.at(world.rng.expovariate(rate), lambda: arrive(name))

    for name in names:
        world.at(world.rng.expovariate(rate), lambda name=name: arrive(name))


@click.command()
def main() -> None:
    """Print one line a figure, then a table and the line through the roster's size."""
    rows = []
    for burst in (10.0, 1.0):
        for size in SIZES:
            found = measure(size, burst=burst)
            key = f"capacity_{size}_burst_{burst:.0f}_s"
            click.echo(f"{key}_idle {found.idle_bytes:.1f} bytes/s")
            click.echo(f"{key}_loaded {found.loaded_bytes:.1f} bytes/s")
            rows.append((burst, found))
    click.echo(
        "\n| burst s | instances | idle B/s | idle core % | loaded B/s "
        "| bytes a death | roster bytes |"
    )
    click.echo("|---" * 7 + "|")
    for burst, found in rows:
        click.echo(
            f"| {burst} | {found.size} | {found.idle_bytes:.0f} "
            f"| {100 * found.idle_cpu:.3f} | {found.loaded_bytes:.0f} "
            f"| {found.epoch_bytes:.0f} | {found.roster_bytes} |"
        )
    first, last = rows[0][1], rows[len(SIZES) - 1][1]
    slope = (last.roster_bytes - first.roster_bytes) / (last.size - first.size)
    total = first.roster_bytes + slope * (LETTER_SIZE - first.size)
    click.echo(f"\nroster_slope {slope:.1f} bytes/instance")
    click.echo(f"roster_at_{LETTER_SIZE} {total:.0f} bytes")


if __name__ == "__main__":
    main()
