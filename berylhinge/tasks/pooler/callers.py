"""Serve callers' sessions, one task for each connection."""

from __future__ import annotations

from itertools import count
from random import SystemRandom
from typing import Any, TYPE_CHECKING

import gevent
from gevent import socket
from gevent.server import StreamServer

from ...core.pooler.failure_results import not_run_result
from ...core.pooler.sessions import (
    apply_result,
    FAILED,
    IDLE,
    LocalAnswer,
    new_session,
    plan,
)
from ...core.pooler.statements import (
    Effect,
    ErrorCode,
    Malformed,
    refused_result,
    StatementResult,
)
from ...platform import line_protocol
from ...platform.line_framing import LineBuffer, LineTooLong
from ..clock import now_seconds
from .destinations import RoutingRequest
from .fleet_view import rounded_age
from .router import RoutedResult

if TYPE_CHECKING:
    from ...core.pooler.sessions import PlannedStatement
    from ...core.pooler.statements import Statement
    from ...types import Seconds
    from ..http_server import Address
    from ..logs import Log
    from ..metrics import Metrics
    from .fleet_view import FleetView
    from .rates import RateLimiter
    from .router import Router, TransactionBinding

RECEIVE_BYTES = 65_536
# Connections beyond this number are closed at once; each costs a descriptor and a task.
MAX_SESSIONS = 3_000
# A caller must name its database within this time after it connects.
START_TIMEOUT_SECONDS = 5.0
# Random bits of a process's first transaction number; msgpack integers have 64 bits.
TRANSACTION_NUMBER_BITS = 48
# Interval at which one served request is logged, for comparison with failed ones.
LOG_SAMPLE_INTERVAL_SECONDS = 1.0
# Length of the kernel's queue of connections waiting to be accepted.
LISTEN_BACKLOG = 512


