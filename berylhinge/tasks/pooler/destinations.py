"""Choose the database and the holder that run a statement."""

from __future__ import annotations

from functools import partial
from typing import NamedTuple, TYPE_CHECKING

from ...core.pooler.catalogue import Consistency, databases_of, Route
from ...core.pooler.database_selection import (
    read_order,
    ReadRequirement,
    usable_databases,
)
from ...core.pooler.floors import lag_of, read_floor
from ...core.pooler.homes import (
    ANYWHERE,
    has_no_home,
    home_holders,
    Homes,
    homes_of,
)
from ...types import AccessMode, DatabaseRole
from ..clock import now_seconds

if TYPE_CHECKING:
    from collections.abc import Callable

    from ...core.pooler.catalogue import Database
    from ...core.pooler.sessions import PlannedStatement, Session
    from ...types import InstanceId, LogPoint, OrganisationId, Seconds
    from .fleet_view import FleetView
    from .read_balancer import ReadBalancer
    from .tried_destinations import TriedDestinations


# Why no permitted database can run a statement now.
REFUSAL_TEXTS = {
    "evacuated": "what could run it of {service} is evacuated",
    "key-moved": "the key belongs to another organisation now; start again for that one",
    "no-home": "what could run it of {service} lies outside its home regions",
}


class Destination(NamedTuple):
    """Describe where a statement runs, from which log position and how it begins."""

    holder: InstanceId
    database: Database
    after: LogPoint | None
    begin: str


class TransactionBinding(NamedTuple):
    """Describe where an open transaction runs and for whom it was begun.

    Later statements begin nothing.
    """

    destination: Destination
    transaction_number: int
    organisation: OrganisationId


class RoutingRequest(NamedTuple):
    """Carry a statement with its route, organisation and session.

    The organisation is the one that held the caller's ``key`` when the statement came.
    """

    route: Route
    key: str
    organisation: OrganisationId
    session: Session
    planned_statement: PlannedStatement
    transaction_number: int
    arrived_at: Seconds

    @property
    def deadline(self) -> Seconds:
        """Return when the route's timeout ends the statement."""
        return self.arrived_at + self.route.timeout_seconds


def may_run_at_replica(call: RoutingRequest) -> bool:
    """Tell whether a statement reads only, on a route that does not need the primary."""
    is_read = call.planned_statement.access is AccessMode.READ
    transaction = call.planned_statement.transaction
    if transaction is not None:
        is_read = transaction.read_only
    return is_read and call.route.consistency is not Consistency.PRIMARY


class DestinationChooser:
    """Choose where statements run by what this instance knows of the fleet."""

    def __init__(
        self,
        view: FleetView,
        read_balancer: ReadBalancer,
        *,
        await_proof: Callable[[str], None],
    ) -> None:
        """Keep what the choice rests on."""
        self.view = view
        self.read_balancer = read_balancer
        self.await_proof = await_proof

    def choose(
        self, call: RoutingRequest, tried: TriedDestinations
    ) -> Destination | None:
        """Return the next destination for a statement, or None if there is none now."""
        homes = self.homes_of(call)
        if not may_run_at_replica(call):
            return self.choose_primary(call, tried, homes)
        return self.choose_for_read(call, tried, homes)

    def homes_of(self, call: RoutingRequest) -> Homes:
        """Return the regions to which a statement is limited."""
        return homes_of(
            self.view.declarations, call.route, call.organisation, self.view.regions
        )

    def has_key_moved(self, call: RoutingRequest, organisation: OrganisationId) -> bool:
        """Return whether another organisation holds the caller's key by now."""
        return self.view.declarations.organisation_of(call.key) != organisation

    def why_stopped(
        self, call: RoutingRequest, binding: TransactionBinding
    ) -> str | None:
        """Return why an open transaction may not go on."""
        database = binding.destination.database
        if self.has_key_moved(call, binding.organisation):
            return "key-moved"
        if not self.view.evacuations.may_continue_work(database):
            return "evacuated"
        if not self.homes_of(call).includes(database.failure_domain):
            return "no-home"
        return None

    def why_unservable(self, call: RoutingRequest) -> str | None:
        """Return why no database that is left to a statement can run it now."""
        service = call.route.service
        if self.view.is_stopped_by_evacuation(service):
            return "evacuated"
        is_away = has_no_home(
            self.view.databases,
            service,
            self.view.expected_leader_of(service),
            self.homes_of(call),
            reads_replicas=may_run_at_replica(call),
        )
        return "no-home" if is_away else None

    def holders(self, database: Database, homes: Homes) -> list[InstanceId]:
        """Return the instances in line for a database that a statement may go to."""
        found = self.view.holders(database)
        if homes.regions is None:
            return found
        return home_holders(
            found,
            homes,
            self.view.assignment.failure_domains,
            self.view.own_instance,
        )

    def choose_primary(
        self, call: RoutingRequest, tried: TriedDestinations, homes: Homes
    ) -> Destination | None:
        """Return the primary; a read begins a transaction to prove that it leads.

        While another database takes over, its holder keeps the statement until then.
        """
        service = call.route.service
        database = self.view.expected_leader_of(service)
        if database is None or not self.view.may_take_work(database):
            return None
        if not homes.includes(database.failure_domain):
            return None
        is_single_write = (
            call.planned_statement.transaction is None
            and call.planned_statement.access is AccessMode.WRITE
        )
        begin = "" if is_single_write else "plain"
        for holder in self.holders(database, homes):
            if (holder, database.id) not in tried.destinations:
                return Destination(holder, database, None, begin)
            if holder not in tried.skipped_holders:
                return None
        return None

    def choose_for_read(
        self, call: RoutingRequest, tried: TriedDestinations, homes: Homes
    ) -> Destination | None:
        """Return the best database whose log is surely long enough, or the primary."""
        now = now_seconds()
        route = call.route
        self.view.read_demand.expect(route.service)
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
        candidates = self.order_reads(
            route.service, call.organisation, need, now, homes
        )
        points = [point for point in (floor, session_floor) if point is not None]
        after = max(points) if floor is not None else None
        for database in candidates:
            holder = next(iter(self.holders(database, homes)), None)
            if holder is None or (holder, database.id) in tried.destinations:
                continue
            if after is None or database.role is DatabaseRole.PRIMARY:
                break
            begin = "read" if call.planned_statement.transaction else ""
            return Destination(holder, database, after, begin)
        return self.choose_primary(call, tried, homes)

    def order_reads(
        self,
        service: str,
        organisation: OrganisationId,
        need: ReadRequirement,
        now: Seconds,
        homes: Homes = ANYWHERE,
    ) -> list[Database]:
        """Return the databases that can serve a read in the order to try them."""
        floors = self.view.floors_of(service)
        databases = self.view.evacuations.readable_databases(
            database
            for database in databases_of(self.view.databases, service)
            if not database.leaving and homes.includes(database.failure_domain)
        )
        lag = partial(lag_of, floors, now=now)
        known = self.view.observations
        if self.view.features.balances_reads:
            usable = usable_databases(databases, known, need, lag=lag, now=now)
            return self.read_balancer.order_reads(service, organisation, usable, now)
        return read_order(
            databases,
            known,
            need,
            failure_domain=self.view.failure_domain,
            lag=lag,
            now=now,
        )
