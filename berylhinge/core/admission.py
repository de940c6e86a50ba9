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

FRESH_SHARE = 0.05
FIRST_GUESS_SECONDS = {AccessMode.READ: 0.002, AccessMode.WRITE: 0.005}
LEAST_COST_SECONDS = 1e-5


class Request(NamedTuple):
    """Describe one request for a slot, with its deadline on the local clock."""

    request: RequestId
    organisation: OrganisationId
    access: AccessMode
    deadline: Seconds


class Dropped(NamedTuple):
    """Describe a request that was refused before it started, so none of it has run."""

    request: Request
    reason: RefusalReason


class Offered(NamedTuple):
    """Carry whether the request was queued, and each request refused in the process."""

    queued: bool
    dropped: tuple[Dropped, ...] = ()


class Started(NamedTuple):
    """Carry the request that got a slot, and those refused for too short a deadline."""

    request: Request | None
    dropped: tuple[Dropped, ...] = ()


class Service:
    """Represent the estimated mean slot time of one access, in seconds."""

    __slots__ = ("mean",)

    def __init__(self, mean: Seconds) -> None:
        """Start from an initial estimate."""
        self.mean = mean


class Line:
    """Represent one organisation's requests in order of arrival.

    ``work`` is the estimated slot time of the waiting requests in seconds. ``finish``
    is the finish tag of the last started request, ``floor`` the lowest start tag that
    the first request may get, and ``version`` the number of its valid tag.
    """

    __slots__ = ("finish", "floor", "queue", "version", "waiting", "weight", "work")

    def __init__(self, weight: float) -> None:
        """Start with an empty queue."""
        self.queue: deque[Request] = deque()
        self.waiting = 0
        self.work = 0.0
        self.finish = 0.0
        self.floor = 0.0
        self.version = 0
        self.weight = weight


class Waiting(NamedTuple):
    """Represent a waiting request's organisation and estimated slot time."""

    organisation: OrganisationId
    cost: Seconds


class Running(NamedTuple):
    """Represent a running request, its start and its charge in seconds."""

    request: Request
    started_at: Seconds
    charged: Seconds


Head: TypeAlias = tuple[float, int, "OrganisationId"]


