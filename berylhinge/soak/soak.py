"""Play one run of faults against real processes and judge it."""

from __future__ import annotations

import time
from functools import partial
from random import Random
from typing import NamedTuple, TYPE_CHECKING

import gevent

from ..standins.line_session import LineSession, Lost
from . import faults
from .caller_load import CallerLoad
from .callers import PAUSE_SECONDS
from .history import Observed, Operation, Outcome
from .judge import judge, Seen
from .schedule import ON_CALLERS, undisturbed_span
from .world import World

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence
    from pathlib import Path

    from .cases import Case
    from .judge import Violation
    from .schedule import Fault

START_SECONDS = 20.0
POLL_SECONDS = 0.05
# After the last fault the fleet serves again within this time.
RECOVERY_SECONDS = 8.0
# A caller's last operation ends within this time.
LAST_SECONDS = 8.0
CALLERS = 10
# The id of statements that only show whether an instance serves.
PROBE = "probe"
ORGANISATIONS = 4


class Soaked(NamedTuple):
    """Hold what came of one run."""

    violations: list[Violation]
    operations: int
    done: int
    promotions: int


def run_faults(case: Case, *, folder: Path) -> Soaked:
    """Play a case's faults and judge what was seen."""
    world = World(
        folder,
        instances=case.instances,
        organisations=ORGANISATIONS,
        agreed_terms=case.agreed_terms,
        synchronous_replicas=case.synchronous_replicas,
    )
    try:
        for name in world.instances:
            world.start(name)
        wait_for_all(world)
        return play(world, case.faults, case.seed, case.seconds)
    finally:
        world.close()


def wait_for_all(world: World) -> None:
    """Wait until every instance serves; raise TimeoutError."""
    deadline = time.monotonic() + START_SECONDS
    while not all(probe(world, name) for name in world.instances):
        if time.monotonic() > deadline:
            raise TimeoutError(
                f"not every instance serves within {START_SECONDS} s; "
                f"look into the logs in {world.folder}"
            )
        gevent.sleep(POLL_SECONDS)


def play(world: World, planned: Sequence[Fault], seed: int, seconds: float) -> Soaked:
    """Let callers work while faults come and go, then let the fleet recover."""
    recorded: list[Operation] = []
    rng = Random(seed)
    names = list(world.instances)

    def address() -> tuple[str, int]:
        front = world.instances[rng.choice(names)].front
        return "127.0.0.1", front.server.server_port

    load = CallerLoad(address, world.keys.copy(), recorded.append, seed)
    load.start(load.make_callers(range(CALLERS), load.keys, PAUSE_SECONDS))
    started_at = time.monotonic()
    apply_all(world, load, planned, started_at, seconds)
    probes = recover(world)
    load.stop()
    gevent.joinall(load.jobs, timeout=LAST_SECONDS, raise_error=True)
    group = world.group
    evacuations = [
        undisturbed_span(span, planned, started_at) for span in world.evacuations
    ]
    observed = Observed(
        tuple(recorded),
        world.withdrawn,
        probes,
        tuple(span for span in evacuations if span is not None),
        tuple(world.cold),
    )
    runs = [run for run in group.runs if run.request != PROBE]
    seen = Seen(
        list(group.log),
        list(group.rolled_back),
        runs,
        is_durable=group.synchronous_replicas > 0,
    )
    return Soaked(
        judge(observed, seen),
        len(recorded),
        sum(operation.outcome is Outcome.DONE for operation in recorded),
        group.term - 1,
    )


def apply_all(
    world: World,
    load: CallerLoad,
    planned: Sequence[Fault],
    started_at: float,
    seconds: float,
) -> None:
    """Begin and end each fault at its time."""
    moments: list[tuple[float, Callable[[Fault], None], Fault]] = []
    for fault in planned:
        if fault.kind in ON_CALLERS:
            begin, end = load.begin, load.end
        else:
            begin, end = partial(faults.begin, world), partial(faults.end, world)
        moments += [(fault.at, begin, fault), (fault.ends_at, end, fault)]
    for at, act, fault in sorted(moments, key=lambda moment: moment[0]):
        gevent.sleep(max(0.0, started_at + at - time.monotonic()))
        act(fault)
    gevent.sleep(max(0.0, started_at + seconds - time.monotonic()))


def recover(world: World) -> dict[str, bool]:
    """Start every process again; tell through which of them work is served."""
    deadline = time.monotonic() + RECOVERY_SECONDS
    served = dict.fromkeys(world.instances, False)
    while not all(served.values()) and time.monotonic() < deadline:
        for name in served:
            # A process that was told to stop may end only now.
            world.start(name)
            served[name] = served[name] or probe(world, name)
        gevent.sleep(POLL_SECONDS)
    return served


def probe(world: World, name: str) -> bool:
    """Tell whether a strict read is served through an instance."""
    key = next(iter(world.keys))
    try:
        session = LineSession(tuple(world.instances[name].callers), "strict", key)
    except (OSError, Lost):
        return False
    try:
        answer = session.ask(PROBE, "READ probe")
        return answer is not None and answer.done
    finally:
        session.close()
