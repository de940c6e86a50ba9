from __future__ import annotations

import pytest

from .. import queueing
from ..queueing import SlotQueue


def fill(queue: SlotQueue, *units: tuple[str, bool, int, float]) -> dict[int, str]:
    names = {}
    for name, pinned, priority, goal_at in units:
        waiter = queueing.enter(
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


def drain(queue: SlotQueue, names: dict[int, str], now: float) -> list[str]:
    order = []
    while waiter := queueing.start_next(queue, now):
        order.append(names[waiter.number])
        queueing.finish(queue, None)
    return order


@pytest.mark.parametrize(
    ("units", "now", "order"),
    [
        (
            # Pattern: one kind has short goals, the other long ones.
            [("slow", False, 2, 0.4), ("quick", False, 2, 0.2)],
            0.0,
            ["quick", "slow"],
        ),
        (
            # Pattern: urgent work arrives behind a queue of less urgent work.
            [("plain", False, 2, 0.2), ("urgent", False, 1, 0.3)],
            0.0,
            ["urgent", "plain"],
        ),
        (
            # Pattern: open transactions hold connections that others wait for.
            [("urgent", False, 0, 0.1), ("open", True, 2, 0.4)],
            0.0,
            ["open", "urgent"],
        ),
        (
            # Pattern: overload after an outage; those that are late anyway must not
            # make the ones after them late too.
            [("late", False, 1, 0.2), ("later", False, 1, 0.3), ("ok", False, 2, 2.0)],
            1.0,
            ["ok", "late", "later"],
        ),
    ],
)
def test_order(
    units: list[tuple[str, bool, int, float]], now: float, order: list[str]
) -> None:
    queue = SlotQueue(1)
    assert drain(queue, fill(queue, *units), now) == order


def test_no_more_start_than_slots_and_one_ahead() -> None:
    queue = SlotQueue(2)
    fill(queue, *((str(number), False, 1, 1.0) for number in range(5)))
    started = 0
    while queueing.start_next(queue, 0.0):
        started += 1
    assert started == 3
    assert queueing.waiting(queue) == 2


def test_unit_that_cannot_start_in_time_is_refused_at_once() -> None:
    queue = SlotQueue(1)
    queue.mean_seconds = 0.5
    fill(queue, ("first", False, 1, 9.0), ("second", False, 1, 9.0))
    refused = queueing.enter(
        queue, pinned=False, priority=1, goal_at=0.2, give_up_at=0.4, now=0.0
    )
    assert refused is None


def test_unit_that_left_is_not_started() -> None:
    queue = SlotQueue(1)
    waiter = queueing.enter(
        queue, pinned=False, priority=1, goal_at=1.0, give_up_at=2.0, now=0.0
    )
    assert waiter is not None
    queueing.leave(queue, waiter)
    assert queueing.start_next(queue, 0.0) is None
    assert queueing.waiting(queue) == 0
