"""Track the writes that wait for their answer or acknowledgement."""

from __future__ import annotations

import time
from itertools import count
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from ..types import Term
    from .http_connection import HttpConnection

LATE_ANSWER_TIMEOUT_SECONDS = 1.0


class PendingWrite:
    """Represent a write that waits for its answer or acknowledgement.

    It has a connection only while its answer is outstanding.
    """

    def __init__(self, term: Term, *, idempotent: bool) -> None:
        """Start without a connection."""
        self.term = term
        self.idempotent = idempotent
        self.started_at = time.monotonic()
        self.superseded_at: float | None = None
        self.connection: HttpConnection | None = None


class PendingWrites:
    """Represent a group's pending writes, oldest first."""

    def __init__(self) -> None:
        """Start without writes."""
        self.writes: dict[int, PendingWrite] = {}
        self.write_numbers = count(1)

    @property
    def oldest_started_at(self) -> float | None:
        """Return the start time of the oldest pending write, if any."""
        oldest = next(iter(self.writes.values()), None)
        return oldest.started_at if oldest else None

    def add_write(self, write: PendingWrite) -> int:
        """Add a write and return its number."""
        number = next(self.write_numbers)
        self.writes[number] = write
        return number

    def remove_write(self, number: int) -> None:
        """Remove a write by its number."""
        del self.writes[number]

    def abort_superseded(self, term: Term, now: float) -> None:
        """Stop waiting for answers of primaries that a newer term has superseded.

        An idempotent write stops at once, because it can be retried. Any other write
        first waits for a late answer: a primary that was only paused may still report
        the true outcome.
        """
        for write in list(self.writes.values()):
            if write.connection is None or write.term >= term:
                continue
            write.superseded_at = write.superseded_at or now
            if (
                write.idempotent
                or now - write.superseded_at >= LATE_ANSWER_TIMEOUT_SECONDS
            ):
                write.connection.close()
