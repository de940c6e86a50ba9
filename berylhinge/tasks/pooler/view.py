"""Hold what one pooler instance believes of the fleet and the databases."""

from __future__ import annotations

from math import isfinite
from typing import NamedTuple, TYPE_CHECKING

from ...core.pooler.assignment import Assignment
from ...core.pooler.catalogue import may_take_work, NO_DECLARATIONS
from ...core.pooler.failover import answered, failed, Health, UNKNOWN_HEALTH
from ...core.pooler.floors import Floors, Proof, record
from ...core.pooler.placement import Sight, UNSEEN
from ..clock import now_seconds
from ..signal import Broadcast

if TYPE_CHECKING:
    from collections.abc import Iterable

    from ...core.pooler.catalogue import Database, Declarations
    from ...types import (
        InstanceId,
        LogPoint,
        OrganisationId,
        PlaceId,
        Seconds,
        UpstreamId,
    )
    from ...wire.pooling import Proved, Seen

# An instance that lost a database which others reach leaves it to them this long.
RELINQUISH_SECONDS = 3.0
# Reads of a service are expected for this long after the last; callers pause less.
READ_DEMAND_SECONDS = 2.0
# The shortest wait after which an instance passes a silent one over, and may have what
# cannot be kept by itself run at another place; whoever came late by as much, or stood
# still for as long, must not run that any more. An answer usually takes milliseconds.
PASSED_OVER_SECONDS = 0.25


def age_of(moment: Seconds) -> Seconds | None:
    """Return how long ago a moment was, rounded for a log; None for never."""
    age = now_seconds() - moment
    return round(age, 3) if isfinite(age) else None


class Member(NamedTuple):
    """Describe a registered instance."""

    instance: InstanceId
    place: PlaceId
    address: str
    incarnation: int
    leaving: bool


class Confirmation(NamedTuple):
    """Hold a revision that the store had at a moment, learned later."""

    revision: int
    at: Seconds
    learned_at: Seconds


