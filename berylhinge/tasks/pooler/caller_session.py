"""Serve one caller's session."""

from __future__ import annotations

from typing import Any, NamedTuple, TYPE_CHECKING

import gevent
from gevent import socket

from ...core.pooler.failure_results import not_run_result
from ...core.pooler.planned_stop import may_start_statement
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
from ..closing_socket import close_gracefully
from .destinations import RoutingRequest
from .router import RoutedResult

if TYPE_CHECKING:
    from ...core.pooler.sessions import PlannedStatement
    from ...core.pooler.statements import Statement
    from ...types import Seconds
    from .callers import CallerListener
    from .destinations import TransactionBinding

RECEIVE_BYTES = 65_536
# A caller must name its database within this time after it connects.
START_TIMEOUT_SECONDS = 5.0
# A caller sends its first message within this time, unless it only tries to connect.
FIRST_MESSAGE_SECONDS = 1.0


class SessionEnded(Exception):
    """End a session that waits for its caller's next message."""


class RunningRequest(NamedTuple):
    """Name the statement that a session is running, and when it arrived."""

    request: str
    arrived_at: Seconds


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
        self.has_ended = False
        self.accepted_at = now_seconds()
        self.running: RunningRequest | None = None

    def serve(self) -> None:
        """Serve until either side ends the session."""
        try:
            with gevent.Timeout(START_TIMEOUT_SECONDS, False):
                pending = self.open_session()
            if not self.route_name:
                return
            self.serve_lines(pending)
        except SessionEnded:
            return
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
            # The wait of the close itself must not be ended.
            self.has_ended = True
            close_gracefully(self.sock)

    def release_transaction(self) -> None:
        """Roll back the open transaction, if there is one."""
        if self.binding is not None:
            self.callers.router.abandon_transaction(self.binding)
            self.binding = None

    def receive_lines(self) -> list[str]:
        """Return the next lines; raise OSError at the stream's end, or SessionEnded."""
        while True:
            try:
                data = self.sock.recv(RECEIVE_BYTES)
            except SessionEnded:
                # What has arrived is answered, so that no caller waits in vain.
                data = self.receive_waiting_bytes()
                self.has_ended = False
            if not data:
                raise ConnectionResetError("the caller closed the connection")
            received = self.lines.feed(data)
            if received:
                return received

    def receive_waiting_bytes(self) -> bytes:
        """Return what has arrived without waiting; raise SessionEnded if nothing has."""
        try:
            return bytes(self.sock._sock.recv(RECEIVE_BYTES, socket.MSG_DONTWAIT))
        except BlockingIOError:
            raise SessionEnded from None

    def end(self) -> None:
        """End the session if it waits for a message and none has arrived."""
        if not self.has_ended:
            self.has_ended = True
            # Nothing happens unless the session waits, so no statement is interrupted.
            gevent.get_hub().cancel_wait(self.sock._read_event, SessionEnded)

    @property
    def is_idle(self) -> bool:
        """Return whether the session neither runs a statement nor has a transaction."""
        return not self.busy and self.session.state == IDLE

    @property
    def is_starting(self) -> bool:
        """Return whether the first message may still be on its way."""
        age = now_seconds() - self.accepted_at
        return not self.route_name and age < FIRST_MESSAGE_SECONDS

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
        refusal = self.callers.check_opening(opening.name, opening.key)
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
        elif not self.may_start(arrived_at):
            self.release_transaction()
            result = not_run_result(statement, "the instance stops; use another one")
            routed = RoutedResult(result, "stopping", None, 0, None)
        else:
            self.running = RunningRequest(statement.request, arrived_at)
            routed = self.run_admitted(statement, arrived_at)
            self.running = None
        self.callers.record_result(statement, routed, arrived_at, self)
        return routed.result

    def may_start(self, arrived_at: Seconds) -> bool:
        """Return whether a statement's answer is due before this process ends."""
        route = self.view.declarations.routes[self.route_name]
        return may_start_statement(self.view.stop, arrived_at, route.timeout_seconds)

    def run_admitted(
        self, statement: PlannedStatement, arrived_at: Seconds
    ) -> RoutedResult:
        """Count an operation against its rate, then run its statement."""
        route = self.view.declarations.routes[self.route_name]
        organisation = self.view.declarations.organisation_of(self.key)
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
            self.key,
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
