"""Serve the callers' HTTP interface."""

from __future__ import annotations

import time
import uuid
from typing import Any, TYPE_CHECKING

import gevent
import msgspec
from returns.pipeline import is_successful

from ..core.requests import (
    DEFAULT_TIMEOUTS,
    parse_statement,
    parse_transaction,
    TimeoutLimits,
)
from ..core.session_tokens import (
    decode_session_token,
    encode_session_token,
    SessionToken,
)
from ..errors import make_refusal, Refusal, RefusedError
from ..reasons import REFUSAL_KINDS, RefusalReason
from ..types import StatementOutcome
from .http_server import respond

if TYPE_CHECKING:
    from collections.abc import Iterable

    from returns.result import Result

    from ..core.requests import CallResult
    from ..types import LogPoint
    from .dispatcher import Dispatcher
    from .http_server import Environ, StartResponse
    from .metrics import Metrics

SESSION_HEADER = "Berylhinge-Session"
REQUEST_ID_HEADER = "Berylhinge-Request-Id"
PROBLEM_CONTENT_TYPE = "application/problem+json"
PROBLEM_TYPE_PREFIX = "https://berylhinge.example/refusals/"
MAX_REQUEST_ID_CHARACTERS = 100


def choose_request_id(environ: Environ) -> str:
    """Return the caller's request id where it is usable, or a new one."""
    supplied = str(environ.get("HTTP_BERYLHINGE_REQUEST_ID", ""))
    if 0 < len(supplied) <= MAX_REQUEST_ID_CHARACTERS and supplied.isprintable():
        return supplied
    return uuid.uuid4().hex


LOGGED_REASONS = {RefusalReason.TRANSACTION_LOST, RefusalReason.NO_PRIMARY}
UNREAD_BODY_REASONS = {
    RefusalReason.BODY_TOO_LARGE,
    RefusalReason.BODY_TOO_SLOW,
    RefusalReason.MALFORMED_BODY,
    RefusalReason.UNKNOWN_PATH,
}


def split_route_path(environ: Environ) -> list[str]:
    """Split /v1/routes/ROUTE/...; raise RefusedError for other paths."""
    segments = str(environ.get("PATH_INFO", "")).strip("/").split("/")
    if len(segments) < 4 or segments[:2] != ["v1", "routes"]:
        detail = "expected /v1/routes/ROUTE/statements or .../transactions"
        raise RefusedError(make_refusal(RefusalReason.UNKNOWN_PATH, detail))
    return segments


def parse_transaction_path(segments: list[str]) -> tuple[Any, str]:
    """Return the action and the transaction id; raise RefusedError for other paths."""
    match segments:
        case ["transactions"]:
            return "begin", ""
        case ["transactions", transaction, "statements"]:
            return "statement", transaction
        case ["transactions", transaction, ("commit" | "rollback") as action]:
            return action, transaction
    detail = "expected /transactions, or /transactions/ID/(statements|commit|rollback)"
    raise RefusedError(make_refusal(RefusalReason.UNKNOWN_PATH, detail))


def unwrap_or_raise(result: Result[Any, Refusal]) -> Any:
    """Return the value of a success; raise RefusedError for a refusal."""
    if is_successful(result):
        return result.unwrap()
    raise RefusedError(result.failure())


def make_session_headers(
    group: str, served: CallResult, floor: LogPoint | None
) -> list[tuple[str, str]]:
    """Return the header with the session's token, whose position never decreases."""
    points = [point for point in (floor, served.point) if point is not None]
    if not points:
        return []
    newest = max(points)
    token = encode_session_token(SessionToken(group, newest.term, newest.position))
    return [(SESSION_HEADER, token)]


