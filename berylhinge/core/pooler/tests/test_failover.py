from __future__ import annotations

import pytest

from ....types import DatabaseRole, ReceivedPoint
from ..catalogue import Database
from ..failover import (
    choose_successor,
    DatabaseHealth,
    judge_primary,
    record_answer,
    record_failure,
    UNKNOWN_HEALTH,
    Verdict,
)
from ..leadership import primary_of

PRIMARY = Database("p", "s", "10.0.0.1:1", "x", 2, DatabaseRole.PRIMARY, False, 0, 5)
SILENT = record_failure(UNKNOWN_HEALTH, 10.0, refused=False)
REFUSED = record_failure(UNKNOWN_HEALTH, 10.0, refused=True)


@pytest.mark.parametrize(
    ("health", "primary", "line", "now", "expected"),
    [
        (UNKNOWN_HEALTH, PRIMARY, 0, 10.0, Verdict.KEEP),
        (SILENT, PRIMARY, 0, 10.1, Verdict.KEEP),
        (SILENT, PRIMARY, 0, 10.3, Verdict.CHECK),
        (REFUSED, PRIMARY, 0, 10.15, Verdict.CHECK),
        # The second instance in line leaves the first one time to act.
        (SILENT, PRIMARY, 1, 10.3, Verdict.KEEP),
        (SILENT, PRIMARY, 1, 10.9, Verdict.CHECK),
        (record_answer(SILENT, 10.2), PRIMARY, 0, 11.0, Verdict.KEEP),
        # A leaving primary is replaced while it still serves.
        (UNKNOWN_HEALTH, PRIMARY._replace(leaving=True), 0, 10.0, Verdict.REPLACE),
        (UNKNOWN_HEALTH, None, 0, 10.0, Verdict.REPLACE),
    ],
)
def test_judge(
    health: DatabaseHealth,
    primary: Database | None,
    line: int,
    now: float,
    expected: Verdict,
) -> None:
    assert judge_primary(health, primary, place_in_line=line, now=now) is expected


def replica(name: str, *, leaving: bool) -> Database:
    return PRIMARY._replace(id=name, role=DatabaseRole.REPLICA, leaving=leaving)


@pytest.mark.parametrize(
    ("points", "leaving", "expected"),
    [
        ({"a": ReceivedPoint(1, 5), "b": ReceivedPoint(1, 7)}, (), "b"),
        ({"a": ReceivedPoint(2, 1), "b": ReceivedPoint(1, 7)}, (), "a"),
        ({"a": ReceivedPoint(1, 5)}, (), "a"),
        ({"a": ReceivedPoint(1, 5), "b": ReceivedPoint(1, 7)}, ("b",), "a"),
        ({}, (), None),
    ],
)
def test_the_successor_has_the_longest_reachable_log(
    points: dict[str, ReceivedPoint], leaving: tuple[str, ...], expected: str | None
) -> None:
    candidates = [replica(name, leaving=name in leaving) for name in ("a", "b")]
    found = choose_successor(candidates, points)
    assert (found.id if found else None) == expected


def test_the_database_that_announced_leadership_last_is_the_primary() -> None:
    # A primary that is cut off goes on announcing that it is primary.
    newer = PRIMARY._replace(id="n", led_since=9)
    found = primary_of({"p": PRIMARY, "n": newer}, "s", None)
    assert found is newer


def test_a_lost_answer_is_no_silence_of_a_database_that_answered_since() -> None:
    # One lost answer made a primary that answered others count as silent for as long as
    # the answer had been awaited, so that waiting statements were sent elsewhere.
    answered = record_answer(UNKNOWN_HEALTH, 10.4)
    failed = record_failure(answered, 10.0, refused=False)
    assert failed.failed_since == 10.4
    assert record_failure(answered, 10.5, refused=False).failed_since == 10.5
