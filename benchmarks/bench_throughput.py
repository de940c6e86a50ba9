"""Measure statements a second and added latency of one instance on one core."""

from __future__ import annotations

import os
from typing import Any, TYPE_CHECKING

from berylhinge.load import statements
from berylhinge.load.client import Balancer, Request
from berylhinge.load.verify import create_tables

from .fleet import Fleet
from .probes import print_figure, run_workers, small_scenario, statement_headers

if TYPE_CHECKING:
    from berylhinge.load.fleet import FleetFile

    from .probes import Sample
    from .worker import Task

ROUTE = "rota-east"
ROW = "bench"
WORKERS = 3
CONNECTIONS = 8
SECONDS = 5.0
SETUP_SECONDS = 20.0
TIMEOUT_SECONDS = 5.0
DIRECT_REPLICA = 1
DIRECT_PATH = "/v1/statement"


def main() -> None:
    fleet = Fleet(small_scenario(instances=1))
    try:
        measure(fleet.start())
    finally:
        fleet.stop()


def measure(file: FleetFile) -> None:
    key = next(iter(file["keys"].values()))
    token = prepare(file, key)
    print_figure("machine_load", os.getloadavg()[0], "processes")
    path = f"/v1/routes/{ROUTE}/statements"
    base = file["callers"][0]
    session = statement_headers(key, token)
    read = statements.read_body(
        statements.READ_ROW, [ROW], timeout_seconds=TIMEOUT_SECONDS
    )
    write = statements.write_body(
        statements.WRITE_ROW, [ROW, 2], timeout_seconds=TIMEOUT_SECONDS, idempotent=True
    )
    fresh = statement_headers(key)
    replica = file["routes"][ROUTE][DIRECT_REPLICA]
    direct = run(f"http://{replica['data']}", DIRECT_PATH, direct_body(), {})
    reads = run(base, path, read, session)
    report("direct_reads_one_database", direct)
    report("proxied_session_reads", reads)
    report("proxied_fresh_reads", run(base, path, read, fresh))
    report("proxied_writes", run(base, path, write, session))
    half = reads.per_second / 2
    paced = run(base, path, read, session, rate=half)
    bare = run(f"http://{replica['data']}", DIRECT_PATH, direct_body(), {}, rate=half)
    print_figure("half_load", half, "statements/s")
    for share, name in ((50.0, "p50"), (99.0, "p99")):
        added = paced.percentile_ms(share) - bare.percentile_ms(share)
        print_figure(f"direct_latency_{name}", bare.percentile_ms(share), "ms")
        print_figure(f"added_latency_{name}", added, "ms")


def prepare(file: FleetFile, key: str) -> str | None:
    """Create the tables, write a row and return the session's token."""
    balancer = Balancer(file["callers"], (), timeout_seconds=TIMEOUT_SECONDS)
    try:
        create_tables(balancer, ROUTE, key, within_seconds=SETUP_SECONDS)
        body = statements.write_body(
            statements.WRITE_ROW, [ROW, 1], timeout_seconds=5.0, idempotent=True
        )
        path = f"/v1/routes/{ROUTE}/statements"
        return balancer.send(Request(path, body, key, None, "prepare"), 0.0).token
    finally:
        balancer.close()


def direct_body() -> dict[str, Any]:
    """Return the same read as the database's own protocol says it."""
    return {
        "request_id": "direct",
        "access": "read",
        "statement": statements.READ_ROW,
        "parameters": [ROW],
    }


def run(
    base: str,
    path: str,
    body: dict[str, Any],
    headers: dict[str, str],
    *,
    rate: float = 0.0,
) -> Sample:
    """Run the workers against one address."""
    task: Task = {
        "base": base,
        "path": path,
        "body": body,
        "headers": headers,
        "connections": CONNECTIONS,
        "seconds": SECONDS,
        "rate_per_second": rate / WORKERS,
    }
    return run_workers([task] * WORKERS)


def report(name: str, sample: Sample) -> None:
    """Print a closed loop's throughput and its failures."""
    print_figure(name, sample.per_second, "statements/s")
    for reason, count in sorted(sample.failed.items()):
        print_figure(f"{name}_failed_{reason}", count, "statements")


if __name__ == "__main__":
    main()
