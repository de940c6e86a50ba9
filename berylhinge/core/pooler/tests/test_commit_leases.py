from __future__ import annotations

from collections.abc import Iterator
from typing import NamedTuple

import pytest

from ....types import DatabaseRole, ReceivedPoint
from ..catalogue import Database
from ..commit_leases import CommitLease, lease_commit, may_acknowledge
from ..leadership import (
    is_lease_valid,
    LeadershipRecord,
    LEASE_SECONDS,
    lease_wait,
    next_recorded_leader,
    NO_LEADER,
    primary_of,
)
from ..promotion_orders import choose_leader

PRIMARY, REPLICAS = "p", ("x", "y")
STOPPED, RECORDED = 10, 11
COMMITS = 2
# One jump ends every lease.
JUMP_SECONDS = 2 * LEASE_SECONDS


def database(name: str) -> Database:
    role = DatabaseRole.PRIMARY if name == PRIMARY else DatabaseRole.REPLICA
    return Database(name, "s", "", "z", 2, role, False, 0)


DATABASES = {name: database(name) for name in (PRIMARY, *REPLICAS)}


def leader_record(origin: int, leader: str) -> LeadershipRecord | None:
    if not origin:
        return None
    recorded = next_recorded_leader(
        None,
        promoter="a",
        leader=leader,
        current=PRIMARY,
        replaces_at_once=True,
        era=0,
        is_exclusive=True,
    )
    return LeadershipRecord(recorded, origin, 0.0, origin)


class Instance(NamedTuple):
    """What one instance knows: the record, its own lease and what it confirmed."""

    origin: int = 0
    confirmed_at: float = 0.0
    confirmed_origin: int = 0


class Commit(NamedTuple):
    """A commit on its way: by whom, under which lease, and how far it is."""

    instance: int
    lease: CommitLease
    stage: str = "sent"


class State(NamedTuple):
    """One moment of a planned replacement with two instances; the first promotes."""

    now: float = 0.0
    steps: tuple[str, ...] = ()
    instances: tuple[Instance, Instance] = (Instance(), Instance())
    commits: tuple[Commit, ...] = ()
    received: tuple[int, int] = (0, 0)
    stopped_at: float | None = None
    chosen: str = ""

    def knows(self, instance: Instance) -> LeadershipRecord | None:
        leader = self.chosen if instance.origin == RECORDED else NO_LEADER
        return leader_record(instance.origin, leader)

    def may_use(self, instance: Instance) -> bool:
        leader = primary_of(DATABASES, "s", self.knows(instance))
        return (
            leader is not None
            and leader.id == PRIMARY
            and is_lease_valid(
                confirmed_at=instance.confirmed_at, valid_from=0.0, now=self.now
            )
        )

    def with_instance(self, number: int, changed: Instance) -> State:
        first, second = self.instances
        instances = (changed, second) if number == 0 else (first, changed)
        return self._replace(instances=instances)

    def with_commit(self, number: int, stage: str) -> State:
        changed = self.commits[number]._replace(stage=stage)
        commits = (*self.commits[:number], changed, *self.commits[number + 1 :])
        return self._replace(commits=commits)


# The steps of the promoter in their order, and those that may be left out.
SAFE_STEPS = ("stop", "own-commits", "other-instance", "question", "record", "effect")
FORMER_STEPS = ("question", "record", "effect")


def take_step(state: State, step: str) -> Iterator[State]:
    """Return what the promoter's next step may lead to."""
    state = state._replace(steps=state.steps[1:])
    first, second = state.instances
    if step == "stop":
        state = state._replace(stopped_at=state.now)
        yield state.with_instance(0, first._replace(origin=STOPPED))
    elif step == "own-commits":
        yield state.with_instance(0, first._replace(confirmed_origin=STOPPED))
    elif step == "other-instance":
        stopped = second._replace(origin=STOPPED, confirmed_origin=STOPPED)
        yield state.with_instance(1, stopped)
        if not lease_wait(state.stopped_at or 0.0, state.now):
            yield state
    elif step == "question":
        points = {
            name: ReceivedPoint(1, length)
            for name, length in zip(REPLICAS, state.received, strict=True)
        }
        replicas = [DATABASES[name] for name in REPLICAS]
        chosen = choose_leader(replicas, points, None, None)
        assert chosen is not None
        yield state._replace(chosen=chosen.id)
    elif step == "record" and first.origin:
        yield state.with_instance(0, first._replace(origin=RECORDED))
    else:
        yield state


