"""Run callers' statements and transactions on one database."""

from __future__ import annotations

import time
from contextlib import contextmanager
from typing import Any, NamedTuple, TYPE_CHECKING

import gevent
from gevent.lock import BoundedSemaphore

from ..wire.upstream import (
    StatementRequest,
    TransactionRequest,
    UpstreamAnswer,
    UpstreamError,
)
from . import replica_log
from .connections import pay_connect_cost
from .engine import Rows, SqlError
from .member import Transaction
from .serving import Endpoint, HANDLER, Reply
from .sql import Statement, UnsupportedSqlError

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

    from ..types import LogPoint
    from ..wire.upstream import UpstreamErrorCode
    from .connections import DataConnection
    from .member import Member
    from .serving import Environ

LEAVING_GRACE_SECONDS = 5.0
NO_ROWS = Rows([], [], 0)


class Costs(NamedTuple):
    """Set what the database's work takes, in seconds."""

    connect_seconds: float = 0.0
    read_seconds: float = 0.0
    write_seconds: float = 0.0
    busy_seconds: float = 1.0


class RefusedStatement(Exception):
    """Refuse a request of which nothing ran."""

    def __init__(self, code: UpstreamErrorCode, message: str) -> None:
        """Keep the code and the remedy."""
        super().__init__(message)
        self.code = code


class WorkCounters(NamedTuple):
    """Count the requests that the database took or refused as leaving."""

    reads: int = 0
    writes: int = 0
    transactions: int = 0
    refused_leaving: int = 0
    last_work_at: float = 0.0