class SessionTask:
    """Own one caller's connection and session."""

    def __init__(self, callers: CallerListener, sock: Any) -> None:
        """Start without a database name."""
        self.callers = callers
        self.view = callers.view
        self.sock = sock
        self.lines = LineBuffer()
        self.session = new_session()
        self.route_name = ""
        self.key = ""
        self.binding: TransactionBinding | None = None
        self.busy = False

    def serve(self) -> None:
        """Serve until either side ends the session."""
        try:
            with gevent.Timeout(START_TIMEOUT_SECONDS, False):
                pending = self.open_session()
            if not self.route_name:
                return
            self.serve_lines(pending)
        except OSError as error:
            if self.session.state != IDLE:
                self.callers.log.info(
                    "A caller left inside a transaction.", error=str(error)
                )
        except LineTooLong:
            self.sock.sendall(
                line_protocol.error_line(
                    ErrorCode.TOO_LARGE, "the message is too long; send a shorter one"
                )
            )
        finally:
            self.release_transaction()
            self.sock.close()

    def release_transaction(self) -> None:
        """Roll back the open transaction, if there is one."""
        if self.binding is not None:
            self.callers.router.abandon_transaction(self.binding)
            self.binding = None

    def receive_lines(self) -> list[str]:
        """Return the next lines; raise OSError at the end of the stream."""
        while True:
            data = self.sock.recv(RECEIVE_BYTES)
            if not data:
                raise ConnectionResetError("the caller closed the connection")
            received = self.lines.feed(data)
            if received:
                return received

    def open_session(self) -> list[str]:
        """Answer the opening line; leave ``route_name`` empty on a refusal."""
        first, *pending = self.receive_lines()
        opening = line_protocol.parse_caller_line(first)
        if not isinstance(opening, line_protocol.Start):
            self.sock.sendall(
                line_protocol.error_line(
                    ErrorCode.MALFORMED,
                    "open a session first: send START with a database name and a key",
                )
            )
            return pending
        refusal = self.callers.check_access(opening.name, opening.key)
        if refusal is not None:
            self.sock.sendall(line_protocol.error_line(*refusal))
            self.callers.record_refusal("", refusal[0], refusal[1], "start")
            return pending
        self.route_name, self.key = opening.name, opening.key
        self.sock.sendall(line_protocol.ready_line(IDLE, None))
        return pending

    def serve_lines(self, pending: list[str]) -> None:
        """Answer statements in the order of their arrival."""
        while True:
            while pending:
                message = line_protocol.parse_caller_line(pending.pop(0))
                if isinstance(message, line_protocol.Terminate):
                    return
                self.busy = True
                statement = (
                    message.statement
                    if isinstance(message, line_protocol.Query)
                    else message
                )
                if isinstance(statement, line_protocol.Start):
                    statement = Malformed(
                        "", "the session is already open; send a statement"
                    )
                self.answer_statement(statement)
                self.busy = False
            if self.callers.closing and self.session.state == IDLE:
                return
            pending = self.receive_or_expire()

    def receive_or_expire(self) -> list[str]:
        """Return the next lines; roll back a transaction that is idle for too long."""
        if self.binding is None:
            return self.receive_lines()
        limit = self.view.declarations.idle_transaction_seconds
        with gevent.Timeout(limit, False):
            return self.receive_lines()
        self.release_transaction()
        self.session = self.session._replace(state=FAILED, transaction=None)
        return self.receive_lines()

    def answer_statement(self, statement: Statement) -> None:
        """Run one statement and send its answer."""
        arrived_at = now_seconds()
        self.session, planned = plan(statement, self.session)
        if isinstance(planned, LocalAnswer):
            if planned.rollback is not None:
                self.release_transaction()
            response = (
                line_protocol.completion_lines((), "")
                if planned.code is None
                else line_protocol.error_line(planned.code, planned.detail)
            )
        else:
            result = self.run_statement(planned, arrived_at)
            self.session = apply_result(self.session, planned, result)
            if result.effect is Effect.DONE and result.code is None:
                response = line_protocol.completion_lines(result.rows, result.signature)
            else:
                response = line_protocol.error_line(
                    result.code or ErrorCode.FAILED, error_text(result)
                )
        self.sock.sendall(
            response
            + line_protocol.ready_line(self.session.state, self.session.commit_point)
        )

    def run_statement(
        self, statement: PlannedStatement, arrived_at: Seconds
    ) -> StatementResult:
        """Run a statement if the declarations allow it, and record the result."""
        refusal = self.callers.check_access(self.route_name, self.key)
        if refusal is not None:
            self.release_transaction()
            routed = RoutedResult(
                refused_result(*refusal), "not-allowed", None, 0, None
            )
        else:
            routed = self.run_admitted(statement, arrived_at)
        self.callers.record_result(statement, routed, arrived_at, self)
        return routed.result

    def run_admitted(
        self, statement: PlannedStatement, arrived_at: Seconds
    ) -> RoutedResult:
        """Count an operation against its rate, then run its statement."""
        route = self.view.declarations.routes[self.route_name]
        organisation = self.view.declarations.keys.get(self.key, "-")
        admission = None
        if self.binding is None:
            admission = self.callers.rate_limiter.admit(
                organisation, route.latency_goal_seconds
            )
            if not admission.admitted:
                result = not_run_result(
                    statement,
                    "the organisation is over its rate",
                    retry_after_seconds=admission.retry_after_seconds,
                )
                return RoutedResult(result, "rate", None, 0, None)
        call = RoutingRequest(
            route,
            organisation,
            self.session,
            statement,
            next(self.callers.transaction_numbers),
            arrived_at,
        )
        routed = self.callers.router.run_statement(call, self.binding)
        self.binding = routed.binding
        if admission is not None and routed.has_not_run:
            # An operation that is refused and comes back is counted once.
            self.callers.rate_limiter.return_token(organisation, admission)
        return routed


def error_text(result: StatementResult) -> str:
    """Return an error's text, with the time to retry after if it is known."""
    if result.retry_after_seconds > 0.0:
        wait_ms = round(result.retry_after_seconds * 1000)
        return f"{result.detail}; retry after {wait_ms} ms"
    return result.detail


