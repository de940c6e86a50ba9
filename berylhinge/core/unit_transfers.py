"""Transfer rate units between instances, each transfer at most once.

The sender deducts the units first and resends the transfer until it is acknowledged;
the receiver adds the units on the first arrival only.
"""

from __future__ import annotations

from functools import singledispatch
from typing import TYPE_CHECKING, TypeAlias

from .buckets import (
    add_units,
    Bucket,
    has_waiting_requests,
    refill,
    remove_units,
)
from .permits import FetchRoster, RosterReceived, SendMessage, Tick
from .rates import (
    DEMAND_UPDATE_SECONDS,
    HoldingReport,
    next_lender,
    PendingTransfer,
    rank_lenders,
    RatesState,
    ReceivedTransfers,
    SUSPECT_SECONDS,
    UNIT_REQUEST_PAUSE_SECONDS,
    UnitHolding,
    update_demands,
)
from .roster import joined_epoch
from .transfer_planning import KEEP_DEMAND_FRACTION, plan_returns, spare_units
from .unit_forwarding import forward_request
from .unit_messages import TransferAck, UnitDenial, UnitRequest, UnitTransfer

if TYPE_CHECKING:
    from random import Random

    from ..types import OrganisationId, Seconds
    from .roster import Member, Roster

RESEND_SECONDS = 0.2
MAX_RESEND_SECONDS = 2.0
MIN_BACKOFF_SECONDS = 0.05
MAX_BACKOFF_SECONDS = 1.0
SATISFIED_FRACTION = 0.9
NO_TRANSFERS_RECEIVED = ReceivedTransfers(0, frozenset())

RatesEvent: TypeAlias = (
    UnitRequest | UnitTransfer | TransferAck | UnitDenial | RosterReceived | Tick
)
RatesEffect: TypeAlias = SendMessage | FetchRoster
RatesStep: TypeAlias = "tuple[RatesState, list[RatesEffect]]"


def step(state: RatesState, event: RatesEvent, now: Seconds, rng: Random) -> RatesStep:
    """Process one event, and return the new state and the messages to send."""
    state, effects = handle(event, state, now, rng)
    effects.extend(state.outbox)
    state.outbox.clear()
    return state, effects


@singledispatch
def handle(
    event: RatesEvent, state: RatesState, now: Seconds, rng: Random
) -> RatesStep:
    """Refuse an event of an unknown type."""
    raise TypeError(f"got {type(event).__name__}, expected a rates event")


@handle.register(UnitRequest)
def on_unit_request(
    event: UnitRequest, state: RatesState, now: Seconds, rng: Random
) -> RatesStep:
    """Transfer spare units, and forward the request for the remaining ones."""
    if event.epoch != state.roster.epoch:
        # Deny at once: the requester would otherwise wait and suspect this instance.
        deny = UnitDenial(
            state.roster.epoch, event.organisation, state.me, event.requester
        )
        state.outbox.append(SendMessage(event.requester, deny))
        return state, _fetch_if_behind(state, event.epoch, event.requester)
    state.suspected_until.pop(event.requester, None)
    record_report(
        state,
        event.organisation,
        event.requester,
        event.held_units,
        event.demand_per_second,
    )
    if not event.units and not event.tokens:
        return state, []
    bucket = state.buckets.get(event.organisation)
    limit = state.limits_by_organisation.get(event.organisation)
    members = len(state.roster.members)
    units = spare_units(bucket, limit, event, now, members) if bucket and limit else 0
    tokens = 0.0
    if bucket and limit and units:
        tokens = bucket.tokens * units / bucket.units
        state = transfer_units(state, event.organisation, event.requester, units, now)
    if (
        units >= event.units * SATISFIED_FRACTION
        and tokens >= event.tokens * SATISFIED_FRACTION
    ):
        return state, []
    remaining = event._replace(
        units=max(0, event.units - units),
        tokens=max(0.0, event.tokens - tokens),
        hop_count=event.hop_count + 1,
    )
    forwarded = forward_request(state, remaining, limit, now, rng)
    if not forwarded and not units:
        deny = UnitDenial(
            state.roster.epoch, event.organisation, state.me, event.requester
        )
        state.outbox.append(SendMessage(event.requester, deny))
    return state, []


