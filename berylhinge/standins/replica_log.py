"""Decide votes, promotions, writes and appends of one database of a group.

The log matching follows Raft (Ongaro and Ousterhout 2014, section 5.3); the
promoter is an instance, so that a vote is asked for by a fence. Every function
returns a new state and leaves the old one as it was.
"""

from __future__ import annotations

from typing import Literal, NamedTuple

from ..types import DatabaseRole, LogPoint
from .entry_log import Change, Entry, EntryLog

PROMOTION_REQUEST_PREFIX = "promotion-"


class ReplicaState(NamedTuple):
    """Hold what a database must never forget, and its role.

    ``log_term`` is the newest term of whose primary's log this log is known to
    be a prefix; ``voted_for`` is the promoter that was granted ``term``.
    """

    upstream: str
    term: int = 0
    voted_for: str | None = None
    log_term: int = 0
    role: DatabaseRole = DatabaseRole.REPLICA
    primary: str | None = None
    log: EntryLog = EntryLog()


class ReplicaStatus(NamedTuple):
    """Report the part of a database's status that decisions rest on."""

    upstream: str
    role: DatabaseRole
    term: int
    log_term: int
    last: LogPoint
    primary: str | None


class Fence(NamedTuple):
    """Ask for the database's one vote in a term."""

    term: int
    promoter: str


class FenceReply(NamedTuple):
    """Grant or deny the vote with the status of the same step."""

    granted: bool
    status: ReplicaStatus


class Promote(NamedTuple):
    """Make the database primary of a term it granted to the promoter."""

    term: int
    promoter: str


class PromoteReply(NamedTuple):
    """Tell whether the database is primary of that term."""

    promoted: bool
    status: ReplicaStatus


class Write(NamedTuple):
    """Ask the primary of a term to log one write or one commit."""

    term: int | None
    request_id: str
    changes: tuple[Change, ...] = ()


WriteFault = Literal["superseded", "not-primary"]


class WriteReply(NamedTuple):
    """Name the entry written, or the fault and that nothing ran."""

    written: LogPoint | None
    fault: WriteFault | None
    status: ReplicaStatus


class Append(NamedTuple):
    """Carry a primary's entries after ``previous``; empty is a heartbeat."""

    term: int
    primary: str
    previous: LogPoint
    entries: tuple[Entry, ...] = ()


class AppendReply(NamedTuple):
    """Tell whether ``previous`` matched, and where the next append may start."""

    accepted: bool
    term: int
    matched: int
    log_term: int
    last: LogPoint


def status(state: ReplicaState) -> ReplicaStatus:
    """Report the state."""
    return ReplicaStatus(
        state.upstream,
        state.role,
        state.term,
        state.log_term,
        state.log.last,
        state.primary,
    )


def observe_term(state: ReplicaState, term: int) -> ReplicaState:
    """Follow a newer term, granting nobody and leading no longer."""
    if term <= state.term:
        return state
    return state._replace(
        term=term, voted_for=None, role=DatabaseRole.REPLICA, primary=None
    )


def restart(state: ReplicaState) -> ReplicaState:
    """Come back from a crash: a primary leads no longer, all else is kept."""
    if state.role is DatabaseRole.REPLICA:
        return state
    return state._replace(role=DatabaseRole.REPLICA, primary=None)


def fence(state: ReplicaState, request: Fence) -> tuple[ReplicaState, FenceReply]:
    """Grant a newer term, or repeat the grant to the same promoter."""
    if request.term > state.term:
        state = observe_term(state, request.term)._replace(voted_for=request.promoter)
    granted = is_granted(state, request.term, request.promoter)
    return state, FenceReply(granted, status(state))


def is_granted(state: ReplicaState, term: int, promoter: str) -> bool:
    """Tell whether the database's vote in its highest term is the promoter's."""
    return state.term == term and state.voted_for == promoter


