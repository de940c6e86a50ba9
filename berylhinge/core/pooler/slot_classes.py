"""Share the slot time of one class of statements fairly among organisations.

Start-time fair queueing (Goyal, Vin and Cheng, 1996): an organisation's tag is the slot
time that it has used, and the organisation with the lowest tag is next. The charge of a
statement is its expected running time, corrected when it ends. Inside an organisation
the earliest latency goal is first. Statements that can no longer meet their goal go
behind the timely ones of their class, in order of arrival, with a share of their own.
"""

from __future__ import annotations

from bisect import bisect_left, insort
from heapq import heapify, heappop, heappush
from typing import NamedTuple, TYPE_CHECKING, TypeAlias

from ...types import AccessMode
from .decay import decay_factor
from .running_times import running_time

if TYPE_CHECKING:
    from ...types import OrganisationId, Seconds
    from .running_times import RunningTimes
    from .slot_claims import SlotClaim

TIMELY, LATE = 0, 1
BANDS = (TIMELY, LATE)
# Share of a class's slot time that its late statements get while timely ones wait, so
# that they do not starve; a late answer is worth less than a timely one.
LATE_SHARE = 0.1
# Highest slot time by which an organisation may be ahead of its class. Statements of
# its open transactions are charged without waiting for their turn.
MAX_DEBT_SECONDS = 0.5
# Time over which the rate of arrivals of a class is averaged: shorter than a burst of
# some seconds, longer than the random clusters of a few statements.
ARRIVAL_RATE_SECONDS = 1.0
# A heap is rebuilt when it has this many entries more than twice the valid ones.
STALE_ENTRIES_LIMIT = 32
# Idle organisations that are forgotten at each start; one start makes one idle at most.
FORGOTTEN_AT_ONCE = 2


class WaitingStatement(NamedTuple):
    """Describe a queued statement."""

    number: int
    claim: SlotClaim
    arrived_at: Seconds


QueueEntry: TypeAlias = tuple[float, int, WaitingStatement]


class ArrivalRate(NamedTuple):
    """Hold the slot time that has arrived, decayed until a moment."""

    seconds: Seconds = 0.0
    updated_at: Seconds = 0.0


NO_ARRIVALS = ArrivalRate()


class OrganisationShare:
    """Hold an organisation's statements in both bands, and its slot time as a tag."""

    __slots__ = ("arrivals", "finish_tag", "queues", "running", "version")

    def __init__(self, finish_tag: Seconds) -> None:
        """Start without statements."""
        self.arrivals = NO_ARRIVALS
        self.finish_tag = finish_tag
        self.queues: tuple[list[QueueEntry], list[QueueEntry]] = ([], [])
        self.running = 0
        self.version = 0


class Band:
    """Hold the tags of the organisations that have statements of one band waiting."""

    __slots__ = ("active", "counts", "heads")

    def __init__(self) -> None:
        """Start empty."""
        self.heads: list[tuple[float, int, OrganisationId]] = []
        self.counts = dict.fromkeys(AccessMode, 0)
        self.active = 0


class SlotClass:
    """Hold the statements of one class; changed in place.

    ``floor_credit`` and ``late_credit`` are the slot time that a guaranteed share has
    left to the class, and to its late statements.
    """

    __slots__ = (
        "arrivals",
        "bands",
        "floor_credit",
        "idle",
        "last_version",
        "late_credit",
        "organisations",
        "priority",
        "running",
        "virtual_time",
    )

    def __init__(self, priority: int) -> None:
        """Start without statements."""
        self.priority = priority
        self.organisations: dict[OrganisationId, OrganisationShare] = {}
        self.bands = (Band(), Band())
        self.idle: list[tuple[float, OrganisationId]] = []
        self.virtual_time = 0.0
        self.floor_credit = 0.0
        self.late_credit = 0.0
        self.arrivals = NO_ARRIVALS
        self.last_version = 0
        self.running = 0


def waiting_count(entry: SlotClass) -> int:
    """Return how many statements of the class wait."""
    return sum(sum(band.counts.values()) for band in entry.bands)


def waiting_seconds(entry: SlotClass, band: int, times: RunningTimes) -> Seconds:
    """Return the expected slot time of the waiting statements of one band."""
    return sum(
        count * running_time(times, entry.priority, access).mean_seconds
        for access, count in entry.bands[band].counts.items()
        if count
    )


