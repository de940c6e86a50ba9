from __future__ import annotations

from random import Random

import pytest
from hypothesis import given, strategies as st

from ..catalogue import Quota
from ..token_buckets import (
    FillPeak,
    grant_tokens,
    ISOLATED_EXCESS_FRACTION,
    isolated_quota,
    MAX_WAIT_SECONDS,
    new_bucket,
    PEAK_LIFETIME_SECONDS,
    PEAK_SLOT_SECONDS,
    RateTolerance,
    reached_fraction,
    reached_quota,
    receive_bucket,
    return_tokens,
    spare_tokens,
    TokenBucket,
    tolerated_excess,
)

QUOTA = Quota(10.0, 10.0)
TOLERANCE = RateTolerance(5.0, 0.1, 20.0)


def most_in_a_window(used_at: list[float], seconds: float = 5.0) -> int:
    """Return how many operations the fullest window of that length holds."""
    used_at = sorted(used_at)
    first, most = 0, 0
    for last, moment in enumerate(used_at):
        while used_at[first] < moment - seconds - 1e-6:
            first += 1
        most = max(most, last - first + 1)
    return most


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


@pytest.mark.parametrize("rate", [5.0, 20.0, 400.0])
def test_isolated_instances_together_stay_within_their_part_of_the_excess(
    rate: float,
) -> None:
    quota = Quota(rate, rate)
    share = isolated_quota(quota, 7, TOLERANCE)
    assert share.rate * 7 < quota.rate
    in_window = (share.rate * TOLERANCE.window_seconds + share.burst) * 7
    excess = tolerated_excess(quota, TOLERANCE)
    assert in_window <= excess * ISOLATED_EXCESS_FRACTION * 1.001


def test_refused_operations_are_told_different_times() -> None:
    # Those that were refused together would come back together and be refused again.
    bucket, hints = TokenBucket(0.0, 0.0), []
    for _ in range(5):
        found = grant_tokens(bucket, QUOTA, 1, 0.0)
        bucket = found.bucket
        hints.append(found.retry_after_seconds)
    assert hints == sorted(set(hints))
    assert hints[-1] - hints[0] == pytest.approx(4 / QUOTA.rate)
    # A hint tells when a token is there for who comes back then.
    for number, hint in enumerate(hints):
        found = grant_tokens(bucket, QUOTA, 1, hint + 1e-6)
        bucket = found.bucket
        assert found.granted == 1, number


@pytest.mark.parametrize("rate", [2.0, 20.0, 300.0])
@pytest.mark.parametrize("burst_factor", [0.5, 1.0, 4.0])
@pytest.mark.parametrize("seed", range(20))
def test_two_changes_of_rate_owner_keep_the_bound_in_every_window(
    rate: float, burst_factor: float, seed: int
) -> None:
    # Every instance takes what it can, from a full bucket on; some reach no owner.
    rng, quota = Random(seed), Quota(rate, rate * burst_factor)
    start = rng.uniform(0.0, 4.0)
    changes = sorted(start + rng.uniform(0.0, 5.0) for _ in range(2))
    bucket = new_bucket(quota, 0.0, None)
    isolated: dict[int, TokenBucket] = {}
    used_at: list[float] = []
    share = isolated_quota(quota, 7, TOLERANCE)
    for step in range(1_200):
        now = step / 100
        if changes and now >= changes[0]:
            changes.pop(0)
            bucket = new_bucket(quota, now, TOLERANCE)
        found = grant_tokens(bucket, quota, 1 + rng.randrange(50), now)
        bucket = found.bucket
        used_at += [
            now + max(0.0, found.wait_seconds - number / rate)
            for number in range(found.granted)
        ]
        for name in range(7) if share.burst >= 1.0 and now >= start else ():
            known = isolated.get(name) or new_bucket(share, now, None)
            found = grant_tokens(known, share, 1, now)
            isolated[name] = found.bucket
            used_at += [now] * found.granted
    assert most_in_a_window(used_at) <= (rate * 5.0 + quota.burst) * 1.1 + 20.0


