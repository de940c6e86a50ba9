from __future__ import annotations

from collections import Counter, defaultdict
from heapq import heappop, heappush
from random import Random
from typing import Any, NamedTuple

import pytest

from ....types import AccessMode
from .. import fair_slots, slot_admission
from ..fair_slots import FairSlots
from ..running_times import record_running_time, running_time
from ..slot_claims import SlotClaim, SlotRefusal
from ..slot_classes import WaitingStatement

READ, WRITE = AccessMode.READ, AccessMode.WRITE
SLOTS = 6


class Load(NamedTuple):
    """Describe callers that send statements of one kind at random for some time."""

    organisations: tuple[str, ...]
    rate: float
    priority: int = 0
    seconds: float = 0.011
    goal: float = 0.201
    timeout: float = 2.013
    begin: float = 0.0
    end: float = 5.0
    yields: bool = False


class Outcome:
    """Count what became of the statements of one organisation and priority."""

    def __init__(self) -> None:
        self.counts: Counter[str] = Counter()
        self.retry_after: list[float] = []
        self.refused_after: list[float] = []

    def part(self, name: str) -> float:
        return self.counts[name] / max(1, sum(self.counts.values()))


def claim_of(load: Load, organisation: str, now: float) -> SlotClaim:
    return SlotClaim(
        organisation,
        load.priority,
        READ,
        False,
        load.yields,
        now + load.goal,
        now + load.timeout,
    )


def simulate(
    loads: list[Load], *, seed: int = 1, new_holder_at: float | None = None
) -> dict[tuple[str, int], Outcome]:
    """Run loads on one database in virtual time; every statement is answered once."""
    rng, queue = Random(seed), FairSlots(SLOTS)
    outcomes: dict[tuple[str, int], Outcome] = defaultdict(Outcome)
    events: list[tuple[float, int, str, Any]] = []
    free_at = [0.0] * SLOTS
    seconds_of: dict[int, float] = {}
    answered: set[tuple[int, int]] = set()
    generation = 0
    for load in loads:
        now = load.begin
        while (now := now + rng.expovariate(load.rate)) < load.end:
            claim = claim_of(load, rng.choice(load.organisations), now)
            heappush(events, (now, len(events), "arrival", (claim, load.seconds)))
    if new_holder_at is not None:
        heappush(events, (new_holder_at, len(events), "change", None))
    sequence = len(events)

    def answer(number: int, claim: SlotClaim, kind: str) -> Outcome:
        assert (generation, number) not in answered
        answered.add((generation, number))
        outcome = outcomes[claim.organisation, claim.priority]
        outcome.counts[kind] += 1
        return outcome

    def refuse(
        number: int, claim: SlotClaim, refusal: SlotRefusal, after: float
    ) -> None:
        outcome = answer(number, claim, refusal.reason)
        outcome.retry_after.append(refusal.retry_after_seconds)
        outcome.refused_after.append(after)

    while events:
        now, _, kind, subject = heappop(events)
        if kind == "arrival":
            claim, seconds = subject
            found = slot_admission.enqueue(queue, claim, now)
            if isinstance(found, SlotRefusal):
                refuse(-sequence, claim, found, 0.0)
                sequence += 1
            else:
                seconds_of[found.number] = seconds * rng.uniform(0.7, 1.3)
                sequence += 1
                heappush(
                    events,
                    (
                        slot_admission.latest_start_at(queue, claim),
                        sequence,
                        "timer",
                        (generation, found),
                    ),
                )
        elif kind == "end" and subject[0] == generation:
            _, ended, seconds = subject
            fair_slots.finish_running(queue, ended.number, seconds)
            late = now > ended.claim.goal_at
            answer(ended.number, ended.claim, "late" if late else "timely")
        elif kind == "timer" and subject[0] == generation:
            expired = subject[1]
            if fair_slots.remove_statement(queue, expired):
                refusal = slot_admission.refuse_expired(queue, expired.claim, now)
                refuse(expired.number, expired.claim, refusal, now - expired.arrived_at)
        elif kind == "change":
            # The callers of the lost holder ask the new one again.
            lost = [*queue.waiting.values()]
            generation, queue, free_at = generation + 1, FairSlots(SLOTS), [now] * SLOTS
            for asked in lost:
                sequence += 1
                heappush(events, (now, sequence, "arrival", (asked.claim, 0.011)))
        while (waiter := fair_slots.start_next(queue, now)) is not None:
            at = max(now, heappop(free_at)) + seconds_of[waiter.number]
            heappush(free_at, at)
            sequence += 1
            end = (generation, waiter, seconds_of[waiter.number])
            heappush(events, (at, sequence, "end", end))
        for refused, refusal in slot_admission.take_refused(queue, now):
            refuse(refused.number, refused.claim, refusal, now - refused.arrived_at)
        busy = queue.running >= fair_slots.concurrency_limit(queue)
        assert busy or not queue.waiting
    assert not queue.waiting
    return outcomes


