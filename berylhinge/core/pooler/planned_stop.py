"""Decide what an instance that was asked to stop still takes on.

Callers come for a while after the request, until the load balancer has noticed. Then
sessions end as soon as they are idle. A statement is taken only if its answer is due
before the process ends; one that is not is refused at once, with the promise that
nothing of it is kept, so that its caller can go to another instance while there is time.
"""

from __future__ import annotations

from typing import NamedTuple, TYPE_CHECKING

if TYPE_CHECKING:
    from ...types import Seconds

# The load balancer removes an instance after two failed probes, 1 s apart; until then
# new callers still arrive.
BALANCER_DELAY_SECONDS = 2.5
# Fraction of the grace period that open transactions have to end by themselves.
FREE_FRACTION = 0.5
# Fraction after which no answer may be due any more. The rest is for answers that come
# later than they are due, for the closing of sessions, and for the end of the process.
ANSWERED_FRACTION = 0.85
# Fraction after which every session is closed, whatever still runs.
CLOSED_FRACTION = 0.9
# Fraction after which the process ends.
END_FRACTION = 0.95


class StopSchedule(NamedTuple):
    """Hold the moments of a planned stop."""

    begins_at: Seconds
    closes_idle_at: Seconds
    free_until: Seconds
    answered_by: Seconds
    closes_all_at: Seconds
    ends_at: Seconds


def schedule_stop(now: Seconds, grace_seconds: Seconds) -> StopSchedule:
    """Return the moments of a stop that is asked for now."""
    return StopSchedule(
        begins_at=now,
        closes_idle_at=now + min(BALANCER_DELAY_SECONDS, grace_seconds * FREE_FRACTION),
        free_until=now + grace_seconds * FREE_FRACTION,
        answered_by=now + grace_seconds * ANSWERED_FRACTION,
        closes_all_at=now + grace_seconds * CLOSED_FRACTION,
        ends_at=now + grace_seconds * END_FRACTION,
    )


def may_start_statement(
    stop: StopSchedule | None, now: Seconds, limit_seconds: Seconds
) -> bool:
    """Tell whether a statement may start that is answered within a time limit."""
    if stop is None or now < stop.free_until:
        return True
    return now + limit_seconds <= stop.answered_by


def are_idle_sessions_ended(stop: StopSchedule | None, now: Seconds) -> bool:
    """Tell whether sessions end as soon as they are idle, and no other one opens."""
    return stop is not None and now >= stop.closes_idle_at


def are_transactions_ended(stop: StopSchedule | None, now: Seconds) -> bool:
    """Tell whether no statement of an open transaction may start any more."""
    return stop is not None and now >= stop.answered_by
