"""Maintain an instance's permit: a lease on the right to spend rate units.

Attesters or the store renew the permit; it lasts ``PERMIT_SECONDS`` from the time at
which the confirmed request was sent. An attester that adopted an epoch never attests
for anyone outside it, and a response counts only under the requester's own epoch. Hence
a majority of attesters that adopted a newer epoch proves that no renewal can begin any
more (leases: Gray and Cheriton, 1989).
"""

from __future__ import annotations

from functools import singledispatch
from typing import NamedTuple, TYPE_CHECKING, TypeAlias

from ..types import Seconds
from ..wire.kinds import sent_as
from .roster import (
    choose_attesters,
    has_member,
    HashedMembers,
    majority_size,
    Member,
    Roster,
)

if TYPE_CHECKING:
    from random import Random


PERMIT_SECONDS = 2.0
MAX_STORE_SILENCE_SECONDS = 900.0
CLOCK_DRIFT_FRACTION = 0.01
RENEW_SECONDS = 0.8
LATE_RENEW_SECONDS = 0.25
STORE_READ_INTERVAL_SECONDS = 120.0


@sent_as("VouchRequest")
class AttestationRequest(NamedTuple):
    """Ask an attester to confirm the requester's membership."""

    requester: Member
    attester: Member
    epoch: int
    sequence: int


class AttestationResponse(NamedTuple):
    """Confirm or deny the membership; ``epoch`` is the attester's own."""

    attester: Member
    requester: Member
    epoch: int
    sequence: int
    attested: bool


class RosterRead(NamedTuple):
    """Deliver the store's roster, read by a request sent at ``sent_at``."""

    roster: Roster
    sent_at: Seconds


class RosterReceived(NamedTuple):
    """Deliver a roster received from a peer."""

    roster: Roster


class Tick(NamedTuple):
    """Let time pass; send one every 50 to 250 ms."""


class PermitWithdrawn(NamedTuple):
    """Give the permit up permanently, as on a planned stop."""


class SendMessage(NamedTuple):
    """Send a message to a member's instance."""

    to: Member
    message: NamedTuple


class ReadRoster(NamedTuple):
    """Read the roster from the store, and record when the read was sent."""


class FetchRoster(NamedTuple):
    """Fetch a newer roster from a peer that has it."""

    peer: Member
    epoch: int


class PermitState(NamedTuple):
    """Represent one instance's own permit.

    ``confirmed_at`` gives, by attester, the send time of the latest request that it
    confirmed in this epoch, ``sent_at`` the send time of each request by sequence, and
    ``earlier_confirmed_at`` the send time confirmed by a majority in older epochs.
    """

    me: Member
    roster: Roster
    confirmed_at: dict[Member, float]
    sent_at: dict[int, float]
    sequence: int = 0
    next_request_at: Seconds = 0.0
    store_confirmed_at: Seconds | None = None
    earlier_confirmed_at: Seconds = float("-inf")
    next_store_read_at: Seconds | None = None
    withdrawn: bool = False


PermitEvent: TypeAlias = (
    AttestationRequest
    | AttestationResponse
    | RosterRead
    | RosterReceived
    | Tick
    | PermitWithdrawn
)
PermitEffect: TypeAlias = SendMessage | ReadRoster | FetchRoster
PermitStep: TypeAlias = "tuple[PermitState, list[PermitEffect]]"

OWN_CLOCK_FACTOR = 1.0 - CLOCK_DRIFT_FRACTION
OBSERVER_CLOCK_FACTOR = 1.0 + CLOCK_DRIFT_FRACTION


def new_permit(me: Member, roster: Roster | None = None) -> PermitState:
    """Return a permit that has never been confirmed."""
    return PermitState(me, roster or Roster(), {}, {})


def expires_at(state: PermitState) -> Seconds:
    """Return when the permit expires on the local clock; minus infinity without one."""
    if state.withdrawn or state.store_confirmed_at is None:
        return float("-inf")
    if not has_member(state.roster, state.me):
        return float("-inf")
    bound = state.store_confirmed_at + MAX_STORE_SILENCE_SECONDS * OWN_CLOCK_FACTOR
    confirmed = max(state.store_confirmed_at, majority_confirmed_at(state))
    return min(bound, confirmed + PERMIT_SECONDS * OWN_CLOCK_FACTOR)


def is_held(state: PermitState, now: Seconds) -> bool:
    """Tell whether the instance may spend rate units now."""
    return now < expires_at(state)


def majority_confirmed_at(state: PermitState) -> Seconds:
    """Return the latest send time that a majority of attesters has confirmed."""
    chosen = choose_attesters(state.roster.members, state.me)
    required = majority_size(len(chosen))
    times = sorted(
        (
            state.confirmed_at[attester]
            for attester in chosen
            if attester in state.confirmed_at
        ),
        reverse=True,
    )
    if required == 0 or len(times) < required:
        return state.earlier_confirmed_at
    return max(times[required - 1], state.earlier_confirmed_at)


def step(
    state: PermitState, event: PermitEvent, now: Seconds, rng: Random
) -> PermitStep:
    """Process one event, and return the new state and its effects."""
    return handle(event, state, now, rng)


@singledispatch
def handle(
    event: PermitEvent, state: PermitState, now: Seconds, rng: Random
) -> PermitStep:
    """Refuse an event of an unknown type."""
    raise TypeError(f"got {type(event).__name__}, expected a permit event")


