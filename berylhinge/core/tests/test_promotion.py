from __future__ import annotations

from random import Random
from typing import Any

import pytest

from ...types import LogPoint
from ..promotion import choose_target_vote, GrantedVote, PromotionState, step
from ..promotion_messages import (
    AnnouncePrimary,
    FenceAnswered,
    FenceMembers,
    PrimaryHealthy,
    PrimaryLeaving,
    PrimaryLost,
    PromoteAnswered,
    PromoteMember,
    QuiesceMember,
    StatusReceived,
    Tick,
)
from .samples_group import sample_status

MEMBERS = ("a", "b", "c")
RNG = Random(1)


def idle_promotion(rank: int = 0) -> PromotionState:
    return PromotionState("g", "i1#1", MEMBERS, rank)


def step_all(
    state: PromotionState, *events: tuple[float, object]
) -> tuple[PromotionState, list[Any]]:
    all_effects: list[Any] = []
    for now, event in events:
        state, effects = step(state, event, now, RNG)  # type: ignore[arg-type]
        all_effects += effects
    return state, all_effects


def vote(
    name: str, position: int, term: int = 2, *, granted: bool = True, **more: Any
) -> FenceAnswered:
    answer = sample_status(name, term=term, last=(1, position), **more)
    return FenceAnswered(name, term, granted, answer)


def test_majority_of_votes_promotes_the_most_advanced_member() -> None:
    state, effects = step_all(
        idle_promotion(),
        (0.0, PrimaryLost(1, "silent", "a")),
        (0.0, Tick(2)),
        (0.01, vote("b", 3)),
        (0.02, vote("c", 4)),
        (0.03, PromoteAnswered("c", 2, True, sample_status("c", term=2))),
        (0.04, PrimaryHealthy(2)),
    )
    assert effects == [
        FenceMembers(MEMBERS, 2),
        PromoteMember("c", 2),
        AnnouncePrimary("c", 2),
    ]
    assert state.stage == "idle"


@pytest.mark.parametrize(
    "grants,suspects,chosen",
    [
        ((("a", 9, False), ("b", 3, False), ("c", 4, False)), (), "a"),
        ((("a", 9, False), ("b", 3, False), ("c", 4, False)), ("a",), "c"),
        ((("a", 9, True), ("b", 3, False), ("c", 4, False)), (), "c"),
        ((("a", 4, True), ("b", 4, False)), (), "b"),
        ((("a", 5, True), ("b", 4, False)), (), "a"),
        ((("a", 5, False), ("b", 4, False)), ("a",), "a"),
        ((("b", 4, False), ("c", 4, False)), (), "b"),
    ],
)
def test_choose_the_vote_of_the_member_to_promote(
    grants: tuple[tuple[str, int, bool], ...], suspects: tuple[str, ...], chosen: str
) -> None:
    votes = tuple(
        GrantedVote(name, LogPoint(1, position), leaving)
        for name, position, leaving in grants
    )
    state = idle_promotion()._replace(granted_votes=votes, suspects=frozenset(suspects))
    assert choose_target_vote(state).upstream == chosen


def test_cut_off_primary_with_a_longer_log_is_not_promoted_again() -> None:
    _, effects = step_all(
        idle_promotion(),
        (0.0, PrimaryLost(1, "silent", "a")),
        (0.0, Tick(3)),
        (0.01, vote("a", 9)),
        (0.01, vote("b", 3)),
        (0.02, vote("c", 3)),
    )
    assert effects[-1] == PromoteMember("b", 2)


def test_suspect_is_promoted_when_the_others_are_no_majority() -> None:
    _, effects = step_all(
        idle_promotion(),
        (0.0, PrimaryLost(1, "silent", "a")),
        (0.0, Tick(3)),
        (0.01, vote("a", 9)),
        (0.01, vote("b", 3)),
        (0.05, Tick(2)),
    )
    assert effects[-1] == PromoteMember("a", 2)


def test_promotion_is_blocked_without_a_majority_and_states_the_cause() -> None:
    lost = PrimaryLost(1, "silent", "a")
    state, effects = step_all(
        idle_promotion(), (0.0, lost), (0.0, Tick(1)), (9.0, Tick(1))
    )
    assert (state.stage, effects) == ("blocked", [])
    assert state.cause == "1 of 3 members answer; a promotion needs 2"
    state, _ = step_all(state, (10.0, lost), (10.0, Tick(2)), (10.0, Tick(2)))
    assert state.stage == "fencing"


