"""Follow one instance from its start to its planned stop by the instance chart."""

from __future__ import annotations

from typing import NamedTuple

from .state_charts import advance_state, load_state_chart

CHART = load_state_chart("instance")
READY = "ready"


class Conditions(NamedTuple):
    """Say what holds of an instance now."""

    listening: bool
    synced: bool
    stop_asked: bool
    drained: bool
    time_up: bool


def next_event(stage: str, conditions: Conditions) -> str | None:
    """Return the event that the conditions cause at a stage, if any."""
    wanted = {
        "stop-asked": conditions.stop_asked,
        "listening": conditions.listening,
        "synced": conditions.synced,
        "stale": not conditions.synced,
        "drained": conditions.drained,
        "time-up": conditions.time_up,
    }
    for event, holds in wanted.items():
        if holds and (stage, event) in CHART.transitions:
            return event
    return None


def follow(stage: str, conditions: Conditions) -> str:
    """Return the stage that the conditions lead to."""
    for _ in CHART.states:
        event = next_event(stage, conditions)
        if event is None:
            break
        stage = advance_state(CHART, stage, event).unwrap()
    return stage