@handle.register(AttestationRequest)
def on_attestation_request(
    event: AttestationRequest, state: PermitState, now: Seconds, rng: Random
) -> PermitStep:
    """Answer an attestation request; fetch the roster if the requester's is newer."""
    if event.attester != state.me:
        return state, []
    effects: list[PermitEffect] = [
        SendMessage(event.requester, answer_attestation(state, event))
    ]
    if event.epoch > state.roster.epoch:
        effects.append(FetchRoster(event.requester, event.epoch))
    return state, effects


@handle.register(AttestationResponse)
def on_attestation_response(
    event: AttestationResponse, state: PermitState, now: Seconds, rng: Random
) -> PermitStep:
    """Record a confirmation as of the time at which its request was sent."""
    if event.requester != state.me:
        return state, []
    if event.epoch > state.roster.epoch:
        return state, [FetchRoster(event.attester, event.epoch)]
    sent_at = state.sent_at.get(event.sequence)
    if event.attested and event.epoch == state.roster.epoch and sent_at is not None:
        previous = state.confirmed_at.get(event.attester, sent_at)
        state.confirmed_at[event.attester] = max(previous, sent_at)
    return state, []


@handle.register(RosterRead)
def on_roster_read(
    event: RosterRead, state: PermitState, now: Seconds, rng: Random
) -> PermitStep:
    """Record the store's confirmation as of the time at which the read was sent."""
    state = adopt_roster(state, event.roster)
    if state.me in event.roster.members and event.roster.epoch == state.roster.epoch:
        previous = (
            event.sent_at
            if state.store_confirmed_at is None
            else state.store_confirmed_at
        )
        state = state._replace(store_confirmed_at=max(previous, event.sent_at))
    return state, []


@handle.register(RosterReceived)
def on_roster_received(
    event: RosterReceived, state: PermitState, now: Seconds, rng: Random
) -> PermitStep:
    """Adopt a newer roster from a peer."""
    return adopt_roster(state, event.roster), []


@handle.register(PermitWithdrawn)
def on_withdrawn(
    event: PermitWithdrawn, state: PermitState, now: Seconds, rng: Random
) -> PermitStep:
    """Withdraw the permit; later confirmations do not restore it."""
    return state._replace(withdrawn=True), []


@handle.register(Tick)
def on_tick(event: Tick, state: PermitState, now: Seconds, rng: Random) -> PermitStep:
    """Renew the permit in time; read the store when the attesters do not answer."""
    if state.withdrawn:
        return state, []
    effects: list[PermitEffect] = []
    expires_soon = expires_at(state) - now < PERMIT_SECONDS / 2
    if has_member(state.roster, state.me) and now >= state.next_request_at:
        state = _request_attestations(state, now, rng, expires_soon, effects)
    pause = (
        RENEW_SECONDS
        if expires_soon
        else STORE_READ_INTERVAL_SECONDS * rng.uniform(0.8, 1.2)
    )
    if state.next_store_read_at is None or now >= state.next_store_read_at:
        effects.append(ReadRoster())
        state = state._replace(next_store_read_at=now + pause)
    elif expires_soon and state.next_store_read_at > now + RENEW_SECONDS:
        state = state._replace(next_store_read_at=now + rng.uniform(0.0, RENEW_SECONDS))
    return state, effects


def answer_attestation(
    state: PermitState, event: AttestationRequest
) -> AttestationResponse:
    """Confirm the requester only if both are members of the epoch that both adopted."""
    roster = state.roster
    attested = event.epoch == roster.epoch and has_member(roster, event.requester)
    attested = attested and has_member(roster, state.me)
    return AttestationResponse(
        state.me, event.requester, roster.epoch, event.sequence, attested
    )


def adopt_roster(state: PermitState, roster: Roster) -> PermitState:
    """Move to a newer epoch; keep the confirmed time, and drop outstanding requests."""
    if roster.epoch < state.roster.epoch:
        return state
    roster = roster._replace(members=HashedMembers(roster.members))
    if roster.epoch == state.roster.epoch:
        return state._replace(roster=max(state.roster, roster))
    earlier = majority_confirmed_at(state)
    state.confirmed_at.clear()
    state.sent_at.clear()
    return state._replace(
        roster=roster, next_request_at=0.0, earlier_confirmed_at=earlier
    )


def _request_attestations(
    state: PermitState,
    now: Seconds,
    rng: Random,
    expires_soon: bool,
    effects: list[PermitEffect],
) -> PermitState:
    """Ask a majority of the attesters, or all of them when the permit expires soon."""
    chosen = choose_attesters(state.roster.members, state.me)
    count = len(chosen) if expires_soon else majority_size(len(chosen))
    recipients = rng.sample(chosen, count)
    sequence = state.sequence + 1
    for attester in recipients:
        request = AttestationRequest(state.me, attester, state.roster.epoch, sequence)
        effects.append(SendMessage(attester, request))
    horizon = now - PERMIT_SECONDS
    for expired in [key for key, sent_at in state.sent_at.items() if sent_at < horizon]:
        del state.sent_at[expired]
    state.sent_at[sequence] = now
    pause = LATE_RENEW_SECONDS if expires_soon else RENEW_SECONDS
    return state._replace(sequence=sequence, next_request_at=now + pause)
