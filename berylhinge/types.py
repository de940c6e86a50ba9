"""Define the type aliases and small value types that every layer shares."""

from __future__ import annotations

from enum import StrEnum
from typing import Any, NamedTuple, TypeAlias

InstanceId: TypeAlias = str
FailureDomainId: TypeAlias = str
RegionId: TypeAlias = str
OrganisationId: TypeAlias = str
GroupId: TypeAlias = str
UpstreamId: TypeAlias = str
RouteId: TypeAlias = str
KeyId: TypeAlias = str
RequestId: TypeAlias = str
Labels: TypeAlias = dict[str, str]
Seconds: TypeAlias = float
Term: TypeAlias = int
Position: TypeAlias = int
JsonValue: TypeAlias = Any


class LogPoint(NamedTuple):
    """Identify one entry of a replicated log, ordered by term and then position."""

    term: Term
    position: Position


LOG_START = LogPoint(0, 0)


class ReceivedPoint(NamedTuple):
    """Identify the last log entry that a database has received, applied or not.

    A database that is promoted leads with what it has received; reads see what it has
    applied, a ``LogPoint``.
    """

    term: Term
    position: Position


class AccessMode(StrEnum):
    """Distinguish statements that only read from those that may change data."""

    READ = "read"
    WRITE = "write"


class StatementOutcome(StrEnum):
    """Describe whether a refused statement ran: it did not, or that is unknown."""

    NOT_RUN = "not-run"
    UNKNOWN = "unknown"


class DatabaseRole(StrEnum):
    """Describe the role that a database reports for itself."""

    PRIMARY = "primary"
    REPLICA = "replica"
