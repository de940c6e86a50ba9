"""Choose the truthful result of a statement that failed or whose answer was lost."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ...types import AccessMode
from .statements import Effect, ErrorCode, refused_result, StatementResult

if TYPE_CHECKING:
    from ...types import Seconds
    from ...wire.pooling import ExecuteRequest
    from .sessions import PlannedStatement

# Error codes with which a database answers that a statement did not run.
NOT_RUN_CODES = (
    ErrorCode.BUSY,
    ErrorCode.LAGGING,
    ErrorCode.READ_ONLY,
    ErrorCode.UNKNOWN_STATEMENT,
    ErrorCode.MISDIRECTED,
    ErrorCode.TOO_MANY_CONNECTIONS,
)


def not_run_result(
    statement: ExecuteRequest | PlannedStatement,
    detail: str,
    *,
    retry_after_seconds: Seconds = 0.0,
) -> StatementResult:
    """Return a result that promises that the statement has no effect."""
    code = ErrorCode.ABORTED if statement.transaction else ErrorCode.BUSY
    return refused_result(code, detail, retry_after_seconds=retry_after_seconds)


def may_commit(statement: ExecuteRequest) -> bool:
    """Tell whether the statement is a commit, or a write outside a transaction."""
    return statement.is_commit or (
        statement.access is AccessMode.WRITE and not statement.transaction
    )


def begins_on_primary(request: ExecuteRequest) -> bool:
    """Tell whether a statement outside a transaction, or the first in it, may write."""
    if request.begin_mode:
        return request.begin_mode == "plain"
    return request.access is AccessMode.WRITE and not request.transaction


def error_result(
    statement: ExecuteRequest, code: ErrorCode, detail: str
) -> StatementResult:
    """Return the truthful result of a database's error answer.

    A transaction that fails before its commit was sent is rolled back, so it has no
    effect; a read never has one.
    """
    if code in NOT_RUN_CODES:
        if statement.transaction and code is not ErrorCode.READ_ONLY:
            return refused_result(ErrorCode.ABORTED, detail)
        return refused_result(code, detail)
    if statement.is_commit:
        return StatementResult(
            Effect.UNKNOWN, ErrorCode.IN_DOUBT, detail, transaction_ended=True
        )
    if statement.transaction:
        return refused_result(ErrorCode.ABORTED, detail)
    if statement.access is AccessMode.READ:
        return refused_result(ErrorCode.BUSY, detail)
    return StatementResult(Effect.UNKNOWN, code, detail, transaction_ended=True)


def lost_answer_result(
    statement: ExecuteRequest, detail: str, *, sent: bool
) -> StatementResult:
    """Return the result when no answer came; ``sent`` if a byte may have left."""
    if sent and may_commit(statement):
        return StatementResult(
            Effect.UNKNOWN, ErrorCode.IN_DOUBT, detail, transaction_ended=True
        )
    return not_run_result(statement, detail)