def total(outcomes: dict[tuple[str, int], Outcome], priority: int) -> Outcome:
    merged = Outcome()
    for (_, found), outcome in outcomes.items():
        if found == priority:
            merged.counts.update(outcome.counts)
            merged.retry_after += outcome.retry_after
            merged.refused_after += outcome.refused_after
    return merged


SMALL = tuple(f"small-{number}" for number in range(30))
# 30 small organisations ask for 60 % of the slot time.
USUAL = Load(SMALL, 0.6 * SLOTS / 0.011)
LOWEST = Load(SMALL, 1.0, priority=2, seconds=0.055, goal=1.501, timeout=8.007)


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_excess_of_one_organisation_costs_the_others_nothing(seed: int) -> None:
    # One organisation with two hundred callers asks for 90 % of the slot time.
    large = Load(("large",), 0.9 * SLOTS / 0.011)
    outcomes = simulate([USUAL, large], seed=seed)
    for name in SMALL:
        assert outcomes[name, 0].part("timely") >= 0.99, name
    found = outcomes["large", 0]
    assert found.part("over-share") > 0.2
    # The others leave it 40 % of the slots, which is 0.43 of what it asks for.
    assert found.part("timely") + found.part("late") > 0.4
    assert found.counts["timely"] > found.counts["late"]


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_a_burst_of_the_lowest_class_does_not_delay_the_highest(seed: int) -> None:
    burst = LOWEST._replace(rate=2.4 * 0.5 * SLOTS / 0.055, begin=1.0, end=4.0)
    outcomes = simulate([USUAL, burst], seed=seed)
    assert total(outcomes, 0).part("timely") >= 0.995
    lowest = total(outcomes, 2)
    assert lowest.part("timely") + lowest.part("late") > 0.6


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_a_burst_of_the_highest_class_leaves_the_lowest_its_floor(seed: int) -> None:
    burst = Load(SMALL, 1.5 * SLOTS / 0.011)
    lowest = LOWEST._replace(rate=0.05 * SLOTS / 0.055)
    outcomes = simulate([burst, lowest], seed=seed)
    found = total(outcomes, 2)
    assert found.part("timely") + found.part("late") > 0.6
    highest = total(outcomes, 0)
    # Early refusals keep what is served in time: overload alone must not make it late.
    assert highest.counts["timely"] > 0.8 * 5.0 * SLOTS / 0.011
    assert highest.counts["late"] < 0.2 * highest.counts["timely"]


def test_a_new_holder_starts_with_equal_shares() -> None:
    large = Load(("large",), 0.9 * SLOTS / 0.011)
    outcomes = simulate([USUAL, large], new_holder_at=2.5)
    for name in SMALL:
        assert outcomes[name, 0].part("timely") >= 0.97, name


def test_statements_that_are_all_late_are_still_served() -> None:
    late = USUAL._replace(goal=0.0)
    outcomes = simulate([late])
    assert total(outcomes, 0).part("late") >= 0.99


