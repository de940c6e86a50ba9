"""Track one caller's session: its values, prepared names and transaction.

``plan`` decides whether a statement needs a database; ``apply_result`` updates the
session by the result. Statements that touch no data are answered here, and their state
is replayed on each connection that later runs a statement of the session.
"""

from __future__ import annotations

from functools import singledispatch
from typing import NamedTuple, TypeAlias

from returns.result import Failure
from xxhash import xxh3_64_hexdigest

from ...types import AccessMode, LogPoint
from ..state_charts import advance_state, load_state_chart
from .statements import (
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
    Rollback,
    SetValue,
    Statement,
    StatementResult,
)

# Limits of one session's state; a statement that exceeds them is refused.
MAX_SESSION_VALUES = 256
MAX_PREPARED_NAMES = 512

CHART = load_state_chart("session")
IDLE, OPEN, FAILED = "idle", "open", "failed"
# Statements that a failed transaction accepts: its end, and a malformed one.
ACCEPTED_AFTER_FAILURE = (Commit, Rollback, Malformed)


class Transaction(NamedTuple):
    """Describe the open transaction."""

    read_only: bool


class Session(NamedTuple):
    """Hold a session's state; ``commit_point`` is its newest commit's log position."""

    state: str
    values: dict[str, str]
    prepared: dict[str, PreparedStatement]
    transaction: Transaction | None
    commit_point: LogPoint | None


class LocalAnswer(NamedTuple):
    """Answer without a database; ``rollback`` is what to roll back at one."""

    code: ErrorCode | None = None
    detail: str = ""
    rollback: Transaction | None = None


class PlannedStatement(NamedTuple):
    """Describe a statement to run at a database.

    ``transaction`` is None outside a transaction; ``prepared`` are the names that the
    statement uses, and what they run.
    """

    request: str
    text: str
    access: AccessMode
    transaction: Transaction | None
    prepared: dict[str, PreparedStatement]
    is_commit: bool


Plan: TypeAlias = LocalAnswer | PlannedStatement


def new_session() -> Session:
    """Return an idle session."""
    return Session(CHART.initial, {}, {}, None, None)


def canonical_name(shape: PreparedStatement) -> str:
    """Return the name under which every session prepares a statement at databases."""
    digest = xxh3_64_hexdigest(shape.template.encode())
    return f"{shape.access.value[0]}{digest}"


def apply_event(session: Session, event: str) -> Session | None:
    """Return the session after a chart event, or None where its state has none such."""
    target = advance_state(CHART, session.state, event)
    if isinstance(target, Failure):
        return None
    return session._replace(state=target.unwrap())


def plan(statement: Statement, session: Session) -> tuple[Session, Plan]:
    """Return the session and how to answer a statement.

    A failed transaction accepts nothing but its end.
    """
    if session.state == FAILED and not isinstance(statement, ACCEPTED_AFTER_FAILURE):
        return session, LocalAnswer(
            ErrorCode.MALFORMED, "the transaction failed; end it first"
        )
    return plan_statement(statement, session)


@singledispatch
def plan_statement(statement: Statement, session: Session) -> tuple[Session, Plan]:
    """Return the session and how to answer one kind of statement."""
    raise TypeError(f"got {type(statement).__name__}, expected a statement")


@plan_statement.register
def plan_malformed(statement: Malformed, session: Session) -> tuple[Session, Plan]:
    """Answer with what is wrong with the text."""
    return answer_with_error(
        session, LocalAnswer(ErrorCode.MALFORMED, statement.detail)
    )


def answer_with_error(session: Session, answer: LocalAnswer) -> tuple[Session, Plan]:
    """Answer with an error; an open transaction fails and is rolled back."""
    after = apply_event(session, "error")
    if after is None:
        return session, answer
    abandon = session.transaction
    return after._replace(transaction=None), answer._replace(rollback=abandon)


@plan_statement.register
def plan_begin(statement: Begin, session: Session) -> tuple[Session, Plan]:
    """Open a transaction; it begins at a database with its first statement."""
    after = apply_event(session, "begin")
    if after is None:
        return answer_with_error(
            session, LocalAnswer(ErrorCode.MALFORMED, "a transaction is open already")
        )
    return after._replace(transaction=Transaction(statement.read_only)), LocalAnswer()


