"""Order the units that wait for a slot of one database.

A database runs ``slots`` statements at a time. Statements of open transactions go
first, since they hold a connection; the others go by deadline (EDF; Liu and Layland,
1973), and those that are late already go after all that can still be in time.
"""

from __future__ import annotations

from heapq import heappop, heappush
from typing import NamedTuple, TYPE_CHECKING

if TYPE_CHECKING:
    from ...types import Seconds

# One statement more than there are slots keeps a slot from idling for a round trip.
READY_AHEAD = 1
# Weight of the newest running time in the average (EWMA).
TIME_WEIGHT = 0.1
# Assumed until the first statement has ended.
FIRST_SECONDS = 0.015


class Waiter(NamedTuple):
    """Describe a unit in the queue."""

    number: int
    pinned: bool
    goal_at: Seconds
    give_up_at: Seconds


class SlotQueue:
    """Hold one database's running and waiting units; changed in place."""

    __slots__ = ("gone", "heap", "mean_seconds", "numbers", "running", "slots")

    def __init__(self, slots: int) -> None:
        """Start idle."""
        self.slots = slots
        self.running = 0
        self.heap: list[tuple[tuple[int, float, int], Waiter]] = []
        self.gone: set[int] = set()
        self.numbers = 0
        self.mean_seconds = FIRST_SECONDS


def width(queue: SlotQueue) -> int:
    """Return how many statements may be under way at once."""
    return queue.slots + READY_AHEAD


def waiting(queue: SlotQueue) -> int:
    """Return how many units wait."""
    return len(queue.heap) - len(queue.gone)


def expected_wait(queue: SlotQueue) -> Seconds:
    """Return how long a unit that came now would wait for its turn."""
    ahead = waiting(queue) + max(0, queue.running - queue.slots + 1)
    return ahead * queue.mean_seconds / queue.slots


def enter(
    queue: SlotQueue,
    *,
    pinned: bool,
    goal_at: Seconds,
    give_up_at: Seconds,
    now: Seconds,
) -> Waiter | None:
    """Queue a unit; return None when it could not start in time."""
    if not pinned and now + expected_wait(queue) >= give_up_at:
        return None
    queue.numbers += 1
    waiter = Waiter(queue.numbers, pinned, goal_at, give_up_at)
    late = not pinned and goal_at <= now
    rank = 0 if pinned else 2 if late else 1
    heappush(queue.heap, ((rank, goal_at, waiter.number), waiter))
    return waiter


def leave(queue: SlotQueue, waiter: Waiter) -> None:
    """Take a waiting unit out."""
    queue.gone.add(waiter.number)


def start_next(queue: SlotQueue) -> Waiter | None:
    """Start the first waiting unit if a place is free."""
    while queue.heap and queue.running < width(queue):
        _, waiter = heappop(queue.heap)
        if waiter.number in queue.gone:
            queue.gone.discard(waiter.number)
            continue
        queue.running += 1
        return waiter
    return None


def finish(queue: SlotQueue, seconds: Seconds | None) -> None:
    """Free a place; learn from how long the statement ran, if it is known."""
    queue.running -= 1
    if seconds is not None:
        queue.mean_seconds += TIME_WEIGHT * (seconds - queue.mean_seconds)
