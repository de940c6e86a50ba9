"""Check a run's records against the promises."""

from __future__ import annotations

from bisect import bisect_right
from collections import defaultdict
from enum import StrEnum
from typing import NamedTuple, TYPE_CHECKING

from .records import Verdict
from .scenario import Kind, READS
from .windows import excess

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator, Mapping, Sequence

    from .records import Allowance, FinalState, Operation

EXCESS_TOLERANCE = 1e-6
PAIR_ROWS = 2


class Promise(StrEnum):
    """Name what must always hold."""

    READ_YOUR_WRITES = "read-your-writes"
    FRESH_READ = "fresh-read"
    BOUNDED_AGE = "bounded-age"
    ACKNOWLEDGED_SURVIVES = "acknowledged-survives"
    TRUTHFUL_NOT_RUN = "truthful-not-run"
    AT_MOST_ONCE = "at-most-once"
    WHOLE_TRANSACTION = "whole-transaction"
    OWN_ANSWER = "own-answer"
    WITHIN_RATE = "within-rate"


class Violation(NamedTuple):
    """Report one broken promise; ``index`` is the operation's, or -1."""

    promise: Promise
    index: int
    detail: str


class Floor(NamedTuple):
    """Hold a row's acknowledged versions as a running maximum by completion."""

    done: list[float]
    version: list[int]

    def at(self, moment: float) -> int:
        """Return the greatest version acknowledged by a moment."""
        place = bisect_right(self.done, moment)
        return self.version[place - 1] if place else 0


def check(
    operations: Sequence[Operation],
    finals: Mapping[str, FinalState],
    allowances: Mapping[str, Allowance],
    *,
    max_age_seconds: float,
) -> list[Violation]:
    """Return every broken promise of a run; ``finals`` is by route."""
    found = [*check_reads(operations, max_age_seconds), *check_answers(operations)]
    for route, final in finals.items():
        own = [operation for operation in operations if operation.route == route]
        found += check_rows(own, final)
        found += check_unique(own, final)
    found += check_rates(operations, allowances)
    return found


def floors(operations: Iterable[Operation]) -> dict[tuple[str, str], Floor]:
    """Return the acknowledged versions of each row by completion time."""
    acknowledged = defaultdict(list)
    for operation in operations:
        if operation.kind is Kind.WRITE and operation.verdict is Verdict.OK:
            acknowledged[operation.route, operation.row].append(
                (operation.done, operation.version)
            )
    result = {}
    for place, pairs in acknowledged.items():
        floor = Floor([], [])
        top = 0
        for done, version in sorted(pairs):
            top = max(top, version)
            floor.done.append(done)
            floor.version.append(top)
        result[place] = floor
    return result


def check_reads(
    operations: Sequence[Operation], max_age_seconds: float
) -> Iterator[Violation]:
    """Check each answered read against the writes acknowledged before it was sent."""
    known = floors(operations)
    denied = {
        (operation.route, operation.row, operation.version): operation.index
        for operation in operations
        if operation.kind is Kind.WRITE and operation.verdict is Verdict.NOT_RUN
    }
    promises = {
        Kind.READ: (Promise.READ_YOUR_WRITES, 0.0),
        Kind.FRESH: (Promise.FRESH_READ, 0.0),
        Kind.AGED: (Promise.BOUNDED_AGE, max_age_seconds),
    }
    for operation in operations:
        if operation.kind not in READS or operation.seen is None:
            continue
        promise, age = promises[operation.kind]
        floor = known.get((operation.route, operation.row))
        least = floor.at(operation.sent - age) if floor else 0
        if operation.seen < least:
            detail = f"{operation.row} read {operation.seen}, expected {least} or later"
            yield Violation(promise, operation.index, detail)
        if (operation.route, operation.row, operation.seen) in denied:
            detail = (
                f"{operation.row} shows version {operation.seen} refused as not run"
            )
            yield Violation(Promise.TRUTHFUL_NOT_RUN, operation.index, detail)


def check_answers(operations: Iterable[Operation]) -> Iterator[Violation]:
    """Check that each answer belongs to its request."""
    for operation in operations:
        if not operation.echoed:
            detail = f"{operation.request_id} got an answer of another request"
            yield Violation(Promise.OWN_ANSWER, operation.index, detail)


def check_rows(
    operations: Iterable[Operation], final: FinalState
) -> Iterator[Violation]:
    """Check the last version of each row against what was acknowledged or denied."""
    for operation in operations:
        if operation.kind is not Kind.WRITE:
            continue
        last = final.versions.get(operation.row, 0)
        if operation.verdict is Verdict.OK and last < operation.version:
            detail = f"{operation.row} ends at {last}, {operation.version} acknowledged"
            yield Violation(Promise.ACKNOWLEDGED_SURVIVES, operation.index, detail)
        if operation.verdict is Verdict.NOT_RUN and last == operation.version:
            detail = f"{operation.row} ends at {last}, refused as not run"
            yield Violation(Promise.TRUTHFUL_NOT_RUN, operation.index, detail)


def check_unique(
    operations: Iterable[Operation], final: FinalState
) -> Iterator[Violation]:
    """Check inserts and transactions by the number of their rows and entries."""
    for operation in operations:
        if operation.kind is Kind.INSERT:
            yield from check_count(operation, final.inserts.get(operation.row, 0), 1)
            yield from check_entries(operation, final)
        elif operation.kind is Kind.TRANSACTION:
            rows = final.pairs.get(operation.row, 0)
            yield from check_count(operation, rows, PAIR_ROWS)


def check_count(operation: Operation, rows: int, whole: int) -> Iterator[Violation]:
    """Check the number of rows that one operation left behind."""
    left = f"{operation.row} left {rows} of {whole} rows, {operation.verdict}"
    if rows > whole:
        yield Violation(Promise.AT_MOST_ONCE, operation.index, left)
    elif 0 < rows < whole:
        yield Violation(Promise.WHOLE_TRANSACTION, operation.index, left)
    elif rows == 0 and operation.verdict is Verdict.OK:
        yield Violation(Promise.ACKNOWLEDGED_SURVIVES, operation.index, left)
    elif rows == whole and operation.verdict is Verdict.NOT_RUN:
        yield Violation(Promise.TRUTHFUL_NOT_RUN, operation.index, left)


def check_entries(operation: Operation, final: FinalState) -> Iterator[Violation]:
    """Check that a request id stands at most once in the final primary's log."""
    if final.entries is None:
        return
    entries = final.entries.get(operation.request_id, 0)
    if entries > 1:
        detail = f"{operation.request_id} stands {entries} times in the log"
        yield Violation(Promise.AT_MOST_ONCE, operation.index, detail)


def check_rates(
    operations: Iterable[Operation], allowances: Mapping[str, Allowance]
) -> Iterator[Violation]:
    """Check each organisation's certain admissions over all windows."""
    admitted = defaultdict(list)
    for operation in operations:
        if operation.admissions:
            admitted[operation.organisation].append(
                (operation.sent, operation.done, operation.admissions)
            )
    for organisation, admissions in admitted.items():
        over = excess(admissions, allowances[organisation])
        if over > EXCESS_TOLERANCE:
            detail = f"{organisation} got {over:.1f} requests more than its allowance"
            yield Violation(Promise.WITHIN_RATE, -1, detail)