class CallersApp:
    """Serve the callers' requests as a WSGI application."""

    def __init__(
        self,
        dispatcher: Dispatcher,
        metrics: Metrics,
        *,
        body_limit_bytes: int,
        body_timeout_seconds: float,
        timeouts: TimeoutLimits = DEFAULT_TIMEOUTS,
    ) -> None:
        """Accept requests until a planned stop begins."""
        self.dispatcher = dispatcher
        self.metrics = metrics
        self.body_limit_bytes = body_limit_bytes
        self.body_timeout_seconds = body_timeout_seconds
        self.timeouts = timeouts
        self.is_leaving = False
        self.is_refusing = False
        self.active_requests = 0

    def __call__(
        self, environ: Environ, start_response: StartResponse
    ) -> Iterable[bytes]:
        """Answer one request; turn every exception into a refusal."""
        started = time.monotonic()
        request_id = choose_request_id(environ)
        self.active_requests += 1
        try:
            served, headers = self.handle_request(environ, request_id)
            return self.send_served(start_response, request_id, served, headers)
        except RefusedError as error:
            return self.send_refusal(start_response, request_id, error.refusal)
        except Exception as error:
            self.dispatcher.log.fault(request_id, error)
            refusal = make_refusal(
                RefusalReason.INTERNAL_FAULT,
                type(error).__name__,
                outcome=StatementOutcome.UNKNOWN,
            )
            return self.send_refusal(start_response, request_id, refusal)
        finally:
            self.active_requests -= 1
            self.metrics.latency.observe({}, time.monotonic() - started)

    def handle_request(
        self, environ: Environ, request_id: str
    ) -> tuple[CallResult, list[tuple[str, str]]]:
        """Parse, authenticate, route and run a request; raise RefusedError."""
        if self.is_refusing:
            detail = "the instance has stopped serving"
            raise RefusedError(make_refusal(RefusalReason.INSTANCE_LEAVING, detail))
        body = self.read_body(environ)
        segments = split_route_path(environ)
        caller = self.dispatcher.identify_caller(
            segments[2], environ.get("HTTP_AUTHORIZATION")
        )
        floor = self.read_session_floor(environ, caller.group)
        if segments[3:] == ["statements"]:
            call = unwrap_or_raise(
                parse_statement(
                    body,
                    request_id=request_id,
                    route=segments[2],
                    floor=floor,
                    timeouts=self.timeouts,
                )
            )
            served = self.dispatcher.run_statement(caller, call)
        else:
            action, transaction = parse_transaction_path(segments[3:])
            transaction_call = unwrap_or_raise(
                parse_transaction(
                    body,
                    action=action,
                    transaction=transaction,
                    request_id=request_id,
                    route=segments[2],
                    floor=floor,
                    timeouts=self.timeouts,
                )
            )
            served = self.dispatcher.run_transaction(caller, transaction_call)
        return served, make_session_headers(caller.group, served, floor)

    def read_body(self, environ: Environ) -> bytes:
        """Read the body, up to the size limit; raise RefusedError."""
        if environ["REQUEST_METHOD"] != "POST":
            raise RefusedError(
                make_refusal(RefusalReason.UNKNOWN_PATH, "expected POST")
            )
        length = environ.get("CONTENT_LENGTH") or ""
        if not length.isdigit():
            detail = "expected a Content-Length header"
            raise RefusedError(make_refusal(RefusalReason.MALFORMED_BODY, detail))
        if int(length) > self.body_limit_bytes:
            detail = f"got {length} bytes, expected at most {self.body_limit_bytes}"
            raise RefusedError(make_refusal(RefusalReason.BODY_TOO_LARGE, detail))
        return self.read_bytes(environ, int(length))

    def read_bytes(self, environ: Environ, length: int) -> bytes:
        """Read exactly ``length`` bytes before the timeout; raise RefusedError."""
        timeout = gevent.Timeout(self.body_timeout_seconds)
        timeout.start()
        try:
            body: bytes = environ["wsgi.input"].read(length)
        except gevent.Timeout as error:
            if error is not timeout:
                raise
            detail = f"expected the body within {self.body_timeout_seconds} s"
            raise RefusedError(
                make_refusal(RefusalReason.BODY_TOO_SLOW, detail)
            ) from None
        except OSError:
            body = b""
        finally:
            timeout.close()
        if len(body) != length:
            detail = f"got {len(body)} bytes, expected {length}"
            raise RefusedError(make_refusal(RefusalReason.MALFORMED_BODY, detail))
        return body

    def read_session_floor(self, environ: Environ, group: str) -> Any:
        """Return the session token's log position, or none; raise RefusedError."""
        token = environ.get("HTTP_BERYLHINGE_SESSION")
        if not token:
            return None
        return unwrap_or_raise(decode_session_token(token, group=group)).point

    def send_served(
        self,
        start_response: StartResponse,
        request_id: str,
        served: CallResult,
        headers: list[tuple[str, str]],
    ) -> Iterable[bytes]:
        """Send the result of a call."""
        answer = {
            "request_id": request_id,
            "columns": served.columns,
            "rows": served.rows,
            "row_count": served.row_count,
            "served_by": served.role,
        }
        if served.transaction is not None:
            answer["transaction"] = served.transaction
        fields = [(REQUEST_ID_HEADER, request_id), *headers, *self.connection_headers()]
        body = msgspec.json.encode(answer)
        return respond(start_response, 200, body, headers=fields)

    def send_refusal(
        self, start_response: StartResponse, request_id: str, refusal: Refusal
    ) -> Iterable[bytes]:
        """Count a refusal, log it if it needs attention, and send it."""
        self.metrics.count_refusal(refusal.reason, refusal.outcome)
        if (
            refusal.outcome is StatementOutcome.UNKNOWN
            or refusal.reason in LOGGED_REASONS
        ):
            self.dispatcher.log.refusal(request_id, refusal)
        kind = REFUSAL_KINDS[refusal.reason]
        problem = {
            "type": PROBLEM_TYPE_PREFIX + refusal.reason.value,
            "title": kind.title,
            "status": kind.status,
            "detail": refusal.detail,
            "reason": refusal.reason.value,
            "outcome": refusal.outcome.value,
            "remedy": kind.remedy,
            "request_id": request_id,
        }
        fields = [(REQUEST_ID_HEADER, request_id), *self.connection_headers(refusal)]
        if refusal.retry_after_seconds is not None:
            fields.append(("Retry-After", str(round(refusal.retry_after_seconds))))
        body = msgspec.json.encode(problem)
        return respond(
            start_response,
            kind.status,
            body,
            headers=fields,
            content_type=PROBLEM_CONTENT_TYPE,
        )

    def connection_headers(
        self, refusal: Refusal | None = None
    ) -> list[tuple[str, str]]:
        """Return the header that asks the caller to close the connection, if needed."""
        is_body_unread = refusal is not None and refusal.reason in UNREAD_BODY_REASONS
        return [("Connection", "close")] if self.is_leaving or is_body_unread else []
