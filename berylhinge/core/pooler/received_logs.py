"""Decide whose log may take over from a lost primary.

Where a service has synchronous replicas, a commit is acknowledged once that many of them
have received it. Any ``replicas - synchronous replicas + 1`` of them hold every
acknowledged commit together, and the longest received log among these holds all.
"""

from __future__ import annotations

from typing import NamedTuple, TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Sequence

    from ...types import ReceivedPoint, Seconds, UpstreamId
    from .catalogue import Database

# How long a service waits for the replicas that may hold acknowledged commits. Entries of
# silent databases lapse after some 4 s and disturbances end within 20 s; an entry that
# nobody renews must not stop its service.
MISSING_LOG_WAIT_SECONDS = 30.0
# A wait that was not looked at for this long was for an earlier loss.
MISSING_LOG_LOOK_SECONDS = 5.0


class LogSurvey(NamedTuple):
    """Hold what the databases of a service have received.

    ``received`` is what they said themselves. ``at_least`` has those that were reached and
    gave no status, with what they are known to have applied.
    """

    received: dict[UpstreamId, ReceivedPoint]
    at_least: dict[UpstreamId, ReceivedPoint]


class MissingLogWait(NamedTuple):
    """Hold since when a service waits for logs, and the last look."""

    since: Seconds
    looked_at: Seconds


def are_logs_missing(
    survey: LogSurvey, replicas: Sequence[Database], synchronous_replicas: int
) -> bool:
    """Tell whether acknowledged commits may be in none of the logs that are known."""
    if synchronous_replicas < 1:
        return False
    required = max(1, len(replicas) - synchronous_replicas + 1)
    return len(survey.received) < required


def continue_log_wait(wait: MissingLogWait | None, now: Seconds) -> MissingLogWait:
    """Return the wait of a service for logs that are missing."""
    if wait is None or now - wait.looked_at >= MISSING_LOG_LOOK_SECONDS:
        return MissingLogWait(now, now)
    return wait._replace(looked_at=now)


def is_log_wait_over(wait: MissingLogWait) -> bool:
    """Tell whether a service goes on without the logs that are missing."""
    return wait.looked_at - wait.since >= MISSING_LOG_WAIT_SECONDS


def find_successors(
    survey: LogSurvey,
    replicas: Sequence[Database],
    preferred: Sequence[Database],
    *,
    synchronous_replicas: int,
    is_planned: bool,
) -> list[Database]:
    """Return the databases among which a successor is chosen.

    These are the ``preferred`` ones, which are not evacuated. A database that leaves or
    is evacuated and has received more than all others may alone hold acknowledged
    commits: it leads if the primary is lost, and a planned replacement waits until
    another one has caught up.
    """
    if synchronous_replicas < 1 or not survey.received:
        return list(preferred)
    longest = max(survey.received.values())
    ahead = [entry for entry in replicas if survey.received.get(entry.id) == longest]
    staying = {entry.id for entry in preferred if not entry.leaving}
    if any(entry.id in staying for entry in ahead):
        return list(preferred)
    # It leads until it is replaced in its turn.
    return [] if is_planned else [entry._replace(leaving=False) for entry in ahead]


def points_of(
    survey: LogSurvey, successors: Sequence[Database]
) -> dict[UpstreamId, ReceivedPoint]:
    """Return how long the logs of the successors are, as far as it is known."""
    known = {**survey.at_least, **survey.received}
    return {entry.id: known[entry.id] for entry in successors if entry.id in known}
