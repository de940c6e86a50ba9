"""Decide when the holder of a database requests its status."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ...types import DatabaseRole

if TYPE_CHECKING:
    from ...core.pooler.catalogue import Database
    from ...types import Seconds
    from .database_tracker import DatabaseTracker
    from .fleet_view import FleetView

# The status is requested when nothing has proved for this long that the primary leads.
PROOF_RENEWAL_SECONDS = 0.6
# The status of a replica is requested when it has not answered for this long and reads of
# its service are expected: no read goes to one whose known position is too old, so that
# nothing else would tell that it has caught up.
POSITION_RENEWAL_SECONDS = 0.5


def is_status_due(
    view: FleetView, database: Database, tracker: DatabaseTracker, now: Seconds
) -> bool:
    """Return whether the holder needs news of who leads, or of a replica's position."""
    if view.is_next_leader(database):
        return True
    if is_leader(view, database):
        proven = tracker.leadership_proof
        return proven is None or now - proven.asked_at >= PROOF_RENEWAL_SECONDS
    return (
        database.role is not DatabaseRole.PRIMARY
        and view.read_demand.needs_positions(database.service)
        and tracker.answer_age_seconds >= POSITION_RENEWAL_SECONDS
    )


def is_leader(view: FleetView, database: Database) -> bool:
    """Return whether a database is known to lead its service and is in use."""
    leader = view.primary_of(database.service)
    return (
        leader is not None
        and leader.id == database.id
        and view.may_use_as_primary(leader)
        and view.evacuations.may_start_work(leader)
    )
