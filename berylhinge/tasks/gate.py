"""Let statements take turns at one upstream's slots."""

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

DETAILS = {
    RefusalReason.QUEUE_FULL: "the organisation's queue is the longest and is full",
    RefusalReason.DEADLINE_TOO_SHORT: "the queue is longer than the deadline allows",
}


class Ticket(NamedTuple):
    """Name a statement that holds a slot."""

    number: str


class Gate:
    """Queue statements fairly by organisation for a number of slots."""

    def __init__(
        self, slots: int, bound: int, weights: Mapping[OrganisationId, float]
    ) -> None:
        """Start empty."""
        self.state = AdmissionState(slots=slots, max_queued=bound, weights=weights)
        self.numbers = count(1)
        self.waiting: dict[str, AsyncResult] = {}

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
        self.start_next()

    def enter(
        self, organisation: OrganisationId, access: AccessMode, deadline: float
    ) -> Ticket:
        """Wait for a slot; raise RefusedError, not run."""
        number = str(next(self.numbers))
        turn = self.waiting[number] = AsyncResult()
        request = SlotRequest(number, organisation, access, deadline)
        self.tell_dropped(
            enqueue_request(self.state, request, time.monotonic()).dropped
        )
        self.start_next()
        try:
            reason = turn.get(timeout=max(0.0, deadline - time.monotonic()))
        except BaseException as error:
            self.withdraw(number)
            if not isinstance(error, gevent.Timeout):
                raise
            reason = RefusalReason.DEADLINE_TOO_SHORT
        if reason is not None:
            raise RefusedError(make_refusal(reason, DETAILS[reason]))
        return Ticket(number)

    def withdraw(self, number: str) -> None:
        """Take a statement out, whether it waits or has just got its slot."""
        self.waiting.pop(number, None)
        now = time.monotonic()
        if not cancel_request(self.state, number, now) and finish_request(
            self.state, number, now
        ):
            self.start_next()

    def leave(self, ticket: Ticket) -> None:
        """Free the slot and start whoever is due."""
        finish_request(self.state, ticket.number, time.monotonic())
        self.start_next()

    def abandon(self, ticket: Ticket) -> None:
        """Free the slot of a lost answer, whose time says nothing of others."""
        release_slot(self.state, ticket.number)
        self.start_next()

    def start_next(self) -> None:
        """Start statements while slots are free."""
        while True:
            started = start_request(self.state, time.monotonic())
            self.tell_dropped(started.dropped)
            if started.request is None:
                return
            turn = self.waiting.pop(started.request.request, None)
            if turn is not None:
                turn.set(None)

    def tell_dropped(self, dropped: tuple[DroppedRequest, ...]) -> None:
        """Wake the refused with their reason."""
        for one in dropped:
            turn = self.waiting.pop(one.request.request, None)
            if turn is not None:
                turn.set(one.reason)
