"""Find the floor of reads without a token by shared confirmation rounds."""

from __future__ import annotations

from typing import NamedTuple, TYPE_CHECKING

if TYPE_CHECKING:
    from ..types import LogPoint, Seconds
    from .group_view import GroupView

ROUND_TIMEOUT_SECONDS = 0.05
HISTORY_LENGTH = 64


class Floor(NamedTuple):
    """Bound from above every write acknowledged before a round began."""

    asked_at: Seconds
    point: LogPoint


class FloorRounds(NamedTuple):
    """Hold the rounds of a group; a round began at ``started_at`` or none runs.

    ``wanted_at`` is the arrival of the newest request that still has no floor.
    """

    started_at: Seconds | None
    sent_at: Seconds
    wanted_at: Seconds | None
    history: tuple[Floor, ...]


class RoundStep(NamedTuple):
    """Return the new rounds, and whether to ask every member for its status now."""

    rounds: FloorRounds
    ask: bool


NO_ROUNDS = FloorRounds(None, 0.0, None, ())


def floor_since(view: GroupView, since: Seconds) -> LogPoint | None:
    """Return a floor proven by answers to questions asked at or after a moment.

    An acknowledged write stands on a majority, so at least ``quorum - silent`` of
    the answering members hold it: the greatest of their last entries of that rank
    is at or past it, whatever their terms are.
    """
    lasts = [
        reading.last for reading in view.readings.values() if reading.asked_at >= since
    ]
    if len(lasts) < view.quorum:
        return None
    silent = len(view.members) - len(lasts)
    lasts.sort(reverse=True)
    return lasts[view.quorum - silent - 1]


def want_floor(rounds: FloorRounds, arrived_at: Seconds, now: Seconds) -> RoundStep:
    """Join a round that begins after the request, or begin one now."""
    rounds = rounds._replace(wanted_at=max(arrived_at, rounds.wanted_at or arrived_at))
    return _begin_if_idle(rounds, now)


def advance_rounds(rounds: FloorRounds, view: GroupView, now: Seconds) -> RoundStep:
    """End a round that a majority answered, and begin the next one if wanted."""
    started = rounds.started_at
    if started is None:
        return _begin_if_idle(rounds, now)
    point = floor_since(view, started)
    if point is None:
        return _ask_again(rounds, now)
    history = (*rounds.history, Floor(started, point))[-HISTORY_LENGTH:]
    wanted = rounds.wanted_at
    if wanted is not None and wanted <= started:
        wanted = None
    return _begin_if_idle(FloorRounds(None, rounds.sent_at, wanted, history), now)


def floor_for(
    rounds: FloorRounds,
    view: GroupView,
    arrived_at: Seconds,
    max_age_seconds: Seconds = 0.0,
) -> LogPoint | None:
    """Return the lowest floor whose questions are young enough for a read."""
    oldest = arrived_at - max_age_seconds
    points = [floor.point for floor in rounds.history if floor.asked_at >= oldest]
    fresh = floor_since(view, oldest)
    if fresh is not None:
        points.append(fresh)
    return min(points, default=None)


def _ask_again(rounds: FloorRounds, now: Seconds) -> RoundStep:
    if now - rounds.sent_at < ROUND_TIMEOUT_SECONDS:
        return RoundStep(rounds, False)
    return RoundStep(rounds._replace(sent_at=now), True)


def _begin_if_idle(rounds: FloorRounds, now: Seconds) -> RoundStep:
    if rounds.started_at is not None or rounds.wanted_at is None:
        return RoundStep(rounds, False)
    return RoundStep(rounds._replace(started_at=now, sent_at=now), True)
