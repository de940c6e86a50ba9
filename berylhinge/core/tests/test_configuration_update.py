from __future__ import annotations

from random import Random
from typing import Any

import pytest

from ..configuration import (
    build_next_configuration,
    Configuration,
    Edit,
    empty_configuration,
    GrantKey,
    RECORDED_CHANGES_LIMIT,
    ReplaceDeclaration,
    SetUpstreamState,
    WithdrawKey,
)
from ..configuration_update import (
    BeginUpdate,
    DeclarationUnchanged,
    EditApplied,
    EditConflict,
    EditRefused,
    FinishUpdate,
    READ_RETRIES_LIMIT,
    ReadStore,
    step,
    StoreReadFailed,
    StoreReadSucceeded,
    StoreUnreachable,
    SwapAnswered,
    SwapFailed,
    SwapStore,
    UpdateState,
)
from .sample_declarations import organisation_record, parsed_sample, upstream_record

FIRST = build_next_configuration(
    empty_configuration(), ReplaceDeclaration(parsed_sample()), "first"
).unwrap()
KEY: Any = {
    "id": "k",
    "organisation": "ark",
    "state": "granted",
    "salt": "A" * 22 + "==",
    "hash": "A" * 43 + "=",
}
LEAVING = SetUpstreamState("db-0", "leaving")
FASTER = ReplaceDeclaration(
    parsed_sample(
        organisations=[
            organisation_record("ark", home="north") | {"rate_per_second": 200.0},
            organisation_record("bod", home="south"),
        ]
    )
)


def apply_edits(current: Configuration, *edits: tuple[str, Edit]) -> Configuration:
    for change_id, edit in edits:
        current = build_next_configuration(current, edit, change_id).unwrap()
    return current


def run_events(state: UpdateState, *events: Any) -> tuple[UpdateState, Any]:
    effects: list[Any] = []
    for event in events:
        state, effects = step(event, state, 0.0, Random(1))
    (effect,) = effects
    return state, effect


def get_outcome(effect: Any) -> Any:
    assert isinstance(effect, FinishUpdate)
    return effect.outcome


def test_edit_is_stored_by_swap() -> None:
    state, effect = run_events(
        UpdateState("c", LEAVING), BeginUpdate(), StoreReadSucceeded(FIRST, 5)
    )
    assert isinstance(effect, SwapStore)
    assert (effect.configuration.version, effect.expected_revision) == (2, 5)
    _, effect = run_events(state, SwapAnswered(swapped=True))
    assert isinstance(get_outcome(effect), EditApplied)
    assert [one.path for one in get_outcome(effect).differences] == [
        "upstreams.db-0.state"
    ]


@pytest.mark.parametrize(
    "edit, other, expected",
    [
        (FASTER, ("o", LEAVING), EditConflict),
        (FASTER, ("o", GrantKey(KEY)), SwapStore),
        (LEAVING, ("o", GrantKey(KEY)), SwapStore),
        (LEAVING, ("o", FASTER), SwapStore),
        (LEAVING, ("o", LEAVING), DeclarationUnchanged),
        (GrantKey(KEY), ("o", GrantKey(KEY)), EditRefused),
    ],
)
def test_edit_after_lost_swap(
    edit: Edit, other: tuple[str, Edit], expected: type
) -> None:
    state, _ = run_events(
        UpdateState("c", edit), BeginUpdate(), StoreReadSucceeded(FIRST, 5)
    )
    state, effect = run_events(state, SwapAnswered(swapped=False))
    assert isinstance(effect, ReadStore)
    _, effect = run_events(state, StoreReadSucceeded(apply_edits(FIRST, other), 6))
    found = effect if isinstance(effect, SwapStore) else get_outcome(effect)
    assert isinstance(found, expected)


def test_conflict_lists_changes_by_others() -> None:
    state, _ = run_events(
        UpdateState("c", FASTER), StoreReadSucceeded(FIRST, 5), SwapAnswered(False)
    )
    _, effect = run_events(
        state, StoreReadSucceeded(apply_edits(FIRST, ("o", LEAVING)), 6)
    )
    conflict = get_outcome(effect)
    assert conflict.version == 2
    assert [one.path for one in conflict.differences] == ["upstreams.db-0.state"]


def test_unexpected_version_is_a_conflict() -> None:
    state = UpdateState("c", FASTER, expected_version=0)
    _, effect = run_events(state, BeginUpdate(), StoreReadSucceeded(FIRST, 5))
    paths = [one.path for one in get_outcome(effect).differences]
    assert paths == ["organisations.ark.rate_per_second"]


@pytest.mark.parametrize(
    "later, expected",
    [
        ([("c", LEAVING)], EditApplied(2, ())),
        ([("c", LEAVING), ("o", GrantKey(KEY)), ("p", FASTER)], EditApplied(2, ())),
    ],
)
def test_stored_swap_without_response_is_recognised(
    later: list[tuple[str, Edit]], expected: EditApplied
) -> None:
    state, _ = run_events(UpdateState("c", LEAVING), StoreReadSucceeded(FIRST, 5))
    state, effect = run_events(state, SwapFailed(may_be_stored=True, detail="lost"))
    assert isinstance(effect, ReadStore)
    _, effect = run_events(
        state, StoreReadSucceeded(apply_edits(FIRST, *later), 5 + len(later))
    )
    assert get_outcome(effect).version == expected.version


def test_swap_with_dropped_record_is_unknown() -> None:
    state, _ = run_events(
        UpdateState("c", LEAVING),
        StoreReadSucceeded(FIRST, 5),
        SwapFailed(True, "lost"),
    )
    changes = tuple(
        {"id": str(version), "version": version}
        for version in range(9, 9 + RECORDED_CHANGES_LIMIT)
    )
    current = FIRST._replace(
        version=9 + RECORDED_CHANGES_LIMIT,
        changes=changes,  # type: ignore[arg-type]
    )
    _, effect = run_events(state, StoreReadSucceeded(current, 400))
    assert isinstance(get_outcome(effect), StoreUnreachable)
    assert get_outcome(effect).may_be_stored


@pytest.mark.parametrize(
    "failures, may_be_stored",
    [
        ([StoreReadFailed("down")], False),
        ([SwapFailed(may_be_stored=False, detail="refused")], False),
        (
            [SwapFailed(may_be_stored=True, detail="lost"), StoreReadFailed("down")],
            True,
        ),
    ],
)
def test_giving_up_reports_whether_swap_may_be_stored(
    failures: list[Any], may_be_stored: bool
) -> None:
    state, _ = run_events(UpdateState("c", LEAVING), StoreReadSucceeded(FIRST, 5))
    effect: Any = None
    for attempt in range(READ_RETRIES_LIMIT + 1):
        event = failures[min(attempt, len(failures) - 1)]
        state, effect = run_events(state, event)
    assert get_outcome(effect).may_be_stored is may_be_stored


@pytest.mark.parametrize(
    "edit",
    [
        WithdrawKey("absent"),
        ReplaceDeclaration(parsed_sample(upstreams=[upstream_record(0)])),
    ],
)
def test_invalid_edit_is_refused(edit: Edit) -> None:
    _, effect = run_events(UpdateState("c", edit), StoreReadSucceeded(FIRST, 5))
    assert isinstance(get_outcome(effect), EditRefused)


def test_equal_declaration_changes_nothing() -> None:
    state = UpdateState("c", ReplaceDeclaration(parsed_sample()))
    _, effect = run_events(state, StoreReadSucceeded(FIRST, 5))
    assert get_outcome(effect) == DeclarationUnchanged(1)
