"""List announced instances as they were some seconds ago."""

from __future__ import annotations

from collections import deque
from typing import NamedTuple, TYPE_CHECKING

if TYPE_CHECKING:
    from ..wire.platform import InstanceRecord


class Announcement(NamedTuple):
    """Hold one record and when it came."""

    at: float
    record: InstanceRecord


class InstanceDirectory:
    """Keep announcements for as long as the lagging list needs them.

    ``now`` is monotonic seconds; a record lapses ``ttl_seconds`` after its
    last announcement, and both show ``lag_seconds`` late.
    """

    def __init__(self, *, ttl_seconds: float, lag_seconds: float) -> None:
        """Start empty."""
        self.ttl_seconds = ttl_seconds
        self.lag_seconds = lag_seconds
        self.history: deque[Announcement] = deque()

    def announce(self, record: InstanceRecord, now: float) -> None:
        """Take a record."""
        self.history.append(Announcement(now, record))
        self.forget(now)

    def forget(self, now: float) -> None:
        """Drop announcements that no list can show any more."""
        oldest = now - self.lag_seconds - self.ttl_seconds
        while self.history and self.history[0].at < oldest:
            self.history.popleft()

    def list(self, now: float) -> list[InstanceRecord]:
        """Return the records as they were ``lag_seconds`` ago."""
        seen_at = now - self.lag_seconds
        newest: dict[str, Announcement] = {}
        for item in self.history:
            if seen_at - self.ttl_seconds <= item.at <= seen_at:
                newest[item.record["instance"]] = item
        return [item.record for _, item in sorted(newest.items())]
