"""Maintain the status of each member, and the updates that are still to be sent."""

from __future__ import annotations

from heapq import nlargest
from math import ceil, log2
from typing import NamedTuple, TYPE_CHECKING, TypeAlias

from ..wire.membership import MembershipMessage, MembershipStatus, MemberUpdate

if TYPE_CHECKING:
    from ..types import InstanceId, Seconds

SUSPICION_BASE_SECONDS = 2.0
SUSPICION_SECONDS_PER_DOUBLING = 0.5
MAX_UPDATES_PER_MESSAGE = 5
RETRANSMIT_FACTOR = 3
DEAD_RETENTION_SECONDS = 600.0


class SendMessage(NamedTuple):
    """Send a message to an instance; ``peer`` is its address."""

    to: InstanceId
    peer: str
    message: MembershipMessage


class MemberChanged(NamedTuple):
    """Report that a member's status, incarnation or refutation changed."""

    update: MemberUpdate


class PeerVersionReceived(NamedTuple):
    """Report the configuration version that a peer's message carried."""

    peer: InstanceId
    version: int


class InstanceSuperseded(NamedTuple):
    """Report a newer start of this instance, which has a greater incarnation."""

    incarnation: int


class Probe(NamedTuple):
    """Describe the current period's probe; ``indirect`` once other members help."""

    target: InstanceId
    sequence: int
    sent_at: Seconds
    indirect: bool = False


class RelayedPing(NamedTuple):
    """Describe a ping sent for ``requester``; ``sequence`` is that of its request."""

    requester: InstanceId
    sequence: int
    sent_at: Seconds


class MembershipState(NamedTuple):
    """Describe one instance's view of the fleet; its dicts are changed in place.

    ``remaining_sends`` maps a member to the number of messages that are still to carry
    its update, ``suspect_deadlines`` to the time until which it can refute,
    ``dead_since`` to the time at which it was declared dead. ``relayed_pings`` holds
    the pings sent for other members, by sequence number. ``listed`` holds the
    instances on the platform's list, ``probe_order`` the members left in this round
    of probes.
    """

    me: MemberUpdate
    members: dict[InstanceId, MemberUpdate]
    remaining_sends: dict[InstanceId, int]
    suspect_deadlines: dict[InstanceId, Seconds]
    dead_since: dict[InstanceId, Seconds]
    relayed_pings: dict[int, RelayedPing]
    listed: frozenset[InstanceId] = frozenset()
    probe_order: tuple[InstanceId, ...] = ()
    probe: Probe | None = None
    next_probe_at: Seconds = 0.0
    sequence: int = 0
    version: int = 0
    last_tick_at: Seconds | None = None


MembershipEffect: TypeAlias = (
    SendMessage | MemberChanged | PeerVersionReceived | InstanceSuperseded
)
Effects: TypeAlias = list[MembershipEffect]


def new_membership(
    instance: InstanceId, peer: str, incarnation: int
) -> MembershipState:
    """Return a state without other members; the platform's list adds them."""
    me = MemberUpdate(instance, peer, incarnation, 0, MembershipStatus.ALIVE)
    return MembershipState(me, {}, {}, {}, {}, {})


def alive_members(state: MembershipState) -> tuple[InstanceId, ...]:
    """Return the other members that may be given requests."""
    return tuple(
        name
        for name, update in state.members.items()
        if update.status is MembershipStatus.ALIVE
    )


def suspicion_seconds(count: int) -> Seconds:
    """Return how long a suspect has to refute, in a fleet of ``count`` members."""
    return SUSPICION_BASE_SECONDS + SUSPICION_SECONDS_PER_DOUBLING * log2(count + 1)


def is_not_dead(state: MembershipState, name: InstanceId) -> bool:
    """Return whether a member is known and not dead."""
    known = state.members.get(name)
    return known is not None and known.status is not MembershipStatus.DEAD


def precedence(update: MemberUpdate) -> tuple[int, int, int]:
    """Return the sort key of an update; a greater one supersedes the others."""
    return update.incarnation, update.refutation, update.status


def apply_update(
    state: MembershipState,
    update: MemberUpdate,
    now: Seconds,
    effects: Effects,
    *,
    spread: bool = True,
) -> MembershipState:
    """Apply an update if it supersedes the known state of its member."""
    name = update.instance
    if name == state.me.instance:
        return refute_suspicion(state, update, effects)
    known = state.members.get(name)
    if known is not None and precedence(update) <= precedence(known):
        return state
    state.members[name] = update
    state.suspect_deadlines.pop(name, None)
    state.dead_since.pop(name, None)
    if update.status is MembershipStatus.SUSPECT:
        state.suspect_deadlines[name] = now + suspicion_seconds(len(state.members))
    elif update.status is MembershipStatus.DEAD:
        state.dead_since[name] = now
    if spread:
        queue_update(state, name)
    effects.append(MemberChanged(update))
    return state


def refute_suspicion(
    state: MembershipState, update: MemberUpdate, effects: Effects
) -> MembershipState:
    """Refute a suspicion of this instance by a greater refutation count."""
    me = state.me
    if update.incarnation > me.incarnation:
        effects.append(InstanceSuperseded(update.incarnation))
        return state
    if precedence(update) <= precedence(me):
        return state
    return state._replace(me=me._replace(refutation=update.refutation + 1))


def queue_update(state: MembershipState, name: InstanceId) -> None:
    """Queue a member's update for enough messages to reach the whole fleet."""
    count = len(state.members) + 1
    state.remaining_sends[name] = RETRANSMIT_FACTOR * ceil(log2(count + 1))


def take_updates(state: MembershipState, to: InstanceId) -> tuple[MemberUpdate, ...]:
    """Return the updates for a message, those sent least often first.

    The recipient's own comes first if it is suspected or dead, so that it can refute.
    """
    chosen = nlargest(
        MAX_UPDATES_PER_MESSAGE,
        state.remaining_sends,
        key=state.remaining_sends.__getitem__,
    )
    for name in chosen:
        state.remaining_sends[name] -= 1
        if state.remaining_sends[name] <= 0:
            del state.remaining_sends[name]
    updates = [state.members[name] for name in chosen if name in state.members]
    known = state.members.get(to)
    if known is not None and known.status in (
        MembershipStatus.SUSPECT,
        MembershipStatus.DEAD,
    ):
        updates = [known, *updates[: MAX_UPDATES_PER_MESSAGE - 1]]
    return tuple(updates)


def declare_expired_dead(
    state: MembershipState, now: Seconds, effects: Effects
) -> MembershipState:
    """Declare dead the suspects that didn't refute in time."""
    expired = [name for name, until in state.suspect_deadlines.items() if now >= until]
    for name in expired:
        dead = state.members[name]._replace(status=MembershipStatus.DEAD)
        state = apply_update(state, dead, now, effects)
    return state


def forget_dead(state: MembershipState, now: Seconds) -> None:
    """Forget members that died long ago and are no longer listed."""
    for name, since in list(state.dead_since.items()):
        if name not in state.listed and now - since > DEAD_RETENTION_SECONDS:
            del state.dead_since[name]
            del state.members[name]
            state.remaining_sends.pop(name, None)
