"""Walk a group's world at random, then heal it and check that all is decided."""

from __future__ import annotations

from random import Random
from typing import TYPE_CHECKING

from berylhinge.core import group_view

from .group_facts import Violation
from .group_world import World

if TYPE_CHECKING:
    from collections.abc import Callable

WEIGHTS = {
    "deliver": 12.0,
    "duplicate": 1.0,
    "drop": 1.0,
    "append": 4.0,
    "write": 2.0,
    "retry": 1.0,
    "read": 2.0,
    "reread": 0.5,
    "ask": 1.0,
    "entries": 1.0,
    "suspect": 0.8,
    "leap": 0.6,
    "cut": 0.3,
    "restart-database": 0.1,
    "restart-instance": 0.2,
}
SWARM_FACTORS = (0.0, 0.3, 1.0, 3.0, 6.0)
ALWAYS = ("deliver", "append", "write")
DECIDED = "every write and read is decided"
HEAL_ROUNDS = 30
HEAL_MESSAGES = 1000
HEAL_LEAP_ROUNDS = 5
HEAL_APPEND_LIMIT = 100


class Walk:
    """Hold a world and the weights of one walk."""

    def __init__(self, rng: Random, *, size: int, instances: int) -> None:
        """Choose weights by swarm testing (Groce et al., ISSTA 2012)."""
        self.rng = rng
        self.world = World(rng, size=size, instances=instances)
        self.cut: frozenset[str] = frozenset()
        self.kinds = list(WEIGHTS)
        self.weights = [
            weight * (1.0 if kind in ALWAYS else rng.choice(SWARM_FACTORS))
            for kind, weight in WEIGHTS.items()
        ]

    def run(self, steps: int) -> World:
        """Take a number of steps and heal."""
        for kind in self.rng.choices(self.kinds, self.weights, k=steps):
            self.world.pass_step()
            ACTIONS[kind](self)
        heal(self.world)
        return self.world

    def one(self) -> int:
        """Choose an instance."""
        return self.rng.randrange(len(self.world.instances))

    def message(self) -> int | None:
        """Choose a message, losing those between databases that are cut off."""
        bag = self.world.bag
        if not bag:
            return None
        index = self.rng.randrange(len(bag))
        message = bag[index]
        if message.kind in ("append", "appended") and self.is_cut(index):
            self.world.drop(index)
            return None
        return index

    def is_cut(self, index: int) -> bool:
        """Tell whether a message between databases crosses the cut."""
        message = self.world.bag[index]
        body = message.body
        other = body.primary if message.kind == "append" else body[0]  # type: ignore
        return message.upstream in self.cut or other in self.cut

    def deliver(self) -> None:
        """Deliver a message."""
        index = self.message()
        if index is not None:
            self.world.deliver(index)

    def duplicate(self) -> None:
        """Deliver a message that comes again later."""
        index = self.message()
        if index is not None:
            self.world.deliver(index, keep=True)

    def drop(self) -> None:
        """Lose a message."""
        if self.world.bag:
            self.world.drop(self.rng.randrange(len(self.world.bag)))

    def append(self) -> None:
        """Let a primary replicate."""
        names = self.world.names
        leads = [name for name in names if self.world.states[name].role == "primary"]
        if leads:
            self.world.send_append(self.rng.choice(leads), self.rng.choice(names))

    def change_cut(self) -> None:
        """Cut one database off from the others, or none."""
        names = self.world.names
        cut = self.rng.choice((*names, ""))
        self.cut = frozenset((cut,) if cut else ())

    def restart_database(self) -> None:
        """Crash a database."""
        self.world.restart(self.rng.choice(self.world.names))


def on_instance(action: str) -> Callable[[Walk], None]:
    """Act on any instance."""

    def act(walk: Walk) -> None:
        getattr(walk.world, action)(walk.world.instances[walk.one()])

    return act


ACTIONS: dict[str, Callable[[Walk], None]] = {
    "deliver": Walk.deliver,
    "duplicate": Walk.duplicate,
    "drop": Walk.drop,
    "append": Walk.append,
    "cut": Walk.change_cut,
    "restart-database": Walk.restart_database,
    "write": on_instance("begin_write"),
    "retry": on_instance("retry_write"),
    "read": on_instance("begin_read"),
    "reread": on_instance("send_reads"),
    "ask": on_instance("ask_all"),
    "entries": on_instance("ask_entries"),
    "suspect": on_instance("suspect"),
    "leap": on_instance("leap"),
    "restart-instance": on_instance("restart_instance"),
}


def heal(world: World) -> None:
    """Lose nothing more until every write and read is decided."""
    world.append_limit = HEAL_APPEND_LIMIT
    for _ in range(HEAL_ROUNDS):
        heal_once(world)
        if is_settled(world):
            check_end(world)
            return
    raise Violation(DECIDED, [own.writes for own in world.instances])


def heal_once(world: World) -> None:
    """Deliver everything once and let one instance keep a primary in place."""
    world.pass_step()
    for _ in range(HEAL_MESSAGES):
        if world.bag:
            world.handle(world.bag.pop(0))
    for name in world.names:
        for other in world.names:
            world.send_append(name, other)
    first = world.instances[0]
    lead = group_view.confirmed_primary(first.view)
    if lead is None or not leads(world, lead):
        if first.promotion.stage in ("idle", "waiting"):
            world.suspect(first)
        if first.promotion.stage == "waiting" or world.steps % HEAL_LEAP_ROUNDS == 0:
            world.leap(first)
    for own in world.instances:
        world.ask_all(own)
        world.ask_entries(own)
        world.send_reads(own)
        world.count_floors(own)


def leads(world: World, lead: group_view.Primary) -> bool:
    """Tell whether a database leads the term, and nobody promised a newer one."""
    state = world.states[lead.upstream]
    newest = max(other.term for other in world.states.values())
    return state.role == "primary" and state.term == lead.term == newest


def is_settled(world: World) -> bool:
    """Tell whether nothing waits and every log is the same."""
    waiting = any(own.writes or own.reads for own in world.instances)
    logs = {tuple(state.log) for state in world.states.values()}
    terms = {state.log_term for state in world.states.values()}
    return not waiting and len(logs) == 1 == len(terms)


def check_end(world: World) -> None:
    """Take the surviving log as shown to a caller."""
    name = world.names[0]
    log = tuple(world.states[name].log)
    acknowledged = frozenset(world.facts.acknowledged)
    term = world.states[name].log_term
    world.facts.note_shown(log, log[-1].point, acknowledged, under=term)


def explore(seed: int, *, steps: int, size: int = 3, instances: int = 2) -> World:
    """Walk from a seed."""
    return Walk(Random(seed), size=size, instances=instances).run(steps)
