"""Decide when a primary must be replaced and which database takes over.

Only the instance that holds the promotion duty asks for a promotion, with the revision
of the duty's key as fencing token. A primary that other instances reach isn't replaced:
an instance that alone has lost it gives up its connections instead.
"""

from __future__ import annotations

from enum import StrEnum
from typing import NamedTuple, TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Collection, Iterable, Mapping

    from ...types import ReceivedPoint, Seconds, UpstreamId
    from .catalogue import Database

# A refused connection shows a stopped process, so other instances are asked early.
REFUSED_CHECK_SECONDS = 0.1
# Longer than nearly every statement takes; a check by new connections follows.
SILENCE_CHECK_SECONDS = 0.25
# Each further instance in line for the promotion duty waits this much longer.
STANDBY_DELAY_SECONDS = 0.6
# A promotion that is not over within this time is asked for again.
PROMOTION_TIMEOUT_SECONDS = 2.0


class DatabaseHealth(NamedTuple):
    """Hold when a database last answered and since when it fails, infinite if never."""

    answered_at: Seconds
    failed_since: Seconds
    refused: bool


class Verdict(StrEnum):
    """Name what to do about a primary: keep it, ask other instances, or replace it."""

    KEEP = "keep"
    CHECK = "check"
    REPLACE = "replace"


UNKNOWN_HEALTH = DatabaseHealth(float("-inf"), float("inf"), False)


def record_answer(health: DatabaseHealth, now: Seconds) -> DatabaseHealth:
    """Record an answer, which ends a failure."""
    return DatabaseHealth(max(now, health.answered_at), float("inf"), False)


def record_failure(
    health: DatabaseHealth, now: Seconds, *, refused: bool
) -> DatabaseHealth:
    """Record a failed connection attempt, or a silence since ``now``.

    A database that answered another request since then has been silent only after that.
    """
    since = min(health.failed_since, max(now, health.answered_at))
    return DatabaseHealth(health.answered_at, since, refused or health.refused)


def judge_primary(
    health: DatabaseHealth,
    primary: Database | None,
    *,
    place_in_line: int,
    now: Seconds,
) -> Verdict:
    """Decide whether to keep a primary, have others check it, or replace it."""
    standby_delay = STANDBY_DELAY_SECONDS * place_in_line
    if primary is None or primary.leaving:
        return Verdict.REPLACE
    limit = REFUSED_CHECK_SECONDS if health.refused else SILENCE_CHECK_SECONDS
    if now - health.failed_since >= limit + standby_delay:
        return Verdict.CHECK
    return Verdict.KEEP


def choose_successor(
    candidates: Iterable[Database],
    points: Mapping[UpstreamId, ReceivedPoint],
    *,
    preferred: UpstreamId = "",
    former: Collection[UpstreamId] = (),
) -> Database | None:
    """Return the reachable database with the longest log.

    ``points`` has what each reachable one has received. Ties go to ``preferred``,
    whose earlier promotion may still take effect, else to one that is not among the
    ``former`` leaders, which would have to prove that it leads again.
    """
    usable = [entry for entry in candidates if entry.id in points and not entry.leaving]
    return max(
        usable,
        key=lambda entry: (
            points[entry.id],
            entry.id == preferred,
            entry.id not in former,
            entry.id,
        ),
        default=None,
    )
