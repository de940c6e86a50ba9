"""Run statements on a group that this instance serves."""

from __future__ import annotations

import random
import time
from typing import TYPE_CHECKING

from ..core.requests import CallResult
from ..core.retries import credit_attempt, decide_retry, FULL_BUDGET, NoRetry
from ..errors import RefusedError
from ..types import AccessMode
from .group_reader import GroupReader
from .group_writer import GroupWriter
from .statement_exchange import StatementExchanger
from .upstream_exchange import FailedAttempt

if TYPE_CHECKING:
    from collections.abc import Callable

    from ..core.requests import StatementCall
    from ..types import OrganisationId, UpstreamId
    from .group_task import GroupTask
    from .metrics import Metrics

EXPECTED_ATTEMPT_SECONDS = 0.005


class StatementExecutor:
    """Run reads and writes, with retries where they are harmless."""

    def __init__(self, group: GroupTask, metrics: Metrics, rng: random.Random) -> None:
        """Start with a full retry budget."""
        self.group_task = group
        self.metrics = metrics
        self.rng = rng
        turns = StatementExchanger()
        self.reader = GroupReader(group, turns, metrics, rng)
        self.writer = GroupWriter(group, turns)
        self.retry_budget = FULL_BUDGET
        self.active_statements = 0

    def run_statement(
        self,
        call: StatementCall,
        arrived_at: float,
        max_age_seconds: float,
        *,
        organisation: OrganisationId,
    ) -> CallResult:
        """Run one statement with retries, counted as active; raise RefusedError."""
        self.active_statements += 1
        try:
            return self.run_by_access(call, arrived_at, max_age_seconds, organisation)
        finally:
            self.active_statements -= 1

    def run_by_access(
        self,
        call: StatementCall,
        arrived_at: float,
        max_age_seconds: float,
        organisation: OrganisationId,
    ) -> CallResult:
        """Run a statement as a read or a write, with retries; raise RefusedError."""
        deadline = arrived_at + call.timeout_seconds
        if call.access is AccessMode.WRITE:
            return self.run_with_retries(
                lambda: self.writer.try_write(call, deadline, organisation),
                deadline,
                call.idempotent,
            )
        floor, need = self.reader.require_floor(
            call, arrived_at, max_age_seconds, deadline
        )
        excluded: set[UpstreamId] = set()
        return self.run_with_retries(
            lambda: self.reader.try_read(
                call, floor, need, deadline, excluded, organisation
            ),
            deadline,
            call.idempotent,
        )

    def run_with_retries(
        self,
        attempt: Callable[[], CallResult | FailedAttempt],
        deadline: float,
        idempotent: bool,
    ) -> CallResult:
        """Repeat a failed attempt while that is harmless; raise RefusedError."""
        self.retry_budget = credit_attempt(self.retry_budget)
        delay = 0.0
        while True:
            result = attempt()
            if isinstance(result, CallResult):
                return result
            if result.retry_reason is None:
                raise RefusedError(result.refusal)
            decision = decide_retry(
                self.retry_budget,
                outcome=result.refusal.outcome,
                idempotent=idempotent,
                deadline=deadline,
                expected_seconds=EXPECTED_ATTEMPT_SECONDS,
                previous_delay_seconds=delay,
                now=time.monotonic(),
                rng=self.rng,
            )
            if isinstance(decision, NoRetry):
                raise RefusedError(result.refusal)
            self.retry_budget = decision.budget
            delay = decision.delay_seconds
            self.metrics.count_retry(result.retry_reason)
            self.group_task.wait_for_change(delay)
