"""Implement the token bucket of one organisation on one instance.

``TOTAL_UNITS`` rate units stand for an organisation's whole rate and burst. A unit
admits no more than ``burst / TOTAL_UNITS`` tokens at once and ``rate / TOTAL_UNITS``
tokens a second, whichever instance holds it, and its tokens move with it. So the tokens
spent on all instances stay under ``rate * seconds + burst`` as long as no unit is held
twice.
"""

from __future__ import annotations

from math import ceil, exp
from typing import NamedTuple, TYPE_CHECKING

from .permits import CLOCK_DRIFT_FRACTION

if TYPE_CHECKING:
    from ..types import Seconds

TOTAL_UNITS = 1 << 20
REFILL_CLOCK_FACTOR = 1.0 - CLOCK_DRIFT_FRACTION
DEMAND_EWMA_SECONDS = 2.0
DEMAND_HEADROOM_FACTOR = 1.2
SURPLUS_SLACK_FACTOR = 1.25
IDLE_SECONDS = 3.0
MIN_HELD_REQUESTS = 3.0
LOW_WATER_DEMAND_SECONDS = 0.05
TARGET_DEMAND_SECONDS = 0.25
SCARCE_REQUESTS_PER_MEMBER = 4.0
REQUESTS_PER_LENDER = 3.0
WAITER_EXPIRY_SECONDS = 0.3


class RateLimit(NamedTuple):
    """Represent an organisation's limit over the fleet: tokens a second, and tokens."""

    rate: float
    burst: float


class Bucket:
    """Represent one instance's units, tokens and demand; changed in place for speed.

    ``demand_per_second`` is in tokens, ``offered_cost`` the tokens that requests have
    asked for since its last update, ``request_cost`` a decaying maximum of the tokens a
    request costs, and ``pending_request_to`` the member whose answer to a request for
    units is outstanding.
    """

    __slots__ = (
        "backoff_seconds",
        "demand_per_second",
        "demand_updated_at",
        "denied_until",
        "last_request_at",
        "last_wait_at",
        "next_request_at",
        "offered_cost",
        "pending_request_to",
        "refilled_at",
        "request_cost",
        "tokens",
        "units",
        "waiting_count",
    )

    def __init__(self, now: Seconds) -> None:
        """Start without units and tokens."""
        self.units = 0
        self.tokens = 0.0
        self.refilled_at = now
        self.demand_per_second = 0.0
        self.offered_cost = 0.0
        self.request_cost = 1.0
        self.demand_updated_at = now
        self.last_request_at = float("-inf")
        self.pending_request_to: object = None
        self.next_request_at = 0.0
        self.denied_until = 0.0
        self.backoff_seconds = 0.0
        self.waiting_count = 0
        self.last_wait_at = float("-inf")


def burst_tokens(units: int, limit: RateLimit) -> float:
    """Return the maximum number of tokens that the units can hold."""
    return units * limit.burst / TOTAL_UNITS


def refill(bucket: Bucket, limit: RateLimit, now: Seconds) -> None:
    """Add the tokens earned since the last refill, less the clock margin."""
    elapsed = now - bucket.refilled_at
    if elapsed <= 0.0:
        return
    bucket.refilled_at = now
    units = bucket.units
    gained = units * limit.rate * REFILL_CLOCK_FACTOR * elapsed / TOTAL_UNITS
    bucket.tokens = min(units * limit.burst / TOTAL_UNITS, bucket.tokens + gained)


def remove_units(bucket: Bucket, units: int) -> float:
    """Remove units with a proportional part of the tokens, and return those tokens."""
    units = min(units, bucket.units)
    removed = bucket.tokens * units / bucket.units if bucket.units else 0.0
    bucket.units -= units
    bucket.tokens = bucket.tokens - removed if bucket.units else 0.0
    return removed


def add_units(
    bucket: Bucket, units: int, tokens: float, limit: RateLimit | None
) -> None:
    """Add received units, with their tokens up to the burst that the units allow."""
    bucket.units += units
    if limit is not None:
        bucket.tokens += min(tokens, burst_tokens(units, limit))


def change_limit(
    bucket: Bucket, old: RateLimit | None, new: RateLimit | None, now: Seconds
) -> None:
    """Apply a new limit; a lower burst binds at once, a higher one adds no tokens."""
    if old is not None:
        refill(bucket, old, now)
    bucket.refilled_at = max(bucket.refilled_at, now)
    max_tokens = burst_tokens(bucket.units, new) if new is not None else 0.0
    bucket.tokens = min(bucket.tokens, max_tokens)


def update_demand(bucket: Bucket, now: Seconds) -> None:
    """Fold the cost offered since the last update into the demand (EWMA)."""
    elapsed = now - bucket.demand_updated_at
    if elapsed <= 0.0:
        return
    weight = 1.0 - exp(-elapsed / DEMAND_EWMA_SECONDS)
    bucket.demand_per_second += weight * (
        bucket.offered_cost / elapsed - bucket.demand_per_second
    )
    bucket.offered_cost = 0.0
    bucket.demand_updated_at = now


def units_needed(bucket: Bucket, limit: RateLimit, now: Seconds) -> int:
    """Return the number of units that the demand requires; 0 when idle."""
    if now - bucket.last_request_at > IDLE_SECONDS:
        return 0
    by_rate = (
        bucket.demand_per_second * DEMAND_HEADROOM_FACTOR / limit.rate
        if limit.rate > 0.0
        else 0.0
    )
    by_burst = (
        MIN_HELD_REQUESTS * bucket.request_cost / limit.burst
        if limit.burst > 0.0
        else 0.0
    )
    return min(TOTAL_UNITS, ceil(TOTAL_UNITS * max(by_rate, by_burst)))


def is_scarce(limit: RateLimit, cost: float, members: int) -> bool:
    """Tell whether the burst is too small for a few requests' worth on each member.

    Scarce units stay with the lenders, which lend them for one request at a time.
    """
    return limit.burst < SCARCE_REQUESTS_PER_MEMBER * cost * members


def has_waiting_requests(bucket: Bucket, now: Seconds) -> bool:
    """Tell whether requests are waiting for tokens on this instance."""
    return (
        bucket.waiting_count > 0 and now - bucket.last_wait_at < WAITER_EXPIRY_SECONDS
    )


def lender_count(limit: RateLimit, cost: float, members: int) -> int:
    """Return the number of lenders of scarce units, each with a few requests' worth."""
    return max(1, min(members, int(limit.burst / (REQUESTS_PER_LENDER * cost))))


def low_water_mark(bucket: Bucket) -> float:
    """Return the number of tokens below which more are requested."""
    return bucket.request_cost + bucket.demand_per_second * LOW_WATER_DEMAND_SECONDS


def target_tokens(bucket: Bucket) -> float:
    """Return the number of tokens that a request aims to have on this instance."""
    waiting_cost = bucket.waiting_count * bucket.request_cost
    return (
        MIN_HELD_REQUESTS * bucket.request_cost
        + waiting_cost
        + bucket.demand_per_second * TARGET_DEMAND_SECONDS
    )
