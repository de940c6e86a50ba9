from __future__ import annotations

import pytest
from hypothesis import given, strategies as st

from ....types import AccessMode, LogPoint
from ..sessions import (
    apply_result,
    canonical_name,
    IDLE,
    LocalAnswer,
    new_session,
    OPEN,
    plan,
    PlannedStatement,
    Session,
)
from ..statements import (
    Begin,
    Commit,
    DataStatement,
    Deallocate,
    Effect,
    ErrorCode,
    Execute,
    Malformed,
    Prepare,
    PreparedStatement,
    refused_result,
    Rollback,
    SetValue,
    Statement,
    StatementResult,
)

READ_DEFINITION, WRITE_DEFINITION = (
    PreparedStatement(AccessMode.READ, "q1"),
    PreparedStatement(AccessMode.WRITE, "q1"),
)
DONE = StatementResult(Effect.DONE, signature="7.1", point=LogPoint(3, 9))


def after(*statements: Statement, result: StatementResult = DONE) -> Session:
    session = new_session()
    for statement in statements:
        session, planned = plan(statement, session)
        if isinstance(planned, PlannedStatement):
            session = apply_result(session, planned, result)
    return session


READ_STATEMENT = DataStatement("r", AccessMode.READ, "READ 1a")
WRITE_STATEMENT = DataStatement("w", AccessMode.WRITE, "WRITE 1a x")


@pytest.mark.parametrize(
    ("statements", "statement", "code"),
    [
        ((), Commit("c"), ErrorCode.MALFORMED),
        ((), Rollback("c"), ErrorCode.MALFORMED),
        ((), Execute("e", "s1", "1a"), ErrorCode.UNKNOWN_STATEMENT),
        ((), Deallocate("d", "s1"), ErrorCode.UNKNOWN_STATEMENT),
        ((), Malformed("m", "no statement"), ErrorCode.MALFORMED),
        ((), SetValue("s", "zone", "x"), None),
        ((), Begin("b", False), None),
        ((Begin("b", False),), Begin("b2", False), ErrorCode.MALFORMED),
        ((Begin("b", False), Malformed("m", "")), READ_STATEMENT, ErrorCode.MALFORMED),
        # A commit of a failed transaction is answered with an error, never a success.
        ((Begin("b", False), Malformed("m", "")), Commit("c"), ErrorCode.ABORTED),
        ((Begin("b", False), Malformed("m", "")), Rollback("c"), None),
    ],
)
def test_answers_without_a_database(
    statements: tuple[Statement, ...], statement: Statement, code: ErrorCode | None
) -> None:
    _, planned = plan(statement, after(*statements))
    assert isinstance(planned, LocalAnswer)
    assert planned.code == code


@pytest.mark.parametrize(
    ("statements", "statement", "text"),
    [
        ((), READ_STATEMENT, "READ 1a"),
        ((), WRITE_STATEMENT, "WRITE 1a x"),
        ((Begin("b", False),), Commit("c"), "COMMIT"),
        (
            (Prepare("p", "s1", WRITE_DEFINITION),),
            Execute("e", "s1", "1a x"),
            f"EXECUTE {canonical_name(WRITE_DEFINITION)} 1a x",
        ),
        (
            # A name that was prepared again runs its newest definition.
            (Prepare("p", "s1", WRITE_DEFINITION), Prepare("p", "s1", READ_DEFINITION)),
            Execute("e", "s1", "1a"),
            f"EXECUTE {canonical_name(READ_DEFINITION)} 1a",
        ),
    ],
)
def test_texts_for_databases(
    statements: tuple[Statement, ...], statement: Statement, text: str
) -> None:
    _, planned = plan(statement, after(*statements))
    assert isinstance(planned, PlannedStatement)
    assert planned.text == text


def test_a_read_and_a_write_of_one_text_have_different_names() -> None:
    assert canonical_name(READ_DEFINITION) != canonical_name(WRITE_DEFINITION)


@pytest.mark.parametrize(
    ("statements", "result", "point"),
    [
        ((WRITE_STATEMENT,), DONE, LogPoint(3, 9)),
        ((Begin("b", False), WRITE_STATEMENT, Commit("c")), DONE, LogPoint(3, 9)),
        ((READ_STATEMENT,), DONE, None),
        ((WRITE_STATEMENT,), refused_result(ErrorCode.BUSY, ""), None),
    ],
)
def test_a_session_tracks_the_position_of_its_newest_commit(
    statements: tuple[Statement, ...], result: StatementResult, point: LogPoint | None
) -> None:
    assert after(*statements, result=result).commit_point == point


@pytest.mark.parametrize(
    ("result", "state"),
    [(DONE, OPEN), (refused_result(ErrorCode.ABORTED, ""), "failed")],
)
def test_a_failed_statement_fails_its_transaction(
    result: StatementResult, state: str
) -> None:
    assert after(Begin("b", False), READ_STATEMENT, result=result).state == state


@pytest.mark.parametrize(
    "result",
    [
        DONE,
        refused_result(ErrorCode.ABORTED, ""),
        StatementResult(Effect.UNKNOWN, ErrorCode.IN_DOUBT),
    ],
)
def test_a_commit_ends_the_transaction_whatever_its_result(
    result: StatementResult,
) -> None:
    session, _ = plan(Begin("b", False), new_session())
    session, planned = plan(Commit("c"), session)
    assert isinstance(planned, PlannedStatement)
    session = apply_result(session, planned, result)
    assert (session.state, session.transaction) == (IDLE, None)


names = st.sampled_from(["s1", "s2"])
statements = st.one_of(
    st.builds(Begin, st.just("b"), st.booleans()),
    st.just(Commit("c")),
    st.just(Rollback("r")),
    st.just(READ_STATEMENT),
    st.just(WRITE_STATEMENT),
    st.builds(SetValue, st.just("s"), names, st.sampled_from("xyz")),
    st.builds(
        Prepare,
        st.just("p"),
        names,
        st.sampled_from([READ_DEFINITION, WRITE_DEFINITION]),
    ),
    st.builds(Execute, st.just("e"), names, st.just("1a x")),
    st.builds(Deallocate, st.just("d"), names),
    st.just(Malformed("m", "")),
)
results = st.sampled_from(
    [
        DONE,
        refused_result(ErrorCode.BUSY, ""),
        StatementResult(Effect.UNKNOWN, ErrorCode.IN_DOUBT),
    ]
)


@given(st.lists(st.tuples(statements, results), max_size=60))
def test_invariants_hold_after_any_statements(
    history: list[tuple[Statement, StatementResult]],
) -> None:
    session = new_session()
    values: dict[str, str] = {}
    for statement, result in history:
        failed = session.state == "failed"
        session, planned = plan(statement, session)
        if isinstance(statement, SetValue) and not failed:
            values[statement.name] = statement.value
        if isinstance(planned, PlannedStatement):
            assert not failed
            assert (planned.transaction is None) == (session.state == IDLE)
            session = apply_result(session, planned, result)
        assert (session.transaction is not None) == (session.state == OPEN)
        assert session.values == values
