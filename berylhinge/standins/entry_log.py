"""Keep a replicated log as a persistent sequence with cheap appends."""

from __future__ import annotations

from itertools import islice
from typing import NamedTuple, TYPE_CHECKING

from ..types import JsonValue, LOG_START, LogPoint

if TYPE_CHECKING:
    from collections.abc import Iterator


class Change(NamedTuple):
    """Hold one statement whose effect an entry replicates."""

    statement: str
    parameters: tuple[JsonValue, ...] = ()


class Entry(NamedTuple):
    """Hold one log entry; a promotion's first entry changes nothing."""

    term: int
    position: int
    request_id: str
    changes: tuple[Change, ...] = ()

    @property
    def point(self) -> LogPoint:
        """Return the entry's term and position."""
        return LogPoint(self.term, self.position)


class EntryLog:
    """Hold entries 1 to ``length``; a value never changes once made.

    Values made from each other share one buffer: an append to the value that
    owns the buffer's end costs O(1), any other append copies.
    """

    __slots__ = ("buffer", "length")

    def __init__(self, buffer: list[Entry] | None = None, length: int = 0) -> None:
        """Take the first ``length`` entries of a buffer."""
        self.buffer = [] if buffer is None else buffer
        self.length = length

    def __len__(self) -> int:
        """Return the number of entries."""
        return self.length

    def __iter__(self) -> Iterator[Entry]:
        """Iterate over the entries from the oldest."""
        return islice(self.buffer, self.length)

    def __eq__(self, other: object) -> bool:
        """Compare the entries."""
        if not isinstance(other, EntryLog):
            return NotImplemented
        if self.length != other.length or self.last != other.last:
            return False
        return tuple(self) == tuple(other)

    def __hash__(self) -> int:
        """Hash the entries."""
        return hash(tuple(self))

    def __repr__(self) -> str:
        """Show the entries."""
        return f"EntryLog({list(self)!r})"

    @property
    def last(self) -> LogPoint:
        """Return the newest entry's point, or LOG_START."""
        return self.buffer[self.length - 1].point if self.length else LOG_START

    def term_at(self, position: int) -> int | None:
        """Return the term at a position, 0 at the start, None past the end."""
        if position == 0:
            return 0
        if not 0 < position <= self.length:
            return None
        return self.buffer[position - 1].term

    def after(self, position: int, limit: int) -> tuple[Entry, ...]:
        """Return at most ``limit`` entries that follow a position."""
        return tuple(self.buffer[position : min(self.length, position + limit)])

    def append(self, entry: Entry) -> EntryLog:
        """Return the log with one more entry."""
        buffer = self.buffer
        if len(buffer) != self.length:
            buffer = buffer[: self.length]
        buffer.append(entry)
        return EntryLog(buffer, self.length + 1)

    def truncate(self, length: int) -> EntryLog:
        """Return the log's first ``length`` entries."""
        return EntryLog(self.buffer, min(length, self.length))
