"""Replace lost rate units: an epoch's minter counts all held units and mints the rest.

The count is a consistent cut: each member reports the units that it held when it
adopted the epoch, and a transfer is valid only in the epoch in which it was sent. The
minter mints once an epoch, when no removed member can still be spending.
"""

from __future__ import annotations

from functools import singledispatch
from typing import NamedTuple, TYPE_CHECKING, TypeAlias

from ..types import OrganisationId, Seconds
from ..wire.kinds import sent_as
from .buckets import Bucket, TOTAL_UNITS
from .permits import (
    FetchRoster,
    MAX_STORE_SILENCE_SECONDS,
    OBSERVER_CLOCK_FACTOR,
    PERMIT_SECONDS,
    RosterReceived,
    SendMessage,
    Tick,
)
from .rates import RatesState, UnitHolding
from .roster import (
    find_minter,
    majority_size,
    Member,
    RemovedMember,
    RosterChange,
    unreconciled_removals,
)

if TYPE_CHECKING:
    from random import Random


HOLDINGS_RETRY_SECONDS = 0.3
MAX_HOLDINGS_RETRY_SECONDS = 2.0


@sent_as("Collect")
class HoldingsRequest(NamedTuple):
    """Request the units that a member held when it adopted the epoch."""

    epoch: int
    minter: Member
    changes: tuple[RosterChange, ...]


@sent_as("Holdings")
class HoldingsResponse(NamedTuple):
    """Report the snapshot; also promises never to attest under an older epoch."""

    epoch: int
    member: Member
    holdings: tuple[UnitHolding, ...]


class MarkReconciled(NamedTuple):
    """Mark this epoch as reconciled in the store's roster, if it is still current."""

    epoch: int


class MintState(NamedTuple):
    """Represent the minter's count of the units held in one epoch.

    ``counted_at`` gives, by member, the time at which its holdings were counted, and
    ``counted_units`` the units counted so far by organisation; both are None on members
    other than the minter. ``minted_organisations`` are those whose lost units have been
    replaced. ``reconciliation_reported`` tells whether the epoch was reported as
    reconciled.
    """

    epoch: int = 0
    adopted_at: Seconds = 0.0
    removed_members: tuple[RemovedMember, ...] = ()
    counted_at: dict[Member, Seconds] | None = None
    counted_units: dict[OrganisationId, int] | None = None
    minted_organisations: frozenset[OrganisationId] = frozenset()
    next_request_at: Seconds = 0.0
    request_interval: Seconds = HOLDINGS_RETRY_SECONDS
    reconciliation_reported: bool = False


MintEvent: TypeAlias = HoldingsRequest | HoldingsResponse | RosterReceived | Tick
MintEffect: TypeAlias = SendMessage | FetchRoster | MarkReconciled
MintStep: TypeAlias = "tuple[MintState, list[MintEffect]]"


def step(
    state: MintState, event: MintEvent, rates: RatesState, now: Seconds, rng: Random
) -> MintStep:
    """Process one event; new units go directly into the minter's own buckets."""
    return handle(event, state, rates, now, rng)


@singledispatch
def handle(
    event: MintEvent, state: MintState, rates: RatesState, now: Seconds, rng: Random
) -> MintStep:
    """Refuse an event of an unknown type."""
    raise TypeError(f"got {type(event).__name__}, expected a minting event")


@handle.register(RosterReceived)
def on_roster_received(
    event: RosterReceived,
    state: MintState,
    rates: RatesState,
    now: Seconds,
    rng: Random,
) -> MintStep:
    """Begin to count if this instance is the minter of the new epoch."""
    if rates.roster.epoch <= state.epoch:
        return state, []
    if find_minter(rates.roster) != rates.me:
        return MintState(rates.roster.epoch, now), []
    removed = unreconciled_removals(rates.roster)
    state = MintState(rates.roster.epoch, now, removed, {}, {})
    return add_holdings(state, rates.me, rates.epoch_snapshot, now), []


@handle.register(HoldingsRequest)
def on_holdings_request(
    event: HoldingsRequest,
    state: MintState,
    rates: RatesState,
    now: Seconds,
    rng: Random,
) -> MintStep:
    """Answer with the snapshot of the requested epoch; fetch the roster if behind."""
    epoch = rates.roster.epoch
    if event.epoch > epoch:
        return state, [FetchRoster(event.minter, event.epoch)]
    if event.epoch < epoch or rates.me not in rates.roster.members:
        return state, []
    return state, [
        SendMessage(
            event.minter, HoldingsResponse(epoch, rates.me, epoch_snapshot(rates))
        )
    ]


