"""Define the types of the log lines about load, evacuations and cold databases."""

from __future__ import annotations

from .log_lines import DatabaseLogLine, InstanceLogLine


class SlotRefused(DatabaseLogLine):
    """Report why a statement got no slot, and when room is expected for its caller."""

    request_id: str
    reason: str
    organisation: str
    priority: int
    waited_seconds: float
    retry_after_seconds: float
    detail: str


class DatabaseSetAside(DatabaseLogLine):
    """Report why a database gets few reads, or with an empty reason that it returned.

    The shares are those of the last report, each organisation counted alike.
    """

    service: str
    reason: str
    times: int
    failed_percent: int | None
    slow_percent: int | None
    organisations: int | None
    report_age: float | None


class EvacuationRejected(InstanceLogLine):
    """Report why the value of a key that asks for an evacuation is not used."""

    key: str
    error: str


class FailureDomainLogLine(InstanceLogLine):
    """Define the fields of lines about one failure domain."""

    failure_domain: str


class EvacuationProceeding(FailureDomainLogLine):
    """Report a stage of an evacuation, and the databases held here with work there."""

    stage: str
    in_use: list[str]


class DatabaseCold(DatabaseLogLine):
    """Report for how long a database is still slow after its start."""

    seconds: float
