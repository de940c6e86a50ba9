from __future__ import annotations

import pytest

from ..lifecycle import CHART, Conditions, follow

IDLE = Conditions(True, False, False, False, False)
SYNCED = IDLE._replace(synced=True)
LEAVING = SYNCED._replace(stop_asked=True)


@pytest.mark.parametrize(
    ("stage", "conditions", "expected"),
    [
        ("starting", IDLE._replace(listening=False), "starting"),
        ("starting", IDLE, "syncing"),
        ("starting", SYNCED, "ready"),
        ("starting", LEAVING, "stopped"),
        ("syncing", IDLE, "syncing"),
        ("syncing", SYNCED, "ready"),
        ("syncing", LEAVING, "leaving"),
        ("ready", SYNCED, "ready"),
        ("ready", IDLE, "syncing"),
        ("ready", LEAVING, "leaving"),
        ("leaving", LEAVING, "leaving"),
        ("leaving", LEAVING._replace(synced=False), "leaving"),
        ("leaving", LEAVING._replace(drained=True), "stopped"),
        ("leaving", LEAVING._replace(time_up=True), "stopped"),
        ("stopped", LEAVING._replace(drained=True), "stopped"),
    ],
)
def test_where_conditions_lead(
    stage: str, conditions: Conditions, expected: str
) -> None:
    assert follow(stage, conditions) == expected


def test_a_stopped_instance_never_starts_again() -> None:
    assert not [
        target for (stage, _), target in CHART.transitions.items() if stage == "stopped"
    ]