@handle.register(HoldingsResponse)
def on_holdings(
    event: HoldingsResponse,
    state: MintState,
    rates: RatesState,
    now: Seconds,
    rng: Random,
) -> MintStep:
    """Count a member's holdings once."""
    if state.counted_at is None or event.epoch != state.epoch:
        return state, []
    if event.member in state.counted_at or event.member not in rates.roster.members:
        return state, []
    return add_holdings(state, event.member, event.holdings, now), []


@handle.register(Tick)
def on_tick(
    event: Tick, state: MintState, rates: RatesState, now: Seconds, rng: Random
) -> MintStep:
    """Ask the members not yet counted, then mint the lost units once it is safe."""
    if state.counted_at is None:
        return state, []
    uncounted = uncounted_members(state, rates)
    if uncounted:
        return _request_holdings(state, rates, uncounted, now)
    if now < mint_allowed_at(state):
        return state, []
    state = mint_lost_units(state, rates, now)
    if state.reconciliation_reported or not rates.roster.changes:
        return state, []
    return state._replace(reconciliation_reported=True), [MarkReconciled(state.epoch)]


def uncounted_members(state: MintState, rates: RatesState) -> list[Member]:
    """Return the members that have not been counted yet."""
    counted = state.counted_at or {}
    return [member for member in rates.roster.members if member not in counted]


def epoch_snapshot(rates: RatesState) -> tuple[UnitHolding, ...]:
    """Return the units held when the epoch was adopted, without later transfers."""
    return rates.epoch_snapshot


def add_holdings(
    state: MintState, member: Member, holdings: tuple[UnitHolding, ...], now: Seconds
) -> MintState:
    """Add one member's snapshot to the count."""
    assert state.counted_at is not None and state.counted_units is not None
    state.counted_at[member] = now
    for holding in holdings:
        previous = state.counted_units.get(holding.organisation, 0)
        state.counted_units[holding.organisation] = previous + holding.units
    return state


def mint_allowed_at(state: MintState) -> Seconds:
    """Return when every removed member's permit is proven to have expired."""
    return max(
        (_permit_expires_at(state, removed) for removed in state.removed_members),
        default=state.adopted_at,
    )


def mint_lost_units(state: MintState, rates: RatesState, now: Seconds) -> MintState:
    """Create the lost units of each organisation without tokens, once an epoch."""
    assert state.counted_units is not None
    unminted = [
        name
        for name in rates.limits_by_organisation
        if name not in state.minted_organisations
    ]
    for organisation in unminted:
        lost = TOTAL_UNITS - state.counted_units.get(organisation, 0)
        bucket = rates.buckets.get(organisation)
        if bucket is None:
            bucket = rates.buckets[organisation] = Bucket(now)
        bucket.units += max(0, lost)
    return (
        state._replace(minted_organisations=state.minted_organisations | set(unminted))
        if unminted
        else state
    )


def _permit_expires_at(state: MintState, removed: RemovedMember) -> Seconds:
    """Return by when a removed member's permit has expired on the minter's clock."""
    assert state.counted_at is not None
    bound = state.adopted_at + MAX_STORE_SILENCE_SECONDS * OBSERVER_CLOCK_FACTOR
    last_renewal_at = state.adopted_at
    for chosen in removed.attester_sets:
        times = sorted(
            state.counted_at[member] for member in chosen if member in state.counted_at
        )
        required = majority_size(len(chosen))
        if len(times) < required:
            return bound
        last_renewal_at = max(
            last_renewal_at, times[required - 1] if required else last_renewal_at
        )
    return min(bound, last_renewal_at + PERMIT_SECONDS * OBSERVER_CLOCK_FACTOR)


def _request_holdings(
    state: MintState, rates: RatesState, uncounted: list[Member], now: Seconds
) -> MintStep:
    """Repeat the request for holdings at growing intervals."""
    if now < state.next_request_at:
        return state, []
    message = HoldingsRequest(state.epoch, rates.me, rates.roster.changes)
    effects: list[MintEffect] = [SendMessage(member, message) for member in uncounted]
    pause = min(MAX_HOLDINGS_RETRY_SECONDS, 2 * state.request_interval)
    return state._replace(
        next_request_at=now + state.request_interval, request_interval=pause
    ), effects