def promote(state: ReplicaState, request: Promote) -> tuple[ReplicaState, PromoteReply]:
    """Lead a granted term and write its first entry, unless another leads it."""
    if not is_granted(state, request.term, request.promoter):
        return state, PromoteReply(False, status(state))
    if state.role is not DatabaseRole.PRIMARY:
        if state.primary is not None:
            return state, PromoteReply(False, status(state))
        state = lead(state)
    return state, PromoteReply(True, status(state))


def lead(state: ReplicaState) -> ReplicaState:
    """Become primary of the state's term and log its first entry."""
    request_id = f"{PROMOTION_REQUEST_PREFIX}{state.term}"
    first = Entry(state.term, len(state.log) + 1, request_id)
    return state._replace(
        log_term=state.term,
        role=DatabaseRole.PRIMARY,
        primary=state.upstream,
        log=state.log.append(first),
    )


def write_fault(state: ReplicaState, term: int | None) -> WriteFault | None:
    """Name why a write sent with a term may not run, or None."""
    if term is not None and term < state.term:
        return "superseded"
    if state.role is not DatabaseRole.PRIMARY or term != state.term:
        return "not-primary"
    return None


def write(state: ReplicaState, request: Write) -> tuple[ReplicaState, WriteReply]:
    """Log one entry as primary of exactly the request's term."""
    fault = write_fault(state, request.term)
    if fault:
        return state, WriteReply(None, fault, status(state))
    entry = Entry(state.term, len(state.log) + 1, request.request_id, request.changes)
    state = state._replace(log=state.log.append(entry))
    return state, WriteReply(entry.point, None, status(state))


def append_request(state: ReplicaState, matched: int, limit: int) -> Append:
    """Build a primary's append of what follows a replica's matched position."""
    matched = min(matched, len(state.log))
    previous = LogPoint(state.log.term_at(matched) or 0, matched)
    entries = state.log.after(matched, limit)
    return Append(state.term, state.upstream, previous, entries)


def append(state: ReplicaState, request: Append) -> tuple[ReplicaState, AppendReply]:
    """Follow the primary of the highest term as far as the logs match."""
    if request.term < state.term or leads_term_of(state, request):
        return state, append_reply(state, accepted=False, matched=0)
    state = observe_term(state, request.term)._replace(primary=request.primary)
    previous = request.previous
    if state.log.term_at(previous.position) != previous.term:
        matched = min(previous.position - 1, len(state.log))
        return state, append_reply(state, accepted=False, matched=matched)
    log = merge(state.log, request.entries)
    matched = previous.position + len(request.entries)
    if matched >= len(log):
        state = state._replace(log_term=request.term)
    state = state._replace(log=log)
    return state, append_reply(state, accepted=True, matched=matched)


def leads_term_of(state: ReplicaState, request: Append) -> bool:
    """Tell whether this database itself is primary of the append's term."""
    return state.role is DatabaseRole.PRIMARY and state.term == request.term


def merge(log: EntryLog, entries: tuple[Entry, ...]) -> EntryLog:
    """Append entries, dropping the log's end only from a conflicting entry."""
    for entry in entries:
        found = log.term_at(entry.position)
        if found == entry.term:
            continue
        if found is not None:
            log = log.truncate(entry.position - 1)
        log = log.append(entry)
    return log


def append_reply(state: ReplicaState, *, accepted: bool, matched: int) -> AppendReply:
    """Build the reply from the state after the step."""
    return AppendReply(accepted, state.term, matched, state.log_term, state.log.last)


def next_matched(state: ReplicaState, matched: int, reply: AppendReply) -> int:
    """Return the position from which the primary sends next."""
    if reply.accepted:
        return max(matched, reply.matched)
    return min(reply.matched, len(state.log))


def common_length(old: EntryLog, new: EntryLog) -> int:
    """Return how many entries two logs share from the start."""
    length = min(len(old), len(new))
    while length and old.term_at(length) != new.term_at(length):
        length -= 1
    return length
