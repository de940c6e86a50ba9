"""Define the aliases and small values that every layer shares."""

from __future__ import annotations

from enum import StrEnum
from typing import Any, NamedTuple, TypeAlias

InstanceId: TypeAlias = str
PlaceId: TypeAlias = str
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
    """Name one entry of a replicated log, ordered by term and then position."""

    term: Term
    position: Position


LOG_START = LogPoint(0, 0)


class Access(StrEnum):
    """Tell whether a statement may change data."""

    READ = "read"
    WRITE = "write"


class Outcome(StrEnum):
    """Tell what is known about a refused statement."""

    NOT_RUN = "not-run"
    UNKNOWN = "unknown"


class Role(StrEnum):
    """Tell what a database believes it is."""

    PRIMARY = "primary"
    REPLICA = "replica"