def test_nobody_is_refused_at_its_deadline_and_refusals_do_not_return_together() -> (
    None
):
    outcomes = simulate([Load(SMALL, 2.4 * SLOTS / 0.011)])
    found = total(outcomes, 0)
    assert len(found.refused_after) > 1000
    waits = sorted(found.refused_after)
    assert waits[len(waits) // 2] < 0.05
    assert waits[int(0.99 * len(waits))] < 0.8 * 2.013
    assert all(0.05 <= after <= 7.5 for after in found.retry_after)
    crowded = Counter(round(after, 3) for after in found.retry_after)
    assert crowded.most_common(1)[0][1] < 0.1 * len(found.retry_after)


def test_reads_for_replicas_yield_at_a_primary() -> None:
    reads = Load(SMALL, 0.8 * SLOTS / 0.011, yields=True, priority=1)
    outcomes = simulate([USUAL._replace(priority=2), reads])
    assert total(outcomes, 2).part("timely") >= 0.99
    assert total(outcomes, 1).counts["primary-busy"] > 0


def test_an_estimate_beyond_every_deadline_is_corrected() -> None:
    """Guards against a database that refuses everything after a slow minute."""
    queue, load = FairSlots(SLOTS), Load(SMALL, 1.0)
    for number in range(200):
        now = 1.0 + number * 0.1
        found = slot_admission.enqueue(queue, claim_of(load, SMALL[0], now), now)
        assert isinstance(found, WaitingStatement)
        assert fair_slots.start_next(queue, now) == found
        fair_slots.finish_running(queue, found.number, 9.0 if number < 50 else 0.011)
    expected = running_time(queue.times, 0, READ)
    assert expected.mean_seconds < 0.02


@pytest.mark.parametrize("seed", range(20))
def test_random_walk(seed: int) -> None:
    """Guards against starvation, idle slots, second answers and state that grows."""
    rng, queue, now = Random(seed), FairSlots(2), 0.0
    waiting: dict[int, WaitingStatement] = {}
    running: list[WaitingStatement] = []
    for _ in range(3000):
        now += rng.expovariate(100.0)
        roll = rng.random()
        if roll < 0.5:
            claim = SlotClaim(
                f"o{rng.randrange(9)}",
                rng.randrange(3),
                rng.choice((READ, WRITE)),
                rng.random() < 0.1,
                rng.random() < 0.2,
                now + rng.uniform(0.0, 0.3),
                now + rng.uniform(0.0, 1.0),
            )
            found = slot_admission.enqueue(queue, claim, now)
            if not isinstance(found, SlotRefusal):
                waiting[found.number] = found
        elif roll < 0.9 and running:
            ended = running.pop(rng.randrange(len(running)))
            seconds = rng.choice((None, rng.uniform(0.0, 0.1)))
            fair_slots.finish_running(queue, ended.number, seconds)
        elif roll < 0.93 and waiting:
            _, cancelled = waiting.popitem()
            assert fair_slots.remove_statement(queue, cancelled)
            assert not fair_slots.remove_statement(queue, cancelled)
        elif roll < 0.931:
            fair_slots.clear_waiting(queue)
            waiting.clear()
        while (started := fair_slots.start_next(queue, now)) is not None:
            assert waiting.pop(started.number) == started
            running.append(started)
        for refused, refusal in slot_admission.take_refused(queue, now):
            assert waiting.pop(refused.number) == refused
            assert refusal.retry_after_seconds > 0.0
        assert queue.waiting == waiting
        assert queue.running == len(running)
        assert len(running) == 3 or not waiting
        assert len(queue.checks) <= 2 * len(waiting) + 64
        assert all(len(entry.organisations) <= 9 for entry in queue.classes.values())
    for _ in range(100):
        now += 1.0
        slot_admission.take_refused(queue, now)
    assert not queue.waiting
    for ended in running:
        fair_slots.finish_running(queue, ended.number, 0.01)
    assert not any(entry.organisations for entry in queue.classes.values())


def test_a_kind_that_was_slow_recovers_while_others_keep_the_slots_full() -> None:
    """Guards the highest class against being refused for as long as a load lasts."""
    queue, rng = FairSlots(SLOTS), Random("recovery")
    for _number in range(50):
        record_running_time(queue.times, 0, WRITE, 2.2)
    urgent = Load(SMALL, 8.0, priority=0, seconds=0.004, timeout=1.1)
    reads = Load(SMALL, 1.6 * SLOTS / 0.055, priority=2, seconds=0.055, timeout=8.0)
    moments = [
        (number / load.rate, load, access)
        for load, access in ((urgent, WRITE), (reads, READ))
        for number in range(int(20.0 * load.rate))
    ]
    ends: list[tuple[float, int, float]] = []
    served = refused = 0

    def start_waiting(now: float) -> None:
        nonlocal served
        while (found := fair_slots.start_next(queue, now)) is not None:
            is_urgent = found.claim.priority == 0
            seconds = urgent.seconds if is_urgent else reads.seconds
            served += is_urgent
            heappush(ends, (now + seconds, found.number, seconds))

    for now, load, access in sorted(moments, key=lambda moment: moment[0]):
        while ends and ends[0][0] <= now:
            at, number, seconds = heappop(ends)
            fair_slots.finish_running(queue, number, seconds)
            start_waiting(at)
        slot_admission.take_refused(queue, now)
        claim = claim_of(load, rng.choice(SMALL), now)._replace(access=access)
        found = slot_admission.enqueue(queue, claim, now)
        refused += isinstance(found, SlotRefusal) and load is urgent
        start_waiting(now)
    assert served > 100
    assert refused < 20
