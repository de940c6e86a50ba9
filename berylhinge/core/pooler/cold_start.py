"""Limit the requests that a database gets while it is slow after its start.

All requests to a database pass its holder, which counts those of the last second. A new
holder does not know what its predecessor admitted, so it takes its allowance as used up
at first.
"""

from __future__ import annotations

from collections import deque
from math import floor
from typing import NamedTuple, TYPE_CHECKING

if TYPE_CHECKING:
    from ...types import Seconds

# The limit holds for each span of this length.
WINDOW_SECONDS = 1.0
# A new holder admits nothing for a whole window after its predecessor's last request, and
# for the time that the predecessor may take to learn of the change.
NEW_HOLDER_SECONDS = WINDOW_SECONDS + 0.5


class ColdTolerance(NamedTuple):
    """Tell by how much the declared limit may be exceeded in one second."""

    factor: float = 1.0
    requests: float = 0.0


class ColdStartWindow:
    """Hold when a database's holder admitted requests lately; changed in place.

    ``opens_at`` is when the holder may admit any, None if it does not hold the database.
    """

    __slots__ = ("admitted", "opens_at")

    def __init__(self) -> None:
        """Start without holding the database."""
        self.opens_at: Seconds | None = None
        self.admitted: deque[Seconds] = deque()


def requests_allowed(
    per_second: float, tolerance: ColdTolerance, *, predecessors: int = 0
) -> int:
    """Return how many requests a cold database may get in one second.

    The tolerance is left for requests that arrive closer together than they were sent;
    only a rate below one request per second uses it, to be served at all.

    A holder whose silent ``predecessors`` are still registered may hold the database
    together with them. Each successor gets half of what the one before it gets, and all
    of them half of the tolerance.
    """
    limit = per_second * tolerance.factor + tolerance.requests
    if predecessors:
        return floor(max(0.0, limit - per_second) / 2.0 ** (predecessors + 1))
    return min(max(1, floor(per_second)), floor(limit))


def record_holder(window: ColdStartWindow, *, is_holder: bool, now: Seconds) -> None:
    """Record whether this instance is the rightful holder now."""
    if not is_holder:
        window.opens_at = None
        window.admitted.clear()
    elif window.opens_at is None:
        window.opens_at = now + NEW_HOLDER_SECONDS


def wait_for_admission(window: ColdStartWindow, allowed: int, now: Seconds) -> Seconds:
    """Return in how many seconds a request may be admitted, 0 for now."""
    if window.opens_at is None or allowed <= 0:
        return WINDOW_SECONDS
    while window.admitted and window.admitted[0] + WINDOW_SECONDS <= now:
        window.admitted.popleft()
    wait = max(0.0, window.opens_at - now)
    if len(window.admitted) >= allowed:
        frees_at = window.admitted[-allowed] + WINDOW_SECONDS
        wait = max(wait, frees_at - now)
    return wait


def record_admission(window: ColdStartWindow, now: Seconds) -> None:
    """Count a request that is sent to the database."""
    window.admitted.append(now)


def may_have_restarted(
    *,
    refused_at: Seconds,
    announced_at: Seconds,
    cold_start_seconds: Seconds,
    now: Seconds,
) -> bool:
    """Tell whether a database may be cold before its announcement says so.

    A refused connection shows a stopped process, and connections may succeed again
    before the announcement of the new one arrives.
    """
    return announced_at <= refused_at and now < refused_at + cold_start_seconds