@handle.register(UnitTransfer)
def on_transfer(
    event: UnitTransfer, state: RatesState, now: Seconds, rng: Random
) -> RatesStep:
    """Add the units once, and only in the epoch in which they were sent."""
    if event.epoch != state.roster.epoch or event.receiver != state.me:
        return state, _fetch_if_behind(state, event.epoch, event.sender)
    state.suspected_until.pop(event.sender, None)
    acknowledgement = TransferAck(event.epoch, event.sender, state.me, event.sequence)
    state.outbox.append(SendMessage(event.sender, acknowledgement))
    if not record_if_new(state, event):
        return state, []
    limit = state.limits_by_organisation.get(event.organisation)
    bucket = state.buckets.get(event.organisation)
    if bucket is None:
        bucket = state.buckets[event.organisation] = Bucket(now)
    if limit is not None:
        refill(bucket, limit, now)
    add_units(bucket, event.units, event.tokens, limit)
    bucket.pending_request_to = None
    bucket.backoff_seconds = 0.0
    bucket.denied_until = 0.0
    bucket.next_request_at = min(
        bucket.next_request_at, now + UNIT_REQUEST_PAUSE_SECONDS
    )
    record_report(
        state,
        event.organisation,
        event.sender,
        event.held_units,
        event.demand_per_second,
    )
    return state, []


@handle.register(TransferAck)
def on_transfer_ack(
    event: TransferAck, state: RatesState, now: Seconds, rng: Random
) -> RatesStep:
    """Remove an acknowledged transfer, and clear the suspicion of its receiver."""
    state.suspected_until.pop(event.receiver, None)
    if event.sender == state.me and event.epoch == state.roster.epoch:
        state.pending_transfers.pop(event.sequence, None)
    return state, []


@handle.register(UnitDenial)
def on_denial(
    event: UnitDenial, state: RatesState, now: Seconds, rng: Random
) -> RatesStep:
    """Back off before the next request."""
    state.suspected_until.pop(event.denier, None)
    bucket = state.buckets.get(event.organisation)
    if (
        bucket is None
        or bucket.pending_request_to is None
        or event.requester != state.me
    ):
        return state, []
    bucket.pending_request_to = None
    if event.epoch != state.roster.epoch:
        bucket.next_request_at = now + UNIT_REQUEST_PAUSE_SECONDS
        return state, _fetch_if_behind(state, event.epoch, event.denier)
    bucket.backoff_seconds = min(
        MAX_BACKOFF_SECONDS, max(MIN_BACKOFF_SECONDS, 2 * bucket.backoff_seconds)
    )
    bucket.denied_until = now + bucket.backoff_seconds * rng.uniform(0.8, 1.2)
    bucket.next_request_at = bucket.denied_until
    return state, []


@handle.register(RosterReceived)
def on_roster_received(
    event: RosterReceived, state: RatesState, now: Seconds, rng: Random
) -> RatesStep:
    """Move to the new epoch; transfers of older epochs end."""
    return adopt_roster(state, event.roster), []


@handle.register(Tick)
def on_tick(event: Tick, state: RatesState, now: Seconds, rng: Random) -> RatesStep:
    """Resend unacknowledged transfers, update demand and return surplus units."""
    for sequence, pending in list(state.pending_transfers.items()):
        if now >= pending.resend_at:
            pause = min(MAX_RESEND_SECONDS, 2 * pending.resend_interval)
            state.pending_transfers[sequence] = PendingTransfer(
                pending.message, now + pause, pause
            )
            state.outbox.append(SendMessage(pending.message.receiver, pending.message))
            state.suspected_until[pending.message.receiver] = now + SUSPECT_SECONDS
    if now - state.demand_updated_at < DEMAND_UPDATE_SECONDS:
        return state, []
    state = state._replace(demand_updated_at=now)
    update_demands(state, now)
    return return_surplus(state, now), []