class AdmissionState:
    """Represent the queue of one pool of slots; changed in place.

    ``bound`` is the maximum number of waiting requests, ``gone`` the cancelled ones
    whose queue entries are still to be removed, ``heads`` a heap of first requests by
    start tag, ``longest`` a heap of organisations by work for their weight, ``virtual``
    the virtual time, and ``work`` the estimated slot time of all waiting requests in
    seconds.
    """

    __slots__ = (
        "active_weight",
        "bound",
        "gone",
        "heads",
        "lines",
        "longest",
        "queued",
        "running",
        "service",
        "slots",
        "virtual",
        "waiting",
        "weights",
        "work",
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
        self.bound = max_queued
        self.weights = dict(weights or {})
        self.lines: dict[OrganisationId, Line] = {}
        self.queued: dict[RequestId, Waiting] = {}
        self.gone: set[RequestId] = set()
        self.running: dict[RequestId, Running] = {}
        self.heads: list[Head] = []
        self.longest: list[tuple[float, OrganisationId]] = []
        self.service = {
            access: Service(seconds) for access, seconds in FIRST_GUESS_SECONDS.items()
        }
        self.virtual = 0.0
        self.waiting = 0
        self.work = 0.0
        self.active_weight = 0.0


def offer(state: AdmissionState, request: Request, now: Seconds) -> Offered:
    """Queue a request unless it cannot finish in time.

    With a full queue, the last request of the organisation with most work for its
    weight is refused; this may be the new request.
    """
    line = _get_queue(state, request.organisation)
    cost = state.service[request.access].mean
    if now + expected_wait(state, line) + cost > request.deadline:
        return _refuse(request, RefusalReason.DEADLINE_TOO_SHORT)
    dropped: tuple[Dropped, ...] = ()
    if state.waiting >= state.bound:
        longest = _find_longest(state, line, request.organisation, cost)
        if longest is line:
            return _refuse(request, RefusalReason.QUEUE_FULL)
        last = _pop_last(state, longest)
        dropped = (Dropped(last, RefusalReason.QUEUE_FULL),)
    line.queue.append(request)
    state.queued[request.request] = Waiting(request.organisation, cost)
    _count_queued(state, line, cost)
    if line.waiting == 1:
        _tag_new_head(state, request.organisation, line)
    heappush(state.longest, (-line.work / line.weight, request.organisation))
    return Offered(True, dropped)


def take(state: AdmissionState, now: Seconds) -> Started:
    """Start the request with the lowest start tag if a slot is free."""
    dropped: list[Dropped] = []
    while len(state.running) < state.slots and state.waiting:
        start, version, organisation = heappop(state.heads)
        line = state.lines[organisation]
        if version != line.version or not line.waiting:
            continue
        request = _pop_first(state, line)
        cost = state.service[request.access].mean
        if now + cost > request.deadline:
            dropped.append(Dropped(request, RefusalReason.DEADLINE_TOO_SHORT))
            _tag_new_head(state, organisation, line)
            continue
        state.virtual = max(state.virtual, start)
        line.finish = start + cost / line.weight
        state.running[request.request] = Running(request, now, cost)
        _tag_new_head(state, organisation, line)
        return Started(request, tuple(dropped))
    return Started(None, tuple(dropped))


def finish(state: AdmissionState, request: RequestId, now: Seconds) -> bool:
    """Free the slot, update the mean slot time and correct the charge.

    Return false if the request is not running.
    """
    running = state.running.pop(request, None)
    if running is None:
        return False
    held = max(LEAST_COST_SECONDS, now - running.started_at)
    service = state.service[running.request.access]
    service.mean += FRESH_SHARE * (held - service.mean)
    line = state.lines[running.request.organisation]
    line.finish = max(0.0, line.finish + (held - running.charged) / line.weight)
    _retag_head(state, running.request.organisation, line)
    return True


def abandon(state: AdmissionState, request: RequestId) -> bool:
    """Free the slot of a request whose answer was lost; keep the mean slot time."""
    return state.running.pop(request, None) is not None


def cancel(state: AdmissionState, request: RequestId, now: Seconds) -> bool:
    """Cancel a queued request; a running one keeps its slot until ``finish``."""
    if request not in state.queued:
        return False
    waiting = state.queued.pop(request)
    # The entry leaves the queue later, but the counts must be correct at once.
    state.gone.add(request)
    _count_dequeued(state, state.lines[waiting.organisation], waiting.cost)
    return True


def resize(state: AdmissionState, slots: int) -> None:
    """Change the number of slots; running requests keep theirs."""
    state.slots = slots


def expected_wait(state: AdmissionState, line: Line) -> Seconds:
    """Return the expected wait of the organisation's next request at its fair share."""
    if len(state.running) < state.slots and not state.waiting:
        return 0.0
    active = state.active_weight + (0.0 if line.waiting else line.weight)
    own = line.work * active / line.weight
    return min(own, state.work) / max(1, state.slots)


def _refuse(request: Request, reason: RefusalReason) -> Offered:
    """Return the refusal of the new request itself."""
    return Offered(False, (Dropped(request, reason),))


def _get_queue(state: AdmissionState, organisation: OrganisationId) -> Line:
    """Return the organisation's queue, created on first use."""
    line = state.lines.get(organisation)
    if line is None:
        line = Line(state.weights.get(organisation, 1.0))
        state.lines[organisation] = line
    return line


def _count_queued(state: AdmissionState, line: Line, cost: Seconds) -> None:
    """Add one waiting request to the counts."""
    if line.waiting == 0:
        state.active_weight += line.weight
    line.waiting += 1
    line.work += cost
    state.waiting += 1
    state.work += cost


def _count_dequeued(state: AdmissionState, line: Line, cost: Seconds) -> None:
    """Remove one waiting request from the counts."""
    line.waiting -= 1
    line.work = line.work - cost if line.waiting else 0.0
    state.waiting -= 1
    state.work = state.work - cost if state.waiting else 0.0
    if line.waiting == 0:
        state.active_weight = max(0.0, state.active_weight - line.weight)


def _tag_new_head(
    state: AdmissionState, organisation: OrganisationId, line: Line
) -> None:
    """Tag the request that has become its organisation's first."""
    line.floor = state.virtual
    _retag_head(state, organisation, line)


def _retag_head(
    state: AdmissionState, organisation: OrganisationId, line: Line
) -> None:
    """Give the organisation's first request a new start tag; void its older tags."""
    line.version += 1
    if line.waiting:
        start = max(line.floor, line.finish)
        heappush(state.heads, (start, line.version, organisation))


def _pop_first(state: AdmissionState, line: Line) -> Request:
    """Remove the first request that was not cancelled."""
    while True:
        request = line.queue.popleft()
        if request.request in state.gone:
            state.gone.discard(request.request)
            continue
        _count_dequeued(state, line, state.queued.pop(request.request).cost)
        return request


def _pop_last(state: AdmissionState, line: Line) -> Request:
    """Remove the last request that was not cancelled."""
    while True:
        request = line.queue.pop()
        if request.request in state.gone:
            state.gone.discard(request.request)
            continue
        _count_dequeued(state, line, state.queued.pop(request.request).cost)
        return request


def _find_longest(
    state: AdmissionState,
    request_queue: Line,
    organisation: OrganisationId,
    cost: Seconds,
) -> Line:
    """Return the queue with most work for its weight, counting the new request."""
    own = (request_queue.work + cost) / request_queue.weight
    while state.longest:
        negative_work, name = state.longest[0]
        line = state.lines[name]
        actual = line.work / line.weight
        if line.waiting and -negative_work <= actual * (1 + 1e-9):
            return line if actual > own else request_queue
        heappop(state.longest)
        if line.waiting:
            heappush(state.longest, (-actual, name))
    return request_queue
