"""Estimate how long statements hold a slot, by priority and access.

Mean and mean deviation are moving averages (EWMA), as for the round trips of TCP
(Jacobson, 1988). One mean of all would make short statements look late and long ones
look timely.
"""

from __future__ import annotations

from typing import NamedTuple, TYPE_CHECKING

from ...types import AccessMode

if TYPE_CHECKING:
    from ...types import Seconds

# Mean assumed until the first statement of a kind has ended.
INITIAL_MEAN_SECONDS = 0.015
# Weight of the newest running time; the first ones weigh more, as in a plain mean.
RUNNING_TIME_WEIGHT = 0.1
# The answer to a read is taken as lost after this many mean running times.
LOST_ANSWER_MEANS = 12.0
LOST_ANSWER_MIN_SECONDS = 0.25


class RunningTime(NamedTuple):
    """Hold the mean and mean deviation of ``sample_count`` running times."""

    mean_seconds: Seconds = INITIAL_MEAN_SECONDS
    deviation_seconds: Seconds = 0.0
    sample_count: int = 0


UNKNOWN_RUNNING_TIME = RunningTime()


class RunningTimes:
    """Hold the estimates of one database; changed in place."""

    __slots__ = ("by_kind",)

    def __init__(self) -> None:
        """Start without measurements."""
        self.by_kind: dict[tuple[int, AccessMode], RunningTime] = {}


def running_time(times: RunningTimes, priority: int, access: AccessMode) -> RunningTime:
    """Return the estimate for statements of a priority and access."""
    return times.by_kind.get((priority, access), UNKNOWN_RUNNING_TIME)


def record_running_time(
    times: RunningTimes, priority: int, access: AccessMode, seconds: Seconds
) -> None:
    """Update an estimate with one running time."""
    known = running_time(times, priority, access)
    weight = max(RUNNING_TIME_WEIGHT, 1.0 / (known.sample_count + 1))
    error = seconds - known.mean_seconds
    deviation = known.deviation_seconds
    if known.sample_count:
        deviation += weight * (abs(error) - deviation)
    times.by_kind[priority, access] = RunningTime(
        known.mean_seconds + weight * error, deviation, known.sample_count + 1
    )


def answer_timeout(times: RunningTimes, priority: int, access: AccessMode) -> Seconds:
    """Return the time after which the answer to a read is taken as lost."""
    mean = running_time(times, priority, access).mean_seconds
    return max(LOST_ANSWER_MIN_SECONDS, mean * LOST_ANSWER_MEANS)
