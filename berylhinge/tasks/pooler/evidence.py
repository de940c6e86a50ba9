"""Keep what a database's answers and silences showed."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ...core.pooler.failover import answered, failed, UNKNOWN_HEALTH
from ...core.pooler.floors import Proof
from ...platform import lines
from ...types import Role
from ...wire.pooling import Proved
from ..clock import now_seconds

if TYPE_CHECKING:
    from ...core.pooler.failover import Health
    from ...platform.lines import Exchange
    from ...types import LogPoint, Seconds

# A database that answers nothing for this long while asked is looked at.
UNRESPONSIVE_SECONDS = 0.2


def told(proof: Proof | None, moment: Seconds) -> Proved | None:
    """Return a proof as others are told of it at a moment."""
    if proof is None:
        return None
    return Proved(proof.point, moment - proof.asked_at)


class Evidence:
    """Hold position, proof of leadership and health of one database."""

    def __init__(self) -> None:
        """Start without any."""
        self.point: LogPoint | None = None
        self.proven: Proof | None = None
        self.health: Health = UNKNOWN_HEALTH
        self.asked: dict[int, Seconds] = {}

    @property
    def newest_point(self) -> LogPoint | None:
        """Return the position to tell others of."""
        return self.proven.point if self.proven else self.point

    @property
    def is_failing(self) -> bool:
        """Tell whether the database has been silent or away for a while."""
        return now_seconds() - self.health.failed_since >= UNRESPONSIVE_SECONDS

    @property
    def has_failed(self) -> bool:
        """Tell whether the last thing seen was a failure."""
        return self.health.failed_since <= now_seconds()

    def note_answer(self) -> None:
        """Note that the database answered."""
        self.health = answered(self.health, now_seconds())

    def note_failure(self, asked_at: Seconds, *, refused: bool) -> None:
        """Note that a question had no answer."""
        self.health = failed(self.health, asked_at, refused=refused)

    def silent_since(self) -> Seconds | None:
        """Return since when a question has waited while nothing was answered."""
        now = now_seconds()
        oldest = min(self.asked.values(), default=now)
        if now - oldest >= UNRESPONSIVE_SECONDS and self.health.answered_at < oldest:
            return oldest
        return None

    def prove(self, asked_at: Seconds, point: LogPoint | None) -> None:
        """Note an answer that only a primary gives."""
        if point is not None:
            self.proven = Proof(asked_at, point)

    def take_status(self, answer: Exchange, asked_at: Seconds) -> None:
        """Note role and position of a status."""
        self.note_answer()
        self.point = answer.point or self.point
        status = lines.parse_status(answer.rows[0]) if answer.rows else None
        if status is None:
            return
        if status.role is Role.PRIMARY:
            self.prove(asked_at, status.point)
        else:
            self.proven = None
