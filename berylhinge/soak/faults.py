"""Harm a running world from outside, and heal it again."""

from __future__ import annotations

import signal
import time
from typing import TYPE_CHECKING

from .schedule import ON_DATABASES, ON_STORE

if TYPE_CHECKING:
    from .schedule import Fault
    from .world import World

# Longer than the usual answer, shorter than the routes' timeout.
DELAY_SECONDS = 0.15
# With 2 slots, 100 statements a second: fewer than the callers of a run send.
SLOW_STATEMENT_SECONDS = 0.02


def begin(world: World, fault: Fault) -> None:
    """Let a fault start."""
    if fault.kind in ON_STORE:
        harm_store(world, fault)
    elif fault.kind == "leaving":
        world.group.members[fault.target].is_leaving = True
    elif fault.kind in ON_DATABASES:
        harm_database(world, fault)
    elif fault.kind == "evacuated":
        world.evacuate(fault.target)
    elif fault.kind == "slow":
        world.group.members[fault.target].statement_seconds = SLOW_STATEMENT_SECONDS
    else:
        harm_instance(world, fault)


def harm_store(world: World, fault: Fault) -> None:
    """Harm the store, or change what it declares."""
    store, kind = world.store, fault.kind
    if kind == "restored":
        world.copies[fault] = store.make_copy()
    elif kind == "down":
        store.down = True
    elif kind == "answers-lost":
        store.lose_answers = True
    elif kind == "history-forgotten":
        store.forget_history()
    else:
        if kind == "key-withdrawn" and len(world.keys) > 1:
            _, organisation = world.keys.popitem()
            world.withdrawn[organisation] = time.monotonic()
        world.declare()


def harm_database(world: World, fault: Fault) -> None:
    """Harm a database or the way to it."""
    database, path = world.group.members[fault.target], world.paths[fault.target]
    if fault.kind == "crash":
        if database.running:
            database.crash()
    elif fault.kind in ("silent", "deaf"):
        setattr(database, fault.kind, True)
    elif fault.kind == "delayed":
        path.delay_seconds = DELAY_SECONDS
    elif fault.kind == "cut":
        path.cut = True
    else:
        path.reset()


def harm_instance(world: World, fault: Fault) -> None:
    """Signal a process, or harm its way to the store or its callers."""
    signals = {
        "kill": signal.SIGKILL,
        "stop": signal.SIGTERM,
        "pause": signal.SIGSTOP,
        "reload": signal.SIGHUP,
    }
    if fault.kind in signals:
        world.signal(fault.target, signals[fault.kind])
        return
    instance = world.instances[fault.target]
    if fault.kind == "store-silent":
        instance.store.silent = True
    elif fault.kind == "store-cut":
        instance.store.cut = True
    elif fault.kind == "store-refused":
        instance.store.refusing = True
        instance.store.reset()
    elif fault.kind == "store-delayed":
        instance.store.delay_seconds = DELAY_SECONDS
    else:
        instance.front.reset()


def end(world: World, fault: Fault) -> None:
    """Heal what a fault harmed; other faults of the same target end with it."""
    if fault.kind in ON_STORE:
        world.store.down = world.store.lose_answers = False
        if fault.kind == "restored":
            world.restore_store(world.copies.pop(fault))
    elif fault.kind == "leaving":
        world.group.members[fault.target].is_leaving = False
    elif fault.kind in ON_DATABASES:
        database = world.group.members[fault.target]
        database.silent = database.deaf = False
        world.group.replicate()
        if not database.running:
            world.restart_database(fault.target)
        world.paths[fault.target].heal()
    elif fault.kind == "evacuated":
        world.take_back(fault.target)
    elif fault.kind == "slow":
        world.group.members[fault.target].statement_seconds = 0.0
    else:
        world.instances[fault.target].store.heal()
        world.signal(fault.target, signal.SIGCONT)
        world.start(fault.target)
