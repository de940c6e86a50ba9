from __future__ import annotations

import pytest

from ....platform.store_replies import StoredItem
from .. import store_feed
from ..store_feed import (
    ChangeHistory,
    changes_after,
    choose_relay,
    FLEET_CALLS_PER_SECOND,
    MIN_CALL_INTERVAL_SECONDS,
    own_call_interval,
    record_changes,
    RelayCandidate,
    restart_history,
    whole_state,
)


def item(revision: int, key: str = "k", value: bytes | None = b"v") -> StoredItem:
    return StoredItem(key, value, revision)


def kept(after: int, *revisions: int) -> ChangeHistory:
    history = ChangeHistory()
    restart_history(history, after)
    record_changes(history, [item(revision) for revision in revisions])
    return history


@pytest.mark.parametrize(
    ("history", "after", "expected"),
    [
        (kept(5, 6, 7, 9), 5, [6, 7, 9]),
        (kept(5, 6, 7, 9), 7, [9]),
        (kept(5, 6, 7, 9), 8, [9]),
        (kept(5, 6, 7, 9), 9, []),
        (kept(5, 6, 7, 9), 20, []),
        # Changes before the first kept one are not known.
        (kept(5, 6, 7, 9), 4, None),
        # Delivered in another order, or twice.
        (kept(5, 9, 6, 7), 5, [6, 7, 9]),
        (kept(5, 6, 6, 7), 6, [7]),
        # Several keys changed at once.
        (kept(5, 6, 7, 7), 6, [7, 7]),
        (kept(5), 5, []),
    ],
)
def test_the_changes_after_a_revision(
    history: ChangeHistory, after: int, expected: list[int] | None
) -> None:
    found = changes_after(history, after)
    assert (None if found is None else [item.revision for item in found]) == expected


@pytest.mark.parametrize(
    ("changes", "expected"),
    [
        ([], {"a": 3, "b": 4}),
        ([item(6, "a"), item(7, "c")], {"a": 6, "b": 4, "c": 7}),
        ([item(6, "a", None)], {"b": 4}),
        ([item(6, "a", None), item(7, "a")], {"a": 7, "b": 4}),
        # Delivered twice.
        ([item(6, "a"), item(7, "b"), item(6, "a", None)], {"a": 6, "b": 7}),
    ],
)
def test_the_whole_state_after_changes(
    changes: list[StoredItem], expected: dict[str, int]
) -> None:
    history = ChangeHistory()
    restart_history(history, 5, [item(3, "a"), item(4, "b")])
    for change in changes:
        record_changes(history, [change])
    found = {entry.key: entry.revision for entry in whole_state(history)}
    assert found == expected


def test_old_changes_are_dropped_with_all_of_their_revision(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(store_feed, "MAX_KEPT_ITEMS", 3)
    history = kept(5, 6, 6, 7, 8)
    assert changes_after(history, 5) is None
    found = changes_after(history, 6)
    assert found is not None
    assert [item.revision for item in found] == [7, 8]
    monkeypatch.setattr(store_feed, "MAX_KEPT_BYTES", 100)
    record_changes(history, [item(9, value=b"x" * 90), item(10, value=b"y" * 90)])
    assert changes_after(history, 8) is None
    assert changes_after(history, 9) == (item(10, value=b"y" * 90),)


@pytest.mark.parametrize(
    ("passed_over", "next_call_at", "expected"),
    [
        ({}, 0.0, "x1"),
        ({"x1": 11.0}, 0.0, "y1"),
        ({"x1": 9.0}, 0.0, "x1"),
        # No relay is up to date: the store itself, but not at once again.
        ({"x1": 11.0, "y1": 11.0}, 10.0, None),
        ({"x1": 11.0, "y1": 11.0}, 10.5, "x1"),
    ],
)
def test_another_relay_stands_in(
    passed_over: dict[str, float], next_call_at: float, expected: str | None
) -> None:
    candidates = [
        RelayCandidate(name, passed_over.get(name, 0.0)) for name in ("x1", "y1")
    ]
    found = choose_relay("x2", candidates, now=10.0, next_own_call_at=next_call_at)
    assert found == expected


@pytest.mark.parametrize("candidates", [[], [RelayCandidate("x1", 99.0)]])
def test_a_relay_calls_the_store(candidates: list[RelayCandidate]) -> None:
    assert choose_relay("x1", candidates, now=10.0, next_own_call_at=99.0) is None


@pytest.mark.parametrize("instances", [1, 8, 63, 195, 2_000])
def test_the_calls_of_a_fleet_without_relays_are_bounded(instances: int) -> None:
    per_second = instances / own_call_interval(instances)
    assert per_second <= max(
        FLEET_CALLS_PER_SECOND, instances / MIN_CALL_INTERVAL_SECONDS
    )
    assert instances < 20 or per_second <= FLEET_CALLS_PER_SECOND
