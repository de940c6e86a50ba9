"""Exchange one request with an upstream and classify its failures."""

from __future__ import annotations

import time
from typing import Any, NamedTuple, TYPE_CHECKING

import msgspec

from ..core.requests import CallResult
from ..errors import make_refusal, Refusal
from ..reasons import RefusalReason, RetryReason
from ..types import StatementOutcome
from ..wire.upstream import UpstreamAnswer, UpstreamError
from .http_connection import ConnectionFailed
from .upstream_pool import PoolBusy

if TYPE_CHECKING:
    from ..types import LogPoint, UpstreamId
    from .http_connection import HttpConnection
    from .member_link import MemberLink

ANSWER_DECODER = msgspec.json.Decoder(UpstreamAnswer)
ERROR_DECODER = msgspec.json.Decoder(UpstreamError)


class FailedAttempt(NamedTuple):
    """Describe a failed attempt; without a retry reason, retrying is useless."""

    retry_reason: RetryReason | None
    refusal: Refusal


class ErrorMeaning(NamedTuple):
    """Describe an upstream's error code by its retry reason and refusal reason."""

    retry: RetryReason | None
    reason: RefusalReason


ERROR_MEANINGS = {
    "superseded": ErrorMeaning(
        RetryReason.PRIMARY_SUPERSEDED, RefusalReason.PRIMARY_SUPERSEDED
    ),
    "not-primary": ErrorMeaning(RetryReason.NOT_PRIMARY, RefusalReason.NO_PRIMARY),
    "too-many-connections": ErrorMeaning(
        RetryReason.CONNECT_REFUSED, RefusalReason.QUEUE_FULL
    ),
    "busy": ErrorMeaning(RetryReason.UPSTREAM_BUSY, RefusalReason.QUEUE_FULL),
    "quiesced": ErrorMeaning(RetryReason.UPSTREAM_LEAVING, RefusalReason.NO_PRIMARY),
    "leaving": ErrorMeaning(RetryReason.UPSTREAM_LEAVING, RefusalReason.NO_UPSTREAM),
    "sql-error": ErrorMeaning(None, RefusalReason.STATEMENT_FAILED),
    "unsupported": ErrorMeaning(None, RefusalReason.STATEMENT_UNSUPPORTED),
    "no-transaction": ErrorMeaning(None, RefusalReason.TRANSACTION_LOST),
    "malformed": ErrorMeaning(None, RefusalReason.INTERNAL_FAULT),
}


class TimedAnswer(NamedTuple):
    """Carry an upstream's answer and the local time at which its request was sent."""

    answer: UpstreamAnswer
    sent_at: float


def acquire_connection(
    link: MemberLink, deadline: float
) -> HttpConnection | FailedAttempt:
    """Return a connection to an upstream; if that fails, nothing has run."""
    try:
        return link.data_pool.acquire(max(0.0, deadline - time.monotonic()))
    except PoolBusy:
        detail = f"no connection to {link.upstream_id} became free in time"
        return FailedAttempt(
            None, make_refusal(RefusalReason.DEADLINE_TOO_SHORT, detail)
        )
    except ConnectionFailed as error:
        link.record_failure(error)
        detail = f"{link.upstream_id} accepted no connection: {error}"
        return FailedAttempt(
            RetryReason.CONNECT_REFUSED, make_refusal(RefusalReason.NO_UPSTREAM, detail)
        )


def exchange_request(
    link: MemberLink,
    connection: HttpConnection,
    path: str,
    message: Any,
    deadline: float,
) -> TimedAnswer | FailedAttempt:
    """Send a request and decode its answer; close the connection if that fails."""
    sent_at = time.monotonic()
    if sent_at >= deadline:
        detail = "the deadline passed before the statement was sent"
        return FailedAttempt(
            None, make_refusal(RefusalReason.DEADLINE_TOO_SHORT, detail)
        )
    body = msgspec.json.encode(message)
    try:
        reply = connection.exchange(path, body, deadline - sent_at)
    except ConnectionFailed as error:
        return connection_failure(link, error)
    try:
        if reply.status == 200:
            answer = ANSWER_DECODER.decode(reply.body)
            if answer["request_id"] == message["request_id"]:
                return TimedAnswer(answer, sent_at)
        else:
            failure = ERROR_DECODER.decode(reply.body)
            if failure["request_id"] == message["request_id"]:
                return translate_error(link, failure)
    except msgspec.MsgspecError:
        pass
    connection.close()
    detail = f"{link.upstream_id} sent an answer that does not match the request"
    refusal = make_refusal(
        RefusalReason.ANSWER_LOST, detail, outcome=StatementOutcome.UNKNOWN
    )
    return FailedAttempt(RetryReason.CONNECTION_LOST, refusal)


def connection_failure(link: MemberLink, error: ConnectionFailed) -> FailedAttempt:
    """Return a connection's failure, with outcome not run only if nothing was sent."""
    detail = f"{link.upstream_id}: {error}"
    if not error.may_have_sent:
        refusal = make_refusal(RefusalReason.NO_UPSTREAM, detail)
    else:
        refusal = make_refusal(
            RefusalReason.ANSWER_LOST, detail, outcome=StatementOutcome.UNKNOWN
        )
    return FailedAttempt(RetryReason.CONNECTION_LOST, refusal)


def translate_error(link: MemberLink, failure: UpstreamError) -> FailedAttempt:
    """Translate an upstream's error answer into a failure."""
    meaning = ERROR_MEANINGS[failure["error"]]
    outcome = StatementOutcome.UNKNOWN if failure["ran"] else StatementOutcome.NOT_RUN
    detail = f"{link.upstream_id}: {failure['message']}"
    return FailedAttempt(
        meaning.retry, make_refusal(meaning.reason, detail, outcome=outcome)
    )


def build_served(
    answer: UpstreamAnswer, point: LogPoint, upstream: UpstreamId, role: str
) -> CallResult:
    """Build the caller's result from an upstream's answer."""
    return CallResult(
        answer["columns"],
        answer["rows"],
        answer["row_count"],
        point,
        upstream,
        role,
    )
