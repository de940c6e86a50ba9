"""Order the statements that wait for a slot of one database.

A database runs ``slots`` statements at a time. Statements of open transactions go
first, since they hold a connection; the others go by priority and then by latency goal
(EDF; Liu and Layland, 1973). A statement that can no longer meet its goal goes after
all that can, newest last: under overload EDF alone would make every statement late.
"""

from __future__ import annotations

from collections import deque
from heapq import heappop, heappush
from typing import NamedTuple, TYPE_CHECKING

if TYPE_CHECKING:
    from ...types import Seconds

# Statements sent beyond the slots, so that no slot idles for a round trip.
STATEMENTS_BEYOND_SLOTS = 1
# Weight of the newest running time in the moving average (EWMA).
RUNNING_TIME_WEIGHT = 0.1
# Mean running time assumed until the first statement has ended.
INITIAL_MEAN_SECONDS = 0.015
# The answer to a read is taken as lost after this many mean running times.
LOST_ANSWER_MEANS = 12.0
LOST_ANSWER_MIN_SECONDS = 0.25


class QueuedStatement(NamedTuple):
    """Describe a queued statement; one of an open transaction is ``pinned``."""

    number: int
    pinned: bool
    priority: int
    goal_at: Seconds
    give_up_at: Seconds


class SlotQueue:
    """Count one database's running statements and queue the rest; changed in place."""

    __slots__ = (
        "dropped",
        "last_number",
        "late",
        "mean_seconds",
        "running",
        "slots",
        "timely",
    )

    def __init__(self, slots: int) -> None:
        """Start with no statement."""
        self.slots = slots
        self.running = 0
        self.timely: list[tuple[tuple[int, float, int], QueuedStatement]] = []
        self.late: deque[QueuedStatement] = deque()
        self.dropped: set[int] = set()
        self.last_number = 0
        self.mean_seconds = INITIAL_MEAN_SECONDS


def concurrency_limit(queue: SlotQueue) -> int:
    """Return how many statements may be sent and unanswered at once."""
    return queue.slots + STATEMENTS_BEYOND_SLOTS


def waiting_count(queue: SlotQueue) -> int:
    """Return how many statements wait."""
    return len(queue.timely) + len(queue.late) - len(queue.dropped)


def expected_wait(queue: SlotQueue) -> Seconds:
    """Return how long a statement that arrived now would wait to start."""
    ahead = waiting_count(queue) + max(0, queue.running - queue.slots + 1)
    return ahead * queue.mean_seconds / queue.slots


def answer_timeout(queue: SlotQueue) -> Seconds:
    """Return the time after which the answer to a read is taken as lost."""
    return max(LOST_ANSWER_MIN_SECONDS, queue.mean_seconds * LOST_ANSWER_MEANS)


def enqueue(
    queue: SlotQueue,
    *,
    pinned: bool,
    priority: int,
    goal_at: Seconds,
    give_up_at: Seconds,
    now: Seconds,
) -> QueuedStatement | None:
    """Queue a statement; return None if it could not start before ``give_up_at``."""
    if not pinned and now + expected_wait(queue) >= give_up_at:
        return None
    queue.last_number += 1
    waiter = QueuedStatement(queue.last_number, pinned, priority, goal_at, give_up_at)
    first = -1 if pinned else priority
    heappush(queue.timely, ((first, goal_at, waiter.number), waiter))
    return waiter


def cancel(queue: SlotQueue, waiter: QueuedStatement) -> None:
    """Take a waiting statement out of the queue."""
    queue.dropped.add(waiter.number)


def start_next(queue: SlotQueue, now: Seconds) -> QueuedStatement | None:
    """Start the first waiting statement if another one may be sent."""
    while queue.running < concurrency_limit(queue):
        waiter = _next_timely(queue, now)
        if waiter is None and queue.late:
            waiter = queue.late.popleft()
        if waiter is None:
            return None
        if waiter.number in queue.dropped:
            queue.dropped.discard(waiter.number)
            continue
        queue.running += 1
        return waiter
    return None


def _next_timely(queue: SlotQueue, now: Seconds) -> QueuedStatement | None:
    """Return the first statement that can meet its goal; set late ones aside."""
    while queue.timely:
        _, waiter = heappop(queue.timely)
        if waiter.pinned or now + queue.mean_seconds <= waiter.goal_at:
            return waiter
        queue.late.append(waiter)
    return None


def clear_waiting(queue: SlotQueue) -> None:
    """Drop all waiting statements."""
    queue.timely.clear()
    queue.late.clear()
    queue.dropped.clear()


def finish_running(queue: SlotQueue, seconds: Seconds | None) -> None:
    """End a running statement, and update the mean if its running time is known."""
    queue.running -= 1
    if seconds is not None:
        learn_running_time(queue, seconds)


def learn_running_time(queue: SlotQueue, seconds: Seconds) -> None:
    """Update the mean running time."""
    queue.mean_seconds += RUNNING_TIME_WEIGHT * (seconds - queue.mean_seconds)
