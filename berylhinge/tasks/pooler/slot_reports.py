"""Report to operators who waits for slots, what was refused, and the connections."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ...core.pooler.fair_slots import FairSlots
from ...core.pooler.slot_claims import FAIR_REFUSAL_REASONS
from ...core.pooler.slot_shares import largest_share, waiting_by_class
from ..clock import now_seconds

if TYPE_CHECKING:
    from collections.abc import Iterable

    from ...core.pooler.slot_claims import SlotRefusal
    from ...types import Seconds, UpstreamId
    from ...wire.pooling import ExecuteRequest
    from ..logs import Log
    from ..metrics import Metrics
    from .statement_slots import StatementSlots


class SlotReports:
    """Own the metrics of the slots of all databases that this instance holds."""

    def __init__(self, metrics: Metrics, log: Log) -> None:
        """Start with nothing reported."""
        self.metrics = metrics
        self.log = log
        self.reported: set[tuple[UpstreamId, int]] = set()

    def record_refusal(
        self, request: ExecuteRequest, refusal: SlotRefusal, arrived_at: Seconds
    ) -> None:
        """Count and log a refusal for lack of room."""
        if refusal.reason not in FAIR_REFUSAL_REASONS:
            return
        waited = now_seconds() - arrived_at
        self.metrics.count("slot_refusals_total", refusal.reason, str(request.priority))
        self.metrics.slot_refusal.observe({}, waited)
        self.log.info(
            "A statement got no slot.",
            request_id=request.request,
            database=request.database,
            reason=refusal.reason,
            organisation=request.organisation,
            priority=request.priority,
            waited_seconds=round(waited, 3),
            retry_after_seconds=round(refusal.retry_after_seconds, 3),
            detail=refusal.detail,
        )

    def count_overdue(self, statements: int) -> None:
        """Count statements whose slots were freed before their answers came."""
        self.metrics.count("overdue_statements_total", by=statements)

    def count_connection(self, event: str) -> None:
        """Count that a connection was opened, reused or evicted."""
        self.metrics.count("connections_total", event)

    def update_connections(self, held: Iterable[tuple[UpstreamId, int]]) -> None:
        """Set the gauges of the connections that this instance holds."""
        for database, count in held:
            self.metrics.gauge("database_connections", count, database=database)

    def update_gauges(
        self, all_slots: Iterable[tuple[UpstreamId, StatementSlots]]
    ) -> None:
        """Set the gauges to what is true at a scrape, also for databases given up."""
        waiting = dict.fromkeys(self.reported, 0)
        shares = dict.fromkeys((database for database, _ in self.reported), 0.0)
        for database, slots in all_slots:
            if isinstance(slots.queue, FairSlots):
                shares[database] = largest_share(slots.queue, now_seconds())
                for priority, count in waiting_by_class(slots.queue).items():
                    waiting[database, priority] = count
        self.reported = set(waiting)
        for (database, priority), count in waiting.items():
            self.metrics.gauge(
                "slot_waiting", count, database=database, priority=str(priority)
            )
        for database, share in shares.items():
            self.metrics.gauge("slot_largest_share", share, database=database)
