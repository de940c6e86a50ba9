from __future__ import annotations

from itertools import combinations

import pytest

from ....types import DatabaseRole
from ..catalogue import Database
from ..failover import PROMOTION_TIMEOUT_SECONDS
from ..leadership import (
    choose_witnesses,
    decode_recorded_leader,
    encode_recorded_leader,
    is_lease_valid,
    is_promotion_due,
    LeadershipRecord,
    LEASE_SECONDS,
    lease_wait,
    MAX_FORMER_LEADERS,
    may_replace_unreached,
    next_leader_of,
    next_recorded_leader,
    primary_of,
    RecordedLeader,
)

FIRST = Database("a", "s", "10.0.0.1:1", "x", 2, DatabaseRole.PRIMARY, False, 0, 5)
REPLICA = FIRST._replace(role=DatabaseRole.REPLICA, led_since=0)
RECORD = LeadershipRecord(RecordedLeader("n1", "b", ("a",), True), 20, 100.0, 20)
GRADUAL = RECORD._replace(recorded=RECORD.recorded._replace(replaces_at_once=False))


def second(led_since: int) -> Database:
    return FIRST._replace(id="b", led_since=led_since)


@pytest.mark.parametrize(
    ("databases", "record", "expected"),
    [
        ([FIRST, REPLICA._replace(id="b")], None, "a"),
        # The old primary must not be used once another leader is recorded.
        ([FIRST, REPLICA._replace(id="b")], RECORD, None),
        # A platform that deposes it lets it serve until the new one leads.
        ([FIRST, REPLICA._replace(id="b")], GRADUAL, "a"),
        ([FIRST, second(21)], RECORD, "b"),
        ([FIRST, second(21)], GRADUAL, "b"),
        # Its entry lapsed, and it announces itself as primary again.
        ([FIRST._replace(led_since=30), second(21)], RECORD, "b"),
        ([FIRST._replace(led_since=30), REPLICA._replace(id="b")], RECORD, None),
        # An earlier promotion took effect after the recorded one.
        ([FIRST, second(21), FIRST._replace(id="c", led_since=25)], RECORD, "c"),
        # It led before the record and is not the recorded leader.
        ([FIRST._replace(id="c", led_since=7)], RECORD, None),
        ([], RECORD, None),
    ],
)
def test_the_leader_is_the_recorded_one_or_a_newer_one(
    databases: list[Database], record: LeadershipRecord | None, expected: str | None
) -> None:
    by_id = {database.id: database for database in databases}
    found = primary_of(by_id, "s", record)
    assert (found.id if found else None) == expected


@pytest.mark.parametrize(
    ("databases", "record", "expected"),
    [
        ([FIRST, REPLICA._replace(id="b")], None, None),
        ([FIRST, REPLICA._replace(id="b")], RECORD, "b"),
        ([REPLICA, REPLICA._replace(id="b")], RECORD, "b"),
        # Nothing is known of the recorded leader.
        ([FIRST], RECORD, None),
        # The former leader serves until the next one leads, or was seen not to lead.
        ([FIRST, REPLICA._replace(id="b")], GRADUAL, None),
        ([REPLICA, REPLICA._replace(id="b")], GRADUAL, "b"),
        ([FIRST, second(21)], RECORD, None),
    ],
)
def test_the_next_leader_is_recorded_and_does_not_lead_yet(
    databases: list[Database], record: LeadershipRecord | None, expected: str | None
) -> None:
    by_id = {database.id: database for database in databases}
    found = next_leader_of(by_id, "s", record)
    assert (found.id if found else None) == expected


@pytest.mark.parametrize(
    ("confirmed_at", "valid_from", "now", "expected"),
    [
        (10.0, 1.0, 11.0, True),
        (10.0, 1.0, 10.0 + LEASE_SECONDS, False),
        # Clocks differ in speed, so that the holder counts less than the promoter.
        (10.0, 1.0, 10.0 + LEASE_SECONDS * 0.995, False),
        # Before its registration a promoter does not know the instance.
        (10.0, 10.1, 11.0, False),
        (float("-inf"), float("inf"), 11.0, False),
    ],
)
def test_a_lease_is_a_recent_confirmation_of_a_registered_instance(
    confirmed_at: float, valid_from: float, now: float, expected: bool
) -> None:
    found = is_lease_valid(confirmed_at=confirmed_at, valid_from=valid_from, now=now)
    assert found is expected


@pytest.mark.parametrize("asked_at", [7.0, 9.0, 9.999, 10.0])
def test_every_lease_from_before_a_record_ends_within_the_wait(asked_at: float) -> None:
    recorded_at = 10.0
    end = recorded_at + lease_wait(recorded_at, recorded_at)
    assert not is_lease_valid(confirmed_at=asked_at, valid_from=0.0, now=end)


