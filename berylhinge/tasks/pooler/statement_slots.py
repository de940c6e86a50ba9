"""Give the slots of one database to the statements that wait for them."""

from __future__ import annotations

from typing import TYPE_CHECKING

from gevent.event import AsyncResult

from ...core.pooler import slot_queue
from ..clock import now_seconds

if TYPE_CHECKING:
    from ...core.pooler.slot_queue import QueuedStatement
    from ...types import Seconds


class StatementSlots:
    """Own the queue for the slots of one database, and wake those that wait in it."""

    def __init__(self, slots: int) -> None:
        """Start with all slots free."""
        self.queue = slot_queue.SlotQueue(slots)
        self.slot_waiters: dict[int, AsyncResult] = {}

    def remove_waiter(self, waiter: QueuedStatement, slot_given: AsyncResult) -> None:
        """Remove a waiter from the queue, or free the slot that it was just given."""
        if self.slot_waiters.pop(waiter.number, None) is not None:
            slot_queue.cancel(self.queue, waiter)
        elif slot_given.ready() and slot_given.value:
            self.release_slot(None)

    def assign_free_slots(self) -> None:
        """Give free slots to the waiting statements."""
        while (waiter := slot_queue.start_next(self.queue, now_seconds())) is not None:
            slot_given = self.slot_waiters.pop(waiter.number, None)
            if slot_given is None:
                slot_queue.finish_running(self.queue, None)
            else:
                slot_given.set(True)

    def release_slot(self, seconds: Seconds | None) -> None:
        """Free a slot and give it to the next waiting statement."""
        slot_queue.finish_running(self.queue, seconds)
        self.assign_free_slots()

    def reject_waiters(self) -> None:
        """Fail the statements that wait for a slot; they may be tried elsewhere."""
        waiters, self.slot_waiters = self.slot_waiters, {}
        slot_queue.clear_waiting(self.queue)
        for slot_given in waiters.values():
            slot_given.set(False)
