"""Run the whole fleet's statements on one database that this instance holds."""

from __future__ import annotations

from typing import TYPE_CHECKING

import gevent

from ...core.pooler.failure_results import (
    begins_on_primary,
    error_result,
    may_commit,
    NOT_RUN_CODES,
    not_run_result,
)
from ...core.pooler.floors import newest_proof
from ...core.pooler.slot_claims import claim_of, SlotRefusal
from ...core.pooler.statements import Effect, ErrorCode, refused_result, StatementResult
from ...platform import line_protocol
from ...types import AccessMode, DatabaseRole
from ...wire.pooling import DatabaseState, ExecuteResponse
from ..clock import now_seconds
from ..http_connection import ConnectionFailed
from .cold_limit import ColdLimit
from .connection_pool import ConnectionPool, UnitFailed
from .database_meter import DatabaseMeter
from .database_probe import DatabaseProbe, STATUS_TIMEOUT_SECONDS
from .database_tracker import DatabaseTracker, proof_for_peer
from .pinned_connection import lost_failure, moved_failure, PinnedConnection
from .run_conditions import (
    await_lead,
    check_may_lead,
    check_not_evacuated,
    check_not_stalled,
)
from .statement_exchange import connection_failure, exchange_statement
from .statement_slots import StatementSlots
from .status_renewal import is_status_due

if TYPE_CHECKING:
    from ...core.pooler.catalogue import Database
    from ...core.pooler.slot_scheduling import SlotWaiter
    from ...platform.line_protocol import DatabaseAnswer
    from ...types import InstanceId, LogPoint, OrganisationId, Seconds
    from ...wire.pooling import ExecuteRequest, LeadershipProof, RollbackRequest
    from ..logs import Log
    from .database_connection import DatabaseConnection
    from .fleet_view import FleetView
    from .slot_reports import SlotReports


