"""Count an organisation's operations in a token bucket on one instance, its rate owner.

The rate owner is the live instance that ranks first for the organisation. A new rate
owner does not know what its predecessor granted, so it starts with few tokens. An
instance that reaches no rate owner grants from a small share of its own.
"""

from __future__ import annotations

from typing import NamedTuple, TYPE_CHECKING

if TYPE_CHECKING:
    from ...types import Seconds
    from .catalogue import Quota

# Spare tokens, granted ahead of demand, save round trips. They come only from the part
# of a bucket above this fill, so that other instances never lack them, and they lapse
# if unused.
SPARE_MIN_FILL_FRACTION = 0.5
SPARE_LIFETIME_SECONDS = 1.0
# An instance that reaches no rate owner grants this fraction of an equal share, since
# the rate owner goes on granting the whole rate to the others.
ISOLATED_SHARE_FRACTION = 0.5
# A new rate owner's bucket starts with this fraction of the tolerated excess. While the
# bucket is new, operations wait longer for a token: its real fill is unknown, and the
# operations of an organisation within its rate soon catch up.
NEW_BUCKET_EXCESS_FRACTION = 0.5
NEW_BUCKET_SECONDS = 3.0
NEW_BUCKET_MAX_WAIT_SECONDS = 0.12
# An operation may wait this long for a token: enough to even out jitter, and short
# compared to any latency goal. One that would wait longer is refused at once.
MAX_WAIT_SECONDS = 0.03


class TokenBucket(NamedTuple):
    """Hold the tokens as of ``updated_at``; fewer than 0 when some are reserved."""

    tokens: float
    updated_at: Seconds
    created_at: Seconds = float("-inf")


class BucketGrant(NamedTuple):
    """Hold the remaining bucket and the tokens granted, to be used after a wait.

    ``retry_after_seconds`` is when a refused operation may find a token.
    """

    bucket: TokenBucket
    granted: int
    wait_seconds: Seconds
    retry_after_seconds: Seconds


class RateTolerance(NamedTuple):
    """Describe by how much operators accept that an organisation exceeds its rate.

    In a window of ``window_seconds`` the accepted excess is a fraction of what the
    organisation may send in it, plus a number of operations.
    """

    window_seconds: Seconds
    excess_fraction: float
    excess_operations: float


def new_bucket(
    quota: Quota, now: Seconds, tolerance: RateTolerance | None
) -> TokenBucket:
    """Return a full bucket, or with a tolerance the first bucket of a new rate owner.

    The previous rate owner may have granted every token, so the new bucket starts with
    a part of the tolerated excess. The rest is kept for a second change of rate owner.
    """
    if tolerance is None:
        return TokenBucket(quota.burst, now)
    allowed = quota.rate * tolerance.window_seconds + quota.burst
    excess = allowed * tolerance.excess_fraction + tolerance.excess_operations
    return TokenBucket(min(quota.burst, excess * NEW_BUCKET_EXCESS_FRACTION), now, now)


def grant_tokens(
    bucket: TokenBucket, quota: Quota, requested: int, now: Seconds
) -> BucketGrant:
    """Take whole tokens, reserving those that arrive within the maximum wait."""
    passed = max(0.0, now - bucket.updated_at)
    tokens = min(max(quota.burst, 1.0), bucket.tokens + passed * quota.rate)
    is_new = now - bucket.created_at < NEW_BUCKET_SECONDS
    reserved = quota.rate * (
        NEW_BUCKET_MAX_WAIT_SECONDS if is_new else MAX_WAIT_SECONDS
    )
    given = max(0, min(requested, int(tokens + reserved)))
    left = tokens - given
    if quota.rate <= 0.0:
        return BucketGrant(
            bucket._replace(tokens=left, updated_at=now), given, 0.0, 1.0
        )
    wait = max(0.0, -left) / quota.rate if given else 0.0
    retry = max(0.0, 1.0 - reserved - left) / quota.rate if given < requested else 0.0
    return BucketGrant(bucket._replace(tokens=left, updated_at=now), given, wait, retry)


def spare_tokens(
    bucket: TokenBucket, quota: Quota, requested: int, instances: int
) -> int:
    """Return how many spare tokens a bucket can grant to one of the instances."""
    free = bucket.tokens - quota.burst * SPARE_MIN_FILL_FRACTION
    return max(0, min(requested, int(free / max(1, instances))))


def isolated_quota(quota: Quota, instances: int) -> Quota:
    """Return the quota of an instance that does not reach the rate owner."""
    share = ISOLATED_SHARE_FRACTION / max(1, instances)
    return quota._replace(rate=quota.rate * share, burst=quota.burst * share)
