"""Maintain the status of each member, and the updates that are still to be sent."""

from __future__ import annotations

from heapq import nlargest
from math import ceil, log2
from typing import NamedTuple, TYPE_CHECKING, TypeAlias

from ..wire.membership import MembershipMessage, MembershipStatus, MemberUpdate

if TYPE_CHECKING:
    from ..types import InstanceId, Seconds

SUSPICION_BASE_SECONDS = 2.0
SUSPICION_STEP_SECONDS = 0.5
MESSAGE_UPDATES = 5
SPREAD_FACTOR = 3
DEAD_KEPT_SECONDS = 600.0


class Send(NamedTuple):
    """Send a message to an instance; ``peer`` is its address."""

    to: InstanceId
    peer: str
    message: MembershipMessage


class Changed(NamedTuple):
    """Report that a member's status, incarnation or refutation changed."""

    update: MemberUpdate


class VersionSeen(NamedTuple):
    """Report the configuration version that a peer's message carried."""

    peer: InstanceId
    version: int


class Superseded(NamedTuple):
    """Report a newer start of this instance, which has a greater incarnation."""

    incarnation: int


class Probe(NamedTuple):
    """Describe the probe of the current period; ``indirect`` once members were asked."""

    target: InstanceId
    sequence: int
    sent_at: Seconds
    indirect: bool = False


class Relay(NamedTuple):
    """Describe a ping sent for ``origin``, whose request had this sequence number."""

    origin: InstanceId
    sequence: int
    sent_at: Seconds


class MembershipState(NamedTuple):
    """Describe one instance's view of the fleet; its dicts are changed in place.

    ``spreading`` maps a member to the number of messages that are still to carry its
    update, ``suspects`` to the time until which it can refute, ``dead`` to the time
    at which it was declared dead. ``relays`` holds the pings sent for other members,
    by sequence number. ``listed`` holds the instances on the platform's list,
    ``order`` the members left in this round of probes.
    """

    me: MemberUpdate
    members: dict[InstanceId, MemberUpdate]
    spreading: dict[InstanceId, int]
    suspects: dict[InstanceId, Seconds]
    dead: dict[InstanceId, Seconds]
    relays: dict[int, Relay]
    listed: frozenset[InstanceId] = frozenset()
    order: tuple[InstanceId, ...] = ()
    probe: Probe | None = None
    probe_at: Seconds = 0.0
    sequence: int = 0
    version: int = 0
    ticked_at: Seconds | None = None


MembershipEffect: TypeAlias = Send | Changed | VersionSeen | Superseded
Effects: TypeAlias = list[MembershipEffect]


def new_membership(
    instance: InstanceId, peer: str, incarnation: int
) -> MembershipState:
    """Return a state without other members; the platform's list adds them."""
    me = MemberUpdate(instance, peer, incarnation, 0, MembershipStatus.ALIVE)
    return MembershipState(me, {}, {}, {}, {}, {})


def alive(state: MembershipState) -> tuple[InstanceId, ...]:
    """Return the other members that may be given requests."""
    return tuple(
        name
        for name, update in state.members.items()
        if update.status is MembershipStatus.ALIVE
    )


def suspicion_seconds(count: int) -> Seconds:
    """Return how long a suspect has to refute, in a fleet of ``count`` members."""
    return SUSPICION_BASE_SECONDS + SUSPICION_STEP_SECONDS * log2(count + 1)


def usable(state: MembershipState, name: InstanceId) -> bool:
    """Return whether a member is known and not dead."""
    known = state.members.get(name)
    return known is not None and known.status is not MembershipStatus.DEAD


def rank(update: MemberUpdate) -> tuple[int, int, int]:
    """Return the sort key of an update; a greater one supersedes the others."""
    return update.incarnation, update.refutation, update.status


def take(
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
        return refute(state, update, effects)
    known = state.members.get(name)
    if known is not None and rank(update) <= rank(known):
        return state
    state.members[name] = update
    state.suspects.pop(name, None)
    state.dead.pop(name, None)
    if update.status is MembershipStatus.SUSPECT:
        state.suspects[name] = now + suspicion_seconds(len(state.members))
    elif update.status is MembershipStatus.DEAD:
        state.dead[name] = now
    if spread:
        spread_update(state, name)
    effects.append(Changed(update))
    return state


def refute(
    state: MembershipState, update: MemberUpdate, effects: Effects
) -> MembershipState:
    """Refute a suspicion of this instance by a greater refutation count."""
    me = state.me
    if update.incarnation > me.incarnation:
        effects.append(Superseded(update.incarnation))
        return state
    if rank(update) <= rank(me):
        return state
    return state._replace(me=me._replace(refutation=update.refutation + 1))


def spread_update(state: MembershipState, name: InstanceId) -> None:
    """Queue a member's update for enough messages to reach the whole fleet."""
    count = len(state.members) + 1
    state.spreading[name] = SPREAD_FACTOR * ceil(log2(count + 1))


def news(state: MembershipState, to: InstanceId) -> tuple[MemberUpdate, ...]:
    """Return the updates for a message, those sent least often first.

    The recipient's own comes first if it is suspected or dead, so that it can refute.
    """
    chosen = nlargest(MESSAGE_UPDATES, state.spreading, key=state.spreading.__getitem__)
    for name in chosen:
        state.spreading[name] -= 1
        if state.spreading[name] <= 0:
            del state.spreading[name]
    updates = [state.members[name] for name in chosen if name in state.members]
    known = state.members.get(to)
    if known is not None and known.status in (
        MembershipStatus.SUSPECT,
        MembershipStatus.DEAD,
    ):
        updates = [known, *updates[: MESSAGE_UPDATES - 1]]
    return tuple(updates)


def expire_suspects(
    state: MembershipState, now: Seconds, effects: Effects
) -> MembershipState:
    """Declare dead the suspects that didn't refute in time."""
    expired = [name for name, until in state.suspects.items() if now >= until]
    for name in expired:
        dead = state.members[name]._replace(status=MembershipStatus.DEAD)
        state = take(state, dead, now, effects)
    return state


def forget_dead(state: MembershipState, now: Seconds) -> None:
    """Forget members that died long ago and are no longer listed."""
    for name, since in list(state.dead.items()):
        if name not in state.listed and now - since > DEAD_KEPT_SECONDS:
            del state.dead[name]
            del state.members[name]
            state.spreading.pop(name, None)
