"""Look at databases that led before, or lead again, when a primary is missing."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ...core.pooler.catalogue import databases_of
from ...core.pooler.database_selection import UNOBSERVED
from ...core.pooler.diverged_logs import (
    continue_wait,
    diverged_leaders,
    DivergedWait,
    may_lead_again,
    newest_term,
)
from ...core.pooler.floors import newest_proof
from ...core.pooler.leadership import primary_of
from ..clock import now_seconds

if TYPE_CHECKING:
    from ...core.pooler.catalogue import Database
    from ...core.pooler.leadership import LeadershipRecord
    from ...types import ReceivedPoint, UpstreamId
    from ..logs import Log
    from .fleet_view import FleetView


class ReturningLeaders:
    """Own since when only diverged former leaders are reached, by service."""

    def __init__(self, view: FleetView, log: Log) -> None:
        """Start without a service that waits."""
        self.view = view
        self.log = log
        self.waits: dict[str, DivergedWait] = {}

    def drop_diverged(
        self,
        service: str,
        points: dict[UpstreamId, ReceivedPoint],
        record: LeadershipRecord | None,
    ) -> dict[UpstreamId, ReceivedPoint]:
        """Leave out former leaders whose logs have diverged, for a while."""
        proof = newest_proof(self.view.floors_of(service))
        seen = [
            self.view.observations.get(entry.id, UNOBSERVED).point
            for entry in databases_of(self.view.databases, service)
        ]
        proven = None if proof is None else proof.point
        term = newest_term([proven, *seen, *points.values()])
        diverged = diverged_leaders(points, record, term)
        left = {name: point for name, point in points.items() if name not in diverged}
        if left or not diverged:
            self.waits.pop(service, None)
            return left
        now = now_seconds()
        wait = self.waits[service] = continue_wait(self.waits.get(service), now)
        self.log.info(
            "Only former leaders are reached.",
            service=service,
            points={name: str(point) for name, point in points.items()},
            newest_term=term,
            waited_seconds=round(now - wait.since, 3),
        )
        return points if may_lead_again(wait) else {}

    def find_returned(
        self, service: str, record: LeadershipRecord | None
    ) -> Database | None:
        """Return the primary of a service if it has become known meanwhile."""
        found = primary_of(self.view.databases, service, record)
        if found is not None:
            self.log.info(
                "The primary is known again.", service=service, database=found.id
            )
        return found
