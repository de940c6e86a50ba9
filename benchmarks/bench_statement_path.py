"""Measure the processor time of a statement over real pooler processes.

Run as ``python -m benchmarks.bench_statement_path``. Callers, stand-ins and poolers
share the machine; only the poolers' time is counted, less that of the idle fleet.
"""

from __future__ import annotations

import os
import tempfile
from pathlib import Path
from random import Random

import gevent

from berylhinge.soak.callers import Caller
from berylhinge.soak.soak import wait_for_all
from berylhinge.soak.world import World

INSTANCES = 6
CALLERS = 12
SETTLE_SECONDS = 3.0
IDLE_SECONDS = 5.0
BUSY_SECONDS = 10.0
TICKS_PER_SECOND = os.sysconf("SC_CLK_TCK")
# Fields of /proc/PID/stat after the name: user and system ticks (proc(5)).
USER, SYSTEM = 11, 12


def processor_seconds(world: World) -> float:
    """Return what all poolers have used."""
    total = 0
    for process in world.processes.values():
        text = Path(f"/proc/{process.pid}/stat").read_text()
        fields = text.rpartition(")")[2].split()
        total += int(fields[USER]) + int(fields[SYSTEM])
    return total / TICKS_PER_SECOND


def used(world: World, seconds: float) -> float:
    """Return what the poolers use in a time."""
    before = processor_seconds(world)
    gevent.sleep(seconds)
    return processor_seconds(world) - before


def main() -> None:
    """Print the cost of idling and of a statement."""
    with tempfile.TemporaryDirectory() as name:
        world = World(Path(name), instances=INSTANCES, organisations=4)
        try:
            for instance in world.instances:
                world.start(instance)
            wait_for_all(world)
            gevent.sleep(SETTLE_SECONDS)
            idle = used(world, IDLE_SECONDS) / IDLE_SECONDS
            recorded: list[int] = []
            rng = Random(1)
            fronts = [tuple(one.callers) for one in world.instances.values()]
            callers = [
                Caller(
                    number,
                    Random(number),
                    address=lambda: rng.choice(fronts),
                    keys=world.keys,
                    record=lambda operation: recorded.append(len(operation.steps)),
                )
                for number in range(CALLERS)
            ]
            jobs = [gevent.spawn(caller.run) for caller in callers]
            busy = used(world, BUSY_SECONDS) - idle * BUSY_SECONDS
            statements = sum(recorded)
            for caller in callers:
                caller.stopping = True
            gevent.joinall(jobs, timeout=SETTLE_SECONDS)
        finally:
            world.close()
    print(f"idle processor of an instance: {100 * idle / INSTANCES:.2f} % of a core")
    print(f"statements a second: {statements / BUSY_SECONDS:.0f}")
    print(f"processor time of a statement: {1e6 * busy / statements:.0f} us")


if __name__ == "__main__":
    main()
