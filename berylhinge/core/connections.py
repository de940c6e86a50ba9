"""Divide a database's connection limit over instances, and pool each one's share.

A group is served by the ``count`` live instances that rank first for it; each may
open an equal share of a database's connections. While the list of live instances
changes, instances with different lists may together exceed the limit. The database
then refuses the extra connection, on which no statement has been sent yet.
"""

from __future__ import annotations

from enum import StrEnum
from typing import NamedTuple, TYPE_CHECKING, TypeAlias

from .rendezvous import rank_nodes, top_nodes

if TYPE_CHECKING:
    from collections.abc import Iterable

    from ..types import GroupId, InstanceId, Seconds

DEFAULT_SERVING_COUNT = 3
MAX_IDLE_SECONDS = 60.0
REFUSAL_BACKOFF_SECONDS = 0.25


class ExchangeOutcome(StrEnum):
    """Name the outcome of the last exchange on a connection."""

    CLEAN = "clean"
    IN_TRANSACTION = "in-transaction"
    TIMED_OUT = "timed-out"
    LATE_ANSWER = "late"
    DUPLICATE_ANSWER = "twice"
    WRONG_REQUEST_ID = "foreign-id"
    CANCELLED = "cancelled"
    BROKEN = "broken"


class ReuseIdle(NamedTuple):
    """Reuse the idle connection with this number."""

    connection: int


class OpenNew(NamedTuple):
    """Open a new connection and give it this number."""

    connection: int


class WaitForConnection(NamedTuple):
    """Wait until a connection is returned, for at most ``seconds``."""

    seconds: Seconds


class KeepConnection(NamedTuple):
    """Keep the connection in the pool for the next request."""


class ResetConnection(NamedTuple):
    """Roll back and return the connection again; close it if the rollback fails."""


class CloseConnection(NamedTuple):
    """Close the connection; it must not be used again."""


LeaseDecision: TypeAlias = ReuseIdle | OpenNew | WaitForConnection
ReturnDecision: TypeAlias = KeepConnection | ResetConnection | CloseConnection


class PoolState(NamedTuple):
    """Describe one instance's connections to one database; changed in place.

    ``idle`` pairs each connection with the time at which it was returned.
    """

    idle: list[tuple[int, float]]
    leased: set[int]
    opening: set[int]


class PoolLimits(NamedTuple):
    """Limit a pool's connections.

    ``allowance`` is the most connections that the pool may hold, ``last_connection``
    the number of the connection opened last. No connection is opened before
    ``backoff_until``, which is set when the database refuses one.
    """

    allowance: int
    last_connection: int = 0
    backoff_until: Seconds = 0.0


def serving_instances(
    live: Iterable[InstanceId], group: GroupId, count: int = DEFAULT_SERVING_COUNT
) -> list[InstanceId]:
    """Return the instances that serve a group, the highest-ranked first."""
    return top_nodes(live, f"group/{group}", count)


def rank_forward_targets(
    live: Iterable[InstanceId], group: GroupId, me: InstanceId, count: int
) -> list[InstanceId]:
    """Return the instances to forward a group's requests to, in order of preference.

    Each sender ranks the serving instances itself, which spreads the load over them.
    """
    return rank_nodes(serving_instances(live, group, count), f"forward/{group}/{me}")


def divide_connection_limit(limit: int, serving: int, own_rank: int) -> int:
    """Return the share of ``limit`` for the instance at a rank, counted from 0.

    The first instances get the remainder. One connection stays free for control if
    the limit exceeds the number of serving instances.
    """
    if own_rank < 0 or own_rank >= serving or limit <= 0:
        return 0
    usable = limit - 1 if limit > serving else limit
    share, remainder = divmod(usable, serving)
    return share + (1 if own_rank < remainder else 0)


def new_pool() -> PoolState:
    """Return an empty pool."""
    return PoolState([], set(), set())


def lease_connection(
    state: PoolState, limits: PoolLimits, now: Seconds
) -> tuple[LeaseDecision, PoolLimits]:
    """Reuse the most recently returned connection, open a new one, or wait."""
    if state.idle:
        connection, _ = state.idle.pop()
        state.leased.add(connection)
        return ReuseIdle(connection), limits
    if count_connections(state) >= limits.allowance:
        return WaitForConnection(REFUSAL_BACKOFF_SECONDS), limits
    if now < limits.backoff_until:
        return WaitForConnection(limits.backoff_until - now), limits
    connection = limits.last_connection + 1
    state.opening.add(connection)
    return OpenNew(connection), limits._replace(last_connection=connection)


def mark_opened(state: PoolState, connection: int) -> None:
    """Record that a connection is open and leased to the request that opened it."""
    state.opening.discard(connection)
    state.leased.add(connection)


def mark_refused(
    state: PoolState, limits: PoolLimits, connection: int, now: Seconds
) -> PoolLimits:
    """Open no connection for a while after the database refused one."""
    state.opening.discard(connection)
    return limits._replace(backoff_until=now + REFUSAL_BACKOFF_SECONDS)


def return_connection(
    state: PoolState,
    limits: PoolLimits,
    connection: int,
    exchange: ExchangeOutcome,
    now: Seconds,
) -> ReturnDecision:
    """Keep a clean connection, reset one in a transaction, close any other."""
    if exchange is ExchangeOutcome.IN_TRANSACTION and connection in state.leased:
        return ResetConnection()
    was_leased = connection in state.leased
    state.leased.discard(connection)
    state.opening.discard(connection)
    if not was_leased or exchange is not ExchangeOutcome.CLEAN:
        return CloseConnection()
    if count_connections(state) >= limits.allowance:
        return CloseConnection()
    state.idle.append((connection, now))
    return KeepConnection()


def evict_surplus(state: PoolState, limits: PoolLimits, now: Seconds) -> list[int]:
    """Remove and return the idle connections over the allowance or the idle limit."""
    excess = max(0, count_connections(state) - limits.allowance)
    closed = [connection for connection, _ in state.idle[:excess]]
    del state.idle[:excess]
    cutoff = now - MAX_IDLE_SECONDS
    closed += [connection for connection, since in state.idle if since < cutoff]
    state.idle[:] = [entry for entry in state.idle if entry[1] >= cutoff]
    return closed


def forget_connection(state: PoolState, connection: int) -> None:
    """Forget a connection that the database closed."""
    state.leased.discard(connection)
    state.opening.discard(connection)
    state.idle[:] = [entry for entry in state.idle if entry[0] != connection]


def count_connections(state: PoolState) -> int:
    """Return the number of connections that count towards the allowance."""
    return len(state.idle) + len(state.leased) + len(state.opening)
