"""Define the messages by which instances share databases and rates."""

from __future__ import annotations

from typing import NamedTuple

from ..core.pooler.statements import Result, Shape
from ..types import Access, LogPoint, OrganisationId, Seconds, UpstreamId


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


class UnitDone(NamedTuple):
    """Return what a unit came to, and what it showed of its database.

    ``proof_age`` tells how long before the unit's arrival the question was sent whose
    answer proved that the database leads (negative: after it), None without a proof.
    """

    result: Result
    reason: str
    point: LogPoint | None
    proof_age: Seconds | None
    wait_seconds: Seconds


class Abandon(NamedTuple):
    """Roll back a transaction of the sender."""

    database: UpstreamId
    transaction: int


class Look(NamedTuple):
    """Ask an instance for what it knows of the databases that it holds."""


class Seen(NamedTuple):
    """Tell what an instance knows of a database that it holds."""

    database: UpstreamId
    point: LogPoint | None
    proof_age: Seconds | None
    wait_seconds: Seconds
    reachable: bool


class Looked(NamedTuple):
    """Answer a look.

    ``revision`` was the store's newest ``confirmed_age`` ago.
    """

    seen: tuple[Seen, ...]
    revision: int
    confirmed_age: Seconds


class TakeTokens(NamedTuple):
    """Ask an organisation's rate keeper for operations, and for some to come."""

    organisation: OrganisationId
    wanted: int
    spare: int


class Tokens(NamedTuple):
    """Grant operations, the last of them after a wait; ``spare`` soon lapse."""

    granted: int
    spare: int
    wait_seconds: Seconds
    retry_after_seconds: Seconds


class Reach(NamedTuple):
    """Ask whether the recipient reaches a database by a new connection."""

    database: UpstreamId


class Reached(NamedTuple):
    """Answer with what the database said, or that it was not reached."""

    reachable: bool
    leading: bool
    point: LogPoint | None
