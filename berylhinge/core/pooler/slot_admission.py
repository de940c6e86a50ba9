"""Admit to fair slots what can be served before its deadline; refuse the rest at once.

The expected wait of a statement is the slot time of what goes before it, divided by the
slot time that the arrivals of higher classes leave. A statement is judged when it
arrives, and again each time half of its margin has passed, so that one whose wait grew
is refused well before its deadline.
"""

from __future__ import annotations

from heapq import heappop
from typing import NamedTuple, TYPE_CHECKING

from .fair_slots import (
    add_statement,
    class_key,
    class_of,
    FairSlots,
    has_free_slot,
    is_trial,
    LOWER_CLASSES_SHARE,
    may_try,
    remove_statement,
    schedule_check,
)
from .running_times import running_time
from .slot_claims import NO_ROOM, OVER_SHARE, PRIMARY_BUSY, SlotRefusal
from .slot_classes import (
    arrival_rate,
    LATE,
    LATE_SHARE,
    mean_seconds,
    position_of,
    TIMELY,
    waiting_count,
    waiting_seconds,
    WaitingStatement,
)

if TYPE_CHECKING:
    from ...types import Seconds
    from .slot_claims import SlotClaim
    from .slot_classes import SlotClass

# Shortest time between two judgements of a waiting statement: a few running times.
MIN_CHECK_SECONDS = 0.02
# A rate of arrivals averaged over a second says little of the time after this one. A
# longer horizon refused statements with a budget of 8 s that could be served late.
ARRIVAL_HORIZON_SECONDS = 2.0
# Statements judged again in one step, to bound its cost.
CHECKS_AT_ONCE = 8
# Shortest and longest time after which a refused caller is asked to return.
MIN_RETRY_AFTER_SECONDS = 0.05
MAX_RETRY_AFTER_SECONDS = 5.0
# Callers refused together return over this part of the time, at least over this long.
RETRY_SPREAD = 0.5
MIN_RETRY_SPREAD_SECONDS = 0.1
# Multiples of it, modulo 1, fill an interval evenly however many there are.
GOLDEN_RATIO = 0.6180339887498949


class Judgement(NamedTuple):
    """Tell how long a statement waits for a slot, in which band, and its margin.

    The margin is negative for one that cannot end before its deadline.
    """

    wait_seconds: Seconds
    margin_seconds: Seconds
    band: int


def enqueue(
    queue: FairSlots, claim: SlotClaim, now: Seconds
) -> WaitingStatement | SlotRefusal:
    """Queue a statement, or refuse one that cannot end before its deadline.

    One of an open transaction waits as long as it can, since it holds a connection.
    """
    judged = judge(queue, claim, None, now)
    is_exempt = (
        claim.pinned
        or (has_free_slot(queue) and may_try(claim, now))
        or (not waiting_count(class_of(queue, claim)) and is_trial(queue, claim, now))
    )
    if judged.margin_seconds < 0.0 and not is_exempt:
        return make_refusal(queue, claim, judged, now)
    # One that would miss its goal must not make those behind it miss theirs.
    waiter = add_statement(queue, claim, judged.band, now)
    schedule_check(queue, waiter, next_check_at(queue, claim, judged, now))
    return waiter


def take_refused(
    queue: FairSlots, now: Seconds
) -> list[tuple[WaitingStatement, SlotRefusal]]:
    """Remove the waiting statements that cannot end in time any more."""
    refused = [
        (waiter, refuse_expired(queue, waiter.claim, now)) for waiter in queue.hopeless
    ]
    queue.hopeless.clear()
    judged_count = 0
    while queue.checks and queue.checks[0][0] <= now and judged_count < CHECKS_AT_ONCE:
        waiter = queue.waiting.get(heappop(queue.checks)[1])
        if waiter is None:
            continue
        judged_count += 1
        judged = judge(queue, waiter.claim, waiter, now)
        if (
            judged.margin_seconds >= 0.0
            or (waiter.claim.pinned and now < latest_start_at(queue, waiter.claim))
            or is_next_trial(queue, waiter, now)
        ):
            at = next_check_at(queue, waiter.claim, judged, now)
            at = max(at, now + MIN_CHECK_SECONDS)
            schedule_check(queue, waiter, at)
            continue
        remove_statement(queue, waiter)
        refused.append((waiter, make_refusal(queue, waiter.claim, judged, now)))
    return refused


