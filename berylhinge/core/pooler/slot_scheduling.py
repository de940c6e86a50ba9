"""Schedule the slots of one database by either kind of queue.

``SlotQueue`` orders by priority and latency goal, ``FairSlots`` also shares slot time
among organisations and refuses early.
"""

from __future__ import annotations

from functools import singledispatch
from typing import TYPE_CHECKING, TypeAlias

from . import fair_slots, running_times, slot_admission, slot_queue
from .fair_slots import FairSlots
from .slot_claims import SlotClaim, SlotRefusal
from .slot_queue import SlotQueue

if TYPE_CHECKING:
    from ...types import AccessMode, Seconds
    from .slot_classes import WaitingStatement
    from .slot_queue import QueuedStatement

    SlotScheduler: TypeAlias = SlotQueue | FairSlots
    SlotWaiter: TypeAlias = QueuedStatement | WaitingStatement


@singledispatch
def enqueue(
    queue: SlotScheduler, claim: SlotClaim, now: Seconds
) -> SlotWaiter | SlotRefusal:
    """Queue a statement, or refuse one that cannot be served in time."""
    raise TypeError(f"got {type(queue)}, expected a queue for slots")


@enqueue.register(SlotQueue)
def _(queue: SlotQueue, claim: SlotClaim, now: Seconds) -> SlotWaiter | SlotRefusal:
    waiter = slot_queue.enqueue(
        queue,
        pinned=claim.pinned,
        priority=claim.priority,
        goal_at=claim.goal_at,
        give_up_at=claim.give_up_at,
        now=now,
    )
    if waiter is not None:
        return waiter
    wait = slot_queue.expected_wait(queue)
    detail = f"{wait:.3f} s of expected wait is past the deadline"
    return SlotRefusal("queue-full", detail, wait)


@enqueue.register(FairSlots)
def _(queue: FairSlots, claim: SlotClaim, now: Seconds) -> SlotWaiter | SlotRefusal:
    return slot_admission.enqueue(queue, claim, now)


@singledispatch
def start_next(queue: SlotScheduler, now: Seconds) -> SlotWaiter | None:
    """Start the statement that is next if another one may be sent."""
    raise TypeError(f"got {type(queue)}, expected a queue for slots")


start_next.register(SlotQueue, slot_queue.start_next)
start_next.register(FairSlots, fair_slots.start_next)


@singledispatch
def take_refused(
    queue: SlotScheduler, now: Seconds
) -> list[tuple[WaitingStatement, SlotRefusal]]:
    """Remove the waiting statements that cannot end in time any more."""
    return []


take_refused.register(FairSlots, slot_admission.take_refused)


@singledispatch
def latest_start_at(queue: SlotScheduler, claim: SlotClaim) -> Seconds:
    """Return until when a statement waits for a slot."""
    return claim.give_up_at


latest_start_at.register(FairSlots, slot_admission.latest_start_at)


@singledispatch
def refuse_expired(queue: SlotScheduler, claim: SlotClaim, now: Seconds) -> SlotRefusal:
    """Return the refusal of a statement that waited for as long as it could."""
    return SlotRefusal("no-slot", "no slot became free in time")


refuse_expired.register(FairSlots, slot_admission.refuse_expired)


@singledispatch
def cancel(queue: SlotScheduler, waiter: SlotWaiter) -> None:
    """Take a waiting statement out of the queue."""
    raise TypeError(f"got {type(queue)}, expected a queue for slots")


cancel.register(SlotQueue, slot_queue.cancel)


@cancel.register(FairSlots)
def _(queue: FairSlots, waiter: WaitingStatement) -> None:
    fair_slots.remove_statement(queue, waiter)


@singledispatch
def finish_running(queue: SlotScheduler, number: int, seconds: Seconds | None) -> None:
    """End a running statement; ``seconds`` is its running time if it is known."""
    raise TypeError(f"got {type(queue)}, expected a queue for slots")


@finish_running.register(SlotQueue)
def _(queue: SlotQueue, number: int, seconds: Seconds | None) -> None:
    slot_queue.finish_running(queue, seconds)


finish_running.register(FairSlots, fair_slots.finish_running)


@singledispatch
def clear_waiting(queue: SlotScheduler) -> None:
    """Drop all waiting statements."""
    raise TypeError(f"got {type(queue)}, expected a queue for slots")


clear_waiting.register(SlotQueue, slot_queue.clear_waiting)
clear_waiting.register(FairSlots, fair_slots.clear_waiting)


@singledispatch
def waiting_count(queue: SlotScheduler) -> int:
    """Return how many statements wait."""
    raise TypeError(f"got {type(queue)}, expected a queue for slots")


waiting_count.register(SlotQueue, slot_queue.waiting_count)


@waiting_count.register(FairSlots)
def _(queue: FairSlots) -> int:
    return len(queue.waiting)


@singledispatch
def expected_wait(queue: SlotScheduler) -> Seconds:
    """Return the expected wait that other instances are told."""
    raise TypeError(f"got {type(queue)}, expected a queue for slots")


expected_wait.register(SlotQueue, slot_queue.expected_wait)
expected_wait.register(FairSlots, slot_admission.backlog_seconds)


@singledispatch
def answer_timeout(queue: SlotScheduler, priority: int, access: AccessMode) -> Seconds:
    """Return the time after which the answer to a read is taken as lost."""
    raise TypeError(f"got {type(queue)}, expected a queue for slots")


@answer_timeout.register(SlotQueue)
def _(queue: SlotQueue, priority: int, access: AccessMode) -> Seconds:
    return slot_queue.answer_timeout(queue)


@answer_timeout.register(FairSlots)
def _(queue: FairSlots, priority: int, access: AccessMode) -> Seconds:
    return running_times.answer_timeout(queue.times, priority, access)


@singledispatch
def mean_seconds(queue: SlotScheduler, claim: SlotClaim) -> Seconds:
    """Return the mean running time of statements like this one."""
    raise TypeError(f"got {type(queue)}, expected a queue for slots")


@mean_seconds.register(SlotQueue)
def _(queue: SlotQueue, claim: SlotClaim) -> Seconds:
    return queue.mean_seconds


@mean_seconds.register(FairSlots)
def _(queue: FairSlots, claim: SlotClaim) -> Seconds:
    found = running_times.running_time(queue.times, claim.priority, claim.access)
    return found.mean_seconds


@singledispatch
def learn_running_time(
    queue: SlotScheduler, claim: SlotClaim, seconds: Seconds
) -> None:
    """Learn the running time of a statement that does not count as running."""
    raise TypeError(f"got {type(queue)}, expected a queue for slots")


@learn_running_time.register(SlotQueue)
def _(queue: SlotQueue, claim: SlotClaim, seconds: Seconds) -> None:
    slot_queue.learn_running_time(queue, seconds)


@learn_running_time.register(FairSlots)
def _(queue: FairSlots, claim: SlotClaim, seconds: Seconds) -> None:
    running_times.record_running_time(
        queue.times, claim.priority, claim.access, seconds
    )
