"""Send each statement to a database that can serve it; retry where that is safe."""

from __future__ import annotations

from functools import partial
from typing import NamedTuple, TYPE_CHECKING

from ...core.pooler.evacuation import REFUSED_RETRY_SECONDS
from ...core.pooler.failure_results import (
    lost_answer_result,
    may_commit,
    not_run_result,
)
from ...core.pooler.slot_claims import FAIR_REFUSAL_REASONS
from ...core.pooler.statements import Effect, StatementResult
from ...wire.pooling import ExecuteRequest, ExecuteResponse, RollbackRequest
from ..clock import now_seconds, rounded_age
from ..peer_frames import PeerLost
from .destinations import (
    Destination,
    DestinationChooser,
    may_run_at_replica,
    REFUSAL_TEXTS,
    RoutingRequest,
    TransactionBinding,
)
from .read_balancer import ReadBalancer
from .tried_destinations import RETRY_MIN_PAUSE_SECONDS, TriedDestinations

if TYPE_CHECKING:
    from collections.abc import Callable

    from ...core.pooler.catalogue import Database
    from ...types import InstanceId, Seconds
    from ..logs import Log
    from ..metrics import Metrics
    from ..peer_links import Links
    from .fleet_view import FleetView
    from .held_databases import HeldDatabases

# How long a replica gets no reads after it refused one because its log was too short.
AVOID_LAGGING_SECONDS = 0.15
# How long a database that was not reached gets no reads.
AVOID_UNREACHED_SECONDS = 0.5
# A peer's answer may arrive this much later than the statement's own deadline.
PEER_ANSWER_MARGIN_SECONDS = 0.05
# How long one attempt waits for news of a holder that has not been heard yet. A read
# then tries another database, and what needs the primary waits again.
PEER_NEWS_WAIT_SECONDS = 0.1
# Reasons that tell of a lack of room at one database.
ROOM_REASONS = FAIR_REFUSAL_REASONS | {"transactions-full"}
# Reasons after which a statement that did not run may be tried elsewhere.
RETRY_REASONS = frozenset(
    {
        "answer-lost",
        "cold",
        "connection-lost",
        "evacuated",
        "unreachable",
        "given-up",
        "lead-lost",
        "lead-pending",
        "lead-unconfirmed",
        "not-holding",
        "late",
        "no-connection",
        "peer-lost",
        "peer-starting",
        "stopping",
        "answer-lagging",
        "answer-read-only",
        "answer-busy",
        "answer-misdirected",
        "answer-failed",
        "answer-timeout",
        "begin-lagging",
        "begin-read-only",
        "begin-busy",
        "begin-misdirected",
        "begin-aborted",
    }
)
# Reasons that tell that a database has not run the statement.
NOT_RUN_REASONS = ROOM_REASONS | {
    "answer-busy",
    "answer-lagging",
    "answer-misdirected",
    "answer-read-only",
    "begin-busy",
    "begin-lagging",
    "begin-misdirected",
    "begin-read-only",
    "cold",
    "evacuated",
    "given-up",
    "late",
    "lead-lost",
    "lead-pending",
    "lead-unconfirmed",
    "no-connection",
    "no-database",
    "no-home",
    "no-slot",
    "not-holding",
    "peer-starting",
    "queue-full",
    "stopping",
    "unreachable",
}


class RoutedResult(NamedTuple):
    """Carry a result, the binding of a transaction still open, and the last attempt.

    ``has_not_run`` tells that no attempt of the first statement ran at a database.
    """

    result: StatementResult
    reason: str
    binding: TransactionBinding | None
    attempts: int
    destination: Destination | None
    has_not_run: bool = False


def is_retried(call: RoutingRequest, last: ExecuteResponse, now: Seconds) -> bool:
    """Tell whether a statement that did not run is tried again.

    Without room at one database, a read may find some at another one. What only a cold
    database can run waits for its turn there, unless that comes too late.
    """
    if last.reason in ROOM_REASONS:
        return may_run_at_replica(call)
    if last.reason == "cold" and not may_run_at_replica(call):
        return now + last.result.retry_after_seconds < call.deadline
    return last.reason in RETRY_REASONS


