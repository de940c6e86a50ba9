"""Queue requests for slots, fair by organisation and aware of cost and deadline.

Start-time fair queueing (Goyal, Vin and Cheng, 1996). The length of a request is the
mean slot time of its access, read or write, estimated by EWMA; when the request
finishes, its charge is corrected to the time for which it held the slot.
"""

from __future__ import annotations

from collections import deque
from heapq import heappop, heappush
from typing import NamedTuple, TYPE_CHECKING, TypeAlias

from ..reasons import RefusalReason
from ..types import AccessMode

if TYPE_CHECKING:
    from collections.abc import Mapping

    from ..types import OrganisationId, RequestId, Seconds

SLOT_TIME_EWMA_WEIGHT = 0.05
INITIAL_SLOT_SECONDS = {AccessMode.READ: 0.002, AccessMode.WRITE: 0.005}
MIN_SLOT_SECONDS = 1e-5


class SlotRequest(NamedTuple):
    """Describe one request for a slot, with its deadline on the local clock."""

    request: RequestId
    organisation: OrganisationId
    access: AccessMode
    deadline: Seconds


class DroppedRequest(NamedTuple):
    """Describe a request that was refused before it started, so none of it has run."""

    request: SlotRequest
    reason: RefusalReason


class EnqueueResult(NamedTuple):
    """Carry whether the request was queued, and each request refused in the process."""

    queued: bool
    dropped: tuple[DroppedRequest, ...] = ()


class StartResult(NamedTuple):
    """Carry the request that got a slot, and those refused for too short a deadline."""

    request: SlotRequest | None
    dropped: tuple[DroppedRequest, ...] = ()


class SlotTimeEstimate:
    """Represent the estimated mean slot time of one access, in seconds."""

    __slots__ = ("mean_seconds",)

    def __init__(self, mean: Seconds) -> None:
        """Start from an initial estimate."""
        self.mean_seconds = mean


class OrganisationQueue:
    """Represent one organisation's requests in order of arrival.

    ``queue`` includes cancelled requests that are still to be removed.
    ``queued_seconds`` is the estimated slot time of waiting requests, ``finish_tag``
    the finish tag of the last started request, ``min_start_tag`` the lowest start tag
    that the first request may get, and ``head_version`` the number of its valid tag.
    """

    __slots__ = (
        "finish_tag",
        "head_version",
        "min_start_tag",
        "queue",
        "queued_count",
        "queued_seconds",
        "weight",
    )

    def __init__(self, weight: float) -> None:
        """Start with an empty queue."""
        self.queue: deque[SlotRequest] = deque()
        self.queued_count = 0
        self.queued_seconds = 0.0
        self.finish_tag = 0.0
        self.min_start_tag = 0.0
        self.head_version = 0
        self.weight = weight


class QueuedRequest(NamedTuple):
    """Represent a waiting request's organisation and estimated slot time."""

    organisation: OrganisationId
    charged_seconds: Seconds


class RunningRequest(NamedTuple):
    """Represent a running request, its start and its charge in seconds."""

    request: SlotRequest
    started_at: Seconds
    charged_seconds: Seconds


QueueHead: TypeAlias = tuple[float, int, "OrganisationId"]


class AdmissionState:
    """Represent the queue of one pool of slots; changed in place.

    ``max_queued`` is the maximum number of waiting requests, ``cancelled_ids`` the
    cancelled ones whose queue entries are still to be removed, ``head_heap`` a heap of
    first requests by start tag, ``longest_heap`` a heap of organisations by queued time
    for their weight, and ``queued_seconds`` the estimated slot time of all waiting
    requests.
    """

    __slots__ = (
        "active_weight",
        "cancelled_ids",
        "head_heap",
        "longest_heap",
        "max_queued",
        "queued",
        "queued_count",
        "queued_seconds",
        "queues",
        "running",
        "slot_times",
        "slots",
        "virtual_time",
        "weights",
    )

    def __init__(
        self,
        *,
        slots: int,
        max_queued: int,
        weights: Mapping[OrganisationId, float] | None = None,
    ) -> None:
        """Start with an empty queue; an organisation without a weight has weight 1."""
        self.slots = slots
        self.max_queued = max_queued
        self.weights = dict(weights or {})
        self.queues: dict[OrganisationId, OrganisationQueue] = {}
        self.queued: dict[RequestId, QueuedRequest] = {}
        self.cancelled_ids: set[RequestId] = set()
        self.running: dict[RequestId, RunningRequest] = {}
        self.head_heap: list[QueueHead] = []
        self.longest_heap: list[tuple[float, OrganisationId]] = []
        self.slot_times = {
            access: SlotTimeEstimate(seconds)
            for access, seconds in INITIAL_SLOT_SECONDS.items()
        }
        self.virtual_time = 0.0
        self.queued_count = 0
        self.queued_seconds = 0.0
        self.active_weight = 0.0


