"""Run statements on a group that this instance serves."""

from __future__ import annotations

import random
import time
from typing import Any, TYPE_CHECKING

import gevent

from ..core.group_view import (
    is_acknowledged,
    is_superseded,
    last_is_confirmed,
    primary_of,
    write_target,
)
from ..core.outcomes import outcome_by_entry, WriteOutcome
from ..core.read_choice import (
    choose_read,
    judge_read,
    Need,
    ReadAt,
    RetryRead,
    ReturnAnswer,
    WaitForReplica,
)
from ..core.requests import Served
from ..core.retries import decide_retry, earn, FULL_BUDGET, GiveUp
from ..errors import refuse, RefusedError
from ..reasons import RefusalReason, RetryReason
from ..types import Access, LogPoint, Outcome
from ..wire.upstream import StatementRequest
from .attempts import exchange, Exchanged, Failed, lease
from .group import PendingWrite

if TYPE_CHECKING:
    from collections.abc import Callable

    from ..core.group_view import Primary
    from ..core.requests import StatementCall
    from ..types import OrganisationId, UpstreamId
    from ..wire.upstream import UpstreamAnswer
    from .group import GroupTask
    from .member import MemberLink
    from .metrics import Metrics

EXPECTED_SECONDS = 0.005
SETTLE_PAUSE_SECONDS = 0.05
SLOT_HOLD_SECONDS = 0.5


