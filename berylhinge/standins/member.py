"""Hold one database's replicated state, its SQL engine and its clock."""

from __future__ import annotations

import time
from typing import NamedTuple, TYPE_CHECKING

from gevent.event import Event
from gevent.lock import BoundedSemaphore

from ..types import DatabaseRole
from ..wire.upstream import GroupMember, UpstreamStatus
from . import replica_log
from .engine import Engine
from .replica_log import Append, AppendReply, Fence, Promote, ReplicaState, Write

if TYPE_CHECKING:
    from collections.abc import Callable

    from ..types import LogPoint
    from .connections import ConnectionRegistry
    from .faults import FaultState


class AppendMessage(NamedTuple):
    """Send an append and the replica's lag that its entries already waited."""

    append: Append
    lag_seconds: float


class AppendAnswer(NamedTuple):
    """Answer an append and tell how long entries are to wait."""

    reply: AppendReply
    lag_seconds: float


class Transaction:
    """Hold one connection's transaction; ``term`` is none where it only reads."""

    def __init__(self, term: int | None) -> None:
        """Start open."""
        self.term = term


class Member:
    """Change the replicated state in steps that never yield to the hub."""

    def __init__(self, upstream: str, *, faults: FaultState, slots: int) -> None:
        """Start empty, as a replica of term 0."""
        self.state = ReplicaState(upstream)
        self.engine = Engine()
        self.faults = faults
        self.slots = slots
        self.registry: ConnectionRegistry | None = None
        self.changed = Event()
        self.heard_at = time.monotonic()
        self.quiesced_until = 0.0
        self.writer = BoundedSemaphore(1)
        self.transaction: Transaction | None = None
        self.written_at: list[float] = []
        self.first_written = 1
        self.on_lead: Callable[[int, list[GroupMember]], None] = lambda term, peers: (
            None
        )

    @property
    def leads(self) -> bool:
        """Tell whether the database believes that it is primary."""
        return self.state.role is DatabaseRole.PRIMARY

    def is_quiesced(self) -> bool:
        """Tell whether new writes are refused for a while."""
        return self.leads and time.monotonic() < self.quiesced_until

    def become(self, state: ReplicaState) -> None:
        """Take a new state, ending what the old role had open."""
        old = self.state
        if old.role is DatabaseRole.PRIMARY and state.role is not DatabaseRole.PRIMARY:
            self.abort_transaction()
        if len(old.log) != len(state.log) or old.log.last != state.log.last:
            self.engine.follow(old.log, state.log)
        self.state = state
        self.wake()

    def wake(self) -> None:
        """Wake every watcher and sender."""
        changed, self.changed = self.changed, Event()
        changed.set()

    def abort_transaction(self) -> None:
        """Roll back the open write transaction."""
        if self.transaction is not None:
            self.end_transaction()

    def start_transaction(self, term: int) -> Transaction:
        """Open the write transaction; the caller holds the writer."""
        self.engine.begin()
        self.transaction = Transaction(term)
        return self.transaction

    def end_transaction(self) -> None:
        """Drop what is not committed and free the writer."""
        self.engine.rollback()
        self.transaction = None
        self.writer.release()

    def commit(self, term: int, request_id: str) -> LogPoint | None:
        """Commit the draft as one entry, or return None where it may not run."""
        if replica_log.write_fault(self.state, term):
            return None
        changes = self.engine.commit()
        request = Write(term, request_id, changes)
        self.state, reply = replica_log.write(self.state, request)
        self.written_at.append(time.monotonic())
        self.engine.advance_base(self.state.log)
        self.wake()
        return reply.written

    def fence(self, request: Fence) -> tuple[bool, UpstreamStatus]:
        """Vote in one step with the status read."""
        if request.term > self.state.term:
            self.heard_at = time.monotonic()
        state, reply = replica_log.fence(self.state, request)
        self.become(state)
        return reply.granted, self.status()

    def promote(
        self, request: Promote, members: list[GroupMember]
    ) -> tuple[bool, UpstreamStatus]:
        """Lead the group and start to send to its other members."""
        led = self.leads
        state, reply = replica_log.promote(self.state, request)
        self.become(state)
        if reply.promoted and not led:
            self.quiesced_until = 0.0
            self.first_written = len(state.log)
            self.written_at = [time.monotonic()]
            self.on_lead(state.term, members)
        return reply.promoted, self.status()

    def append(self, message: AppendMessage) -> AppendAnswer:
        """Follow a primary; entries that didn't wait for the lag are not taken."""
        request = message.append
        lag_seconds = self.faults.lag_seconds
        if message.lag_seconds < lag_seconds:
            request = request._replace(entries=())
        if request.term >= self.state.term:
            self.heard_at = time.monotonic()
        state, reply = replica_log.append(self.state, request)
        if state != self.state:
            self.become(state)
        return AppendAnswer(reply, lag_seconds)

    def observe_term(self, term: int) -> None:
        """Lead no longer once a newer term is known."""
        if term > self.state.term:
            self.become(replica_log.observe_term(self.state, term))

    def restart(self) -> None:
        """Come back from a crash with the log alone."""
        self.abort_transaction()
        self.become(replica_log.restart(self.state))

    def visible_length(self, lag_seconds: float) -> int:
        """Return how many entries are at least that old."""
        if not lag_seconds:
            return len(self.state.log)
        oldest = time.monotonic() - lag_seconds
        count = len(self.written_at)
        while count and self.written_at[count - 1] > oldest:
            count -= 1
        return self.first_written - 1 + count

    def status(self) -> UpstreamStatus:
        """Report the database."""
        state = self.state
        silence = 0.0 if self.leads else time.monotonic() - self.heard_at
        registry = self.registry
        return UpstreamStatus(
            upstream=state.upstream,
            role="primary" if self.leads else "replica",
            term=state.term,
            log_term=state.log_term,
            last=state.log.last,
            primary_silence_seconds=silence,
            primary=state.primary,
            leaving=self.faults.leaving,
            quiesced=self.is_quiesced(),
            connections=len(registry.open) if registry else 0,
            connection_limit=registry.limit if registry else 0,
            slots=self.slots,
        )
