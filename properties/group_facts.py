"""Check what callers were told against every log that ever led."""

from __future__ import annotations

from typing import NamedTuple, TYPE_CHECKING

from berylhinge.standins import replica_log

if TYPE_CHECKING:
    from berylhinge.standins.entry_log import Entry
    from berylhinge.types import LogPoint, Term, UpstreamId

RETRY_MARK = "+"
ONE_PRIMARY = "one primary acknowledges in a term"
ONE_LOG = "an entry names one log"
SURVIVES = "acknowledged writes survive"
NOT_RUN = "not-run is true"
READ_YOUR_WRITES = "reads see the session's writes"
TOKEN_COVERS = "a token covers its answer"
TOKEN_SURVIVES = "a token names a surviving entry"
ONCE = "a write runs at most once"
SAFETY = (
    ONE_PRIMARY,
    ONE_LOG,
    SURVIVES,
    NOT_RUN,
    READ_YOUR_WRITES,
    TOKEN_COVERS,
    TOKEN_SURVIVES,
    ONCE,
)


class Violation(AssertionError):
    """Name a broken promise."""

    def __init__(self, promise: str, detail: object) -> None:
        """Keep the promise's name."""
        super().__init__(f"{promise}: {detail}")
        self.promise = promise


class Lead(NamedTuple):
    """Record who began to lead a term and with which log."""

    upstream: UpstreamId
    log: tuple[Entry, ...]


class Facts:
    """Hold what really happened, which no instance can see."""

    def __init__(self) -> None:
        """Begin with nothing told."""
        self.logs: dict[LogPoint, tuple[Entry, ...]] = {}
        self.leads: dict[Term, Lead] = {}
        self.durable: tuple[Entry, ...] = ()
        self.durable_ids: set[str] = set()
        self.acknowledged: list[str] = []
        self.not_run: set[str] = set()
        self.retriable: set[str] = set()
        self.shown = 0

    def note_entry(self, name: UpstreamId, log: tuple[Entry, ...]) -> None:
        """Record a log by its newest entry, written by the primary of its term."""
        point = log[-1].point
        lead = self.leads.get(point.term)
        if lead is not None and lead.upstream != name:
            raise Violation(ONE_PRIMARY, (point, lead.upstream, name))
        if self.logs.setdefault(point, log) != log:
            raise Violation(ONE_LOG, point)

    def note_lead(self, name: UpstreamId, term: Term, log: tuple[Entry, ...]) -> None:
        """Record a promotion; its log must hold all that callers rely on."""
        lead = self.leads.setdefault(term, Lead(name, log))
        if lead.upstream != name:
            raise Violation(ONE_PRIMARY, (term, lead.upstream, name))
        if log[: len(self.durable)] != self.durable:
            raise Violation(SURVIVES, (term, name))

    def note_acknowledged(
        self, request_id: str, point: LogPoint, *, under: Term
    ) -> None:
        """Record that a caller was told its write is safe by a term's majority."""
        log = self.logs[point]
        if log[-1].request_id != request_id:
            raise Violation(SURVIVES, (request_id, point))
        self.acknowledged.append(request_id)
        self.rely_on(log, under=under)

    def note_not_run(self, request_id: str) -> None:
        """Record that a caller was told its write did not run."""
        if request_id in self.durable_ids:
            raise Violation(NOT_RUN, request_id)
        if request_id not in self.not_run:
            self.retriable.add(request_id)
        self.not_run.add(request_id)

    def note_shown(
        self,
        data: tuple[Entry, ...],
        point: LogPoint,
        must_see: frozenset[str],
        *,
        under: Term,
    ) -> frozenset[str]:
        """Record a read's data and return the writes in it."""
        ids = frozenset(entry.request_id for entry in data)
        if not must_see <= ids:
            raise Violation(READ_YOUR_WRITES, sorted(must_see - ids))
        if data and data[-1].point > point:
            raise Violation(TOKEN_COVERS, (data[-1].point, point))
        self.shown += 1
        self.rely_on(data, under=under)
        return ids

    def note_token(self, point: LogPoint) -> None:
        """Check that a token names an entry which no later log may lack."""
        named = self.durable[max(0, point.position - 1) : point.position]
        if any(entry.point != point for entry in named) or len(self.durable) < point[1]:
            raise Violation(TOKEN_SURVIVES, point)

    def rely_on(self, log: tuple[Entry, ...], *, under: Term) -> None:
        """Extend what every term after ``under`` must hold by a log that was seen."""
        shared = min(len(log), len(self.durable))
        if log[:shared] != self.durable[:shared]:
            raise Violation(SURVIVES, log[shared - 1].point)
        for later, lead in self.leads.items():
            if later > under and lead.log[: len(log)] != log:
                raise Violation(SURVIVES, (later, lead.upstream))
        for entry in log[shared:]:
            self.take(entry)
        if len(log) > shared:
            self.durable = log

    def take(self, entry: Entry) -> None:
        """Check one more surviving entry."""
        if entry.request_id in self.not_run:
            raise Violation(NOT_RUN, entry)
        first = entry.request_id.split(RETRY_MARK)[0]
        writes = not first.startswith(replica_log.PROMOTION_REQUEST_PREFIX)
        if writes and any(
            known.split(RETRY_MARK)[0] == first for known in self.durable_ids
        ):
            raise Violation(ONCE, entry)
        self.durable_ids.add(entry.request_id)
