"""Define the messages by which instances share databases and rates."""

from __future__ import annotations

from typing import NamedTuple

from ..core.pooler.statements import Result, Shape
from ..types import Access, LogPoint, OrganisationId, Seconds, UpstreamId
from .kinds import sent_as


@sent_as("RunUnit")
class RunUnit(NamedTuple):
    """Ask a database's holder to run one statement.

    ``transaction`` names an open transaction of the sender, 0 for none; ``begin`` is
    how to begin first: not at all, plain or read-only. Times are from the arrival.
    """

    database: UpstreamId
    organisation: OrganisationId
    request: str
    text: str
    access: Access
    after: LogPoint | None
    transaction: int
    begin: str
    commits: bool
    values: dict[str, str]
    prepared: dict[str, Shape]
    priority: int
    goal_seconds: Seconds
    give_up_seconds: Seconds
    idle_seconds: Seconds

    @property
    def continues(self) -> bool:
        """Tell whether this is a later statement of an open transaction."""
        return bool(self.transaction) and not self.begin


class Proved(NamedTuple):
    """Tell of an answer that proved that a service's primary leads.

    ``age`` is how long before the arrival of what this answers its question was sent;
    negative when that was later.
    """

    point: LogPoint
    age: Seconds


@sent_as("UnitDone")
class UnitDone(NamedTuple):
    """Return what a unit came to, and what its holder knows.

    ``point`` and ``wait_seconds`` are the database's, ``proved`` its service's.
    """

    result: Result
    reason: str
    point: LogPoint | None = None
    wait_seconds: Seconds = 0.0
    proved: Proved | None = None


@sent_as("Abandon")
class Abandon(NamedTuple):
    """Roll back a transaction of the sender."""

    database: UpstreamId
    transaction: int


@sent_as("Look")
class Look(NamedTuple):
    """Ask an instance for what it knows of the databases of services that it leads."""


class Seen(NamedTuple):
    """Tell what an instance knows of a database.

    ``age`` is 0 for one that it holds; what its holder told of another may be older.
    """

    database: UpstreamId
    point: LogPoint | None
    wait_seconds: Seconds
    proved: Proved | None
    reachable: bool
    age: Seconds


@sent_as("Looked")
class Looked(NamedTuple):
    """Answer a look.

    ``revision`` was the store's newest ``confirmed_age`` ago.
    """

    seen: tuple[Seen, ...]
    revision: int
    confirmed_age: Seconds


@sent_as("TakeTokens")
class TakeTokens(NamedTuple):
    """Ask an organisation's rate keeper for operations, and for some to come."""

    organisation: OrganisationId
    wanted: int
    spare: int


@sent_as("Tokens")
class Tokens(NamedTuple):
    """Grant operations, the last of them after a wait; ``spare`` soon lapse."""

    granted: int
    spare: int
    wait_seconds: Seconds
    retry_after_seconds: Seconds


@sent_as("Reach")
class Reach(NamedTuple):
    """Ask whether the recipient reaches a database by a new connection."""

    database: UpstreamId


@sent_as("Reached")
class Reached(NamedTuple):
    """Answer with what the database said, or that it was not reached."""

    reachable: bool
    point: LogPoint | None
