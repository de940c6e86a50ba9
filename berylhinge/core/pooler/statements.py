"""Define the statements of a session and their results.

The ``request`` of a statement is the id that the caller gave to it.
"""

from __future__ import annotations

from enum import StrEnum
from typing import NamedTuple, TypeAlias

from ...types import AccessMode, LogPoint, Seconds


class ErrorCode(StrEnum):
    """Name an error that databases answer with and callers receive."""

    BUSY = "busy"
    LAGGING = "lagging"
    READ_ONLY = "read-only"
    MISDIRECTED = "misdirected"
    TOO_MANY_CONNECTIONS = "too-many-connections"
    FAILED = "failed"
    UNKNOWN_STATEMENT = "unknown-statement"
    TIMEOUT = "timeout"
    UNAUTHENTICATED = "unauthenticated"
    UNKNOWN_DATABASE = "unknown-database"
    TOO_LARGE = "too-large"
    MALFORMED = "malformed"
    ABORTED = "aborted"
    IN_DOUBT = "in-doubt"


class Begin(NamedTuple):
    """Begin a transaction."""

    request: str
    read_only: bool


class Commit(NamedTuple):
    """Commit the open transaction."""

    request: str


class Rollback(NamedTuple):
    """Roll the open transaction back."""

    request: str


class DataStatement(NamedTuple):
    """Read or write one item; ``text`` is passed on as it is."""

    request: str
    access: AccessMode
    text: str


class SetValue(NamedTuple):
    """Set a session value."""

    request: str
    name: str
    value: str


class PreparedStatement(NamedTuple):
    """Describe what a prepared name runs; arguments are added at each execution."""

    access: AccessMode
    template: str


class Prepare(NamedTuple):
    """Prepare a statement under a name."""

    request: str
    name: str
    definition: PreparedStatement


class Execute(NamedTuple):
    """Run a prepared name; ``arguments`` is the text that follows it."""

    request: str
    name: str
    arguments: str


class Deallocate(NamedTuple):
    """Release a prepared name."""

    request: str
    name: str


class Malformed(NamedTuple):
    """Represent a text that is no statement; ``detail`` says why."""

    request: str
    detail: str


Statement: TypeAlias = (
    Begin
    | Commit
    | Rollback
    | DataStatement
    | SetValue
    | Prepare
    | Execute
    | Deallocate
    | Malformed
)


class Effect(StrEnum):
    """Name what is known of a statement's effect on the database."""

    DONE = "done"
    NONE = "none"
    UNKNOWN = "unknown"


class StatementResult(NamedTuple):
    """Hold the result of a statement.

    ``signature`` is the database's proof that it ran the statement. The effect ``NONE``
    promises that the statement has no effect. ``transaction_ended`` is also set for a
    statement outside a transaction.
    """

    effect: Effect
    code: ErrorCode | None = None
    detail: str = ""
    rows: tuple[str, ...] = ()
    signature: str = ""
    point: LogPoint | None = None
    transaction_ended: bool = False
    retry_after_seconds: Seconds = 0.0


def refused_result(
    code: ErrorCode, detail: str, *, retry_after_seconds: Seconds = 0.0
) -> StatementResult:
    """Return an error result that promises that the statement has no effect."""
    return StatementResult(
        Effect.NONE,
        code,
        detail,
        transaction_ended=True,
        retry_after_seconds=retry_after_seconds,
    )
