"""Implement the token bucket of one organisation on one instance.

``UNITS`` rate units stand for an organisation's whole rate and burst. A unit admits no
more than ``burst / UNITS`` tokens at once and ``rate / UNITS`` tokens a second,
whichever instance holds it, and its tokens move with it. So the tokens spent on all
instances stay under ``rate * seconds + burst`` as long as no unit is held twice.
"""

from __future__ import annotations

from math import ceil, exp
from typing import NamedTuple, TYPE_CHECKING

from .permits import CLOCK_MARGIN

if TYPE_CHECKING:
    from ..types import Seconds

UNITS = 1 << 20
REFILL_FACTOR = 1.0 - CLOCK_MARGIN
DEMAND_SECONDS = 2.0
HEADROOM = 1.2
SLACK = 1.25
IDLE_SECONDS = 3.0
FLOOR_REQUESTS = 3.0
LOW_SECONDS = 0.05
TARGET_SECONDS = 0.25
SCARCE_REQUESTS = 4.0
LENDER_REQUESTS = 3.0
AWAITED_SECONDS = 0.3


class Terms(NamedTuple):
    """Represent an organisation's limit over the fleet: tokens a second, and tokens."""

    rate: float
    burst: float


class Bucket:
    """Represent one instance's units, tokens and demand; changed in place for speed.

    ``demand`` is in tokens a second, ``counted`` the tokens offered since its last
    update, ``cost`` a decaying maximum of the tokens a request costs, and ``asked`` the
    member whose answer to a request for units is outstanding.
    """

    __slots__ = (
        "ask_after",
        "asked",
        "backoff",
        "cost",
        "counted",
        "demand",
        "denied_until",
        "reviewed_at",
        "seen_at",
        "tokens",
        "units",
        "updated_at",
        "waited_at",
        "waiting",
    )

    def __init__(self, now: Seconds) -> None:
        """Start without units and tokens."""
        self.units = 0
        self.tokens = 0.0
        self.updated_at = now
        self.demand = 0.0
        self.counted = 0.0
        self.cost = 1.0
        self.reviewed_at = now
        self.seen_at = float("-inf")
        self.asked: object = None
        self.ask_after = 0.0
        self.denied_until = 0.0
        self.backoff = 0.0
        self.waiting = 0
        self.waited_at = float("-inf")


def capacity(units: int, limit: Terms) -> float:
    """Return the maximum number of tokens that the units can hold."""
    return units * limit.burst / UNITS


def refill(bucket: Bucket, limit: Terms, now: Seconds) -> None:
    """Add the tokens earned since the last refill, less the clock margin."""
    elapsed = now - bucket.updated_at
    if elapsed <= 0.0:
        return
    bucket.updated_at = now
    units = bucket.units
    gained = units * limit.rate * REFILL_FACTOR * elapsed / UNITS
    bucket.tokens = min(units * limit.burst / UNITS, bucket.tokens + gained)


def take(bucket: Bucket, units: int) -> float:
    """Remove units with a proportional part of the tokens, and return those tokens."""
    units = min(units, bucket.units)
    removed = bucket.tokens * units / bucket.units if bucket.units else 0.0
    bucket.units -= units
    bucket.tokens = bucket.tokens - removed if bucket.units else 0.0
    return removed


def put(bucket: Bucket, units: int, tokens: float, limit: Terms | None) -> None:
    """Add received units, with their tokens up to the burst that the units allow."""
    bucket.units += units
    if limit is not None:
        bucket.tokens += min(tokens, capacity(units, limit))


def retune(bucket: Bucket, old: Terms | None, new: Terms | None, now: Seconds) -> None:
    """Apply a new limit; a lower burst binds at once, a higher one adds no tokens."""
    if old is not None:
        refill(bucket, old, now)
    bucket.updated_at = max(bucket.updated_at, now)
    max_tokens = capacity(bucket.units, new) if new is not None else 0.0
    bucket.tokens = min(bucket.tokens, max_tokens)


def review(bucket: Bucket, now: Seconds) -> None:
    """Fold the cost offered since the last update into the demand (EWMA)."""
    elapsed = now - bucket.reviewed_at
    if elapsed <= 0.0:
        return
    weight = 1.0 - exp(-elapsed / DEMAND_SECONDS)
    bucket.demand += weight * (bucket.counted / elapsed - bucket.demand)
    bucket.counted = 0.0
    bucket.reviewed_at = now


def needed(bucket: Bucket, limit: Terms, now: Seconds) -> int:
    """Return the number of units that the demand requires; 0 when idle."""
    if now - bucket.seen_at > IDLE_SECONDS:
        return 0
    by_rate = bucket.demand * HEADROOM / limit.rate if limit.rate > 0.0 else 0.0
    by_burst = FLOOR_REQUESTS * bucket.cost / limit.burst if limit.burst > 0.0 else 0.0
    return min(UNITS, ceil(UNITS * max(by_rate, by_burst)))


def is_scarce(limit: Terms, cost: float, members: int) -> bool:
    """Tell whether the burst is too small for a few requests' worth on each member.

    Scarce units stay with the lenders, which lend them for one request at a time.
    """
    return limit.burst < SCARCE_REQUESTS * cost * members


def is_awaited(bucket: Bucket, now: Seconds) -> bool:
    """Tell whether requests are waiting for tokens on this instance."""
    return bucket.waiting > 0 and now - bucket.waited_at < AWAITED_SECONDS


def lenders(limit: Terms, cost: float, members: int) -> int:
    """Return the number of lenders of scarce units, each with a few requests' worth."""
    return max(1, min(members, int(limit.burst / (LENDER_REQUESTS * cost))))


def low_water(bucket: Bucket) -> float:
    """Return the number of tokens below which more are requested."""
    return bucket.cost + bucket.demand * LOW_SECONDS


def target(bucket: Bucket) -> float:
    """Return the number of tokens that a request aims to have on this instance."""
    waiting_cost = bucket.waiting * bucket.cost
    return FLOOR_REQUESTS * bucket.cost + waiting_cost + bucket.demand * TARGET_SECONDS
