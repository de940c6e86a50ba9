"""Give the slots of one database to the statements that wait for them."""

from __future__ import annotations

from functools import partial
from typing import TYPE_CHECKING

from gevent.event import AsyncResult

from ...core.pooler import slot_scheduling
from ...core.pooler.fair_slots import FairSlots
from ...core.pooler.overdue_statements import (
    OverdueStatements,
    record_end,
    record_start,
    take_overdue,
)
from ...core.pooler.slot_claims import SlotRefusal
from ...core.pooler.slot_queue import SlotQueue
from ..clock import now_seconds

if TYPE_CHECKING:
    from collections.abc import Callable

    from ...core.pooler.slot_claims import SlotClaim
    from ...core.pooler.slot_scheduling import SlotScheduler, SlotWaiter
    from ...types import AccessMode, Seconds


class StatementSlots:
    """Own the queue for the slots of one database, and wake those that wait in it."""

    def __init__(self, slots: int, *, shares_fairly: bool = False) -> None:
        """Start with all slots free."""
        self.shares_fairly = shares_fairly
        self.queue: SlotScheduler = (
            FairSlots(slots) if shares_fairly else SlotQueue(slots)
        )
        self.slot_waiters: dict[int, AsyncResult] = {}
        self.statements = OverdueStatements()
        # How to end running statements that commit nothing, so that they are repeated.
        self.abandon: dict[int, Callable[[], None]] = {}

    @property
    def unanswered(self) -> int:
        """Return how many statements run or wait for an answer that may be lost."""
        return self.queue.running + len(self.statements.freed)

    def wait_for_slot(
        self, claim: SlotClaim, arrived_at: Seconds
    ) -> SlotWaiter | SlotRefusal | None:
        """Wait for a slot; return a refusal, or None when the waiters were rejected."""
        waiter = slot_scheduling.enqueue(self.queue, claim, arrived_at)
        if isinstance(waiter, SlotRefusal):
            return waiter
        slot_given = self.slot_waiters[waiter.number] = AsyncResult()
        self.assign_free_slots()
        found: bool | SlotRefusal | None = None
        try:
            until = slot_scheduling.latest_start_at(self.queue, claim)
            found = slot_given.wait(max(0.0, until - now_seconds()))
        finally:
            if found is None:
                self.remove_waiter(waiter, slot_given)
        if isinstance(found, SlotRefusal):
            return found
        if found is None:
            return slot_scheduling.refuse_expired(self.queue, claim, now_seconds())
        if not found:
            return None
        record_start(self.statements, waiter.number, claim, now_seconds())
        return waiter

    def remove_waiter(self, waiter: SlotWaiter, slot_given: AsyncResult) -> None:
        """Remove a waiter from the queue, or free the slot that it was just given."""
        if self.slot_waiters.pop(waiter.number, None) is not None:
            slot_scheduling.cancel(self.queue, waiter)
        elif slot_given.ready() and slot_given.value is True:
            self.release_slot(waiter, None)

    def assign_free_slots(self) -> None:
        """Give free slots to the waiting statements, and refuse hopeless ones."""
        while (
            waiter := slot_scheduling.start_next(self.queue, now_seconds())
        ) is not None:
            slot_given = self.slot_waiters.pop(waiter.number, None)
            if slot_given is None:
                slot_scheduling.finish_running(self.queue, waiter.number, None)
            else:
                slot_given.set(True)
        self.refuse_hopeless()

    def refuse_hopeless(self) -> None:
        """Refuse the waiting statements that cannot end in time any more."""
        for waiter, refusal in slot_scheduling.take_refused(self.queue, now_seconds()):
            slot_given = self.slot_waiters.pop(waiter.number, None)
            if slot_given is not None:
                slot_given.set(refusal)

    def release_slot(self, waiter: SlotWaiter, seconds: Seconds | None) -> None:
        """Free a slot and give it to the next waiting statement."""
        self.abandon.pop(waiter.number, None)
        freed = record_end(
            self.statements, waiter.number, is_answered=seconds is not None
        )
        if freed is None:
            slot_scheduling.finish_running(self.queue, waiter.number, seconds)
            self.assign_free_slots()
        elif seconds is not None:
            slot_scheduling.learn_running_time(self.queue, freed, seconds)

    def free_overdue(self, most: int) -> int:
        """Free the slots of statements whose answers are probably lost; count them.

        Those that commit nothing fail at once.
        """
        overdue = take_overdue(
            self.statements,
            mean_seconds=partial(slot_scheduling.mean_seconds, self.queue),
            most=most,
            now=now_seconds(),
        )
        for number in overdue:
            slot_scheduling.finish_running(self.queue, number, None)
            if number in self.abandon:
                self.abandon[number]()
        if overdue:
            self.assign_free_slots()
        return len(overdue)

    def reject_waiters(self) -> None:
        """Fail the statements that wait for a slot; they may be tried elsewhere."""
        waiters, self.slot_waiters = self.slot_waiters, {}
        slot_scheduling.clear_waiting(self.queue)
        for slot_given in waiters.values():
            slot_given.set(False)

    def expected_wait(self) -> Seconds:
        """Return the expected wait that other instances are told."""
        return slot_scheduling.expected_wait(self.queue)

    def answer_timeout(self, priority: int, access: AccessMode) -> Seconds:
        """Return the time after which the answer to a read is taken as lost."""
        return slot_scheduling.answer_timeout(self.queue, priority, access)