class Executor:
    """Run reads and writes with retries that are harmless."""

    def __init__(self, group: GroupTask, metrics: Metrics, rng: random.Random) -> None:
        """Start with a full retry budget."""
        self.group = group
        self.metrics = metrics
        self.rng = rng
        self.budget = FULL_BUDGET
        self.active = 0

    def run(
        self,
        call: StatementCall,
        arrived_at: float,
        max_age: float,
        *,
        organisation: OrganisationId,
    ) -> Served:
        """Run one statement to its end; raise RefusedError."""
        self.active += 1
        try:
            return self.run_counted(call, arrived_at, max_age, organisation)
        finally:
            self.active -= 1

    def run_counted(
        self,
        call: StatementCall,
        arrived_at: float,
        max_age: float,
        organisation: OrganisationId,
    ) -> Served:
        """Run a statement that ``active`` counts."""
        deadline = arrived_at + call.timeout_seconds
        if call.access is Access.WRITE:
            return self.persist(
                lambda: self.try_write(call, deadline, organisation),
                deadline,
                call.idempotent,
            )
        floor, need = self.read_floor(call, arrived_at, max_age, deadline)
        excluded: set[UpstreamId] = set()
        return self.persist(
            lambda: self.try_read(call, floor, need, deadline, excluded, organisation),
            deadline,
            call.idempotent,
        )

    def persist(
        self,
        attempt: Callable[[], Served | Failed],
        deadline: float,
        idempotent: bool,
    ) -> Served:
        """Repeat an attempt while that is harmless; raise RefusedError."""
        self.budget = earn(self.budget)
        delay = 0.0
        while True:
            result = attempt()
            if isinstance(result, Served):
                return result
            if result.retry is None:
                raise RefusedError(result.refusal)
            decision = decide_retry(
                self.budget,
                outcome=result.refusal.outcome,
                idempotent=idempotent,
                deadline=deadline,
                expected_seconds=EXPECTED_SECONDS,
                previous_delay_seconds=delay,
                now=time.monotonic(),
                rng=self.rng,
            )
            if isinstance(decision, GiveUp):
                raise RefusedError(result.refusal)
            self.budget = decision.budget
            delay = decision.delay_seconds
            self.metrics.count_retry(result.retry)
            self.group.wait_change(delay)

    def await_target(self, deadline: float) -> Primary | Failed:
        """Wait for a primary that answers and that no majority has superseded."""
        while True:
            target = write_target(self.group.view)
            if target is not None and self.group.links[target.upstream].reachable:
                return target
            remaining = deadline - time.monotonic()
            if remaining <= 0:
                detail = f"no reachable primary of {self.group.group} has a majority"
                return Failed(None, refuse(RefusalReason.NO_PRIMARY, detail))
            self.group.wait_change(min(remaining, SETTLE_PAUSE_SECONDS))

    def try_write(
        self, call: StatementCall, deadline: float, organisation: OrganisationId
    ) -> Served | Failed:
        """Send a write once and wait until it is on a majority."""
        target = self.await_target(deadline)
        if isinstance(target, Failed):
            return target
        link = self.group.links[target.upstream]
        request = StatementRequest(
            request_id=call.request_id,
            access="write",
            statement=call.statement,
            parameters=call.parameters,
            term=target.term,
        )
        write = PendingWrite(target.term, idempotent=call.idempotent)
        number = self.group.begin_write(write)
        try:
            result = self.take_turn(link, request, organisation, deadline, write)
            if isinstance(result, Failed):
                return result
            return self.acknowledge(target, result, deadline)
        finally:
            self.group.end_write(number)

    def take_turn(
        self,
        link: MemberLink,
        request: StatementRequest,
        organisation: OrganisationId,
        deadline: float,
        write: PendingWrite | None = None,
    ) -> Exchanged | Failed:
        """Exchange one statement on a slot and a connection of its own."""
        hold = 0.0
        ticket = link.gate.enter(organisation, Access(request["access"]), deadline)
        try:
            connection = lease(link, deadline)
            if isinstance(connection, Failed):
                return connection
            if write is not None:
                write.connection = connection
            try:
                result = exchange(link, connection, "/v1/statement", request, deadline)
            finally:
                if write is not None:
                    write.connection = None
                link.data.give_back(connection)
            if isinstance(result, Failed) and result.refusal.outcome is Outcome.UNKNOWN:
                hold = SLOT_HOLD_SECONDS
            return result
        finally:
            # A statement whose answer was lost may still hold the upstream's slot.
            if hold:
                gevent.spawn_later(hold, link.gate.leave, ticket)
            else:
                link.gate.leave(ticket)

    def acknowledge(
        self, target: Primary, result: Exchanged, deadline: float
    ) -> Served | Failed:
        """Return a write's answer once its entry is on a majority in its term."""
        answer = result.answer
        self.group.on_answer(target.upstream, answer, result.asked_at)
        written = answer.get("written")
        if not written:
            return self.confirm_unwritten(target, answer, deadline)
        point = LogPoint(*written)
        view = self.group.view
        while not is_acknowledged(view, target.term, point):
            remaining = deadline - time.monotonic()
            if remaining <= 0:
                return acknowledgement_lost(target, point)
            if is_superseded(view, target.term):
                return self.settle(target, answer, point, deadline)
            self.group.wait_change(min(remaining, SETTLE_PAUSE_SECONDS))
        return served(answer, point, target.upstream, "primary")

    def confirm_unwritten(
        self, target: Primary, answer: UpstreamAnswer, deadline: float
    ) -> Served | Failed:
        """Return a write that changed nothing once what it saw is confirmed."""
        last = LogPoint(*answer["last"])
        view = self.group.view
        while not last_is_confirmed(view, answer["log_term"], last):
            remaining = deadline - time.monotonic()
            if remaining <= 0 or is_superseded(view, target.term):
                detail = f"{target.upstream} was superseded before its answer"
                refusal = refuse(RefusalReason.PRIMARY_SUPERSEDED, detail)
                return Failed(RetryReason.PRIMARY_SUPERSEDED, refusal)
            self.group.wait_change(min(remaining, SETTLE_PAUSE_SECONDS))
        return served(answer, last, target.upstream, "primary")

    def settle(
        self,
        target: Primary,
        answer: UpstreamAnswer,
        point: LogPoint,
        deadline: float,
    ) -> Served | Failed:
        """Ask the next confirmed primary what became of a superseded write."""
        view = self.group.view
        while (remaining := deadline - time.monotonic()) > 0:
            primary = primary_of(view)
            if primary is not None and primary.term > target.term:
                entry = self.group.entry_term(primary.upstream, point.position)
                outcome = (
                    outcome_by_entry(view, point, entry)
                    if entry is not None
                    else WriteOutcome.PENDING
                )
                if outcome is WriteOutcome.ACKNOWLEDGED:
                    return served(answer, point, target.upstream, "primary")
                if outcome is WriteOutcome.NOT_RUN:
                    detail = f"{target.upstream} was superseded before a majority"
                    refusal = refuse(RefusalReason.PRIMARY_SUPERSEDED, detail)
                    return Failed(RetryReason.PRIMARY_SUPERSEDED, refusal)
                gevent.sleep(min(remaining, SETTLE_PAUSE_SECONDS))
                continue
            self.group.wait_change(min(remaining, SETTLE_PAUSE_SECONDS))
        return acknowledgement_lost(target, point)

    def read_floor(
        self, call: StatementCall, arrived_at: float, max_age: float, deadline: float
    ) -> tuple[LogPoint, Need]:
        """Return the entry that a read must not be behind; raise RefusedError."""
        age = call.max_age_seconds
        if age is None:
            age = max_age if call.floor is not None else 0.0
        proven = self.group.floor(arrived_at, age, deadline)
        if proven is None:
            detail = f"no majority of {self.group.group} answered in time"
            raise RefusedError(refuse(RefusalReason.NO_PRIMARY, detail))
        if call.floor is not None and call.floor > proven:
            return call.floor, Need.TOKEN
        return proven, Need.TOKEN if call.floor is not None else Need.ROUND

    def choose(
        self,
        floor: LogPoint,
        need: Need,
        deadline: float,
        excluded: set[UpstreamId],
    ) -> UpstreamId | Failed:
        """Choose where to read, waiting while a member may catch up."""
        asked_at = time.monotonic()
        while True:
            now = time.monotonic()
            choice = choose_read(
                self.group.view,
                self.group.loads(),
                floor=floor,
                need=need,
                place=self.group.options.place,
                asked_at=asked_at,
                now=now,
                rng=self.rng,
                excluded=frozenset(excluded),
            )
            if isinstance(choice, ReadAt):
                return choice.upstream
            if now >= deadline:
                detail = "no member reached the session's position in time"
                refusal = refuse(RefusalReason.SESSION_UNREACHABLE, detail)
                if not isinstance(choice, WaitForReplica):
                    refusal = choice
                return Failed(None, refusal)
            until = deadline
            if isinstance(choice, WaitForReplica):
                until = min(deadline, choice.until)
            else:
                excluded.clear()
            pause = min(until - now, SETTLE_PAUSE_SECONDS)
            self.group.wait_change(pause)

    def try_read(
        self,
        call: StatementCall,
        floor: LogPoint,
        need: Need,
        deadline: float,
        excluded: set[UpstreamId],
        organisation: OrganisationId,
    ) -> Served | Failed:
        """Read once and return only confirmed data at or past the floor."""
        chosen = self.choose(floor, need, deadline, excluded)
        if isinstance(chosen, Failed):
            return chosen
        link = self.group.links[chosen]
        request = StatementRequest(
            request_id=call.request_id,
            access="read",
            statement=call.statement,
            parameters=call.parameters,
        )
        result = self.take_turn(link, request, organisation, deadline)
        if isinstance(result, Failed):
            excluded.add(chosen)
            return result
        judged = self.judge(chosen, result, floor, deadline)
        if isinstance(judged, Served):
            self.metrics.count("reads_total", judged.role)
        return judged

    def judge(
        self,
        upstream: UpstreamId,
        result: Exchanged,
        floor: LogPoint,
        deadline: float,
    ) -> Served | Failed:
        """Hold a read's answer until it is proven, or drop it."""
        answer = result.answer
        self.group.on_answer(upstream, answer, result.asked_at)
        while True:
            verdict = judge_read(self.group.view, floor, answer)
            if isinstance(verdict, ReturnAnswer):
                role = self.role_of(upstream)
                return served(answer, verdict.point, upstream, role)
            remaining = deadline - time.monotonic()
            if isinstance(verdict, RetryRead) or remaining <= 0:
                reason = (
                    verdict.reason
                    if isinstance(verdict, RetryRead)
                    else RetryReason.READ_UNCONFIRMED
                )
                detail = f"{upstream} could not prove its answer"
                return Failed(reason, refuse(RefusalReason.NO_PRIMARY, detail))
            self.group.wait_change(min(remaining, SETTLE_PAUSE_SECONDS))

    def role_of(self, upstream: UpstreamId) -> str:
        """Tell whether an upstream is the confirmed primary."""
        primary = primary_of(self.group.view)
        lead = primary is not None and primary.upstream == upstream
        return "primary" if lead else "replica"


def served(
    answer: UpstreamAnswer, point: LogPoint, upstream: UpstreamId, role: str
) -> Served:
    """Build what the caller gets."""
    return Served(
        answer["columns"],
        answer["rows"],
        answer["row_count"],
        point,
        upstream,
        role,
    )


def acknowledgement_lost(target: Any, point: LogPoint) -> Failed:
    """Report a write that ran on one member and was never confirmed."""
    detail = f"entry {point.term}.{point.position} of {target.upstream} is unconfirmed"
    refusal = refuse(
        RefusalReason.ACKNOWLEDGEMENT_LOST, detail, outcome=Outcome.UNKNOWN
    )
    return Failed(RetryReason.PRIMARY_SUPERSEDED, refusal)
