"""Divide a database's connections over instances, and decide on each one's reuse.

A group is served by the ``count`` live instances that rank first for it; each may
hold an equal part of a database's connections. During a change of the live list
two views may add up to more than the limit: the database's own limit then refuses,
and the refused connection was not used.
"""

from __future__ import annotations

from enum import StrEnum
from typing import NamedTuple, TYPE_CHECKING, TypeAlias

from .rendezvous import rank, top

if TYPE_CHECKING:
    from collections.abc import Iterable

    from ..types import GroupId, InstanceId, Seconds

SERVING_INSTANCES = 3
IDLE_LIMIT_SECONDS = 60.0
REFUSED_PAUSE_SECONDS = 0.25


class Exchange(StrEnum):
    """Tell how the last request on a connection ended."""

    CLEAN = "clean"
    IN_TRANSACTION = "in-transaction"
    TIMED_OUT = "timed-out"
    LATE = "late"
    TWICE = "twice"
    FOREIGN_ID = "foreign-id"
    CANCELLED = "cancelled"
    BROKEN = "broken"


class Reuse(NamedTuple):
    """Use this idle connection."""

    connection: int


class Open(NamedTuple):
    """Open a connection under this number."""

    connection: int


class Full(NamedTuple):
    """Wait until a connection comes back, or so many seconds."""

    seconds: Seconds


class Keep(NamedTuple):
    """Keep the connection for the next request."""


class Reset(NamedTuple):
    """Roll back and return it again; close it when that fails."""


class Close(NamedTuple):
    """Close the connection and never use it again."""


Lease: TypeAlias = Reuse | Open | Full
Verdict: TypeAlias = Keep | Reset | Close


class PoolState(NamedTuple):
    """Hold one instance's connections to one database; changed in place."""

    idle: list[tuple[int, float]]
    leased: set[int]
    opening: set[int]


class PoolLimits(NamedTuple):
    """Bound the pool; ``refused_until`` pauses opening after the database refused."""

    allowance: int
    last: int = 0
    refused_until: Seconds = 0.0


def serving_instances(
    live: Iterable[InstanceId], group: GroupId, count: int = SERVING_INSTANCES
) -> list[InstanceId]:
    """Return the instances that serve a group, first in rank first."""
    return top(live, f"group/{group}", count)


def forward_targets(
    live: Iterable[InstanceId], group: GroupId, me: InstanceId, count: int
) -> list[InstanceId]:
    """Return whom to forward to, spread over the servers by the sender's own rank."""
    return rank(serving_instances(live, group, count), f"forward/{group}/{me}")


def connection_allowance(limit: int, serving: int, place: int) -> int:
    """Return the part of ``limit`` for the instance at a rank; the first get the rest.

    One connection stays free for control when the limit leaves more than one each.
    """
    if place < 0 or place >= serving or limit <= 0:
        return 0
    usable = limit - 1 if limit > serving else limit
    share, rest = divmod(usable, serving)
    return share + (1 if place < rest else 0)


def new_pool() -> PoolState:
    """Return an empty pool."""
    return PoolState([], set(), set())


def lease(
    state: PoolState, limits: PoolLimits, now: Seconds
) -> tuple[Lease, PoolLimits]:
    """Return the idle connection used last, open one, or wait."""
    if state.idle:
        connection, _ = state.idle.pop()
        state.leased.add(connection)
        return Reuse(connection), limits
    if held(state) >= limits.allowance:
        return Full(REFUSED_PAUSE_SECONDS), limits
    if now < limits.refused_until:
        return Full(limits.refused_until - now), limits
    connection = limits.last + 1
    state.opening.add(connection)
    return Open(connection), limits._replace(last=connection)


def opened(state: PoolState, connection: int) -> None:
    """Count a connection that was opened as leased to whom it was opened for."""
    state.opening.discard(connection)
    state.leased.add(connection)


def refused(
    state: PoolState, limits: PoolLimits, connection: int, now: Seconds
) -> PoolLimits:
    """Pause after the database refused one more connection."""
    state.opening.discard(connection)
    return limits._replace(refused_until=now + REFUSED_PAUSE_SECONDS)


def give_back(
    state: PoolState,
    limits: PoolLimits,
    connection: int,
    exchange: Exchange,
    now: Seconds,
) -> Verdict:
    """Keep a clean connection, reset one in a transaction, close every other."""
    if exchange is Exchange.IN_TRANSACTION and connection in state.leased:
        return Reset()
    known = connection in state.leased
    state.leased.discard(connection)
    state.opening.discard(connection)
    if not known or exchange is not Exchange.CLEAN:
        return Close()
    if held(state) >= limits.allowance:
        return Close()
    state.idle.append((connection, now))
    return Keep()


def surplus(state: PoolState, limits: PoolLimits, now: Seconds) -> list[int]:
    """Return idle connections to close: over the allowance, or idle for too long."""
    extra = max(0, held(state) - limits.allowance)
    closed = [connection for connection, _ in state.idle[:extra]]
    del state.idle[:extra]
    horizon = now - IDLE_LIMIT_SECONDS
    closed += [connection for connection, since in state.idle if since < horizon]
    state.idle[:] = [entry for entry in state.idle if entry[1] >= horizon]
    return closed


def lost(state: PoolState, connection: int) -> None:
    """Forget a connection that was closed by the other side."""
    state.leased.discard(connection)
    state.opening.discard(connection)
    state.idle[:] = [entry for entry in state.idle if entry[0] != connection]


def held(state: PoolState) -> int:
    """Return how many connections count against the allowance."""
    return len(state.idle) + len(state.leased) + len(state.opening)
