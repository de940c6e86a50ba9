"""Combine the roster, permit, rate units and minting of one instance in one state."""

from __future__ import annotations

from typing import NamedTuple, TYPE_CHECKING, TypeAlias

from . import minting, permits, rates, unit_transfers
from .minting import HoldingsRequest, HoldingsResponse, MarkReconciled, MintState
from .permits import (
    AttestationRequest,
    AttestationResponse,
    FetchRoster,
    PermitState,
    PermitWithdrawn,
    ReadRoster,
    RosterRead,
    RosterReceived,
    SendMessage,
    Tick,
)
from .rates import RatesState
from .unit_messages import TransferAck, UnitDenial, UnitRequest, UnitTransfer

if TYPE_CHECKING:
    from collections.abc import Mapping
    from random import Random

    from ..types import OrganisationId, Seconds
    from .buckets import RateLimit
    from .rates import AdmissionResult
    from .roster import Member, Roster

CapacityMessage: TypeAlias = (
    AttestationRequest
    | AttestationResponse
    | UnitRequest
    | UnitTransfer
    | TransferAck
    | UnitDenial
    | HoldingsRequest
    | HoldingsResponse
)
CapacityEvent: TypeAlias = (
    CapacityMessage | RosterRead | RosterReceived | Tick | PermitWithdrawn
)
CapacityEffect: TypeAlias = SendMessage | ReadRoster | FetchRoster | MarkReconciled
PERMIT_EVENTS = (AttestationRequest, AttestationResponse, PermitWithdrawn)
RATES_EVENTS = (UnitRequest, UnitTransfer, TransferAck, UnitDenial)
MINT_EVENTS = (HoldingsRequest, HoldingsResponse)


class CapacityState(NamedTuple):
    """Represent one instance's rate units, right to spend and part in minting."""

    permit: PermitState
    rates: RatesState
    mint: MintState
    permit_until: Seconds


def new_capacity(me: Member) -> CapacityState:
    """Return the state of an instance without rate units and without a permit."""
    return CapacityState(
        permits.new_permit(me), rates.new_rates(me), MintState(), float("-inf")
    )


def admit(
    state: CapacityState,
    organisation: OrganisationId,
    cost: float,
    now: Seconds,
    *,
    waited: Seconds = 0.0,
) -> AdmissionResult:
    """Charge one caller request; the caller then sends what ``take_outbox`` returns."""
    return rates.admit(
        state.rates,
        organisation,
        cost,
        now,
        permit_until=state.permit_until,
        waited=waited,
    )


def take_outbox(
    state: CapacityState, now: Seconds
) -> tuple[CapacityState, list[SendMessage]]:
    """Remove and return the messages that ``admit`` has queued."""
    units = state.rates
    if not units.outbox and not units.spent_organisations:
        return state, []
    units = unit_transfers.return_spent_units(units, now)
    effects = list(units.outbox)
    units.outbox.clear()
    return state._replace(rates=units), effects


def apply_limits(
    state: CapacityState, limits: Mapping[OrganisationId, RateLimit], now: Seconds
) -> None:
    """Apply the organisations' rate limits of a newer configuration."""
    rates.apply_limits(state.rates, limits, now)


def step(
    state: CapacityState, event: CapacityEvent, now: Seconds, rng: Random
) -> tuple[CapacityState, list[CapacityEffect]]:
    """Process one event or message, and return the new state and its effects."""
    effects: list[CapacityEffect] = []
    permit, units, mint = state.permit, state.rates, state.mint
    if isinstance(event, (*PERMIT_EVENTS, RosterRead, RosterReceived, Tick)):
        permit, permit_effects = permits.step(permit, event, now, rng)
        effects += permit_effects
    if permit.roster != units.roster:
        # Units and minting move to the new epoch in the same step as the permit.
        units, mint = _adopt(units, mint, permit.roster, now, rng)
    if (reachable := direct_sender(event)) is not None:
        units.suspected_until.pop(reachable, None)
    if isinstance(event, (*RATES_EVENTS, Tick)):
        units, transfer_effects = unit_transfers.step(units, event, now, rng)
        effects += transfer_effects
    if isinstance(event, (*MINT_EVENTS, Tick)):
        mint, minting_effects = minting.step(mint, event, units, now, rng)
        effects += minting_effects
    permit_until = permits.expires_at(permit)
    return CapacityState(permit, units, mint, permit_until), effects


def direct_sender(event: CapacityEvent) -> Member | None:
    """Return the sender of a message about units if it is known to be reachable.

    A message proves that its sender is reachable unless it may have been forwarded.
    """
    if isinstance(event, UnitRequest):
        return event.requester if event.hop_count == 0 else None
    if isinstance(event, UnitTransfer):
        return event.sender
    if isinstance(event, TransferAck):
        return event.receiver
    return event.denier if isinstance(event, UnitDenial) else None


def begin_leaving(state: CapacityState) -> CapacityState:
    """Begin to return all units; ``has_returned_units`` tells when this is complete."""
    return state._replace(rates=state.rates._replace(leaving=True))


def has_returned_units(state: CapacityState) -> bool:
    """Tell whether all units have been transferred and acknowledged."""
    held = any(bucket.units for bucket in state.rates.buckets.values())
    return not held and not state.rates.pending_transfers


def _adopt(
    units: RatesState, mint: MintState, roster: Roster, now: Seconds, rng: Random
) -> tuple[RatesState, MintState]:
    """Move units and minting to a newer epoch; the minter begins its count."""
    units = unit_transfers.adopt_roster(units, roster)
    mint, _ = minting.step(mint, RosterReceived(roster), units, now, rng)
    return units, mint
