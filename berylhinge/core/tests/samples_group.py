"""Build sample messages of a group's members for tests."""

from __future__ import annotations

from typing import Any

from ...wire.upstream import UpstreamAnswer, UpstreamStatus

STATUS: UpstreamStatus = {
    "upstream": "a",
    "role": "replica",
    "term": 1,
    "log_term": 1,
    "last": (1, 1),
    "primary_silence_seconds": 0.0,
    "primary": None,
    "leaving": False,
    "quiesced": False,
    "connections": 0,
    "connection_limit": 16,
    "slots": 2,
}


def sample_status(name: str, **fields: Any) -> UpstreamStatus:
    """Return a member's status, by default of a replica, with the given fields set."""
    return {**STATUS, "upstream": name, **fields}  # type: ignore[typeddict-item]


def sample_answer(term: int, log_term: int, last: tuple[int, int]) -> UpstreamAnswer:
    """Return a statement's answer that carries the given log state and no rows."""
    return {
        "request_id": "r",
        "columns": [],
        "rows": [],
        "row_count": 0,
        "term": term,
        "log_term": log_term,
        "last": last,
    }
