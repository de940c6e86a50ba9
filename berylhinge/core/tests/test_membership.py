from __future__ import annotations

from random import Random
from typing import Any

import pytest

from ...wire.membership import Ack, MembershipStatus, MemberUpdate, Ping, PingRequest
from ..membership import LeaveRequested, MemberListRead, MessageReceived, step, Tick
from ..membership_state import (
    alive_members,
    DEAD_RETENTION_SECONDS,
    InstanceSuperseded,
    MAX_UPDATES_PER_MESSAGE,
    MemberChanged,
    MembershipState,
    new_membership,
    PeerVersionReceived,
    SendMessage,
)


def update(
    name: str,
    status: MembershipStatus = MembershipStatus.ALIVE,
    *,
    incarnation: int = 1,
    refutation: int = 0,
) -> MemberUpdate:
    return MemberUpdate(name, f"10.0.0.{len(name)}:1", incarnation, refutation, status)


def run(state: MembershipState, *events: Any, now: float = 10.0) -> Any:
    effects: list[Any] = []
    for event in events:
        state, effects = step(event, state, now, Random(1))
    return state, effects


def state_with(*names: str) -> MembershipState:
    listed = MemberListRead(tuple(update(name) for name in names))
    state: MembershipState = run(new_membership("me", "10.0.0.9:1", 5), listed)[0]
    return state


def ping_with(
    *updates: MemberUpdate, sender: str = "a", version: int = 0
) -> MessageReceived:
    return MessageReceived(sender, Ping(1, version, update(sender), updates))


@pytest.mark.parametrize(
    "known, received, applied",
    [
        (update("b"), update("b", MembershipStatus.SUSPECT), True),
        (update("b", MembershipStatus.SUSPECT), update("b"), False),
        (update("b", MembershipStatus.SUSPECT), update("b", refutation=1), True),
        (
            update("b", MembershipStatus.SUSPECT),
            update("b", MembershipStatus.LEAVING),
            True,
        ),
        (
            update("b", MembershipStatus.LEAVING),
            update("b", MembershipStatus.SUSPECT),
            False,
        ),
        (
            update("b", MembershipStatus.DEAD),
            update("b", MembershipStatus.SUSPECT),
            False,
        ),
        (update("b", MembershipStatus.DEAD), update("b", refutation=1), True),
        (update("b", MembershipStatus.DEAD), update("b", incarnation=2), True),
        (update("b", incarnation=2), update("b", MembershipStatus.DEAD), False),
        (
            update("b", refutation=2),
            update("b", MembershipStatus.DEAD, refutation=1),
            False,
        ),
        (update("b"), update("b"), False),
    ],
)
def test_updates_supersede_by_precedence(
    known: MemberUpdate, received: MemberUpdate, applied: bool
) -> None:
    state, _ = run(state_with("a"), ping_with(known))
    state, effects = run(state, ping_with(received))
    assert state.members["b"] == (received if applied else known)
    assert (MemberChanged(received) in effects) is applied


@pytest.mark.parametrize(
    "received, refutation",
    [
        (update("me", MembershipStatus.SUSPECT, incarnation=5), 1),
        (update("me", MembershipStatus.DEAD, incarnation=5, refutation=3), 4),
        (update("me", MembershipStatus.DEAD, incarnation=4), 0),
        (update("me", incarnation=5), 0),
    ],
)
def test_an_instance_refutes_its_own_suspicion(
    received: MemberUpdate, refutation: int
) -> None:
    state, effects = run(state_with("a"), ping_with(received))
    assert state.me.refutation == refutation
    (answer,) = [effect for effect in effects if isinstance(effect, SendMessage)]
    assert answer.message.sender == state.me


def test_a_greater_incarnation_supersedes_this_instance() -> None:
    _, effects = run(state_with("a"), ping_with(update("me", incarnation=6)))
    assert InstanceSuperseded(6) in effects


@pytest.mark.parametrize(
    "listed, status",
    [
        (update("b"), MembershipStatus.DEAD),
        (update("b", MembershipStatus.LEAVING), MembershipStatus.DEAD),
        (update("b", incarnation=2), MembershipStatus.ALIVE),
    ],
)
def test_the_lagging_list_revives_only_a_greater_incarnation(
    listed: MemberUpdate, status: MembershipStatus
) -> None:
    state, _ = run(state_with("a", "b"), ping_with(update("b", MembershipStatus.DEAD)))
    state, _ = run(state, MemberListRead((update("a"), listed)))
    assert state.members["b"].status is status


def test_the_lagging_list_marks_leaving_members() -> None:
    state, _ = run(
        state_with("a", "b"), MemberListRead((update("b", MembershipStatus.LEAVING),))
    )
    assert alive_members(state) == ("a",)


@pytest.mark.parametrize(
    "listed, later, kept",
    [
        ((update("a"),), DEAD_RETENTION_SECONDS + 1, False),
        ((update("a"),), DEAD_RETENTION_SECONDS - 1, True),
        ((update("a"), update("b")), DEAD_RETENTION_SECONDS + 1, True),
    ],
)
def test_dead_members_are_forgotten_once_unlisted(
    listed: tuple[MemberUpdate, ...], later: float, kept: bool
) -> None:
    state, _ = run(state_with("a", "b"), ping_with(update("b", MembershipStatus.DEAD)))
    state, _ = run(state, MemberListRead(listed), now=10.0 + later)
    assert ("b" in state.members) is kept


def test_a_ping_is_acknowledged_with_the_version() -> None:
    state = state_with("a")._replace(version=7)
    _, effects = run(state, ping_with(version=4))
    assert PeerVersionReceived("a", 4) in effects
    (answer,) = [effect for effect in effects if isinstance(effect, SendMessage)]
    assert isinstance(answer.message, Ack)
    assert (answer.message.sequence, answer.message.version) == (1, 7)


def test_a_relayed_ping_is_acknowledged_to_its_requester() -> None:
    request = MessageReceived("a", PingRequest(9, 0, "b", update("a"), ()))
    state, effects = run(state_with("a", "b"), request)
    (relayed,) = [effect for effect in effects if isinstance(effect, SendMessage)]
    assert relayed.to == "b"
    ack = Ack(relayed.message.sequence, 0, "b", update("b"), ())
    _, effects = run(state, MessageReceived("b", ack))
    (answer,) = [effect for effect in effects if isinstance(effect, SendMessage)]
    assert isinstance(answer.message, Ack)
    assert (answer.to, answer.message.sequence) == ("a", 9)
    assert answer.message.subject == "b"


def test_updates_on_a_message_are_bounded() -> None:
    received = [update(f"i-{number}", MembershipStatus.DEAD) for number in range(50)]
    _, effects = run(state_with("a"), ping_with(*received))
    (answer,) = [effect for effect in effects if isinstance(effect, SendMessage)]
    assert len(answer.message.updates) == MAX_UPDATES_PER_MESSAGE


def test_members_are_notified_of_leaving_at_once() -> None:
    _, effects = run(state_with("a", "b"), LeaveRequested())
    assert {effect.to for effect in effects} == {"a", "b"}
    assert all(
        effect.message.sender.status is MembershipStatus.LEAVING for effect in effects
    )


def test_a_leaving_member_that_stops_answering_is_declared_dead() -> None:
    state = state_with("a")
    state, _ = run(state, MemberListRead((update("a", MembershipStatus.LEAVING),)))
    for tenth in range(40):
        state, _ = run(state, Tick(), now=10.0 + tenth / 10)
    assert state.members["a"].status is MembershipStatus.DEAD
