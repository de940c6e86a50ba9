"""Decide what an evacuated failure domain's databases may still do, and who leads.

An operator evacuates a failure domain before work on it: nothing new reaches its
databases from a declared time after the order on, until the order is taken back. Each
instance counts that time from the last moment at which the store certainly held no such
order, so that an instance that learns of it late is not late itself.
"""

from __future__ import annotations

from enum import IntEnum
from typing import NamedTuple, TYPE_CHECKING

from ...types import DatabaseRole

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping, Sequence

    from ...types import FailureDomainId, Seconds, UpstreamId
    from .catalogue import Database

# Part of the time allowed after which no new work starts. The rest is a margin for
# statements on their way and for clocks that run at different speeds.
NEW_WORK_FRACTION = 0.75
# Part of the time allowed after which open transactions are rolled back; the rest is for
# the rollback and for an answer under way.
OPEN_TRANSACTION_FRACTION = 0.9
# Time over which reads return to a failure domain: long enough for connections to be
# opened a few at a time, short beside the work that needed the evacuation.
RETURN_SECONDS = 4.0
# A primary that is to move does so within this time or another service's turn comes: a
# promotion takes some 0.3 s, and the announcement of the new primary follows it.
MOVE_TURN_SECONDS = 1.0
# Pause before another attempt to move the same service; longer than a turn, so that a
# service that cannot be moved does not keep the others waiting.
MOVE_RETRY_SECONDS = 2.0
# Time at which a caller that was refused may try again: evacuations last for longer, but
# a database may announce itself elsewhere.
REFUSED_RETRY_SECONDS = 1.0


class Stage(IntEnum):
    """Name what a database may still do, in the order of an evacuation."""

    SERVING = 0
    RETURNING = 1
    MOVING = 2
    NO_NEW_WORK = 3
    EMPTY = 4


class Evacuation(NamedTuple):
    """Describe the evacuation of a failure domain.

    ``ordered_at`` is not later than the operator's order, ``learned_at`` when it became
    known here.
    """

    ordered_at: Seconds
    learned_at: Seconds
    taken_back_at: Seconds = float("inf")


class Move(NamedTuple):
    """Describe the last attempt of this instance to move a service's primary."""

    service: str
    started_at: Seconds


def find_stage(evacuation: Evacuation | None, limit: Seconds, now: Seconds) -> Stage:
    """Return the stage of an evacuation; ``limit`` is the time allowed for it."""
    if evacuation is None:
        return Stage.SERVING
    if now >= evacuation.taken_back_at:
        is_over = now >= evacuation.taken_back_at + RETURN_SECONDS
        return Stage.SERVING if is_over else Stage.RETURNING
    passed = now - evacuation.ordered_at
    if passed >= limit * OPEN_TRANSACTION_FRACTION:
        return Stage.EMPTY
    if passed >= limit * NEW_WORK_FRACTION:
        return Stage.NO_NEW_WORK
    return Stage.MOVING


def return_share(evacuation: Evacuation | None, now: Seconds) -> float:
    """Return the part of the reads that a database gets after an evacuation."""
    if evacuation is None:
        return 1.0
    return min(1.0, max(0.0, (now - evacuation.taken_back_at) / RETURN_SECONDS))


def readable_databases(
    databases: Iterable[Database],
    evacuations: Mapping[FailureDomainId, Evacuation],
    *,
    limit: Seconds,
    draw: float,
    now: Seconds,
) -> list[Database]:
    """Return the databases that a read may use.

    Those of an evacuated domain are left out at once where another replica remains, and
    in any case when no new work may start. A returning one is used by a growing part of
    the reads: ``draw`` is a random number from 0 to 1.
    """
    preferred, possible = [], []
    for database in databases:
        evacuation = evacuations.get(database.failure_domain)
        stage = find_stage(evacuation, limit, now)
        if stage >= Stage.NO_NEW_WORK:
            continue
        possible.append(database)
        if (
            database.role is DatabaseRole.PRIMARY
            or stage is Stage.SERVING
            or (stage is Stage.RETURNING and draw < return_share(evacuation, now))
        ):
            preferred.append(database)
    has_replica = any(entry.role is not DatabaseRole.PRIMARY for entry in preferred)
    return preferred if has_replica else possible


def successors_of(
    databases: Iterable[Database], evacuated: Iterable[FailureDomainId]
) -> list[Database]:
    """Return the databases that may lead: none that leaves or is evacuated."""
    domains = frozenset(evacuated)
    return [
        entry
        for entry in databases
        if not entry.leaving and entry.failure_domain not in domains
    ]


def evacuated_domains(
    evacuations: Mapping[FailureDomainId, Evacuation], now: Seconds
) -> list[FailureDomainId]:
    """Return the failure domains under evacuation."""
    return sorted(
        name for name, entry in evacuations.items() if now < entry.taken_back_at
    )


def is_service_stopped(
    databases: Sequence[Database],
    primary: UpstreamId | None,
    evacuations: Mapping[FailureDomainId, Evacuation],
    *,
    limit: Seconds,
    now: Seconds,
) -> bool:
    """Tell whether an evacuation leaves a service without a database to lead it.

    Waiting would not help then. An evacuated primary serves until no new work may start.
    """
    evacuated = evacuated_domains(evacuations, now)
    if not any(entry.failure_domain in evacuated for entry in databases):
        return False
    if successors_of(databases, evacuated):
        return False
    return not any(
        entry.id == primary
        and find_stage(evacuations.get(entry.failure_domain), limit, now)
        < Stage.NO_NEW_WORK
        for entry in databases
    )


def is_move_due(
    primary: Database,
    databases: Iterable[Database],
    evacuations: Mapping[FailureDomainId, Evacuation],
    *,
    place_in_line: int,
    promotion_seconds: Seconds,
    recorded_at: Seconds,
    now: Seconds,
) -> bool:
    """Tell whether an instance is to move a primary out of its failure domain.

    The first in line does so at once. The others act if the first, which may not reach
    the store, did not within the time that a promotion may take: a promotion recorded
    at ``recorded_at`` is not overtaken before.
    """
    evacuated = evacuated_domains(evacuations, now)
    if primary.failure_domain not in evacuated:
        return False
    if not successors_of(databases, evacuated):
        return False
    if place_in_line == 0:
        return True
    known_at = max(evacuations[primary.failure_domain].learned_at, recorded_at)
    return now - known_at >= promotion_seconds * place_in_line


def may_start_move(
    service: str,
    last: Move | None,
    attempts: Mapping[str, Seconds],
    *,
    is_last_under_way: bool,
    is_last_running: bool = False,
    now: Seconds,
) -> bool:
    """Tell whether an instance may move a service now: it moves one at a time.

    ``last`` is the newest move, which is under way until its new primary is known, and
    runs until the platform answered; ``attempts`` has the moment of the newest attempt
    for each service.
    """
    if is_last_running:
        return False
    if now - attempts.get(service, float("-inf")) < MOVE_RETRY_SECONDS:
        return False
    if last is None or not is_last_under_way:
        return True
    return now - last.started_at >= MOVE_TURN_SECONDS
