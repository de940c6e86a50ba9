"""Follow one caller's session: its values, prepared names and transaction.

``plan`` says what a statement calls for; ``settle`` takes its result in. Statements
that touch no data are answered here, and the state they leave is replayed on the
connection that later runs something for the session.
"""

from __future__ import annotations

from functools import singledispatch
from typing import NamedTuple, TypeAlias

from returns.result import Failure
from xxhash import xxh3_64_hexdigest

from ...types import Access, LogPoint
from ..charts import advance, load_chart
from .statements import (
    Begin,
    Code,
    Commit,
    Deallocate,
    Effect,
    Execute,
    Malformed,
    Prepare,
    Result,
    Rollback,
    Run,
    SetValue,
    Shape,
    Statement,
)

# Bounds of one session's state; a caller that exceeds them is told so.
MAX_VALUES = 256
MAX_PREPARED = 512

CHART = load_chart("session")
IDLE, OPEN, FAILED = "idle", "open", "failed"


class Transaction(NamedTuple):
    """Describe the open transaction; ``begun`` once a database knows of it."""

    number: int
    read_only: bool
    begun: bool


class Session(NamedTuple):
    """Hold a session's state."""

    state: str
    values: dict[str, str]
    prepared: dict[str, Shape]
    transaction: Transaction | None
    transactions: int
    point: LogPoint | None


class Answer(NamedTuple):
    """Answer without a database; ``abandon`` rolls back what a database holds."""

    code: Code | None = None
    detail: str = ""
    abandon: Transaction | None = None


class Unit(NamedTuple):
    """Run one statement; ``transaction`` is None for a statement on its own."""

    request: str
    text: str
    access: Access
    transaction: Transaction | None
    prepared: dict[str, Shape]
    commits: bool


Plan: TypeAlias = Answer | Unit


def new_session() -> Session:
    """Return an idle session."""
    return Session(CHART.initial, {}, {}, None, 0, None)


def canonical_name(shape: Shape) -> str:
    """Return the name under which databases know a shape, for every caller."""
    digest = xxh3_64_hexdigest(shape.form.encode())
    return f"{shape.access.value[0]}{digest}"


def moved(session: Session, event: str) -> Session | None:
    """Return the session after an event, or None where it is not handled."""
    target = advance(CHART, session.state, event)
    if isinstance(target, Failure):
        return None
    return session._replace(state=target.unwrap())


@singledispatch
def plan(statement: Statement, session: Session) -> tuple[Session, Plan]:
    """Return the session and what to do for a statement."""
    raise TypeError(f"got {type(statement).__name__}, expected a statement")


def failed_answer(session: Session) -> tuple[Session, Plan]:
    """Refuse all but the end of a failed transaction."""
    detail = "the transaction failed; end it first"
    return session, Answer(Code.MALFORMED, detail)


@plan.register
def plan_malformed(statement: Malformed, session: Session) -> tuple[Session, Plan]:
    """Name what is wrong with a text."""
    return fail(session, Answer(Code.MALFORMED, statement.detail))


def fail(session: Session, answer: Answer) -> tuple[Session, Plan]:
    """Answer with an error, which ends what an open transaction may do."""
    after = moved(session, "error")
    if after is None:
        return session, answer
    abandon = session.transaction
    return after._replace(transaction=None), answer._replace(abandon=abandon)


@plan.register
def plan_begin(statement: Begin, session: Session) -> tuple[Session, Plan]:
    """Open a transaction; no database hears of it before its first statement."""
    if session.state == FAILED:
        return failed_answer(session)
    after = moved(session, "begin")
    if after is None:
        return fail(session, Answer(Code.MALFORMED, "a transaction is open already"))
    number = session.transactions + 1
    transaction = Transaction(number, statement.read_only, False)
    return after._replace(transaction=transaction, transactions=number), Answer()