def is_next_trial(queue: FairSlots, waiter: WaitingStatement, now: Seconds) -> bool:
    """Tell whether a waiting statement is to run against the estimate of its kind."""
    is_only = waiting_count(class_of(queue, waiter.claim)) == 1
    return is_only and not waiter.claim.pinned and is_trial(queue, waiter.claim, now)


def refuse_expired(queue: FairSlots, claim: SlotClaim, now: Seconds) -> SlotRefusal:
    """Return the refusal of a statement that did not start in time."""
    return make_refusal(queue, claim, judge(queue, claim, None, now), now)


def latest_start_at(queue: FairSlots, claim: SlotClaim) -> Seconds:
    """Return when a statement must start to end before its deadline."""
    expected = running_time(queue.times, claim.priority, claim.access)
    return claim.give_up_at - expected.mean_seconds


def next_check_at(
    queue: FairSlots, claim: SlotClaim, judged: Judgement, now: Seconds
) -> Seconds:
    """Return when a waiting statement is judged again."""
    # A little later than the last moment, so that rounding cannot repeat the check.
    last = max(now, latest_start_at(queue, claim)) + 1e-6
    if claim.pinned:
        return last
    at = now + max(MIN_CHECK_SECONDS, judged.margin_seconds / 2)
    late_at = claim.goal_at - mean_seconds(claim, queue.times)
    # Behind the timely statements it may have no chance any more.
    return min(at, last, late_at + 1e-6) if late_at >= now else min(at, last)


def judge(
    queue: FairSlots, claim: SlotClaim, waiter: WaitingStatement | None, now: Seconds
) -> Judgement:
    """Return the expected wait of a statement, and its margin before the deadline.

    A statement that does not wait yet is judged behind those of its organisation.
    """
    expected = running_time(queue.times, claim.priority, claim.access)
    budget = claim.give_up_at - now - expected.mean_seconds
    budget -= expected.deviation_seconds
    if claim.pinned:
        wait = running_wait(queue)
        return Judgement(wait, budget - wait, TIMELY)
    timely_limit = claim.goal_at - now - expected.mean_seconds
    wait = expected_wait(queue, claim, waiter, TIMELY, now)
    if wait > timely_limit:
        late_wait = expected_wait(queue, claim, waiter, LATE, now)
        return Judgement(wait, budget - late_wait, LATE)
    return Judgement(wait, budget - wait, TIMELY)


def expected_wait(
    queue: FairSlots,
    claim: SlotClaim,
    waiter: WaitingStatement | None,
    band: int,
    now: Seconds,
) -> Seconds:
    """Return how long a statement of a band waits behind those that go before it."""
    if has_free_slot(queue):
        return 0.0
    key = class_key(claim)
    above = [queue.classes[found] for found in queue.class_order if found < key]
    ahead = sum(
        waiting_seconds(entry, TIMELY, queue.times)
        + waiting_seconds(entry, LATE, queue.times)
        for entry in above
    )
    left = 1.0 - sum(arrival_rate(entry.arrivals, now) for entry in above) / queue.slots
    entry = class_of(queue, claim)
    own, others = seconds_ahead(queue, entry, claim, waiter, band)
    guaranteed = LOWER_CLASSES_SHARE / max(1, len(queue.classes) - 1)
    if not above:
        guaranteed = 1.0 - LOWER_CLASSES_SHARE
    if band == LATE:
        ahead += waiting_seconds(entry, TIMELY, queue.times)
        left -= arrival_rate(entry.arrivals, now) / queue.slots
        guaranteed *= LATE_SHARE
    left = max(guaranteed, left)
    in_turn = drain_time((ahead + own + others) / queue.slots, left)
    # A guaranteed share is served beside what goes first.
    mean = mean_seconds(claim, queue.times)
    wait = min(in_turn, (own + others + mean) / queue.slots / guaranteed)
    own_part = organisation_part(queue, entry, claim, left, now)
    return running_wait(queue) + max(wait, drain_time(own / queue.slots, own_part))


