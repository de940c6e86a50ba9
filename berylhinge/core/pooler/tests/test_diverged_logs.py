from __future__ import annotations

import pytest

from ....types import LogPoint, ReceivedPoint
from ..diverged_logs import (
    continue_wait,
    diverged_leaders,
    may_lead_again,
    newest_term,
)
from ..leadership import LeadershipRecord, RecordedLeader

# "a" was cut off while it led, and "b" was promoted with fewer commits.
RECORD = LeadershipRecord(RecordedLeader("n", "b", ("a",), True), 7, 0.0, 7)


@pytest.mark.parametrize(
    ("points", "record", "term", "expected"),
    [
        ({"a": ReceivedPoint(1, 75)}, RECORD, 2, {"a"}),
        ({"a": ReceivedPoint(2, 80)}, RECORD, 2, set()),
        ({"a": ReceivedPoint(1, 75)}, RECORD, 1, set()),
        ({"b": ReceivedPoint(1, 73), "c": ReceivedPoint(1, 73)}, RECORD, 2, set()),
        ({"a": ReceivedPoint(1, 75), "c": ReceivedPoint(2, 77)}, RECORD, 2, {"a"}),
        ({"a": ReceivedPoint(1, 75)}, None, 2, set()),
    ],
    ids=["cut-off", "caught-up", "no-commit-since", "never-led", "beside", "no-record"],
)
def test_a_former_leader_without_its_successors_commits_has_diverged(
    points: dict[str, ReceivedPoint],
    record: LeadershipRecord | None,
    term: int,
    expected: set[str],
) -> None:
    assert diverged_leaders(points, record, term) == expected


def test_the_newest_known_term_counts() -> None:
    assert newest_term([None, LogPoint(1, 9), LogPoint(3, 1), LogPoint(2, 4)]) == 3
    assert newest_term([None]) == 0


@pytest.mark.parametrize(
    ("looks", "expected"),
    [
        ([0.0, 4.0, 9.9], False),
        ([0.0, 4.0, 10.0], True),
        # The primary came back, and is lost again.
        ([0.0, 4.0, 90.0], False),
        ([0.0, 4.0, 90.0, 95.0, 100.0], True),
    ],
)
def test_a_service_waits_for_a_while_each_time(
    looks: list[float], expected: bool
) -> None:
    wait = None
    for now in looks:
        wait = continue_wait(wait, now)
    assert wait is not None
    assert may_lead_again(wait) == expected
