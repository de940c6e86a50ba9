"""Define the types of the log lines of a pooler instance.

Each line is a JSON object; ``message_type`` is "PART: TEXT" and selects the type.
Ages are in seconds when the line was written; log positions are texts of the form
TERM.NUMBER.
"""

from __future__ import annotations

from typing import TypedDict


class Line(TypedDict):
    """Define the fields of every line; ``timestamp`` is in seconds of Unix time."""

    message_type: str
    timestamp: float
    task_uuid: str
    task_level: list[int]


class InstanceLine(Line):
    """Add the field of every line that an instance logs."""

    instance: str


class LinesDropped(Line):
    """Count lines dropped because a limit was exceeded or nothing read them."""

    lines: int


class Started(InstanceLine):
    """Report the failure domain in which an instance starts."""

    place: str


class Serving(InstanceLine):
    """Report the declarations with which an instance begins to serve."""

    version: int
    databases: int


class Stopped(InstanceLine):
    """Count the sessions left at the stop; ``open`` of them were not idle."""

    sessions: int
    open: int


class Fault(InstanceLine):
    """Report an unexpected exception; ``request_id`` may name a step of a task."""

    request_id: str
    error: str
    where: str


class RequestRefused(InstanceLine):
    """Report why a session was not opened."""

    request_id: str
    code: str
    reason: str
    detail: str
    version: int
    confirmed_age: float | None


class RequestEnded(InstanceLine):
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


class CallerLeft(InstanceLine):
    """Report that a caller closed its connection inside a transaction."""

    error: str


class Retried(InstanceLine):
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


class DeclarationsRejected(InstanceLine):
    """Report the invalid field of a stored version; the previous one stays in force."""

    error: str


class DeclarationsInForce(InstanceLine):
    """Report the version in force; ``quotas`` holds rate and burst by organisation."""

    version: int
    previous: int
    revision: int
    routes: int
    keys: int
    quotas: dict[str, list[float]]


class EntryRejected(InstanceLine):
    """Report why a registry entry does not describe a database."""

    database: str
    error: str


class DatabaseAnnounced(InstanceLine):
    """Report a new or changed registry entry of a database."""

    database: str
    service: str
    role: str
    leaving: bool
    revision: int


class DatabaseLine(InstanceLine):
    """Define the fields of lines about one database."""

    database: str


class DatabaseSilent(DatabaseLine):
    """Report for how long a database has not answered its holder."""

    silent_seconds: float | None
    refused: bool


class RollbackUnanswered(DatabaseLine):
    """Report why a connection was closed instead of returned to the pool."""

    error: str


class PeerLine(InstanceLine):
    """Define the fields of lines about another instance."""

    peer: str


class RegistrationRejected(PeerLine):
    """Report why another instance's registration is malformed."""

    error: str


class Registered(PeerLine):
    """Report another instance's new or changed registration."""

    leaving: bool
    revision: int


class PeerSilent(PeerLine):
    """Report an unanswered request; ``sent`` if it may have left this instance."""

    sent: bool


class StoreLost(InstanceLine):
    """Report why a call to the store failed."""

    error: str


class StoreLine(InstanceLine):
    """Report the newest store revision that this instance knows."""

    revision: int


class WatchStuck(StoreLine):
    """Report the revision that the watch should have delivered."""

    newest: int


class RegisteredAgain(InstanceLine):
    """Report the incarnation that was registered after the lease expired."""

    incarnation: int


class PrimaryChecked(DatabaseLine):
    """Report which witnesses reached a primary that seemed unreachable."""

    reached: bool
    witnesses: dict[str, bool]


class ServiceLine(InstanceLine):
    """Define the fields of lines about one service."""

    service: str


class NoSuccessor(ServiceLine):
    """Count the replicas reached when none of them could be promoted."""

    reached: int


class DutyNotTaken(ServiceLine):
    """Report why the store call that claims the promotion duty failed."""

    error: str


class PromotionAsked(ServiceLine):
    """Report a promotion's fencing token and the log positions compared."""

    database: str
    replaced: str | None
    fence: int
    points: dict[str, str]
    outcome: str


KINDS: dict[str, type] = {
    "log: Lines were dropped.": LinesDropped,
    "pooler: The instance starts.": Started,
    "pooler: The instance serves.": Serving,
    "pooler: The instance is leaving.": InstanceLine,
    "pooler: The instance stopped.": Stopped,
    "pooler: Settings may have changed.": InstanceLine,
    "callers: A request was refused.": RequestRefused,
    "callers: A request failed.": RequestFailed,
    "callers: A request was served.": RequestEnded,
    "callers: A caller left inside a transaction.": CallerLeft,
    "router: A statement did not run and is tried elsewhere.": Retried,
    "registry: Declarations were not understood.": DeclarationsRejected,
    "registry: Declarations are in force.": DeclarationsInForce,
    "registry: An entry names no database.": EntryRejected,
    "registry: A database announced itself.": DatabaseAnnounced,
    "registry: A database is gone.": DatabaseLine,
    "registry: A registration is malformed.": RegistrationRejected,
    "registry: An instance registered.": Registered,
    "registry: An instance is gone.": PeerLine,
    "registry: The store is lost.": StoreLost,
    "registry: The store is back.": StoreLine,
    "registry: The store's history is lost.": StoreLine,
    "registry: The watch is stuck; starting it anew.": WatchStuck,
    "registry: Registered again.": RegisteredAgain,
    "holder: A database does not answer.": DatabaseSilent,
    "holder: A database answers again.": DatabaseLine,
    "holder: A rollback had no answer; closed.": RollbackUnanswered,
    "peers: A peer is silent.": PeerSilent,
    "peers: A peer answers again.": PeerLine,
    "duty: A primary was looked at.": PrimaryChecked,
    "duty: No replica can lead.": NoSuccessor,
    "duty: The duty was not taken.": DutyNotTaken,
    "duty: Another instance has the duty.": ServiceLine,
    "duty: A promotion was asked for.": PromotionAsked,
}
FAULT_TEXT = "A request failed unexpectedly."


def kind_of(message_type: str) -> type | None:
    """Return the type of the lines with a message type, None if it is unknown."""
    if message_type.endswith(f": {FAULT_TEXT}"):
        return Fault
    return KINDS.get(message_type)
