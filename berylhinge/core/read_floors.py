"""Determine the floor of reads without a token by shared confirmation rounds.

A floor is the lowest log position that a read must have reached. In a round every
member is asked for its status.
"""

from __future__ import annotations

from typing import NamedTuple, TYPE_CHECKING

if TYPE_CHECKING:
    from ..types import LogPoint, Seconds
    from .group_view import GroupView

ROUND_TIMEOUT_SECONDS = 0.05
MAX_FLOOR_HISTORY = 64


class ReadFloor(NamedTuple):
    """Give a log position at or past every write acknowledged before a round began."""

    asked_at: Seconds
    point: LogPoint


class ConfirmationRounds(NamedTuple):
    """Describe the rounds of a group and the floors that they found.

    A round is running if ``started_at`` is set. ``requested_at`` is the arrival of the
    newest request that still has no floor, or None.
    """

    started_at: Seconds | None
    sent_at: Seconds
    requested_at: Seconds | None
    history: tuple[ReadFloor, ...]


class RoundStep(NamedTuple):
    """Give the new rounds and whether to ask every member for its status now."""

    rounds: ConfirmationRounds
    request_status: bool


NO_ROUNDS = ConfirmationRounds(None, 0.0, None, ())


def floor_since(view: GroupView, since: Seconds) -> LogPoint | None:
    """Return a floor proven by answers to requests sent at or after ``since``.

    An acknowledged write is on a majority, so at least ``quorum - unanswered`` of the
    members that answered hold it. Hence the last entry of that rank among theirs,
    counted from the greatest, is at or past the write, whatever their terms are.
    """
    log_points = [
        observation.last
        for observation in view.observations.values()
        if observation.asked_at >= since
    ]
    if len(log_points) < view.quorum:
        return None
    unanswered = len(view.members) - len(log_points)
    log_points.sort(reverse=True)
    return log_points[view.quorum - unanswered - 1]


def request_floor(
    rounds: ConfirmationRounds, arrived_at: Seconds, now: Seconds
) -> RoundStep:
    """Request a floor: begin a round now or, if one is running, after it."""
    rounds = rounds._replace(
        requested_at=max(arrived_at, rounds.requested_at or arrived_at)
    )
    return _begin_if_requested(rounds, now)


def advance_rounds(
    rounds: ConfirmationRounds, view: GroupView, now: Seconds
) -> RoundStep:
    """End a round that a majority answered, and begin the next one if requested."""
    started = rounds.started_at
    if started is None:
        return _begin_if_requested(rounds, now)
    point = floor_since(view, started)
    if point is None:
        return _resend_if_overdue(rounds, now)
    history = (*rounds.history, ReadFloor(started, point))[-MAX_FLOOR_HISTORY:]
    requested_at = rounds.requested_at
    if requested_at is not None and requested_at <= started:
        requested_at = None
    return _begin_if_requested(
        ConfirmationRounds(None, rounds.sent_at, requested_at, history), now
    )


def floor_for_read(
    rounds: ConfirmationRounds,
    view: GroupView,
    arrived_at: Seconds,
    max_age_seconds: Seconds = 0.0,
) -> LogPoint | None:
    """Return the lowest floor from status requests that are recent enough for a read.

    ``max_age_seconds`` is how long before the read's arrival they may have been sent.
    """
    earliest = arrived_at - max_age_seconds
    points = [floor.point for floor in rounds.history if floor.asked_at >= earliest]
    current = floor_since(view, earliest)
    if current is not None:
        points.append(current)
    return min(points, default=None)


def _resend_if_overdue(rounds: ConfirmationRounds, now: Seconds) -> RoundStep:
    if now - rounds.sent_at < ROUND_TIMEOUT_SECONDS:
        return RoundStep(rounds, False)
    return RoundStep(rounds._replace(sent_at=now), True)


def _begin_if_requested(rounds: ConfirmationRounds, now: Seconds) -> RoundStep:
    if rounds.started_at is not None or rounds.requested_at is None:
        return RoundStep(rounds, False)
    return RoundStep(rounds._replace(started_at=now, sent_at=now), True)
