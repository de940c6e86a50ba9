"""Replace lost units: the epoch's keeper counts all members, then mints the rest.

The count is a consistent cut: each member reports its snapshot at adoption, and a
transfer counts only in the epoch in which it was given. The keeper mints once an
epoch, when no removed member can be spending any more.
"""

from __future__ import annotations

from functools import singledispatch
from typing import NamedTuple, TYPE_CHECKING, TypeAlias

from ..types import OrganisationId, Seconds
from .buckets import Bucket, UNITS
from .permits import (
    Adopted,
    FetchRoster,
    PERMIT_SECONDS,
    Send,
    STORE_BOUND_SECONDS,
    Tick,
    WAITER_FACTOR,
)
from .rates import Holding, RatesState
from .roster import Change, keeper, majority, Member, Removed, unsettled

if TYPE_CHECKING:
    from random import Random


COLLECT_SECONDS = 0.3
COLLECT_LIMIT_SECONDS = 2.0


class Collect(NamedTuple):
    """Ask a member what it held when it adopted the epoch."""

    epoch: int
    keeper: Member
    changes: tuple[Change, ...]


class Holdings(NamedTuple):
    """Report the snapshot; also a promise never to vouch under an older epoch."""

    epoch: int
    member: Member
    holdings: tuple[Holding, ...]


class Settle(NamedTuple):
    """Swap the store's roster for one with this epoch settled, if it still leads."""

    epoch: int


class MintState(NamedTuple):
    """Hold the keeper's count; empty on everyone else."""

    epoch: int = 0
    adopted_at: Seconds = 0.0
    removed: tuple[Removed, ...] = ()
    counted: dict[Member, Seconds] | None = None
    units: dict[OrganisationId, int] | None = None
    minted: frozenset[OrganisationId] = frozenset()
    collect_at: Seconds = 0.0
    pause: Seconds = COLLECT_SECONDS
    settled: bool = False


MintEvent: TypeAlias = Collect | Holdings | Adopted | Tick
MintEffect: TypeAlias = Send | FetchRoster | Settle
MintStep: TypeAlias = "tuple[MintState, list[MintEffect]]"


def step(
    state: MintState, event: MintEvent, rates: RatesState, now: Seconds, rng: Random
) -> MintStep:
    """Take one event; new units go straight into the keeper's own buckets."""
    return handle(event, state, rates, now, rng)


@singledispatch
def handle(
    event: MintEvent, state: MintState, rates: RatesState, now: Seconds, rng: Random
) -> MintStep:
    """Refuse an event of an unknown type."""
    raise TypeError(f"got {type(event).__name__}, expected a minting event")


@handle.register(Adopted)
def on_adopted(
    event: Adopted, state: MintState, rates: RatesState, now: Seconds, rng: Random
) -> MintStep:
    """Begin to count when this instance is the keeper of the new epoch."""
    if rates.roster.epoch <= state.epoch:
        return state, []
    if keeper(rates.roster) != rates.me:
        return MintState(rates.roster.epoch, now), []
    removed = unsettled(rates.roster)
    state = MintState(rates.roster.epoch, now, removed, {}, {})
    return count(state, rates.me, rates.snapshot, now), []


@handle.register(Collect)
def on_collect(
    event: Collect, state: MintState, rates: RatesState, now: Seconds, rng: Random
) -> MintStep:
    """Answer with the snapshot of the very epoch; fetch the roster when behind."""
    epoch = rates.roster.epoch
    if event.epoch > epoch:
        return state, [FetchRoster(event.keeper, event.epoch)]
    if event.epoch < epoch or rates.me not in rates.roster.members:
        return state, []
    return state, [Send(event.keeper, Holdings(epoch, rates.me, snapshot(rates)))]


@handle.register(Holdings)
def on_holdings(
    event: Holdings, state: MintState, rates: RatesState, now: Seconds, rng: Random
) -> MintStep:
    """Count a member once."""
    if state.counted is None or event.epoch != state.epoch:
        return state, []
    if event.member in state.counted or event.member not in rates.roster.members:
        return state, []
    return count(state, event.member, event.holdings, now), []


@handle.register(Tick)
def on_tick(
    event: Tick, state: MintState, rates: RatesState, now: Seconds, rng: Random
) -> MintStep:
    """Ask those not yet counted, then mint what is missing once it is safe."""
    if state.counted is None:
        return state, []
    absent = missing(state, rates)
    if absent:
        return _collect(state, rates, absent, now)
    if now < safe_at(state):
        return state, []
    state = mint(state, rates, now)
    if state.settled or not rates.roster.changes:
        return state, []
    return state._replace(settled=True), [Settle(state.epoch)]


def missing(state: MintState, rates: RatesState) -> list[Member]:
    """Return the members that have not been counted yet."""
    counted = state.counted or {}
    return [member for member in rates.roster.members if member not in counted]


def snapshot(rates: RatesState) -> tuple[Holding, ...]:
    """Return what was held when the epoch was adopted, whatever moved since."""
    return rates.snapshot


def count(
    state: MintState, member: Member, holdings: tuple[Holding, ...], now: Seconds
) -> MintState:
    """Add one member's snapshot to the count."""
    assert state.counted is not None and state.units is not None
    state.counted[member] = now
    for holding in holdings:
        known = state.units.get(holding.organisation, 0)
        state.units[holding.organisation] = known + holding.units
    return state


def safe_at(state: MintState) -> Seconds:
    """Return when every removed member's permit is proven to have run out."""
    return max(
        (_run_out(state, removed) for removed in state.removed),
        default=state.adopted_at,
    )


def mint(state: MintState, rates: RatesState, now: Seconds) -> MintState:
    """Create the missing units of each organisation, empty, once an epoch."""
    assert state.units is not None
    fresh = [name for name in rates.terms if name not in state.minted]
    for organisation in fresh:
        lost = UNITS - state.units.get(organisation, 0)
        bucket = rates.buckets.get(organisation)
        if bucket is None:
            bucket = rates.buckets[organisation] = Bucket(now)
        bucket.units += max(0, lost)
    return state._replace(minted=state.minted | set(fresh)) if fresh else state


def _run_out(state: MintState, removed: Removed) -> Seconds:
    """Return when one removed member's permit has run out on the keeper's clock."""
    assert state.counted is not None
    bound = state.adopted_at + STORE_BOUND_SECONDS * WAITER_FACTOR
    last = state.adopted_at
    for chosen in removed.voucher_sets:
        times = sorted(
            state.counted[member] for member in chosen if member in state.counted
        )
        need = majority(len(chosen))
        if len(times) < need:
            return bound
        last = max(last, times[need - 1] if need else last)
    return min(bound, last + PERMIT_SECONDS * WAITER_FACTOR)


def _collect(
    state: MintState, rates: RatesState, absent: list[Member], now: Seconds
) -> MintStep:
    """Repeat the question at growing intervals."""
    if now < state.collect_at:
        return state, []
    message = Collect(state.epoch, rates.me, rates.roster.changes)
    effects: list[MintEffect] = [Send(member, message) for member in absent]
    pause = min(COLLECT_LIMIT_SECONDS, 2 * state.pause)
    return state._replace(collect_at=now + state.pause, pause=pause), effects
