"""Define the types of the log lines of a pooler instance.

Each line is a JSON object; ``message_type`` is "PART: TEXT" and selects the type.
Ages are in seconds when the line was written; log positions are texts of the form
TERM.NUMBER.
"""

from __future__ import annotations

from typing import TypedDict

UNEXPECTED_ERROR_TEXT = "A request failed unexpectedly."


class LogLine(TypedDict):
    """Define the fields of every line; ``timestamp`` is in seconds of Unix time."""

    message_type: str
    timestamp: float
    task_uuid: str
    task_level: list[int]


class InstanceLogLine(LogLine):
    """Add the field of every line that an instance logs."""

    instance: str


class LogLinesDropped(LogLine):
    """Count lines dropped because a limit was exceeded or nothing read them."""

    lines: int


class InstanceStarting(InstanceLogLine):
    """Report the failure domain in which an instance starts."""

    place: str


class InstanceServing(InstanceLogLine):
    """Report the declarations with which an instance begins to serve."""

    version: int
    databases: int


class InstanceStopped(InstanceLogLine):
    """Count the sessions left at the stop; ``open`` of them were not idle.

    ``running`` are statements at held databases, of callers of any instance.
    """

    seconds: float
    sessions: int
    open: int
    running: int


class RequestCut(InstanceLogLine):
    """Report a statement without an answer when the process ends."""

    request_id: str
    route: str
    seconds: float


class UnexpectedError(InstanceLogLine):
    """Report an unexpected exception; ``request_id`` may name a step of a task."""

    request_id: str
    error: str
    where: str


class RequestRefused(InstanceLogLine):
    """Report why a session was not opened."""

    request_id: str
    code: str
    reason: str
    detail: str
    version: int
    confirmed_age: float | None


class RequestEnded(InstanceLogLine):
    """Report the result of a request and the evidence it was based on.

    ``database`` is the last database that the request was sent to, and ``holder`` the
    instance that it was sent through; both are empty if it was never sent. ``after``
    is the log position that the database must have reached.
    """

    request_id: str
    route: str
    organisation: str | None
    database: str
    holder: str
    after: str
    attempts: int
    milliseconds: float
    version: int
    confirmed_age: float | None


class RequestFailed(RequestEnded):
    """Add the reason of a failure; ``outcome`` is not-run or unknown."""

    code: str
    outcome: str
    reason: str
    detail: str


class CallerDisconnected(InstanceLogLine):
    """Report that a caller closed its connection inside a transaction."""

    error: str


class StatementRetried(InstanceLogLine):
    """Report why one attempt did not run.

    ``sight_age`` is the age in seconds of the last observation of the database's queue.
    """

    request_id: str
    reason: str
    database: str
    role: str
    holder: str
    after: str
    sight_age: float | None
    detail: str


class DeclarationsRejected(InstanceLogLine):
    """Report the invalid field of a stored version; the previous one stays in force."""

    error: str


class DeclarationsInForce(InstanceLogLine):
    """Report the version in force; ``quotas`` holds rate and burst by organisation."""

    version: int
    previous: int
    revision: int
    routes: int
    keys: int
    quotas: dict[str, list[float]]


class RegistryEntryRejected(InstanceLogLine):
    """Report why a registry entry does not describe a database."""

    database: str
    error: str


class DatabaseAnnounced(InstanceLogLine):
    """Report a new or changed registry entry of a database."""

    database: str
    service: str
    role: str
    leaving: bool
    revision: int


class DatabaseLogLine(InstanceLogLine):
    """Define the fields of lines about one database."""

    database: str


class DatabaseUnresponsive(DatabaseLogLine):
    """Report for how long a database has not answered its holder."""

    silent_seconds: float | None
    refused: bool


class RollbackUnanswered(DatabaseLogLine):
    """Report why a connection was closed instead of returned to the pool."""

    error: str


class PeerLogLine(InstanceLogLine):
    """Define the fields of lines about another instance."""

    peer: str


class RegistrationRejected(PeerLogLine):
    """Report why another instance's registration is malformed."""

    error: str


class InstanceRegistered(PeerLogLine):
    """Report another instance's new or changed registration."""

    leaving: bool
    revision: int


class HoldersReached(InstanceLogLine):
    """Report when the holders of all primaries were heard, from the start on."""

    seconds: float


class PeerUnresponsive(PeerLogLine):
    """Report an unanswered request; ``sent`` if it may have left this instance."""

    sent: bool


class StoreCallFailed(InstanceLogLine):
    """Report why a call to the store failed."""

    error: str


class StoreLogLine(InstanceLogLine):
    """Report the newest store revision that this instance knows."""

    revision: int


class StoreRead(StoreLogLine):
    """Report a full read at ``revision`` of the store, or what a relay holds of it.

    Of ``known_items`` the same or a newer revision was known; ``known_revision`` was the
    newest one of all.
    """

    relay: str | None
    stale: bool
    items: int
    known_items: int
    known_revision: int


class ChangesKnown(InstanceLogLine):
    """Report changes, by key, of which the same or a newer revision was known."""

    changes: dict[str, int]
    known_revision: int


class StoreRestored(StoreLogLine):
    """Report the first read of a store that was restored from an older copy."""

    known_revision: int


class WatchStalled(StoreLogLine):
    """Report the revision that the watch should have delivered."""

    newest: int


class InstanceReregistered(InstanceLogLine):
    """Report the incarnation that was registered after the lease expired.

    ``found_incarnation`` is the one that the store had; another one was replaced.
    """

    incarnation: int
    found_incarnation: int | None


class DatabaseLeads(DatabaseLogLine):
    """Report that a database leads its service, before it announces so."""

    service: str


class LeaderReplacing(InstanceLogLine):
    """Report a recorded leader, and the instances that did not confirm it in time.

    Telling all took ``notified_seconds``; the leases of those end in ``wait_seconds``.
    """

    service: str
    revision: int
    unconfirmed: list[str]
    notified_seconds: float
    wait_seconds: float


class RecordedLeaderMalformed(InstanceLogLine):
    """Report a service's recorded leader that was not understood."""

    service: str
    error: str


class MalformedChanges(InstanceLogLine):
    """Report changes from a relay that were not understood."""

    error: str


class StoreFollowed(InstanceLogLine):
    """Name the instance that relays the store's changes; None for the store itself."""

    relay: str | None
    relays: int


class PlatformCallCounts(InstanceLogLine):
    """Count the calls to the platform since the start, by call and result."""

    calls: dict[str, int]


class PrimaryProbed(DatabaseLogLine):
    """Report which witnesses reached a primary that seemed unreachable."""

    reached: bool
    witnesses: dict[str, bool | None]


class UnsendableStatement(InstanceLogLine):
    """Report what of a statement does not fit into one line of the protocol."""

    request_id: str
    organisation: str
    detail: str


class BucketStarted(InstanceLogLine):
    """Report the tokens with which a rate owner starts that got no bucket."""

    organisation: str
    tokens: float
    owner: str


class BucketsHandedOver(InstanceLogLine):
    """Report whether buckets were sent to their next rate owner."""

    owner: str
    organisations: list[str]
    sent: bool


class BucketReceived(PeerLogLine):
    """Report a former rate owner's bucket, what was granted before, and if it is used.

    ``tokens`` are those with which the instance goes on.
    """

    organisation: str
    tokens: float
    own_grants: float
    kept_own: bool


class BucketNotReceived(PeerLogLine):
    """Report a former rate owner that did not answer the request for its bucket."""

    organisation: str
