"""Check what must hold for a statement to be sent to a held database.

Each check raises ``UnitFailed`` with a result that promises that nothing ran.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from ...core.pooler.evacuation import REFUSED_RETRY_SECONDS
from ...core.pooler.failure_results import may_commit, not_run_result
from ..clock import now_seconds
from .connection_pool import UnitFailed

if TYPE_CHECKING:
    from ...core.pooler.catalogue import Database
    from ...types import Seconds
    from ...wire.pooling import ExecuteRequest
    from .fleet_view import FleetView


def await_lead(
    view: FleetView, database: Database, request: ExecuteRequest, deadline: Seconds
) -> None:
    """Wait while the database is about to lead; raise UnitFailed."""
    while view.is_next_leader(database):
        remaining = deadline - now_seconds()
        if remaining <= 0.0:
            detail = f"{database.id} does not lead yet"
            raise UnitFailed(not_run_result(request, detail), "lead-pending")
        view.changed.wait(remaining)


def check_may_lead(
    view: FleetView, database: Database, request: ExecuteRequest, needs_primary: bool
) -> None:
    """Raise UnitFailed if the statement needs a primary and this may not be one."""
    if not needs_primary or view.may_use_as_primary(database):
        return
    leader = view.primary_of(database.service)
    if leader is None or leader.id != database.id:
        reason, detail = "lead-lost", f"{database.id} does not lead any more"
    else:
        reason = "lead-unconfirmed"
        detail = f"{database.id} is not confirmed to lead"
    raise UnitFailed(not_run_result(request, detail), reason)


def check_not_stalled(
    view: FleetView, request: ExecuteRequest, sent_at: Seconds
) -> None:
    """Raise UnitFailed if the sender may have run the statement elsewhere."""
    if may_commit(request) or not view.may_have_stalled_since(sent_at):
        return
    raise UnitFailed(
        not_run_result(
            request, "the instance stalled and the sender may have given up"
        ),
        "late",
    )


def check_not_evacuated(
    view: FleetView, database: Database, request: ExecuteRequest
) -> None:
    """Raise UnitFailed if an evacuation keeps the statement from the database."""
    evacuations = view.evacuations
    if request.continues_transaction:
        may_run = evacuations.may_continue_work(database)
    else:
        may_run = evacuations.may_start_work(database)
    if may_run:
        return
    detail = f"{database.id} is in a failure domain that is evacuated"
    result = not_run_result(request, detail, retry_after_seconds=REFUSED_RETRY_SECONDS)
    raise UnitFailed(result, "evacuated")
