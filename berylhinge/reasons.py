"""Enumerate all refusal and retry reasons for the API, metrics and documentation."""

from __future__ import annotations

from enum import StrEnum
from typing import NamedTuple


class RefusalReason(StrEnum):
    """Identify the reason why a request was refused."""

    MALFORMED_BODY = "malformed-body"
    BODY_TOO_LARGE = "body-too-large"
    BODY_TOO_SLOW = "body-too-slow"
    UNKNOWN_PATH = "unknown-path"
    UNKNOWN_ROUTE = "unknown-route"
    MISSING_KEY = "missing-key"
    INVALID_KEY = "invalid-key"
    WITHDRAWN_KEY = "withdrawn-key"
    ROUTE_FORBIDDEN = "route-forbidden"
    KEYS_UNPROVEN = "keys-unproven"
    MALFORMED_SESSION = "malformed-session"
    FOREIGN_SESSION = "foreign-session"
    SESSION_UNREACHABLE = "session-unreachable"
    UNKNOWN_TRANSACTION = "unknown-transaction"
    TRANSACTION_LOST = "transaction-lost"
    RATE_EXCEEDED = "rate-exceeded"
    RATE_UNPROVEN = "rate-unproven"
    QUEUE_FULL = "queue-full"
    DEADLINE_TOO_SHORT = "deadline-too-short"
    DEADLINE_EXCEEDED = "deadline-exceeded"
    NO_UPSTREAM = "no-upstream"
    NO_PRIMARY = "no-primary"
    PRIMARY_SUPERSEDED = "primary-superseded"
    ANSWER_LOST = "answer-lost"
    ACKNOWLEDGEMENT_LOST = "acknowledgement-lost"
    STATEMENT_FAILED = "statement-failed"
    STATEMENT_UNSUPPORTED = "statement-unsupported"
    PEER_LOST = "peer-lost"
    INSTANCE_LEAVING = "instance-leaving"
    INSTANCE_NOT_READY = "instance-not-ready"
    INTERNAL_FAULT = "internal-fault"


class RetryReason(StrEnum):
    """Identify the reason why a statement was retried."""

    CONNECT_REFUSED = "connect-refused"
    CONNECTION_LOST = "connection-lost"
    NOT_PRIMARY = "not-primary"
    PRIMARY_SUPERSEDED = "primary-superseded"
    REPLICA_BEHIND = "replica-behind"
    READ_UNCONFIRMED = "read-unconfirmed"
    UPSTREAM_BUSY = "upstream-busy"
    UPSTREAM_LEAVING = "upstream-leaving"
    PEER_REFUSED = "peer-refused"


class RefusalKind(NamedTuple):
    """Hold the HTTP status and texts that callers receive for a refusal reason."""

    status: int
    title: str
    remedy: str
    retry_after_seconds: float | None = None


_R = RefusalReason

REFUSAL_KINDS: dict[RefusalReason, RefusalKind] = {
    _R.MALFORMED_BODY: RefusalKind(
        400, "The body is not valid", "Send the JSON object that the API describes."
    ),
    _R.BODY_TOO_LARGE: RefusalKind(
        413, "The body is too large", "Send a body below the stated limit."
    ),
    _R.BODY_TOO_SLOW: RefusalKind(
        408, "The body came too slowly", "Send the whole body without pausing."
    ),
    _R.UNKNOWN_PATH: RefusalKind(
        404, "The path or method is unknown", "Use a path that the API describes."
    ),
    _R.UNKNOWN_ROUTE: RefusalKind(
        404, "The route is unknown", "Use a declared route; see berylhingectl show."
    ),
    _R.MISSING_KEY: RefusalKind(
        401, "No key was presented", "Send Authorization: Bearer KEY."
    ),
    _R.INVALID_KEY: RefusalKind(
        401, "The key is not valid", "Ask the operator for a valid key."
    ),
    _R.WITHDRAWN_KEY: RefusalKind(
        401, "The key was withdrawn", "Ask the operator for a new key."
    ),
    _R.ROUTE_FORBIDDEN: RefusalKind(
        403,
        "The organisation may not use the route",
        "Ask the operator to allow the organisation on the route.",
    ),
    _R.KEYS_UNPROVEN: RefusalKind(
        503,
        "The instance cannot prove that keys are current",
        "Retry; another instance may answer.",
        1.0,
    ),
    _R.MALFORMED_SESSION: RefusalKind(
        400,
        "The session token is not valid",
        "Send the token exactly as it was returned, or none.",
    ),
    _R.FOREIGN_SESSION: RefusalKind(
        400,
        "The session token belongs to another group",
        "Keep one session token for each route.",
    ),
    _R.SESSION_UNREACHABLE: RefusalKind(
        503,
        "No database has reached the session's position",
        "Retry with the same token.",
        1.0,
    ),
    _R.UNKNOWN_TRANSACTION: RefusalKind(
        404, "The transaction is unknown", "Begin a new transaction."
    ),
    _R.TRANSACTION_LOST: RefusalKind(
        409, "The transaction was rolled back", "Begin the transaction again."
    ),
    _R.RATE_EXCEEDED: RefusalKind(
        429, "The organisation is over its rate", "Send less or ask for more.", 1.0
    ),
    _R.RATE_UNPROVEN: RefusalKind(
        503,
        "The instance holds no proven share of the rate",
        "Retry; another instance may answer.",
        1.0,
    ),
    _R.QUEUE_FULL: RefusalKind(503, "The queue is full", "Retry after a pause.", 1.0),
    _R.DEADLINE_TOO_SHORT: RefusalKind(
        503,
        "The statement cannot finish in time",
        "Retry with a longer timeout or less load.",
        1.0,
    ),
    _R.DEADLINE_EXCEEDED: RefusalKind(
        504, "The deadline passed", "Check the outcome before a retry."
    ),
    _R.NO_UPSTREAM: RefusalKind(
        503, "The route selects no upstream group", "Ask the operator to check labels."
    ),
    _R.NO_PRIMARY: RefusalKind(
        503, "No primary holds a majority of the group", "Retry after a pause.", 1.0
    ),
    _R.PRIMARY_SUPERSEDED: RefusalKind(
        503, "The primary was superseded", "Retry after a pause.", 1.0
    ),
    _R.ANSWER_LOST: RefusalKind(
        502, "The upstream's answer was lost", "Check the outcome before a retry."
    ),
    _R.ACKNOWLEDGEMENT_LOST: RefusalKind(
        504,
        "The write was not confirmed by a majority in time",
        "Check the outcome before a retry.",
    ),
    _R.STATEMENT_FAILED: RefusalKind(
        422, "The database refused the statement", "Correct the statement."
    ),
    _R.STATEMENT_UNSUPPORTED: RefusalKind(
        422,
        "The statement is not supported on this access",
        "Send writes as access write, and transactions by their own paths.",
    ),
    _R.PEER_LOST: RefusalKind(
        502, "The serving instance was lost", "Check the outcome before a retry."
    ),
    _R.INSTANCE_LEAVING: RefusalKind(
        503, "The instance is shutting down", "Retry; another instance answers.", 0.0
    ),
    _R.INSTANCE_NOT_READY: RefusalKind(
        503, "The instance has no configuration yet", "Retry after a pause.", 1.0
    ),
    _R.INTERNAL_FAULT: RefusalKind(
        500, "The instance failed", "Report the request id to the operator."
    ),
}
