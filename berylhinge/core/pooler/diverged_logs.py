"""Keep a former leader from leading again with commits that its replacement rolled back.

A former leader that is cut off keeps commits that its callers were told of and that its
successor never received. Were it promoted while the successor is out of reach, they
would come back, and the successor's own commits would be lost.
"""

from __future__ import annotations

from typing import NamedTuple, TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

    from ...types import LogPoint, ReceivedPoint, Seconds, Term, UpstreamId
    from .leadership import LeadershipRecord

# A service waits this long for its present leader, or for a replica that received
# commits of it, before a former leader may lead again. Databases that lose their way to
# the platform are back by then; one that is lost for good must not stop its service.
DIVERGED_LOG_WAIT_SECONDS = 10.0


class DivergedWait(NamedTuple):
    """Hold since when only diverged former leaders are reached, and the last look."""

    since: Seconds
    looked_at: Seconds


def newest_term(points: Iterable[LogPoint | ReceivedPoint | None]) -> Term:
    """Return the newest term of some log positions, 0 if none is known."""
    return max((point.term for point in points if point is not None), default=0)


def diverged_leaders(
    points: Mapping[UpstreamId, ReceivedPoint],
    record: LeadershipRecord | None,
    term: Term,
) -> set[UpstreamId]:
    """Return the former leaders without a commit of the newest term that is known."""
    if record is None:
        return set()
    return {
        name
        for name, point in points.items()
        if name in record.recorded.former and point.term < term
    }


def continue_wait(wait: DivergedWait | None, now: Seconds) -> DivergedWait:
    """Return the wait of a service of which only diverged former leaders are reached.

    One that was not looked at for as long as it lasts is over.
    """
    if wait is None or now - wait.looked_at >= DIVERGED_LOG_WAIT_SECONDS:
        return DivergedWait(now, now)
    return wait._replace(looked_at=now)


def may_lead_again(wait: DivergedWait) -> bool:
    """Tell whether a service has waited long enough for a log that has not diverged."""
    return wait.looked_at - wait.since >= DIVERGED_LOG_WAIT_SECONDS