def test_rank_delays_the_turn_and_newer_term_postpones_it() -> None:
    state, effects = step_all(
        idle_promotion(rank=1),
        (0.0, PrimaryLost(1, "silent", "a")),
        (0.05, Tick(3)),
        (0.06, StatusReceived("b", sample_status("b", term=2))),
        (0.11, Tick(3)),
        (0.12, PrimaryHealthy(2)),
        (5.0, Tick(3)),
    )
    assert (state.stage, effects) == ("idle", [])


def test_refusal_by_a_majority_retries_in_a_greater_term() -> None:
    _, effects = step_all(
        idle_promotion(),
        (0.0, PrimaryLost(1, "silent", "a")),
        (0.0, Tick(3)),
        (0.01, vote("b", 3, granted=False)),
        (0.01, FenceAnswered("c", 2, False, sample_status("c", term=5))),
        (0.12, Tick(3)),
    )
    assert [one.term for one in effects if isinstance(one, FenceMembers)][1] == 6


def test_loss_that_is_no_longer_reported_starts_no_promotion() -> None:
    state, effects = step_all(
        idle_promotion(rank=3), (0.0, PrimaryLost(1, "silent", "a")), (0.31, Tick(3))
    )
    assert (state.stage, effects) == ("idle", [])


@pytest.mark.parametrize("term,stage", [(1, "confirming"), (2, "waiting")])
def test_loss_before_confirmation_restarts_only_in_the_new_term(
    term: int, stage: str
) -> None:
    state, _ = step_all(
        idle_promotion(),
        (0.0, PrimaryLost(1, "silent", "a")),
        (0.0, Tick(2)),
        (0.01, vote("b", 3)),
        (0.02, vote("c", 4)),
        (0.03, PromoteAnswered("c", 2, True, sample_status("c", term=2))),
        (0.04, PrimaryLost(term, "silent", "c")),
    )
    assert state.stage == stage


def test_each_term_has_one_promotion_target() -> None:
    _, effects = step_all(
        idle_promotion(),
        (0.0, PrimaryLost(1, "silent", "a")),
        (0.0, Tick(3)),
        (0.01, vote("b", 3)),
        (0.02, vote("c", 4)),
        (0.03, vote("a", 9)),
        (0.06, Tick(3)),
        (0.5, Tick(3)),
        (1.0, Tick(3)),
        (1.0, vote("a", 9, term=2)),
    )
    targets = {
        (one.term, one.upstream) for one in effects if type(one) is PromoteMember
    }
    assert targets == {(2, "c")}


def test_handover_quiesces_fences_and_promotes_a_replica() -> None:
    leaving = {"leaving": True, "quiesced": True, "role": "primary"}
    _, effects = step_all(
        idle_promotion(),
        (0.0, PrimaryLeaving(1, "a")),
        (0.0, Tick(3)),
        (0.002, StatusReceived("a", sample_status("a", last=(1, 7), **leaving))),
        (0.003, StatusReceived("b", sample_status("b", last=(1, 6)))),
        (0.004, StatusReceived("b", sample_status("b", last=(1, 7)))),
        (0.006, vote("a", 7, leaving=True)),
        (0.007, vote("b", 7)),
        (0.008, vote("c", 6)),
    )
    kinds = [type(one).__name__ for one in effects]
    assert kinds == ["QuiesceMember", "RequestStatus", "FenceMembers", "PromoteMember"]
    assert isinstance(effects[0], QuiesceMember)
    assert effects[-1] == PromoteMember("b", 2)


def test_handover_is_retried_when_no_replica_catches_up() -> None:
    state, effects = step_all(
        idle_promotion(),
        (0.0, PrimaryLeaving(1, "a")),
        (0.0, Tick(3)),
        (0.002, StatusReceived("a", sample_status("a", last=(1, 7), quiesced=True))),
        (0.1, Tick(3)),
    )
    assert state.stage == "handover-waiting"
    assert not any(isinstance(one, FenceMembers) for one in effects)
