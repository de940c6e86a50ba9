"""Start whole groups of database stand-ins in one process."""

from __future__ import annotations

from typing import Any, NamedTuple

from ..wire.upstream import GroupMember
from .database import Database, start_database
from .replica_log import Fence, Promote

FIRST_TERM = 1
FIRST_PROMOTER = "first"


class Group(NamedTuple):
    """Hold the databases of one group."""

    databases: list[Database]

    @property
    def members(self) -> list[GroupMember]:
        """Return the members as a promotion names them."""
        return [
            GroupMember(upstream=database.upstream, control=str(database.control))
            for database in self.databases
        ]

    def get(self, upstream: str) -> Database:
        """Return one database; raise KeyError for an unknown name."""
        return {database.upstream: database for database in self.databases}[upstream]

    def stop(self) -> None:
        """End every database."""
        for database in self.databases:
            database.stop()


def start_group(
    upstreams: list[str],
    *,
    places: list[str] | None = None,
    promote: bool = True,
    **options: Any,
) -> Group:
    """Start databases and, unless told otherwise, lead them by the first."""
    places = places or [""] * len(upstreams)
    databases = [
        start_database(upstream, place=place, **options)
        for upstream, place in zip(upstreams, places, strict=True)
    ]
    group = Group(databases)
    if promote:
        promote_first(group)
    return group


def promote_first(group: Group) -> None:
    """Make the first database primary of the first term."""
    for database in group.databases:
        database.member.fence(Fence(FIRST_TERM, FIRST_PROMOTER))
    first = group.databases[0].member
    first.promote(Promote(FIRST_TERM, FIRST_PROMOTER), group.members)
