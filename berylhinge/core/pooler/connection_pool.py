"""Choose a connection for a statement among those that an instance has to a database.

A connection belongs to one organisation for its whole life. Session values and
prepared names are replayed, so any idle connection of the organisation will do; one
whose values match already needs no reset.
"""

from __future__ import annotations

from typing import NamedTuple, TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping, Sequence

    from ...types import OrganisationId, Seconds
    from .statements import PreparedStatement

# Fractions of a database's connections that one instance may open, from few
# organisations to many. The rest lets the next holder start while the database still
# counts the connections of a dead one.
MIN_OPEN_FRACTION = 0.5
MAX_OPEN_FRACTION = 0.75
# Connections beyond one for each organisation, for idle open transactions.
SPARE_CONNECTIONS = 2
# For how long the holder of a database keeps an idle connection open.
HOLDER_IDLE_SECONDS = 45.0
# For how long an instance that no longer holds a database keeps an idle connection.
FORMER_HOLDER_IDLE_SECONDS = 1.5
# A connection with more prepared names is reset.
MAX_PREPARED_NAMES = 200


# Parts of an instance's connections that the idle transactions of all organisations,
# and of one of them, may hold; the others are left to single statements.
IDLE_TRANSACTIONS_PART = 0.75
ORGANISATION_TRANSACTIONS_PART = 0.25


class IdleConnection(NamedTuple):
    """Describe an idle connection, its organisation and its session state."""

    number: int
    organisation: OrganisationId
    values: dict[str, str]
    prepared: frozenset[str]
    idle_since: Seconds


class UseIdle(NamedTuple):
    """Use the idle connection of this number."""

    number: int


class OpenNew(NamedTuple):
    """Open a connection, after closing the idle one numbered ``evicted`` if given."""

    evicted: int | None


class WaitForIdle(NamedTuple):
    """Wait until a connection is returned to the pool."""


class ConnectionSetup(NamedTuple):
    """List the steps that bring a connection into a session's state, in their order."""

    reset: bool
    values: tuple[tuple[str, str], ...]
    prepared: tuple[tuple[str, PreparedStatement], ...]


def instance_connection_limit(max_connections: int, organisations: int) -> int:
    """Return how many connections one instance may open to one database."""
    wanted = organisations + SPARE_CONNECTIONS
    low, high = max_connections * MIN_OPEN_FRACTION, max_connections * MAX_OPEN_FRACTION
    return max(1, int(min(max(wanted, low), high)))


def choose_connection(
    idle: Sequence[IdleConnection],
    organisation: OrganisationId,
    values: Mapping[str, str],
    *,
    held: int,
    limit: int,
    find_victim: Callable[[Sequence[IdleConnection]], int] | None = None,
) -> UseIdle | OpenNew | WaitForIdle:
    """Choose how a statement gets a connection.

    A full pool evicts the victim that ``find_victim`` returns, by default one of the
    organisation with the most idle connections.
    """
    own = [entry for entry in idle if entry.organisation == organisation]
    if own:
        best = max(own, key=lambda entry: (entry.values == values, entry.idle_since))
        return UseIdle(best.number)
    if held < limit:
        return OpenNew(None)
    if idle and find_victim is not None:
        return OpenNew(find_victim(idle))
    if idle:
        idle_counts: dict[OrganisationId, int] = {}
        for entry in idle:
            idle_counts[entry.organisation] = idle_counts.get(entry.organisation, 0) + 1
        evicted = min(
            idle, key=lambda entry: (-idle_counts[entry.organisation], entry.idle_since)
        )
        return OpenNew(evicted.number)
    return WaitForIdle()


def may_open_transaction(
    holders: Sequence[OrganisationId], organisation: OrganisationId, limit: int
) -> bool:
    """Tell whether a transaction may begin, given who holds each idle transaction."""
    own = holders.count(organisation)
    return len(holders) < max(1, int(limit * IDLE_TRANSACTIONS_PART)) and own < max(
        1, int(limit * ORGANISATION_TRANSACTIONS_PART)
    )


def plan_setup(
    values: Mapping[str, str],
    prepared: frozenset[str],
    *,
    wanted_values: Mapping[str, str],
    wanted_prepared: Mapping[str, PreparedStatement],
) -> ConnectionSetup:
    """Return the steps from a connection's state to a session's.

    A connection with a value that the session lacks needs a reset, which also drops its
    prepared names.
    """
    reset = (
        bool(values.keys() - wanted_values.keys()) or len(prepared) > MAX_PREPARED_NAMES
    )
    if reset:
        return ConnectionSetup(
            True, tuple(wanted_values.items()), tuple(wanted_prepared.items())
        )
    missing_values = tuple(
        (name, value)
        for name, value in wanted_values.items()
        if values.get(name) != value
    )
    missing = tuple(
        (name, shape) for name, shape in wanted_prepared.items() if name not in prepared
    )
    return ConnectionSetup(False, missing_values, missing)


def expired_connections(
    idle: Sequence[IdleConnection], *, is_holder: bool, now: Seconds
) -> list[int]:
    """Return the numbers of the idle connections to close."""
    max_idle_seconds = HOLDER_IDLE_SECONDS if is_holder else FORMER_HOLDER_IDLE_SECONDS
    return [
        entry.number for entry in idle if now - entry.idle_since >= max_idle_seconds
    ]
