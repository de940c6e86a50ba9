from __future__ import annotations

import pytest
from hypothesis import given, strategies as st

from ..catalogue import Quota
from ..token_buckets import (
    grant_tokens,
    isolated_quota,
    new_bucket,
    RateTolerance,
    spare_tokens,
    TokenBucket,
)

QUOTA = Quota(10.0, 10.0)
TOLERANCE = RateTolerance(5.0, 0.1, 20.0)


@pytest.mark.parametrize(
    ("tokens", "requested", "granted"),
    [(10.0, 1, 1), (10.0, 12, 10), (0.0, 1, 0), (-5.0, 1, 0)],
)
def test_grants_the_available_tokens(
    tokens: float, requested: int, granted: int
) -> None:
    found = grant_tokens(TokenBucket(tokens, 0.0), QUOTA, requested, 0.0)
    assert found.granted == granted
    assert (found.retry_after_seconds > 0.0) == (granted < requested)


def test_waiting_operations_reserve_tokens() -> None:
    # An organisation at its limit sends several operations at once.
    quota = Quota(100.0, 10.0)
    first = grant_tokens(TokenBucket(0.0, 0.0), quota, 1, 0.0)
    second = grant_tokens(first.bucket, quota, 1, 0.0)
    assert (first.granted, second.granted) == (1, 1)
    assert 0.0 < first.wait_seconds < second.wait_seconds


@given(
    st.lists(
        st.tuples(st.floats(0.0, 0.5), st.integers(1, 20)), min_size=1, max_size=200
    )
)
def test_grants_never_exceed_rate_and_burst(steps: list[tuple[float, int]]) -> None:
    bucket, now, total, used_at = new_bucket(QUOTA, 0.0, None), 0.0, 0, 0.0
    for pause, requested in steps:
        now += pause
        found = grant_tokens(bucket, QUOTA, requested, now)
        bucket, total = found.bucket, total + found.granted
        used_at = max(used_at, now + found.wait_seconds)
        assert total <= QUOTA.burst + QUOTA.rate * used_at + 1e-6


@pytest.mark.parametrize("rate", [5.0, 20.0, 70.0, 400.0])
def test_a_new_rate_owners_bucket_stays_within_the_tolerance(rate: float) -> None:
    quota = Quota(rate, rate)
    bucket = new_bucket(quota, 0.0, TOLERANCE)
    allowed = rate * TOLERANCE.window_seconds + quota.burst
    excess = allowed * TOLERANCE.excess_fraction + TOLERANCE.excess_operations
    # The previous rate owner may have granted all tokens in the same window.
    assert 0.0 < bucket.tokens <= min(quota.burst, excess)


@pytest.mark.parametrize(
    ("tokens", "expected"), [(10.0, 2), (5.0, 0), (7.0, 1), (0.0, 0)]
)
def test_spare_tokens_come_from_the_upper_half_of_the_bucket(
    tokens: float, expected: int
) -> None:
    assert spare_tokens(TokenBucket(tokens, 0.0), QUOTA, 9, 2) == expected


def test_isolated_instances_together_have_less_than_the_whole_rate() -> None:
    assert isolated_quota(QUOTA, 7).rate * 7 < QUOTA.rate