@pytest.mark.parametrize("rate", [2.0, 20.0, 300.0])
@pytest.mark.parametrize("burst_factor", [0.5, 1.0, 4.0])
@pytest.mark.parametrize("seed", range(20))
def test_a_rolling_restart_keeps_the_bound_in_every_window(
    rate: float, burst_factor: float, seed: int
) -> None:
    # Each new owner started with tokens of its own. Four of six in a row get their
    # predecessor's bucket in time; to two it comes late, and one predecessor grants until
    # then.
    rng, quota = Random(seed), Quota(rate, rate * burst_factor)
    kinds = ["in-time"] * 4 + ["late", "late-and-granting"]
    rng.shuffle(kinds)
    start = rng.uniform(0.0, 4.0)
    changes = [(start + 1.3 * number, kind) for number, kind in enumerate(kinds)]
    bucket, guess = new_bucket(quota, 0.0, None), None
    arrives_at, is_granting = float("inf"), True
    used_at: list[float] = []
    for step in range(1_500):
        now = step / 100
        if changes and now >= changes[0][0]:
            kind = changes.pop(0)[1]
            if kind == "in-time":
                bucket = receive_bucket(None, bucket, now)
            else:
                guess, is_granting = new_bucket(quota, now, TOLERANCE), kind != "late"
                arrives_at = now + rng.uniform(0.0, 0.2)
        if now >= arrives_at:
            bucket, guess = receive_bucket(guess, bucket, now), None
            arrives_at, is_granting = float("inf"), True
        asked = 1 + rng.randrange(50)
        if guess is not None:
            found = grant_tokens(guess, quota, asked, now)
            guess = found.bucket
            used_at += [now + found.wait_seconds] * found.granted
        if is_granting:
            found = grant_tokens(bucket, quota, asked, now)
            bucket = found.bucket
            used_at += [now + found.wait_seconds] * found.granted
    assert most_in_a_window(used_at) <= (rate * 5.0 + quota.burst) * 1.1 + 20.0


@pytest.mark.parametrize(
    ("known", "tokens"),
    [
        pytest.param(None, 8.0, id="none-yet"),
        pytest.param(
            TokenBucket(2.0, 9.9, 9.8, held_since=9.8, granted=3.0), 5.0, id="guess"
        ),
        pytest.param(
            TokenBucket(2.0, 9.9, 1.0, held_since=1.0, granted=3.0), 2.0, id="older"
        ),
        pytest.param(
            TokenBucket(2.0, 9.9, 6.0, held_since=6.0, granted=3.0), 2.0, id="in-use"
        ),
        pytest.param(
            TokenBucket(2.0, 9.9, 1.0, held_since=9.8, granted=3.0), 2.0, id="handed"
        ),
    ],
)
def test_an_owner_goes_on_with_its_predecessors_bucket(
    known: TokenBucket | None, tokens: float
) -> None:
    found = receive_bucket(known, TokenBucket(8.0, 9.9, 5.0), 10.0)
    assert found.tokens == tokens


@pytest.mark.parametrize("rate", [10.0, 50.0, 400.0])
@pytest.mark.parametrize(
    "parts",
    [[57, 1], [46] + [1] * 12, [29, 29], [43, 15], [1] * 58],
    ids=["one-cut-off", "many-cut-off", "halves", "a-domain", "all-cut-off"],
)
@pytest.mark.parametrize("seed", range(5))
def test_parts_of_a_partitioned_fleet_keep_the_bound_in_every_window(
    parts: list[int], rate: float, seed: int
) -> None:
    # Each instance passed over the owners that it did not reach until it was the owner
    # itself, and granted the whole rate. Each part takes what it can get.
    rng, quota, instances = Random(seed), Quota(rate, rate), sum(parts)
    part_of = [part for part, size in enumerate(parts) for _ in range(size)]
    rng.shuffle(part_of)
    cut_at = rng.uniform(0.0, 4.0)
    # Calls to peers out of reach time out within the first second.
    suspected_at = {
        part: [cut_at + rng.uniform(0.3, 0.9) for _ in range(instances - size)]
        for part, size in enumerate(parts)
    }
    begins_at = {
        part: max(suspected_at[part][: part_of.index(part)], default=0.0)
        for part in range(len(parts))
    }
    buckets = {part_of[0]: new_bucket(quota, 0.0, None)}
    used_at: list[float] = []
    for step in range(1_000):
        now = step / 100
        for part in range(len(parts)):
            if now < begins_at[part]:
                continue
            suspected = sum(moment <= now for moment in suspected_at[part])
            fraction = reached_fraction(instances - 1 - suspected, suspected)
            bucket = buckets.get(part) or new_bucket(
                quota, now, TOLERANCE, reached_fraction=fraction
            )
            found = grant_tokens(bucket, reached_quota(quota, fraction), 50, now)
            buckets[part] = found.bucket
            used_at += [now + found.wait_seconds] * found.granted
    assert most_in_a_window(used_at) <= (rate * 5.0 + quota.burst) * 1.1 + 20.0


