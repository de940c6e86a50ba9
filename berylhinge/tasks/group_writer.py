"""Write to a group's primary and acknowledge writes that a majority holds."""

from __future__ import annotations

import time
from typing import Any, TYPE_CHECKING

import gevent

from ..core.group_view import (
    confirmed_primary,
    is_acknowledged,
    is_log_confirmed,
    is_superseded,
    write_target,
)
from ..core.write_outcomes import decide_by_entry, WriteOutcome
from ..errors import make_refusal
from ..reasons import RefusalReason, RetryReason
from ..types import LogPoint, StatementOutcome
from ..wire.upstream import StatementRequest
from .pending_writes import PendingWrite
from .upstream_exchange import build_served, FailedAttempt, TimedAnswer

if TYPE_CHECKING:
    from ..core.group_view import Primary
    from ..core.requests import CallResult, StatementCall
    from ..types import OrganisationId
    from ..wire.upstream import UpstreamAnswer
    from .group_task import GroupTask
    from .statement_exchange import StatementExchanger

WRITE_RECHECK_SECONDS = 0.05


class GroupWriter:
    """Send writes to the primary and determine their outcome."""

    def __init__(self, group_task: GroupTask, turns: StatementExchanger) -> None:
        """Use the given group and its slots."""
        self.group_task = group_task
        self.exchanger = turns

    def await_primary(self, deadline: float) -> Primary | FailedAttempt:
        """Wait for a primary that answers and that no majority has superseded."""
        while True:
            target = write_target(self.group_task.view)
            if (
                target is not None
                and self.group_task.member_links[target.upstream].is_reachable
            ):
                return target
            remaining = deadline - time.monotonic()
            if remaining <= 0:
                detail = (
                    f"no reachable primary of {self.group_task.group_id} has a majority"
                )
                return FailedAttempt(
                    None, make_refusal(RefusalReason.NO_PRIMARY, detail)
                )
            self.group_task.wait_for_change(min(remaining, WRITE_RECHECK_SECONDS))

    def try_write(
        self, call: StatementCall, deadline: float, organisation: OrganisationId
    ) -> CallResult | FailedAttempt:
        """Send a write once and wait until a majority holds it."""
        target = self.await_primary(deadline)
        if isinstance(target, FailedAttempt):
            return target
        link = self.group_task.member_links[target.upstream]
        request = StatementRequest(
            request_id=call.request_id,
            access="write",
            statement=call.statement,
            parameters=call.parameters,
            term=target.term,
        )
        write = PendingWrite(target.term, idempotent=call.idempotent)
        number = self.group_task.pending_writes.add_write(write)
        try:
            result = self.exchanger.exchange_statement(
                link, request, organisation, deadline, write
            )
            if isinstance(result, FailedAttempt):
                return result
            return self.await_acknowledgement(target, result, deadline)
        finally:
            self.group_task.pending_writes.remove_write(number)

    def await_acknowledgement(
        self, target: Primary, result: TimedAnswer, deadline: float
    ) -> CallResult | FailedAttempt:
        """Return a write's answer once a majority holds its entry in its term."""
        answer = result.answer
        self.group_task.on_answer(target.upstream, answer, result.sent_at)
        written = answer.get("written")
        if not written:
            return self.confirm_empty_write(target, answer, deadline)
        point = LogPoint(*written)
        view = self.group_task.view
        while not is_acknowledged(view, target.term, point):
            remaining = deadline - time.monotonic()
            if remaining <= 0:
                return lost_acknowledgement_failure(target, point)
            if is_superseded(view, target.term):
                return self.resolve_superseded_write(target, answer, point, deadline)
            self.group_task.wait_for_change(min(remaining, WRITE_RECHECK_SECONDS))
        return build_served(answer, point, target.upstream, "primary")

    def confirm_empty_write(
        self, target: Primary, answer: UpstreamAnswer, deadline: float
    ) -> CallResult | FailedAttempt:
        """Return a write without a log entry once the state it read is confirmed."""
        last = LogPoint(*answer["last"])
        view = self.group_task.view
        while not is_log_confirmed(view, answer["log_term"], last):
            remaining = deadline - time.monotonic()
            if remaining <= 0 or is_superseded(view, target.term):
                detail = (
                    f"{target.upstream} was superseded, or the deadline passed,"
                    " before its answer was confirmed"
                )
                refusal = make_refusal(RefusalReason.PRIMARY_SUPERSEDED, detail)
                return FailedAttempt(RetryReason.PRIMARY_SUPERSEDED, refusal)
            self.group_task.wait_for_change(min(remaining, WRITE_RECHECK_SECONDS))
        return build_served(answer, last, target.upstream, "primary")

    def resolve_superseded_write(
        self,
        target: Primary,
        answer: UpstreamAnswer,
        point: LogPoint,
        deadline: float,
    ) -> CallResult | FailedAttempt:
        """Ask the next confirmed primary whether a superseded write survived."""
        view = self.group_task.view
        while (remaining := deadline - time.monotonic()) > 0:
            primary = confirmed_primary(view)
            if primary is not None and primary.term > target.term:
                entry = self.group_task.fetch_entry(primary.upstream, point.position)
                outcome = (
                    decide_by_entry(view, point, entry)
                    if entry is not None
                    else WriteOutcome.PENDING
                )
                if outcome is WriteOutcome.ACKNOWLEDGED:
                    return build_served(answer, point, target.upstream, "primary")
                if outcome is WriteOutcome.NOT_RUN:
                    detail = (
                        f"{target.upstream} was superseded"
                        " before a majority held the write"
                    )
                    refusal = make_refusal(RefusalReason.PRIMARY_SUPERSEDED, detail)
                    return FailedAttempt(RetryReason.PRIMARY_SUPERSEDED, refusal)
                gevent.sleep(min(remaining, WRITE_RECHECK_SECONDS))
                continue
            self.group_task.wait_for_change(min(remaining, WRITE_RECHECK_SECONDS))
        return lost_acknowledgement_failure(target, point)


def lost_acknowledgement_failure(target: Any, point: LogPoint) -> FailedAttempt:
    """Return the failure of a write that ran on a member but was never confirmed."""
    detail = f"entry {point.term}.{point.position} of {target.upstream} is unconfirmed"
    refusal = make_refusal(
        RefusalReason.ACKNOWLEDGEMENT_LOST, detail, outcome=StatementOutcome.UNKNOWN
    )
    return FailedAttempt(RetryReason.PRIMARY_SUPERSEDED, refusal)
