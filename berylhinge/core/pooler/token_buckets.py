"""Count an organisation's operations in a token bucket on one instance, its rate owner.

The rate owner is the live instance that ranks first for the organisation. It hands its
bucket to its successor. A new rate owner that gets none does not know what its
predecessor granted, so it starts with few tokens. An instance that reaches no rate owner
grants from a small share of the tolerated excess.
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
# Instances that reach no rate owner together grant this fraction of the tolerated
# excess in a window, since the rate owner goes on granting the whole rate to the others.
ISOLATED_EXCESS_FRACTION = 0.05
# A new rate owner's bucket starts with this fraction of the tolerated excess: two
# changes of rate owner in one window and the isolated instances share the excess. While
# the bucket is new, operations may wait longer and ask again: its real fill is unknown,
# and the operations of an organisation within its rate soon catch up.
NEW_BUCKET_EXCESS_FRACTION = 0.475
NEW_BUCKET_SECONDS = 3.0
# An operation may wait this long for a token: enough to even out jitter, and short
# compared to any latency goal. One that would wait longer is refused at once.
MAX_WAIT_SECONDS = 0.03
# Longest time that a refusal adds for the operations that were refused before it. An
# organisation far over its rate would otherwise be told ever longer times.
MAX_QUEUED_RETRY_SECONDS = 2.0

# An operation that finds no room is refused within its latency goal; its token comes
# back with the next request to the rate owner.
PEAK_LIFETIME_SECONDS = 2.0
PEAK_SLOT_SECONDS = 0.05


class FillPeak(NamedTuple):
    """State that a bucket held that many tokens before some were taken at a moment."""

    at: Seconds
    tokens: float


class TokenBucket(NamedTuple):
    """Hold the tokens as of ``updated_at``; fewer than 0 when some are reserved.

    ``awaited`` tokens were announced to refused operations that may be asked again.
    ``peaks`` are its highest fills of the last seconds, each higher than all later ones.
    This instance holds it since ``held_since`` and has ``granted`` that many of its
    tokens; another instance may have created it.
    """

    tokens: float
    updated_at: Seconds
    created_at: Seconds = float("-inf")
    awaited: float = 0.0
    peaks: tuple[FillPeak, ...] = ()
    held_since: Seconds = float("-inf")
    granted: float = 0.0


class BucketGrant(NamedTuple):
    """Hold the remaining bucket and the tokens granted, to be used after a wait.

    ``retry_after_seconds`` is when the first refused operation may find a token. The
    fill of a new bucket is a guess (``is_new``), so refused operations may ask again.
    """

    bucket: TokenBucket
    granted: int
    wait_seconds: Seconds
    retry_after_seconds: Seconds
    is_new: bool = False


class RateTolerance(NamedTuple):
    """Describe by how much operators accept that an organisation exceeds its rate.

    In a window of ``window_seconds`` the accepted excess is a fraction of what the
    organisation may send in it, plus a number of operations.
    """

    window_seconds: Seconds
    excess_fraction: float
    excess_operations: float


def new_bucket(
    quota: Quota,
    now: Seconds,
    tolerance: RateTolerance | None,
    *,
    reached_fraction: float = 1.0,
) -> TokenBucket:
    """Return a full bucket, or with a tolerance the first bucket of a new rate owner.

    The previous rate owner may have granted every token, so the new bucket starts with
    a part of the tolerated excess. The rest is kept for a second change of rate owner.
    Where only a fraction of the fleet is reached, the rest may have owners of its own.
    While an instance finds out whom it reaches, it takes the fraction for larger than it
    is, so a bucket starts with its cube: all parts together stay within the tolerance.
    """
    unshared = reached_fraction**3
    if tolerance is None:
        return TokenBucket(quota.burst * unshared, now, held_since=now)
    excess = tolerated_excess(quota, tolerance) * NEW_BUCKET_EXCESS_FRACTION
    # Operations may still wait for tokens that the previous rate owner reserved.
    start = max(0.0, excess - quota.rate * MAX_WAIT_SECONDS)
    tokens = min(quota.burst, start) * unshared
    return TokenBucket(tokens, now, now, held_since=now)


def reached_fraction(heard: int, suspected: int) -> float:
    """Return which fraction of the instances that were asked this one reaches.

    It counts itself. Parts of a partitioned fleet that each grant their fraction of a
    rate grant no more than the rate together.
    """
    return (1 + heard) / (1 + heard + suspected)


def reached_quota(quota: Quota, fraction: float) -> Quota:
    """Return what a rate owner may grant that reaches a fraction of the fleet."""
    return quota._replace(rate=quota.rate * fraction)


def tolerated_excess(quota: Quota, tolerance: RateTolerance) -> float:
    """Return how many operations beyond its quota an organisation may get in a window."""
    allowed = quota.rate * tolerance.window_seconds + quota.burst
    return allowed * tolerance.excess_fraction + tolerance.excess_operations


def grant_tokens(
    bucket: TokenBucket, quota: Quota, requested: int, now: Seconds
) -> BucketGrant:
    """Take whole tokens, reserving those that arrive within the maximum wait."""
    tokens = refilled_tokens(bucket, quota, now)
    peaks = updated_peaks(bucket, tokens, now)
    is_new = now - bucket.created_at < NEW_BUCKET_SECONDS
    reserved = quota.rate * MAX_WAIT_SECONDS
    given = max(0, min(requested, int(tokens + reserved)))
    refused, left = requested - given, tokens - given
    bucket = bucket._replace(granted=bucket.granted + given)
    if quota.rate <= 0.0:
        kept = bucket._replace(tokens=left, updated_at=now, peaks=peaks)
        return BucketGrant(kept, given, 0.0, 1.0)
    wait = max(0.0, -left) / quota.rate if given else 0.0
    passed = max(0.0, now - bucket.updated_at)
    awaited = max(0.0, bucket.awaited - passed * quota.rate)
    retry = 0.0
    if refused:
        retry = (max(0.0, 1.0 - reserved - left) + awaited) / quota.rate
    awaited = min(awaited + refused, quota.rate * MAX_QUEUED_RETRY_SECONDS)
    kept = bucket._replace(tokens=left, updated_at=now, awaited=awaited, peaks=peaks)
    return BucketGrant(kept, given, wait, retry, is_new)


def return_tokens(
    bucket: TokenBucket, quota: Quota, count: int, taken_at: Seconds, now: Seconds
) -> TokenBucket:
    """Put back tokens of operations that certainly did not run.

    As many come back as would be there if they had not been taken: without them the
    bucket would have been fuller since, and at its highest fill it would have overflowed.
    Tokens taken before the bucket was created or received are another owner's and are
    dropped.
    """
    oldest = max(bucket.created_at, bucket.held_since, now - PEAK_LIFETIME_SECONDS)
    if taken_at <= oldest:
        return bucket
    tokens = refilled_tokens(bucket, quota, now)
    peaks = updated_peaks(bucket, tokens, now)
    since = [peak for peak in peaks if peak.at > taken_at]
    highest = max([tokens, *(peak.tokens for peak in since)])
    returned = max(0.0, min(count, quota.burst - highest))
    before = [
        peak
        for peak in peaks
        if peak.at <= taken_at and peak.tokens > highest + returned
    ]
    raised = [FillPeak(peak.at, peak.tokens + returned) for peak in since]
    return bucket._replace(
        tokens=tokens + returned,
        updated_at=now,
        peaks=(*before, *raised),
        granted=bucket.granted - returned,
    )


def receive_bucket(
    known: TokenBucket | None, handed: TokenBucket, now: Seconds
) -> TokenBucket:
    """Return the bucket of a rate owner to which its predecessor hands its own.

    If the owner had to start a bucket before, that was a guess: what it granted is
    taken from the bucket handed on. An older bucket or one in use for longer is kept,
    since then it was the predecessor who took over for a while.
    """
    received = handed._replace(held_since=now, peaks=(), granted=0.0)
    if known is None:
        return received
    is_guess = now - known.held_since < NEW_BUCKET_SECONDS
    if not is_guess or known.created_at < handed.created_at:
        return known
    return received._replace(
        tokens=handed.tokens - known.granted, granted=known.granted
    )


def refilled_tokens(bucket: TokenBucket, quota: Quota, now: Seconds) -> float:
    """Return how many tokens a bucket holds now."""
    passed = max(0.0, now - bucket.updated_at)
    return min(max(quota.burst, 1.0), bucket.tokens + passed * quota.rate)


def updated_peaks(
    bucket: TokenBucket, tokens: float, now: Seconds
) -> tuple[FillPeak, ...]:
    """Return the highest fills of a bucket that holds that many tokens now.

    Of each past slot of time only the highest is kept, so that they stay few.
    """
    kept = [
        peak
        for peak in bucket.peaks
        if peak.tokens > tokens and peak.at > now - PEAK_LIFETIME_SECONDS
    ]
    if kept and slot_of(kept[-1].at) != slot_of(now):
        slot = [peak for peak in kept if slot_of(peak.at) == slot_of(kept[-1].at)]
        kept = kept[: -len(slot)]
        kept.append(FillPeak(slot[-1].at, slot[0].tokens))
    return (*kept, FillPeak(now, tokens))


def slot_of(moment: Seconds) -> int:
    """Return the number of a moment's slot of time."""
    return int(moment // PEAK_SLOT_SECONDS)


def take_spare_tokens(bucket: TokenBucket, count: int) -> TokenBucket:
    """Take tokens that are granted ahead."""
    return bucket._replace(tokens=bucket.tokens - count, granted=bucket.granted + count)


def spare_tokens(
    bucket: TokenBucket, quota: Quota, requested: int, instances: int
) -> int:
    """Return how many spare tokens a bucket can grant to one of the instances."""
    free = bucket.tokens - quota.burst * SPARE_MIN_FILL_FRACTION
    return max(0, min(requested, int(free / max(1, instances))))


def isolated_quota(quota: Quota, instances: int, tolerance: RateTolerance) -> Quota:
    """Return the quota of an instance that does not reach the rate owner.

    All such instances together stay within their fraction of the tolerated excess.
    """
    share = ISOLATED_EXCESS_FRACTION / 2.0 / max(1, instances)
    budget = tolerated_excess(quota, tolerance) * share
    return quota._replace(
        rate=budget / max(1.0, tolerance.window_seconds), burst=budget
    )
