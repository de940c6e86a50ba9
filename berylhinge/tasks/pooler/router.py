"""Send each statement to a database that can serve it; retry where that is safe."""

from __future__ import annotations

from functools import partial
from typing import NamedTuple, TYPE_CHECKING

from ...core.pooler.catalogue import Consistency, databases_of, Route
from ...core.pooler.database_selection import (
    read_order,
    ReadRequirement,
    usable_databases,
)
from ...core.pooler.evacuation import REFUSED_RETRY_SECONDS
from ...core.pooler.failure_results import (
    lost_answer_result,
    may_commit,
    not_run_result,
)
from ...core.pooler.floors import lag_of, read_floor
from ...core.pooler.slot_claims import FAIR_REFUSAL_REASONS
from ...core.pooler.statements import Effect, StatementResult
from ...types import AccessMode, DatabaseRole
from ...wire.pooling import ExecuteRequest, ExecuteResponse, RollbackRequest
from ..clock import now_seconds
from ..peer_links import PeerLost
from .fleet_view import rounded_age
from .read_balancer import ReadBalancer
from .tried_destinations import RETRY_MIN_PAUSE_SECONDS, TriedDestinations

if TYPE_CHECKING:
    from collections.abc import Callable

    from ...core.pooler.catalogue import Database
    from ...core.pooler.sessions import PlannedStatement, Session
    from ...types import InstanceId, LogPoint, OrganisationId, Seconds
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


class Destination(NamedTuple):
    """Describe where a statement runs, from which log position and how it begins."""

    holder: InstanceId
    database: Database
    after: LogPoint | None
    begin: str


class TransactionBinding(NamedTuple):
    """Describe where an open transaction runs; later statements begin nothing."""

    destination: Destination
    transaction_number: int


class RoutingRequest(NamedTuple):
    """Carry a statement with its route, organisation and session."""

    route: Route
    organisation: OrganisationId
    session: Session
    planned_statement: PlannedStatement
    transaction_number: int
    arrived_at: Seconds

    @property
    def deadline(self) -> Seconds:
        """Return when the route's timeout ends the statement."""
        return self.arrived_at + self.route.timeout_seconds


class RoutedResult(NamedTuple):
    """Carry a result, the binding of a transaction still open, and the last attempt."""

    result: StatementResult
    reason: str
    binding: TransactionBinding | None
    attempts: int
    destination: Destination | None


def may_run_at_replica(call: RoutingRequest) -> bool:
    """Tell whether a statement reads only, on a route that does not need the primary."""
    is_read = call.planned_statement.access is AccessMode.READ
    transaction = call.planned_statement.transaction
    if transaction is not None:
        is_read = transaction.read_only
    return is_read and call.route.consistency is not Consistency.PRIMARY


