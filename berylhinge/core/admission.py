"""Queue requests for slots, fair by organisation and aware of cost and deadline.

Start-time fair queueing (Goyal, Vin and Cheng, 1996) with the slot time of reads
and writes, learnt by EWMA, as the length; the charge is corrected by the time that
the slot was really held.
"""

from __future__ import annotations

from collections import deque
from heapq import heappop, heappush
from typing import NamedTuple, TYPE_CHECKING, TypeAlias

from ..reasons import RefusalReason
from ..types import Access

if TYPE_CHECKING:
    from collections.abc import Mapping

    from ..types import OrganisationId, RequestId, Seconds

FRESH_SHARE = 0.05
FIRST_GUESS_SECONDS = {Access.READ: 0.002, Access.WRITE: 0.005}
LEAST_COST_SECONDS = 1e-5


class Request(NamedTuple):
    """Describe one request that wants a slot by a deadline on the local clock."""

    request: RequestId
    organisation: OrganisationId
    access: Access
    deadline: Seconds


class Dropped(NamedTuple):
    """Refuse a request that was never started, hence not run."""

    request: Request
    reason: RefusalReason


class Offered(NamedTuple):
    """Tell whether the request was queued, and which others had to go for it."""

    queued: bool
    dropped: tuple[Dropped, ...] = ()


class Started(NamedTuple):
    """Name the request that got the slot, and those that ran out of time."""

    request: Request | None
    dropped: tuple[Dropped, ...] = ()


class Service:
    """Learn the mean slot time of one access."""

    __slots__ = ("mean",)

    def __init__(self, mean: Seconds) -> None:
        """Start from a guess."""
        self.mean = mean


class Line:
    """Queue one organisation's requests in order of arrival."""

    __slots__ = ("finish", "floor", "queue", "version", "waiting", "weight", "work")

    def __init__(self, weight: float) -> None:
        """Start empty."""
        self.queue: deque[Request] = deque()
        self.waiting = 0
        self.work = 0.0
        self.finish = 0.0
        self.floor = 0.0
        self.version = 0
        self.weight = weight


class Waiting(NamedTuple):
    """Remember what a waiting request was counted as."""

    organisation: OrganisationId
    cost: Seconds


class Running(NamedTuple):
    """Remember what a running request was charged."""

    request: Request
    started_at: Seconds
    charged: Seconds


Head: TypeAlias = tuple[float, int, "OrganisationId"]


class AdmissionState:
    """Hold the queue of one pool of slots; changed in place."""

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
        bound: int,
        weights: Mapping[OrganisationId, float] | None = None,
    ) -> None:
        """Start empty; an organisation without a weight has weight one."""
        self.slots = slots
        self.bound = bound
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
    """Queue a request, unless it cannot finish in time or finds the queue full."""
    line = _line(state, request.organisation)
    cost = state.service[request.access].mean
    if now + expected_wait(state, line) + cost > request.deadline:
        return _refused(request, RefusalReason.DEADLINE_TOO_SHORT)
    dropped: tuple[Dropped, ...] = ()
    if state.waiting >= state.bound:
        victim = _longest(state, line, request.organisation, cost)
        if victim is line:
            return _refused(request, RefusalReason.QUEUE_FULL)
        last = _drop_last(state, victim)
        dropped = (Dropped(last, RefusalReason.QUEUE_FULL),)
    line.queue.append(request)
    state.queued[request.request] = Waiting(request.organisation, cost)
    _grow(state, line, cost)
    if line.waiting == 1:
        _set_head(state, request.organisation, line)
    heappush(state.longest, (-line.work / line.weight, request.organisation))
    return Offered(True, dropped)


def take(state: AdmissionState, now: Seconds) -> Started:
    """Start the request whose organisation is due next, when a slot is free."""
    dropped: list[Dropped] = []
    while len(state.running) < state.slots and state.waiting:
        start, version, organisation = heappop(state.heads)
        line = state.lines[organisation]
        if version != line.version or not line.waiting:
            continue
        request = _pop(state, line)
        cost = state.service[request.access].mean
        if now + cost > request.deadline:
            dropped.append(Dropped(request, RefusalReason.DEADLINE_TOO_SHORT))
            _set_head(state, organisation, line)
            continue
        state.virtual = max(state.virtual, start)
        line.finish = start + cost / line.weight
        state.running[request.request] = Running(request, now, cost)
        _set_head(state, organisation, line)
        return Started(request, tuple(dropped))
    return Started(None, tuple(dropped))


