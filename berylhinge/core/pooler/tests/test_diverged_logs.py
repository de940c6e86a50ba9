from __future__ import annotations

import pytest

from ....types import LogPoint
from ..diverged_logs import (
    diverged_leaders,
    DIVERGED_LOG_WAIT_SECONDS,
    may_lead_again,
    newest_term,
)
from ..leadership import LeadershipRecord, RecordedLeader

# "a" was cut off while it led, and "b" was promoted with fewer commits.
RECORD = LeadershipRecord(RecordedLeader("n", "b", ("a",), True), 7, 0.0, 7)


@pytest.mark.parametrize(
    ("points", "record", "term", "expected"),
    [
        ({"a": LogPoint(1, 75)}, RECORD, 2, {"a"}),
        ({"a": LogPoint(2, 80)}, RECORD, 2, set()),
        ({"a": LogPoint(1, 75)}, RECORD, 1, set()),
        ({"b": LogPoint(1, 73), "c": LogPoint(1, 73)}, RECORD, 2, set()),
        ({"a": LogPoint(1, 75), "c": LogPoint(2, 77)}, RECORD, 2, {"a"}),
        ({"a": LogPoint(1, 75)}, None, 2, set()),
    ],
    ids=["cut-off", "caught-up", "no-commit-since", "never-led", "beside", "no-record"],
)
def test_a_former_leader_without_its_successors_commits_has_diverged(
    points: dict[str, LogPoint],
    record: LeadershipRecord | None,
    term: int,
    expected: set[str],
) -> None:
    assert diverged_leaders(points, record, term) == expected


def test_the_newest_known_term_counts() -> None:
    assert newest_term([None, LogPoint(1, 9), LogPoint(3, 1), LogPoint(2, 4)]) == 3
    assert newest_term([None]) == 0


def test_a_service_does_not_wait_for_ever() -> None:
    assert not may_lead_again(5.0, 5.0 + DIVERGED_LOG_WAIT_SECONDS - 0.1)
    assert may_lead_again(5.0, 5.0 + DIVERGED_LOG_WAIT_SECONDS)
