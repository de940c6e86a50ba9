"""Keep what is known of each member, and which news are still to be told."""

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
    """Send a message to an instance at an address."""

    to: InstanceId
    peer: str
    message: MembershipMessage


class Changed(NamedTuple):
    """Report that a member's standing changed."""

    update: MemberUpdate


class VersionSeen(NamedTuple):
    """Report the configuration version on a peer's message."""

    peer: InstanceId
    version: int


class Superseded(NamedTuple):
    """Report that a newer start of this very instance is alive."""

    incarnation: int


class Probe(NamedTuple):
    """Hold the probe of the current period."""

    target: InstanceId
    sequence: int
    sent_at: Seconds
    indirect: bool = False


class Relay(NamedTuple):
    """Remember for whom a member was pinged."""

    origin: InstanceId
    sequence: int
    sent_at: Seconds


class MembershipState(NamedTuple):
    """Hold one instance's view of the fleet; its dicts are changed in place."""

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
    """Start alone; members come from the platform's list."""
    me = MemberUpdate(instance, peer, incarnation, 0, MembershipStatus.ALIVE)
    return MembershipState(me, {}, {}, {}, {}, {})


def alive(state: MembershipState) -> tuple[InstanceId, ...]:
    """Return the other members that may be given work."""
    return tuple(
        name
        for name, update in state.members.items()
        if update.status is MembershipStatus.ALIVE
    )


def suspicion_seconds(count: int) -> Seconds:
    """Return how long a suspect may take to refute in a fleet of that size."""
    return SUSPICION_BASE_SECONDS + SUSPICION_STEP_SECONDS * log2(count + 1)


def usable(state: MembershipState, name: InstanceId) -> bool:
    """Tell whether a member is known and not dead."""
    known = state.members.get(name)
    return known is not None and known.status is not MembershipStatus.DEAD


def rank(update: MemberUpdate) -> tuple[int, int, int]:
    """Order what is said of one member."""
    return update.incarnation, update.refutation, update.status


def take(
    state: MembershipState,
    update: MemberUpdate,
    now: Seconds,
    effects: Effects,
    *,
    spread: bool = True,
) -> MembershipState:
    """Take what is said of a member if it supersedes what is known."""
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
    """Answer a suspicion of this instance by a greater refutation."""
    me = state.me
    if update.incarnation > me.incarnation:
        effects.append(Superseded(update.incarnation))
        return state
    if rank(update) <= rank(me):
        return state
    return state._replace(me=me._replace(refutation=update.refutation + 1))


def spread_update(state: MembershipState, name: InstanceId) -> None:
    """Put a member's standing on the next messages, enough of them to reach all."""
    count = len(state.members) + 1
    state.spreading[name] = SPREAD_FACTOR * ceil(log2(count + 1))


def news(state: MembershipState, to: InstanceId) -> tuple[MemberUpdate, ...]:
    """Return the least told updates, and the recipient's own if it isn't alive."""
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
    """Declare suspects dead that didn't refute in time."""
    late = [name for name, until in state.suspects.items() if now >= until]
    for name in late:
        dead = state.members[name]._replace(status=MembershipStatus.DEAD)
        state = take(state, dead, now, effects)
    return state


def forget_dead(state: MembershipState, now: Seconds) -> None:
    """Drop members that are long dead and no longer listed."""
    for name, since in list(state.dead.items()):
        if name not in state.listed and now - since > DEAD_KEPT_SECONDS:
            del state.dead[name]
            del state.members[name]
            state.spreading.pop(name, None)
