"""Compare two ways to divide a database's connections over a fleet, in virtual time.

Equal shares: each instance holds its own part and serves what reaches it. Ranked:
the first few instances by rendezvous hold the connections and the others forward.
A request is a statement, or a transaction that keeps its connection while its caller
thinks; one that gets no connection by its deadline is refused.
"""

from __future__ import annotations

from collections import deque
from heapq import heappop, heappush
from random import Random
from typing import NamedTuple

import click
from hdrh.histogram import HdrHistogram

from berylhinge.core.connections import (
    divide_connection_limit,
    rank_forward_targets,
    serving_instances,
)

LIMIT = 16
SLOTS = 2
SECONDS = 20.0
STATEMENT_SECONDS = 0.004
THINK_SECONDS = 0.010
TRANSACTION_SHARE = 0.15
TRANSACTION_STATEMENTS = 4
CONNECT_SECONDS = 0.012
LINK_SECONDS = 0.001
DEADLINE_SECONDS = 1.0
LOAD = 0.7
SKEW = 0.6
SIZES = (7, 50, 200, 2000)
SERVING = (1, 2, 3, 5)


class Work(NamedTuple):
    """Describe one request."""

    moment: float
    statements: int


class Pool:
    """Hold one instance's connections and its queue."""

    def __init__(self, allowance: int) -> None:
        self.allowance = allowance
        self.opened = 0
        self.busy = 0
        self.queue: deque[tuple[float, Work]] = deque()


class Result(NamedTuple):
    """Report one run."""

    utilisation: float
    refused: float
    wait_p50_ms: float
    wait_p99_ms: float


class Database:
    """Run statements on a few slots in order of arrival, on a shared heap."""

    def __init__(self, rng: Random) -> None:
        self.rng = rng
        self.heap: list[tuple[float, int, object]] = []
        self.number = 0
        self.free = SLOTS
        self.waiting: deque[object] = deque()
        self.spent = 0.0
        self.now = 0.0

    def at(self, moment: float, action: object) -> None:
        """Call the action at a moment."""
        self.number += 1
        heappush(self.heap, (moment, self.number, action))

    def run(self) -> None:
        """Run until nothing is left to do."""
        while self.heap:
            self.now, _, action = heappop(self.heap)
            action()

    def statement(self, done: object) -> None:
        """Run one statement when a slot is free."""
        if not self.free:
            self.waiting.append(done)
            return
        self.free -= 1
        hold = STATEMENT_SECONDS * self.rng.uniform(0.5, 1.5)
        self.spent += hold
        self.at(self.now + hold, lambda: self.finished(done))

    def finished(self, done: object) -> None:
        """Free the slot for the next statement."""
        self.free += 1
        if self.waiting:
            self.statement(self.waiting.popleft())
        done()


class Model:
    """Route requests to pools and pools' connections to the database."""

    def __init__(self, rng: Random, allowances: dict[str, int]) -> None:
        self.rng = rng
        self.database = Database(rng)
        self.pools = {name: Pool(count) for name, count in allowances.items()}
        self.waits = HdrHistogram(1, 60_000_000, 3)
        self.offered = 0
        self.refused = 0

    def arrive(self, server: str | None, work: Work) -> None:
        """Queue a request at a pool; without a pool it is refused."""
        self.offered += 1
        pool = self.pools.get(server) if server else None
        if pool is None or not pool.allowance:
            self.refused += 1
            return
        pool.queue.append((self.database.now, work))
        self.serve(pool)

    def serve(self, pool: Pool) -> None:
        """Give free connections to the requests that wait."""
        while pool.queue and pool.busy < pool.allowance:
            _, work = pool.queue.popleft()
            waited = self.database.now - work.moment
            if waited > DEADLINE_SECONDS:
                self.refused += 1
                continue
            pool.busy += 1
            delay = 0.0
            if pool.busy > pool.opened:
                pool.opened, delay = pool.busy, CONNECT_SECONDS
            self.waits.record_value(max(1, int(1e6 * (waited + delay))))
            self.database.at(
                self.database.now + delay, lambda work=work: self.work(pool, work)
            )

    def work(self, pool: Pool, work: Work) -> None:
        """Run the statements one by one, with the caller's thinking in between."""

        def done() -> None:
            if work.statements > 1:
                think = self.rng.expovariate(1 / THINK_SECONDS)
                rest = work._replace(statements=work.statements - 1)
                self.database.at(
                    self.database.now + think, lambda: self.work(pool, rest)
                )
                return
            pool.busy -= 1
            self.serve(pool)

        self.database.statement(done)


def run(size: int, serving: int | None, *, skewed: bool, seed: int) -> Result:
    """Run one division; ``serving`` is none for equal shares over all instances."""
    rng = Random(seed)
    names = [f"i{index}" for index in range(size)]
    chosen = names if serving is None else serving_instances(names, "g", serving)
    allowances = {
        name: divide_connection_limit(LIMIT, len(chosen), place)
        for place, name in enumerate(chosen)
    }
    targets = {
        name: rank_forward_targets(names, "g", name, len(chosen)) for name in names[:64]
    }
    model = Model(rng, allowances)
    mean = 1 + TRANSACTION_SHARE * (TRANSACTION_STATEMENTS - 1)
    rate = LOAD * SLOTS / STATEMENT_SECONDS / mean
    moment = 0.0
    while (moment := moment + rng.expovariate(rate)) < SECONDS:
        entry = names[0] if skewed and rng.random() < SKEW else rng.choice(names)
        long = rng.random() < TRANSACTION_SHARE
        work = Work(moment, TRANSACTION_STATEMENTS if long else 1)
        server, hop = entry, 0.0
        if serving is not None and entry not in allowances:
            ranked = targets.get(entry) or rank_forward_targets(
                names, "g", entry, len(chosen)
            )
            server, hop = ranked[0], LINK_SECONDS
        model.database.at(
            moment + hop,
            lambda server=server, work=work: model.arrive(server, work),
        )
    model.database.run()
    return Result(
        model.database.spent / SLOTS / SECONDS,
        model.refused / model.offered,
        model.waits.get_value_at_percentile(50) / 1e3,
        model.waits.get_value_at_percentile(99) / 1e3,
    )


@click.command()
@click.option("--seed", default=1, show_default=True)
def main(seed: int) -> None:
    """Print one line a figure, then a table."""
    rows = []
    for size in SIZES:
        for serving in (None, *SERVING):
            for skewed in (False, True):
                found = run(size, serving, skewed=skewed, seed=seed)
                way = "equal" if serving is None else f"ranked_{serving}"
                load = "skewed" if skewed else "even"
                key = f"connections_{size}_{way}_{load}"
                click.echo(f"{key}_refused {100 * found.refused:.3f} percent")
                click.echo(f"{key}_wait_p99 {found.wait_p99_ms:.2f} ms")
                rows.append((size, way, load, found))
    click.echo(
        "\n| instances | way | arrivals | slots used % | refused % "
        "| wait p50 ms | wait p99 ms |"
    )
    click.echo("|---" * 7 + "|")
    for size, way, load, found in rows:
        click.echo(
            f"| {size} | {way} | {load} | {100 * found.utilisation:.1f} "
            f"| {100 * found.refused:.2f} | {found.wait_p50_ms:.2f} "
            f"| {found.wait_p99_ms:.2f} |"
        )


if __name__ == "__main__":
    main()
