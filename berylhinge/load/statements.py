"""Build the statements that experiments send."""

from __future__ import annotations

from typing import Any, TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Sequence

TABLES = (
    "CREATE TABLE IF NOT EXISTS entries"
    " (name TEXT PRIMARY KEY, version INTEGER NOT NULL)",
    "CREATE TABLE IF NOT EXISTS visits (id TEXT NOT NULL)",
    "CREATE TABLE IF NOT EXISTS pairs (id TEXT NOT NULL, half INTEGER NOT NULL)",
)
READ_ROW = "SELECT name, version FROM entries WHERE name = ?"
WRITE_ROW = (
    "INSERT INTO entries (name, version) VALUES (?, ?) ON CONFLICT (name)"
    " DO UPDATE SET version = max(version, excluded.version)"
)
INSERT_VISIT = "INSERT INTO visits (id) VALUES (?)"
INSERT_HALF = "INSERT INTO pairs (id, half) VALUES (?, ?)"
ALL_ROWS = "SELECT name, version FROM entries"
COUNT_VISITS = "SELECT id, count(*) FROM visits GROUP BY id"
COUNT_PAIRS = "SELECT id, count(*) FROM pairs GROUP BY id"


def read_body(
    statement: str,
    parameters: Sequence[object],
    *,
    timeout_seconds: float,
    max_age_seconds: float | None = None,
) -> dict[str, Any]:
    """Build the body of a read."""
    body = {
        "statement": statement,
        "parameters": list(parameters),
        "access": "read",
        "idempotent": True,
        "timeout_seconds": timeout_seconds,
    }
    if max_age_seconds is not None:
        body["max_age_seconds"] = max_age_seconds
    return body


def write_body(
    statement: str,
    parameters: Sequence[object],
    *,
    timeout_seconds: float,
    idempotent: bool,
) -> dict[str, Any]:
    """Build the body of a write."""
    return {
        "statement": statement,
        "parameters": list(parameters),
        "access": "write",
        "idempotent": idempotent,
        "timeout_seconds": timeout_seconds,
    }
