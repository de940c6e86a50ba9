"""Enumerate what can happen around an order to promote that may still take effect."""

from __future__ import annotations

from itertools import product
from typing import NamedTuple

import pytest

from ....types import DatabaseRole, LogPoint, ReceivedPoint
from ..catalogue import Database
from ..leadership import (
    LeadershipRecord,
    next_leader_of,
    next_recorded_leader,
    primary_of,
    RecordedLeader,
)
from ..promotion_orders import (
    ACCEPTED_EFFECT_SECONDS,
    choose_leader,
    is_lead_proven,
    is_surely_refused,
    may_order,
    NO_REFUSED_ORDER,
    pending_order,
    RefusedOrder,
    term_to_exceed,
)


class Course(NamedTuple):
    """Hold the times, in seconds after the first record, of one course of events.

    A promoter records that x leads and asks for it; None is a lost answer. An effect at
    None never happens. No instance reaches ``unreached``. A restored store
    lacks the record until it is written again.
    """

    ordered_at: float
    effect_after: float | None
    answers: tuple[bool | None, ...]
    second_at: float
    second_effect_after: float
    unreached: str
    is_store_restored: bool


class Platform:
    """Model databases, orders and one shared belief; nothing checks fencing tokens.

    ``faults`` names commits where the platform's primary is another database, and
    commits that an order takes back which is older than the record they rest on.
    """

    def __init__(self) -> None:
        self.now, self.revision, self.term, self.primary = 0.0, 100, 1, "p"
        self.points = {
            "p": ReceivedPoint(1, 12),
            "x": ReceivedPoint(1, 10),
            "r": ReceivedPoint(1, 9),
        }
        self.answers_as_primary = {"p"}
        self.databases = {
            name: Database(name, "s", "", "z", 2, DatabaseRole.REPLICA, False, 0)
            for name in self.points
        }
        self.databases["p"] = self.databases["p"]._replace(
            role=DatabaseRole.PRIMARY, led_since=5
        )
        self.record: LeadershipRecord | None = None
        self.orders: list[tuple[float, str, int]] = []
        self.newest_commit, self.last_commit_at = 0, 0.0
        self.faults: list[str] = []

    def write_record(
        self, leader: str, current: str | None, *, after_term: int = 0
    ) -> None:
        self.revision += 1
        recorded = next_recorded_leader(
            self.record,
            promoter="n",
            leader=leader,
            current=current,
            replaces_at_once=True,
            era=0,
            after_term=after_term,
        )
        self.record = LeadershipRecord(recorded, self.revision, self.now, self.revision)

    def promote_again(self, unreached: str, refused: RefusedOrder) -> bool:
        """Act as an instance that finds no primary in use; return whether it orders."""
        if primary_of(self.databases, "s", self.record) is not None:
            return False
        assert self.record is not None
        pending = pending_order(self.record, None, refused=refused, now=self.now)
        points = {name: at for name, at in self.points.items() if name != unreached}
        candidates = list(self.databases.values())
        chosen = choose_leader(candidates, points, self.record, pending)
        if chosen is None:
            return False
        term = term_to_exceed(chosen, points[chosen.id], self.record)
        self.write_record(chosen.id, None, after_term=term)
        return True

    def needs_confirmation(self) -> bool:
        return self.record is not None and self.record.recorded.after_term > 0

    def restore_store(self) -> None:
        """Let an instance act that learns the record when it is written again."""
        assert self.record is not None
        self.record = self.record._replace(
            revision=self.record.revision + 1000, learned_at=self.now
        )
        self.revision += 1000

    def order(
        self, record: LeadershipRecord | None, effect_after: float | None
    ) -> None:
        assert record is not None
        if effect_after is not None and may_order(record.learned_at, self.now):
            order = (self.now + effect_after, record.recorded.leader, record.origin)
            self.orders.append(order)

    def take_effect(self, target: str, origin: int) -> None:
        if target == self.primary:
            return
        if self.newest_commit > origin:
            self.faults.append(f"the order for {target} takes commits back")
        self.term += 1
        self.primary = target
        self.answers_as_primary.add(target)
        self.points[target] = ReceivedPoint(self.term, self.points[target].position + 1)

    def commit(self, unreached: str) -> None:
        """Let a caller commit where the holder of the leader believes that it may."""
        leader = primary_of(self.databases, "s", self.record)
        found = next_leader_of(self.databases, "s", self.record)
        if (
            found is not None
            and found.id in self.answers_as_primary - {unreached}
            and is_lead_proven(self.record, LogPoint(*self.points[found.id]))
        ):
            assert self.record is not None
            leader = self.databases[found.id] = found._replace(
                role=DatabaseRole.PRIMARY, led_since=self.record.revision
            )
        if leader is None or leader.id not in self.answers_as_primary - {unreached}:
            return
        assert self.record is not None
        self.newest_commit = self.record.origin
        self.last_commit_at = self.now
        if leader.id != self.primary:
            self.faults.append(f"a commit at {leader.id}, {self.primary} leads")


