"""Keep the records of promotions in the store."""

from __future__ import annotations

from typing import TYPE_CHECKING

import gevent
from returns.result import Failure, Result

from ...core.pooler.leadership import (
    encode_recorded_leader,
    is_record_lost,
    LeadershipRecord,
)
from ...core.pooler.store_eras import era_of
from ...core.rendezvous import rank_nodes
from ..clock import now_seconds
from .store_state import PROMOTIONS_PREFIX

if TYPE_CHECKING:
    from ...core.pooler.leadership import RecordedLeader
    from ...platform.metadata_store import Conflict, LeaseGone, MetadataStore
    from ...types import Seconds
    from ..logs import Log
    from ..platform_client import StoreError
    from .fleet_view import FleetView

# After a restore of the store this many instances are in line to write a lost record
# again, and each waits this much longer than the one before.
WRITER_COUNT = 3
RANK_DELAY_SECONDS = 0.4
# Pause before a record that is still lost is written again.
REPEAT_PAUSE_SECONDS = 0.5


class LeaderRecords:
    """Write the records of promotions, and again those that a restored store lacks."""

    def __init__(self, view: FleetView, store: MetadataStore, log: Log) -> None:
        """Start without a call to the store."""
        self.view = view
        self.store = store
        self.log = log
        self.next_write_at: dict[str, Seconds] = {}

    def newest_revision(self, service: str) -> int:
        """Return the revision of the newest known record of a service, 0 for none."""
        return self.view.duty_revisions.get(service, 0)

    def acquire_duty(
        self, service: str, recorded: RecordedLeader, *, basis: int
    ) -> int | None:
        """Record a service's leader; the revision of the record fences older ones.

        Nothing is written if the record at ``basis``, on which the decision rests, has
        been replaced.
        """
        result = self.write(service, recorded, basis)
        if isinstance(result, Failure):
            detail = result.failure().detail
            self.log.info("The duty was not taken.", service=service, error=detail)
            return None
        outcome = result.unwrap()
        if not isinstance(outcome, int):
            self.log.info("Another instance has the duty.", service=service)
            return None
        if era_of(outcome) != recorded.era:
            # What this instance knows of the service precedes the restore.
            detail = f"the store was restored as era {era_of(outcome)}"
            self.log.info("The duty was not taken.", service=service, error=detail)
            return None
        self.view.duty_revisions[service] = outcome
        self.view.stored_leaders[service] = outcome
        self.view.record_leader(
            service, LeadershipRecord(recorded, outcome, now_seconds(), outcome)
        )
        return outcome

    def is_stored(self, service: str, revision: int) -> bool:
        """Return whether a record that was written at a revision still stands."""
        result = self.store.read_item(PROMOTIONS_PREFIX + service)
        if isinstance(result, Failure):
            found, error = 0, result.failure().detail
        else:
            item = result.unwrap()
            found, error = (0 if item is None else item.revision), ""
        if found != revision:
            self.log.info(
                "The record of a leader was replaced.",
                service=service,
                revision=found,
                written=revision,
                error=error,
            )
        return found == revision

    def write(
        self, service: str, recorded: RecordedLeader, basis: int
    ) -> Result[int | Conflict | LeaseGone, StoreError]:
        """Write a service's record unless the one at a revision was replaced."""
        key = PROMOTIONS_PREFIX + service
        return self.store.put_if_unchanged(
            conditions={key: basis},
            puts={key: encode_recorded_leader(recorded)},
        )

    def write_lost_records(self, now: Seconds) -> None:
        """Write the records again that a restored store lacks, if in line to do so."""
        era = era_of(self.view.revision)
        for service, record in self.view.leadership.items():
            stored_origin = self.view.stored_leaders.get(service, 0)
            if not is_record_lost(record, stored_origin=stored_origin, era=era):
                continue
            line = rank_nodes(self.view.usable_instances(), f"record/{service}")
            if self.view.own_instance not in line[:WRITER_COUNT]:
                continue
            delay = RANK_DELAY_SECONDS * line.index(self.view.own_instance)
            due_at = max(
                self.view.era_began_at + delay, self.next_write_at.get(service, 0.0)
            )
            if now >= due_at:
                self.next_write_at[service] = now + REPEAT_PAUSE_SECONDS
                gevent.spawn(self.write_again, service, record, era)

    def write_again(self, service: str, record: LeadershipRecord, era: int) -> None:
        """Write a record again that a restored store lacks."""
        recorded = record.recorded._replace(era=era, origin=record.origin)
        result = self.write(service, recorded, self.newest_revision(service))
        if isinstance(result, Failure):
            outcome = result.failure().detail
        else:
            outcome = "written" if isinstance(result.unwrap(), int) else "conflict"
        self.log.info(
            "A lost record of a leader was written again.",
            service=service,
            database=recorded.leader,
            origin=record.origin,
            outcome=outcome,
        )