def is_retried(call: RoutingRequest, reason: str) -> bool:
    """Tell whether a statement that did not run is tried again.

    Without room at one database, a read may find some at another one.
    """
    if reason in FAIR_REFUSAL_REASONS:
        return may_run_at_replica(call)
    return reason in RETRY_REASONS


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
        self.await_proof = await_proof
        self.await_peer = await_peer
        self.metrics = metrics
        self.log = log
        self.read_balancer = ReadBalancer(view, metrics=metrics, log=log)

    def run_statement(
        self, call: RoutingRequest, binding: TransactionBinding | None
    ) -> RoutedResult:
        """Run a statement, with retries, until it has a final result."""
        if binding is not None:
            destination = binding.destination
            if not self.view.evacuations.may_continue_work(destination.database):
                self.abandon_transaction(binding)
                return self.refuse_evacuated(call, 0, destination)
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
        last = ExecuteResponse(
            not_run_result(call.planned_statement, "no database is known"),
            "no-database",
        )
        while True:
            destination = self.choose_destination(call, tried)
            if destination is None:
                if self.view.is_stopped_by_evacuation(call.route.service):
                    return self.refuse_evacuated(call, attempts, last_destination)
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
            if result.effect is not Effect.NONE or not is_retried(call, last.reason):
                binding = None
                if (
                    call.planned_statement.transaction is not None
                    and not result.transaction_ended
                ):
                    binding = TransactionBinding(
                        destination._replace(after=None, begin=""), number
                    )
                return RoutedResult(result, last.reason, binding, attempts, destination)
            tried.add(destination.holder, destination.database.id, last.reason)
            last_destination = destination
            if last.reason in FAIR_REFUSAL_REASONS and (
                self.choose_destination(call, tried) is None
            ):
                # No other database is left, and a refusal is never held back.
                break
            self.record_retry(call, destination, last, tried)
        return RoutedResult(last.result, last.reason, None, attempts, last_destination)

    def refuse_evacuated(
        self, call: RoutingRequest, attempts: int, last: Destination | None
    ) -> RoutedResult:
        """Refuse a statement at once that only evacuated databases could run."""
        result = not_run_result(
            call.planned_statement,
            f"what could run it of {call.route.service} is evacuated",
            retry_after_seconds=REFUSED_RETRY_SECONDS,
        )
        return RoutedResult(result, "evacuated", None, attempts, last)

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

    def choose_destination(
        self, call: RoutingRequest, tried: TriedDestinations
    ) -> Destination | None:
        """Return the next destination for a statement, or None if there is none now."""
        if not may_run_at_replica(call):
            return self.choose_primary_destination(call, tried)
        return self.choose_read_destination(call, tried)

    def choose_primary_destination(
        self, call: RoutingRequest, tried: TriedDestinations
    ) -> Destination | None:
        """Return the primary; a read begins a transaction to prove that it leads.

        While another database takes over, its holder keeps the statement until then.
        """
        service = call.route.service
        database = self.view.primary_of(service) or self.view.next_leader_of(service)
        if database is None or not self.view.may_take_work(database):
            return None
        is_single_write = (
            call.planned_statement.transaction is None
            and call.planned_statement.access is AccessMode.WRITE
        )
        begin = "" if is_single_write else "plain"
        for holder in self.view.holders(database):
            if (holder, database.id) not in tried.destinations:
                return Destination(holder, database, None, begin)
            if holder not in tried.skipped_holders:
                return None
        return None

    def choose_read_destination(
        self, call: RoutingRequest, tried: TriedDestinations
    ) -> Destination | None:
        """Return the best database whose log is surely long enough, or the primary."""
        now = now_seconds()
        route = call.route
        self.view.expect_bounded_reads(route.service)
        floors = self.view.floors_of(route.service)
        floor = read_floor(floors, call.arrived_at, route.max_staleness_seconds)
        if floor is None and not tried.has_asked_for_proof:
            # A round trip to a peer is cheaper than a read at the primary.
            tried.has_asked_for_proof = True
            self.await_proof(route.service)
            floor = read_floor(floors, call.arrived_at, route.max_staleness_seconds)
        session_floor = None
        if route.consistency is Consistency.SESSION:
            session_floor = call.session.commit_point
        need = ReadRequirement(
            route.consistency, floor, session_floor, route.max_staleness_seconds
        )
        candidates = self.order_reads(route.service, need, now)
        points = [point for point in (floor, session_floor) if point is not None]
        after = max(points) if floor is not None else None
        for database in candidates:
            holder = self.view.holders(database)[0]
            if (holder, database.id) in tried.destinations:
                continue
            if after is None or database.role is DatabaseRole.PRIMARY:
                break
            begin = "read" if call.planned_statement.transaction else ""
            return Destination(holder, database, after, begin)
        return self.choose_primary_destination(call, tried)

    def order_reads(
        self, service: str, need: ReadRequirement, now: Seconds
    ) -> list[Database]:
        """Return the databases that can serve a read in the order to try them."""
        floors = self.view.floors_of(service)
        databases = self.view.evacuations.readable_databases(
            database
            for database in databases_of(self.view.databases, service)
            if not database.leaving
        )
        lag = partial(lag_of, floors, now=now)
        known = self.view.observations
        if self.view.features.balances_reads:
            usable = usable_databases(databases, known, need, lag=lag, now=now)
            return self.read_balancer.order_reads(service, usable, now)
        return read_order(
            databases,
            known,
            need,
            failure_domain=self.view.failure_domain,
            lag=lag,
            now=now,
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
            may_run_at_replica=self.view.features.shares_slots_fairly
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
                done: ExecuteResponse = self.links.call(
                    holder, message, timeout, is_lost, may_repeat=not can_commit
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