class Router:
    """Run statements for the callers of this instance."""

    def __init__(
        self,
        view: FleetView,
        held_databases: HeldDatabases,
        links: Links,
        *,
        await_proof: Callable[[str], None],
        await_peer: Callable[[InstanceId, Seconds], bool],
        metrics: Metrics,
        log: Log,
    ) -> None:
        """Start without statements under way."""
        self.view = view
        self.held_databases = held_databases
        self.links = links
        self.await_peer = await_peer
        self.metrics = metrics
        self.log = log
        self.read_balancer = ReadBalancer(view, metrics=metrics, log=log)
        self.chooser = DestinationChooser(
            view, self.read_balancer, await_proof=await_proof
        )

    def run_statement(
        self, call: RoutingRequest, binding: TransactionBinding | None
    ) -> RoutedResult:
        """Run a statement, with retries, until it has a final result."""
        if binding is not None:
            destination = binding.destination
            stopped = self.chooser.why_stopped(call, binding)
            if stopped is not None:
                self.abandon_transaction(binding)
                return self.refuse(call, stopped, 0, destination)
            message = self.execute_request(
                call, binding.destination, binding.transaction_number
            )
            done = self.execute_at_holder(binding.destination.holder, message)
            open_binding = None if done.result.transaction_ended else binding
            return RoutedResult(
                done.result, done.reason, open_binding, 1, binding.destination
            )
        return self.run_unbound(call)

    def run_unbound(self, call: RoutingRequest) -> RoutedResult:
        """Run a single statement, or the first of a transaction."""
        attempts, last_destination = 0, None
        tried = TriedDestinations()
        room_refusal: ExecuteResponse | None = None
        has_not_run = True
        last = ExecuteResponse(
            not_run_result(call.planned_statement, "no database is known"),
            "no-database",
        )
        while True:
            if self.chooser.has_key_moved(call, call.organisation):
                refused = self.refuse(call, "key-moved", attempts, last_destination)
                return refused._replace(has_not_run=has_not_run)
            destination = self.chooser.choose(call, tried)
            if destination is None:
                refusal = self.chooser.why_unservable(call)
                if refusal is not None:
                    refused = self.refuse(call, refusal, attempts, last_destination)
                    return refused._replace(has_not_run=has_not_run)
                remaining = call.deadline - now_seconds()
                if remaining <= RETRY_MIN_PAUSE_SECONDS:
                    break
                pause = min(remaining, tried.pause_seconds)
                tried.clear(has_view_changed=self.view.changed.wait(pause))
                continue
            number = (
                call.transaction_number if call.planned_statement.transaction else 0
            )
            attempts += 1
            sent_at = now_seconds()
            self.read_balancer.record_sent(destination.database)
            last = self.execute_at_holder(
                destination.holder, self.execute_request(call, destination, number)
            )
            self.record_response(destination.database, last, sent_at)
            result = last.result
            has_not_run = has_not_run and last.reason in NOT_RUN_REASONS
            if result.effect is not Effect.NONE or not is_retried(
                call, last, now_seconds()
            ):
                binding = None
                if (
                    call.planned_statement.transaction is not None
                    and not result.transaction_ended
                ):
                    binding = TransactionBinding(
                        destination._replace(after=None, begin=""),
                        number,
                        call.organisation,
                    )
                return RoutedResult(
                    result, last.reason, binding, attempts, destination, has_not_run
                )
            tried.add(destination.holder, destination.database.id, last.reason)
            last_destination = destination
            if last.reason in ROOM_REASONS:
                room_refusal = last
            if room_refusal is not None and self.chooser.choose(call, tried) is None:
                # No other database is left, and a refusal is never held back.
                last = room_refusal
                break
            self.record_retry(call, destination, last, tried)
        return RoutedResult(
            last.result, last.reason, None, attempts, last_destination, has_not_run
        )

    def refuse(
        self, call: RoutingRequest, reason: str, attempts: int, last: Destination | None
    ) -> RoutedResult:
        """Refuse a statement at once that no permitted database can run now."""
        is_served_soon = reason == "key-moved"
        result = not_run_result(
            call.planned_statement,
            REFUSAL_TEXTS[reason].format(service=call.route.service),
            retry_after_seconds=0.0 if is_served_soon else REFUSED_RETRY_SECONDS,
        )
        return RoutedResult(result, reason, None, attempts, last)

    def record_retry(
        self,
        call: RoutingRequest,
        destination: Destination,
        last: ExecuteResponse,
        tried: TriedDestinations,
    ) -> None:
        """Count an attempt that did not run; log the first one for each failure."""
        self.metrics.count("retries_total", last.reason)
        if not tried.is_first(destination.holder, destination.database.id, last.reason):
            return
        observation = self.view.observations.get(destination.database.id)
        self.log.info(
            "A statement did not run and is tried elsewhere.",
            request_id=call.planned_statement.request,
            reason=last.reason,
            database=destination.database.id,
            role=destination.database.role.value,
            holder=destination.holder,
            after=str(destination.after or ""),
            sight_age=None
            if observation is None
            else rounded_age(observation.observed_at),
            detail=last.result.detail,
        )

    def execute_request(
        self, call: RoutingRequest, destination: Destination, number: int
    ) -> ExecuteRequest:
        """Return the message that asks a holder to run a statement."""
        now = now_seconds()
        goal_at = call.arrived_at + call.route.latency_goal_seconds
        return ExecuteRequest(
            database=destination.database.id,
            organisation=call.organisation,
            request=call.planned_statement.request,
            text=call.planned_statement.text,
            access=call.planned_statement.access,
            after=destination.after,
            transaction=number,
            begin_mode=destination.begin,
            is_commit=call.planned_statement.is_commit,
            values=call.session.values,
            prepared=call.planned_statement.prepared,
            priority=call.route.priority,
            latency_goal_seconds=goal_at - now,
            give_up_seconds=call.deadline - now,
            idle_seconds=self.view.declarations.idle_transaction_seconds,
            may_run_at_replica=(
                self.view.features.balances_reads
                or self.view.shares_slots_fairly(call.route.service)
            )
            and may_run_at_replica(call),
        )

    def execute_at_holder(
        self, holder: InstanceId, message: ExecuteRequest
    ) -> ExecuteResponse:
        """Run a statement at its holder, which may be this instance."""
        if holder == self.view.own_instance:
            return self.held_databases.run_statement(self.view.own_instance, message)
        asked_at = now_seconds()
        if not self.await_peer(
            holder, min(PEER_NEWS_WAIT_SECONDS, message.give_up_seconds)
        ):
            reason = "peer-lost" if self.view.is_suspect(holder) else "peer-starting"
            return ExecuteResponse(
                not_run_result(message, f"{holder} has not been heard yet"), reason
            )
        waited = now_seconds() - asked_at
        message = message._replace(
            latency_goal_seconds=message.latency_goal_seconds - waited,
            give_up_seconds=message.give_up_seconds - waited,
        )
        timeout = message.give_up_seconds + PEER_ANSWER_MARGIN_SECONDS
        # Only the answer says whether a write was committed, so it is awaited even from
        # a suspected peer.
        can_commit = may_commit(message)
        is_lost = None if can_commit else partial(self.view.is_suspect, holder)
        try:
            with self.links.awaiting_answer(holder):
                done = self.links.call(
                    holder,
                    message,
                    ExecuteResponse,
                    timeout,
                    is_lost,
                    may_repeat=not can_commit,
                )
        except PeerLost as error:
            if not error.restarted:
                self.view.mark_suspect(holder)
                self.links.close_outbox(holder)
            result = lost_answer_result(message, str(error), sent=error.sent)
            return ExecuteResponse(result, "peer-lost")
        return done

    def record_response(
        self, database: Database, done: ExecuteResponse, sent_at: Seconds
    ) -> None:
        """Record the database state that an answer reported."""
        reason = done.reason
        if reason in ("answer-lagging", "begin-lagging"):
            self.view.avoid_for_reads(
                database.id, seconds=AVOID_LAGGING_SECONDS, lagging=True
            )
        elif reason in ("unreachable", "answer-lost", "connection-lost"):
            self.view.avoid_for_reads(
                database.id, seconds=AVOID_UNREACHED_SECONDS, lagging=False
            )
        elif reason == "cold":
            wait = done.result.retry_after_seconds
            self.view.avoid_for_reads(database.id, seconds=wait, lagging=False)
        elif reason in ("answer-read-only", "begin-read-only"):
            self.view.record_lost_lead(database)
        self.view.record_observation(
            database,
            done.point,
            wait_seconds=done.wait_seconds,
            leadership_proof=done.leadership_proof,
            asked_at=sent_at,
            load=done.load,
        )

    def abandon_transaction(self, binding: TransactionBinding) -> None:
        """Ask the holder to roll back a transaction."""
        message = RollbackRequest(
            binding.destination.database.id, binding.transaction_number
        )
        if binding.destination.holder == self.view.own_instance:
            self.held_databases.abandon_transaction(self.view.own_instance, message)
        else:
            self.links.send(binding.destination.holder, message)
