"""Measure the processor time of one decision about capacity."""

from __future__ import annotations

from random import Random
from time import perf_counter_ns, process_time
from typing import TYPE_CHECKING

import click

from berylhinge.core import fair_queue, rate_capacity, rendezvous
from berylhinge.core.buckets import Bucket, RateLimit, TOTAL_UNITS
from berylhinge.core.connections import (
    ExchangeOutcome,
    lease_connection,
    mark_opened,
    new_pool,
    PoolLimits,
    return_connection,
)
from berylhinge.core.fair_queue import AdmissionState, SlotRequest
from berylhinge.core.permits import RosterRead, Tick
from berylhinge.core.roster import build_next_roster, Member, Roster
from berylhinge.types import AccessMode

if TYPE_CHECKING:
    from collections.abc import Callable

ROUNDS = 20_000


def report(name: str, action: Callable[[int], object], rounds: int = ROUNDS) -> None:
    """Print the mean of the middle of several runs, in microseconds."""
    runs = []
    for _ in range(5):
        begun = process_time()
        for index in range(rounds):
            action(index)
        runs.append((process_time() - begun) / rounds * 1e6)
    click.echo(f"{name} {sorted(runs)[2]:.2f} us")


def admitting(organisations: int) -> rate_capacity.CapacityState:
    """Return an instance that holds plenty of each organisation."""
    me = Member("i0", 1)
    state = rate_capacity.new_capacity(me)
    names = [f"o{index}" for index in range(organisations)]
    rate_capacity.apply_limits(
        state, {name: RateLimit(1e9, 1e9) for name in names}, 0.0
    )
    roster = build_next_roster(Roster(), [me, Member("i1", 1), Member("i2", 1)])
    assert roster is not None
    state, _ = rate_capacity.step(state, RosterRead(roster, 0.0), 0.0, Random(1))
    for name in names:
        bucket = Bucket(0.0)
        bucket.units, bucket.tokens = TOTAL_UNITS, 1e9
        state.rates.buckets[name] = bucket
    return state


def bench_admit() -> None:
    """Measure an admitted and a refused request, and a tick."""
    for organisations in (8, 400):
        state = admitting(organisations)
        names = list(state.rates.buckets)
        report(
            f"decision_admit_{organisations}_organisations",
            lambda index, state=state, names=names: rate_capacity.admit(
                state, names[index % len(names)], 1.0, 0.5 + index * 1e-6
            ),
        )
    state = admitting(8)
    for bucket in state.rates.buckets.values():
        bucket.units, bucket.tokens = 0, 0.0
        bucket.denied_until = bucket.next_request_at = 1e9
        bucket.waiting_count, bucket.last_wait_at = 1 << 30, 1e9
    report("decision_refuse", lambda index: rate_capacity.admit(state, "o1", 1.0, 0.5))
    for organisations in (8, 100, 400):
        state = admitting(organisations)
        rng = Random(1)
        report(
            f"decision_tick_{organisations}_organisations",
            lambda index, state=state, rng=rng: rate_capacity.step(
                state, Tick(), 0.5 + index * 0.1, rng
            ),
            200,
        )


def bench_queue() -> None:
    """Measure offer, take and finish on a deep queue, and offers to a full one."""
    for organisations in (8, 400):
        state = AdmissionState(slots=2, max_queued=1000)
        for index in range(900):
            name = f"o{index % organisations}"
            request = SlotRequest(f"r{index}", name, AccessMode.READ, 1e9)
            fair_queue.enqueue_request(state, request, 0.0)
        times = {"offer": 0, "take": 0, "finish": 0}
        for index in range(ROUNDS):
            name = f"o{index % organisations}"
            request = SlotRequest(f"n{index}", name, AccessMode.READ, 1e9)
            begun = perf_counter_ns()
            fair_queue.enqueue_request(state, request, 0.0)
            offered = perf_counter_ns()
            found = fair_queue.start_request(state, 0.0).request
            taken = perf_counter_ns()
            assert found is not None
            fair_queue.finish_request(state, found.request, 0.002)
            times["offer"] += offered - begun
            times["take"] += taken - offered
            times["finish"] += perf_counter_ns() - taken
        for label, spent in times.items():
            mean = spent / ROUNDS / 1e3
            click.echo(f"decision_{label}_{organisations}_organisations {mean:.2f} us")
        full = AdmissionState(slots=0, max_queued=500)
        for index in range(500):
            name = f"o{index % organisations}"
            fair_queue.enqueue_request(
                full, SlotRequest(f"r{index}", name, AccessMode.READ, 1e9), 0.0
            )
        report(
            f"decision_offer_full_{organisations}_organisations",
            lambda index, full=full: fair_queue.enqueue_request(
                full, SlotRequest(f"f{index}", "newcomer", AccessMode.READ, 1e9), 0.0
            ),
            2_000,
        )


def bench_connections() -> None:
    """Measure a lease with its return, and the ranking of a fleet for one key."""
    pool, limits = new_pool(), PoolLimits(5)
    _, limits = lease_connection(pool, limits, 0.0)
    mark_opened(pool, 1)
    return_connection(pool, limits, 1, ExchangeOutcome.CLEAN, 0.0)

    def turn(index: int) -> None:
        lease_connection(pool, limits, 0.0)
        return_connection(pool, limits, 1, ExchangeOutcome.CLEAN, 0.0)

    report("decision_lease_and_return", turn)
    for size in (7, 200, 2000):
        nodes = [f"instance-{index}" for index in range(size)]
        report(
            f"decision_top_3_of_{size}",
            lambda index, nodes=nodes: rendezvous.top_nodes(nodes, f"g{index}", 3),
            100,
        )


@click.command()
def main() -> None:
    """Print microseconds a decision."""
    bench_admit()
    bench_queue()
    bench_connections()


if __name__ == "__main__":
    main()
