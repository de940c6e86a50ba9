"""Script the rare orders of messages that a random walk seldom finds."""

from __future__ import annotations

from random import Random
from typing import TYPE_CHECKING

from berylhinge.types import LOG_START

from .group_world import PendingRead, World

if TYPE_CHECKING:
    from collections.abc import Callable

    from .group_world import Instance


def scripted_world() -> World:
    """Return a world whose instances know the first primary."""
    world = World(Random(0))
    world.steps_down = False
    world.append_limit = 1
    world.suspects = False
    for own in world.instances:
        know(world, own, "abc")
    return world


def deliver(world: World, kind: str, names: str, own: Instance | None = None) -> None:
    """Deliver the messages of a kind at some databases, and no others."""
    chosen = [
        message
        for message in world.bag
        if message.kind == kind
        and message.upstream in names
        and (own is None or message.instance == own.number)
    ]
    for message in chosen:
        world.pass_step()
        world.bag.remove(message)
        world.handle(message)


def know(world: World, own: Instance, names: str) -> None:
    """Let an instance learn the status of some databases alone."""
    world.ask_all(own)
    deliver(world, "status", names, own)
    deliver(world, "status-reply", names, own)
    world.bag = [one for one in world.bag if not one.kind.startswith("status")]


def write(world: World, own: Instance, name: str) -> None:
    """Log a write at one primary and let the instance know its entry."""
    world.begin_write(own)
    deliver(world, "write", name, own)
    deliver(world, "write-reply", name, own)


def replicate(world: World, lead: str, name: str) -> None:
    """Bring one replica as far as a rejected append and the next one do."""
    world.send_append(lead, name)
    deliver(world, "append", name)
    deliver(world, "appended", lead)


def fence(world: World, own: Instance, names: str) -> None:
    """Begin a promotion that some databases alone hear of."""
    know(world, own, names)
    while own.promotion.stage == "confirming":
        world.leap(own)
    world.suspect(own)
    if own.promotion.stage == "waiting":
        world.leap(own)
    deliver(world, "fence", names, own)
    deliver(world, "fence-reply", names, own)


def promote(world: World, own: Instance, name: str) -> None:
    """Finish a promotion at one database."""
    deliver(world, "promote", name, own)
    deliver(world, "promote-reply", name, own)


def older_term_on_a_majority(world: World) -> None:
    """Replay figure 8 of Raft: an older entry is on a majority, then a newer wins."""
    first, second = world.instances
    write(world, first, "a")
    fence(world, second, "bc")
    promote(world, second, "b")
    fence(world, first, "ac")
    promote(world, first, "a")
    replicate(world, "a", "c")
    replicate(world, "a", "c")
    know(world, first, "ac")
    world.post("entry", first, "a", next(iter(first.writes)))
    deliver(world, "entry", "a", first)
    deliver(world, "entry-reply", "a", first)
    fence(world, second, "bc")
    promote(world, second, "b")


def long_log_of_an_old_term(world: World) -> None:
    """Let a cut-off primary log more than its successor, which acknowledged."""
    first, second = world.instances
    for _ in range(3):
        write(world, first, "a")
    fence(world, second, "bc")
    promote(world, second, "b")
    know(world, second, "bc")
    write(world, second, "b")
    for _ in range(3):
        replicate(world, "b", "c")
    know(world, second, "bc")
    assert world.facts.acknowledged
    fence(world, first, "ac")
    promote(world, first, "ac")


def promoter_restarts_between_votes_and_order(world: World) -> None:
    """Restart a promoter whose order to lead is still on its way."""
    first = world.instances[0]
    write(world, first, "a")
    fence(world, first, "ab")
    world.restart_instance(first)
    again = world.instances[0]
    know(world, again, "c")
    world.suspect(again)
    deliver(world, "fence", "bc", again)
    deliver(world, "fence-reply", "bc", again)
    promote(world, again, "b")
    promote(world, again, "a")


def unconfirmed_successor(world: World) -> None:
    """Let a successor that never gets a majority lack a write that survives."""
    first, second = world.instances
    write(world, first, "a")
    fence(world, second, "bc")
    promote(world, second, "b")
    know(world, first, "b")
    world.post("entry", first, "b", next(iter(first.writes)))
    deliver(world, "entry", "b", first)
    deliver(world, "entry-reply", "b", first)
    fence(world, first, "ac")
    promote(world, first, "a")
    for _ in range(3):
        replicate(world, "a", "c")
    know(world, first, "ac")
    token = PendingRead(0, 0, world.now(0), 0.0, LOG_START, frozenset())
    first.reads[0] = token
    world.post("read", first, "a", token)
    deliver(world, "read", "a", first)
    deliver(world, "read-reply", "a", first)
    assert world.facts.shown


SCRIPTS: dict[str, Callable[[World], None]] = {
    "older term on a majority": older_term_on_a_majority,
    "long log of an old term": long_log_of_an_old_term,
    "unconfirmed successor": unconfirmed_successor,
    "promoter restarts": promoter_restarts_between_votes_and_order,
}
