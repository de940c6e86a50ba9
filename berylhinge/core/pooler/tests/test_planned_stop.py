from __future__ import annotations

import pytest

from ..planned_stop import (
    are_idle_sessions_ended,
    are_transactions_ended,
    may_start_statement,
    schedule_stop,
)

STOP = schedule_stop(100.0, 6.0)


@pytest.mark.parametrize(
    ("after", "limit", "expected"),
    [
        (0.0, 1.5, True),
        # Open transactions have half of the grace period, whatever their limits.
        (2.9, 9.0, True),
        (3.1, 9.0, False),
        (3.1, 1.5, True),
        (3.5, 1.5, True),
        (3.7, 1.5, False),
        (5.0, 0.05, True),
        (5.2, 0.0, False),
    ],
)
def test_a_statement_starts_only_if_its_answer_is_due_before_the_end(
    after: float, limit: float, expected: bool
) -> None:
    # Statements that started later ended without an answer, with the process.
    assert may_start_statement(STOP, 100.0 + after, limit) is expected


@pytest.mark.parametrize("grace_seconds", [0.0, 1.0, 6.0, 30.0])
def test_the_moments_of_a_stop_follow_each_other(grace_seconds: float) -> None:
    stop = schedule_stop(100.0, grace_seconds)
    assert list(stop) == sorted(stop)
    assert stop.ends_at <= 100.0 + grace_seconds


@pytest.mark.parametrize(
    ("after", "sessions", "transactions"),
    [(0.0, False, False), (2.6, True, False), (5.2, True, True)],
)
def test_idle_sessions_end_before_open_transactions(
    after: float, sessions: bool, transactions: bool
) -> None:
    assert are_idle_sessions_ended(STOP, 100.0 + after) is sessions
    assert are_transactions_ended(STOP, 100.0 + after) is transactions


def test_an_instance_that_does_not_stop_takes_everything() -> None:
    assert may_start_statement(None, 100.0, 9.0)
    assert not are_idle_sessions_ended(None, 100.0)
    assert not are_transactions_ended(None, 100.0)