@pytest.mark.parametrize(
    ("record", "missing_for", "age", "rank", "at_work", "leases", "expected"),
    [
        (None, 0.4, 0.0, 0, False, True, False),
        (None, 0.6, 0.0, 0, False, True, True),
        (None, 0.6, 0.0, 1, False, True, False),
        (None, 1.6, 0.0, 1, False, True, True),
        # Another promoter waits for leases and for the platform.
        (RECORD, 3.0, 3.0, 1, True, True, False),
        (RECORD, 9.0, LEASE_SECONDS + PROMOTION_TIMEOUT_SECONDS, 1, True, True, True),
        (RECORD, 9.0, PROMOTION_TIMEOUT_SECONDS - 0.1, 1, True, False, False),
        (RECORD, 9.0, PROMOTION_TIMEOUT_SECONDS + 0.1, 1, True, False, True),
        # It was lost, or it is this instance itself, whose attempt is over.
        (RECORD, 3.0, 1.0, 1, False, True, True),
        (RECORD, 0.6, 0.6, 0, False, False, True),
    ],
)
def test_a_promotion_under_way_is_left_time(
    record: LeadershipRecord | None,
    missing_for: float,
    age: float,
    rank: int,
    at_work: bool,
    leases: bool,
    expected: bool,
) -> None:
    now = RECORD.learned_at + age
    found = is_promotion_due(
        record,
        missing_since=now - missing_for,
        rank=rank,
        is_promoter_at_work=at_work,
        waits_for_leases=leases,
        now=now,
    )
    assert found is expected


def test_a_record_names_the_last_former_leaders_once() -> None:
    record: LeadershipRecord | None = None
    leaders = ["a", "b", "a", "c", "d", "e", "f", "g"]
    for revision, (current, leader) in enumerate(
        zip(leaders, leaders[1:], strict=False), start=1
    ):
        recorded = next_recorded_leader(
            record,
            promoter="n1",
            leader=leader,
            current=current,
            replaces_at_once=True,
            era=1,
        )
        assert leader not in recorded.former
        assert recorded.former[-1] == current
        assert len(recorded.former) <= MAX_FORMER_LEADERS
        assert decode_recorded_leader(encode_recorded_leader(recorded)).unwrap() == (
            recorded
        )
        record = LeadershipRecord(recorded, revision, 0.0, revision)
    assert record is not None
    assert record.recorded.former == ("c", "d", "e", "f")


@pytest.mark.parametrize("value", [b"", b"n1 a", b"[]", b'["n1", 3]', b"\xff"])
def test_a_malformed_record_is_reported(value: bytes) -> None:
    assert decode_recorded_leader(value).failure()


DOMAINS = {f"{domain}{number}": domain for domain in "xyz" for number in range(3)}


def test_witnesses_stand_in_different_failure_domains() -> None:
    found = choose_witnesses(sorted(DOMAINS), DOMAINS)
    assert sorted(DOMAINS[name] for name in found) == ["x", "y", "z"]
    few = {"x0": "x", "x1": "x", "y0": "y"}
    assert choose_witnesses(sorted(few), few) == ["x0", "y0", "x1"]
    assert choose_witnesses([], {}) == []


def test_no_split_lets_an_instance_that_no_peer_answers_replace_a_primary() -> None:
    """Play every split of nine instances; the primary stays with the other part."""
    names = sorted(DOMAINS)
    for size in range(1, len(names)):
        for part in combinations(names, size):
            judge = part[0]
            others = {name: DOMAINS[name] for name in names if name != judge}
            witnesses = choose_witnesses(sorted(others), others)
            answers = {name: False if name in part else None for name in witnesses}
            decides = may_replace_unreached(answers, has_peers=True)
            assert decides is any(name in part for name in witnesses)
            # A witness on the primary's side that is reached keeps the primary.
            reached = {name: name not in part for name in witnesses}
            assert may_replace_unreached(reached, has_peers=True) is all(
                name in part for name in witnesses
            )


@pytest.mark.parametrize(
    ("answers", "has_peers", "expected"),
    [
        ({}, False, True),
        ({}, True, False),
        ({"a": None, "b": None}, True, False),
        ({"a": None, "b": False}, True, True),
        ({"a": True, "b": False}, True, False),
    ],
)
def test_a_missing_answer_is_no_evidence(
    answers: dict[str, bool | None], has_peers: bool, expected: bool
) -> None:
    assert may_replace_unreached(answers, has_peers=has_peers) is expected
