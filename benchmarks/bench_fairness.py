"""Compare fair queueing with first-come queueing while one organisation sends 5x.

Virtual time; Poisson arrivals; a write holds a slot longer than a read. A request
succeeds when it finishes by its deadline.
"""

from __future__ import annotations

from collections import Counter, deque
from heapq import heappop, heappush
from random import Random
from typing import NamedTuple, Protocol

import click
from hdrh.histogram import HdrHistogram

from berylhinge.core import fair_queue
from berylhinge.core.fair_queue import AdmissionState, SlotRequest
from berylhinge.types import AccessMode

SLOTS = 2
BOUND = 256
SECONDS = 120.0
DEADLINE_SECONDS = 1.0
HOLD_SECONDS = {AccessMode.READ: 0.002, AccessMode.WRITE: 0.006}
WRITE_SHARE = 0.25
LOAD = 0.7
EXCESS = 5.0
SHARES = {
    "large-1": 8.0,
    "large-2": 8.0,
    "medium-1": 3.0,
    "medium-2": 3.0,
    "small-1": 1.0,
    "small-2": 1.0,
    "small-3": 0.5,
    "small-4": 0.5,
}
NOISY = "large-2"


class Queue(Protocol):
    """Be one way to queue for slots."""

    def offer(self, request: SlotRequest, now: float) -> list[SlotRequest]:
        """Queue a request and return those refused."""

    def take(self, now: float) -> tuple[SlotRequest | None, list[SlotRequest]]:
        """Return the next request to start, and those dropped."""

    def finish(self, request: SlotRequest, now: float) -> None:
        """Free the slot."""


class FirstCome:
    """Serve in order of arrival; refuse when full, drop at the head when too late."""

    def __init__(self, *, slots: int, bound: int) -> None:
        self.slots = slots
        self.bound = bound
        self.queue: deque[SlotRequest] = deque()
        self.running = 0

    def offer(self, request: SlotRequest, now: float) -> list[SlotRequest]:
        """Queue at the end."""
        if len(self.queue) >= self.bound:
            return [request]
        self.queue.append(request)
        return []

    def take(self, now: float) -> tuple[SlotRequest | None, list[SlotRequest]]:
        """Start the first that still has time."""
        dropped = []
        while self.queue and self.running < self.slots:
            request = self.queue.popleft()
            if now + HOLD_SECONDS[request.access] > request.deadline:
                dropped.append(request)
                continue
            self.running += 1
            return request, dropped
        return None, dropped

    def finish(self, request: SlotRequest, now: float) -> None:
        """Free the slot."""
        self.running -= 1


class Fair:
    """Serve by the admission core."""

    def __init__(self, *, slots: int, bound: int) -> None:
        self.state = AdmissionState(slots=slots, max_queued=bound, weights=SHARES)

    def offer(self, request: SlotRequest, now: float) -> list[SlotRequest]:
        """Offer to the core."""
        found = fair_queue.enqueue_request(self.state, request, now)
        return [drop.request for drop in found.dropped]

    def take(self, now: float) -> tuple[SlotRequest | None, list[SlotRequest]]:
        """Take from the core."""
        found = fair_queue.start_request(self.state, now)
        return found.request, [drop.request for drop in found.dropped]

    def finish(self, request: SlotRequest, now: float) -> None:
        """Tell the core."""
        fair_queue.finish_request(self.state, request.request, now)


class Outcome(NamedTuple):
    """Count one organisation's requests."""

    offered: int
    succeeded: int
    p50_ms: float
    p99_ms: float


def run(queue: Queue, seed: int) -> dict[str, Outcome]:
    """Run one queue through the whole time."""
    rng = Random(seed)
    heap: list[tuple[float, int, str, SlotRequest]] = []
    offered, succeeded = Counter(), Counter()
    started: dict[str, float] = {}
    waits = {name: HdrHistogram(1, 60_000_000, 3) for name in SHARES}
    number = 0
    for moment, request in arrivals(rng):
        heappush(heap, (moment, number, "arrive", request))
        started[request.request] = moment
        number += 1
    while heap:
        now, _, kind, request = heappop(heap)
        if kind == "arrive":
            offered[request.organisation] += 1
            queue.offer(request, now)
        else:
            queue.finish(request, now)
            taken = now - started[request.request]
            waits[request.organisation].record_value(max(1, int(1e6 * taken)))
            succeeded[request.organisation] += now <= request.deadline
        while (found := queue.take(now)[0]) is not None:
            hold = HOLD_SECONDS[found.access] * rng.uniform(0.5, 1.5)
            number += 1
            heappush(heap, (now + hold, number, "finish", found))
    return {
        name: Outcome(
            offered[name],
            succeeded[name],
            waits[name].get_value_at_percentile(50) / 1e3,
            waits[name].get_value_at_percentile(99) / 1e3,
        )
        for name in SHARES
    }


def arrivals(rng: Random) -> list[tuple[float, SlotRequest]]:
    """Draw Poisson arrivals: each at its share of the load, one at five times it."""
    mean = (1 - WRITE_SHARE) * HOLD_SECONDS[AccessMode.READ]
    mean += WRITE_SHARE * HOLD_SECONDS[AccessMode.WRITE]
    capacity = SLOTS / mean
    total = sum(SHARES.values())
    found = []
    for name, share in SHARES.items():
        rate = LOAD * capacity * share / total * (EXCESS if name == NOISY else 1.0)
        moment = 0.0
        while (moment := moment + rng.expovariate(rate)) < SECONDS:
            access = AccessMode.WRITE if rng.random() < WRITE_SHARE else AccessMode.READ
            label = f"{name}/{len(found)}"
            deadline = moment + DEADLINE_SECONDS
            found.append((moment, SlotRequest(label, name, access, deadline)))
    return found


@click.command()
@click.option("--seed", default=1, show_default=True)
def main(seed: int) -> None:
    """Print one line a figure, then a table."""
    results = {
        "first_come": run(FirstCome(slots=SLOTS, bound=BOUND), seed),
        "fair": run(Fair(slots=SLOTS, bound=BOUND), seed),
    }
    for label, found in results.items():
        inside = [name for name in SHARES if name != NOISY]
        worst = min(found[name].succeeded / found[name].offered for name in inside)
        slowest = max(found[name].p99_ms for name in inside)
        click.echo(f"fairness_{label}_worst_success {100 * worst:.4f} percent")
        click.echo(f"fairness_{label}_worst_p99 {slowest:.3f} ms")
    click.echo("\n| organisation | queue | offered | success % | p50 ms | p99 ms |")
    click.echo("|---" * 6 + "|")
    for name in SHARES:
        for label, found in results.items():
            one = found[name]
            title = f"{name} (5x)" if name == NOISY else name
            click.echo(
                f"| {title} | {label} | {one.offered} "
                f"| {100 * one.succeeded / one.offered:.3f} "
                f"| {one.p50_ms:.2f} | {one.p99_ms:.2f} |"
            )


if __name__ == "__main__":
    main()
