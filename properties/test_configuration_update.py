"""Any interleaving of operators and lost answers applies each change at most once."""

from __future__ import annotations

from random import Random
from typing import Any

import pytest
from hypothesis import given, settings, strategies as st

from berylhinge.core import configuration_update
from berylhinge.core.configuration import (
    build_next_configuration,
    Configuration,
    Edit,
    empty_configuration,
    find_change_version,
    ReplaceDeclaration,
    SetUpstreamState,
)
from berylhinge.core.configuration_update import (
    BeginUpdate,
    EditApplied,
    EditConflict,
    FinishUpdate,
    ReadStore,
    StoreReadFailed,
    StoreReadSucceeded,
    SwapAnswered,
    SwapFailed,
    SwapStore,
    UpdateState,
)
from berylhinge.core.tests.sample_declarations import organisation_record, parsed_sample

FIRST = build_next_configuration(
    empty_configuration(), ReplaceDeclaration(parsed_sample()), "first"
).unwrap()
STEPS = 400


def rated(rate: float) -> ReplaceDeclaration:
    changed = organisation_record("ark", home="north") | {"rate_per_second": rate}
    return ReplaceDeclaration(
        parsed_sample(organisations=[changed, organisation_record("bod", home="south")])
    )


class Operators:
    """Run several changes against one store, whose answers get lost or late."""

    def __init__(self, edits: list[Edit], rng: Random, *, lost: float) -> None:
        self.rng = rng
        self.lost = lost
        self.stored = FIRST
        self.revision = 1
        self.history = [FIRST]
        self.states = [
            UpdateState(f"c{place}", edit) for place, edit in enumerate(edits)
        ]
        self.pending: list[tuple[int, Any]] = []
        self.in_flight: list[SwapStore] = []
        self.outcomes: dict[int, Any] = {}
        for place in range(len(edits)):
            self.deliver(place, BeginUpdate())

    def deliver(self, place: int, event: Any) -> None:
        state, effects = configuration_update.step(
            event, self.states[place], 0.0, self.rng
        )
        self.states[place] = state
        self.pending += [(place, effect) for effect in effects]

    def run(self) -> None:
        for _ in range(STEPS):
            if self.in_flight and self.rng.random() < 0.2:
                self.swap(self.in_flight.pop())
            if not self.pending:
                return
            place, effect = self.pending.pop(self.rng.randrange(len(self.pending)))
            self.perform(place, effect)

    def perform(self, place: int, effect: Any) -> None:
        if isinstance(effect, FinishUpdate):
            self.outcomes[place] = effect.outcome
        elif isinstance(effect, ReadStore):
            failed = self.rng.random() < self.lost
            read = StoreReadSucceeded(self.stored, self.revision)
            self.deliver(place, StoreReadFailed("lost") if failed else read)
        else:
            self.perform_swap(place, effect)

    def perform_swap(self, place: int, effect: SwapStore) -> None:
        chance = self.rng.random()
        if chance < self.lost / 3:
            self.in_flight.append(effect)
            self.deliver(place, SwapFailed(may_be_stored=True, detail="late"))
            return
        swapped = self.swap(effect)
        if chance < self.lost:
            self.deliver(place, SwapFailed(may_be_stored=True, detail="lost"))
        else:
            self.deliver(place, SwapAnswered(swapped))

    def swap(self, effect: SwapStore) -> bool:
        if effect.expected_revision != self.revision:
            return False
        self.stored = effect.configuration
        self.revision += 1
        self.history.append(self.stored)
        return True

    def broken_rules(self) -> list[str]:
        """Name each rule that the history or an outcome breaks."""
        versions = [configuration.version for configuration in self.history]
        found = []
        if versions != sorted(set(versions)):
            found.append("versions grow")
        made = [change["id"] for change in self.stored.changes]
        if len(made) != len(set(made)):
            found.append("at most once")
        for place, outcome in self.outcomes.items():
            version = find_change_version(self.stored, f"c{place}")
            if isinstance(outcome, EditApplied) and version != outcome.version:
                found.append("applied is true")
            if isinstance(outcome, EditConflict) and version is not None:
                found.append("conflict is true")
            if isinstance(outcome, EditConflict) and not outcome.differences:
                found.append("a conflict shows what differs")
        return found


def operators(seed: int, count: int, lost: float) -> Operators:
    rng = Random(seed)
    edits: list[Edit] = [
        rated(float(place + 1))
        if rng.random() < 0.5
        else SetUpstreamState(f"db-{rng.randrange(6)}", "leaving")
        for place in range(count)
    ]
    found = Operators(edits, rng, lost=lost)
    found.run()
    return found


@settings(derandomize=True, deadline=None, max_examples=150)
@given(st.integers(0, 2**32), st.integers(1, 5), st.sampled_from([0.0, 0.3, 0.6]))
def test_changes_are_applied_at_most_once_and_told_truly(
    seed: int, count: int, lost: float
) -> None:
    found = operators(seed, count, lost)
    assert found.broken_rules() == []
    assert len(found.outcomes) == count


def forget(configuration: Configuration, change_id: str) -> int | None:
    """Break the rule that a change looks for itself first."""
    return None


def test_the_property_catches_a_change_that_forgets_itself(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(configuration_update, "find_change_version", forget)
    broken = {
        rule for seed in range(40) for rule in operators(seed, 4, 0.6).broken_rules()
    }
    assert broken & {"at most once", "conflict is true"}


def test_the_property_catches_a_merge_without_conflicts(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Let the later operator overwrite: the earlier one's edit is gone unseen."""
    racing = [rated(1.0), rated(2.0)]

    def winners() -> int:
        found = Operators(list(racing), Random(3), lost=0.0)
        found.run()
        return sum(isinstance(one, EditApplied) for one in found.outcomes.values())

    assert winners() == 1
    monkeypatch.setattr(
        configuration_update, "find_conflict", lambda state, current: None
    )
    assert winners() == 2
