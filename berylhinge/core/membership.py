"""Detect which instances are alive, at a cost that doesn't grow with the fleet.

SWIM (Das, Gupta and Motivala, 2002): each instance probes one member per period, and
asks other members to probe it if the direct probe fails. A suspected member can refute
the suspicion. Updates are piggybacked on probe messages, a bounded number on each.
"""

from __future__ import annotations

from functools import singledispatch
from typing import NamedTuple, TYPE_CHECKING, TypeAlias

from ..wire.membership import (
    Ack,
    MembershipMessage,
    MembershipStatus,
    MemberUpdate,
    Ping,
    PingRequest,
)
from .membership_state import (
    alive_members,
    apply_update,
    declare_expired_dead,
    Effects,
    forget_dead,
    is_not_dead,
    MembershipState,
    PeerVersionReceived,
    Probe,
    RelayedPing,
    SendMessage,
    take_updates,
)

if TYPE_CHECKING:
    from random import Random

    from ..types import InstanceId, Seconds

PROBE_PERIOD_SECONDS = 1.0
ACK_TIMEOUT_SECONDS = 0.3
INDIRECT_PROBE_COUNT = 3
RECONNECT_INTERVAL_PERIODS = 5
RELAY_RETENTION_SECONDS = 2.0
PAUSE_THRESHOLD_SECONDS = 0.5


class Tick(NamedTuple):
    """Report that time has passed; to be delivered every 50 to 250 ms."""


class MessageReceived(NamedTuple):
    """Deliver an authenticated message from another instance."""

    sender: InstanceId
    message: MembershipMessage


class MemberListRead(NamedTuple):
    """Deliver the platform's list of instances, which may lag behind."""

    members: tuple[MemberUpdate, ...]


class LeaveRequested(NamedTuple):
    """Report that this instance is leaving."""


MembershipEvent: TypeAlias = Tick | MessageReceived | MemberListRead | LeaveRequested
MembershipStep: TypeAlias = tuple[MembershipState, Effects]


@singledispatch
def step(
    event: MembershipEvent, state: MembershipState, now: Seconds, rng: Random
) -> MembershipStep:
    """Refuse an event of an unknown type."""
    raise TypeError(f"got {type(event).__name__}, expected a membership event")


@step.register(Tick)
def on_tick(
    event: Tick, state: MembershipState, now: Seconds, rng: Random
) -> MembershipStep:
    """Continue the probe of this period, or end it and begin the next."""
    effects: Effects = []
    state = extend_deadlines_after_pause(state, now)
    state = declare_expired_dead(state, now, effects)
    probe = state.probe
    if probe and not probe.indirect and now >= probe.sent_at + ACK_TIMEOUT_SECONDS:
        state = probe_indirectly(state, probe, rng, effects)
    if now >= state.next_probe_at:
        state = end_probe(state, now, effects)
        state = begin_probe(state, now, rng, effects)
    return state, effects


@step.register(MessageReceived)
def on_received(
    event: MessageReceived, state: MembershipState, now: Seconds, rng: Random
) -> MembershipStep:
    """Apply the updates on a message, then handle the message itself."""
    message = event.message
    effects: Effects = [PeerVersionReceived(event.sender, message.version)]
    for update in (message.sender, *message.updates):
        state = apply_update(state, update, now, effects)
    return handle_message(message, state, now, effects), effects


@step.register(MemberListRead)
def on_listed(
    event: MemberListRead, state: MembershipState, now: Seconds, rng: Random
) -> MembershipStep:
    """Add new members; a dead one returns only with a greater incarnation."""
    effects: Effects = []
    listed_names = frozenset(update.instance for update in event.members)
    state = state._replace(listed=listed_names)
    for update in event.members:
        known = state.members.get(update.instance)
        if known is None or update.incarnation > known.incarnation:
            state = apply_update(state, update, now, effects, spread=False)
        elif update.status is MembershipStatus.LEAVING:
            leaving = known._replace(status=MembershipStatus.LEAVING)
            state = apply_update(state, leaving, now, effects, spread=False)
    forget_dead(state, now)
    return state, effects


@step.register(LeaveRequested)
def on_leave(
    event: LeaveRequested, state: MembershipState, now: Seconds, rng: Random
) -> MembershipStep:
    """Mark this instance as leaving and notify some members at once."""
    me = state.me._replace(status=MembershipStatus.LEAVING)
    state = state._replace(me=me)
    effects: Effects = []
    members = [name for name in state.members if is_not_dead(state, name)]
    for name in rng.sample(members, min(2 * INDIRECT_PROBE_COUNT, len(members))):
        state = send_ping(state, name, effects)
    return state, effects


@singledispatch
def handle_message(
    message: MembershipMessage, state: MembershipState, now: Seconds, effects: Effects
) -> MembershipState:
    """Refuse a message of an unknown type."""
    raise TypeError(f"got {type(message).__name__}, expected a membership message")


@handle_message.register(Ping)
def handle_ping(
    message: Ping, state: MembershipState, now: Seconds, effects: Effects
) -> MembershipState:
    """Acknowledge a ping."""
    to = message.sender.instance
    ack = Ack(
        message.sequence,
        state.version,
        state.me.instance,
        state.me,
        take_updates(state, to),
    )
    effects.append(SendMessage(to, message.sender.peer, ack))
    return state


