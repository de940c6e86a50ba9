"""Choose the truthful result of a statement that failed or whose answer was lost."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ...types import AccessMode
from .statements import Code, Effect, refused, Result

if TYPE_CHECKING:
    from ...types import Seconds
    from ...wire.pooling import ExecuteRequest
    from .sessions import Unit

# Error codes with which a database answers that a statement did not run.
NOT_RUN_CODES = (
    Code.BUSY,
    Code.LAGGING,
    Code.READ_ONLY,
    Code.UNKNOWN_STATEMENT,
    Code.MISDIRECTED,
    Code.TOO_MANY_CONNECTIONS,
)


def not_run(
    statement: ExecuteRequest | Unit, detail: str, *, retry_after_seconds: Seconds = 0.0
) -> Result:
    """Return a result that promises that the statement has no effect."""
    code = Code.ABORTED if statement.transaction else Code.BUSY
    return refused(code, detail, retry_after_seconds=retry_after_seconds)


def may_be_kept(statement: ExecuteRequest) -> bool:
    """Tell whether the statement may commit: a commit, or a write outside a transaction."""
    return statement.is_commit or (
        statement.access is AccessMode.WRITE and not statement.transaction
    )


def after_error(statement: ExecuteRequest, code: Code, detail: str) -> Result:
    """Return the truthful result of a database's error answer.

    A transaction that fails before its commit was sent is rolled back, so it has no
    effect; a read never has one.
    """
    if code in NOT_RUN_CODES:
        if statement.transaction and code is not Code.READ_ONLY:
            return refused(Code.ABORTED, detail)
        return refused(code, detail)
    if statement.is_commit:
        return Result(Effect.UNKNOWN, Code.IN_DOUBT, detail, ended=True)
    if statement.transaction:
        return refused(Code.ABORTED, detail)
    if statement.access is AccessMode.READ:
        return refused(Code.BUSY, detail)
    return Result(Effect.UNKNOWN, code, detail, ended=True)


def after_loss(statement: ExecuteRequest, detail: str, *, sent: bool) -> Result:
    """Return the result when no answer came; ``sent`` if a byte may have left."""
    if sent and may_be_kept(statement):
        return Result(Effect.UNKNOWN, Code.IN_DOUBT, detail, ended=True)
    return not_run(statement, detail)