def play(course: Course) -> Platform:
    """Play one course of events, in tenths of a second."""
    world = Platform()
    world.write_record("x", "p")
    first, is_refused = world.record, is_surely_refused(course.answers)
    refused = NO_REFUSED_ORDER
    if first is not None and is_refused:
        refused = RefusedOrder(first.origin, 0.0)
    confirm_at = None
    for tenth in range(300):
        world.now = tenth / 10
        for order in sorted(world.orders):
            if order[0] <= world.now:
                world.orders.remove(order)
                world.take_effect(order[1], order[2])
        if world.now == course.ordered_at:
            world.order(first, course.effect_after)
        if world.now == 2.5 and course.is_store_restored:
            world.restore_store()
        if confirm_at is not None and world.now >= confirm_at:
            assert world.record is not None
            world.write_record(world.record.recorded.leader, None)
            confirm_at = None
        is_due = world.now >= course.second_at and tenth % 5 == 0
        if (
            is_due
            and confirm_at is None
            and world.promote_again(course.unreached, refused)
        ):
            world.order(world.record, course.second_effect_after)
            if world.needs_confirmation():
                confirm_at = world.now + ACCEPTED_EFFECT_SECONDS
        world.commit(course.unreached)
    return world


COURSES = [
    Course(*parts)
    for parts in product(
        (0.1, 2.5, 5.5, 8.8),
        (0.3, 1.0, 2.9, None),
        ((False,), (None, False), (None,)),
        (0.5, 3.0, 9.5),
        (0.3, 1.0),
        "xrp-",
        (False, True),
    )
]
# An order that was surely refused has no effect, and after a restore no instance promotes
# before the records are written again.
POSSIBLE = [
    course
    for course in COURSES
    if not (course.answers == (False,) and course.effect_after is not None)
    and not (course.is_store_restored and course.second_at < 2.5)
]


# Guards against: the former primary, whose log is the longest, was recorded while a
# promotion was under way, and was used since it still answered as a primary.
def test_no_course_uses_a_leader_that_an_earlier_order_replaces() -> None:
    broken = {
        course: faults[0] for course in POSSIBLE if (faults := play(course).faults)
    }
    assert not broken


# Guards against: a service that waits for ever for a leader that must prove itself.
def test_every_course_ends_with_commits() -> None:
    idle = [course for course in POSSIBLE if play(course).last_commit_at < 29.0]
    assert not idle


@pytest.mark.parametrize(
    ("refused", "now", "is_pending"),
    [
        (NO_REFUSED_ORDER, 108.0, True),
        (NO_REFUSED_ORDER, 109.0, False),
        (RefusedOrder(9, 0.0), 101.0, False),
        (RefusedOrder(9, 103.0), 102.0, True),
        (RefusedOrder(9, 103.0), 104.0, False),
        (RefusedOrder(8, 103.0), 104.0, True),
    ],
)
def test_a_refused_repeat_does_not_prolong_an_order(
    refused: RefusedOrder, now: float, is_pending: bool
) -> None:
    """Guards a service against waiting for ever for a database that is refused."""
    recorded = RecordedLeader("n1", "x", (), True)
    record = LeadershipRecord(recorded, 9, 100.0, 9)
    found = pending_order(record, None, refused=refused, now=now)
    assert (found is not None) is is_pending
