"""Detect messages that arrive long after they were sent, without synchronised clocks.

The clocks of two instances differ by an offset that drifts slowly. The smallest recent
difference between receive and send time belongs to the fastest message; any other
message exceeds it by its delay beyond the fastest one's (Paxson, 1998, on one-way
delays).
"""

from __future__ import annotations

from typing import NamedTuple, TYPE_CHECKING

if TYPE_CHECKING:
    from ..types import Seconds

# Clocks drift by at most 200 ppm, which is 12 ms in this window.
OFFSET_WINDOW_SECONDS = 60.0


class ClockOffset(NamedTuple):
    """Describe the smallest time differences in the current and the previous window.

    A difference is the receive time by the recipient's clock less the send time by
    the sender's. ``window_start`` is the start of the current window.
    """

    window_start: Seconds
    window_minimum: Seconds
    previous_minimum: Seconds


def measure_excess_delay(
    offset: ClockOffset | None, sent_at: Seconds, now: Seconds
) -> tuple[ClockOffset, Seconds]:
    """Return the updated offset, and the message's delay beyond the fastest one's."""
    difference = now - sent_at
    if offset is None:
        return ClockOffset(now, difference, difference), 0.0
    if now - offset.window_start >= OFFSET_WINDOW_SECONDS:
        offset = ClockOffset(now, difference, offset.window_minimum)
    smallest = min(offset.window_minimum, difference)
    offset = offset._replace(window_minimum=smallest)
    return offset, difference - min(smallest, offset.previous_minimum)
