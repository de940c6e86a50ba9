from __future__ import annotations

from random import Random
from typing import Any

import pytest

from ..configuration import Configuration
from ..configuration_sync import (
    AdoptConfiguration,
    AdoptionState,
    AnnounceVersion,
    choose_watchers,
    ConfigurationRead,
    ConfigurationReadFailed,
    KeysWithdrawn,
    PeersChanged,
    PULL_RETRY_SECONDS,
    PullConfiguration,
    PullFailed,
    PullSucceeded,
    ReadConfiguration,
    step,
    STORE_WATCH_SECONDS,
    Tick,
    VersionReceived,
)
from .sample_declarations import parsed_sample

PEERS = tuple(f"i-{number}" for number in range(20))
WATCHER = choose_watchers(PEERS)[0]
NON_WATCHER = next(name for name in PEERS if name not in choose_watchers(PEERS))


def configuration(version: int, *withdrawn: str) -> Configuration:
    keys: Any = [{"id": key, "state": "withdrawn"} for key in withdrawn]
    return Configuration(version, (), {}, {**parsed_sample(), "keys": keys})


def apply_events(state: AdoptionState, *events: Any, now: float = 10.0) -> Any:
    effects: list[Any] = []
    for event in events:
        state, effects = step(event, state, now, Random(1))
    return state, effects


def configured_state(name: str = NON_WATCHER, version: int = 5) -> AdoptionState:
    others = tuple(peer for peer in PEERS if peer != name)
    state, _ = apply_events(AdoptionState(name), PeersChanged(others))
    state, _ = apply_events(state, ConfigurationRead(configuration(version), 9.0))
    configured: AdoptionState = state._replace(next_store_read_at=1e9)
    return configured


@pytest.mark.parametrize(
    "event, version",
    [
        (ConfigurationRead(configuration(6), 9.5), 6),
        (ConfigurationRead(configuration(5), 9.5), 5),
        (ConfigurationRead(configuration(4), 9.5), 5),
        (PullSucceeded("i-1", configuration(9)), 9),
        (PullSucceeded("i-1", configuration(5)), 5),
        (PullSucceeded("i-1", configuration(1)), 5),
    ],
)
def test_versions_only_grow(event: Any, version: int) -> None:
    state, effects = apply_events(configured_state(), event)
    assert state.version == version
    adopted = [effect for effect in effects if isinstance(effect, AdoptConfiguration)]
    assert len(adopted) == (version > 5)


@pytest.mark.parametrize(
    "events, expected",
    [
        ([VersionReceived("i-1", 6)], [PullConfiguration("i-1", 5)]),
        ([VersionReceived("i-1", 5)], []),
        ([VersionReceived("i-1", 4)], []),
        ([VersionReceived("i-1", 6), VersionReceived("i-2", 7)], []),
    ],
)
def test_a_peer_with_a_newer_version_is_asked_once(
    events: list[Any], expected: list[Any]
) -> None:
    _, effects = apply_events(configured_state(), *events)
    assert effects == expected


def test_an_unanswered_pull_turns_to_another_peer() -> None:
    state, _ = apply_events(configured_state(), VersionReceived("i-1", 6))
    state, effects = apply_events(state, Tick(), now=10.0 + PULL_RETRY_SECONDS / 2)
    assert effects == []
    _, effects = apply_events(state, Tick(), now=10.0 + PULL_RETRY_SECONDS)
    assert [type(effect) for effect in effects] == [PullConfiguration]


def test_a_failed_pull_turns_to_another_peer() -> None:
    state, _ = apply_events(
        configured_state(), VersionReceived("i-1", 6), PullFailed("i-1")
    )
    _, effects = apply_events(state, Tick())
    assert [type(effect) for effect in effects] == [PullConfiguration]


def test_without_a_configuration_peers_are_asked() -> None:
    state = AdoptionState("new", peers=PEERS, store_read_pending=True)
    state, effects = apply_events(state, ConfigurationReadFailed(), Tick())
    assert not state.is_ready
    assert [type(effect) for effect in effects] == [PullConfiguration] * 3
    state, _ = apply_events(state, PullSucceeded("i-1", configuration(3)))
    assert state.is_ready


@pytest.mark.parametrize(
    "name, wait", [(WATCHER, STORE_WATCH_SECONDS), (NON_WATCHER, 0.0)]
)
def test_watchers_watch_the_store_and_other_instances_poll(
    name: str, wait: float
) -> None:
    state = configured_state(name)._replace(next_store_read_at=0.0)
    state, effects = apply_events(state, Tick())
    assert effects == [ReadConfiguration(5, wait)]
    assert apply_events(state, Tick())[1] == []


def test_polls_and_retries_are_spread() -> None:
    starts = set()
    for seed in range(20):
        state, _ = step(
            ConfigurationReadFailed(), configured_state(WATCHER), 10.0, Random(seed)
        )
        starts.add(round(state.next_store_read_at, 6))
    assert len(starts) == 20


def test_withdrawals_are_in_force_at_once_and_announced() -> None:
    state, effects = apply_events(configured_state(), KeysWithdrawn(("k",)))
    assert effects[0] == AdoptConfiguration(configuration(5), frozenset({"k"}))
    assert isinstance(effects[1], AnnounceVersion)
    assert effects[1].withdrawals == ("k",)
    assert apply_events(state, KeysWithdrawn(("k",)))[1] == []
    _, effects = apply_events(state, Tick())
    assert [type(effect) for effect in effects] == [AnnounceVersion]


def test_a_stored_withdrawal_replaces_the_early_one() -> None:
    state, _ = apply_events(configured_state(), KeysWithdrawn(("k",)))
    state, _ = apply_events(state, ConfigurationRead(configuration(6, "k"), 9.5))
    assert state.early_withdrawals == frozenset()
    state, effects = apply_events(state, VersionReceived("i-1", 5, ("k",)))
    assert effects == []


def test_a_new_instance_applies_early_withdrawals_of_its_peer() -> None:
    state = AdoptionState("new", peers=PEERS)
    state, effects = apply_events(state, PullSucceeded("i-1", configuration(3), ("k",)))
    assert state.early_withdrawals == {"k"}
    assert effects[-2] == AdoptConfiguration(configuration(3), frozenset({"k"}))
