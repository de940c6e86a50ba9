"""Check that a stored version is in force everywhere in time and never reverts."""

from __future__ import annotations

import pytest

from berylhinge.core import configuration_sync
from berylhinge.core.configuration_sync import KeysWithdrawn

from .adoption_fleet import AdoptionFleet

IN_FORCE_SECONDS = 9.0
# The platform accepts 2,000 reads a second; half of them are left for other uses.
STORE_CALLS_PER_SECOND = 1_000


def roll_out(size: int, *, seed: int, lost: float) -> AdoptionFleet:
    """Store two versions in a row and restart some instances meanwhile."""
    fleet = AdoptionFleet(size, seed=seed, loss_fraction=lost, version=1)
    fleet.run(2.0)
    fleet.store_version(2)
    fleet.run(2.3)
    fleet.store_version(3)
    for name in fleet.rng.sample(fleet.names, size // 50):
        fleet.restart(name)
    fleet.run(2.3 + IN_FORCE_SECONDS)
    return fleet


@pytest.mark.parametrize(
    "size, seed, lost",
    [(1, 1, 0.0), (7, 1, 0.05), (7, 2, 0.3), (200, 3, 0.3), (2_000, 4, 0.05)],
)
def test_a_version_is_in_force_everywhere_in_time(
    size: int, seed: int, lost: float
) -> None:
    fleet = roll_out(size, seed=seed, lost=lost)
    assert fleet.count_behind(3) == 0
    assert fleet.reverted == []


def test_the_property_catches_instances_that_do_not_pull(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(
        configuration_sync, "pull_if_behind", lambda state, now, rng: (state, [])
    )
    assert roll_out(50, seed=1, lost=0.05).count_behind(3) > 0


def test_the_property_catches_instances_that_revert(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(
        configuration_sync, "is_newer", lambda state, configuration: True
    )
    reverted = [roll_out(50, seed=seed, lost=0.3).reverted for seed in range(4)]
    assert any(reverted)


def test_a_restart_in_an_outage_adopts_the_peers_version() -> None:
    fleet = AdoptionFleet(50, seed=5, loss_fraction=0.05, version=4)
    fleet.store_up = False
    for name in fleet.names[:10]:
        fleet.restart(name)
    fleet.run(IN_FORCE_SECONDS)
    assert fleet.count_behind(4) == 0


def test_a_restart_of_all_in_an_outage_leaves_none_ready() -> None:
    fleet = AdoptionFleet(20, seed=6, loss_fraction=0.0, version=1)
    fleet.store_up = False
    for name in fleet.names:
        fleet.restart(name)
    fleet.run(IN_FORCE_SECONDS)
    assert not any(state.is_ready for state in fleet.states.values())


@pytest.mark.parametrize("size, lost", [(7, 0.3), (300, 0.05)])
def test_a_key_withdrawn_on_one_instance_in_an_outage_is_withdrawn_on_all(
    size: int, lost: float
) -> None:
    fleet = AdoptionFleet(size, seed=7, loss_fraction=lost, version=4)
    fleet.store_up = False
    fleet.run(1.0)
    fleet.deliver(fleet.names[0], KeysWithdrawn(("k",)))
    fleet.run(3.0)
    assert fleet.withdrawn == set(fleet.names)


def restart_in_outage(
    monkeypatch: pytest.MonkeyPatch, size: int, seconds: float
) -> AdoptionFleet:
    """Restart all instances at once while the store is down, then bring it back."""
    fleet = AdoptionFleet(size, seed=8, loss_fraction=0.0, version=1)
    monkeypatch.setattr(
        configuration_sync, "choose_watchers", lambda instances: fleet.watchers
    )
    fleet.store_up = False
    for name in fleet.names:
        fleet.restart(name)
    fleet.run(seconds)
    fleet.store_up = True
    fleet.run(seconds + IN_FORCE_SECONDS)
    return fleet


def test_store_calls_keep_the_budget_over_an_outage(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    fleet = restart_in_outage(monkeypatch, 2_000, 12.0)
    assert fleet.count_behind(1) == 0
    assert max(fleet.store_calls.values()) <= STORE_CALLS_PER_SECOND


def test_the_budget_catches_retries_without_a_spread(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(configuration_sync, "STORE_RETRIES_PER_SECOND", 1e9)
    monkeypatch.setattr(configuration_sync, "STARTUP_READS_PER_SECOND", 1e9)
    fleet = restart_in_outage(monkeypatch, 2_000, 3.0)
    assert max(fleet.store_calls.values()) > STORE_CALLS_PER_SECOND
