"""Read on any member that is at or past a proven floor."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

from ..core.group_view import confirmed_primary
from ..core.read_routing import (
    check_read_answer,
    FloorSource,
    ReadFrom,
    RetryRead,
    ReturnAnswer,
    route_read,
    WaitForReplica,
)
from ..core.requests import CallResult
from ..errors import make_refusal, RefusedError
from ..reasons import RefusalReason, RetryReason
from ..types import LogPoint
from ..wire.upstream import StatementRequest
from .upstream_exchange import build_served, FailedAttempt, TimedAnswer

if TYPE_CHECKING:
    import random

    from ..core.requests import StatementCall
    from ..types import OrganisationId, UpstreamId
    from .group_task import GroupTask
    from .metrics import Metrics
    from .statement_exchange import StatementExchanger

PROOF_RECHECK_SECONDS = 0.05


class GroupReader:
    """Choose a member for each read and confirm its answer."""

    def __init__(
        self,
        group_task: GroupTask,
        turns: StatementExchanger,
        metrics: Metrics,
        rng: random.Random,
    ) -> None:
        """Use the given group, slots, metrics and random generator."""
        self.group_task = group_task
        self.exchanger = turns
        self.metrics = metrics
        self.rng = rng

    def require_floor(
        self,
        call: StatementCall,
        arrived_at: float,
        max_age_seconds: float,
        deadline: float,
    ) -> tuple[LogPoint, FloorSource]:
        """Return a read's floor and the floor's origin; raise RefusedError."""
        age_seconds = call.max_age_seconds
        if age_seconds is None:
            age_seconds = max_age_seconds if call.floor is not None else 0.0
        proven = self.group_task.await_floor(arrived_at, age_seconds, deadline)
        if proven is None:
            detail = f"no majority of {self.group_task.group_id} answered in time"
            raise RefusedError(make_refusal(RefusalReason.NO_PRIMARY, detail))
        if call.floor is not None and call.floor > proven:
            return call.floor, FloorSource.TOKEN
        return (
            proven,
            FloorSource.TOKEN if call.floor is not None else FloorSource.ROUND,
        )

    def choose_member(
        self,
        floor: LogPoint,
        need: FloorSource,
        deadline: float,
        excluded: set[UpstreamId],
    ) -> UpstreamId | FailedAttempt:
        """Choose a member to read from, waiting while one may still catch up."""
        asked_at = time.monotonic()
        while True:
            now = time.monotonic()
            choice = route_read(
                self.group_task.view,
                self.group_task.member_loads(),
                floor=floor,
                floor_source=need,
                failure_domain=self.group_task.options.failure_domain,
                arrived_at=asked_at,
                now=now,
                rng=self.rng,
                excluded=frozenset(excluded),
            )
            if isinstance(choice, ReadFrom):
                return choice.upstream
            if now >= deadline:
                detail = "no member reached the session's position in time"
                refusal = make_refusal(RefusalReason.SESSION_UNREACHABLE, detail)
                if not isinstance(choice, WaitForReplica):
                    refusal = choice
                return FailedAttempt(None, refusal)
            until = deadline
            if isinstance(choice, WaitForReplica):
                until = min(deadline, choice.until)
            else:
                excluded.clear()
            pause = min(until - now, PROOF_RECHECK_SECONDS)
            self.group_task.wait_for_change(pause)

    def try_read(
        self,
        call: StatementCall,
        floor: LogPoint,
        need: FloorSource,
        deadline: float,
        excluded: set[UpstreamId],
        organisation: OrganisationId,
    ) -> CallResult | FailedAttempt:
        """Read once and return only confirmed data at or past the floor."""
        chosen = self.choose_member(floor, need, deadline, excluded)
        if isinstance(chosen, FailedAttempt):
            return chosen
        link = self.group_task.member_links[chosen]
        request = StatementRequest(
            request_id=call.request_id,
            access="read",
            statement=call.statement,
            parameters=call.parameters,
        )
        result = self.exchanger.exchange_statement(
            link, request, organisation, deadline
        )
        if isinstance(result, FailedAttempt):
            excluded.add(chosen)
            return result
        judged = self.confirm_answer(chosen, result, floor, deadline)
        if isinstance(judged, CallResult):
            self.metrics.count("reads_total", judged.role)
        return judged

    def confirm_answer(
        self,
        upstream: UpstreamId,
        result: TimedAnswer,
        floor: LogPoint,
        deadline: float,
    ) -> CallResult | FailedAttempt:
        """Return a read's answer once its data is confirmed, else a failure."""
        answer = result.answer
        self.group_task.on_answer(upstream, answer, result.sent_at)
        while True:
            verdict = check_read_answer(self.group_task.view, floor, answer)
            if isinstance(verdict, ReturnAnswer):
                role = self.member_role(upstream)
                return build_served(answer, verdict.point, upstream, role)
            remaining = deadline - time.monotonic()
            if isinstance(verdict, RetryRead) or remaining <= 0:
                reason = (
                    verdict.reason
                    if isinstance(verdict, RetryRead)
                    else RetryReason.READ_UNCONFIRMED
                )
                detail = f"{upstream} could not confirm its answer"
                return FailedAttempt(
                    reason, make_refusal(RefusalReason.NO_PRIMARY, detail)
                )
            self.group_task.wait_for_change(min(remaining, PROOF_RECHECK_SECONDS))

    def member_role(self, upstream: UpstreamId) -> str:
        """Return ``primary`` for the confirmed primary, ``replica`` for any other."""
        primary = confirmed_primary(self.group_task.view)
        is_primary = primary is not None and primary.upstream == upstream
        return "primary" if is_primary else "replica"
