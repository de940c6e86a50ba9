"""Hold one pooler instance's view of the fleet and the databases."""

from __future__ import annotations

from types import MappingProxyType
from typing import TYPE_CHECKING

from ...core.pooler.assignment import InstanceAssignment
from ...core.pooler.catalogue import may_take_work
from ...core.pooler.cold_start import ColdTolerance
from ...core.pooler.database_load import BelievedLoad
from ...core.pooler.database_selection import DatabaseObservation, UNOBSERVED
from ...core.pooler.failover import (
    DatabaseHealth,
    record_answer,
    record_failure,
    UNKNOWN_HEALTH,
)
from ...core.pooler.floors import FloorHistory, FloorProof, record_proof
from ...core.pooler.leadership import (
    is_lease_valid,
    LeadershipRecord,
    next_leader_of,
    primary_of,
)
from ...core.pooler.promotion_orders import is_lead_proven
from ...platform.terms import NO_FEATURES
from ...types import DatabaseRole
from ..broadcast import Broadcast
from ..clock import now_seconds
from .commit_stops import CommitStops
from .evacuations import Evacuations
from .read_demand import ReadDemand
from .slot_sharing import SlotSharing
from .store_progress import StoreProgress

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

    from ...core.pooler.catalogue import Database
    from ...core.pooler.database_load import DatabaseLoad
    from ...core.pooler.planned_stop import StopSchedule
    from ...platform.terms import Features
    from ...types import (
        FailureDomainId,
        InstanceId,
        LogPoint,
        OrganisationId,
        RegionId,
        Seconds,
        UpstreamId,
    )
    from ...wire.pooling import DatabaseState, LeadershipProof
    from .members import Member

# How long an instance that cannot reach a database leaves it to those that can.
RELINQUISH_SECONDS = 3.0
# Shortest silence of a peer after which an instance skips it and may run a statement
# that commits nothing by itself elsewhere. So a recipient must not run such a statement
# if it arrived this late, or if the recipient stalled for this long. An answer usually
# takes milliseconds.
PEER_FAILOVER_SECONDS = 0.25