class DatabaseTask:
    """Own the queue, the connections and the observed state of one database."""

    def __init__(
        self, database: Database, view: FleetView, log: Log, reports: SlotReports
    ) -> None:
        """Start without connections."""
        self.database = database
        self.view = view
        self.log = log
        self.reports = reports
        self.slots = StatementSlots(
            database.slots, shares_fairly=view.shares_slots_fairly(database.service)
        )
        self.meter = DatabaseMeter(self.slots, enabled=view.features.balances_reads)
        self.pinned_connections: dict[tuple[InstanceId, int], PinnedConnection] = {}
        self.opening: list[OrganisationId] = []
        self.cold_limit = ColdLimit(view)
        self.tracker = DatabaseTracker()
        self.pool = ConnectionPool(
            database,
            view,
            self.tracker,
            on_failure=lambda: self.probe.start(),
            on_count=reports.count_connection,
        )
        self.probe = DatabaseProbe(self.pool, self.tracker, view, log)

    def run_statement(
        self, sender: InstanceId, request: ExecuteRequest, delay: Seconds
    ) -> ExecuteResponse:
        """Run one statement that was ``delay`` seconds in transit."""
        arrived_at = now_seconds()
        try:
            result = self.run_in_slot(sender, request, arrived_at, arrived_at - delay)
            reason = ""
        except UnitFailed as failure:
            result, reason = failure.result, failure.reason
            self.meter.record_failure(request, reason)
        return self.make_response(result, reason, arrived_at)

    def make_response(
        self, result: StatementResult, reason: str, arrived_at: Seconds
    ) -> ExecuteResponse:
        """Add the known state of the database and its service to a result."""
        wait = self.slots.expected_wait()
        proved = self.leadership_proof(arrived_at)
        point, load = self.tracker.newest_point, self.meter.report()
        return ExecuteResponse(result, reason, point, wait, proved, load)

    def leadership_proof(self, arrived_at: Seconds) -> LeadershipProof | None:
        """Return the newest proof that the service's primary leads, with its age."""
        proof = self.tracker.leadership_proof
        if proof is None and self.database.role is not DatabaseRole.PRIMARY:
            self.view.read_demand.expect(self.database.service)
            proof = newest_proof(self.view.floors_of(self.database.service))
        return proof_for_peer(proof, arrived_at)

    def database_state(self) -> DatabaseState:
        """Return the known state of the database."""
        wait = self.slots.expected_wait()
        proved = proof_for_peer(self.tracker.leadership_proof, now_seconds())
        point, reachable = self.tracker.newest_point, not self.tracker.has_failed
        known = (self.database.id, point, wait, proved, reachable, 0.0)
        return DatabaseState(*known, self.meter.report())

    def run_in_slot(
        self,
        sender: InstanceId,
        request: ExecuteRequest,
        arrived_at: Seconds,
        sent_at: Seconds,
    ) -> StatementResult:
        """Run one statement when it gets a slot; raise UnitFailed."""
        deadline = arrived_at + request.give_up_seconds
        key = (sender, request.transaction)
        connection, needs_primary = None, begins_on_primary(request)
        if request.continues_transaction:
            found = self.take_pinned_connection(key, request.organisation)
            connection, needs_primary = found.connection, found.needs_primary
        pinned, usable, is_kept_open = connection is not None, False, False
        is_opening = False
        try:
            if needs_primary and not pinned:
                await_lead(self.view, self.database, request, deadline)
            check_may_lead(self.view, self.database, request, needs_primary)
            check_not_evacuated(self.view, self.database, request)
            self.check_may_open_transaction(request, pinned)
            self.cold_limit.check(self.database, request)
            slot = self.wait_for_slot(request, pinned, arrived_at, deadline)
            usable = True
            started_at, held_seconds, ran_seconds = now_seconds(), None, None
            try:
                if connection is None:
                    check_not_evacuated(self.view, self.database, request)
                    # Those that waited with it may have begun theirs meanwhile.
                    self.check_may_open_transaction(request, pinned)
                    if request.transaction:
                        is_opening = True
                        self.opening.append(request.organisation)
                    connection = self.pool.acquire(request, deadline)
                    check_not_evacuated(self.view, self.database, request)
                usable = not pinned
                self.cold_limit.admit(self.database, request, deadline)
                usable, run_at = True, now_seconds()
                if not may_commit(request):
                    self.slots.abandon[slot.number] = connection.abandon
                result = self.run_on_connection(
                    connection,
                    request,
                    sent_at,
                    deadline,
                    needs_primary=needs_primary,
                )
                ended_at = now_seconds()
                held_seconds, ran_seconds = ended_at - started_at, ended_at - run_at
            finally:
                # Waits for a connection say nothing of the database's speed.
                learned = ran_seconds if self.slots.shares_fairly else held_seconds
                self.slots.release_slot(slot, learned)
                if is_opening:
                    self.opening.remove(request.organisation)
                is_own_work = needs_primary and not request.may_run_at_replica
                self.meter.record_run(request, ran_seconds, is_own_work)
            if request.transaction and not result.transaction_ended:
                until = now_seconds() + request.idle_seconds
                self.pinned_connections[key] = PinnedConnection(
                    connection, until, needs_primary
                )
                is_kept_open = True
            return result
        finally:
            if connection is not None and not is_kept_open:
                self.pool.release(connection, clean=usable)

    def check_may_open_transaction(self, request: ExecuteRequest, pinned: bool) -> None:
        """Raise UnitFailed if open transactions hold too many connections."""
        if request.transaction and not pinned and self.slots.shares_fairly:
            kept = self.pinned_connections.values()
            holders = [entry.connection.organisation for entry in kept]
            self.pool.check_may_open_transaction(request, holders + self.opening)

    def take_pinned_connection(
        self, key: tuple[InstanceId, int], organisation: OrganisationId
    ) -> PinnedConnection:
        """Take out the connection of an open transaction; raise UnitFailed."""
        pinned = self.pinned_connections.pop(key, None)
        if pinned is not None and pinned.connection.organisation != organisation:
            gevent.spawn(self.roll_back_and_return, pinned.connection)
            raise moved_failure(organisation)
        if pinned is None or pinned.connection.sock is None:
            if pinned is not None:
                self.pool.discard(pinned.connection)
            raise lost_failure()
        return pinned

    def wait_for_slot(
        self,
        request: ExecuteRequest,
        pinned: bool,
        arrived_at: Seconds,
        deadline: Seconds,
    ) -> SlotWaiter:
        """Wait for a slot; raise UnitFailed when none becomes free in time."""
        if self.tracker.is_unresponsive:
            raise self.pool.unreachable_failure(request)
        is_primary = self.database.role is DatabaseRole.PRIMARY
        yields = request.may_run_at_replica and is_primary
        claim = claim_of(request, arrived_at, deadline, pinned=pinned, yields=yields)
        found = self.slots.wait_for_slot(claim, arrived_at)
        if found is None:
            raise self.pool.unreachable_failure(request)
        if isinstance(found, SlotRefusal):
            self.reports.record_refusal(request, found, arrived_at)
            result = not_run_result(
                request, found.detail, retry_after_seconds=found.retry_after_seconds
            )
            raise UnitFailed(result, found.reason)
        return found

    def run_on_connection(
        self,
        connection: DatabaseConnection,
        request: ExecuteRequest,
        request_sent_at: Seconds,
        deadline: Seconds,
        *,
        needs_primary: bool,
    ) -> StatementResult:
        """Run a statement on its connection; raise UnitFailed."""
        asked_at = now_seconds()
        is_single = not request.transaction
        try:
            connection.restore_session(request, deadline - now_seconds())
            if request.begin_mode:
                check_may_lead(self.view, self.database, request, needs_primary)
                self.begin_transaction(connection, request, deadline)
            try:
                check_may_lead(self.view, self.database, request, needs_primary)
                check_not_stalled(self.view, request, request_sent_at)
                check_not_evacuated(self.view, self.database, request)
            except UnitFailed:
                if request.transaction or request.begin_mode:
                    connection.close()
                raise
            timeout = deadline - now_seconds()
            if is_single and request.access is AccessMode.READ:
                timeout = min(
                    timeout, self.slots.answer_timeout(request.priority, request.access)
                )
            sent_at = now_seconds()
            self.tracker.pending_since[connection.number] = sent_at
            answer = exchange_statement(
                connection,
                request,
                timeout,
                self.view,
                self.database,
                needs_primary=needs_primary,
            )
            self.tracker.record_answer()
            result = self.interpret_answer(connection, request, answer, sent_at)
        except ConnectionFailed as error:
            self.tracker.record_failure(asked_at, refused=False)
            self.probe.start()
            raise connection_failure(self.database, request, error) from error
        finally:
            self.tracker.pending_since.pop(connection.number, None)
        if is_single and request.begin_mode:
            self.roll_back_connection(connection)
        return result

    def begin_transaction(
        self, connection: DatabaseConnection, request: ExecuteRequest, deadline: Seconds
    ) -> None:
        """Begin a transaction; raise UnitFailed when the database refuses."""
        read_only = request.begin_mode == "read"
        text = line_protocol.begin_text(read_only=read_only)
        sent_at = now_seconds()
        after = request.after if read_only else None
        answer = connection.exchange("", text, deadline - sent_at, after=after)
        if answer.code is not None:
            code = answer.code if answer.code in NOT_RUN_CODES else ErrorCode.ABORTED
            result = refused_result(code, f"{self.database.id}: {answer.detail}")
            raise UnitFailed(result, f"begin-{answer.code.value}")
        if not read_only:
            self.record_proof(sent_at, answer.point)

    def interpret_answer(
        self,
        connection: DatabaseConnection,
        request: ExecuteRequest,
        answer: DatabaseAnswer,
        sent_at: Seconds,
    ) -> StatementResult:
        """Return the result of a successful answer; raise UnitFailed for an error."""
        self.tracker.point = answer.point or self.tracker.point
        if answer.code is None:
            wrote = request.access is AccessMode.WRITE and not request.transaction
            if wrote or request.begin_mode == "plain":
                self.record_proof(sent_at, answer.point)
            return StatementResult(
                Effect.DONE,
                rows=answer.rows,
                signature=answer.signature,
                point=answer.point,
                transaction_ended=not request.transaction or request.is_commit,
            )
        if request.transaction or request.begin_mode:
            connection.close()
        detail = f"{self.database.id}: {answer.detail}"
        result = error_result(request, answer.code, detail)
        raise UnitFailed(result, f"answer-{answer.code.value}")

    def record_proof(self, asked_at: Seconds, point: LogPoint | None) -> None:
        """Record a leadership proof, unless the database may have been deposed."""
        if self.view.may_use_as_primary(self.database):
            self.tracker.record_proof(asked_at, point)

    def abandon_transaction(self, sender: InstanceId, message: RollbackRequest) -> None:
        """Roll back a transaction and keep its connection."""
        pinned = self.pinned_connections.pop((sender, message.transaction), None)
        if pinned is not None:
            gevent.spawn(self.roll_back_and_return, pinned.connection)

    def roll_back_and_return(self, connection: DatabaseConnection) -> None:
        """Roll back and return the connection to the pool."""
        self.roll_back_connection(connection)
        self.pool.release(connection, clean=True)

    def roll_back_connection(self, connection: DatabaseConnection) -> None:
        """Roll back a connection's transaction; close the connection on failure."""
        try:
            connection.run_internal(line_protocol.ROLLBACK_TEXT, STATUS_TIMEOUT_SECONDS)
        except ConnectionFailed as error:
            self.log.info(
                "A rollback had no answer; closed.",
                database=self.database.id,
                error=str(error),
            )

    def maintain(self, *, is_holder: bool, is_asked: bool = False) -> None:
        """End overdue transactions and connections; renew a leadership proof.

        A status is also requested for a peer that ``is_asked`` tells of, which takes
        this instance for the holder.
        """
        now = now_seconds()
        silent_since = self.tracker.unanswered_since()
        if silent_since is not None:
            self.tracker.record_failure(silent_since, refused=False)
        if self.tracker.has_failed:
            self.probe.start()
        if self.tracker.is_unresponsive and self.slots.slot_waiters:
            self.slots.reject_waiters()
        overdue = self.slots.free_overdue(self.pool.connection_limit // 2)
        self.reports.count_overdue(overdue)
        self.slots.refuse_hopeless()
        self.cold_limit.record_holder(
            self.database,
            is_holder=is_holder,
            is_refused=self.tracker.health.refused,
        )
        is_emptied = not self.view.evacuations.may_continue_work(self.database)
        for key, pinned in list(self.pinned_connections.items()):
            if pinned.expires_at <= now or is_emptied:
                del self.pinned_connections[key]
                gevent.spawn(self.roll_back_and_return, pinned.connection)
        self.pool.close_expired(is_holder=is_holder)
        is_reported = is_holder or is_asked
        if is_reported and is_status_due(self.view, self.database, self.tracker, now):
            self.probe.start()

    def close(self) -> None:
        """Close every connection."""
        self.pool.close_idle()
        for pinned in self.pinned_connections.values():
            self.pool.discard(pinned.connection)
        self.pinned_connections.clear()
