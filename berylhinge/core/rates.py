"""Admit requests within an organisation's rate and burst from rate units in escrow.

Escrow: O'Neil, "The escrow transactional method", 1986. Rate units move between
instances on demand (demarcation: Barbará and Garcia-Molina, 1994). The sender
deducts them before it sends the transfer, so the units held by all instances never
sum to more than the organisation's total.
"""

from __future__ import annotations

from typing import NamedTuple, TYPE_CHECKING, TypeAlias

from ..reasons import RefusalReason
from ..types import OrganisationId, Seconds
from .buckets import (
    Bucket,
    change_limit,
    is_scarce,
    lender_count,
    low_water_mark,
    RateLimit,
    refill,
    target_tokens,
    units_needed,
    update_demand,
)
from .permits import SendMessage
from .roster import has_member, Member, member_index, rank_members, Roster
from .unit_messages import UnitRequest, UnitTransfer

if TYPE_CHECKING:
    from collections.abc import Mapping


MAX_WAIT_SECONDS = 0.5
MIN_WAIT_SECONDS = 0.004
WAITER_LIMIT_SECONDS = 0.1
UNIT_REQUEST_TIMEOUT_SECONDS = 0.1
UNIT_REQUEST_PAUSE_SECONDS = 0.01
DEMAND_UPDATE_SECONDS = 0.25
SUSPECT_SECONDS = 1.0


class Admitted(NamedTuple):
    """Admit the request; its cost is spent even if the request fails later."""


class WaitForUnits(NamedTuple):
    """Tell the caller to retry admission after a pause, as units may arrive."""

    seconds: Seconds


class RateRefused(NamedTuple):
    """Refuse the request before any of it has run."""

    reason: RefusalReason
    retry_after_seconds: Seconds


AdmissionResult: TypeAlias = Admitted | WaitForUnits | RateRefused
ADMITTED = Admitted()


class UnitHolding(NamedTuple):
    """Represent the number of units that a member holds of one organisation."""

    organisation: OrganisationId
    units: int


class HoldingReport(NamedTuple):
    """Represent the units and demand (tokens a second) that a member last reported."""

    units: int
    demand_per_second: float


class PendingTransfer(NamedTuple):
    """Represent a transfer that has not been acknowledged, and when to resend it."""

    message: UnitTransfer
    resend_at: Seconds
    resend_interval: Seconds


class ReceivedTransfers(NamedTuple):
    """Represent the transfers received from one sender.

    All below ``lowest_pending`` are acknowledged or lost; ``received_sequences`` holds
    the sequences received at or above it.
    """

    lowest_pending: int
    received_sequences: frozenset[int]


class RatesState(NamedTuple):
    """Represent the rate units of one instance; its collections are changed in place.

    ``suspected_until`` gives the time until which a member that did not answer is
    passed over, ``spent_organisations`` those whose scarce units go back to the lenders
    after a request, and ``epoch_snapshot`` the units held when the roster's epoch was
    adopted.
    """

    me: Member
    roster: Roster
    limits_by_organisation: dict[OrganisationId, RateLimit]
    buckets: dict[OrganisationId, Bucket]
    reports: dict[OrganisationId, dict[Member, HoldingReport]]
    pending_transfers: dict[int, PendingTransfer]
    received_transfers: dict[Member, ReceivedTransfers]
    suspected_until: dict[Member, Seconds]
    outbox: list[SendMessage]
    spent_organisations: set[OrganisationId]
    epoch_snapshot: tuple[UnitHolding, ...] = ()
    sequence: int = 0
    demand_updated_at: Seconds = float("-inf")
    leaving: bool = False


def new_rates(me: Member) -> RatesState:
    """Return a state without rate units."""
    return RatesState(me, Roster(), {}, {}, {}, {}, {}, {}, [], set())