def drain_time(seconds: Seconds, part: float) -> Seconds:
    """Return how long work takes in a part of the time that new arrivals leave.

    Arrivals beyond the horizon are taken to leave half of what they take now.
    """
    if seconds <= part * ARRIVAL_HORIZON_SECONDS:
        return seconds / part
    later = seconds - part * ARRIVAL_HORIZON_SECONDS
    return ARRIVAL_HORIZON_SECONDS + later * 2 / (1.0 + part)


def organisation_part(
    queue: FairSlots, entry: SlotClass, claim: SlotClaim, left: float, now: Seconds
) -> float:
    """Return the part of the slots that an organisation gets while it has a queue.

    What the others of its class do not ask for is its own, and at least an equal share.
    """
    active = max(1, entry.bands[TIMELY].active)
    arriving = arrival_rate(entry.arrivals, now)
    share = entry.organisations.get(claim.organisation)
    if share is not None:
        arriving -= arrival_rate(share.arrivals, now)
    return max(left / active, left - max(0.0, arriving) / queue.slots)


def seconds_ahead(
    queue: FairSlots,
    entry: SlotClass,
    claim: SlotClaim,
    waiter: WaitingStatement | None,
    band: int,
) -> tuple[Seconds, Seconds]:
    """Return the slot time that goes first in a class: its organisation's, others'."""
    total = waiting_seconds(entry, band, queue.times)
    count = sum(entry.bands[band].counts.values())
    if not count:
        return 0.0, 0.0
    mean = total / count
    share = entry.organisations.get(claim.organisation)
    if share is None:
        return 0.0, min(total, mean / 2 * entry.bands[band].active)
    own_count = len(share.queues[band])
    position = own_count if waiter is None else position_of(entry, waiter, band)
    own = position * mean
    debt = max(0.0, share.finish_tag - entry.virtual_time)
    # Half a statement of each other organisation has a lower tag on average.
    others = (debt + own + mean / 2) * (entry.bands[band].active - bool(own_count))
    return own, min((count - own_count) * mean, others)


def running_wait(queue: FairSlots) -> Seconds:
    """Return how long the running statements take to leave a slot."""
    if queue.running < queue.slots:
        return 0.0
    seconds = sum(found.charged_seconds for found in queue.running_statements.values())
    excess = queue.running - queue.slots + 1
    return seconds / queue.running * excess / queue.slots


def make_refusal(
    queue: FairSlots, claim: SlotClaim, judged: Judgement, now: Seconds
) -> SlotRefusal:
    """Return a refusal with its cause, and when the caller's next try has room."""
    queue.refused_count += 1
    expected = running_time(queue.times, claim.priority, claim.access)
    goal = max(0.0, claim.goal_at - now - expected.mean_seconds)
    # The queue shortens by a second in each second, so the excess of the wait over what
    # the goal allows is when a statement that arrives would be timely.
    base = max(MIN_RETRY_AFTER_SECONDS, judged.wait_seconds - goal)
    base = min(base, MAX_RETRY_AFTER_SECONDS)
    spread = max(MIN_RETRY_SPREAD_SECONDS, base * RETRY_SPREAD)
    fraction = queue.refused_count * GOLDEN_RATIO % 1.0
    retry_after = base + fraction * spread
    detail = f"{judged.wait_seconds:.3f} s of expected wait is past the deadline"
    return SlotRefusal(refusal_reason(queue, claim, now), detail, retry_after)


def refusal_reason(queue: FairSlots, claim: SlotClaim, now: Seconds) -> str:
    """Return why there is no room: own excess, other work of a primary, or load."""
    if claim.pinned:
        return NO_ROOM
    fresh = claim._replace(organisation="")
    share = class_of(queue, claim).organisations.get(claim.organisation)
    if share is not None and judge(queue, fresh, None, now).margin_seconds >= 0.0:
        return OVER_SHARE
    return PRIMARY_BUSY if claim.yields else NO_ROOM


def backlog_seconds(queue: FairSlots) -> Seconds:
    """Return how long all that waits takes, for instances that choose a database."""
    waiting = sum(
        waiting_seconds(entry, TIMELY, queue.times)
        + waiting_seconds(entry, LATE, queue.times)
        for entry in queue.classes.values()
    )
    return running_wait(queue) + waiting / queue.slots
