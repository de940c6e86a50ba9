from __future__ import annotations

import pytest

from ....types import Access
from ....wire.pooling import RunUnit
from ..outcomes import after_error, after_loss, may_be_kept
from ..statements import Code, Effect


def unit(access: Access, *, transaction: int = 0, commits: bool = False) -> RunUnit:
    return RunUnit(
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


READ = unit(Access.READ)
WRITE = unit(Access.WRITE)
INSIDE = unit(Access.WRITE, transaction=7)
COMMIT = unit(Access.WRITE, transaction=7, commits=True)


@pytest.mark.parametrize(
    ("given", "sent", "effect", "code"),
    [
        (READ, True, Effect.NONE, Code.BUSY),
        (WRITE, True, Effect.UNKNOWN, Code.IN_DOUBT),
        (WRITE, False, Effect.NONE, Code.BUSY),
        # Nothing of a transaction is kept before its commit was sent.
        (INSIDE, True, Effect.NONE, Code.ABORTED),
        (COMMIT, True, Effect.UNKNOWN, Code.IN_DOUBT),
        (COMMIT, False, Effect.NONE, Code.ABORTED),
    ],
)
def test_a_lost_answer(given: RunUnit, sent: bool, effect: Effect, code: Code) -> None:
    result = after_loss(given, "lost", sent=sent)
    assert (result.effect, result.code) == (effect, code)


@pytest.mark.parametrize(
    ("given", "error", "effect", "code"),
    [
        (READ, Code.LAGGING, Effect.NONE, Code.LAGGING),
        (READ, Code.FAILED, Effect.NONE, Code.BUSY),
        (WRITE, Code.READ_ONLY, Effect.NONE, Code.READ_ONLY),
        (WRITE, Code.FAILED, Effect.UNKNOWN, Code.FAILED),
        (WRITE, Code.TIMEOUT, Effect.UNKNOWN, Code.TIMEOUT),
        (INSIDE, Code.FAILED, Effect.NONE, Code.ABORTED),
        (INSIDE, Code.BUSY, Effect.NONE, Code.ABORTED),
        (COMMIT, Code.READ_ONLY, Effect.NONE, Code.READ_ONLY),
        (COMMIT, Code.FAILED, Effect.UNKNOWN, Code.IN_DOUBT),
    ],
)
def test_an_error_answer(
    given: RunUnit, error: Code, effect: Effect, code: Code
) -> None:
    result = after_error(given, error, "detail")
    assert (result.effect, result.code) == (effect, code)


@pytest.mark.parametrize(
    ("given", "expected"),
    [(READ, False), (WRITE, True), (INSIDE, False), (COMMIT, True)],
)
def test_what_alone_may_be_kept(given: RunUnit, expected: bool) -> None:
    assert may_be_kept(given) is expected
