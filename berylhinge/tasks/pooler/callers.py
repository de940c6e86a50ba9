"""Accept callers and keep their sessions."""

from __future__ import annotations

from itertools import count
from random import SystemRandom
from typing import Any, TYPE_CHECKING

from gevent import socket
from gevent.server import StreamServer

from ...core.pooler.planned_stop import are_idle_sessions_ended
from ...core.pooler.statements import Effect, ErrorCode
from ..clock import now_seconds, rounded_age
from .caller_session import SessionTask

if TYPE_CHECKING:
    from ...core.pooler.sessions import PlannedStatement
    from ...types import Seconds
    from ..http_server import Address
    from ..logs import Log
    from ..metrics import Metrics
    from .fleet_view import FleetView
    from .rates import RateLimiter
    from .router import RoutedResult, Router

# Connections beyond this number are closed at once; each costs a descriptor and a task.
MAX_SESSIONS = 3_000
# Random bits of a process's first transaction number; msgpack integers have 64 bits.
TRANSACTION_NUMBER_BITS = 48
# Interval at which one served request is logged, for comparison with failed ones.
LOG_SAMPLE_INTERVAL_SECONDS = 1.0
# Length of the kernel's queue of connections waiting to be accepted.
LISTEN_BACKLOG = 512


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

    @property
    def closing(self) -> bool:
        """Return whether sessions end as soon as they are idle."""
        return are_idle_sessions_ended(self.view.stop, now_seconds())

    def check_opening(self, name: str, key: str) -> tuple[ErrorCode, str] | None:
        """Return the refusal of a new session, or None if it may open."""
        if self.closing:
            return (ErrorCode.BUSY, "the instance stops; connect to another one")
        return self.check_access(name, key)

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
        """End sessions that neither run a statement nor hold a transaction."""
        for session in list(self.sessions):
            if session.is_idle and not session.is_starting:
                session.end()

    def end_waiting(self) -> None:
        """End every session that runs no statement, whatever its transaction."""
        for session in list(self.sessions):
            if not session.busy:
                session.end()

    def log_running(self) -> None:
        """Log each statement that has no answer yet, before the process ends."""
        now = now_seconds()
        for session in self.sessions:
            if session.running is not None:
                self.log.info(
                    "The process ends before a request.",
                    request_id=session.running.request,
                    route=session.route_name,
                    seconds=round(now - session.running.arrived_at, 3),
                )

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
