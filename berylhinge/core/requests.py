"""Decode the bodies of callers' requests into typed calls."""

from __future__ import annotations

from typing import Annotated, Any, Literal, NamedTuple, NotRequired, TypedDict

import msgspec
from returns.result import Failure, Result, Success

from ..errors import make_refusal, Refusal
from ..reasons import RefusalReason
from ..types import AccessMode, JsonValue, LogPoint, RequestId, RouteId, Seconds

MAX_AGE_SECONDS = 86_400.0
MAX_STATEMENT_CHARACTERS = 200_000
MAX_PARAMETERS = 10_000

Timeout = Annotated[float, msgspec.Meta(gt=0)]
MaxAge = Annotated[float, msgspec.Meta(ge=0, le=MAX_AGE_SECONDS)]
StatementText = Annotated[
    str, msgspec.Meta(min_length=1, max_length=MAX_STATEMENT_CHARACTERS)
]
Parameter = str | int | float | bool | None
Parameters = Annotated[list[Parameter], msgspec.Meta(max_length=MAX_PARAMETERS)]


class StatementBody(TypedDict):
    """Describe a statement outside a transaction."""

    statement: StatementText
    access: Literal["read", "write"]
    parameters: NotRequired[Parameters]
    idempotent: NotRequired[bool]
    max_age_seconds: NotRequired[MaxAge]
    timeout_seconds: NotRequired[Timeout]


class BeginBody(TypedDict):
    """Describe a transaction to begin."""

    access: NotRequired[Literal["read", "write"]]
    timeout_seconds: NotRequired[Timeout]


class TransactionStatementBody(TypedDict):
    """Describe a statement within a transaction."""

    statement: StatementText
    parameters: NotRequired[Parameters]
    timeout_seconds: NotRequired[Timeout]


class EndTransactionBody(TypedDict):
    """Describe a commit or rollback."""

    timeout_seconds: NotRequired[Timeout]


class TimeoutLimits(NamedTuple):
    """Set a call's default timeout, and the longest one that it may request."""

    default_seconds: Seconds = 5.0
    limit_seconds: Seconds = 60.0


DEFAULT_TIMEOUTS = TimeoutLimits()


class StatementCall(NamedTuple):
    """Request one statement; ``floor`` is the log position in the session's token."""

    request_id: RequestId
    route: RouteId
    statement: str
    parameters: list[JsonValue]
    access: AccessMode
    idempotent: bool
    max_age_seconds: Seconds | None
    timeout_seconds: Seconds
    floor: LogPoint | None


class TransactionCall(NamedTuple):
    """Request a transaction's begin, statement, commit or rollback from its owner."""

    request_id: RequestId
    route: RouteId
    action: Literal["begin", "statement", "commit", "rollback"]
    transaction: str
    access: AccessMode
    statement: str
    parameters: list[JsonValue]
    timeout_seconds: Seconds
    floor: LogPoint | None


class CallResult(NamedTuple):
    """Answer a call; ``point`` is the log position that the session has now reached."""

    columns: list[str]
    rows: list[list[JsonValue]]
    row_count: int
    point: LogPoint | None
    upstream: str
    role: str
    transaction: str | None = None


def decode_body(
    body: bytes, kind: type, timeouts: TimeoutLimits = DEFAULT_TIMEOUTS
) -> Result[Any, Refusal]:
    """Decode a JSON object; refuse unknown fields and timeouts above the limit."""
    try:
        value = msgspec.json.decode(body or b"{}", type=dict[str, Any])
        unknown = value.keys() - kind.__annotations__.keys()
        if unknown:
            expected = ", ".join(sorted(kind.__annotations__))
            return Failure(
                make_refusal(
                    RefusalReason.MALFORMED_BODY,
                    f"got unknown fields {sorted(unknown)}, expected only {expected}",
                )
            )
        fields: dict[str, Any] = msgspec.convert(value, type=kind, strict=True)
        fields.setdefault("timeout_seconds", timeouts.default_seconds)
        if fields["timeout_seconds"] > timeouts.limit_seconds:
            got = fields["timeout_seconds"]
            detail = f"got timeout_seconds {got}, expected {timeouts.limit_seconds}"
            return Failure(
                make_refusal(RefusalReason.MALFORMED_BODY, f"{detail} at most")
            )
        return Success(fields)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as error:
        return Failure(make_refusal(RefusalReason.MALFORMED_BODY, str(error)))


def parse_statement(
    body: bytes,
    *,
    request_id: RequestId,
    route: RouteId,
    floor: LogPoint | None,
    timeouts: TimeoutLimits = DEFAULT_TIMEOUTS,
) -> Result[StatementCall, Refusal]:
    """Parse the body of a statement outside a transaction."""

    def build(fields: StatementBody) -> StatementCall:
        access = AccessMode(fields["access"])
        return StatementCall(
            request_id=request_id,
            route=route,
            statement=fields["statement"],
            parameters=list(fields.get("parameters", ())),
            access=access,
            idempotent=fields.get("idempotent", access is AccessMode.READ),
            max_age_seconds=fields.get("max_age_seconds"),
            timeout_seconds=fields["timeout_seconds"],
            floor=floor,
        )

    return decode_body(body, StatementBody, timeouts).map(build)


_ACTION_BODIES = {
    "begin": BeginBody,
    "statement": TransactionStatementBody,
    "commit": EndTransactionBody,
    "rollback": EndTransactionBody,
}


def parse_transaction(
    body: bytes,
    *,
    action: Literal["begin", "statement", "commit", "rollback"],
    transaction: str,
    request_id: RequestId,
    route: RouteId,
    floor: LogPoint | None,
    timeouts: TimeoutLimits = DEFAULT_TIMEOUTS,
) -> Result[TransactionCall, Refusal]:
    """Parse the body of a transaction's begin, statement, commit or rollback."""

    def build(fields: dict[str, Any]) -> TransactionCall:
        return TransactionCall(
            request_id=request_id,
            route=route,
            action=action,
            transaction=transaction,
            access=AccessMode(fields.get("access", "write")),
            statement=fields.get("statement", ""),
            parameters=list(fields.get("parameters", ())),
            timeout_seconds=fields["timeout_seconds"],
            floor=floor,
        )

    return decode_body(body, _ACTION_BODIES[action], timeouts).map(build)
