from __future__ import annotations

import pytest
from hypothesis import given, strategies as st

from ....types import Access, LogPoint
from ..sessions import (
    Answer,
    canonical_name,
    IDLE,
    new_session,
    OPEN,
    plan,
    Session,
    settle,
    Unit,
)
from ..statements import (
    Begin,
    Code,
    Commit,
    Deallocate,
    Effect,
    Execute,
    Malformed,
    Prepare,
    refused,
    Result,
    Rollback,
    Run,
    SetValue,
    Shape,
    Statement,
)

READ, WRITE = Shape(Access.READ, "q1"), Shape(Access.WRITE, "q1")
DONE = Result(Effect.DONE, signature="7.1", point=LogPoint(3, 9))


def after(*statements: Statement, result: Result = DONE) -> Session:
    session = new_session()
    for statement in statements:
        session, planned = plan(statement, session)
        if isinstance(planned, Unit):
            session = settle(session, planned, result)
    return session


READING = Run("r", Access.READ, "READ 1a")
WRITING = Run("w", Access.WRITE, "WRITE 1a x")


@pytest.mark.parametrize(
    ("statements", "statement", "code"),
    [
        ((), Commit("c"), Code.MALFORMED),
        ((), Rollback("c"), Code.MALFORMED),
        ((), Execute("e", "s1", "1a"), Code.UNKNOWN_STATEMENT),
        ((), Deallocate("d", "s1"), Code.UNKNOWN_STATEMENT),
        ((), Malformed("m", "no statement"), Code.MALFORMED),
        ((), SetValue("s", "zone", "x"), None),
        ((), Begin("b", False), None),
        ((Begin("b", False),), Begin("b2", False), Code.MALFORMED),
        ((Begin("b", False), Malformed("m", "")), READING, Code.MALFORMED),
        # The end of a failed transaction is answered by a promise, never a success.
        ((Begin("b", False), Malformed("m", "")), Commit("c"), Code.ABORTED),
        ((Begin("b", False), Malformed("m", "")), Rollback("c"), None),
    ],
)
def test_answers_without_a_database(
    statements: tuple[Statement, ...], statement: Statement, code: Code | None
) -> None:
    _, planned = plan(statement, after(*statements))
    assert isinstance(planned, Answer)
    assert planned.code == code


@pytest.mark.parametrize(
    ("statements", "statement", "text"),
    [
        ((), READING, "READ 1a"),
        ((), WRITING, "WRITE 1a x"),
        ((Begin("b", False),), Commit("c"), "COMMIT"),
        (
            (Prepare("p", "s1", WRITE),),
            Execute("e", "s1", "1a x"),
            f"EXECUTE {canonical_name(WRITE)} 1a x",
        ),
        (
            # A name that was prepared anew runs its newest shape.
            (Prepare("p", "s1", WRITE), Prepare("p", "s1", READ)),
            Execute("e", "s1", "1a"),
            f"EXECUTE {canonical_name(READ)} 1a",
        ),
    ],
)
def test_texts_for_databases(
    statements: tuple[Statement, ...], statement: Statement, text: str
) -> None:
    _, planned = plan(statement, after(*statements))
    assert isinstance(planned, Unit)
    assert planned.text == text


def test_shapes_of_one_form_do_not_share_a_name() -> None:
    assert canonical_name(READ) != canonical_name(WRITE)


@pytest.mark.parametrize(
    ("statements", "result", "point"),
    [
        ((WRITING,), DONE, LogPoint(3, 9)),
        ((Begin("b", False), WRITING, Commit("c")), DONE, LogPoint(3, 9)),
        ((READING,), DONE, None),
        ((WRITING,), refused(Code.BUSY, ""), None),
    ],
)
def test_a_session_remembers_its_own_commits(
    statements: tuple[Statement, ...], result: Result, point: LogPoint | None
) -> None:
    assert after(*statements, result=result).point == point


@pytest.mark.parametrize(
    ("result", "state"),
    [(DONE, OPEN), (refused(Code.ABORTED, ""), "failed")],
)
def test_a_failed_statement_fails_its_transaction(result: Result, state: str) -> None:
    assert after(Begin("b", False), READING, result=result).state == state


@pytest.mark.parametrize(
    "result", [DONE, refused(Code.ABORTED, ""), Result(Effect.UNKNOWN, Code.IN_DOUBT)]
)
def test_a_commit_ends_the_transaction_whatever_it_came_to(result: Result) -> None:
    session, _ = plan(Begin("b", False), new_session())
    session, planned = plan(Commit("c"), session)
    assert isinstance(planned, Unit)
    session = settle(session, planned, result)
    assert (session.state, session.transaction) == (IDLE, None)


names = st.sampled_from(["s1", "s2"])
statements = st.one_of(
    st.builds(Begin, st.just("b"), st.booleans()),
    st.just(Commit("c")),
    st.just(Rollback("r")),
    st.just(READING),
    st.just(WRITING),
    st.builds(SetValue, st.just("s"), names, st.sampled_from("xyz")),
    st.builds(Prepare, st.just("p"), names, st.sampled_from([READ, WRITE])),
    st.builds(Execute, st.just("e"), names, st.just("1a x")),
    st.builds(Deallocate, st.just("d"), names),
    st.just(Malformed("m", "")),
)
results = st.sampled_from(
    [DONE, refused(Code.BUSY, ""), Result(Effect.UNKNOWN, Code.IN_DOUBT)]
)


@given(st.lists(st.tuples(statements, results), max_size=60))
def test_any_history_keeps_the_invariants(
    history: list[tuple[Statement, Result]],
) -> None:
    session = new_session()
    values: dict[str, str] = {}
    for statement, result in history:
        failed = session.state == "failed"
        session, planned = plan(statement, session)
        if isinstance(statement, SetValue) and not failed:
            values[statement.name] = statement.value
        if isinstance(planned, Unit):
            assert not failed
            assert (planned.transaction is None) == (session.state == IDLE)
            session = settle(session, planned, result)
        assert (session.transaction is not None) == (session.state == OPEN)
        assert session.values == values
