"""Own the connections that this instance holds to one database."""

from __future__ import annotations

from functools import partial
from typing import TYPE_CHECKING

from gevent.event import AsyncResult

from ...core.pooler import connection_pool
from ...core.pooler.connection_uses import (
    choose_victim,
    ConnectionUses,
    forget_unused,
    record_use,
)
from ...core.pooler.failure_results import not_run_result
from ...core.pooler.statements import ErrorCode, refused_result, StatementResult
from ...platform import line_protocol
from ..clock import now_seconds
from .database_connection import (
    CONNECT_TIMEOUT_SECONDS,
    ConnectRefused,
    DatabaseConnection,
)

if TYPE_CHECKING:
    from collections.abc import Callable

    from ...core.pooler.catalogue import Database
    from ...types import OrganisationId, Seconds
    from ...wire.pooling import ExecuteRequest
    from .database_tracker import DatabaseTracker
    from .fleet_view import FleetView

# Pause before the next attempt to connect, after the database refused a connection
# because it has too many.
CONNECTION_LIMIT_PAUSE_SECONDS = 0.25
# Interval at which a waiting statement checks again for a connection, even if none was
# returned.
CONNECTION_POLL_SECONDS = 0.05


class UnitFailed(Exception):
    """End a statement with its result and the reason for logs and counters."""

    def __init__(self, result: StatementResult, reason: str) -> None:
        """Keep the result and the reason."""
        super().__init__(reason)
        self.result = result
        self.reason = reason