@pytest.mark.parametrize(
    ("peaks", "taken_at", "created_at", "tokens"),
    [
        pytest.param([], 9.5, 0.0, 8.0, id="scarce"),
        pytest.param([(9.6, 9.0)], 9.5, 0.0, 6.0, id="nearly-full-since"),
        pytest.param([(9.6, 10.0)], 9.5, 0.0, 5.0, id="full-since"),
        pytest.param([(9.4, 10.0)], 9.5, 0.0, 8.0, id="full-before"),
        pytest.param([], 9.5, 9.7, 5.0, id="other-owner"),
        pytest.param([], 7.5, 0.0, 5.0, id="too-old"),
    ],
)
def test_returned_tokens_are_put_back(
    peaks: list[tuple[float, float]], taken_at: float, created_at: float, tokens: float
) -> None:
    fills = tuple(FillPeak(*peak) for peak in peaks)
    bucket = TokenBucket(5.0, 10.0, created_at, peaks=fills)
    assert return_tokens(bucket, QUOTA, 3, taken_at, 10.0).tokens == tokens


def test_a_bucket_that_is_drained_keeps_few_fills() -> None:
    # Each of thousands of grants a second copied as many fills.
    quota = Quota(1.0, 20_000.0)
    bucket = new_bucket(quota, 0.0, None)
    for step in range(10_000):
        bucket = grant_tokens(bucket, quota, 1, step / 5_000).bucket
    in_a_slot = 5_000 * PEAK_SLOT_SECONDS
    assert len(bucket.peaks) <= PEAK_LIFETIME_SECONDS / PEAK_SLOT_SECONDS + in_a_slot


@pytest.mark.parametrize("rate", [5.0, 50.0, 400.0])
@pytest.mark.parametrize("burst_factor", [0.2, 1.0, 4.0])
@pytest.mark.parametrize("seed", range(8))
def test_returned_tokens_let_no_window_exceed_rate_and_burst(
    rate: float, burst_factor: float, seed: int
) -> None:
    # Half of the operations find no room; their tokens come back up to 2 s later.
    rng, quota = Random(seed), Quota(rate, rate * burst_factor)
    bucket = new_bucket(quota, 0.0, None)
    returns: list[tuple[float, float]] = []
    used_at: list[float] = []
    for step in range(1_500):
        now = step / 100
        for taken_at, _ in [item for item in returns if item[1] <= now]:
            bucket = return_tokens(bucket, quota, 1, taken_at, now)
        returns = [item for item in returns if item[1] > now]
        if rng.random() < 0.3:
            continue
        found = grant_tokens(bucket, quota, rng.randrange(1, 2 + int(rate / 10)), now)
        bucket = found.bucket
        for _ in range(found.granted):
            if rng.random() < 0.5:
                returns.append((now, now + rng.uniform(0.0, 2.0)))
            else:
                used_at.append(now + found.wait_seconds)
    # An operation that reserved a token uses it up to the maximum wait later.
    reserved = rate * MAX_WAIT_SECONDS
    assert (
        most_in_a_window(used_at) <= rate * 5.0 + max(quota.burst, 1.0) + reserved + 1
    )
