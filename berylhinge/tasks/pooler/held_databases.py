"""Keep a task for each database whose statements this instance runs."""

from __future__ import annotations

from math import isfinite
from typing import TYPE_CHECKING

from ...core.pooler.database_selection import UNOBSERVED
from ...core.pooler.failure_results import may_commit, not_run_result
from ...core.pooler.planned_stop import may_start_statement
from ...core.pooler.statements import ErrorCode, refused_result
from ...platform import line_protocol
from ...types import DatabaseRole
from ...wire.pooling import (
    DatabaseState,
    DatabaseStatesResponse,
    ExecuteResponse,
    RollbackRequest,
)
from ..clock import now_seconds
from .database_task import DatabaseTask
from .fleet_view import PEER_FAILOVER_SECONDS
from .slot_reports import SlotReports

if TYPE_CHECKING:
    from ...core.pooler.catalogue import Database
    from ...types import InstanceId, Seconds, UpstreamId
    from ...wire.pooling import DatabaseStatesRequest, ExecuteRequest
    from ..logs import Log
    from ..metrics import Metrics
    from .fleet_view import FleetView

# Peers that take another instance for the holder of a database ask it once a second.
ASKED_SECONDS = 2.0


class HeldDatabases:
    """Own the database tasks of this instance."""

    def __init__(self, view: FleetView, log: Log, metrics: Metrics) -> None:
        """Start without databases."""
        self.reports = SlotReports(metrics, log)
        self.view = view
        self.log = log
        self.tasks: dict[UpstreamId, DatabaseTask] = {}
        self.asked_until: dict[UpstreamId, Seconds] = {}
        # Statements of all instances that have no result yet.
        self.running = 0

    def ensure_task(self, database: UpstreamId) -> DatabaseTask | None:
        """Return a known database's task, a new one if its ``born_ms`` has changed."""
        known = self.view.databases.get(database)
        if known is None:
            return None
        found = self.tasks.get(database)
        if found is None or found.database.born_ms != known.born_ms:
            if found is not None:
                found.close()
            found = self.tasks[database] = DatabaseTask(
                known, self.view, self.log, self.reports
            )
        found.database = found.pool.database = known
        return found

    def run_statement(
        self, sender: InstanceId, request: ExecuteRequest, delay: Seconds = 0.0
    ) -> ExecuteResponse:
        """Run one statement, delayed in transit by ``delay`` seconds beyond others."""
        self.running += 1
        try:
            return self.run_if_possible(sender, request, delay)
        finally:
            self.running -= 1

    def run_if_possible(
        self, sender: InstanceId, request: ExecuteRequest, delay: Seconds
    ) -> ExecuteResponse:
        """Run one statement, or refuse it with the reason why it cannot run here."""
        limit = request.give_up_seconds - delay
        if not may_start_statement(self.view.stop, now_seconds(), limit):
            if request.continues_transaction:
                self.abandon_transaction(
                    sender, RollbackRequest(request.database, request.transaction)
                )
            detail = f"{self.view.own_instance} stops"
            return ExecuteResponse(not_run_result(request, detail), "stopping")
        if delay >= PEER_FAILOVER_SECONDS and not may_commit(request):
            if request.continues_transaction:
                self.abandon_transaction(
                    sender, RollbackRequest(request.database, request.transaction)
                )
            result = not_run_result(
                request,
                f"it arrived {delay:.3f} s late and the sender may have given up",
            )
            return ExecuteResponse(result, "late")
        unsendable = line_protocol.find_unsendable(request)
        if unsendable:
            return self.refuse_unsendable(request, unsendable)
        request = request._replace(
            latency_goal_seconds=request.latency_goal_seconds - delay,
            give_up_seconds=request.give_up_seconds - delay,
        )
        task = self.tasks.get(request.database)
        if task is None or not request.continues_transaction:
            task = self.ensure_task(request.database)
        if task is None:
            result = not_run_result(
                request, f"{request.database} is not known to this instance"
            )
            return ExecuteResponse(result, "not-holding")
        relinquished = (
            self.view.relinquished_until.get(request.database, 0.0) > now_seconds()
        )
        if relinquished and not request.continues_transaction:
            result = not_run_result(
                request, f"{request.database} is not reachable from this instance"
            )
            return ExecuteResponse(result, "given-up")
        return task.run_statement(sender, request, delay)

    def refuse_unsendable(
        self, request: ExecuteRequest, unsendable: str
    ) -> ExecuteResponse:
        """Refuse a statement that a database would not read as one line."""
        detail = f"the {unsendable} does not fit into one line"
        self.log.info(
            "A statement cannot be sent as one line.",
            request_id=request.request,
            organisation=request.organisation,
            detail=detail,
        )
        result = refused_result(ErrorCode.MALFORMED, detail)
        return ExecuteResponse(result, "unsendable")

    def abandon_transaction(self, sender: InstanceId, message: RollbackRequest) -> None:
        """Roll back an open transaction of the sender."""
        task = self.tasks.get(message.database)
        if task is not None:
            task.abandon_transaction(sender, message)

    def has_open_transactions(self) -> bool:
        """Return whether a transaction of any instance is open at a held database."""
        return any(task.pinned_connections for task in self.tasks.values())

    def end_transactions(self) -> None:
        """Roll back the open transactions that wait for their next statement."""
        for task in self.tasks.values():
            for sender, number in list(task.pinned_connections):
                task.abandon_transaction(
                    sender, RollbackRequest(task.database.id, number)
                )

    def report_databases(
        self, sender: InstanceId, message: DatabaseStatesRequest
    ) -> DatabaseStatesResponse:
        """Report the states of the databases that this instance holds.

        The holder of a primary also reports the replicas of its service, so that other
        instances need not ask the holder of each.
        """
        self.view.read_demand.request_positions(message.read_services)
        for name in message.databases:
            self.asked_until[name] = now_seconds() + ASKED_SECONDS
            self.ensure_task(name)
        reported = [
            task for name, task in self.tasks.items() if self.is_in_charge(name)
        ]
        held = [self.own_state(task) for task in reported]
        held_ids = {state.database for state in held}
        led_services = {
            task.database.service
            for task in reported
            if task.database.role is DatabaseRole.PRIMARY
        }
        others = [
            self.reported_state(database)
            for database in self.view.databases.values()
            if database.service in led_services and database.id not in held_ids
        ]
        age = now_seconds() - self.view.confirmed_at
        return DatabaseStatesResponse((*held, *others), self.view.revision, age)

    def update_gauges(self) -> None:
        """Set the gauges of the slots and connections of all held databases."""
        self.reports.update_connections(
            (name, task.pool.open_count) for name, task in self.tasks.items()
        )
        self.reports.update_gauges(
            (name, task.slots) for name, task in self.tasks.items()
        )

    def reported_state(self, database: Database) -> DatabaseState:
        """Return the state of a database as its holder last reported it."""
        observation = self.view.observations.get(database.id, UNOBSERVED)
        age = now_seconds() - observation.observed_at
        wait = observation.wait_seconds
        load = self.view.reported_load(database.id)
        return DatabaseState(
            database.id, observation.point, wait, None, True, age, load
        )

    def is_holder(self, database: UpstreamId) -> bool:
        """Return whether this instance is a database's rightful holder.

        An instance that cannot confirm its keys leaves the connections to the others.
        """
        known = self.view.databases.get(database)
        if known is None or not self.view.is_confirmed():
            return False
        return self.view.is_held_here(known)

    def is_first_in_line(self, database: UpstreamId) -> bool:
        """Return whether a database is this instance's to hold, even if given up now."""
        known = self.view.databases.get(database)
        if known is None:
            return False
        return self.view.assignment.holders(known)[0] == self.view.own_instance

    def is_asked(self, database: UpstreamId) -> bool:
        """Return whether a peer takes this instance for the holder of a database."""
        return self.asked_until.get(database, 0.0) > now_seconds()

    def is_in_charge(self, database: UpstreamId) -> bool:
        """Return whether this instance reports what it sees of a database."""
        if self.is_first_in_line(database):
            return True
        has_answered = isfinite(self.tasks[database].tracker.answer_age_seconds)
        return (
            has_answered and database in self.view.databases and self.is_asked(database)
        )

    def own_state(self, task: DatabaseTask) -> DatabaseState:
        """Return the state of a database as this instance sees it.

        Only what its first holder sees is the present; others tell how old it is.
        """
        state = task.database_state()
        if self.is_first_in_line(task.database.id):
            return state
        return state._replace(age_seconds=task.tracker.answer_age_seconds)

    def tend(self) -> None:
        """Maintain the tasks of held databases; close those of removed databases."""
        self.view.record_tick()
        held = {name for name in self.view.databases if self.is_holder(name)}
        for identifier in held:
            self.ensure_task(identifier)
        for identifier, task in list(self.tasks.items()):
            task.maintain(
                is_holder=identifier in held, is_asked=self.is_asked(identifier)
            )
            if self.is_in_charge(identifier):
                self.view.record_observations((self.own_state(task),), now_seconds())
            elif identifier in self.view.databases:
                # A former holder no longer sees what the database does.
                continue
            elif not task.pinned_connections and not task.slots.unanswered:
                task.close()
                del self.tasks[identifier]
                self.asked_until.pop(identifier, None)
                self.reports.update_connections([(identifier, 0)])