def admit(
    state: RatesState,
    organisation: OrganisationId,
    cost: float,
    now: Seconds,
    *,
    permit_until: Seconds,
    waited: Seconds = 0.0,
) -> AdmissionResult:
    """Spend the cost, tell the caller to wait for units, or refuse the request.

    Charge each caller's request once: a retry or a forwarded request is not charged
    again. The caller of this function sends the messages in ``state.outbox`` after each
    call.
    """
    limit = state.limits_by_organisation.get(organisation)
    if limit is None or now >= permit_until:
        return RateRefused(RefusalReason.RATE_UNPROVEN, 1.0)
    bucket = state.buckets.get(organisation)
    if bucket is None:
        bucket = state.buckets[organisation] = Bucket(now)
    if waited <= 0.0:
        bucket.offered_cost += cost
        bucket.request_cost = max(cost, 0.9 * bucket.request_cost)
        bucket.last_request_at = now
    refill(bucket, limit, now)
    if bucket.tokens >= cost:
        bucket.tokens -= cost
        if waited > 0.0:
            bucket.waiting_count = max(0, bucket.waiting_count - 1)
        if bucket.tokens < low_water_mark(bucket):
            _prepare_for_shortage(state, organisation, bucket, limit, now)
        return ADMITTED
    return _wait_or_refuse(state, organisation, bucket, limit, cost, now, waited)


def _prepare_for_shortage(
    state: RatesState,
    organisation: OrganisationId,
    bucket: Bucket,
    limit: RateLimit,
    now: Seconds,
) -> None:
    """Request units before tokens run out, or mark spent scarce units for return."""
    if is_scarce(limit, bucket.request_cost, len(state.roster.members)):
        if bucket.tokens < bucket.request_cost:
            state.spent_organisations.add(organisation)
    elif now >= bucket.next_request_at:
        request_units(state, organisation, bucket, limit, now)


def _wait_or_refuse(
    state: RatesState,
    organisation: OrganisationId,
    bucket: Bucket,
    limit: RateLimit,
    cost: float,
    now: Seconds,
    waited: Seconds,
) -> AdmissionResult:
    """Wait while units may arrive; refuse beyond the limits on time and requests."""
    if now >= bucket.next_request_at:
        request_units(state, organisation, bucket, limit, now)
    if now - bucket.last_wait_at > 2 * MAX_WAIT_SECONDS:
        bucket.waiting_count = 0
    may_wait = waited > 0.0 or bucket.waiting_count < _max_waiting_requests(limit)
    denied = now < bucket.denied_until
    if cost > limit.burst or waited >= MAX_WAIT_SECONDS or (denied and not may_wait):
        bucket.waiting_count = max(0, bucket.waiting_count - (waited > 0.0))
        pause = max(bucket.denied_until - now, MIN_WAIT_SECONDS)
        return RateRefused(RefusalReason.RATE_EXCEEDED, pause)
    bucket.waiting_count += waited <= 0.0
    bucket.last_wait_at = now
    remaining = MAX_WAIT_SECONDS - waited
    pause = bucket.denied_until - now if denied else MIN_WAIT_SECONDS
    return WaitForUnits(min(max(pause, MIN_WAIT_SECONDS), max(remaining, 1e-6)))


def _max_waiting_requests(limit: RateLimit) -> float:
    """Return how many requests may wait here after a peer has denied units."""
    return max(3.0, limit.rate * WAITER_LIMIT_SECONDS)


def request_units(
    state: RatesState,
    organisation: OrganisationId,
    bucket: Bucket,
    limit: RateLimit,
    now: Seconds,
) -> None:
    """Request missing units from the member that ``_request_recipient`` names."""
    if isinstance(bucket.pending_request_to, Member):
        state.suspected_until[bucket.pending_request_to] = now + SUSPECT_SECONDS
    recipient = _request_recipient(state, organisation, bucket, limit, now)
    bucket.pending_request_to = recipient
    bucket.next_request_at = now + UNIT_REQUEST_TIMEOUT_SECONDS
    if recipient is None:
        bucket.denied_until = bucket.next_request_at
        return
    units = max(0, units_needed(bucket, limit, now) - bucket.units)
    tokens = max(0.0, target_tokens(bucket) - bucket.tokens)
    hop_count = 0 if find_coordinator(state, organisation, now) == recipient else 1
    if is_scarce(limit, bucket.request_cost, len(state.roster.members)):
        requested = bucket.request_cost * max(1, bucket.waiting_count)
        units, tokens = 0, max(0.0, min(requested, limit.burst) - bucket.tokens)
        hop_count = 0
    message = UnitRequest(
        state.roster.epoch,
        organisation,
        state.me,
        units,
        tokens,
        bucket.units,
        bucket.demand_per_second,
        bucket.request_cost,
        hop_count,
    )
    state.outbox.append(SendMessage(recipient, message))


