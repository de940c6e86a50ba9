"""Decide whether a peer that does not answer is dead or only starting.

When the whole fleet starts anew, the store still holds the registrations of the former
processes, and some of the new ones listen later than others. Taking the silence of a
peer for its death moves its databases and rates to others just when they come up.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from ...types import Seconds

# A process that starts with the others listens within this time; instances that lost
# power together were seen to start within 0.2 s and to listen 0.15 s later.
STARTING_SECONDS = 1.0


def may_be_starting(*, has_been_heard: bool, started_at: Seconds, now: Seconds) -> bool:
    """Return whether a silent peer may start together with this process.

    ``has_been_heard`` tells whether this process has heard from the peer, whose silence
    then means something.
    """
    return not has_been_heard and now - started_at < STARTING_SECONDS
