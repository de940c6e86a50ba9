"""Decide how many rate units to transfer, and to which members."""

from __future__ import annotations

from math import ceil
from typing import TYPE_CHECKING

from .buckets import (
    is_scarce,
    low_water_mark,
    refill,
    SURPLUS_SLACK_FACTOR,
    TOTAL_UNITS,
    units_needed,
)
from .rates import find_coordinator, next_lender, rank_lenders, rank_unit_holders
from .roster import member_index

if TYPE_CHECKING:
    from ..types import OrganisationId, Seconds
    from .buckets import Bucket, RateLimit
    from .rates import RatesState
    from .roster import Member
    from .unit_messages import UnitRequest

MIN_LENT_COST_FRACTION = 0.1
KEEP_DEMAND_FRACTION = 0.3


def spare_units(
    bucket: Bucket, limit: RateLimit, request: UnitRequest, now: Seconds, members: int
) -> int:
    """Return how many units to transfer to the requester.

    This is the larger of the units above the share kept for the demand here, and the
    units that carry the requested tokens, up to half of those above the low-water mark.
    """
    refill(bucket, limit, now)
    if bucket.units == 0:
        return 0
    if is_scarce(limit, max(bucket.request_cost, request.request_cost), members):
        return _units_to_lend(bucket, request)
    total = bucket.demand_per_second + request.demand_per_second
    fair = (
        (bucket.units + request.held_units) * bucket.demand_per_second / total
        if total
        else 0.0
    )
    kept = min(float(units_needed(bucket, limit, now)), fair * 1.05)
    units = max(0, min(request.units, int(bucket.units - kept)))
    reserve = low_water_mark(bucket) if bucket.demand_per_second > 0.0 else 0.0
    tokens = min(request.tokens, (bucket.tokens - reserve) / 2)
    if tokens > 0.0:
        by_tokens = ceil(tokens * bucket.units / bucket.tokens)
        units = max(units, min(by_tokens, bucket.units))
    return units


def _units_to_lend(bucket: Bucket, request: UnitRequest) -> int:
    """Return the units that carry the requested tokens, or all if they carry fewer."""
    if bucket.tokens <= request.tokens * (1 + 1e-9):
        return (
            bucket.units
            if bucket.tokens >= MIN_LENT_COST_FRACTION * request.request_cost
            else 0
        )
    return min(bucket.units, ceil(request.tokens * bucket.units / bucket.tokens))


def plan_returns(
    state: RatesState, organisation: OrganisationId, bucket: Bucket, now: Seconds
) -> list[tuple[Member, int]]:
    """Return the receivers of surplus units, with the number of units for each."""
    limit = state.limits_by_organisation.get(organisation)
    if limit and is_scarce(limit, bucket.request_cost, len(state.roster.members)):
        return _plan_scarce_returns(state, organisation, bucket, limit, now)
    coordinator = find_coordinator(state, organisation, now)
    if coordinator == state.me and state.leaving:
        others = rank_unit_holders(state, organisation, now, exclude=state.me)
        coordinator = others[0] if others else None
    if coordinator is None or coordinator == state.me:
        return []
    if state.leaving:
        return [(coordinator, bucket.units)]
    surplus = _surplus(bucket, limit, now) if limit else 0
    return [(coordinator, surplus)] if surplus > 0 else []


def _plan_scarce_returns(
    state: RatesState,
    organisation: OrganisationId,
    bucket: Bucket,
    limit: RateLimit,
    now: Seconds,
) -> list[tuple[Member, int]]:
    """Spread scarce units over the lenders, so that no one failure loses them all."""
    lenders = rank_lenders(state, organisation, limit, bucket.request_cost, now)
    others = [member for member in lenders if member != state.me]
    if not others:
        return []
    share = TOTAL_UNITS // len(lenders)
    if state.me in lenders and not state.leaving:
        extra = bucket.units - share
        successor = next_lender(
            state, organisation, limit, bucket.request_cost, state.me, now
        )
        return [(successor, extra)] if successor and extra * 4 > share else []
    if (
        bucket.demand_per_second > KEEP_DEMAND_FRACTION * limit.rate
        and not state.leaving
    ):
        return []
    if bucket.units < share:
        receiver = others[member_index(state.roster, state.me) % len(others)]
        return [(receiver, bucket.units)]
    per_lender = bucket.units // len(others)
    return [(member, per_lender) for member in others]


def _surplus(bucket: Bucket, limit: RateLimit, now: Seconds) -> int:
    """Return the units above the demand with slack, or 0 if not worth a message."""
    required = units_needed(bucket, limit, now)
    surplus = bucket.units - required
    return (
        surplus
        if surplus > required * (SURPLUS_SLACK_FACTOR - 1.0) + TOTAL_UNITS // 4096
        else 0
    )