def finish(state: AdmissionState, request: RequestId, now: Seconds) -> bool:
    """Free the slot, learn its time and correct the charge; false when unknown."""
    running = state.running.pop(request, None)
    if running is None:
        return False
    held = max(LEAST_COST_SECONDS, now - running.started_at)
    service = state.service[running.request.access]
    service.mean += FRESH_SHARE * (held - service.mean)
    line = state.lines[running.request.organisation]
    line.finish = max(0.0, line.finish + (held - running.charged) / line.weight)
    _tag_head(state, running.request.organisation, line)
    return True


def abandon(state: AdmissionState, request: RequestId) -> bool:
    """Free the slot of a request whose answer was lost, and learn nothing from it."""
    return state.running.pop(request, None) is not None


def cancel(state: AdmissionState, request: RequestId, now: Seconds) -> bool:
    """Take a queued request out; a running one keeps its slot until ``finish``."""
    if request not in state.queued:
        return False
    waiting = state.queued.pop(request)
    # The queue drops its entry later; the counts must be right at once.
    state.gone.add(request)
    _shrink(state, state.lines[waiting.organisation], waiting.cost)
    return True


def resize(state: AdmissionState, slots: int) -> None:
    """Change the number of slots; running requests keep theirs."""
    state.slots = slots


def expected_wait(state: AdmissionState, line: Line) -> Seconds:
    """Return the wait of the organisation's next request at its fair share."""
    if len(state.running) < state.slots and not state.waiting:
        return 0.0
    active = state.active_weight + (0.0 if line.waiting else line.weight)
    own = line.work * active / line.weight
    return min(own, state.work) / max(1, state.slots)


def _refused(request: Request, reason: RefusalReason) -> Offered:
    """Refuse the newcomer itself."""
    return Offered(False, (Dropped(request, reason),))


def _line(state: AdmissionState, organisation: OrganisationId) -> Line:
    """Return the organisation's queue, made when first needed."""
    line = state.lines.get(organisation)
    if line is None:
        line = Line(state.weights.get(organisation, 1.0))
        state.lines[organisation] = line
    return line


def _grow(state: AdmissionState, line: Line, cost: Seconds) -> None:
    """Count one more waiting request."""
    if line.waiting == 0:
        state.active_weight += line.weight
    line.waiting += 1
    line.work += cost
    state.waiting += 1
    state.work += cost


def _shrink(state: AdmissionState, line: Line, cost: Seconds) -> None:
    """Count one waiting request less."""
    line.waiting -= 1
    line.work = line.work - cost if line.waiting else 0.0
    state.waiting -= 1
    state.work = state.work - cost if state.waiting else 0.0
    if line.waiting == 0:
        state.active_weight = max(0.0, state.active_weight - line.weight)


def _set_head(state: AdmissionState, organisation: OrganisationId, line: Line) -> None:
    """Tag a request that has become its organisation's first."""
    line.floor = state.virtual
    _tag_head(state, organisation, line)


def _tag_head(state: AdmissionState, organisation: OrganisationId, line: Line) -> None:
    """Tag the organisation's first request anew, and void its older tags."""
    line.version += 1
    if line.waiting:
        start = max(line.floor, line.finish)
        heappush(state.heads, (start, line.version, organisation))


def _pop(state: AdmissionState, line: Line) -> Request:
    """Remove the first request that was not cancelled."""
    while True:
        request = line.queue.popleft()
        if request.request in state.gone:
            state.gone.discard(request.request)
            continue
        _shrink(state, line, state.queued.pop(request.request).cost)
        return request


def _drop_last(state: AdmissionState, line: Line) -> Request:
    """Remove the last request that was not cancelled."""
    while True:
        request = line.queue.pop()
        if request.request in state.gone:
            state.gone.discard(request.request)
            continue
        _shrink(state, line, state.queued.pop(request.request).cost)
        return request


def _longest(
    state: AdmissionState, newcomer: Line, organisation: OrganisationId, cost: Seconds
) -> Line:
    """Return the queue with most work for its weight, the newcomer's included."""
    mine = (newcomer.work + cost) / newcomer.weight
    while state.longest:
        size, name = state.longest[0]
        line = state.lines[name]
        actual = line.work / line.weight
        if line.waiting and -size <= actual * (1 + 1e-9):
            return line if actual > mine else newcomer
        heappop(state.longest)
        if line.waiting:
            heappush(state.longest, (-actual, name))
    return newcomer
