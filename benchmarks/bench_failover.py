"""Measure the write gap over repeated failovers with real processes."""

from __future__ import annotations

import os
import random
import sys
import time
from typing import NamedTuple, TYPE_CHECKING

import gevent

from berylhinge.load import statements
from berylhinge.load.client import Balancer, Request
from berylhinge.load.faults import FaultPorts
from berylhinge.load.records import Verdict
from berylhinge.load.verify import create_tables, persist

from .fleet import Fleet
from .probes import load_scenario, print_figure

if TYPE_CHECKING:
    from berylhinge.load.fleet import FleetFile
    from berylhinge.load.scenario import Scenario

ROUTE = "rota-east"
FAILOVERS = 20
INSTANCES = 3
PACE_SECONDS = 0.01
CALM_SECONDS = 1.0
GAP_LIMIT_SECONDS = 14.0
HEAL_SECONDS = 2.0
SETUP_SECONDS = 30.0
TIMEOUT_SECONDS = 2.0


class Acknowledged(NamedTuple):
    """Record one acknowledged write; times are monotonic seconds."""

    sent: float
    done: float
    version: int


class Writer:
    """Send a write at each intended time, whether or not others are answered."""

    def __init__(self, balancer: Balancer, key: str) -> None:
        """Start without writes."""
        self.balancer = balancer
        self.key = key
        self.acknowledged: list[Acknowledged] = []
        self.version = 0
        self.rng = random.Random(20)

    def run(self) -> None:
        """Send for ever."""
        intended = time.monotonic()
        while True:
            self.version += 1
            gevent.spawn(self.write, self.version, self.rng.random())
            intended += PACE_SECONDS
            gevent.sleep(max(0.0, intended - time.monotonic()))

    def write(self, version: int, roam: float) -> None:
        """Insert one unique row and record its acknowledgement."""
        body = statements.write_body(
            statements.INSERT_VISIT,
            [f"v-{version}"],
            timeout_seconds=TIMEOUT_SECONDS,
            idempotent=False,
        )
        path = f"/v1/routes/{ROUTE}/statements"
        sent = time.monotonic()
        request = Request(path, body, self.key, None, f"failover-{version}")
        answer = self.balancer.send(request, roam)
        if answer.verdict is Verdict.OK:
            done = time.monotonic()
            self.acknowledged.append(Acknowledged(sent, done, version))


def scenario_of_one_group() -> Scenario:
    """Return the first user's calm fleet with one group and three instances."""
    scenario = load_scenario("kattevakt-calm")
    scenario["fleet"] = scenario["fleet"] | {
        "databases": [ROUTE],
        "instances": INSTANCES,
    }
    organisation = scenario["organisations"][0] | {
        "rate_per_second": 10_000,
        "burst": 10_000,
    }
    scenario["organisations"] = [organisation]
    return scenario


def main() -> None:
    failovers = int(sys.argv[1]) if len(sys.argv) > 1 else FAILOVERS
    fleet = Fleet(scenario_of_one_group())
    try:
        measure(fleet.start(), failovers)
    finally:
        fleet.stop()


def measure(file: FleetFile, failovers: int) -> None:
    """Cut the primary off again and again and print the gaps."""
    key = next(iter(file["keys"].values()))
    balancer = Balancer(
        file["callers"], file["operators"], timeout_seconds=TIMEOUT_SECONDS
    )
    create_tables(balancer, ROUTE, key, within_seconds=SETUP_SECONDS)
    ports = FaultPorts(file)
    writer = Writer(balancer, key)
    running = gevent.spawn(writer.run)
    print_figure("machine_load", os.getloadavg()[0], "processes")
    gaps = [fail_over(ports, writer) for _ in range(failovers)]
    running.kill()
    gevent.sleep(TIMEOUT_SECONDS)
    ended = sorted(gap for gap in gaps if gap is not None)
    print_figure("failovers_ended", len(ended), f"of {failovers}")
    if ended:
        print_figure("failover_gap_ms_p50", 1e3 * quantile(ended, 0.5), "ms")
        print_figure("failover_gap_ms_p99", 1e3 * quantile(ended, 0.99), "ms")
        print_figure("failover_gap_ms_max", 1e3 * ended[-1], "ms")
    print_figure("failover_writes_lost", lost(balancer, key, writer), "writes")
    balancer.close()


def fail_over(ports: FaultPorts, writer: Writer) -> float | None:
    """Cut the primary, wait for the next acknowledged write and heal.

    The gap runs between the last write acknowledged before the cut's effect and
    the first one after it that was sent after the cut; none if it did not end.
    """
    gevent.sleep(CALM_SECONDS)
    ports.cut_primary(ROUTE)
    cut = time.monotonic()
    before = max(one.done for one in writer.acknowledged)
    while not any(one.sent > cut for one in writer.acknowledged):
        if time.monotonic() - cut > GAP_LIMIT_SECONDS:
            ports.heal_group(ROUTE)
            gevent.sleep(HEAL_SECONDS)
            return None
        gevent.sleep(PACE_SECONDS)
    ended = min(one.done for one in writer.acknowledged if one.sent > cut)
    ports.heal_group(ROUTE)
    gevent.sleep(HEAL_SECONDS)
    return ended - before


def lost(balancer: Balancer, key: str, writer: Writer) -> int:
    """Count the acknowledged writes that do not stand exactly once."""
    body = statements.read_body(
        statements.COUNT_VISITS, [], timeout_seconds=TIMEOUT_SECONDS
    )
    answer = persist(balancer, ROUTE, key, body, within_seconds=SETUP_SECONDS)
    counts = dict(answer.body["rows"])
    return sum(counts.get(f"v-{one.version}") != 1 for one in writer.acknowledged)


def quantile(ordered: list[float], share: float) -> float:
    """Return the value at a share of an ordered list, the nearest above."""
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]


if __name__ == "__main__":
    main()