class View:
    """Hold beliefs; changed by the tasks that learn, read by those that decide."""

    def __init__(
        self,
        me: InstanceId,
        place: PlaceId,
        *,
        trust_seconds: Seconds,
        leaving_seconds: Seconds,
    ) -> None:
        """Start without knowledge."""
        self.leaving_seconds = leaving_seconds
        self.me = me
        self.place = place
        self.trust_seconds = trust_seconds
        self.declarations: Declarations = NO_DECLARATIONS
        self.databases: dict[UpstreamId, Database] = {}
        self.members: dict[InstanceId, Member] = {}
        self.suspects: set[InstanceId] = set()
        self.revision = 0
        self.confirmed_at: Seconds = float("-inf")
        self.ahead: Confirmation | None = None
        self.floors: dict[str, Floors] = {}
        self.sights: dict[UpstreamId, Sight] = {}
        self.bounded_reads_until: dict[str, Seconds] = {}
        self.leaving_since: dict[UpstreamId, Seconds] = {}
        self.changed = Broadcast()
        self.stopping = False
        self.ticked_at = now_seconds()
        self.woke_at: Seconds = float("-inf")
        self.assigned = Assignment()
        self.is_assignment_current = False
        self.duties: dict[str, int] = {}
        self.reported: dict[UpstreamId, Health] = {}
        self.given_up: dict[UpstreamId, Seconds] = {}

    def tick(self) -> None:
        """Note that this process runs, and whether it stood still since the last."""
        if self.has_slept_since(now_seconds()):
            self.woke_at = now_seconds()
        self.ticked_at = now_seconds()

    def has_slept_since(self, moment: Seconds) -> bool:
        """Tell whether this process stood still after a moment, or does not know."""
        return (
            self.woke_at >= moment
            or now_seconds() - self.ticked_at >= PASSED_OVER_SECONDS
        )

    def confirm(self, revision: int, at: Seconds) -> None:
        """Take in that the store's newest revision was this one at a moment.

        What this instance knows is current as of then once it knows that revision.
        """
        if revision <= self.revision and self.declarations.version:
            self.confirmed_at = max(self.confirmed_at, at)
        elif self.ahead is None:
            self.ahead = Confirmation(revision, at, now_seconds())
        elif at > self.ahead.at:
            self.ahead = self.ahead._replace(revision=revision, at=at)

    def advance(self, revision: int) -> None:
        """Take in that every change up to a revision is known here."""
        self.revision = max(self.revision, revision)
        ahead = self.ahead
        if ahead is not None and ahead.revision <= self.revision:
            self.ahead = None
            self.confirm(ahead.revision, ahead.at)

    def is_confirmed(self) -> bool:
        """Tell whether the declarations were proven current lately enough."""
        return now_seconds() - self.confirmed_at < self.trust_seconds

    def usable(self) -> dict[InstanceId, PlaceId]:
        """Return the instances that may hold databases, with their places."""
        found = {
            member.instance: member.place
            for member in self.members.values()
            if not member.leaving
            and member.instance not in self.suspects
            and member.instance != self.me
        }
        if not self.stopping or not found:
            found[self.me] = self.place
        return found

    @property
    def assignment(self) -> Assignment:
        """Return who does what now."""
        if not self.is_assignment_current:
            self.is_assignment_current = True
            self.assigned.set_instances(self.members, self.usable())
        return self.assigned

    def confirmer(self) -> InstanceId:
        """Return the instance that confirms the declarations for the others."""
        return self.assignment.confirmer()

    def keeper(self, organisation: OrganisationId) -> InstanceId:
        """Return the instance that counts for an organisation."""
        return self.assignment.keeper(organisation)

    def holders(self, database: Database) -> list[InstanceId]:
        """Return who holds a database, the rightful one first."""
        found = self.assignment.holders(database)
        given_up = self.given_up.get(database.id, 0.0)
        if given_up and given_up > now_seconds() and self.me in found:
            return [*(name for name in found if name != self.me), self.me]
        return found

    def may_take_work(self, database: Database) -> bool:
        """Tell whether a database may still get new work."""
        since = self.leaving_since.get(database.id)
        return may_take_work(database, since, self.leaving_seconds, now_seconds())

    def reassign(self) -> None:
        """Work out anew who does what, after a change of what that depends on."""
        self.is_assignment_current = False

    def suspect(self, instance: InstanceId) -> None:
        """Pass an instance over until it answers a look or registers anew."""
        if instance != self.me and instance not in self.suspects:
            self.suspects.add(instance)
            self.reassign()

    def is_suspect(self, instance: InstanceId) -> bool:
        """Tell whether an instance is passed over now."""
        return instance in self.suspects

    def trust(self, instance: InstanceId) -> None:
        """Use an instance again."""
        if instance in self.suspects:
            self.suspects.discard(instance)
            self.reassign()

    def floors_of(self, service: str) -> Floors:
        """Return a service's proofs."""
        found = self.floors.get(service)
        if found is None:
            found = self.floors[service] = Floors()
        return found

    def see(
        self,
        database: Database,
        point: LogPoint | None,
        *,
        wait_seconds: Seconds,
        proved: Proved | None,
        asked_at: Seconds,
        age: Seconds = 0.0,
    ) -> None:
        """Note what an answer showed of a database and its service.

        The other side counts ages from the arrival of a question, which was not before
        it was asked; so nothing is taken for younger than it is.
        """
        now = now_seconds()
        known = self.sights.get(database.id, UNSEEN)
        heard_at = asked_at - age if age else now
        if heard_at >= known.heard_at:
            self.sights[database.id] = known._replace(
                point=point or known.point, heard_at=heard_at, wait_seconds=wait_seconds
            )
        if proved is not None:
            proof = Proof(asked_at - proved.age, proved.point)
            record(self.floors_of(database.service), proof, now)

    def see_all(self, seen: Iterable[Seen], asked_at: Seconds) -> None:
        """Note what an instance told of databases when asked at a moment."""
        for entry in seen:
            database = self.databases.get(entry.database)
            if database is not None:
                self.see(
                    database,
                    entry.point,
                    wait_seconds=entry.wait_seconds,
                    proved=entry.proved,
                    asked_at=asked_at,
                    age=entry.age,
                )

    def want(self, service: str) -> None:
        """Keep proofs of a service young for a while, for reads of bounded age."""
        self.bounded_reads_until[service] = now_seconds() + READ_DEMAND_SECONDS

    def is_wanted(self, service: str) -> bool:
        """Tell whether reads of bounded age came lately."""
        return self.bounded_reads_until.get(service, 0.0) > now_seconds()

    def note_reach(self, seen: Seen, asked_at: Seconds) -> None:
        """Note whether a holder reaches its database."""
        known = self.reported.get(seen.database, UNKNOWN_HEALTH)
        if seen.reachable:
            self.reported[seen.database] = answered(known, asked_at)
        else:
            self.reported[seen.database] = failed(known, asked_at, refused=False)

    def health_of(self, database: UpstreamId, own: Health | None) -> Health:
        """Return what this instance saw itself, else what the holder reported."""
        if own is not None:
            return own
        return self.reported.get(database, UNKNOWN_HEALTH)

    def give_up(self, database: UpstreamId) -> None:
        """Leave a database that others reach to them for a while."""
        self.given_up[database] = now_seconds() + RELINQUISH_SECONDS

    def avoid(self, database: UpstreamId, *, seconds: Seconds, lagging: bool) -> None:
        """Pass a database over for reads for a while."""
        until = now_seconds() + seconds
        known = self.sights.get(database, UNSEEN)
        if lagging:
            self.sights[database] = known._replace(lagging_until=until)
        else:
            self.sights[database] = known._replace(avoided_until=until)
