"""Define what operators declare and what databases announce of themselves."""

from __future__ import annotations

from enum import StrEnum
from types import MappingProxyType
from typing import NamedTuple, TYPE_CHECKING

from ...types import (
    DatabaseRole,
    FailureDomainId,
    OrganisationId,
    RegionId,
    Seconds,
    UpstreamId,
)

if TYPE_CHECKING:
    from collections.abc import Mapping

# Fraction of the time for which a leaving database takes new work that is used.
LEAVING_WORK_FRACTION = 0.75


class Consistency(StrEnum):
    """Name how recent the data of a route's reads must be."""

    PRIMARY = "primary"
    BOUNDED = "bounded"
    SESSION = "session"


class Route(NamedTuple):
    """Describe a database name on which callers open sessions.

    Reads of consistency ``BOUNDED`` accept data that is ``max_staleness_seconds`` old.
    A lower ``priority`` goes first; a ``public`` route needs no API key. Statements
    stay in the ``homes``, if there are any.
    """

    name: str
    service: str
    consistency: Consistency
    timeout_seconds: Seconds
    latency_goal_seconds: Seconds
    max_staleness_seconds: Seconds
    priority: int
    public: bool
    homes: frozenset[RegionId] = frozenset()


# Named to databases for callers whose key no organisation holds.
NO_ORGANISATION = "-"


class Service(NamedTuple):
    """Describe a replicated group of databases.

    A cold database gets ``cold_per_second`` requests per second; 0 is no limit. It is
    cold for ``cold_start_seconds`` after its start. A commit is acknowledged once
    ``synchronous_replicas`` have received it.
    """

    name: str
    max_connections: int
    cold_per_second: float = 0.0
    cold_start_seconds: Seconds = 0.0
    synchronous_replicas: int = 0


class Quota(NamedTuple):
    """Limit an organisation's operations on the whole fleet; the rate is per second."""

    rate: float
    burst: float


class Declarations(NamedTuple):
    """Hold one version of what operators declare; ``keys`` are callers' API keys.

    ``homes`` are the regions to which an organisation's statements are limited.
    """

    version: int
    routes: dict[str, Route]
    services: dict[str, Service]
    keys: dict[str, OrganisationId]
    quotas: dict[OrganisationId, Quota]
    idle_transaction_seconds: Seconds
    homes: Mapping[OrganisationId, frozenset[RegionId]] = MappingProxyType({})

    def organisation_of(self, key: str) -> OrganisationId:
        """Return the organisation that holds a key, one without a name for none."""
        return self.keys.get(key, NO_ORGANISATION)

    def synchronous_replicas(self, service: str) -> int:
        """Return how many replicas receive a commit before it is acknowledged."""
        declared = self.services.get(service)
        return 0 if declared is None else declared.synchronous_replicas


class Database(NamedTuple):
    """Describe one database as it announced itself.

    ``led_since`` is the store's revision at which it first announced itself as primary.
    """

    id: UpstreamId
    service: str
    address: str
    failure_domain: FailureDomainId
    slots: int
    role: DatabaseRole
    leaving: bool
    born_ms: int
    led_since: int = 0


NO_DECLARATIONS = Declarations(0, {}, {}, {}, {}, 3.0)


def scarce_services(declarations: Declarations) -> frozenset[str]:
    """Return the services with fewer connections a database than organisations."""
    organisations = len(set(declarations.keys.values()))
    return frozenset(
        service.name
        for service in declarations.services.values()
        if organisations > service.max_connections
    )


def may_take_work(
    database: Database, leaving_since: Seconds | None, limit: Seconds, now: Seconds
) -> bool:
    """Tell whether a database may still be sent new work.

    A leaving database goes on for a while, since a service without a primary is worse
    than one with a leaving primary. ``limit`` is for how long it takes new work; the
    last part of that is a margin for work on its way.
    """
    if not database.leaving or leaving_since is None:
        return True
    return now - leaving_since < limit * LEAVING_WORK_FRACTION


def databases_of(databases: dict[UpstreamId, Database], service: str) -> list[Database]:
    """Return a service's databases by id."""
    return sorted(
        (entry for entry in databases.values() if entry.service == service),
        key=lambda entry: entry.id,
    )
