"""Choose which primary this instance moves out of an evacuated failure domain."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ...core.pooler.catalogue import databases_of
from ...core.pooler.evacuation import is_move_due, may_start_move, Move
from ...core.pooler.failover import PROMOTION_TIMEOUT_SECONDS
from ...core.pooler.leadership import LEASE_SECONDS

if TYPE_CHECKING:
    from collections.abc import Set as AbstractSet

    from ...core.pooler.catalogue import Database
    from ...types import Seconds
    from .fleet_view import FleetView


class EvacuationMoves:
    """Let this instance move one service at a time, by a planned replacement."""

    def __init__(self, view: FleetView, services_in_progress: AbstractSet[str]) -> None:
        """Start without moves."""
        self.view = view
        self.services_in_progress = services_in_progress
        self.last: Move | None = None
        self.attempts: dict[str, Seconds] = {}

    def claim(
        self, service: str, primary: Database, place_in_line: int, now: Seconds
    ) -> Database:
        """Return the primary, as a leaving one if this instance moves it now."""
        if not self.view.evacuations.orders:
            return primary
        promotion_seconds = PROMOTION_TIMEOUT_SECONDS
        if self.view.uses_leases(service):
            promotion_seconds += LEASE_SECONDS
        record = self.view.leadership.get(service)
        is_due = is_move_due(
            primary,
            databases_of(self.view.databases, service),
            self.view.evacuations.orders,
            place_in_line=place_in_line,
            promotion_seconds=promotion_seconds,
            recorded_at=float("-inf") if record is None else record.learned_at,
            now=now,
        )
        may_start = is_due and may_start_move(
            service,
            self.last,
            self.attempts,
            is_last_under_way=self.is_last_under_way(),
            is_last_running=self.last is not None
            and self.last.service in self.services_in_progress,
            now=now,
        )
        if not may_start:
            return primary
        self.last = Move(service, now)
        self.attempts[service] = now
        return primary._replace(leaving=True)

    def is_last_under_way(self) -> bool:
        """Return whether the primary of the last move is not yet known elsewhere."""
        if self.last is None:
            return False
        primary = self.view.primary_of(self.last.service)
        return primary is None or self.is_evacuated(primary)

    def is_evacuated(self, database: Database) -> bool:
        """Return whether a database is in a failure domain under evacuation."""
        return database.failure_domain in self.view.evacuations.active_domains()

    def as_replaced(self, primary: Database | None) -> Database | None:
        """Return a primary that is to be replaced, as a leaving one if evacuated.

        It serves until its successor announces itself.
        """
        if primary is None or not self.is_evacuated(primary):
            return primary
        return primary._replace(leaving=True)