def enqueue_request(
    state: AdmissionState, request: SlotRequest, now: Seconds
) -> EnqueueResult:
    """Queue a request unless it cannot finish in time.

    With a full queue, the last request of the organisation with most queued time for
    its weight is refused; this may be the new request.
    """
    queue = _get_queue(state, request.organisation)
    cost = state.slot_times[request.access].mean_seconds
    if now + expected_wait(state, queue) + cost > request.deadline:
        return _refuse(request, RefusalReason.DEADLINE_TOO_SHORT)
    dropped: tuple[DroppedRequest, ...] = ()
    if state.queued_count >= state.max_queued:
        longest = _find_longest(state, queue, request.organisation, cost)
        if longest is queue:
            return _refuse(request, RefusalReason.QUEUE_FULL)
        last = _pop_last(state, longest)
        dropped = (DroppedRequest(last, RefusalReason.QUEUE_FULL),)
    queue.queue.append(request)
    state.queued[request.request] = QueuedRequest(request.organisation, cost)
    _count_queued(state, queue, cost)
    if queue.queued_count == 1:
        _tag_new_head(state, request.organisation, queue)
    heappush(
        state.longest_heap, (-queue.queued_seconds / queue.weight, request.organisation)
    )
    return EnqueueResult(True, dropped)


def start_request(state: AdmissionState, now: Seconds) -> StartResult:
    """Start the request with the lowest start tag if a slot is free."""
    dropped: list[DroppedRequest] = []
    while len(state.running) < state.slots and state.queued_count:
        start, version, organisation = heappop(state.head_heap)
        queue = state.queues[organisation]
        if version != queue.head_version or not queue.queued_count:
            continue
        request = _pop_first(state, queue)
        cost = state.slot_times[request.access].mean_seconds
        if now + cost > request.deadline:
            dropped.append(DroppedRequest(request, RefusalReason.DEADLINE_TOO_SHORT))
            _tag_new_head(state, organisation, queue)
            continue
        state.virtual_time = max(state.virtual_time, start)
        queue.finish_tag = start + cost / queue.weight
        state.running[request.request] = RunningRequest(request, now, cost)
        _tag_new_head(state, organisation, queue)
        return StartResult(request, tuple(dropped))
    return StartResult(None, tuple(dropped))


def finish_request(state: AdmissionState, request: RequestId, now: Seconds) -> bool:
    """Free the slot, update the mean slot time and correct the charge.

    Return false if the request is not running.
    """
    running = state.running.pop(request, None)
    if running is None:
        return False
    held_seconds = max(MIN_SLOT_SECONDS, now - running.started_at)
    estimate = state.slot_times[running.request.access]
    estimate.mean_seconds += SLOT_TIME_EWMA_WEIGHT * (
        held_seconds - estimate.mean_seconds
    )
    queue = state.queues[running.request.organisation]
    queue.finish_tag = max(
        0.0, queue.finish_tag + (held_seconds - running.charged_seconds) / queue.weight
    )
    _retag_head(state, running.request.organisation, queue)
    return True


def release_slot(state: AdmissionState, request: RequestId) -> bool:
    """Free the slot of a request whose answer was lost; keep the mean slot time."""
    return state.running.pop(request, None) is not None


def cancel_request(state: AdmissionState, request: RequestId, now: Seconds) -> bool:
    """Cancel a queued request; a running one keeps its slot until it finishes."""
    if request not in state.queued:
        return False
    waiting = state.queued.pop(request)
    # The entry leaves the queue later, but the counts must be correct at once.
    state.cancelled_ids.add(request)
    _count_dequeued(state, state.queues[waiting.organisation], waiting.charged_seconds)
    return True


