from __future__ import annotations

import pytest

from ....types import AccessMode
from ....wire.pooling import ExecuteRequest
from ..failure_results import error_result, lost_answer_result, may_commit
from ..statements import Effect, ErrorCode


def request(
    access: AccessMode, *, transaction: int = 0, is_commit: bool = False
) -> ExecuteRequest:
    return ExecuteRequest(
        "i-a",
        "o",
        "r",
        "text",
        access,
        None,
        transaction,
        "",
        is_commit,
        {},
        {},
        1,
        0.1,
        1.0,
        3.0,
    )


READ = request(AccessMode.READ)
WRITE = request(AccessMode.WRITE)
IN_TRANSACTION = request(AccessMode.WRITE, transaction=7)
COMMIT = request(AccessMode.WRITE, transaction=7, is_commit=True)


@pytest.mark.parametrize(
    ("execution", "sent", "effect", "code"),
    [
        (READ, True, Effect.NONE, ErrorCode.BUSY),
        (WRITE, True, Effect.UNKNOWN, ErrorCode.IN_DOUBT),
        (WRITE, False, Effect.NONE, ErrorCode.BUSY),
        # A transaction has no effect before its commit is sent.
        (IN_TRANSACTION, True, Effect.NONE, ErrorCode.ABORTED),
        (COMMIT, True, Effect.UNKNOWN, ErrorCode.IN_DOUBT),
        (COMMIT, False, Effect.NONE, ErrorCode.ABORTED),
    ],
)
def test_result_of_a_lost_answer(
    execution: ExecuteRequest, sent: bool, effect: Effect, code: ErrorCode
) -> None:
    result = lost_answer_result(execution, "lost", sent=sent)
    assert (result.effect, result.code) == (effect, code)


@pytest.mark.parametrize(
    ("execution", "error", "effect", "code"),
    [
        (READ, ErrorCode.LAGGING, Effect.NONE, ErrorCode.LAGGING),
        (READ, ErrorCode.FAILED, Effect.NONE, ErrorCode.BUSY),
        (WRITE, ErrorCode.READ_ONLY, Effect.NONE, ErrorCode.READ_ONLY),
        (WRITE, ErrorCode.FAILED, Effect.UNKNOWN, ErrorCode.FAILED),
        (WRITE, ErrorCode.TIMEOUT, Effect.UNKNOWN, ErrorCode.TIMEOUT),
        (IN_TRANSACTION, ErrorCode.FAILED, Effect.NONE, ErrorCode.ABORTED),
        (IN_TRANSACTION, ErrorCode.BUSY, Effect.NONE, ErrorCode.ABORTED),
        (COMMIT, ErrorCode.READ_ONLY, Effect.NONE, ErrorCode.READ_ONLY),
        (COMMIT, ErrorCode.FAILED, Effect.UNKNOWN, ErrorCode.IN_DOUBT),
    ],
)
def test_result_of_an_error_answer(
    execution: ExecuteRequest, error: ErrorCode, effect: Effect, code: ErrorCode
) -> None:
    result = error_result(execution, error, "detail")
    assert (result.effect, result.code) == (effect, code)


@pytest.mark.parametrize(
    ("execution", "expected"),
    [(READ, False), (WRITE, True), (IN_TRANSACTION, False), (COMMIT, True)],
)
def test_what_may_commit(execution: ExecuteRequest, expected: bool) -> None:
    assert may_commit(execution) is expected
