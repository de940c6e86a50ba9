"""Choose a connection for a unit among those that an instance holds to a database.

A connection belongs to one organisation from its start on. Session values and
prepared names are replayed, so any idle connection of the organisation will do; one
whose values fit already needs no reset.
"""

from __future__ import annotations

from typing import NamedTuple, TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Mapping, Sequence

    from ...types import OrganisationId, Seconds
    from .statements import Shape

# Parts of a database's connections that one instance may hold, from few organisations
# to many; the rest lets a successor start while those of a dead holder still count.
MIN_HELD_PART = 0.5
MAX_HELD_PART = 0.75
# Connections beside one for each organisation, for transactions that rest.
SPARE_CONNECTIONS = 2
# Connections that the rightful holder of a database keeps open while idle.
IDLE_SECONDS = 45.0
# An instance that no longer holds a database gives its connections up this soon.
GIVEN_UP_SECONDS = 1.5
# Prepared names that a connection may carry before it is reset.
MAX_PREPARED = 200


class Idle(NamedTuple):
    """Describe an idle connection."""

    number: int
    organisation: OrganisationId
    values: dict[str, str]
    prepared: frozenset[str]
    since: Seconds


class Take(NamedTuple):
    """Use this idle connection."""

    number: int


class Open(NamedTuple):
    """Open a connection, after closing ``evicted`` if it is given."""

    evicted: int | None


class Wait(NamedTuple):
    """Wait until a connection comes back."""


class Preparation(NamedTuple):
    """Bring a connection into a session's state."""

    reset: bool
    values: tuple[tuple[str, str], ...]
    prepared: tuple[tuple[str, Shape], ...]


def held_limit(max_connections: int, organisations: int) -> int:
    """Return how many connections one instance may hold to one database."""
    wanted = organisations + SPARE_CONNECTIONS
    low, high = max_connections * MIN_HELD_PART, max_connections * MAX_HELD_PART
    return max(1, int(min(max(wanted, low), high)))


def choose(
    idle: Sequence[Idle],
    organisation: OrganisationId,
    values: Mapping[str, str],
    *,
    held: int,
    limit: int,
) -> Take | Open | Wait:
    """Return the best use of the connections for one unit."""
    own = [entry for entry in idle if entry.organisation == organisation]
    if own:
        best = max(own, key=lambda entry: (entry.values == values, entry.since))
        return Take(best.number)
    if held < limit:
        return Open(None)
    if idle:
        counts: dict[OrganisationId, int] = {}
        for entry in idle:
            counts[entry.organisation] = counts.get(entry.organisation, 0) + 1
        evicted = min(
            idle, key=lambda entry: (-counts[entry.organisation], entry.since)
        )
        return Open(evicted.number)
    return Wait()


def prepare(
    values: Mapping[str, str],
    prepared: frozenset[str],
    *,
    wanted_values: Mapping[str, str],
    wanted_prepared: Mapping[str, Shape],
) -> Preparation:
    """Return the steps from a connection's state to a session's."""
    reset = bool(values.keys() - wanted_values.keys()) or len(prepared) > MAX_PREPARED
    if reset:
        return Preparation(
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
    return Preparation(False, missing_values, missing)


def expired(idle: Sequence[Idle], *, holding: bool, now: Seconds) -> list[int]:
    """Return idle connections to close."""
    kept_seconds = IDLE_SECONDS if holding else GIVEN_UP_SECONDS
    return [entry.number for entry in idle if now - entry.since >= kept_seconds]
