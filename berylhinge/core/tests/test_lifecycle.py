from __future__ import annotations

import pytest

from ..lifecycle import INSTANCE_CHART, InstanceConditions, next_stage

LISTENING = InstanceConditions(True, False, False, False, False)
SYNCED = LISTENING._replace(synced=True)
LEAVING = SYNCED._replace(stop_asked=True)


@pytest.mark.parametrize(
    ("stage", "conditions", "expected"),
    [
        ("starting", LISTENING._replace(listening=False), "starting"),
        ("starting", LISTENING, "syncing"),
        ("starting", SYNCED, "ready"),
        ("starting", LEAVING, "stopped"),
        ("syncing", LISTENING, "syncing"),
        ("syncing", SYNCED, "ready"),
        ("syncing", LEAVING, "leaving"),
        ("ready", SYNCED, "ready"),
        ("ready", LISTENING, "syncing"),
        ("ready", LEAVING, "leaving"),
        ("leaving", LEAVING, "leaving"),
        ("leaving", LEAVING._replace(synced=False), "leaving"),
        ("leaving", LEAVING._replace(drained=True), "stopped"),
        ("leaving", LEAVING._replace(grace_expired=True), "stopped"),
        ("stopped", LEAVING._replace(drained=True), "stopped"),
    ],
)
def test_conditions_lead_to_the_expected_stage(
    stage: str, conditions: InstanceConditions, expected: str
) -> None:
    assert next_stage(stage, conditions) == expected


def test_a_stopped_instance_never_starts_again() -> None:
    assert not [
        target
        for (stage, _), target in INSTANCE_CHART.transitions.items()
        if stage == "stopped"
    ]