@plan.register
def plan_commit(statement: Commit, session: Session) -> tuple[Session, Plan]:
    """Commit at the database, which alone can say that it is done."""
    if session.state == FAILED:
        after = session._replace(state=IDLE, transaction=None)
        return after, Answer(Code.ABORTED, "the transaction had failed")
    if session.transaction is None:
        return session, Answer(Code.MALFORMED, "no transaction is open")
    return session, Unit(
        statement.request, "COMMIT", Access.WRITE, session.transaction, {}, True
    )


@plan.register
def plan_rollback(statement: Rollback, session: Session) -> tuple[Session, Plan]:
    """End the transaction without keeping anything."""
    after = moved(session, "end")
    if after is None:
        return session, Answer(Code.MALFORMED, "no transaction is open")
    return after._replace(transaction=None), Answer(abandon=session.transaction)


@plan.register
def plan_run(statement: Run, session: Session) -> tuple[Session, Plan]:
    """Run a read or a write."""
    if session.state == FAILED:
        return failed_answer(session)
    return session, Unit(
        statement.request,
        statement.text,
        statement.access,
        session.transaction,
        {},
        False,
    )


@plan.register
def plan_execute(statement: Execute, session: Session) -> tuple[Session, Plan]:
    """Run a prepared name by the name that databases know."""
    if session.state == FAILED:
        return failed_answer(session)
    shape = session.prepared.get(statement.name)
    if shape is None:
        detail = "the name is not prepared; prepare it first"
        return fail(session, Answer(Code.UNKNOWN_STATEMENT, detail))
    name = canonical_name(shape)
    text = f"EXECUTE {name} {statement.arguments}"
    return session, Unit(
        statement.request,
        text,
        shape.access,
        session.transaction,
        {name: shape},
        False,
    )


@plan.register
def plan_set(statement: SetValue, session: Session) -> tuple[Session, Plan]:
    """Remember a value."""
    if session.state == FAILED:
        return failed_answer(session)
    if len(session.values) >= MAX_VALUES and statement.name not in session.values:
        detail = f"a session holds at most {MAX_VALUES} values"
        return fail(session, Answer(Code.TOO_LARGE, detail))
    values = {**session.values, statement.name: statement.value}
    return session._replace(values=values), Answer()


@plan.register
def plan_prepare(statement: Prepare, session: Session) -> tuple[Session, Plan]:
    """Remember a name's shape."""
    if session.state == FAILED:
        return failed_answer(session)
    full = len(session.prepared) >= MAX_PREPARED
    if full and statement.name not in session.prepared:
        detail = f"a session holds at most {MAX_PREPARED} prepared names"
        return fail(session, Answer(Code.TOO_LARGE, detail))
    prepared = {**session.prepared, statement.name: statement.shape}
    return session._replace(prepared=prepared), Answer()


@plan.register
def plan_deallocate(statement: Deallocate, session: Session) -> tuple[Session, Plan]:
    """Forget a name."""
    if session.state == FAILED:
        return failed_answer(session)
    if statement.name not in session.prepared:
        detail = "the name is not prepared"
        return fail(session, Answer(Code.UNKNOWN_STATEMENT, detail))
    prepared = {
        name: shape
        for name, shape in session.prepared.items()
        if name != statement.name
    }
    return session._replace(prepared=prepared), Answer()


def settle(session: Session, unit: Unit, result: Result) -> Session:
    """Take in what a unit came to."""
    point = session.point
    writes = unit.access is Access.WRITE
    if writes and result.effect is Effect.DONE and result.point is not None:
        point = max(point or result.point, result.point)
    session = session._replace(point=point)
    if unit.transaction is None:
        return session
    if unit.commits:
        return session._replace(state=IDLE, transaction=None)
    if result.effect is Effect.DONE and result.code is None:
        begun = unit.transaction._replace(begun=True)
        return session._replace(transaction=begun)
    after = moved(session, "error") or session
    return after._replace(transaction=None)
