"""Decide whether and when to retry a statement."""

from __future__ import annotations

from typing import NamedTuple, TYPE_CHECKING

from ..types import StatementOutcome

if TYPE_CHECKING:
    from random import Random

    from ..types import Seconds

MIN_RETRY_DELAY_SECONDS = 0.005
MAX_RETRY_DELAY_SECONDS = 0.25
RETRY_DELAY_FACTOR = 3.0
RETRY_TOKENS_PER_REQUEST = 0.2
MAX_RETRY_TOKENS = 50.0


class RetryBudget(NamedTuple):
    """Limit retries to a fraction of requests; one retry costs one token."""

    tokens: float


class RetryAfter(NamedTuple):
    """Retry after a delay; ``budget`` is the budget that remains."""

    delay_seconds: Seconds
    budget: RetryBudget


class NoRetry(NamedTuple):
    """Don't retry, for this cause."""

    cause: str


MAY_HAVE_RUN = NoRetry("the statement may have run and is not idempotent")
DEADLINE_NEAR = NoRetry("the deadline leaves no time for another attempt")
BUDGET_SPENT = NoRetry("the retry budget is spent")
FULL_BUDGET = RetryBudget(MAX_RETRY_TOKENS)


def credit_attempt(budget: RetryBudget) -> RetryBudget:
    """Credit the budget for one first attempt."""
    return RetryBudget(min(MAX_RETRY_TOKENS, budget.tokens + RETRY_TOKENS_PER_REQUEST))


def draw_retry_delay(previous_seconds: Seconds, rng: Random) -> Seconds:
    """Return a decorrelated delay (Brooker, Exponential Backoff And Jitter, 2015)."""
    high = max(MIN_RETRY_DELAY_SECONDS, previous_seconds * RETRY_DELAY_FACTOR)
    return min(MAX_RETRY_DELAY_SECONDS, rng.uniform(MIN_RETRY_DELAY_SECONDS, high))


def decide_retry(
    budget: RetryBudget,
    *,
    outcome: StatementOutcome,
    idempotent: bool,
    deadline: Seconds,
    expected_seconds: Seconds,
    previous_delay_seconds: Seconds,
    now: Seconds,
    rng: Random,
) -> RetryAfter | NoRetry:
    """Allow a retry that is harmless, within the deadline and within the budget."""
    if outcome is not StatementOutcome.NOT_RUN and not idempotent:
        return MAY_HAVE_RUN
    delay = draw_retry_delay(previous_delay_seconds, rng)
    if now + delay + expected_seconds > deadline:
        return DEADLINE_NEAR
    if budget.tokens < 1.0:
        return BUDGET_SPENT
    return RetryAfter(delay, RetryBudget(budget.tokens - 1.0))
