from __future__ import annotations

import pytest

from .. import slot_queue
from ..slot_queue import SlotQueue


def enqueue_all(
    queue: SlotQueue, *statements: tuple[str, bool, int, float]
) -> dict[int, str]:
    names = {}
    for name, pinned, priority, goal_at in statements:
        waiter = slot_queue.enqueue(
            queue,
            pinned=pinned,
            priority=priority,
            goal_at=goal_at,
            give_up_at=100.0,
            now=0.0,
        )
        assert waiter is not None
        names[waiter.number] = name
    return names


def run_all(queue: SlotQueue, names: dict[int, str], now: float) -> list[str]:
    order = []
    while waiter := slot_queue.start_next(queue, now):
        order.append(names[waiter.number])
        slot_queue.finish_running(queue, None)
    return order


@pytest.mark.parametrize(
    ("statements", "now", "order"),
    [
        (
            # Statements with shorter and longer latency goals.
            [("slow", False, 2, 0.4), ("quick", False, 2, 0.2)],
            0.0,
            ["quick", "slow"],
        ),
        (
            # Urgent work arrives behind a queue of less urgent work.
            [("plain", False, 2, 0.2), ("urgent", False, 1, 0.3)],
            0.0,
            ["urgent", "plain"],
        ),
        (
            # Open transactions hold connections that other statements wait for.
            [("urgent", False, 0, 0.1), ("open", True, 2, 0.4)],
            0.0,
            ["open", "urgent"],
        ),
        (
            # Overload after an outage: statements that are late anyway must
            # not make later ones late too.
            [("late", False, 1, 0.2), ("later", False, 1, 0.3), ("ok", False, 2, 2.0)],
            1.0,
            ["ok", "late", "later"],
        ),
    ],
)
def test_order(
    statements: list[tuple[str, bool, int, float]], now: float, order: list[str]
) -> None:
    queue = SlotQueue(1)
    assert run_all(queue, enqueue_all(queue, *statements), now) == order


def test_one_statement_more_than_slots_is_started() -> None:
    queue = SlotQueue(2)
    enqueue_all(queue, *((str(number), False, 1, 1.0) for number in range(5)))
    started = 0
    while slot_queue.start_next(queue, 0.0):
        started += 1
    assert started == 3
    assert slot_queue.waiting_count(queue) == 2


def test_statement_that_cannot_start_in_time_is_refused_at_once() -> None:
    queue = SlotQueue(1)
    queue.mean_seconds = 0.5
    enqueue_all(queue, ("first", False, 1, 9.0), ("second", False, 1, 9.0))
    refused = slot_queue.enqueue(
        queue, pinned=False, priority=1, goal_at=0.2, give_up_at=0.4, now=0.0
    )
    assert refused is None


def test_cancelled_statement_is_not_started() -> None:
    queue = SlotQueue(1)
    waiter = slot_queue.enqueue(
        queue, pinned=False, priority=1, goal_at=1.0, give_up_at=2.0, now=0.0
    )
    assert waiter is not None
    slot_queue.cancel(queue, waiter)
    assert slot_queue.start_next(queue, 0.0) is None
    assert slot_queue.waiting_count(queue) == 0
