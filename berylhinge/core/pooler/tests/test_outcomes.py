from __future__ import annotations

import pytest

from ....types import AccessMode
from ....wire.pooling import ExecuteRequest
from ..outcomes import after_error, after_loss, may_be_kept
from ..statements import Code, Effect


def request(
    access: AccessMode, *, transaction: int = 0, commits: bool = False
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
        commits,
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
COMMIT = request(AccessMode.WRITE, transaction=7, commits=True)


@pytest.mark.parametrize(
    ("execution", "sent", "effect", "code"),
    [
        (READ, True, Effect.NONE, Code.BUSY),
        (WRITE, True, Effect.UNKNOWN, Code.IN_DOUBT),
        (WRITE, False, Effect.NONE, Code.BUSY),
        # A transaction has no effect before its commit is sent.
        (IN_TRANSACTION, True, Effect.NONE, Code.ABORTED),
        (COMMIT, True, Effect.UNKNOWN, Code.IN_DOUBT),
        (COMMIT, False, Effect.NONE, Code.ABORTED),
    ],
)
def test_result_of_a_lost_answer(
    execution: ExecuteRequest, sent: bool, effect: Effect, code: Code
) -> None:
    result = after_loss(execution, "lost", sent=sent)
    assert (result.effect, result.code) == (effect, code)


@pytest.mark.parametrize(
    ("execution", "error", "effect", "code"),
    [
        (READ, Code.LAGGING, Effect.NONE, Code.LAGGING),
        (READ, Code.FAILED, Effect.NONE, Code.BUSY),
        (WRITE, Code.READ_ONLY, Effect.NONE, Code.READ_ONLY),
        (WRITE, Code.FAILED, Effect.UNKNOWN, Code.FAILED),
        (WRITE, Code.TIMEOUT, Effect.UNKNOWN, Code.TIMEOUT),
        (IN_TRANSACTION, Code.FAILED, Effect.NONE, Code.ABORTED),
        (IN_TRANSACTION, Code.BUSY, Effect.NONE, Code.ABORTED),
        (COMMIT, Code.READ_ONLY, Effect.NONE, Code.READ_ONLY),
        (COMMIT, Code.FAILED, Effect.UNKNOWN, Code.IN_DOUBT),
    ],
)
def test_result_of_an_error_answer(
    execution: ExecuteRequest, error: Code, effect: Effect, code: Code
) -> None:
    result = after_error(execution, error, "detail")
    assert (result.effect, result.code) == (effect, code)


@pytest.mark.parametrize(
    ("execution", "expected"),
    [(READ, False), (WRITE, True), (IN_TRANSACTION, False), (COMMIT, True)],
)
def test_what_may_commit(execution: ExecuteRequest, expected: bool) -> None:
    assert may_be_kept(execution) is expected
