"""Order the statements that wait for a slot of one database, fairly and by class.

Statements of open transactions go first, since they hold a connection. The others go by
class: those that only this database can run before reads that could run at a replica,
and then by priority. ``slot_classes`` orders them inside a class. Each class that
waits behind another one has a small guaranteed share, so that none starves.
"""

from __future__ import annotations

from bisect import insort
from heapq import heapify, heappop, heappush
from typing import NamedTuple, TYPE_CHECKING, TypeAlias

from .running_times import record_running_time, RunningTimes
from .slot_classes import (
    add_waiting,
    band_of,
    charge_start,
    clear_class,
    finish_charged,
    forget_if_idle,
    mean_seconds,
    next_waiting,
    record_arrival,
    remove_waiting,
    SlotClass,
    STALE_ENTRIES_LIMIT,
    start_waiting,
    waiting_count,
    WaitingStatement,
)
from .slot_queue import STATEMENTS_BEYOND_SLOTS

if TYPE_CHECKING:
    from ...types import Seconds
    from .slot_claims import SlotClaim

# Share of the slot time for the classes that wait behind the one being served, split
# evenly between them. It costs the first class little of its goal and still lets
# statements of some 50 ms through before their time budget of seconds ends.
LOWER_CLASSES_SHARE = 0.1
# Shortest time left for a trial. A new connection that is not open by the deadline is
# taken for a failure of the database.
MIN_TRIAL_SECONDS = 0.1

ClassKey: TypeAlias = tuple[bool, int]


class RunningStatement(NamedTuple):
    """Hold a running statement's claim and its charge in seconds."""

    claim: SlotClaim
    charged_seconds: Seconds


class FairSlots:
    """Hold one database's running and waiting statements; changed in place.

    ``checks`` is a heap of when waiting statements are judged again. ``hopeless`` are
    those that were first in line too late to end before their deadline.
    """

    __slots__ = (
        "checks",
        "class_order",
        "classes",
        "hopeless",
        "last_number",
        "pinned",
        "refused_count",
        "running_statements",
        "slots",
        "times",
        "waiting",
    )

    def __init__(self, slots: int) -> None:
        """Start with no statement and equal shares."""
        self.slots = slots
        self.times = RunningTimes()
        self.classes: dict[ClassKey, SlotClass] = {}
        self.class_order: list[ClassKey] = []
        self.pinned: list[tuple[int, float, int]] = []
        self.waiting: dict[int, WaitingStatement] = {}
        self.running_statements: dict[int, RunningStatement] = {}
        self.checks: list[tuple[float, int]] = []
        self.hopeless: list[WaitingStatement] = []
        self.last_number = 0
        self.refused_count = 0

    @property
    def running(self) -> int:
        """Return how many statements run."""
        return len(self.running_statements)


def concurrency_limit(queue: FairSlots) -> int:
    """Return how many statements may be sent and unanswered at once."""
    return queue.slots + STATEMENTS_BEYOND_SLOTS


def has_free_slot(queue: FairSlots) -> bool:
    """Tell whether a statement that arrived now would start at once."""
    return queue.running < concurrency_limit(queue) and not queue.waiting


def may_try(claim: SlotClaim, now: Seconds) -> bool:
    """Tell whether a statement may take a free slot against the estimate.

    Else an estimate that once was too long would let nothing run and stay so.
    """
    return claim.give_up_at - now >= MIN_TRIAL_SECONDS


def is_trial(queue: FairSlots, claim: SlotClaim, now: Seconds) -> bool:
    """Tell whether a statement may run against the estimate, as none of its kind runs.

    Under lasting load no slot is free, so a kind that was slow for a while would else be
    refused for as long as the load lasts.
    """
    return may_try(claim, now) and all(
        (found.claim.priority, found.claim.access) != (claim.priority, claim.access)
        for found in queue.running_statements.values()
    )


def class_key(claim: SlotClaim) -> ClassKey:
    """Return the class of a statement; lower keys go first."""
    return claim.yields, claim.priority


def class_of(queue: FairSlots, claim: SlotClaim) -> SlotClass:
    """Return the class of a statement, a new one on first use."""
    key = class_key(claim)
    found = queue.classes.get(key)
    if found is None:
        found = queue.classes[key] = SlotClass(claim.priority)
        insort(queue.class_order, key)
    return found


