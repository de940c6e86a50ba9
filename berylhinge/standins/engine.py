"""Run SQL over in-memory SQLite with committed, draft and base copies.

``live`` holds what is logged, ``draft`` runs the one open write transaction,
and ``base`` lags behind so that a dropped log suffix is undone by a copy and a
short replay. Statements are replicated as text; those whose effect could
differ between replicas are refused.
"""

from __future__ import annotations

import sqlite3
from functools import partial
from typing import NamedTuple, TYPE_CHECKING

from . import sql
from .entry_log import Change
from .replica_log import common_length

if TYPE_CHECKING:
    from collections.abc import Iterable

    from ..types import JsonValue
    from .entry_log import EntryLog

MAX_VALUE_BYTES = 4_000_000
MAX_ROWS = 10_000
STEPS_PER_CHECK = 100_000
MAX_CHECKS = 40
BASE_LAG_ENTRIES = 512
BASE_BATCH_ENTRIES = 64


class SqlError(Exception):
    """Report a statement that failed and left no effect."""


class Rows(NamedTuple):
    """Hold a statement's result."""

    columns: list[str]
    rows: list[list[JsonValue]]
    row_count: int


class SqlCopy:
    """Own one in-memory SQLite database and guard what it may run."""

    def __init__(self) -> None:
        """Open the database."""
        self.connection = sqlite3.connect(
            ":memory:",
            isolation_level=None,
            cached_statements=0,
            check_same_thread=False,
        )
        self.connection.setlimit(sqlite3.SQLITE_LIMIT_LENGTH, MAX_VALUE_BYTES)
        self.connection.set_authorizer(self.authorize)
        self.connection.set_progress_handler(self.count_steps, STEPS_PER_CHECK)
        self.allowed: frozenset[int] | None = None
        self.guarded = False
        self.refused = ""
        self.checks = 0

    def close(self) -> None:
        """Release the memory."""
        self.connection.close()

    def authorize(self, action: int, *details: str | None) -> int:
        """Deny actions that the present guard doesn't allow."""
        if not self.guarded:
            return sqlite3.SQLITE_OK
        denied = action in sql.REFUSED_ACTIONS
        if self.allowed is not None:
            denied = action not in self.allowed
        if not denied:
            return sqlite3.SQLITE_OK
        self.refused = self.refused or "the statement is not supported on this access"
        return sqlite3.SQLITE_DENY

    def count_steps(self) -> int:
        """Interrupt a guarded statement that runs too long."""
        self.checks += 1
        return int(self.guarded and self.checks > MAX_CHECKS)

    def command(self, text: str) -> None:
        """Run one trusted statement."""
        self.connection.execute(text)

    def run(
        self, statement: sql.Statement, *, allowed: frozenset[int] | None = None
    ) -> Rows:
        """Run one caller's statement; raise SqlError or UnsupportedSqlError."""
        self.allowed = allowed
        self.guarded = True
        self.refused = ""
        self.checks = 0
        try:
            return fetch(self.connection.execute(*statement))
        except (sqlite3.Error, sqlite3.Warning, OverflowError, ValueError) as error:
            if self.refused:
                raise sql.UnsupportedSqlError(self.refused) from error
            raise SqlError(str(error)) from error
        finally:
            self.guarded = False

    def replay(self, changes: Iterable[Change]) -> None:
        """Run logged statements, which are known to succeed."""
        for change in changes:
            self.connection.execute(*change).fetchall()

    def copy_from(self, other: SqlCopy) -> None:
        """Become equal to another database."""
        other.connection.backup(self.connection)


def fetch(cursor: sqlite3.Cursor) -> Rows:
    """Read a cursor whole; raise ValueError past MAX_ROWS."""
    columns = [item[0] for item in cursor.description or ()]
    rows = cursor.fetchmany(MAX_ROWS + 1)
    if len(rows) > MAX_ROWS:
        cursor.close()
        raise ValueError(f"the result has over {MAX_ROWS} rows; add a LIMIT")
    count = len(rows) if columns else max(cursor.rowcount, 0)
    return Rows(columns, [list(row) for row in rows], count)


