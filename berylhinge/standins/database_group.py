"""Hold the log that the stand-ins of a service's databases share."""

from __future__ import annotations

from itertools import count
from typing import NamedTuple, TYPE_CHECKING

import gevent

if TYPE_CHECKING:
    from .session_database import SessionDatabase

# Pause between two looks at what the replicas have received.
COMMIT_POLL_SECONDS = 0.002


class Run(NamedTuple):
    """Record one statement that ran, on which connection and for whom."""

    database: str
    connection: int
    organisation: str
    request: str
    text: str
    values: tuple[tuple[str, str], ...]
    at: float


class Entry(NamedTuple):
    """Hold one committed transaction's writes."""

    term: int
    writes: list[tuple[str, str]]


class DatabaseGroup:
    """Hold the line of entries that lead; each member has received a part of it.

    Without ``stops_deposed`` a primary goes on as one after another was promoted, until
    it is demoted; what it commits then is kept in ``stale_commits`` and lost. A
    promotion takes effect after ``promote_seconds``.
    """

    def __init__(self, service: str, *, lag_seconds: float = 0.02) -> None:
        """Start without members; none has to receive a commit before its answer."""
        self.service = service
        self.synchronous_replicas = 0
        self.promote_seconds = 0.0
        self.lag_seconds = lag_seconds
        self.term = 1
        self.members: dict[str, SessionDatabase] = {}
        self.primary = ""
        self.log: list[Entry] = []
        self.rolled_back: list[Entry] = []
        self.runs: list[Run] = []
        self.stops_deposed = True
        self.deposed: set[str] = set()
        self.stale_commits: list[list[tuple[str, str]]] = []
        self.signatures = count(1)
        self.connections = count(1)

    def commit_at(self, member: str, writes: list[tuple[str, str]]) -> None:
        """Commit at a member that leads, or that goes on as if it did."""
        if member == self.primary:
            self.commit(writes)
        else:
            self.stale_commits.append(writes)

    def commit(self, writes: list[tuple[str, str]]) -> None:
        """Add an entry to the primary's log and let the others receive it later."""
        self.log.append(Entry(self.term, writes))
        leader, length = self.members[self.primary], len(self.log)
        leader.received = leader.applied = length
        self.replicate()
        term = self.term
        while leader.running and leader.leads and self.term == term:
            if self.count_received(length) >= self.synchronous_replicas:
                return
            gevent.sleep(COMMIT_POLL_SECONDS)
        raise ConnectionResetError("lost before enough replicas had received it")

    def count_received(self, length: int) -> int:
        """Return how many replicas have received the log up to a length."""
        return sum(
            member.received >= length
            for member in self.members.values()
            if not member.leads
        )

    def replicate(self) -> None:
        """Let every member receive what the log holds now, after a while."""
        for member in self.members.values():
            if not member.leads:
                gevent.spawn_later(self.lag_seconds, member.receive, len(self.log))

    def promote(self, service: str, name: str) -> bool:
        """Let a running member lead the next term with what it has received."""
        member = self.members.get(name)
        if service != self.service or member is None or not member.running:
            return False
        if self.promote_seconds:
            gevent.spawn_later(self.promote_seconds, self.lead, member)
        else:
            self.lead(member)
        return True

    def lead(self, member: SessionDatabase) -> None:
        """Let a member lead with what it has received, unless it leads or is gone."""
        name = member.id
        for other in self.members.values():
            other.is_paused = False
        if self.primary != name and member.running:
            self.term += 1
            if self.primary and not self.stops_deposed:
                self.deposed.add(self.primary)
            self.deposed.discard(name)
            self.primary = name
            self.rolled_back += self.log[member.received :]
            del self.log[member.received :]
            for other in self.members.values():
                other.received = min(other.received, len(self.log))
                other.applied = min(other.applied, len(self.log))
            self.log.append(Entry(self.term, []))
            member.received = member.applied = len(self.log)
            self.replicate()

    def demote(self, name: str, term: int) -> None:
        """Make a primary of a lower term a replica; nobody leads until a promotion."""
        if term > self.term and name == self.primary:
            self.primary = ""
        if term > self.term:
            self.deposed.discard(name)