@handle_message.register(Ack)
def handle_ack(
    message: Ack, state: MembershipState, now: Seconds, effects: Effects
) -> MembershipState:
    """End the acknowledged probe, or relay the acknowledgement to its requester."""
    probe = state.probe
    if probe and (probe.sequence, probe.target) == (message.sequence, message.subject):
        return state._replace(probe=None)
    relay = state.relayed_pings.pop(message.sequence, None)
    if relay is not None and relay.requester in state.members:
        peer = state.members[relay.requester].peer
        updates = take_updates(state, relay.requester)
        ack = Ack(relay.sequence, state.version, message.subject, state.me, updates)
        effects.append(SendMessage(relay.requester, peer, ack))
    return state


@handle_message.register(PingRequest)
def handle_ping_request(
    message: PingRequest, state: MembershipState, now: Seconds, effects: Effects
) -> MembershipState:
    """Ping the subject and remember which instance asked for it."""
    if message.subject not in state.members:
        return state
    state = send_ping(state, message.subject, effects)
    relay = RelayedPing(message.sender.instance, message.sequence, now)
    state.relayed_pings[state.sequence] = relay
    for sequence, old in list(state.relayed_pings.items()):
        if now - old.sent_at <= RELAY_RETENTION_SECONDS:
            break
        del state.relayed_pings[sequence]
    return state


def send_ping(
    state: MembershipState, target: InstanceId, effects: Effects
) -> MembershipState:
    """Send a ping with a new sequence number."""
    sequence = state.sequence + 1
    message = Ping(sequence, state.version, state.me, take_updates(state, target))
    effects.append(SendMessage(target, state.members[target].peer, message))
    return state._replace(sequence=sequence)


def begin_probe(
    state: MembershipState, now: Seconds, rng: Random, effects: Effects
) -> MembershipState:
    """Ping the next member of a shuffled round, and occasionally a dead one."""
    jitter = rng.uniform(0.9, 1.1)
    state = state._replace(next_probe_at=now + PROBE_PERIOD_SECONDS * jitter)
    if state.dead_since and rng.random() * RECONNECT_INTERVAL_PERIODS < 1.0:
        listed_dead = [name for name in state.dead_since if name in state.listed]
        if listed_dead:
            state = send_ping(state, rng.choice(listed_dead), effects)
    state, target = take_next_target(state, rng)
    if target is None:
        return state
    state = send_ping(state, target, effects)
    return state._replace(probe=Probe(target, state.sequence, now))


def take_next_target(
    state: MembershipState, rng: Random
) -> tuple[MembershipState, InstanceId | None]:
    """Return the next member that isn't dead; shuffle the members after each round."""
    order = list(state.probe_order)
    for _ in range(2):
        while order:
            name = order.pop()
            if is_not_dead(state, name):
                return state._replace(probe_order=tuple(order)), name
        order = [name for name in state.members if is_not_dead(state, name)]
        rng.shuffle(order)
    return state._replace(probe_order=()), None


def probe_indirectly(
    state: MembershipState, probe: Probe, rng: Random, effects: Effects
) -> MembershipState:
    """Ask a few members to ping the target."""
    helpers = [name for name in alive_members(state) if name != probe.target]
    for name in rng.sample(helpers, min(INDIRECT_PROBE_COUNT, len(helpers))):
        message = PingRequest(
            probe.sequence,
            state.version,
            probe.target,
            state.me,
            take_updates(state, name),
        )
        effects.append(SendMessage(name, state.members[name].peer, message))
    return state._replace(probe=probe._replace(indirect=True))


def end_probe(
    state: MembershipState, now: Seconds, effects: Effects
) -> MembershipState:
    """Suspect a target that answered no probe, direct or indirect.

    A target that was leaving is declared dead instead.
    """
    probe = state.probe
    if probe is None or probe.target not in state.members:
        return state._replace(probe=None)
    known = state.members[probe.target]
    if known.status is MembershipStatus.ALIVE:
        state = apply_update(
            state, known._replace(status=MembershipStatus.SUSPECT), now, effects
        )
        # This ping carries the suspicion, so that the suspect can refute it at once.
        state = send_ping(state, probe.target, effects)
    elif known.status is MembershipStatus.LEAVING:
        state = apply_update(
            state, known._replace(status=MembershipStatus.DEAD), now, effects
        )
    return state._replace(probe=None)


def extend_deadlines_after_pause(
    state: MembershipState, now: Seconds
) -> MembershipState:
    """Suspect no member for answers that this instance missed while it was paused.

    The suspects' deadlines move by the length of the pause, and the probe is dropped.
    """
    ticked_at = now if state.last_tick_at is None else state.last_tick_at
    pause = now - ticked_at
    state = state._replace(last_tick_at=now)
    if pause < PAUSE_THRESHOLD_SECONDS:
        return state
    for name in state.suspect_deadlines:
        state.suspect_deadlines[name] += pause
    return state._replace(probe=None)