def arrival_rate(rate: ArrivalRate, now: Seconds) -> float:
    """Return the slot time that recently arrived for each second."""
    kept = decay_factor(rate.updated_at, now, ARRIVAL_RATE_SECONDS)
    return rate.seconds * kept / ARRIVAL_RATE_SECONDS


def record_arrival(
    entry: SlotClass, organisation: OrganisationId, cost: Seconds, now: Seconds
) -> None:
    """Count the slot time of a statement that arrived."""
    for owner in (entry, share_of(entry, organisation)):
        known = arrival_rate(owner.arrivals, now) * ARRIVAL_RATE_SECONDS
        owner.arrivals = ArrivalRate(known + cost, now)


def add_waiting(entry: SlotClass, waiter: WaitingStatement, band: int) -> None:
    """Queue a statement in a band."""
    share = share_of(entry, waiter.claim.organisation)
    queue = share.queues[band]
    if not any(share.queues):
        share.finish_tag = max(share.finish_tag, entry.virtual_time)
    insort(queue, (*_queue_key(waiter, band), waiter))
    entry.bands[band].counts[waiter.claim.access] += 1
    if len(queue) == 1:
        entry.bands[band].active += 1
        _publish_tag(entry, waiter.claim.organisation, share)


def remove_waiting(entry: SlotClass, waiter: WaitingStatement, band: int) -> None:
    """Take a statement out of its band."""
    share = entry.organisations[waiter.claim.organisation]
    queue = share.queues[band]
    del queue[bisect_left(queue, _queue_key(waiter, band))]
    entry.bands[band].counts[waiter.claim.access] -= 1
    if not queue:
        entry.bands[band].active -= 1
        forget_if_idle(entry, waiter.claim.organisation)


def position_of(entry: SlotClass, waiter: WaitingStatement, band: int) -> int:
    """Return how many statements of its organisation go before a statement."""
    share = entry.organisations.get(waiter.claim.organisation)
    if share is None:
        return 0
    return bisect_left(share.queues[band], _queue_key(waiter, band))


def band_of(entry: SlotClass, waiter: WaitingStatement) -> int:
    """Return the band of a waiting statement."""
    queue = entry.organisations[waiter.claim.organisation].queues[TIMELY]
    index = bisect_left(queue, _queue_key(waiter, TIMELY))
    is_timely = index < len(queue) and queue[index][1] == waiter.number
    return TIMELY if is_timely else LATE


def next_waiting(
    entry: SlotClass, times: RunningTimes, now: Seconds
) -> tuple[WaitingStatement, int] | None:
    """Return the statement of the class that is next, and its band."""
    timely = _first_of(entry, TIMELY)
    while timely is not None and is_late(timely, times, now):
        remove_waiting(entry, timely, TIMELY)
        add_waiting(entry, timely, LATE)
        timely = _first_of(entry, TIMELY)
    late = _first_of(entry, LATE)
    if late is None:
        entry.late_credit = 0.0
        return None if timely is None else (timely, TIMELY)
    if timely is None or entry.late_credit >= mean_seconds(late.claim, times):
        return late, LATE
    return timely, TIMELY


def start_waiting(
    entry: SlotClass, waiter: WaitingStatement, band: int, cost: Seconds
) -> None:
    """Take a statement out to run it, and charge its organisation."""
    share = entry.organisations[waiter.claim.organisation]
    entry.virtual_time = max(entry.virtual_time, share.finish_tag)
    charge_start(entry, waiter.claim, cost)
    remove_waiting(entry, waiter, band)
    if band == TIMELY and entry.bands[LATE].active:
        entry.late_credit += cost * LATE_SHARE
    elif band == LATE and entry.bands[TIMELY].active:
        entry.late_credit -= cost
    _forget_idle(entry)


def charge_start(entry: SlotClass, claim: SlotClaim, cost: Seconds) -> None:
    """Charge an organisation for a statement that starts."""
    share = share_of(entry, claim.organisation)
    entry.running += 1
    share.running += 1
    _charge(entry, claim.organisation, share, cost)


def finish_charged(entry: SlotClass, claim: SlotClaim, correction: Seconds) -> None:
    """End a running statement, and correct its charge."""
    share = entry.organisations[claim.organisation]
    entry.running -= 1
    share.running -= 1
    _charge(entry, claim.organisation, share, correction)
    forget_if_idle(entry, claim.organisation)


