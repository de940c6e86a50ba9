"""Answer the control and fault listeners of one database."""

from __future__ import annotations

import time
from typing import Any, NamedTuple, TYPE_CHECKING, TypedDict

from ..wire.upstream import (
    EntryAnswer,
    EntryRequest,
    FenceAnswer,
    FenceRequest,
    PromoteAnswer,
    PromoteRequest,
    QuiesceRequest,
    WatchRequest,
)
from .faults import FaultsRequest
from .member import AppendMessage
from .replica_log import Fence, Promote
from .serving import Endpoint, Reply

if TYPE_CHECKING:
    from collections.abc import Callable

    from .connections import Recorder
    from .member import Member
    from .serving import Environ
    from .statements import StatementService

MAX_WATCH_SECONDS = 60.0


class Empty(TypedDict):
    """Ask without parameters."""


class LeavingRequest(TypedDict):
    """Tell the database to leave, or to stay after all."""

    leaving: bool


class LedgerEntry(TypedDict):
    """Name one log entry and the request that wrote it."""

    term: int
    position: int
    request_id: str


class Ledger(TypedDict):
    """List the whole log from the oldest entry."""

    entries: list[LedgerEntry]


class NeedleRequest(TypedDict):
    """Search the bytes received on the data listener."""

    needle: str


class NeedleAnswer(TypedDict):
    """Tell whether the bytes were received."""

    found: bool


class Work(TypedDict):
    """Count the requests taken; ``idle_seconds`` is none before the first."""

    reads: int
    writes: int
    transactions: int
    refused_leaving: int
    idle_seconds: float | None


class ControlService:
    """Answer status, votes, promotions and replication."""

    def __init__(self, member: Member) -> None:
        """Serve one member."""
        self.member = member

    def endpoints(self) -> dict[str, Endpoint]:
        """Return the control listener's paths."""
        return {
            "/v1/status": Endpoint(Empty, self.status),
            "/v1/watch": Endpoint(WatchRequest, self.watch),
            "/v1/fence": Endpoint(FenceRequest, self.fence),
            "/v1/promote": Endpoint(PromoteRequest, self.promote),
            "/v1/quiesce": Endpoint(QuiesceRequest, self.quiesce),
            "/v1/entry": Endpoint(EntryRequest, self.entry),
            "/v1/append": Endpoint(AppendMessage, self.append),
            "/v1/leaving": Endpoint(LeavingRequest, self.leave),
        }

    def status(self, request: Empty, environ: Environ) -> Reply:
        """Report the status."""
        return Reply(self.member.status())

    def watch(self, request: WatchRequest, environ: Environ) -> Reply:
        """Wait until the status differs from the one given, or the timeout."""
        wait = min(request["timeout_seconds"], MAX_WATCH_SECONDS)
        end = time.monotonic() + wait
        while True:
            changed = self.member.changed
            status = self.member.status()
            left = end - time.monotonic()
            if differs(request, status) or left <= 0:
                return Reply(status)
            changed.wait(left)

    def fence(self, request: FenceRequest, environ: Environ) -> Reply:
        """Vote."""
        fence = Fence(request["term"], request["promoter"])
        granted, status = self.member.fence(fence)
        return Reply(FenceAnswer(granted=granted, status=status))

    def promote(self, request: PromoteRequest, environ: Environ) -> Reply:
        """Lead the group in a granted term."""
        promote = Promote(request["term"], request["promoter"])
        promoted, status = self.member.promote(promote, request["members"])
        return Reply(PromoteAnswer(promoted=promoted, status=status))

    def quiesce(self, request: QuiesceRequest, environ: Environ) -> Reply:
        """Refuse new writes for a while, as primary of exactly that term."""
        member = self.member
        if member.leads and member.state.term == request["term"]:
            member.quiesced_until = time.monotonic() + request["seconds"]
        return Reply(member.status())

    def entry(self, request: EntryRequest, environ: Environ) -> Reply:
        """Tell the term of one entry."""
        term = self.member.state.log.term_at(request["position"])
        return Reply(EntryAnswer(entry_term=term, status=self.member.status()))

    def append(self, request: AppendMessage, environ: Environ) -> Reply:
        """Follow a primary."""
        return Reply(self.member.append(request))

    def leave(self, request: LeavingRequest, environ: Environ) -> Reply:
        """Begin or stop to leave."""
        self.member.faults.update(FaultsRequest(leaving=request["leaving"]))
        self.member.wake()
        return Reply(self.member.status())


def differs(request: WatchRequest, status: Any) -> bool:
    """Tell whether a watched field differs."""
    fields = ("term", "log_term", "role")
    if any(request[name] != status[name] for name in fields):
        return True
    return tuple(request["last"]) != tuple(status["last"])


class FaultPort(NamedTuple):
    """Answer the fault listener of one database."""

    member: Member
    service: StatementService
    recorder: Recorder
    update: Callable[[FaultsRequest], None]

    def endpoints(self) -> dict[str, Endpoint]:
        """Return the fault listener's paths."""
        return {
            "/v1/faults": Endpoint(FaultsRequest, self.faults),
            "/v1/ledger": Endpoint(Empty, self.ledger),
            "/v1/received": Endpoint(NeedleRequest, self.received),
            "/v1/work": Endpoint(Empty, self.work),
        }

    def faults(self, request: FaultsRequest, environ: Environ) -> Reply:
        """Change the faults that the body names and report all."""
        if environ["REQUEST_METHOD"] == "POST":
            self.update(request)
        return Reply(self.member.faults.report())

    def ledger(self, request: Empty, environ: Environ) -> Reply:
        """List every log entry."""
        entries = [
            LedgerEntry(
                term=entry.term, position=entry.position, request_id=entry.request_id
            )
            for entry in self.member.state.log
        ]
        return Reply(Ledger(entries=entries))

    def received(self, request: NeedleRequest, environ: Environ) -> Reply:
        """Search the recorded bytes."""
        found = self.recorder.has(request["needle"].encode())
        return Reply(NeedleAnswer(found=found))

    def work(self, request: Empty, environ: Environ) -> Reply:
        """Report the counters."""
        counters = self.service.counters
        at = counters.last_work_at
        return Reply(
            Work(
                reads=counters.reads,
                writes=counters.writes,
                transactions=counters.transactions,
                refused_leaving=counters.refused_leaving,
                idle_seconds=time.monotonic() - at if at else None,
            )
        )
