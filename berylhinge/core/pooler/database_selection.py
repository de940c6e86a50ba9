"""Choose the instance that holds a database's connections and where a read runs.

All connections to a database are pooled on one instance, its holder, so that its few
connections and slots serve every caller of the fleet. Holders need no agreement: two
instances that hold one database at the same time only share its connections.
"""

from __future__ import annotations

from typing import NamedTuple, TYPE_CHECKING

from ...types import DatabaseRole
from .catalogue import Consistency

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Mapping

    from ...types import FailureDomainId, InstanceId, LogPoint, RegionId, Seconds
    from .catalogue import Database

# A round trip between failure domains and the price of its traffic, as waiting time.
CROSS_DOMAIN_COST_SECONDS = 0.015
# Capacity that reads leave on primaries for writes, as waiting time of a read.
PRIMARY_COST_SECONDS = 0.003
# An observed log position may be older than the database's own by a heartbeat.
OBSERVED_LAG_MARGIN_SECONDS = 0.1

# A replica that follows its primary is some hundredths of a second behind; routes that
# read replicas accept data that is a second old or more.
BEHIND_SECONDS = 0.5


class DatabaseObservation(NamedTuple):
    """Hold the last known state of a database.

    ``point`` is its log position as of ``observed_at``, ``wait_seconds`` its expected
    queueing time. Reads pass it over until ``lagging_until``, and rank it lower until
    ``avoided_until``.
    """

    point: LogPoint | None
    observed_at: Seconds
    wait_seconds: Seconds
    lagging_until: Seconds
    avoided_until: Seconds


UNOBSERVED = DatabaseObservation(None, float("-inf"), 0.0, float("-inf"), float("-inf"))


class ReadRequirement(NamedTuple):
    """Describe how recent the data of a read must be.

    ``floor`` is the lowest log position that it may run at, ``session_point`` that of
    the session's own newest commit.
    """

    consistency: Consistency
    floor: LogPoint | None
    session_point: LogPoint | None
    max_staleness_seconds: Seconds


def holder_order(
    ranked: Iterable[InstanceId],
    failure_domains: Mapping[InstanceId, FailureDomainId],
    failure_domain: FailureDomainId,
    regions: Mapping[FailureDomainId, RegionId],
) -> list[InstanceId]:
    """Return the usable instances in the order in which they hold a database.

    Those in the database's failure domain come first, then those in its region.
    ``ranked`` has all instances in the database's rendezvous order,
    ``failure_domains`` the usable ones.
    """

    def distance(name: InstanceId) -> tuple[bool, bool]:
        domain = failure_domains[name]
        return (
            domain != failure_domain,
            regions.get(domain) != regions.get(failure_domain),
        )

    return sorted((name for name in ranked if name in failure_domains), key=distance)


def read_order(
    databases: Iterable[Database],
    observations: Mapping[str, DatabaseObservation],
    requirement: ReadRequirement,
    *,
    failure_domain: FailureDomainId,
    lag: Callable[[LogPoint], Seconds],
    now: Seconds,
) -> list[Database]:
    """Return the databases that can serve a read, best first; primaries always can."""
    usable = [
        (
            expected_cost(
                database,
                observations.get(database.id, UNOBSERVED),
                failure_domain,
                now,
            ),
            database.id,
            database,
        )
        for database in usable_databases(
            databases, observations, requirement, lag=lag, now=now
        )
    ]
    usable.sort(key=lambda entry: entry[:2])
    return [database for _, _, database in usable]


def usable_databases(
    databases: Iterable[Database],
    observations: Mapping[str, DatabaseObservation],
    requirement: ReadRequirement,
    *,
    lag: Callable[[LogPoint], Seconds],
    now: Seconds,
) -> list[Database]:
    """Return the databases that can serve a read; primaries always can."""
    return [
        database
        for database in databases
        if database.role is DatabaseRole.PRIMARY
        or can_serve_read(
            observations.get(database.id, UNOBSERVED), requirement, lag, now
        )
    ]


def can_serve_read(
    observation: DatabaseObservation,
    requirement: ReadRequirement,
    lag: Callable[[LogPoint], Seconds],
    now: Seconds,
) -> bool:
    """Tell whether a replica has probably reached the position that a read needs."""
    if requirement.consistency is Consistency.PRIMARY or requirement.floor is None:
        return False
    if now < observation.lagging_until:
        return False
    if observation.point is None:
        # A lagging replica refuses the read before it runs anything.
        return True
    if (
        requirement.session_point is not None
        and observation.point < requirement.session_point
    ):
        return False
    if observation.point >= requirement.floor:
        return True
    observed_lag = lag_when_observed(observation, observation.point, lag, now)
    return (
        observed_lag + OBSERVED_LAG_MARGIN_SECONDS < requirement.max_staleness_seconds
    )


def is_behind(
    observation: DatabaseObservation,
    *,
    lag: Callable[[LogPoint], Seconds],
    now: Seconds,
) -> bool:
    """Tell whether a replica was far behind, or at no known position, when observed."""
    if observation.point is None:
        return True
    observed_lag = lag_when_observed(observation, observation.point, lag, now)
    return observed_lag >= BEHIND_SECONDS


def lag_when_observed(
    observation: DatabaseObservation,
    point: LogPoint,
    lag: Callable[[LogPoint], Seconds],
    now: Seconds,
) -> Seconds:
    """Return how far behind its known position was when a replica was observed there."""
    return lag(point) - (now - observation.observed_at)


def expected_cost(
    database: Database,
    observation: DatabaseObservation,
    failure_domain: FailureDomainId,
    now: Seconds,
) -> Seconds:
    """Return the expected wait at a database, plus its other costs as waiting time."""
    cross_domain = (
        CROSS_DOMAIN_COST_SECONDS if database.failure_domain != failure_domain else 0.0
    )
    primary = PRIMARY_COST_SECONDS if database.role is DatabaseRole.PRIMARY else 0.0
    avoided = max(0.0, observation.avoided_until - now)
    return observation.wait_seconds + cross_domain + primary + avoided
