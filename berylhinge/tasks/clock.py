"""Read the clock that measures ages and time limits in a fleet."""

from __future__ import annotations

import time
from math import isfinite
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from ..types import Seconds


def now_seconds() -> Seconds:
    """Return the time since the machine's start, including time suspended."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def rounded_age(moment: Seconds) -> Seconds | None:
    """Return the age of a moment in seconds, rounded for a log; None for never."""
    age = now_seconds() - moment
    return round(age, 3) if isfinite(age) else None