class ConnectionPool:
    """Lend connections, each to one statement or transaction at a time."""

    def __init__(
        self,
        database: Database,
        view: FleetView,
        evidence: DatabaseTracker,
        *,
        on_failure: Callable[[], None],
        on_count: Callable[[str], None],
    ) -> None:
        """Start without connections."""
        self.database = database
        self.view = view
        self.tracker = evidence
        self.on_failure = on_failure
        self.on_count = on_count
        self.idle: dict[int, DatabaseConnection] = {}
        self.open_count = 0
        self.last_number = 0
        self.limited_until: Seconds = 0.0
        self.waiting: list[AsyncResult] = []
        self.uses = ConnectionUses()

    @property
    def connection_limit(self) -> int:
        """Return how many connections this instance may hold."""
        declarations = self.view.declarations
        service = declarations.services.get(self.database.service)
        max_connections = service.max_connections if service else 1
        return connection_pool.instance_connection_limit(
            max_connections, len(declarations.quotas)
        )

    def acquire(self, request: ExecuteRequest, deadline: Seconds) -> DatabaseConnection:
        """Return a connection of the organisation; raise UnitFailed."""
        if self.view.shares_slots_fairly(self.database.service):
            record_use(self.uses, request.organisation, now_seconds())
        while (left := deadline - now_seconds()) > 0.0:
            if self.tracker.is_unresponsive:
                raise self.unreachable_failure(request)
            choice = self.choose_connection(request)
            if isinstance(choice, connection_pool.UseIdle):
                connection = self.idle.pop(choice.number)
                if connection.is_reusable():
                    self.on_count("reused")
                    return connection
                self.discard(connection)
                continue
            if isinstance(choice, connection_pool.OpenNew):
                if choice.evicted is not None:
                    self.on_count("evicted")
                    self.discard(self.idle.pop(choice.evicted))
                opened = self.open_connection(
                    request.organisation, min(left, CONNECT_TIMEOUT_SECONDS)
                )
                if opened is not None:
                    return opened
                continue
            returned = AsyncResult()
            self.waiting.append(returned)
            returned.wait(min(left, CONNECTION_POLL_SECONDS))
        raise UnitFailed(
            not_run_result(request, "no connection became free in time"),
            "no-connection",
        )

    def choose_connection(
        self, request: ExecuteRequest
    ) -> (
        connection_pool.UseIdle | connection_pool.OpenNew | connection_pool.WaitForIdle
    ):
        """Return how to get a connection for a statement: take, open or wait."""
        now = now_seconds()
        is_limited = now < self.limited_until
        return connection_pool.choose_connection(
            [entry.describe_idle() for entry in self.idle.values()],
            request.organisation,
            request.values,
            held=self.open_count,
            limit=min(self.open_count, self.connection_limit)
            if is_limited
            else self.connection_limit,
            find_victim=partial(choose_victim, self.uses, now=now)
            if self.view.shares_slots_fairly(self.database.service)
            else None,
        )

    def check_may_open_transaction(
        self, request: ExecuteRequest, holders: list[OrganisationId]
    ) -> None:
        """Raise UnitFailed if transactions of the holders take too many connections."""
        if not connection_pool.may_open_transaction(
            holders, request.organisation, self.connection_limit
        ):
            own = holders.count(request.organisation)
            detail = f"{len(holders)} transactions are open, {own} of the organisation"
            # One of them ends by then, by itself or by the declared limit.
            result = not_run_result(
                request, detail, retry_after_seconds=request.idle_seconds
            )
            raise UnitFailed(result, "transactions-full")

    def unreachable_failure(self, request: ExecuteRequest) -> UnitFailed:
        """Return the failure of a statement while the database does not answer."""
        silent = now_seconds() - self.tracker.health.failed_since
        detail = f"{self.database.id} has not answered for {silent:.2f} s"
        return UnitFailed(not_run_result(request, detail), "unreachable")

    def open_connection(
        self, organisation: OrganisationId, timeout_seconds: Seconds
    ) -> DatabaseConnection | None:
        """Open a connection; return None when the database has too many already."""
        self.last_number += 1
        connection = DatabaseConnection(self.last_number, organisation)
        self.open_count += 1
        asked_at = now_seconds()
        try:
            point = connection.open(self.database, timeout_seconds)
        except ConnectRefused as error:
            self.open_count -= 1
            if error.code is ErrorCode.TOO_MANY_CONNECTIONS:
                self.limited_until = now_seconds() + CONNECTION_LIMIT_PAUSE_SECONDS
                return None
            self.tracker.record_failure(asked_at, refused=error.refused)
            self.on_failure()
            result = refused_result(ErrorCode.BUSY, f"{self.database.id}: {error}")
            raise UnitFailed(result, "unreachable") from error
        except BaseException:
            self.open_count -= 1
            connection.close()
            raise
        self.tracker.point = point or self.tracker.point
        self.tracker.record_answer()
        self.on_count("opened")
        return connection

    def acquire_any(self, timeout_seconds: Seconds) -> DatabaseConnection | None:
        """Return an idle connection, or open one; None at the connection limit."""
        while self.idle:
            _, connection = self.idle.popitem()
            if connection.is_reusable():
                return connection
            self.discard(connection)
        organisations = self.view.declarations.quotas
        if not organisations or self.open_count >= self.connection_limit:
            return None
        organisation = line_protocol.status_organisation(organisations)
        return self.open_connection(organisation, timeout_seconds)

    def release(self, connection: DatabaseConnection, *, clean: bool) -> None:
        """Keep a usable connection, and wake the statements that wait for one."""
        if connection.sock is None or not clean:
            self.discard(connection)
        else:
            connection.idle_since = now_seconds()
            self.idle[connection.number] = connection
        waiting, self.waiting = self.waiting, []
        for returned in waiting:
            returned.set(True)

    def discard(self, connection: DatabaseConnection) -> None:
        """Close a connection and stop counting it."""
        connection.close()
        self.open_count -= 1

    def close_expired(self, *, is_holder: bool) -> None:
        """Close connections past their idle limit."""
        forget_unused(self.uses, now_seconds())
        known = [entry.describe_idle() for entry in self.idle.values()]
        for number in connection_pool.expired_connections(
            known, is_holder=is_holder, now=now_seconds()
        ):
            self.discard(self.idle.pop(number))

    def close_idle(self) -> None:
        """Close every idle connection."""
        while self.idle:
            self.discard(self.idle.popitem()[1])
