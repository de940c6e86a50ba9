from __future__ import annotations

from random import Random

import pytest

from ...types import StatementOutcome
from ..retries import (
    BUDGET_SPENT,
    credit_attempt,
    DEADLINE_NEAR,
    decide_retry,
    draw_retry_delay,
    FULL_BUDGET,
    MAX_RETRY_DELAY_SECONDS,
    MAY_HAVE_RUN,
    MIN_RETRY_DELAY_SECONDS,
    RETRY_TOKENS_PER_REQUEST,
    RetryAfter,
    RetryBudget,
)


@pytest.mark.parametrize(
    "outcome,idempotent,deadline,tokens,expected",
    [
        (StatementOutcome.NOT_RUN, False, 9.0, 5.0, None),
        (StatementOutcome.NOT_RUN, True, 9.0, 5.0, None),
        (StatementOutcome.UNKNOWN, True, 9.0, 5.0, None),
        (StatementOutcome.UNKNOWN, False, 9.0, 5.0, MAY_HAVE_RUN),
        (StatementOutcome.NOT_RUN, False, 1.004, 5.0, DEADLINE_NEAR),
        (StatementOutcome.NOT_RUN, False, 0.5, 5.0, DEADLINE_NEAR),
        (StatementOutcome.NOT_RUN, False, 9.0, 0.9, BUDGET_SPENT),
    ],
)
def test_retry_decision_for_outcome_deadline_and_budget(
    outcome: StatementOutcome,
    idempotent: bool,
    deadline: float,
    tokens: float,
    expected: object,
) -> None:
    decision = decide_retry(
        RetryBudget(tokens),
        outcome=outcome,
        idempotent=idempotent,
        deadline=deadline,
        expected_seconds=0.001,
        previous_delay_seconds=0.0,
        now=1.0,
        rng=Random(1),
    )
    if expected is None:
        assert isinstance(decision, RetryAfter)
        assert decision.budget.tokens == tokens - 1.0
    else:
        assert decision == expected


def test_retries_stay_within_their_ratio_of_requests() -> None:
    budget, retried, requests = FULL_BUDGET, 0, 10_000
    for _ in range(requests):
        budget = credit_attempt(budget)
        while budget.tokens >= 1.0:
            budget = RetryBudget(budget.tokens - 1.0)
            retried += 1
    assert retried <= FULL_BUDGET.tokens + requests * RETRY_TOKENS_PER_REQUEST


def test_delays_grow_within_their_bounds_and_differ() -> None:
    rng, delay, delays = Random(7), 0.0, []
    for _ in range(200):
        delay = draw_retry_delay(delay, rng)
        delays.append(delay)
    assert min(delays) >= MIN_RETRY_DELAY_SECONDS
    assert max(delays) <= MAX_RETRY_DELAY_SECONDS
    assert len(set(delays)) > len(delays) // 4
