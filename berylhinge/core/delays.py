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
SPAN_SECONDS = 60.0


class Offset(NamedTuple):
    """Describe the smallest time differences in the current and the previous window.

    A difference is the receive time by the recipient's clock less the send time by
    the sender's. ``began_at`` is the start of the current window.
    """

    began_at: Seconds
    smallest: Seconds
    former: Seconds


def excess(
    offset: Offset | None, sent_at: Seconds, now: Seconds
) -> tuple[Offset, Seconds]:
    """Return the updated offset, and the message's delay beyond the fastest one's."""
    difference = now - sent_at
    if offset is None:
        return Offset(now, difference, difference), 0.0
    if now - offset.began_at >= SPAN_SECONDS:
        offset = Offset(now, difference, offset.smallest)
    smallest = min(offset.smallest, difference)
    offset = offset._replace(smallest=smallest)
    return offset, difference - min(smallest, offset.former)
