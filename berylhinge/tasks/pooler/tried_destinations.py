"""Remember where a statement did not run, and how long to wait before trying again."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from ...types import InstanceId, Seconds, UpstreamId

# Pause before the next attempt. It grows by the factor up to the maximum; a change in
# the view ends it and resets it to the minimum.
RETRY_MIN_PAUSE_SECONDS = 0.03
RETRY_MAX_PAUSE_SECONDS = 0.12
RETRY_PAUSE_GROWTH = 2.0
# Reasons after which the next instance in line for the database is tried.
NEXT_HOLDER_REASONS = frozenset(
    {"given-up", "lead-unconfirmed", "peer-lost", "not-holding", "stopping"}
)


class TriedDestinations:
    """Record where a statement did not run, until the view may have changed."""

    def __init__(self) -> None:
        """Start without failed attempts."""
        self.destinations: set[tuple[InstanceId, UpstreamId]] = set()
        self.logged: set[tuple[InstanceId, UpstreamId, str]] = set()
        self.pause_seconds: Seconds = RETRY_MIN_PAUSE_SECONDS
        self.has_asked_for_proof = False
        self.skipped_holders: set[InstanceId] = set()

    def add(self, holder: InstanceId, database: UpstreamId, reason: str) -> None:
        """Add a failed attempt, and whether the next instance in line may be tried."""
        self.destinations.add((holder, database))
        if reason in NEXT_HOLDER_REASONS:
            self.skipped_holders.add(holder)

    def is_first(self, holder: InstanceId, database: UpstreamId, reason: str) -> bool:
        """Return whether a failure is the first of its kind, and remember it."""
        failure = (holder, database, reason)
        if failure in self.logged:
            return False
        self.logged.add(failure)
        return True

    def clear(self, *, has_view_changed: bool) -> None:
        """Allow every destination again, after a longer pause if nothing changed."""
        self.destinations.clear()
        self.skipped_holders.clear()
        if has_view_changed:
            self.pause_seconds = RETRY_MIN_PAUSE_SECONDS
        else:
            longer = self.pause_seconds * RETRY_PAUSE_GROWTH
            self.pause_seconds = min(RETRY_MAX_PAUSE_SECONDS, longer)