class StatementService:
    """Admit, run and answer what arrives on the data listener."""

    def __init__(self, member: Member, costs: Costs) -> None:
        """Start with every slot free."""
        self.member = member
        self.costs = costs
        self.slots = BoundedSemaphore(member.slots)
        self.counters = WorkCounters()
        self.leaving_at: float | None = None

    def endpoints(self) -> dict[str, Endpoint]:
        """Return the data listener's paths."""
        return {
            "/v1/statement": Endpoint(StatementRequest, self.statement),
            "/v1/begin": Endpoint(TransactionRequest, self.begin),
            "/v1/commit": Endpoint(TransactionRequest, self.commit),
            "/v1/rollback": Endpoint(TransactionRequest, self.rollback),
        }

    def refuse(self, code: str, message: str, status: int) -> Reply:
        """Refuse a request that no path could take."""
        return Reply(self.error_body("", "malformed", message), status)

    def error_body(
        self, request_id: str, code: UpstreamErrorCode, message: str
    ) -> UpstreamError:
        """Build a refusal of which nothing ran."""
        return UpstreamError(
            request_id=request_id,
            error=code,
            message=message,
            ran=False,
            term=self.member.state.term,
        )

    def statement(self, request: StatementRequest, environ: Environ) -> Reply:
        """Run one statement, inside the connection's transaction if it has one."""
        connection = environ[HANDLER].connection
        run = self.run_read if request["access"] == "read" else self.run_write
        return self.guard(connection, request, run)

    def begin(self, request: TransactionRequest, environ: Environ) -> Reply:
        """Open a transaction; with a term it holds the writer."""
        return self.guard(environ[HANDLER].connection, request, self.run_begin)

    def commit(self, request: TransactionRequest, environ: Environ) -> Reply:
        """Write the transaction as one entry."""
        return self.guard(environ[HANDLER].connection, request, self.run_commit)

    def rollback(self, request: TransactionRequest, environ: Environ) -> Reply:
        """Drop the transaction."""
        return self.guard(environ[HANDLER].connection, request, self.run_rollback)

    def guard(
        self,
        connection: DataConnection,
        request: Any,
        run: Callable[[DataConnection, Any], Reply],
    ) -> Reply:
        """Turn every refusal into an answer."""
        request_id = request["request_id"]
        if not connection.counted:
            body = self.error_body(
                request_id, "too-many-connections", "use fewer connections"
            )
            return Reply(body, 503, close=True)
        pay_connect_cost(connection, self.costs.connect_seconds)
        try:
            self.check_leaving(connection)
            return run(connection, request)
        except RefusedStatement as refusal:
            body = self.error_body(request_id, refusal.code, str(refusal))
        except UnsupportedSqlError as error:
            body = self.error_body(request_id, "unsupported", str(error))
        except SqlError as error:
            body = self.error_body(request_id, "sql-error", str(error))
        return Reply(body, 409)

    def check_leaving(self, connection: DataConnection) -> None:
        """Refuse new work some seconds after the database began to leave."""
        if not self.member.faults.leaving:
            self.leaving_at = None
            return
        now = time.monotonic()
        if self.leaving_at is None:
            self.leaving_at = now
        over = now - self.leaving_at > LEAVING_GRACE_SECONDS
        if over and connection.transaction is None:
            self.count(refused_leaving=1)
            raise RefusedStatement("leaving", "the database is leaving; use another")

    def count(self, **more: int) -> None:
        """Add to the counters."""
        old = self.counters
        changed = {name: getattr(old, name) + by for name, by in more.items()}
        self.counters = old._replace(last_work_at=time.monotonic(), **changed)

    def run_read(self, connection: DataConnection, request: StatementRequest) -> Reply:
        """Run a query on the logged state, or on the open transaction's."""
        self.check_lost(connection)
        self.count(reads=1)
        statement = Statement(request["statement"], tuple(request["parameters"]))
        with self.slot(self.costs.read_seconds):
            self.check_lost(connection)
            transaction = connection.transaction
            writes = transaction is not None and transaction.term is not None
            engine = self.member.engine
            rows = engine.read_draft(statement) if writes else engine.read(statement)
            return self.reply(request["request_id"], rows, drop="drop_read_answers")

    def run_write(self, connection: DataConnection, request: StatementRequest) -> Reply:
        """Run a write in its transaction, or as one of its own."""
        self.check_lost(connection)
        self.count(writes=1)
        statement = Statement(request["statement"], tuple(request["parameters"]))
        if connection.transaction is not None:
            return self.write_in_transaction(connection, request, statement)
        term = request.get("term")
        self.check_write(term)
        with self.writer():
            self.check_write(term)
            with self.slot(self.costs.write_seconds):
                self.check_write(term)
                return self.write_alone(request["request_id"], term, statement)

    def write_in_transaction(
        self,
        connection: DataConnection,
        request: StatementRequest,
        statement: Statement,
    ) -> Reply:
        """Run a write that its transaction's commit will log."""
        if connection.transaction.term is None:
            raise RefusedStatement("unsupported", "begin the transaction with a term")
        with self.slot(self.costs.write_seconds):
            self.check_lost(connection)
            try:
                rows = self.member.engine.write(statement)
            except SqlError:
                self.close_if_ended(connection)
                raise
            return self.reply(request["request_id"], rows, drop="drop_answers")

    def close_if_ended(self, connection: DataConnection) -> None:
        """End a transaction that its failed statement rolled back."""
        if not self.member.engine.is_open():
            self.member.end_transaction()
            connection.transaction = None

    def write_alone(
        self, request_id: str, term: int | None, statement: Statement
    ) -> Reply:
        """Run and log one write without yielding."""
        engine = self.member.engine
        engine.begin()
        try:
            rows = engine.write(statement)
            written = self.member.commit(term or 0, request_id)
        finally:
            engine.rollback()
        return self.reply(request_id, rows, written=written, drop="drop_answers")

    def run_begin(
        self, connection: DataConnection, request: TransactionRequest
    ) -> Reply:
        """Open the connection's transaction."""
        if connection.transaction is not None and not self.is_lost(connection):
            raise RefusedStatement("malformed", "commit or roll back first")
        connection.transaction = None
        self.count(transactions=1)
        term = request.get("term")
        if term is None:
            connection.transaction = Transaction(None)
            return self.reply(request["request_id"], NO_ROWS)
        self.check_write(term)
        self.acquire_writer()
        try:
            self.check_write(term)
            connection.transaction = self.member.start_transaction(term)
        except BaseException:
            self.member.writer.release()
            raise
        return self.reply(request["request_id"], NO_ROWS)

    def run_commit(
        self, connection: DataConnection, request: TransactionRequest
    ) -> Reply:
        """Log the transaction's changes as one entry."""
        transaction = self.open_transaction(connection)
        connection.transaction = None
        request_id = request["request_id"]
        if transaction.term is None:
            return self.reply(request_id, NO_ROWS)
        try:
            written = self.member.commit(transaction.term, request_id)
        finally:
            self.member.end_transaction()
        return self.reply(request_id, NO_ROWS, written=written, drop="drop_answers")

    def run_rollback(
        self, connection: DataConnection, request: TransactionRequest
    ) -> Reply:
        """Drop the transaction's changes."""
        self.close(connection)
        return self.reply(request["request_id"], NO_ROWS)

    def close(self, connection: DataConnection) -> None:
        """End the transaction of a connection that closes or gives up."""
        transaction, connection.transaction = connection.transaction, None
        if transaction is not None and transaction is self.member.transaction:
            self.member.end_transaction()

    def open_transaction(self, connection: DataConnection) -> Transaction:
        """Return the open transaction, or refuse."""
        if connection.transaction is None:
            raise RefusedStatement("no-transaction", "begin a transaction first")
        self.check_lost(connection)
        return connection.transaction

    def is_lost(self, connection: DataConnection) -> bool:
        """Tell whether the primary was superseded under a write transaction."""
        transaction = connection.transaction
        if transaction is None or transaction.term is None:
            return False
        return transaction is not self.member.transaction

    def check_lost(self, connection: DataConnection) -> None:
        """Refuse to go on with a transaction that was rolled back."""
        if self.is_lost(connection):
            raise RefusedStatement("superseded", "the transaction was rolled back")

    def check_write(self, term: int | None) -> None:
        """Refuse a write that this database may not run now."""
        fault = replica_log.write_fault(self.member.state, term)
        if fault == "superseded":
            raise RefusedStatement("superseded", "the term is over; ask for the newest")
        if fault:
            raise RefusedStatement("not-primary", "send writes to the term's primary")
        if self.member.is_quiesced():
            raise RefusedStatement("quiesced", "new writes wait; retry soon")

    def acquire_writer(self) -> None:
        """Wait a bounded time for the one writer."""
        if not self.member.writer.acquire(timeout=self.costs.busy_seconds):
            raise RefusedStatement("busy", "another transaction writes; retry")

    @contextmanager
    def writer(self) -> Iterator[None]:
        """Hold the one writer."""
        self.acquire_writer()
        try:
            yield
        finally:
            self.member.writer.release()

    @contextmanager
    def slot(self, seconds: float) -> Iterator[None]:
        """Hold a slot for the service time, and while the process is paused."""
        if not self.slots.acquire(timeout=self.costs.busy_seconds):
            raise RefusedStatement("busy", "every slot is taken; retry")
        try:
            if seconds:
                gevent.sleep(seconds)
            self.member.faults.wait_pause()
            yield
        finally:
            self.slots.release()

    def reply(
        self,
        request_id: str,
        rows: Rows,
        *,
        written: LogPoint | None = None,
        drop: str = "",
    ) -> Reply:
        """Build the answer from the state of the step that made it."""
        state = self.member.state
        faults = self.member.faults
        if faults.take("mislabel_answers"):
            request_id = f"{request_id}-mislabelled"
        body = UpstreamAnswer(
            request_id=request_id,
            columns=rows.columns,
            rows=rows.rows,
            row_count=rows.row_count,
            term=state.term,
            log_term=state.log_term,
            last=state.log.last,
        )
        if written is not None:
            body["written"] = written
        dropped = bool(drop) and faults.take(drop)
        return Reply(body, drop=dropped, repeat=faults.take("repeat_answers"))
