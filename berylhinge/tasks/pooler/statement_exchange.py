"""Exchange a statement with its database.

The success of a commit is taken only while no later leader can lack it.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from ...core.pooler.commit_leases import lease_commit, may_acknowledge
from ...core.pooler.failure_results import lost_answer_result, may_commit
from ..clock import now_seconds
from .connection_pool import UnitFailed

if TYPE_CHECKING:
    from ...core.pooler.catalogue import Database
    from ...platform.line_protocol import DatabaseAnswer
    from ...types import Seconds
    from ...wire.pooling import ExecuteRequest
    from ..http_connection import ConnectionFailed
    from .database_connection import DatabaseConnection
    from .fleet_view import FleetView


def exchange_statement(
    connection: DatabaseConnection,
    request: ExecuteRequest,
    timeout: Seconds,
    view: FleetView,
    database: Database,
    *,
    needs_primary: bool,
) -> DatabaseAnswer:
    """Send a statement and return its answer; raise UnitFailed as for a commit."""
    if needs_primary and may_commit(request):
        return exchange_commit(connection, request, timeout, view, database)
    is_single = not request.transaction and not request.begin_mode
    after = request.after if is_single else None
    return connection.exchange(request.request, request.text, timeout, after=after)


def exchange_commit(
    connection: DatabaseConnection,
    request: ExecuteRequest,
    timeout: Seconds,
    view: FleetView,
    database: Database,
) -> DatabaseAnswer:
    """Send a commit; raise UnitFailed if a promotion may take its success back."""
    service = database.service
    lease = lease_commit(view.leadership.get(service), confirmed_at=view.confirmed_at)
    with view.commit_stops.count_commit(service):
        answer = connection.exchange(request.request, request.text, timeout)
        is_kept = may_acknowledge(
            lease,
            view.leadership.get(service),
            confirmed_origin=view.commit_stops.confirmed_origin(service),
            may_use_primary=view.may_use_as_primary(database),
            now=now_seconds(),
        )
    is_promised = view.declarations.synchronous_replicas(service) > 0
    if answer.code is not None or is_kept or not is_promised:
        return answer
    detail = f"{database.id} committed it and may be replaced by one that lacks it"
    result = lost_answer_result(request, detail, sent=True)
    raise UnitFailed(result, "commit-unconfirmed")


def connection_failure(
    database: Database, request: ExecuteRequest, error: ConnectionFailed
) -> UnitFailed:
    """Return the failure of a statement whose connection was lost."""
    detail = f"{database.id}: {error}"
    result = lost_answer_result(request, detail, sent=error.may_have_sent)
    reason = "answer-lost" if error.may_have_sent else "connection-lost"
    return UnitFailed(result, reason)
