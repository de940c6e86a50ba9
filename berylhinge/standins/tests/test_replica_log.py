from __future__ import annotations

from typing import TYPE_CHECKING

import pytest

from ...types import DatabaseRole, LogPoint
from .. import replica_log
from ..entry_log import Change, Entry, EntryLog
from ..replica_log import Append, Fence, Promote, ReplicaState, Write

if TYPE_CHECKING:
    from ..replica_log import AppendReply


def log_of(*terms: int) -> EntryLog:
    log = EntryLog()
    for position, term in enumerate(terms, start=1):
        log = log.append(Entry(term, position, f"{term}.{position}"))
    return log


def terms_of(state: ReplicaState) -> list[int]:
    return [entry.term for entry in state.log]


def replica(*terms: int, term: int = 1, log_term: int = 1) -> ReplicaState:
    return ReplicaState("b", term=term, log_term=log_term, log=log_of(*terms))


def send(state: ReplicaState, term: int, at: int, log: EntryLog) -> AppendReply:
    previous = LogPoint(log.term_at(at) or 0, at)
    append = Append(term, "a", previous, log.after(at, 100))
    return replica_log.append(state, append)


@pytest.mark.parametrize(
    ("term", "voted_for", "asked", "granted"),
    [
        (1, None, Fence(2, "p"), True),
        (1, "q", Fence(2, "p"), True),
        (2, "p", Fence(2, "p"), True),
        (2, "q", Fence(2, "p"), False),
        (2, None, Fence(2, "p"), False),
        (3, "p", Fence(2, "p"), False),
    ],
)
def test_each_term_is_granted_to_one_promoter(term, voted_for, asked, granted):
    state = ReplicaState("a", term=term, voted_for=voted_for, log=log_of(1, 1))
    after, reply = replica_log.fence(state, asked)
    assert reply.granted is granted
    assert reply.status == replica_log.status(after)
    assert reply.status.last == (1, 2)
    assert after.term == max(term, asked.term)
    assert after.voted_for == (asked.promoter if granted else voted_for)


@pytest.mark.parametrize("role", [DatabaseRole.PRIMARY, DatabaseRole.REPLICA])
def test_a_fence_ends_every_older_role(role):
    state = ReplicaState("a", term=1, role=role, primary="a")
    after, _ = replica_log.fence(state, Fence(2, "p"))
    assert (after.role, after.primary) == (DatabaseRole.REPLICA, None)


@pytest.mark.parametrize(
    ("state", "promoted"),
    [
        (ReplicaState("a", term=2, voted_for="p", log=log_of(1)), True),
        (ReplicaState("a", term=2, voted_for="q", log=log_of(1)), False),
        (ReplicaState("a", term=3, voted_for="p", log=log_of(1)), False),
        (ReplicaState("a", term=2, voted_for="p", primary="b", log=log_of(1)), False),
    ],
)
def test_only_the_granted_promoter_promotes_in_the_highest_term(state, promoted):
    after, reply = replica_log.promote(state, Promote(2, "p"))
    assert reply.promoted is promoted
    if promoted:
        assert terms_of(after) == [1, 2]
        assert reply.status.role is DatabaseRole.PRIMARY
        assert (reply.status.log_term, reply.status.last) == (2, (2, 2))
    else:
        assert after == state


def test_a_repeated_promotion_writes_no_second_entry():
    state = ReplicaState("a", term=2, voted_for="p")
    once, _ = replica_log.promote(state, Promote(2, "p"))
    twice, reply = replica_log.promote(once, Promote(2, "p"))
    assert reply.promoted
    assert twice == once


@pytest.mark.parametrize(
    ("role", "term", "fault"),
    [
        (DatabaseRole.PRIMARY, 2, None),
        (DatabaseRole.PRIMARY, 1, "superseded"),
        (DatabaseRole.PRIMARY, 3, "not-primary"),
        (DatabaseRole.PRIMARY, None, "not-primary"),
        (DatabaseRole.REPLICA, 2, "not-primary"),
        (DatabaseRole.REPLICA, 1, "superseded"),
    ],
)
def test_a_write_needs_the_term_of_a_primary(role, term, fault):
    state = ReplicaState("a", term=2, role=role, log=log_of(2))
    after, reply = replica_log.write(state, Write(term, "r", (Change("s"),)))
    assert reply.fault == fault
    if fault:
        assert (after, reply.written) == (state, None)
    else:
        assert reply.written == (2, 2)
        assert list(after.log)[-1] == Entry(2, 2, "r", (Change("s"),))


@pytest.mark.parametrize(
    ("held", "term", "at", "sent", "accepted", "left", "log_term"),
    [
        pytest.param((1,), 1, 1, (1, 1), True, [1, 1], 1, id="follow"),
        pytest.param((1,), 0, 1, (1, 1), False, [1], 1, id="older term"),
        pytest.param((1,), 2, 2, (1, 1, 2), False, [1], 1, id="gap"),
        pytest.param((1, 1), 2, 2, (1, 2, 2), False, [1, 1], 1, id="other previous"),
        pytest.param((1, 1), 2, 1, (1, 2), True, [1, 2], 2, id="conflict"),
        pytest.param((1, 1, 1), 2, 1, (1, 2), True, [1, 2], 2, id="longer conflict"),
        pytest.param((1, 1), 2, 0, (1,), True, [1, 1], 1, id="no conflict keeps all"),
        pytest.param((1, 1), 2, 0, (1, 1), True, [1, 1], 2, id="matched to the end"),
        pytest.param((1, 1, 1), 1, 0, (1,), True, [1, 1, 1], 1, id="late repeat"),
    ],
)
def test_an_append_drops_only_what_conflicts(
    held, term, at, sent, accepted, left, log_term
):
    state = replica(*held)
    after, reply = send(state, term, at, log_of(*sent))
    assert reply.accepted is accepted
    assert terms_of(after) == left
    assert (after.log_term, reply.log_term) == (log_term, log_term)
    assert terms_of(state) == list(held)


def test_a_primary_finds_where_a_replica_matches():
    primary = ReplicaState("a", term=3, voted_for="p", log=log_of(1, 2, 2))
    primary, _ = replica_log.promote(primary, Promote(3, "p"))
    state, matched = replica(1, 1, 1, 1, 1), len(primary.log)
    for _ in range(len(primary.log) + 2):
        append = replica_log.append_request(primary, matched, 1)
        state, reply = replica_log.append(state, append)
        matched = replica_log.next_matched(primary, matched, reply)
    assert state.log == primary.log
    assert (state.log_term, state.primary, matched) == (3, "a", 4)


def test_a_crashed_primary_comes_back_as_replica_with_its_log():
    state = ReplicaState(
        "a", term=2, role=DatabaseRole.PRIMARY, primary="a", log=log_of(2)
    )
    after = replica_log.restart(state)
    assert (after.role, after.primary, after.log) == (
        DatabaseRole.REPLICA,
        None,
        state.log,
    )


def test_a_log_value_never_changes():
    short = log_of(1, 1)
    first = short.append(Entry(1, 3, "x"))
    other = short.append(Entry(2, 3, "y"))
    cut = first.truncate(1).append(Entry(3, 2, "z"))
    assert [entry.request_id for entry in first] == ["1.1", "1.2", "x"]
    assert [entry.request_id for entry in other] == ["1.1", "1.2", "y"]
    assert [entry.request_id for entry in cut] == ["1.1", "z"]
    assert len({short, first, other, cut}) == 4
    assert [short.term_at(at) for at in (0, 1, 2, 3, -1)] == [0, 1, 1, None, None]