def adopt_roster(state: RatesState, roster: Roster) -> RatesState:
    """Move to a newer epoch, with a snapshot of the units for the epoch's minter."""
    if roster.epoch <= state.roster.epoch:
        return state._replace(roster=max(roster, state.roster))
    if joined_epoch(roster, state.me) != joined_epoch(state.roster, state.me):
        # This member was removed in between: the minter counted its units as lost.
        state.buckets.clear()
    snapshot = tuple(
        UnitHolding(organisation, bucket.units)
        for organisation, bucket in state.buckets.items()
        if bucket.units
    )
    state.pending_transfers.clear()
    state.received_transfers.clear()
    return state._replace(roster=roster, epoch_snapshot=snapshot)


def transfer_units(
    state: RatesState,
    organisation: OrganisationId,
    receiver: Member,
    units: int,
    now: Seconds,
) -> RatesState:
    """Deduct the units and their tokens, then send them until acknowledged."""
    bucket = state.buckets[organisation]
    limit = state.limits_by_organisation.get(organisation)
    if limit is not None:
        refill(bucket, limit, now)
    units = min(units, bucket.units)
    tokens = remove_units(bucket, units)
    sequence = state.sequence + 1
    message = UnitTransfer(
        state.roster.epoch,
        organisation,
        state.me,
        receiver,
        sequence,
        min(state.pending_transfers, default=sequence),
        units,
        tokens,
        bucket.units,
        bucket.demand_per_second,
    )
    state.pending_transfers[sequence] = PendingTransfer(
        message, now + RESEND_SECONDS, RESEND_SECONDS
    )
    state.outbox.append(SendMessage(receiver, message))
    report = state.reports.get(organisation, {}).get(receiver)
    if report is not None:
        record_report(
            state,
            organisation,
            receiver,
            report.units + units,
            report.demand_per_second,
        )
    return state._replace(sequence=sequence)


def return_surplus(state: RatesState, now: Seconds) -> RatesState:
    """Return surplus units to the coordinator or lenders; all units when leaving."""
    state.spent_organisations.clear()
    in_transfer = {
        pending.message.organisation for pending in state.pending_transfers.values()
    }
    for organisation, bucket in state.buckets.items():
        if organisation in in_transfer or not bucket.units:
            continue
        if has_waiting_requests(bucket, now) and not state.leaving:
            continue
        for receiver, units in plan_returns(state, organisation, bucket, now):
            state = transfer_units(state, organisation, receiver, units, now)
    return state


def return_spent_units(state: RatesState, now: Seconds) -> RatesState:
    """Return scarce units to the lenders as soon as a request has spent them."""
    for organisation in sorted(state.spent_organisations):
        bucket, limit = (
            state.buckets[organisation],
            state.limits_by_organisation[organisation],
        )
        lenders = rank_lenders(state, organisation, limit, bucket.request_cost, now)
        if state.me in lenders or not bucket.units or has_waiting_requests(bucket, now):
            continue
        if bucket.demand_per_second > KEEP_DEMAND_FRACTION * limit.rate:
            continue
        successor = next_lender(
            state, organisation, limit, bucket.request_cost, state.me, now
        )
        if successor is not None:
            state = transfer_units(state, organisation, successor, bucket.units, now)
    state.spent_organisations.clear()
    return state


def record_report(
    state: RatesState,
    organisation: OrganisationId,
    member: Member,
    units: int,
    demand_per_second: float,
) -> None:
    """Record the units and demand (tokens a second) that a member reported."""
    state.reports.setdefault(organisation, {})[member] = HoldingReport(
        units, demand_per_second
    )


def record_if_new(state: RatesState, event: UnitTransfer) -> bool:
    """Record a transfer, and tell whether it arrived for the first time."""
    received = state.received_transfers.get(event.sender, NO_TRANSFERS_RECEIVED)
    if (
        event.sequence < received.lowest_pending
        or event.sequence in received.received_sequences
    ):
        return False
    lowest = max(received.lowest_pending, event.lowest_pending)
    sequences = {
        number for number in received.received_sequences if number >= lowest
    } | {event.sequence}
    state.received_transfers[event.sender] = ReceivedTransfers(
        lowest, frozenset(sequences)
    )
    return True


def _fetch_if_behind(state: RatesState, epoch: int, peer: Member) -> list[RatesEffect]:
    """Fetch the roster when the peer has a newer one."""
    return [FetchRoster(peer, epoch)] if epoch > state.roster.epoch else []
