"""Queue statements for one upstream's slots."""

from __future__ import annotations

import time
from itertools import count
from typing import NamedTuple, TYPE_CHECKING

import gevent
from gevent.event import AsyncResult

from ..core.fair_queue import (
    AdmissionState,
    cancel_request,
    enqueue_request,
    finish_request,
    release_slot,
    resize_slots,
    SlotRequest,
    start_request,
)
from ..errors import make_refusal, RefusedError
from ..reasons import RefusalReason

if TYPE_CHECKING:
    from collections.abc import Mapping

    from ..core.fair_queue import DroppedRequest
    from ..types import AccessMode, OrganisationId

REFUSAL_DETAILS = {
    RefusalReason.QUEUE_FULL: (
        "the queue is full and the organisation has the largest share of it"
    ),
    RefusalReason.DEADLINE_TOO_SHORT: "the queue is longer than the deadline allows",
}


class SlotTicket(NamedTuple):
    """Identify a statement that holds a slot."""

    request_number: str


class FairSemaphore:
    """Grant a number of slots to statements, fairly by organisation."""

    def __init__(
        self, slots: int, max_queued: int, weights: Mapping[OrganisationId, float]
    ) -> None:
        """Start with an empty queue."""
        self.state = AdmissionState(slots=slots, max_queued=max_queued, weights=weights)
        self.request_numbers = count(1)
        self.waiters: dict[str, AsyncResult] = {}

    @property
    def in_flight(self) -> int:
        """Return how many statements run or wait."""
        return len(self.state.running) + self.state.queued_count

    @property
    def slots(self) -> int:
        """Return the number of slots."""
        return self.state.slots

    def resize(self, slots: int) -> None:
        """Change the number of slots."""
        resize_slots(self.state, slots)
        self.start_queued()

    def acquire(
        self, organisation: OrganisationId, access: AccessMode, deadline: float
    ) -> SlotTicket:
        """Wait for a slot; raise RefusedError, with outcome not run."""
        number = str(next(self.request_numbers))
        waiter = self.waiters[number] = AsyncResult()
        request = SlotRequest(number, organisation, access, deadline)
        self.notify_dropped(
            enqueue_request(self.state, request, time.monotonic()).dropped
        )
        self.start_queued()
        try:
            reason = waiter.get(timeout=max(0.0, deadline - time.monotonic()))
        except BaseException as error:
            self.cancel_request(number)
            if not isinstance(error, gevent.Timeout):
                raise
            reason = RefusalReason.DEADLINE_TOO_SHORT
        if reason is not None:
            raise RefusedError(make_refusal(reason, REFUSAL_DETAILS[reason]))
        return SlotTicket(number)

    def cancel_request(self, number: str) -> None:
        """Cancel a waiting statement, or free the slot that it has just received."""
        self.waiters.pop(number, None)
        now = time.monotonic()
        if not cancel_request(self.state, number, now) and finish_request(
            self.state, number, now
        ):
            self.start_queued()

    def release(self, ticket: SlotTicket) -> None:
        """Free the slot and start queued statements."""
        finish_request(self.state, ticket.request_number, time.monotonic())
        self.start_queued()

    def release_unmeasured(self, ticket: SlotTicket) -> None:
        """Free the slot of a statement whose answer was lost.

        Its slot time tells nothing about other statements and is not measured.
        """
        release_slot(self.state, ticket.request_number)
        self.start_queued()

    def start_queued(self) -> None:
        """Start queued statements while slots are free."""
        while True:
            started = start_request(self.state, time.monotonic())
            self.notify_dropped(started.dropped)
            if started.request is None:
                return
            waiter = self.waiters.pop(started.request.request, None)
            if waiter is not None:
                waiter.set(None)

    def notify_dropped(self, dropped: tuple[DroppedRequest, ...]) -> None:
        """Wake the statements that were refused, with the reason."""
        for dropped_request in dropped:
            waiter = self.waiters.pop(dropped_request.request.request, None)
            if waiter is not None:
                waiter.set(dropped_request.reason)