def add_statement(
    queue: FairSlots, claim: SlotClaim, band: int, now: Seconds
) -> WaitingStatement:
    """Queue a statement in a band of its class."""
    queue.last_number += 1
    waiter = WaitingStatement(queue.last_number, claim, now)
    queue.waiting[waiter.number] = waiter
    entry = class_of(queue, claim)
    cost = mean_seconds(claim, queue.times)
    record_arrival(entry, claim.organisation, cost, now)
    if claim.pinned:
        heappush(queue.pinned, (claim.priority, claim.goal_at, waiter.number))
    else:
        add_waiting(entry, waiter, band)
    return waiter


def schedule_check(queue: FairSlots, waiter: WaitingStatement, at: Seconds) -> None:
    """Judge a waiting statement again at a moment."""
    heappush(queue.checks, (at, waiter.number))
    if len(queue.checks) > 2 * len(queue.waiting) + STALE_ENTRIES_LIMIT:
        queue.checks[:] = [found for found in queue.checks if found[1] in queue.waiting]
        heapify(queue.checks)


def remove_statement(queue: FairSlots, waiter: WaitingStatement) -> bool:
    """Take a waiting statement out; return False if it does not wait."""
    if queue.waiting.pop(waiter.number, None) is None:
        return False
    entry = class_of(queue, waiter.claim)
    if waiter.claim.pinned:
        forget_if_idle(entry, waiter.claim.organisation)
        if len(queue.pinned) > 2 * len(queue.waiting) + STALE_ENTRIES_LIMIT:
            queue.pinned[:] = [
                found for found in queue.pinned if found[2] in queue.waiting
            ]
            heapify(queue.pinned)
        return True
    remove_waiting(entry, waiter, band_of(entry, waiter))
    if not waiting_count(entry):
        entry.floor_credit = 0.0
    return True


def start_next(queue: FairSlots, now: Seconds) -> WaitingStatement | None:
    """Start the statement that is next if another one may be sent."""
    if queue.running >= concurrency_limit(queue):
        return None
    while queue.waiting:
        waiter = _start_pinned(queue) or _start_from_classes(queue, now)
        if waiter is None:
            return None
        if waiter.number in queue.running_statements:
            return waiter
    return None


def finish_running(queue: FairSlots, number: int, seconds: Seconds | None) -> None:
    """End a running statement; learn and charge its running time if it is known."""
    claim, charged = queue.running_statements.pop(number)
    correction = 0.0
    if seconds is not None:
        correction = seconds - charged
        record_running_time(queue.times, claim.priority, claim.access, seconds)
    finish_charged(class_of(queue, claim), claim, correction)


def clear_waiting(queue: FairSlots) -> None:
    """Drop all waiting statements."""
    queue.waiting.clear()
    queue.pinned.clear()
    queue.checks.clear()
    queue.hopeless.clear()
    for entry in queue.classes.values():
        clear_class(entry)


def _start_pinned(queue: FairSlots) -> WaitingStatement | None:
    """Start the first statement of an open transaction."""
    while queue.pinned:
        waiter = queue.waiting.pop(heappop(queue.pinned)[2], None)
        if waiter is not None:
            cost = mean_seconds(waiter.claim, queue.times)
            charge_start(class_of(queue, waiter.claim), waiter.claim, cost)
            queue.running_statements[waiter.number] = RunningStatement(
                waiter.claim, cost
            )
            return waiter
    return None


def _start_from_classes(queue: FairSlots, now: Seconds) -> WaitingStatement | None:
    """Start the next statement of the class in turn, or set it aside as hopeless."""
    entries = [
        entry for key in queue.class_order if waiting_count(entry := queue.classes[key])
    ]
    if not entries:
        return None
    chosen = entries[0]
    for entry in entries[:0:-1]:
        found = next_waiting(entry, queue.times, now)
        if found and entry.floor_credit >= mean_seconds(found[0].claim, queue.times):
            chosen = entry
            break
    found = next_waiting(chosen, queue.times, now)
    if found is None:
        return None
    waiter, band = found
    cost = mean_seconds(waiter.claim, queue.times)
    is_alone = len(queue.waiting) == 1 and may_try(waiter.claim, now)
    if now + cost > waiter.claim.give_up_at and not (
        is_alone or is_trial(queue, waiter.claim, now)
    ):
        remove_statement(queue, waiter)
        queue.hopeless.append(waiter)
        return waiter
    if chosen is not entries[0]:
        chosen.floor_credit -= cost
    behind = entries[entries.index(chosen) + 1 :]
    for entry in behind:
        entry.floor_credit += cost * LOWER_CLASSES_SHARE / len(behind)
    start_waiting(chosen, waiter, band, cost)
    if not waiting_count(chosen):
        chosen.floor_credit = 0.0
    del queue.waiting[waiter.number]
    queue.running_statements[waiter.number] = RunningStatement(waiter.claim, cost)
    return waiter
