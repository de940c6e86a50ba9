"""Apply the items of the store to this instance's view of the fleet."""

from __future__ import annotations

from math import isfinite
from typing import NamedTuple, TYPE_CHECKING

from returns.result import Failure

from ...core.peer_envelopes import SECRETS_LIMIT
from ...core.pooler.leadership import decode_recorded_leader, LeadershipRecord
from ...core.pooler.store_eras import era_of, revision_of_writing
from ...platform.documents import (
    CONFIGURATION_KEY,
    DATABASES_PREFIX,
    decode_announcement_order,
    decode_cold_left,
    decode_database,
    decode_declarations,
    decode_evacuation,
    EVACUATIONS_PREFIX,
    FIRST_ANNOUNCEMENT,
)
from ...types import DatabaseRole
from ..clock import now_seconds
from .members import Member
from .registrations import decode_registration

if TYPE_CHECKING:
    from ...platform.documents import AnnouncementOrder
    from ...platform.metadata_store import Snapshot
    from ...platform.store_replies import StoredItem
    from ...types import Seconds, UpstreamId
    from ..logs import Log
    from .fleet_view import FleetView

INSTANCES_PREFIX = "berylhinge/instances/"
SECRET_KEY = "berylhinge/secret"
SETTLED_ERA_KEY = "berylhinge/settled-era"
PROMOTIONS_PREFIX = "berylhinge/duties/promotion/"
# A store that is restored once a second reaches ten digits after 300 years.
ERA_DIGITS = 10


class OwnEntry(NamedTuple):
    """Hold what the store delivered last as this instance's own registration."""

    member: Member
    written_at: int


