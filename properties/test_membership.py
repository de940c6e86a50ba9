"""The dead are found in time, the living aren't buried, and cuts heal in bounds."""

from __future__ import annotations

import pytest

from berylhinge.core import membership, membership_state
from berylhinge.core.membership_state import suspicion_seconds
from berylhinge.wire.membership import MembershipStatus

from .membership_fleet import Fleet

BYTES_PER_SECOND = 2_000
DETECTION_SECONDS = 14.0


@pytest.mark.parametrize("size, lost", [(2, 0.0), (7, 0.01), (7, 0.1), (60, 0.01)])
def test_a_dead_instance_is_dead_for_all_in_time(size: int, lost: float) -> None:
    fleet = Fleet(size, seed=1, lost=lost)
    fleet.run(5.0)
    gone = fleet.names[0]
    fleet.down.add(gone)
    fleet.run(5.0 + DETECTION_SECONDS)
    assert fleet.believers(gone, MembershipStatus.DEAD) == size - 1


def paused_fleet(size: int, seconds: float) -> Fleet:
    fleet = Fleet(size, seed=2, lost=0.01)
    fleet.pause_each(every_seconds=10.0, seconds=0.5)
    fleet.run(seconds)
    return fleet


@pytest.mark.parametrize("size", [7, 40])
def test_loss_and_pauses_bury_nobody(size: int) -> None:
    fleet = paused_fleet(size, 120.0)
    assert fleet.died == []
    assert fleet.wrong() == 0


def test_the_property_catches_suspicions_without_patience(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(membership_state, "suspicion_seconds", lambda count: 0.0)
    monkeypatch.setattr(membership, "INDIRECT_PROBE_COUNT", 0)
    assert paused_fleet(7, 120.0).died


def test_the_property_catches_a_probe_without_helpers(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    helped = len(paused_fleet(7, 120.0).suspected)
    monkeypatch.setattr(membership, "INDIRECT_PROBE_COUNT", 0)
    assert len(paused_fleet(7, 120.0).suspected) > helped


def cut_fleet(size: int, seconds: float) -> Fleet:
    fleet = Fleet(size, seed=3)
    fleet.run(5.0)
    for name in fleet.names[::2]:
        fleet.side[name] = 1
    fleet.run(5.0 + seconds)
    return fleet


def test_a_cut_heals_without_a_storm() -> None:
    fleet = cut_fleet(30, 60.0)
    assert fleet.wrong() == 2 * 15 * 15
    fleet.side.clear()
    fleet.second_bytes.clear()
    fleet.run(fleet.now + 60.0)
    assert fleet.wrong() == 0
    assert max(fleet.second_bytes.values()) / 30 <= BYTES_PER_SECOND


def test_a_cut_does_not_heal_without_calls_to_the_dead(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(membership, "RECONNECT_INTERVAL_PERIODS", 10**9)
    fleet = cut_fleet(30, 60.0)
    fleet.side.clear()
    fleet.run(fleet.now + 60.0)
    assert fleet.wrong() > 0


def test_a_long_own_pause_blames_nobody() -> None:
    fleet = Fleet(7, seed=4)
    fleet.run(5.0)
    fleet.paused[fleet.names[0]] = 11.0
    fleet.run(40.0)
    assert {name for _, name, _ in fleet.died} <= set(fleet.names[1:])
    assert {subject for _, _, subject in fleet.died} <= {fleet.names[0]}
    assert fleet.wrong() == 0


def test_suspicions_last_longer_in_larger_fleets() -> None:
    assert suspicion_seconds(2_000) > suspicion_seconds(7) > 3.0