def next_states(state: State, *, acknowledges_all: bool) -> Iterator[State]:
    """Return every state that may follow; any message may be as late as it likes."""
    if state.steps:
        yield from take_step(state, state.steps[0])
    if state.now < JUMP_SECONDS:
        yield state._replace(now=state.now + JUMP_SECONDS)
    for number, instance in enumerate(state.instances):
        # What confirms that nothing is newer brings every record that there is.
        is_stopped = state.stopped_at is not None
        origin = max(instance.origin, STOPPED) if is_stopped else instance.origin
        confirmed = instance._replace(origin=origin, confirmed_at=state.now)
        yield state.with_instance(number, confirmed)
    yield from arrive(state, acknowledges_all=acknowledges_all)
    if state.steps:
        yield from commit(state)


def commit(state: State) -> Iterator[State]:
    """Return what the former primary may do, which leads until the last step."""
    for number, instance in enumerate(state.instances):
        if len(state.commits) < COMMITS and state.may_use(instance):
            lease = lease_commit(
                state.knows(instance), confirmed_at=instance.confirmed_at
            )
            commits = (*state.commits, Commit(number, lease))
            yield state._replace(commits=commits)
    for number, length in enumerate(state.received):
        if length < len(state.commits):
            longer = list(state.received)
            longer[number] += 1
            yield state._replace(received=(longer[0], longer[1]))
    for number, sent in enumerate(state.commits):
        if sent.stage == "sent" and max(state.received) > number:
            yield state.with_commit(number, "answered")


def arrive(state: State, *, acknowledges_all: bool) -> Iterator[State]:
    """Return what may follow from the answers that are on their way."""
    for number, answered in enumerate(state.commits):
        if answered.stage == "answered":
            instance = state.instances[answered.instance]
            is_acknowledged = acknowledges_all or may_acknowledge(
                answered.lease,
                state.knows(instance),
                confirmed_origin=instance.confirmed_origin,
                may_use_primary=state.may_use(instance),
                now=state.now,
            )
            stage = "acknowledged" if is_acknowledged else "in doubt"
            yield state.with_commit(number, stage)


def has_lost_commit(state: State) -> bool:
    """Tell whether an acknowledged commit is missing in the leader's log."""
    held = state.received[REPLICAS.index(state.chosen)]
    return any(c.stage == "acknowledged" for c in state.commits[held:])


def play(steps: tuple[str, ...], *, acknowledges_all: bool) -> tuple[int, int]:
    """Return how many ends are reached in any order of events, and how many lose."""
    start = State(steps=steps)
    seen, waiting = {start}, [start]
    while waiting:
        state = waiting.pop()
        for after in next_states(state, acknowledges_all=acknowledges_all):
            if after not in seen:
                seen.add(after)
                waiting.append(after)
    ends = [state for state in seen if not state.steps]
    return len(ends), sum(map(has_lost_commit, ends))


def without(step: str) -> tuple[str, ...]:
    return tuple(name for name in SAFE_STEPS if name != step)


@pytest.mark.parametrize(
    ("steps", "acknowledges_all", "is_safe"),
    [
        (SAFE_STEPS, False, True),
        (FORMER_STEPS, False, False),
        (FORMER_STEPS, True, False),
        (SAFE_STEPS, True, False),
        (without("stop"), False, False),
        (without("own-commits"), False, False),
        (without("other-instance"), False, False),
        (("question", *without("question")), False, False),
    ],
    ids=[
        "stop-then-ask",
        "former-rule-with-leases",
        "former-rule",
        "acknowledge-after-the-lease",
        "without-the-record",
        "without-own-commits",
        "without-the-other-instance",
        "ask-then-stop",
    ],
)
def test_no_acknowledged_commit_is_missing_in_any_order_of_events(
    steps: tuple[str, ...], acknowledges_all: bool, is_safe: bool
) -> None:
    # Commits acknowledged between the question and the promotion were rolled back.
    ends, lost = play(steps, acknowledges_all=acknowledges_all)
    assert ends
    assert (lost == 0) is is_safe


@pytest.mark.parametrize(
    ("origin", "confirmed_origin", "may_use_primary", "now", "expected"),
    [
        (0, 0, True, 1.0, True),
        (0, 0, False, 1.0, True),
        (0, 0, False, 2.5, False),
        (0, 0, True, 9.0, True),
        (7, 0, True, 9.0, False),
        (7, 7, True, 1.0, False),
        (7, 0, False, 1.0, True),
    ],
    ids=[
        "leads",
        "replaced-within-the-lease",
        "replaced-after-the-lease",
        "lease-was-renewed",
        "leads-again",
        "stop-was-confirmed",
        "stop-is-known-and-not-confirmed",
    ],
)
def test_a_commit_is_acknowledged_only_within_its_lease(
    origin: int,
    confirmed_origin: int,
    may_use_primary: bool,
    now: float,
    expected: bool,
) -> None:
    lease = lease_commit(None, confirmed_at=0.0)
    record = leader_record(origin, PRIMARY)
    found = may_acknowledge(
        lease,
        record,
        confirmed_origin=confirmed_origin,
        may_use_primary=may_use_primary,
        now=now,
    )
    assert found is expected