class Engine:
    """Hold the copies of one database and the state of its open transaction."""

    def __init__(self) -> None:
        """Open empty copies."""
        self.live = SqlCopy()
        self.draft = SqlCopy()
        self.base = SqlCopy()
        self.scratch = SqlCopy()
        self.base_length = 0
        self.changes: list[Change] = []
        self.writing = False
        self.guard_functions()

    def close(self) -> None:
        """Release every copy."""
        for copy in (self.live, self.draft, self.base, self.scratch):
            copy.close()

    def guard_functions(self) -> None:
        """Replace the draft's functions whose result differs between replicas."""
        groups = (
            sql.RANDOM_FUNCTIONS,
            sql.HISTORY_FUNCTIONS,
            sql.CLOCK_FUNCTIONS,
            sql.DATE_FUNCTIONS,
        )
        for name in (name for group in groups for name in group):
            call = partial(self.call_function, name)
            self.draft.connection.create_function(name, -1, call)

    def call_function(self, name: str, *arguments: JsonValue) -> JsonValue:
        """Compute a guarded function, or refuse it in a write."""
        if self.writing and not sql.is_deterministic(name, arguments):
            self.draft.refused = f"{name} differs between replicas; send its value"
            raise ValueError(name)
        marks = ", ".join("?" * len(arguments))
        call = name if name in sql.CLOCK_FUNCTIONS else f"{name}({marks})"
        found = self.scratch.connection.execute(f"SELECT {call}", arguments)
        return found.fetchone()[0]

    def read(self, statement: sql.Statement) -> Rows:
        """Run a query over what is logged."""
        sql.check_read(statement.text)
        return self.live.run(statement, allowed=sql.READ_ACTIONS)

    def begin(self) -> None:
        """Open the write transaction."""
        self.changes = []
        self.draft.command("BEGIN")

    def read_draft(self, statement: sql.Statement) -> Rows:
        """Run a query inside the write transaction."""
        sql.check_read(statement.text)
        return self.draft.run(statement, allowed=sql.READ_ACTIONS)

    def write(self, statement: sql.Statement) -> Rows:
        """Run a write inside the write transaction; a failure leaves no effect."""
        sql.check_write(statement.text)
        self.draft.command("SAVEPOINT statement")
        self.writing = True
        try:
            rows = self.draft.run(statement)
        except (SqlError, sql.UnsupportedSqlError):
            self.undo_statement()
            raise
        finally:
            self.writing = False
        self.draft.command("RELEASE statement")
        self.changes.append(Change(*statement))
        return rows

    def undo_statement(self) -> None:
        """Drop a failed statement's effect, unless it ended the transaction."""
        if self.is_open():
            self.draft.command("ROLLBACK TO statement")
            self.draft.command("RELEASE statement")

    def is_open(self) -> bool:
        """Tell whether the write transaction still is open."""
        return self.draft.connection.in_transaction

    def commit(self) -> tuple[Change, ...]:
        """Commit the write transaction to the draft and the live copy."""
        try:
            self.draft.command("COMMIT")
        except sqlite3.Error as error:
            self.rollback()
            raise SqlError(str(error)) from error
        changes = tuple(self.changes)
        self.live.replay(changes)
        return changes

    def rollback(self) -> None:
        """Drop the write transaction."""
        if self.is_open():
            self.draft.command("ROLLBACK")

    def follow(self, old: EntryLog, new: EntryLog) -> None:
        """Apply a changed log, undoing a dropped suffix first."""
        common = common_length(old, new)
        if common < len(old):
            self.rebuild(new, common)
        for entry in new.after(common, len(new)):
            self.live.replay(entry.changes)
            self.draft.replay(entry.changes)
        self.advance_base(new)

    def rebuild(self, log: EntryLog, length: int) -> None:
        """Restore the state after the log's first ``length`` entries."""
        self.rollback()
        if self.base_length > length:
            self.base.close()
            self.base = SqlCopy()
            self.base_length = 0
        self.live.copy_from(self.base)
        for entry in log.after(self.base_length, length - self.base_length):
            self.live.replay(entry.changes)
        self.draft.copy_from(self.live)

    def advance_base(self, log: EntryLog) -> None:
        """Let the base follow far behind the log's end."""
        if len(log) - self.base_length < BASE_LAG_ENTRIES + BASE_BATCH_ENTRIES:
            return
        for entry in log.after(self.base_length, BASE_BATCH_ENTRIES):
            self.base.replay(entry.changes)
        self.base_length += BASE_BATCH_ENTRIES
