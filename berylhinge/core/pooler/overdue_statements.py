"""Free the slots of statements whose answers are probably lost.

A database that runs a statement and loses its answer has its slot free again, while the
statement that waits for the answer counts as running until its deadline: with a fifth of
the answers lost, all slots are taken by such statements within a fraction of a second.
So a statement stops counting if it is far beyond its expected running time, and the
database has answered one that was sent after it: one that has stalled answers none.
"""

from __future__ import annotations

from typing import NamedTuple, TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

    from ...types import Seconds
    from .slot_claims import SlotClaim

# A statement counts as running for this many mean running times. Answers to reads are
# awaited for longer, since those are repeated then; here nothing is given up.
OVERDUE_MEANS = 6.0
OVERDUE_MIN_SECONDS = 0.1


class StartedStatement(NamedTuple):
    """Hold what a running statement claimed, and when it got its slot."""

    claim: SlotClaim
    started_at: Seconds


class OverdueStatements:
    """Hold the running statements of a database, and those freed; changed in place."""

    __slots__ = ("answered_start_at", "freed", "started")

    def __init__(self) -> None:
        """Start with none running."""
        self.answered_start_at: Seconds = float("-inf")
        self.started: dict[int, StartedStatement] = {}
        self.freed: dict[int, SlotClaim] = {}


def record_start(
    statements: OverdueStatements, number: int, claim: SlotClaim, now: Seconds
) -> None:
    """Record that a statement got a slot."""
    statements.started[number] = StartedStatement(claim, now)


def record_end(
    statements: OverdueStatements, number: int, *, is_answered: bool
) -> SlotClaim | None:
    """Record that a statement ended; return its claim if its slot was freed before."""
    found = statements.started.pop(number, None)
    if found is not None and is_answered:
        statements.answered_start_at = max(
            statements.answered_start_at, found.started_at
        )
    return statements.freed.pop(number, None)


def take_overdue(
    statements: OverdueStatements,
    *,
    mean_seconds: Callable[[SlotClaim], Seconds],
    most: int,
    now: Seconds,
) -> list[int]:
    """Return the statements whose slots are to be freed now, the oldest first.

    At ``most`` that many are freed and unanswered, since each keeps a connection.
    """
    overdue: list[int] = []
    for number, (claim, started_at) in statements.started.items():
        if (
            len(statements.freed) + len(overdue) >= most
            or started_at >= statements.answered_start_at
        ):
            break
        limit = max(OVERDUE_MIN_SECONDS, OVERDUE_MEANS * mean_seconds(claim))
        if now - started_at >= limit:
            overdue.append(number)
    for number in overdue:
        statements.freed[number] = statements.started.pop(number).claim
    return overdue