@plan_statement.register
def plan_commit(statement: Commit, session: Session) -> tuple[Session, Plan]:
    """Commit at the database, which alone can confirm it."""
    if session.state == FAILED:
        after = session._replace(state=IDLE, transaction=None)
        return after, LocalAnswer(ErrorCode.ABORTED, "the transaction had failed")
    if session.transaction is None:
        return session, LocalAnswer(ErrorCode.MALFORMED, "no transaction is open")
    return session, PlannedStatement(
        statement.request, "COMMIT", AccessMode.WRITE, session.transaction, {}, True
    )


@plan_statement.register
def plan_rollback(statement: Rollback, session: Session) -> tuple[Session, Plan]:
    """Roll the transaction back."""
    after = apply_event(session, "end")
    if after is None:
        return session, LocalAnswer(ErrorCode.MALFORMED, "no transaction is open")
    return after._replace(transaction=None), LocalAnswer(rollback=session.transaction)


@plan_statement.register
def plan_run(statement: DataStatement, session: Session) -> tuple[Session, Plan]:
    """Run a read or a write."""
    return session, PlannedStatement(
        statement.request,
        statement.text,
        statement.access,
        session.transaction,
        {},
        False,
    )


@plan_statement.register
def plan_execute(statement: Execute, session: Session) -> tuple[Session, Plan]:
    """Run a prepared name under its canonical name."""
    shape = session.prepared.get(statement.name)
    if shape is None:
        detail = "the name is not prepared; prepare it first"
        return answer_with_error(
            session, LocalAnswer(ErrorCode.UNKNOWN_STATEMENT, detail)
        )
    name = canonical_name(shape)
    text = f"EXECUTE {name} {statement.arguments}"
    return session, PlannedStatement(
        statement.request,
        text,
        shape.access,
        session.transaction,
        {name: shape},
        False,
    )


@plan_statement.register
def plan_set(statement: SetValue, session: Session) -> tuple[Session, Plan]:
    """Set a value in the session."""
    if (
        len(session.values) >= MAX_SESSION_VALUES
        and statement.name not in session.values
    ):
        detail = f"a session holds at most {MAX_SESSION_VALUES} values"
        return answer_with_error(session, LocalAnswer(ErrorCode.TOO_LARGE, detail))
    values = {**session.values, statement.name: statement.value}
    return session._replace(values=values), LocalAnswer()


@plan_statement.register
def plan_prepare(statement: Prepare, session: Session) -> tuple[Session, Plan]:
    """Prepare a name in the session."""
    is_full = len(session.prepared) >= MAX_PREPARED_NAMES
    if is_full and statement.name not in session.prepared:
        detail = f"a session holds at most {MAX_PREPARED_NAMES} prepared names"
        return answer_with_error(session, LocalAnswer(ErrorCode.TOO_LARGE, detail))
    prepared = {**session.prepared, statement.name: statement.definition}
    return session._replace(prepared=prepared), LocalAnswer()


@plan_statement.register
def plan_deallocate(statement: Deallocate, session: Session) -> tuple[Session, Plan]:
    """Release a prepared name."""
    if statement.name not in session.prepared:
        detail = "the name is not prepared"
        return answer_with_error(
            session, LocalAnswer(ErrorCode.UNKNOWN_STATEMENT, detail)
        )
    prepared = {
        name: shape
        for name, shape in session.prepared.items()
        if name != statement.name
    }
    return session._replace(prepared=prepared), LocalAnswer()


def apply_result(
    session: Session, planned: PlannedStatement, result: StatementResult
) -> Session:
    """Update the session by the result of a planned statement."""
    point = session.commit_point
    is_write = planned.access is AccessMode.WRITE
    if is_write and result.effect is Effect.DONE and result.point is not None:
        point = max(point or result.point, result.point)
    session = session._replace(commit_point=point)
    if planned.transaction is None:
        return session
    if planned.is_commit:
        return session._replace(state=IDLE, transaction=None)
    if result.effect is Effect.DONE and result.code is None:
        return session
    after = apply_event(session, "error") or session
    return after._replace(transaction=None)