def find_coordinator(
    state: RatesState, organisation: OrganisationId, now: Seconds
) -> Member | None:
    """Return the coordinator: the organisation's first-ranked unsuspected member."""
    for member in rank_members(state.roster.members, f"rate/{organisation}", 8):
        if state.suspected_until.get(member, 0.0) <= now:
            return member
    return None


def _request_recipient(
    state: RatesState,
    organisation: OrganisationId,
    bucket: Bucket,
    limit: RateLimit,
    now: Seconds,
) -> Member | None:
    """Return the member to request units from.

    Scarce units come from the next lender, others from the coordinator; the coordinator
    itself turns to the holder of most units.
    """
    if is_scarce(limit, bucket.request_cost, len(state.roster.members)):
        return next_lender(
            state, organisation, limit, bucket.request_cost, state.me, now
        )
    coordinator = find_coordinator(state, organisation, now)
    if coordinator != state.me:
        return coordinator
    candidates = rank_unit_holders(state, organisation, now, exclude=state.me)
    return candidates[0] if candidates else None


def rank_lenders(
    state: RatesState,
    organisation: OrganisationId,
    limit: RateLimit,
    cost: float,
    now: Seconds,
) -> list[Member]:
    """Return the lenders: the members that hold an organisation's scarce units."""
    members = state.roster.members
    candidates = rank_members(members, f"rate/{organisation}", 8)
    reachable = exclude_suspects(state, list(candidates), now) or list(candidates)
    return reachable[: lender_count(limit, cost, len(members))]


def next_lender(
    state: RatesState,
    organisation: OrganisationId,
    limit: RateLimit,
    cost: float,
    after: Member,
    now: Seconds,
) -> Member | None:
    """Return the lender after a lender; for others, one picked by roster position."""
    lenders = rank_lenders(state, organisation, limit, cost, now)
    if after in lenders:
        lenders = lenders[lenders.index(after) + 1 :] + lenders[: lenders.index(after)]
        if lenders:
            return lenders[0]
        # All other members are suspects: return the next one rather than none.
        others = rank_members(state.roster.members, f"rate/{organisation}", 2)
        return next((other for other in others if other != after), None)
    if not lenders:
        return None
    return lenders[member_index(state.roster, after) % len(lenders)]


def rank_unit_holders(
    state: RatesState,
    organisation: OrganisationId,
    now: Seconds,
    *,
    exclude: Member,
) -> list[Member]:
    """Return the known unit holders, most units first; all members if none is known."""
    reports = state.reports.get(organisation, {})
    candidates = [
        (report.units, member)
        for member, report in reports.items()
        if report.units
        and member not in (state.me, exclude)
        and has_member(state.roster, member)
    ]
    if not candidates:
        others = rank_members(state.roster.members, f"rate/{organisation}", 8)
        candidates = [
            (0, other) for other in others if other not in (state.me, exclude)
        ]
    members = [member for _, member in sorted(candidates, reverse=True)]
    return exclude_suspects(state, members, now) or members


def exclude_suspects(
    state: RatesState, members: list[Member], now: Seconds
) -> list[Member]:
    """Return the members that are not suspected of being unreachable."""
    return [
        member for member in members if state.suspected_until.get(member, 0.0) <= now
    ]


def apply_limits(
    state: RatesState, limits: Mapping[OrganisationId, RateLimit], now: Seconds
) -> None:
    """Apply the organisations' rate limits of a newer configuration at once."""
    for organisation, bucket in state.buckets.items():
        old = state.limits_by_organisation.get(organisation)
        new = limits.get(organisation)
        if old != new:
            change_limit(bucket, old, new, now)
    state.limits_by_organisation.clear()
    state.limits_by_organisation.update(limits)


def update_demands(state: RatesState, now: Seconds) -> None:
    """Update each demand estimate, and request units early where they fall short."""
    for organisation, bucket in state.buckets.items():
        limit = state.limits_by_organisation.get(organisation)
        update_demand(bucket, now)
        if limit is None or now < bucket.next_request_at:
            continue
        if is_scarce(limit, bucket.request_cost, len(state.roster.members)):
            continue
        refill(bucket, limit, now)
        missing = units_needed(bucket, limit, now) - bucket.units
        if missing * 8 > bucket.units:
            request_units(state, organisation, bucket, limit, now)