class FleetView(StoreProgress):
    """Hold the known state of the fleet: tasks that observe it write, others read."""

    def __init__(
        self,
        own_instance: InstanceId,
        failure_domain: FailureDomainId,
        *,
        trust_seconds: Seconds,
        leaving_seconds: Seconds,
        are_promotions_fenced: bool = True,
        features: Features = NO_FEATURES,
        weight: float = 1.0,
        evacuation_seconds: Seconds = 0.0,
        cold_tolerance: ColdTolerance = ColdTolerance(),
        regions: Mapping[FailureDomainId, RegionId] = MappingProxyType({}),
    ) -> None:
        """Start with nothing known; ``weight`` is this instance's capacity."""
        super().__init__()
        self.features = features
        self.weight = weight
        self.regions = regions
        self.evacuations = Evacuations(
            evacuation_seconds, is_enabled=features.evacuates
        )
        self.leaving_seconds = leaving_seconds
        self.are_promotions_fenced = are_promotions_fenced
        self.own_instance = own_instance
        self.failure_domain = failure_domain
        self.trust_seconds = trust_seconds
        self.databases: dict[UpstreamId, Database] = {}
        self.members: dict[InstanceId, Member] = {}
        self.suspects: set[InstanceId] = set()
        self.floors: dict[str, FloorHistory] = {}
        self.observations: dict[UpstreamId, DatabaseObservation] = {}
        self.loads: dict[UpstreamId, BelievedLoad] = {}
        self.read_demand = ReadDemand()
        self.cold_tolerance = cold_tolerance
        self.cold_until: dict[UpstreamId, Seconds] = {}
        self.announced_at: dict[UpstreamId, Seconds] = {}
        self.leaving_since: dict[UpstreamId, Seconds] = {}
        self.slot_sharing = SlotSharing(is_agreed=features.shares_slots_fairly)
        self.changed = Broadcast()
        self.stop: StopSchedule | None = None
        self.last_tick_at = now_seconds()
        self.resumed_at: Seconds = float("-inf")
        self.cached_assignment = InstanceAssignment(regions)
        self.is_assignment_current = False
        self.registered_at: Seconds = float("inf")
        self.duty_revisions: dict[str, int] = {}
        self.leadership: dict[str, LeadershipRecord] = {}
        self.stored_leaders: dict[str, int] = {}
        self.reported_health: dict[UpstreamId, DatabaseHealth] = {}
        self.relinquished_until: dict[UpstreamId, Seconds] = {}
        self.commit_stops = CommitStops()

    def record_tick(self) -> None:
        """Record that this process runs, and whether it stalled since the last tick."""
        if self.may_have_stalled_since(now_seconds()):
            self.resumed_at = now_seconds()
        self.last_tick_at = now_seconds()

    def may_have_stalled_since(self, moment: Seconds) -> bool:
        """Return whether this process stalled after a moment, or may have."""
        return (
            self.resumed_at >= moment
            or now_seconds() - self.last_tick_at >= PEER_FAILOVER_SECONDS
        )

    def is_confirmed(self) -> bool:
        """Return whether the declarations were confirmed within ``trust_seconds``."""
        return now_seconds() - self.confirmed_at < self.trust_seconds

    def primary_of(self, service: str) -> Database | None:
        """Return the database that leads a service, if one is known."""
        return primary_of(self.databases, service, self.leadership.get(service))

    def next_leader_of(self, service: str) -> Database | None:
        """Return the recorded leader of a service that no database leads yet."""
        return next_leader_of(self.databases, service, self.leadership.get(service))

    def expected_leader_of(self, service: str) -> Database | None:
        """Return the primary of a service, or the database that is to lead it."""
        return self.primary_of(service) or self.next_leader_of(service)

    def is_next_leader(self, database: Database) -> bool:
        """Return whether a database is to lead its service and does not yet."""
        found = self.next_leader_of(database.service)
        return found is not None and found.id == database.id

    def is_lead_proven(self, database: Database, point: LogPoint | None) -> bool:
        """Return whether the next leader leads if it answers as a primary at a point."""
        return is_lead_proven(self.leadership.get(database.service), point)

    def record_lead(self, database: Database) -> None:
        """Record that the recorded leader leads, before it announces so."""
        record = self.leadership[database.service]
        self.databases[database.id] = database._replace(
            role=DatabaseRole.PRIMARY, led_since=record.revision
        )
        self.changed.notify()

    def record_lost_lead(self, database: Database) -> None:
        """Record that a database does not lead, before it announces so."""
        known = self.databases.get(database.id)
        if known is not None and known.role is DatabaseRole.PRIMARY:
            self.databases[database.id] = known._replace(role=DatabaseRole.REPLICA)
            self.changed.notify()

    def uses_leases(self, service: str) -> bool:
        """Return whether the primary of a service is used only under a lease.

        Fenced platforms let a deposed primary refuse statements, but only from then on.
        """
        is_durable = self.declarations.synchronous_replicas(service) > 0
        return is_durable or not self.are_promotions_fenced

    def may_use_as_primary(self, database: Database) -> bool:
        """Return whether statements that need the primary may be sent to a database."""
        if not self.uses_leases(database.service):
            return True
        leader = self.primary_of(database.service)
        return (
            leader is not None
            and leader.id == database.id
            and is_lease_valid(
                confirmed_at=self.confirmed_at,
                valid_from=max(self.registered_at, self.settles_at),
                now=now_seconds(),
            )
        )

    def record_leader(self, service: str, record: LeadershipRecord) -> bool:
        """Record a service's leader; return False if the same or a newer is known."""
        known = self.leadership.get(service)
        if known is not None and known.origin >= record.origin:
            return False
        self.leadership[service] = record
        self.changed.notify()
        return True

    def usable_instances(self) -> dict[InstanceId, FailureDomainId]:
        """Return the instances that may hold databases, with their failure domains."""
        found = {
            member.instance: member.failure_domain
            for member in self.members.values()
            if not member.leaving
            and member.instance not in self.suspects
            and member.instance != self.own_instance
        }
        if self.stop is None or not found:
            found[self.own_instance] = self.failure_domain
        return found

    @property
    def assignment(self) -> InstanceAssignment:
        """Return which instance holds each database, owns each rate and confirms."""
        if not self.is_assignment_current:
            self.is_assignment_current = True
            self.cached_assignment.set_instances(
                self.members,
                self.usable_instances(),
                weights=self.instance_weights(),
                databases=self.databases.values(),
            )
        return self.cached_assignment

    def instance_weights(self) -> dict[InstanceId, float]:
        """Return the capacity of each instance."""
        weights = {name: member.weight for name, member in self.members.items()}
        return {**weights, self.own_instance: self.weight}

    def confirming_instance(self) -> InstanceId:
        """Return the instance that confirms the declarations for the others."""
        return self.assignment.confirmer()

    def relays(self) -> list[InstanceId]:
        """Return the relays of store changes, that of the own failure domain first."""
        return self.assignment.relays(self.failure_domain)

    def rate_owner(self, organisation: OrganisationId) -> InstanceId:
        """Return the instance that counts an organisation's operations."""
        return self.assignment.rate_owner(organisation)

    def holders(self, database: Database) -> list[InstanceId]:
        """Return the instances in line for a database, the rightful holder first."""
        found = self.assignment.holders(database)
        given_up = self.relinquished_until.get(database.id, 0.0)
        if given_up and given_up > now_seconds() and self.own_instance in found:
            return [
                *(name for name in found if name != self.own_instance),
                self.own_instance,
            ]
        return found

    def is_held_here(self, database: Database) -> bool:
        """Return whether this instance is the rightful holder of a database."""
        return self.holders(database)[0] == self.own_instance

    def shares_slots_fairly(self, service: str) -> bool:
        """Return whether organisations compete for a service's slots by shares."""
        return self.slot_sharing.applies_to(service, self.declarations)

    def may_take_work(self, database: Database) -> bool:
        """Return whether a database still accepts new work."""
        if not self.evacuations.may_start_work(database):
            return False
        since = self.leaving_since.get(database.id)
        return may_take_work(database, since, self.leaving_seconds, now_seconds())

    def is_cold(self, database: UpstreamId) -> bool:
        """Return whether a database is still slow after its start, as it announced."""
        return self.cold_until.get(database, 0.0) > now_seconds()

    def is_stopped_by_evacuation(self, service: str) -> bool:
        """Return whether no database may lead a service while an evacuation lasts."""
        return self.evacuations.is_service_stopped(
            self.databases, service, self.primary_of(service)
        )

    def invalidate_assignment(self) -> None:
        """Recompute the assignment at its next use, after a change of its inputs."""
        self.is_assignment_current = False

    def mark_suspect(self, instance: InstanceId) -> None:
        """Skip an instance until it answers a probe or registers again."""
        if instance != self.own_instance and instance not in self.suspects:
            self.suspects.add(instance)
            self.invalidate_assignment()

    def is_suspect(self, instance: InstanceId) -> bool:
        """Return whether an instance is skipped now."""
        return instance in self.suspects

    def clear_suspect(self, instance: InstanceId) -> None:
        """Stop skipping an instance."""
        if instance in self.suspects:
            self.suspects.discard(instance)
            self.invalidate_assignment()

    def floors_of(self, service: str) -> FloorHistory:
        """Return the leadership proofs of a service's primary."""
        found = self.floors.get(service)
        if found is None:
            found = self.floors[service] = FloorHistory()
        return found

    def record_observation(
        self,
        database: Database,
        point: LogPoint | None,
        *,
        wait_seconds: Seconds,
        leadership_proof: LeadershipProof | None,
        asked_at: Seconds,
        age: Seconds = 0.0,
        load: DatabaseLoad | None = None,
    ) -> None:
        """Record the state of a database and its service that an answer reported.

        The answering instance counts ages from the arrival of the request, which was
        not before ``asked_at``; so no observation is taken for newer than it is.
        """
        now = now_seconds()
        known = self.observations.get(database.id, UNOBSERVED)
        observed_at = asked_at - age if age else now
        if observed_at >= known.observed_at:
            self.observations[database.id] = known._replace(
                point=point or known.point,
                observed_at=observed_at,
                wait_seconds=wait_seconds,
            )
            if load is not None:
                self.loads[database.id] = BelievedLoad(
                    load, observed_at, is_shared=age > 0.0
                )
        if leadership_proof is not None:
            proof = FloorProof(
                asked_at - leadership_proof.age_seconds, leadership_proof.point
            )
            record_proof(self.floors_of(database.service), proof, now)

    def record_observations(
        self, states: Iterable[DatabaseState], asked_at: Seconds
    ) -> None:
        """Record the database states that an instance asked at a moment reported."""
        for state in states:
            database = self.databases.get(state.database)
            if database is not None:
                self.record_observation(
                    database,
                    state.point,
                    wait_seconds=state.wait_seconds,
                    leadership_proof=state.leadership_proof,
                    asked_at=asked_at,
                    age=state.age_seconds,
                    load=state.load,
                )

    def reported_load(self, database: UpstreamId) -> DatabaseLoad | None:
        """Return the load of a database as its holder last reported it."""
        believed = self.loads.get(database)
        return None if believed is None else believed.load

    def record_reachability(self, state: DatabaseState, asked_at: Seconds) -> None:
        """Record whether a holder reaches its database."""
        known = self.reported_health.get(state.database, UNKNOWN_HEALTH)
        if state.reachable:
            self.reported_health[state.database] = record_answer(known, asked_at)
        else:
            self.reported_health[state.database] = record_failure(
                known, asked_at, refused=False
            )

    def database_health(
        self, database: UpstreamId, observed: DatabaseHealth | None
    ) -> DatabaseHealth:
        """Return the health observed here, else the one that the holder reported."""
        if observed is not None:
            return observed
        return self.reported_health.get(database, UNKNOWN_HEALTH)

    def relinquish_database(self, database: UpstreamId) -> None:
        """Leave a database for ``RELINQUISH_SECONDS`` to instances that reach it."""
        self.relinquished_until[database] = now_seconds() + RELINQUISH_SECONDS

    def avoid_for_reads(
        self, database: UpstreamId, *, seconds: Seconds, lagging: bool
    ) -> None:
        """Send no reads to a database for some seconds."""
        until = now_seconds() + seconds
        known = self.observations.get(database, UNOBSERVED)
        if lagging:
            self.observations[database] = known._replace(lagging_until=until)
        else:
            self.observations[database] = known._replace(avoided_until=until)
