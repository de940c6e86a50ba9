"""Define what callers record of a run, for the judge."""

from __future__ import annotations

from enum import StrEnum
from typing import NamedTuple


class Outcome(StrEnum):
    """Tell what a statement's answer promises."""

    DONE = "done"
    NOT_KEPT = "not-kept"
    UNKNOWN = "unknown"


class Step(NamedTuple):
    """Record one statement and its answer; times are of one steady clock."""

    request: str
    text: str
    sent_at: float
    ended_at: float
    outcome: Outcome
    rows: tuple[str, ...]


class Operation(NamedTuple):
    """Record a lone statement or a whole transaction of a session.

    ``writes`` are item and data; ``may_be_kept`` is false when a transaction's commit
    was never sent or a promise was given that nothing is kept.
    """

    steps: tuple[Step, ...]
    writes: tuple[tuple[str, str], ...]
    outcome: Outcome
    may_be_kept: bool
    transaction: bool = False
    session: int = 0
    route: str = ""
    organisation: str = ""
    values: tuple[tuple[str, str], ...] = ()


class Span(NamedTuple):
    """Name a database for which something was in force for a time."""

    database: str
    starts_at: float
    ends_at: float


class Observed(NamedTuple):
    """Hold what callers saw, and what was in force when.

    ``withdrawn`` tells from when on keys were withdrawn. ``evacuations`` were in force
    while no instance was harmed in its reach of the store; ``cold`` databases had just
    started.
    """

    operations: tuple[Operation, ...]
    withdrawn: dict[str, float]
    probes: dict[str, bool]
    evacuations: tuple[Span, ...] = ()
    cold: tuple[Span, ...] = ()
