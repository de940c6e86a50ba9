"""Tell which SQL a replicated database may run, on reads and on writes."""

from __future__ import annotations

import re
import sqlite3
from itertools import pairwise
from typing import NamedTuple, TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Sequence

    from ..types import JsonValue

READ_ACTIONS = frozenset(
    {
        sqlite3.SQLITE_SELECT,
        sqlite3.SQLITE_READ,
        sqlite3.SQLITE_FUNCTION,
        sqlite3.SQLITE_RECURSIVE,
    }
)
REFUSED_ACTIONS = frozenset(
    {
        sqlite3.SQLITE_ATTACH,
        sqlite3.SQLITE_DETACH,
        sqlite3.SQLITE_PRAGMA,
        sqlite3.SQLITE_TRANSACTION,
        sqlite3.SQLITE_SAVEPOINT,
        sqlite3.SQLITE_CREATE_TEMP_INDEX,
        sqlite3.SQLITE_CREATE_TEMP_TABLE,
        sqlite3.SQLITE_CREATE_TEMP_TRIGGER,
        sqlite3.SQLITE_CREATE_TEMP_VIEW,
        sqlite3.SQLITE_CREATE_VTABLE,
        sqlite3.SQLITE_DROP_VTABLE,
    }
)
RANDOM_FUNCTIONS = ("random", "randomblob")
HISTORY_FUNCTIONS = ("changes", "total_changes", "last_insert_rowid")
CLOCK_FUNCTIONS = ("current_time", "current_date", "current_timestamp")
DATE_FUNCTIONS = ("date", "time", "datetime", "julianday", "unixepoch", "strftime")
CLOCK_WORDS = frozenset({"now", "localtime", "utc"})
READ_WORDS = frozenset({"select", "with", "values", "explain"})

QUOTED = re.compile(r"'(?:[^']|'')*'|\"(?:[^\"]|\"\")*\"|`[^`]*`|\[[^\]]*\]")
COMMENT = re.compile(r"--[^\n]*|/\*.*?(?:\*/|\Z)", re.DOTALL)
WORD = re.compile(r"[a-z_]+")


class UnsupportedSqlError(Exception):
    """Refuse a statement before it runs; the message names the remedy."""


class Statement(NamedTuple):
    """Hold one statement and its parameters."""

    text: str
    parameters: tuple[JsonValue, ...] = ()


def words_of(text: str) -> list[str]:
    """Return the lower-case words outside quotes and comments."""
    return WORD.findall(COMMENT.sub(" ", QUOTED.sub(" ", text)).lower())


def check_read(text: str) -> None:
    """Raise UnsupportedSqlError unless the statement starts as a query."""
    words = words_of(text)
    if not words or words[0] not in READ_WORDS:
        raise UnsupportedSqlError("a read must be a query; send it as access write")


def check_write(text: str) -> None:
    """Raise UnsupportedSqlError where the effect may differ between replicas."""
    words = words_of(text)
    if not words:
        raise UnsupportedSqlError("the statement is empty; send one SQL statement")
    if "limit" in words and ("order", "by") not in pairwise(words):
        raise UnsupportedSqlError("a write with LIMIT needs ORDER BY")


def is_deterministic(name: str, arguments: Sequence[object]) -> bool:
    """Tell whether a function's result depends on its arguments alone."""
    if name not in DATE_FUNCTIONS:
        return False
    if len(arguments) < (2 if name == "strftime" else 1):
        return False
    texts = (arg.strip().lower() for arg in arguments if isinstance(arg, str))
    return CLOCK_WORDS.isdisjoint(texts)