class CallerListener:
    """Own the listener and every open session."""

    def __init__(
        self,
        address: Address,
        view: FleetView,
        *,
        router: Router,
        rate_limiter: RateLimiter,
        metrics: Metrics,
        log: Log,
    ) -> None:
        """Prepare without listening."""
        self.view = view
        self.router = router
        self.rate_limiter = rate_limiter
        self.metrics = metrics
        self.log = log
        self.sessions: set[SessionTask] = set()
        # A successor of this process must not reuse its transaction numbers.
        self.transaction_numbers = count(
            SystemRandom().getrandbits(TRANSACTION_NUMBER_BITS)
        )
        self.closing = False
        self.next_sample_at: Seconds = 0.0
        self.server = StreamServer(
            tuple(address), self.accept_connection, backlog=LISTEN_BACKLOG
        )

    def start(self) -> None:
        """Listen."""
        self.server.start()

    def stop(self) -> None:
        """Stop listening and close every session."""
        self.server.stop()
        for session in list(self.sessions):
            session.sock.close()

    def accept_connection(self, sock: Any, _address: object) -> None:
        """Serve one connection."""
        if len(self.sessions) >= MAX_SESSIONS:
            sock.close()
            return
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        session = SessionTask(self, sock)
        self.sessions.add(session)
        try:
            session.serve()
        finally:
            self.sessions.discard(session)

    def check_access(self, name: str, key: str) -> tuple[ErrorCode, str] | None:
        """Return the refusal of a key for a database name, or None if it is allowed."""
        declarations = self.view.declarations
        if not self.view.is_confirmed():
            return (
                ErrorCode.BUSY,
                "the declarations could not be confirmed in time; retry later",
            )
        route = declarations.routes.get(name)
        if route is None:
            return (
                ErrorCode.UNKNOWN_DATABASE,
                "no route has this name; correct the database name",
            )
        if not route.public and key not in declarations.keys:
            return (
                ErrorCode.UNAUTHENTICATED,
                "the key is not valid; ask the operator for a valid one",
            )
        return None

    def close_idle(self) -> None:
        """Close sessions that neither run a statement nor hold a transaction."""
        for session in list(self.sessions):
            if not session.busy and session.session.state == IDLE:
                session.sock.close()

    def record_refusal(
        self, request: str, code: ErrorCode, detail: str, reason: str
    ) -> None:
        """Count and log a refusal."""
        self.metrics.count("refusals_total", f"{reason}:{code.value}", "not-run")
        self.log.info(
            "A request was refused.",
            request_id=request,
            code=code.value,
            reason=reason,
            detail=detail,
            version=self.view.declarations.version,
            confirmed_age=rounded_age(self.view.confirmed_at),
        )

    def record_result(
        self,
        statement: PlannedStatement,
        routed: RoutedResult,
        arrived_at: Seconds,
        session: SessionTask,
    ) -> None:
        """Count a result; log each failure, and a sample of the successes."""
        now = now_seconds()
        result, reason = routed.result, routed.reason
        seconds = now - arrived_at
        self.metrics.latency.observe({"route": session.route_name}, seconds)
        if result.code is None:
            self.metrics.count("answers_total", statement.access.value)
            if now >= self.next_sample_at:
                self.next_sample_at = now + LOG_SAMPLE_INTERVAL_SECONDS
                fields = self.result_fields(statement, routed, seconds, session)
                self.log.info("A request was served.", **fields)
            return
        outcome = "not-run" if result.effect is Effect.NONE else "unknown"
        self.metrics.count(
            "refusals_total", f"{reason or 'answer'}:{result.code.value}", outcome
        )
        self.log.info(
            "A request failed.",
            code=result.code.value,
            outcome=outcome,
            reason=reason,
            detail=result.detail,
            **self.result_fields(statement, routed, seconds, session),
        )

    def result_fields(
        self,
        statement: PlannedStatement,
        routed: RoutedResult,
        seconds: Seconds,
        session: SessionTask,
    ) -> dict[str, Any]:
        """Return the log fields common to served and failed requests."""
        destination = routed.destination
        return {
            "request_id": statement.request,
            "route": session.route_name,
            "organisation": self.view.declarations.keys.get(session.key),
            "database": destination.database.id if destination else "",
            "holder": destination.holder if destination else "",
            "after": str(destination.after or "") if destination else "",
            "attempts": routed.attempts,
            "milliseconds": round(seconds * 1000, 1),
            "version": self.view.declarations.version,
            "confirmed_age": rounded_age(self.view.confirmed_at),
        }
