"""Define the messages with which instances share databases and rates."""

from __future__ import annotations

from typing import NamedTuple

from ..core.pooler.database_load import DatabaseLoad
from ..core.pooler.leadership import RecordedLeader
from ..core.pooler.statements import PreparedStatement, StatementResult
from ..types import (
    AccessMode,
    LogPoint,
    OrganisationId,
    ReceivedPoint,
    Seconds,
    UpstreamId,
)
from .kinds import sent_as


@sent_as("RunUnit")
class ExecuteRequest(NamedTuple):
    """Ask a database's holder to run one statement.

    ``transaction`` is the sender's number of an open transaction, 0 for none.
    ``begin_mode`` is how to begin a transaction first: empty for none, ``plain`` or
    ``read``. A replica whose log ends before ``after`` refuses the statement.
    Times count from the arrival. A statement that ``may_run_at_replica`` yields at a
    primary to those that may not.
    """

    database: UpstreamId
    organisation: OrganisationId
    request: str
    text: str
    access: AccessMode
    after: LogPoint | None
    transaction: int
    begin_mode: str
    is_commit: bool
    values: dict[str, str]
    prepared: dict[str, PreparedStatement]
    priority: int
    latency_goal_seconds: Seconds
    give_up_seconds: Seconds
    idle_seconds: Seconds
    may_run_at_replica: bool = False

    @property
    def continues_transaction(self) -> bool:
        """Tell whether this is a later statement of an open transaction."""
        return bool(self.transaction) and not self.begin_mode


class LeadershipProof(NamedTuple):
    """Report an answer that proved that a database is its service's primary.

    ``point`` is the log position in the answer. ``age_seconds`` is the time from the
    request to the database until the arrival of the message that this answers,
    negative if that request was sent later.
    """

    point: LogPoint
    age_seconds: Seconds


@sent_as("UnitDone")
class ExecuteResponse(NamedTuple):
    """Return a statement's result, and what the holder knows.

    ``reason`` says why it failed. ``point`` and ``wait_seconds`` are the database's log
    position and expected queueing time, ``leadership_proof`` is its service's newest.
    ``load`` is sent where reads are balanced.
    """

    result: StatementResult
    reason: str
    point: LogPoint | None = None
    wait_seconds: Seconds = 0.0
    leadership_proof: LeadershipProof | None = None
    load: DatabaseLoad | None = None


@sent_as("Abandon")
class RollbackRequest(NamedTuple):
    """Roll back a transaction of the sender."""

    database: UpstreamId
    transaction: int


@sent_as("Look")
class DatabaseStatesRequest(NamedTuple):
    """Ask for the states of the databases that the recipient holds.

    The holder of a primary also reports the other databases of its service. Reads are
    expected of the ``read_services``, so that positions of their replicas are needed.
    The sender takes the recipient for the holder of the ``databases``.
    """

    read_services: tuple[str, ...] = ()
    databases: tuple[UpstreamId, ...] = ()


@sent_as("Services")
class ServiceStatesRequest(NamedTuple):
    """Ask a relay for what it knows of the databases of some services."""

    services: tuple[str, ...]


class DatabaseState(NamedTuple):
    """Report what an instance knows of a database.

    ``age_seconds`` is 0 for a database that the instance holds, else the time since
    that database's holder reported this.
    """

    database: UpstreamId
    point: LogPoint | None
    wait_seconds: Seconds
    leadership_proof: LeadershipProof | None
    reachable: bool
    age_seconds: Seconds
    load: DatabaseLoad | None = None


@sent_as("Looked")
class DatabaseStatesResponse(NamedTuple):
    """Return the states of databases.

    ``revision`` was the store's newest one ``confirmed_age`` seconds ago.
    """

    states: tuple[DatabaseState, ...]
    revision: int
    confirmed_age: Seconds


@sent_as("TakeTokens")
class TokenRequest(NamedTuple):
    """Ask an organisation's rate owner for tokens, one for each operation.

    ``requested`` are for waiting operations, ``spare`` for operations to come.
    ``returned`` tokens of the owner were taken for operations that did not run, none of
    them longer than ``returned_age_seconds`` ago. A former rate owner forwards requests
    to its successor, which answers those that it got as ``is_forwarded`` by itself.
    """

    organisation: OrganisationId
    requested: int
    spare: int
    returned: int = 0
    returned_age_seconds: Seconds = 0.0
    is_forwarded: bool = False


@sent_as("Tokens")
class TokenGrant(NamedTuple):
    """Grant tokens for waiting operations, the last of them after ``wait_seconds``.

    ``spare`` are for operations to come and lapse soon. Refused operations ``may_wait``
    and ask again while the rate owner's bucket is new.
    """

    granted: int
    spare: int
    wait_seconds: Seconds
    retry_after_seconds: Seconds
    may_wait: bool = False


class HandedBucket(NamedTuple):
    """Describe an organisation's token bucket as it was ``stored_seconds`` ago.

    ``age_seconds`` is the time since it was created, infinite for one that was full.
    """

    organisation: OrganisationId
    tokens: float
    awaited: float
    stored_seconds: Seconds
    age_seconds: Seconds


class BucketRequest(NamedTuple):
    """Ask an organisation's former rate owner for its bucket, after joining the fleet."""

    organisation: OrganisationId


class BucketHandover(NamedTuple):
    """Hand buckets to their organisations' next rate owner.

    An instance that ``is_leaving`` does not take them back.
    """

    buckets: list[HandedBucket]
    is_leaving: bool


@sent_as("Reach")
class ReachabilityRequest(NamedTuple):
    """Ask whether the recipient reaches a database by a new connection."""

    database: UpstreamId


@sent_as("Reached")
class ReachabilityResponse(NamedTuple):
    """Report whether the database was reached, and what it said that it has received.

    ``received`` is None if it was reached and did not give its status.
    """

    reachable: bool
    received: ReceivedPoint | None


@sent_as("Lead")
class LeadershipNotice(NamedTuple):
    """Report a leader that was recorded in the store at ``revision``."""

    service: str
    recorded: RecordedLeader
    revision: int


@sent_as("Led")
class LeadershipNoticeTaken(NamedTuple):
    """Report that the recipient uses no former leader of the service any more."""

    revision: int


class RelayedChange(NamedTuple):
    """Describe a change of one key in the store; the value is None after a removal."""

    key: str
    value: bytes | None
    revision: int


@sent_as("Follow")
class StoreChangesRequest(NamedTuple):
    """Ask for the store's changes after a revision, once there are any."""

    after: int


@sent_as("Followed")
class StoreChangesResponse(NamedTuple):
    """Return changes of the store up to ``revision``.

    ``changes`` are encoded ``RelayedChange`` items, compressed if ``is_compressed``. They
    are the whole state if ``is_whole``, since the recipient keeps no changes that old;
    None if it has no confirmed state either. ``revision`` was the store's
    newest one ``confirmed_age`` seconds before the request arrived, a negative time if
    that was later.
    """

    changes: bytes | None
    is_compressed: bool
    revision: int
    confirmed_age: Seconds
    is_whole: bool = False
