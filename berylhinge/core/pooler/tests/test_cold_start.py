from __future__ import annotations

import pytest

from ..cold_start import (
    ColdStartWindow,
    ColdTolerance,
    may_have_restarted,
    NEW_HOLDER_SECONDS,
    record_admission,
    record_holder,
    requests_allowed,
    wait_for_admission,
    WINDOW_SECONDS,
)

TOLERANCE = ColdTolerance(1.5, 5.0)
STEP = 0.01


@pytest.mark.parametrize(
    ("per_second", "tolerance", "expected"),
    [
        (20.0, TOLERANCE, 20),
        (20.0, ColdTolerance(), 20),
        (0.5, TOLERANCE, 1),
        (0.5, ColdTolerance(), 0),
        (2.9, ColdTolerance(), 2),
    ],
)
def test_requests_allowed(
    per_second: float, tolerance: ColdTolerance, expected: int
) -> None:
    assert requests_allowed(per_second, tolerance) == expected


def most_in_one_second(moments: list[float]) -> int:
    return max(
        (sum(first <= other < first + 1.0 for other in moments) for first in moments),
        default=0,
    )


@pytest.mark.parametrize("change_at", [2.0, 2.37, 3.99])
@pytest.mark.parametrize("overlap", [0.0, 0.3, 0.5])
def test_a_change_of_holder_admits_no_more(change_at: float, overlap: float) -> None:
    """Load: requests without a pause, and a former holder that learns late."""
    former, successor = ColdStartWindow(), ColdStartWindow()
    admitted: list[float] = []
    for step in range(int(8.0 / STEP)):
        now = step * STEP
        record_holder(former, is_holder=now < change_at + overlap, now=now)
        record_holder(successor, is_holder=now >= change_at, now=now)
        for window in (former, successor):
            if wait_for_admission(window, 20, now) == 0.0:
                record_admission(window, now)
                admitted.append(now)
    assert most_in_one_second(admitted) <= 20
    assert any(moment > change_at + NEW_HOLDER_SECONDS for moment in admitted)


@pytest.mark.parametrize("per_second", [1.0, 10.0, 40.0, 200.0])
@pytest.mark.parametrize("holders", [2, 3, 7])
def test_holders_that_suspect_each_other_keep_the_limit_together(
    per_second: float, holders: int
) -> None:
    # Each took the others for dead, and admitted the declared number by itself.
    limit = per_second * TOLERANCE.factor + TOLERANCE.requests
    allowed = [
        requests_allowed(per_second, TOLERANCE, predecessors=place)
        for place in range(holders)
    ]
    assert allowed[0] == per_second
    assert allowed[1] > 0
    # Half of the tolerance is left for requests that arrive close together.
    assert sum(allowed) <= (per_second + limit) / 2


def test_an_instance_that_is_not_the_holder_admits_none() -> None:
    window = ColdStartWindow()
    assert wait_for_admission(window, 20, 100.0) == WINDOW_SECONDS
    record_holder(window, is_holder=True, now=100.0)
    assert wait_for_admission(window, 20, 100.5) == pytest.approx(1.0)
    record_holder(window, is_holder=False, now=101.0)
    assert wait_for_admission(window, 20, 200.0) == WINDOW_SECONDS


def test_the_wait_ends_when_the_oldest_request_leaves_the_window() -> None:
    window = ColdStartWindow()
    record_holder(window, is_holder=True, now=0.0)
    for moment in (10.0, 10.25):
        record_admission(window, moment)
    assert wait_for_admission(window, 2, 10.5) == pytest.approx(0.5)
    assert wait_for_admission(window, 2, 11.0) == 0.0


@pytest.mark.parametrize(
    ("refused_at", "announced_at", "now", "expected"),
    [
        (float("-inf"), 5.0, 20.0, False),
        # Its connections succeed again before its announcement arrives.
        (10.0, 5.0, 12.0, True),
        (10.0, 11.0, 12.0, False),
        (10.0, 5.0, 18.0, False),
    ],
)
def test_a_database_that_refused_is_taken_for_cold(
    refused_at: float, announced_at: float, now: float, expected: bool
) -> None:
    may_be_cold = may_have_restarted(
        refused_at=refused_at,
        announced_at=announced_at,
        cold_start_seconds=8.0,
        now=now,
    )
    assert may_be_cold is expected
