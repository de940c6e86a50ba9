"""Define what is recorded of a run."""

from __future__ import annotations

from enum import StrEnum
from typing import NamedTuple

from .scenario import Kind


class Verdict(StrEnum):
    """Tell how an operation ended for its caller."""

    OK = "ok"
    NOT_RUN = "not-run"
    UNKNOWN = "unknown"


class Operation(NamedTuple):
    """Record one operation; times are seconds from the start of the run.

    ``row`` is the session's row or the unique id inserted; ``version`` is what
    was written; ``seen`` is the version read, 0 where the row was absent.
    ``admissions`` counts what was certainly charged. ``echoed`` is false
    when the answer carried another request id or another row.
    """

    index: int
    organisation: str
    route: str
    kind: Kind
    row: str
    version: int
    intended: float
    sent: float
    done: float
    instance: int
    verdict: Verdict
    reason: str
    status: int
    seen: int | None
    admissions: int
    echoed: bool
    request_id: str
    served_by: str


class FinalState(NamedTuple):
    """Hold what a route's databases contain after the run.

    ``inserts`` and ``pairs`` count the rows of each unique id; ``entries`` counts
    the log entries of each request id on the final primary, none if not read.
    """

    versions: dict[str, int]
    inserts: dict[str, int]
    pairs: dict[str, int]
    entries: dict[str, int] | None


class Allowance(NamedTuple):
    """State an organisation's declared rate a second and burst."""

    rate: float
    burst: float
