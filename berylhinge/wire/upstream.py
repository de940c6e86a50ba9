"""Define the JSON messages of the members of a database group."""

from __future__ import annotations

from typing import Literal, NotRequired, TypedDict

from ..types import JsonValue

UpstreamErrorCode = Literal[
    "superseded",
    "not-primary",
    "too-many-connections",
    "busy",
    "quiesced",
    "leaving",
    "sql-error",
    "unsupported",
    "no-transaction",
    "malformed",
]


class StatementRequest(TypedDict):
    """Ask the data listener to run one statement; ``term`` is required for writes."""

    request_id: str
    access: Literal["read", "write"]
    statement: str
    parameters: list[JsonValue]
    term: NotRequired[int | None]


class TransactionRequest(TypedDict):
    """Begin, commit or roll back the transaction of this connection."""

    request_id: str
    term: NotRequired[int | None]


class UpstreamAnswer(TypedDict):
    """Answer a statement, begin, commit or rollback.

    ``last`` is the database's last log entry when the answer was made;
    ``written`` is the entry of this write or commit, absent for reads.
    """

    request_id: str
    columns: list[str]
    rows: list[list[JsonValue]]
    row_count: int
    term: int
    log_term: int
    last: tuple[int, int]
    written: NotRequired[tuple[int, int] | None]


class UpstreamError(TypedDict):
    """Refuse a request; ``ran`` is false only if nothing was run."""

    request_id: str
    error: UpstreamErrorCode
    message: str
    ran: bool
    term: int


class UpstreamStatus(TypedDict):
    """Report a database on its control listener.

    ``term`` is the highest term promised; ``log_term`` is the term of the
    primary whose append was last accepted, so that the log is a prefix of that
    primary's log (a primary reports its own term). ``primary_silence_seconds``
    is the time since the last append or heartbeat of the primary of ``term``,
    zero on a primary.
    """

    upstream: str
    role: Literal["primary", "replica"]
    term: int
    log_term: int
    last: tuple[int, int]
    primary_silence_seconds: float
    primary: str | None
    leaving: bool
    quiesced: bool
    connections: int
    connection_limit: int
    slots: int


class WatchRequest(TypedDict):
    """Wait until term, log_term, last or role differ from those given."""

    term: int
    log_term: int
    last: tuple[int, int]
    role: str
    timeout_seconds: float


class FenceRequest(TypedDict):
    """Ask for the database's vote in a new term, of which it has one."""

    term: int
    promoter: str


class FenceAnswer(TypedDict):
    """Grant or deny the vote, with the status read in the same atomic step."""

    granted: bool
    status: UpstreamStatus


class GroupMember(TypedDict):
    """Name a member of a group and its control address."""

    upstream: str
    control: str


class PromoteRequest(TypedDict):
    """Make the database primary of a term that it granted to this promoter."""

    term: int
    promoter: str
    members: list[GroupMember]


class PromoteAnswer(TypedDict):
    """Report whether the database is now primary of that term."""

    promoted: bool
    status: UpstreamStatus


class QuiesceRequest(TypedDict):
    """Stop new writes for a while, so that replicas can catch up."""

    term: int
    seconds: float


class EntryRequest(TypedDict):
    """Ask for the term of the log entry at a position."""

    position: int


class EntryAnswer(TypedDict):
    """Return the log entry's term, None past the log's end, with the status."""

    entry_term: int | None
    status: UpstreamStatus
