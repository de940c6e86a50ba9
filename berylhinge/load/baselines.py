"""Replay a run's arrivals through simpler designs, for comparison.

These are models over the recorded arrivals of the same run, not measured
systems: static rate shares split each allowance equally over the instances;
first-come queueing has one queue a group; store-lease promotion waits until the
primary's lease in the platform's store has lapsed.
"""

from __future__ import annotations

import heapq
import random
from collections import defaultdict
from typing import NamedTuple, TYPE_CHECKING

from .allowance import judge
from .records import Allowance, Verdict
from .scenario import Kind

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence

    from .records import Operation
    from .scenario import Scenario

LEASE_SECONDS = 10.0
RENEWALS_PER_LEASE = 3
LEASE_TRIALS = 2_000
QUEUED_STATEMENTS = {Kind.TRANSACTION: 4}


class Fared(NamedTuple):
    """Tell how the organisations fared under a baseline."""

    worst_success_share: float
    wrongful: int


def fared(
    outcomes: Sequence[Operation],
    allowances: dict[str, Allowance],
    noisy: frozenset[str],
) -> Fared:
    """Judge outcomes by the same rules as a real run's."""
    by_name = defaultdict(list)
    for one in outcomes:
        by_name[one.organisation].append(one)
    judged = {name: judge(own, allowances[name]) for name, own in by_name.items()}
    shares = [one.success_share for name, one in judged.items() if name not in noisy]
    wrongful = sum(one.wrongful for one in judged.values())
    return Fared(min(shares, default=1.0), wrongful)


def noisy_organisations(scenario: Scenario) -> frozenset[str]:
    """Return the organisations that offer more than their rate for a while."""
    return frozenset(
        entry["organisation"]
        for entry in scenario["organisations"]
        if entry.get("surges")
    )


def static_shares(
    operations: Iterable[Operation], allowances: dict[str, Allowance], instances: int
) -> list[Operation]:
    """Replay through equal static buckets, one an instance and organisation."""
    tokens = {name: one.burst / instances for name, one in allowances.items()}
    buckets: dict[tuple[str, int], tuple[float, float]] = {}
    replayed = []
    for one in sorted(operations, key=lambda one: one.sent):
        allowance = allowances[one.organisation]
        place = one.organisation, one.instance
        level, last = buckets.get(place, (tokens[one.organisation], one.sent))
        level += (one.sent - last) * allowance.rate / instances
        level = min(level, allowance.burst / instances)
        admitted = level >= 1
        buckets[place] = (level - admitted, one.sent)
        replayed.append(with_verdict(one, admitted=admitted, reason="rate-exceeded"))
    return replayed


def with_verdict(operation: Operation, *, admitted: bool, reason: str) -> Operation:
    """Return the operation as the baseline would have answered it."""
    if admitted:
        return operation._replace(
            verdict=Verdict.OK, reason="", admissions=max(1, operation.admissions)
        )
    return operation._replace(verdict=Verdict.NOT_RUN, reason=reason, admissions=0)


def first_come(
    operations: Iterable[Operation], scenario: Scenario, *, limited: bool
) -> list[Operation]:
    """Replay through one first-come queue a group; late answers are refused.

    ``limited`` keeps out what the run refused for its rate; else all queue.
    """
    size = scenario["fleet"]
    servers = size["slots"] * size["upstreams_per_group"]
    free = {route: [0.0] * servers for route in size["databases"]}
    replayed = []
    for one in sorted(operations, key=lambda one: one.sent):
        if limited and one.reason == "rate-exceeded":
            replayed.append(one)
            continue
        heap = free[one.route]
        start = max(one.sent, heap[0])
        work = size["statement_seconds"] * QUEUED_STATEMENTS.get(one.kind, 1)
        in_time = start + work - one.sent <= scenario["timeout_seconds"]
        if in_time:
            heapq.heapreplace(heap, start + work)
        replayed.append(with_verdict(one, admitted=in_time, reason="queue-full"))
    return replayed


def lease_gap_seconds(*, seed: int, store_down_seconds: float = 0.0) -> float:
    """Return the median write gap when promotion waits for a store lease.

    The primary dies at a random moment between two renewals; the lease must
    lapse, and the store answer, before anyone may promote.
    """
    rng = random.Random(seed)
    between = LEASE_SECONDS / RENEWALS_PER_LEASE
    gaps = sorted(
        max(LEASE_SECONDS - rng.uniform(0, between), store_down_seconds)
        for _ in range(LEASE_TRIALS)
    )
    return gaps[len(gaps) // 2]