class StoreStateApplier:
    """Decode items by their keys and apply them; record when an entry went missing."""

    def __init__(self, view: FleetView, log: Log) -> None:
        """Start without items."""
        self.view = view
        self.log = log
        self.missing_since: dict[str, Seconds] = {}
        self.known_revisions: dict[str, int] = {}
        self.announcement_orders: dict[UpstreamId, AnnouncementOrder] = {}
        self.secrets: tuple[bytes, ...] = ()
        self.is_secret_stored = False
        self.settled_era = 0
        self.incarnation = 0
        self.own_entry: OwnEntry | None = None

    def apply_snapshot(self, snapshot: Snapshot) -> list[str]:
        """Apply every item, and record the known entries that are not among them.

        Return the keys of which the same or a newer revision is known.
        """
        present = {item.key for item in snapshot.items}
        known = [
            *(DATABASES_PREFIX + identifier for identifier in self.view.databases),
            *(INSTANCES_PREFIX + name for name in self.view.members),
            *(
                EVACUATIONS_PREFIX + domain
                for domain in self.view.evacuations.active_domains()
            ),
        ]
        for key in known:
            if key not in present:
                self.record_missing(key)
        if SETTLED_ERA_KEY not in present:
            self.settled_era = 0
        if SECRET_KEY not in present:
            self.is_secret_stored = False
        for service in self.view.duty_revisions:
            if PROMOTIONS_PREFIX + service not in present:
                self.view.duty_revisions[service] = 0
                self.view.stored_leaders.pop(service, None)
        return [item.key for item in snapshot.items if not self.apply_if_possible(item)]

    def apply_if_possible(self, item: StoredItem) -> bool:
        """Apply one item; without one that cannot be applied the others hold."""
        try:
            return self.apply_item(item)
        except Exception as error:
            # It would be read or delivered again for ever.
            self.log.fault(item.key, error)
            return True

    def apply_item(self, item: StoredItem) -> bool:
        """Apply one item; return False if it is not newer than the known one."""
        key = item.key
        if key.startswith(INSTANCES_PREFIX):
            return self.apply_member(item, key.removeprefix(INSTANCES_PREFIX))
        if key.startswith(PROMOTIONS_PREFIX):
            return self.apply_recorded_leader(item, key.removeprefix(PROMOTIONS_PREFIX))
        known = self.known_revisions.get(key, 0)
        if not self.record_revision(key, item.revision):
            return False
        if key == CONFIGURATION_KEY:
            self.apply_declarations(item, known)
        elif key.startswith(DATABASES_PREFIX):
            is_restored = 0 < era_of(known) < era_of(item.revision)
            return self.apply_database(
                item, key.removeprefix(DATABASES_PREFIX), is_restored=is_restored
            )
        elif key.startswith(EVACUATIONS_PREFIX):
            self.apply_evacuation(item)
        elif key == SETTLED_ERA_KEY:
            self.apply_settled_era(item)
        elif key == SECRET_KEY and item.value:
            self.record_secret(item.value)
        return True

    def apply_evacuation(self, item: StoredItem) -> None:
        """Apply the order to evacuate a failure domain, or that it was taken back.

        The order was given after the last moment at which the known state was current.
        """
        if not self.view.evacuations.is_enabled:
            return
        self.missing_since.pop(item.key, None)
        if item.value is None:
            self.take_back_evacuation(item.key)
            return
        result = decode_evacuation(item.key)
        if isinstance(result, Failure):
            self.log.info(
                "An evacuation was not understood.",
                key=item.key,
                error=result.failure(),
            )
        else:
            self.view.evacuations.begin(result.unwrap(), self.view.confirmed_at)

    def take_back_evacuation(self, key: str) -> None:
        """Let traffic return to a failure domain whose evacuation was taken back."""
        self.view.evacuations.take_back(key.removeprefix(EVACUATIONS_PREFIX))

    def apply_settled_era(self, item: StoredItem) -> None:
        """Apply the mark that what a restore lost is written again."""
        value = item.value or b""
        is_number = value.isdigit() and len(value) <= ERA_DIGITS
        self.settled_era = int(value) if is_number else 0
        if self.settled_era == era_of(item.revision):
            self.view.end_settling()

    def record_secret(self, secret: bytes) -> None:
        """Use the stored secret; what peers signed with the former one is accepted."""
        self.is_secret_stored = True
        former = [known for known in self.secrets if known != secret]
        self.secrets = (secret, *former)[:SECRETS_LIMIT]

    def record_revision(self, key: str, revision: int) -> bool:
        """Record the revision of a key's value; return whether it is newer."""
        if revision <= self.known_revisions.get(key, 0):
            return False
        self.known_revisions[key] = revision
        return True

    def apply_declarations(self, item: StoredItem, known_revision: int) -> None:
        """Apply the declarations if their version is newer."""
        result = decode_declarations(item.value or b"")
        if isinstance(result, Failure):
            self.log.info("Declarations were not understood.", error=result.failure())
            return
        declarations = result.unwrap()
        known = self.view.declarations.version
        self.view.record_declarations(
            declarations.version, item.revision, known_revision
        )
        if declarations.version > known:
            self.view.declarations = declarations
            self.log.info(
                "Declarations are in force.",
                version=declarations.version,
                previous=known,
                revision=item.revision,
                routes=len(declarations.routes),
                keys=len(declarations.keys),
                quotas={
                    name: [quota.rate, quota.burst]
                    for name, quota in declarations.quotas.items()
                },
            )

    def apply_recorded_leader(self, item: StoredItem, service: str) -> bool:
        """Apply the record of a service's leader."""
        if item.revision <= self.view.duty_revisions.get(service, 0):
            return False
        self.view.duty_revisions[service] = item.revision
        result = decode_recorded_leader(item.value or b"")
        if isinstance(result, Failure):
            self.log.info(
                "A recorded leader was not understood.",
                service=service,
                error=result.failure(),
            )
            return True
        recorded = result.unwrap()
        origin = recorded.origin or revision_of_writing(item.revision, recorded.era)
        self.view.stored_leaders[service] = origin
        record = LeadershipRecord(recorded, item.revision, now_seconds(), origin)
        return self.view.record_leader(service, record)

    def apply_database(
        self, item: StoredItem, identifier: str, *, is_restored: bool
    ) -> bool:
        """Apply a database's entry, or record that it is missing.

        Return False for an entry of a restored copy that is not newer than the known one.
        """
        if item.value is None:
            self.record_missing(item.key)
            return True
        order = decode_announcement_order(item.value)
        known_order = self.announcement_orders.get(identifier, FIRST_ANNOUNCEMENT)
        is_gone = identifier not in self.view.databases
        if is_restored and (order < known_order or (is_gone and order == known_order)):
            return False
        self.announcement_orders[identifier] = order
        result = decode_database(identifier, item.value)
        if isinstance(result, Failure):
            self.log.info(
                "An entry names no database.",
                database=identifier,
                error=result.failure(),
            )
            return True
        database = result.unwrap()
        self.missing_since.pop(item.key, None)
        known = self.view.databases.get(identifier)
        if database.role is DatabaseRole.PRIMARY:
            was_primary = known is not None and known.role is DatabaseRole.PRIMARY
            since = known.led_since if known and was_primary else item.revision
            database = database._replace(led_since=since)
        self.view.databases[identifier] = database
        if database.leaving:
            self.view.leaving_since.setdefault(identifier, now_seconds())
        else:
            self.view.leaving_since.pop(identifier, None)
        self.apply_coldness(identifier, decode_cold_left(item.value))
        if known is None or known != database:
            self.log.info(
                "A database announced itself.",
                database=identifier,
                service=database.service,
                role=database.role.value,
                leaving=database.leaving,
                revision=item.revision,
            )
        return True

    def apply_coldness(self, identifier: UpstreamId, left: Seconds) -> None:
        """Apply for how long a database said that it is still slow."""
        self.view.announced_at[identifier] = now_seconds()
        if left <= 0.0:
            self.view.cold_until.pop(identifier, None)
            return
        if not self.view.is_cold(identifier):
            self.log.info("A database is cold.", database=identifier, seconds=left)
        self.view.cold_until[identifier] = now_seconds() + left

    def apply_member(self, item: StoredItem, name: str) -> bool:
        """Apply an instance's registration, or record that it is missing."""
        if item.value is None:
            if not self.record_revision(item.key, item.revision):
                return False
            self.record_missing(item.key)
            return True
        decoded = decode_registration(item.value)
        if isinstance(decoded, Failure):
            if self.record_revision(item.key, item.revision):
                self.log.info(
                    "A registration is malformed.", peer=name, error=decoded.failure()
                )
            return True
        registration = decoded.unwrap()
        written_at = revision_of_writing(item.revision, registration.era)
        if not self.record_revision(item.key, written_at):
            return False
        self.missing_since.pop(item.key, None)
        known = self.view.members.get(name)
        incarnation = registration.incarnation or written_at
        member = Member(
            name,
            registration.place,
            registration.address,
            incarnation,
            registration.leaving,
            registration.weight,
        )
        if name == self.view.own_instance:
            self.own_entry = OwnEntry(member, written_at)
        if known != member:
            self.view.clear_suspect(name)
            self.log.info(
                "An instance registered.",
                peer=name,
                leaving=registration.leaving,
                revision=item.revision,
            )
        self.view.members[name] = member
        return True

    def record_missing(self, key: str) -> None:
        """Record that an entry is missing.

        Entries may lapse during an outage and come back. Until the first confirmation,
        what is known comes from a stale read, and a missing entry is gone.
        """
        self.missing_since.setdefault(key, now_seconds())
        is_own = key == INSTANCES_PREFIX + self.view.own_instance
        if not is_own and not isfinite(self.view.confirmed_at):
            self.remove_missing(key)

    def remove_missing(self, key: str) -> None:
        """Remove what an entry that is missing described."""
        del self.missing_since[key]
        if key.startswith(EVACUATIONS_PREFIX):
            self.take_back_evacuation(key)
            return
        if key.startswith(DATABASES_PREFIX):
            identifier = key.removeprefix(DATABASES_PREFIX)
            self.view.databases.pop(identifier, None)
            self.view.leaving_since.pop(identifier, None)
            self.view.cold_until.pop(identifier, None)
            self.view.announced_at.pop(identifier, None)
            self.view.observations.pop(identifier, None)
            self.log.info("A database is gone.", database=identifier)
        else:
            name = key.removeprefix(INSTANCES_PREFIX)
            if name != self.view.own_instance:
                self.view.members.pop(name, None)
                self.log.info("An instance is gone.", peer=name)
