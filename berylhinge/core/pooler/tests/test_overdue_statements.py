"""Load pattern: a primary runs its statements, and a part of its answers is lost."""

from __future__ import annotations

from heapq import heappop, heappush
from random import Random

import pytest

from ....types import AccessMode
from .. import slot_scheduling
from ..fair_slots import FairSlots
from ..overdue_statements import (
    OVERDUE_MIN_SECONDS,
    OverdueStatements,
    record_end,
    record_start,
    take_overdue,
)
from ..slot_claims import SlotClaim, SlotRefusal
from ..slot_queue import SlotQueue

RUN_SECONDS = 0.011
GOAL_SECONDS = 0.2
BUDGET_SECONDS = 1.0
SLOTS = 4
MOST_FREED = 12
STATEMENTS = 400
STEP_SECONDS = 0.1


def make_claim(now: float) -> SlotClaim:
    goal_at, give_up_at = now + GOAL_SECONDS, now + BUDGET_SECONDS
    return SlotClaim("o", 0, AccessMode.WRITE, False, False, goal_at, give_up_at)


def serve_timely(
    queue: SlotQueue | FairSlots, lost_part: float, *, frees_overdue: bool
) -> float:
    """Return the part of the answers not lost that came within the goal."""
    rng, statements = Random("lost-answers"), OverdueStatements()
    events: list[tuple[float, str, int]] = []
    asked_at: dict[int, float] = {}
    now, timely, answered = 0.0, 0, 0

    def start_statements() -> None:
        while (waiter := slot_scheduling.start_next(queue, now)) is not None:
            if waiter.number not in asked_at:
                continue
            record_start(statements, waiter.number, make_claim(now), now)
            is_lost = rng.random() < lost_part
            deadline = asked_at[waiter.number] + BUDGET_SECONDS
            ends_at = deadline if is_lost else now + RUN_SECONDS
            heappush(events, (ends_at, "lost" if is_lost else "end", waiter.number))

    for number in range(STATEMENTS):
        heappush(events, (number / 50, "ask", number))
    for number in range(100):
        heappush(events, (number * STEP_SECONDS, "step", number))
    while events:
        now, event, number = heappop(events)
        if event == "ask":
            waiter = slot_scheduling.enqueue(queue, make_claim(now), now)
            if not isinstance(waiter, SlotRefusal):
                asked_at[waiter.number] = now
        elif event == "step":
            slot_scheduling.take_refused(queue, now)
            overdue = take_overdue(
                statements,
                mean_seconds=lambda claim: slot_scheduling.mean_seconds(queue, claim),
                most=MOST_FREED,
                now=now,
            )
            for each in overdue if frees_overdue else ():
                slot_scheduling.finish_running(queue, each, None)
        else:
            seconds = RUN_SECONDS if event == "end" else None
            freed = record_end(statements, number, is_answered=event == "end")
            if freed is None or not frees_overdue:
                slot_scheduling.finish_running(queue, number, seconds)
            answered += event == "end"
            timely += event == "end" and now - asked_at[number] <= GOAL_SECONDS
        start_statements()
    return timely / (STATEMENTS * (1.0 - lost_part))


@pytest.mark.parametrize("kind", [SlotQueue, FairSlots])
@pytest.mark.parametrize("lost_part", [0.2, 0.3])
def test_lost_answers_do_not_take_the_slots(
    kind: type[SlotQueue] | type[FairSlots], lost_part: float
) -> None:
    # Each lost answer took a slot until the statement's deadline, so that up to half of
    # the statements whose answers were not lost were late or refused.
    assert serve_timely(kind(SLOTS), lost_part, frees_overdue=False) < 0.7
    assert serve_timely(kind(SLOTS), lost_part, frees_overdue=True) > 0.9


@pytest.mark.parametrize(("is_answering", "freed"), [(True, MOST_FREED), (False, 0)])
def test_a_database_that_stalls_gets_no_more_statements(
    is_answering: bool, freed: int
) -> None:
    statements = OverdueStatements()
    for number in range(20):
        record_start(statements, number, make_claim(0.0), 0.0)
    record_start(statements, 20, make_claim(1.0), 1.0)
    record_end(statements, 20, is_answered=is_answering)
    overdue = take_overdue(
        statements, mean_seconds=lambda claim: 0.01, most=MOST_FREED, now=5.0
    )
    assert overdue == list(range(freed))
    assert not take_overdue(
        statements, mean_seconds=lambda claim: 0.01, most=MOST_FREED, now=9.0
    )


@pytest.mark.parametrize(
    ("mean", "age", "is_overdue"),
    [
        (0.004, OVERDUE_MIN_SECONDS - 0.01, False),
        (0.004, OVERDUE_MIN_SECONDS, True),
        # A database that is slow is not one that loses answers.
        (0.06, 0.3, False),
        (0.06, 0.37, True),
    ],
)
def test_a_statement_is_overdue_by_its_kind(
    mean: float, age: float, is_overdue: bool
) -> None:
    statements = OverdueStatements()
    record_start(statements, 1, make_claim(0.0), 0.0)
    record_start(statements, 2, make_claim(0.0), 0.01)
    record_end(statements, 2, is_answered=True)
    overdue = take_overdue(
        statements, mean_seconds=lambda claim: mean, most=MOST_FREED, now=age
    )
    assert overdue == ([1] if is_overdue else [])