def clear_class(entry: SlotClass) -> None:
    """Drop all waiting statements; running ones stay charged."""
    entry.bands = (Band(), Band())
    entry.floor_credit = entry.late_credit = 0.0
    for name, share in list(entry.organisations.items()):
        share.queues = ([], [])
        forget_if_idle(entry, name)


def share_of(entry: SlotClass, organisation: OrganisationId) -> OrganisationShare:
    """Return an organisation's share, a new one on first use."""
    share = entry.organisations.get(organisation)
    if share is None:
        share = entry.organisations[organisation] = OrganisationShare(
            entry.virtual_time
        )
    return share


def forget_if_idle(entry: SlotClass, organisation: OrganisationId) -> None:
    """Forget an idle organisation, now or once its tag has no more effect."""
    share = entry.organisations.get(organisation)
    if share is None or share.running or any(share.queues):
        return
    if not entry.running and not any(band.active for band in entry.bands):
        # Start-time fair queueing starts anew after an idle period.
        entry.organisations.clear()
        entry.idle.clear()
    elif share.finish_tag <= entry.virtual_time:
        del entry.organisations[organisation]
    else:
        heappush(entry.idle, (share.finish_tag, organisation))
        if len(entry.idle) > 2 * len(entry.organisations) + STALE_ENTRIES_LIMIT:
            entry.idle[:] = [
                (found.finish_tag, name)
                for name, found in entry.organisations.items()
                if not found.running and not any(found.queues)
            ]
            heapify(entry.idle)


def mean_seconds(claim: SlotClaim, times: RunningTimes) -> Seconds:
    """Return the expected running time of a statement."""
    return running_time(times, claim.priority, claim.access).mean_seconds


def is_late(waiter: WaitingStatement, times: RunningTimes, now: Seconds) -> bool:
    """Tell whether a statement that started now would miss its latency goal."""
    return now + mean_seconds(waiter.claim, times) > waiter.claim.goal_at


def _queue_key(waiter: WaitingStatement, band: int) -> tuple[float, int]:
    """Return what orders a statement inside its organisation."""
    if band == TIMELY:
        return waiter.claim.goal_at, waiter.number
    return waiter.number, waiter.number


def _first_of(entry: SlotClass, band: int) -> WaitingStatement | None:
    """Return the first statement of the organisation with the lowest tag."""
    heads = entry.bands[band].heads
    while heads:
        _, version, organisation = heads[0]
        share = entry.organisations.get(organisation)
        if share is not None and share.version == version and share.queues[band]:
            return share.queues[band][0][2]
        heappop(heads)
    return None


def _charge(
    entry: SlotClass,
    organisation: OrganisationId,
    share: OrganisationShare,
    seconds: Seconds,
) -> None:
    """Add to an organisation's slot time, and publish its new tag."""
    highest = max(share.finish_tag, entry.virtual_time + MAX_DEBT_SECONDS)
    share.finish_tag = min(share.finish_tag + seconds, highest)
    _publish_tag(entry, organisation, share)


def _publish_tag(
    entry: SlotClass, organisation: OrganisationId, share: OrganisationShare
) -> None:
    """Replace an organisation's tags in the heaps."""
    entry.last_version += 1
    share.version = entry.last_version
    for band in BANDS:
        if share.queues[band]:
            heads = entry.bands[band].heads
            heappush(heads, (share.finish_tag, share.version, organisation))
            if len(heads) > 2 * len(entry.organisations) + STALE_ENTRIES_LIMIT:
                heads[:] = [
                    (found.finish_tag, found.version, name)
                    for name, found in entry.organisations.items()
                    if found.queues[band]
                ]
                heapify(heads)


def _forget_idle(entry: SlotClass) -> None:
    """Forget some idle organisations whose tags have no more effect."""
    for _ in range(FORGOTTEN_AT_ONCE):
        if not entry.idle or entry.idle[0][0] > entry.virtual_time:
            return
        _, organisation = heappop(entry.idle)
        share = entry.organisations.get(organisation)
        if share is not None and not share.running and not any(share.queues):
            if share.finish_tag <= entry.virtual_time:
                del entry.organisations[organisation]
            else:
                heappush(entry.idle, (share.finish_tag, organisation))
                return
