"""Measure the load and the outcomes of one database that this instance holds."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ...core.pooler.database_load import LoadMeter
from ...core.pooler.outliers import OutcomeSummary, OutcomeWindow
from ...core.pooler.slot_scheduling import waiting_count
from ..clock import now_seconds

if TYPE_CHECKING:
    from ...core.pooler.database_load import DatabaseLoad
    from ...types import Seconds
    from ...wire.pooling import ExecuteRequest
    from .statement_slots import StatementSlots

# Reasons of failed statements that speak against the database itself.
FAULT_REASONS = frozenset(
    {
        "answer-failed",
        "answer-timeout",
        "answer-lost",
        "begin-failed",
        "begin-timeout",
        "connection-lost",
        "unreachable",
    }
)
# Shares of outcomes are computed anew after this long, not for each answer.
SUMMARY_SECONDS = 0.1


class DatabaseMeter:
    """Own what is measured of one database; report nothing unless enabled."""

    def __init__(self, slots: StatementSlots, *, enabled: bool) -> None:
        """Start without measurements."""
        self.slots = slots
        self.enabled = enabled
        self.meter = LoadMeter()
        self.outcomes = OutcomeWindow()
        self.summary = OutcomeSummary()
        self.summarised_at: Seconds = float("-inf")

    def record_run(
        self, request: ExecuteRequest, seconds: Seconds | None, needs_primary: bool
    ) -> None:
        """Record the end of a statement; the time is None if it failed."""
        if not self.enabled or seconds is None:
            return
        self.meter.record_run(seconds, needs_primary=needs_primary)
        self.outcomes.record(
            request.organisation, seconds, failed=False, now=now_seconds()
        )

    def record_failure(self, request: ExecuteRequest, reason: str) -> None:
        """Record a failed statement if the failure speaks against the database."""
        if self.enabled and reason in FAULT_REASONS:
            self.outcomes.record(
                request.organisation, None, failed=True, now=now_seconds()
            )

    def report(self) -> DatabaseLoad | None:
        """Return the load to report to other instances; None if they do not use it."""
        if not self.enabled:
            return None
        now = now_seconds()
        if now - self.summarised_at >= SUMMARY_SECONDS:
            self.summarised_at = now
            self.summary = self.outcomes.summary(now)
        queue = self.slots.queue
        waiting = waiting_count(queue)
        self.meter.measure(queue.running, waiting, queue.slots, now)
        load = self.meter.report(queue.running, waiting, queue.slots)
        return load._replace(**self.summary._asdict())
