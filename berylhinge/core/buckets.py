"""Count units and tokens of one organisation on one instance (token bucket).

``UNITS`` units stand for an organisation's whole rate and burst. A unit admits no
more than ``burst / UNITS`` at once and ``rate / UNITS`` a second, wherever it is
held, and takes its tokens along when it moves. So the sum over all instances
stays under ``rate * seconds + burst`` for as long as no unit is held twice.
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
    """State what an organisation may spend over the whole fleet."""

    rate: float
    burst: float


class Bucket:
    """Hold units, tokens and the demand seen; changed in place for speed."""

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
        """Start with no unit and no token."""
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


def capacity(units: int, terms: Terms) -> float:
    """Return how many tokens the units can hold."""
    return units * terms.burst / UNITS


def refill(bucket: Bucket, terms: Terms, now: Seconds) -> None:
    """Add the tokens of the time passed, slowed by the clock margin."""
    passed = now - bucket.updated_at
    if passed <= 0.0:
        return
    bucket.updated_at = now
    units = bucket.units
    gained = units * terms.rate * REFILL_FACTOR * passed / UNITS
    bucket.tokens = min(units * terms.burst / UNITS, bucket.tokens + gained)


def take(bucket: Bucket, units: int) -> float:
    """Remove units with their part of the tokens, and return those tokens."""
    units = min(units, bucket.units)
    part = bucket.tokens * units / bucket.units if bucket.units else 0.0
    bucket.units -= units
    bucket.tokens = bucket.tokens - part if bucket.units else 0.0
    return part


def put(bucket: Bucket, units: int, tokens: float, terms: Terms | None) -> None:
    """Add units that came in; their tokens count up to what they can hold here."""
    bucket.units += units
    if terms is not None:
        bucket.tokens += min(tokens, capacity(units, terms))


def retune(bucket: Bucket, old: Terms | None, new: Terms | None, now: Seconds) -> None:
    """Move to new terms; a lower burst binds at once, a higher one gives no token."""
    if old is not None:
        refill(bucket, old, now)
    bucket.updated_at = max(bucket.updated_at, now)
    limit = capacity(bucket.units, new) if new is not None else 0.0
    bucket.tokens = min(bucket.tokens, limit)


def review(bucket: Bucket, now: Seconds) -> None:
    """Fold the cost offered since the last review into the demand (EWMA)."""
    passed = now - bucket.reviewed_at
    if passed <= 0.0:
        return
    fresh = 1.0 - exp(-passed / DEMAND_SECONDS)
    bucket.demand += fresh * (bucket.counted / passed - bucket.demand)
    bucket.counted = 0.0
    bucket.reviewed_at = now


def needed(bucket: Bucket, terms: Terms, now: Seconds) -> int:
    """Return how many units the demand calls for; none when idle."""
    if now - bucket.seen_at > IDLE_SECONDS:
        return 0
    by_rate = bucket.demand * HEADROOM / terms.rate if terms.rate > 0.0 else 0.0
    by_burst = FLOOR_REQUESTS * bucket.cost / terms.burst if terms.burst > 0.0 else 0.0
    return min(UNITS, ceil(UNITS * max(by_rate, by_burst)))


def is_scarce(terms: Terms, cost: float, members: int) -> bool:
    """Tell whether the burst is too small to leave a few requests' worth on each.

    Such units stay with the hub and are lent for a request at a time.
    """
    return terms.burst < SCARCE_REQUESTS * cost * members


def is_awaited(bucket: Bucket, now: Seconds) -> bool:
    """Tell whether requests wait here for tokens."""
    return bucket.waiting > 0 and now - bucket.waited_at < AWAITED_SECONDS


def lenders(terms: Terms, cost: float, members: int) -> int:
    """Return over how many hubs scarce units are spread, a few requests' worth each."""
    return max(1, min(members, int(terms.burst / (LENDER_REQUESTS * cost))))


def low_water(bucket: Bucket) -> float:
    """Return the tokens under which more are asked for."""
    return bucket.cost + bucket.demand * LOW_SECONDS


def target(bucket: Bucket) -> float:
    """Return the tokens to ask up to."""
    waiting = bucket.waiting * bucket.cost
    return FLOOR_REQUESTS * bucket.cost + waiting + bucket.demand * TARGET_SECONDS