def resize_slots(state: AdmissionState, slots: int) -> None:
    """Change the number of slots; running requests keep theirs."""
    state.slots = slots


def expected_wait(state: AdmissionState, queue: OrganisationQueue) -> Seconds:
    """Return the expected wait of the organisation's next request at its fair share."""
    if len(state.running) < state.slots and not state.queued_count:
        return 0.0
    active = state.active_weight + (0.0 if queue.queued_count else queue.weight)
    own = queue.queued_seconds * active / queue.weight
    return min(own, state.queued_seconds) / max(1, state.slots)


def _refuse(request: SlotRequest, reason: RefusalReason) -> EnqueueResult:
    """Return the refusal of the new request itself."""
    return EnqueueResult(False, (DroppedRequest(request, reason),))


def _get_queue(
    state: AdmissionState, organisation: OrganisationId
) -> OrganisationQueue:
    """Return the organisation's queue, created on first use."""
    queue = state.queues.get(organisation)
    if queue is None:
        queue = OrganisationQueue(state.weights.get(organisation, 1.0))
        state.queues[organisation] = queue
    return queue


def _count_queued(
    state: AdmissionState, queue: OrganisationQueue, cost: Seconds
) -> None:
    """Add one waiting request to the counts."""
    if queue.queued_count == 0:
        state.active_weight += queue.weight
    queue.queued_count += 1
    queue.queued_seconds += cost
    state.queued_count += 1
    state.queued_seconds += cost


def _count_dequeued(
    state: AdmissionState, queue: OrganisationQueue, cost: Seconds
) -> None:
    """Remove one waiting request from the counts."""
    queue.queued_count -= 1
    queue.queued_seconds = queue.queued_seconds - cost if queue.queued_count else 0.0
    state.queued_count -= 1
    state.queued_seconds = state.queued_seconds - cost if state.queued_count else 0.0
    if queue.queued_count == 0:
        state.active_weight = max(0.0, state.active_weight - queue.weight)


def _tag_new_head(
    state: AdmissionState, organisation: OrganisationId, queue: OrganisationQueue
) -> None:
    """Tag the request that has become its organisation's first."""
    queue.min_start_tag = state.virtual_time
    _retag_head(state, organisation, queue)


def _retag_head(
    state: AdmissionState, organisation: OrganisationId, queue: OrganisationQueue
) -> None:
    """Give the organisation's first request a new start tag; void its older tags."""
    queue.head_version += 1
    if queue.queued_count:
        start = max(queue.min_start_tag, queue.finish_tag)
        heappush(state.head_heap, (start, queue.head_version, organisation))


def _pop_first(state: AdmissionState, queue: OrganisationQueue) -> SlotRequest:
    """Remove the first request that was not cancelled."""
    while True:
        request = queue.queue.popleft()
        if request.request in state.cancelled_ids:
            state.cancelled_ids.discard(request.request)
            continue
        _count_dequeued(state, queue, state.queued.pop(request.request).charged_seconds)
        return request


def _pop_last(state: AdmissionState, queue: OrganisationQueue) -> SlotRequest:
    """Remove the last request that was not cancelled."""
    while True:
        request = queue.queue.pop()
        if request.request in state.cancelled_ids:
            state.cancelled_ids.discard(request.request)
            continue
        _count_dequeued(state, queue, state.queued.pop(request.request).charged_seconds)
        return request


def _find_longest(
    state: AdmissionState,
    request_queue: OrganisationQueue,
    organisation: OrganisationId,
    cost: Seconds,
) -> OrganisationQueue:
    """Return the queue with most queued time for its weight, with the new request."""
    own = (request_queue.queued_seconds + cost) / request_queue.weight
    while state.longest_heap:
        negative_load, name = state.longest_heap[0]
        queue = state.queues[name]
        actual = queue.queued_seconds / queue.weight
        if queue.queued_count and -negative_load <= actual * (1 + 1e-9):
            return queue if actual > own else request_queue
        heappop(state.longest_heap)
        if queue.queued_count:
            heappush(state.longest_heap, (-actual, name))
    return request_queue
