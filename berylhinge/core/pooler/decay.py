"""Let what was counted lose its weight with time."""

from __future__ import annotations

from math import exp
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from ...types import Seconds


def decay_factor(since: Seconds, now: Seconds, time_constant: Seconds) -> float:
    """Return the part of a weight that is left; all of it if the clock went back."""
    return exp(-max(0.0, now - since) / time_constant)
