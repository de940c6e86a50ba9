"""Track the state of one database by its answers and silences."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ...core.pooler.failover import record_answer, record_failure, UNKNOWN_HEALTH
from ...core.pooler.floors import FloorProof
from ...platform import line_protocol
from ...types import DatabaseRole, LogPoint
from ...wire.pooling import LeadershipProof
from ..clock import now_seconds

if TYPE_CHECKING:
    from ...core.pooler.failover import DatabaseHealth
    from ...platform.line_protocol import DatabaseAnswer
    from ...types import Seconds

# A database that leaves a request unanswered for this long is probed, and counts as
# failing while the failure lasts.
UNRESPONSIVE_SECONDS = 0.2


def proof_for_peer(proof: FloorProof | None, moment: Seconds) -> LeadershipProof | None:
    """Return a leadership proof as a message, with its age at a moment."""
    if proof is None:
        return None
    return LeadershipProof(proof.point, moment - proof.asked_at)


class DatabaseTracker:
    """Hold the log position, the leadership proof and the health of one database."""

    def __init__(self) -> None:
        """Start without an answer or a failure."""
        self.point: LogPoint | None = None
        self.leadership_proof: FloorProof | None = None
        self.health: DatabaseHealth = UNKNOWN_HEALTH
        self.pending_since: dict[int, Seconds] = {}

    @property
    def newest_point(self) -> LogPoint | None:
        """Return the log position to report; a leadership proof takes precedence."""
        return self.leadership_proof.point if self.leadership_proof else self.point

    @property
    def answer_age_seconds(self) -> Seconds:
        """Return how long ago the database answered, infinity if it never did."""
        return now_seconds() - self.health.answered_at

    @property
    def is_unresponsive(self) -> bool:
        """Return whether the failure has lasted ``UNRESPONSIVE_SECONDS`` or longer."""
        return now_seconds() - self.health.failed_since >= UNRESPONSIVE_SECONDS

    @property
    def has_failed(self) -> bool:
        """Return whether the last observation was a failure."""
        return self.health.failed_since <= now_seconds()

    def record_answer(self) -> None:
        """Record that the database answered."""
        self.health = record_answer(self.health, now_seconds())

    def record_failure(self, asked_at: Seconds, *, refused: bool) -> None:
        """Record that a request sent at ``asked_at`` had no answer."""
        self.health = record_failure(self.health, asked_at, refused=refused)

    def unanswered_since(self) -> Seconds | None:
        """Return since when requests are unanswered; None if not for long."""
        now = now_seconds()
        oldest = min(self.pending_since.values(), default=now)
        if now - oldest >= UNRESPONSIVE_SECONDS and self.health.answered_at < oldest:
            return oldest
        return None

    def record_proof(self, asked_at: Seconds, point: LogPoint | None) -> None:
        """Record the leadership proof of an answer that only a primary gives."""
        if point is not None:
            self.leadership_proof = FloorProof(asked_at, point)

    def record_status(
        self, answer: DatabaseAnswer, asked_at: Seconds, *, may_lead: bool
    ) -> bool:
        """Record a status, and return whether the database says that it is primary.

        It proves nothing by that unless it ``may_lead``.
        """
        self.record_answer()
        status = line_protocol.parse_status(answer.rows[0]) if answer.rows else None
        self.point = answer.point or self.point
        is_primary = status is not None and status.role is DatabaseRole.PRIMARY
        if status is not None and is_primary and may_lead:
            # A primary has applied what it has received.
            received = status.received
            self.record_proof(asked_at, LogPoint(*received) if received else None)
        elif status is not None and not is_primary:
            self.leadership_proof = None
        return is_primary
