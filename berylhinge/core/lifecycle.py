"""Move an instance through the stages of the instance chart, to its planned stop."""

from __future__ import annotations

from typing import NamedTuple

from .state_charts import advance_state, load_state_chart

INSTANCE_CHART = load_state_chart("instance")
READY_STAGE = "ready"


class InstanceConditions(NamedTuple):
    """Describe the current conditions of an instance.

    ``synced``: its configuration, keys and membership are in force. ``drained``: it
    has finished draining and refuses requests. ``grace_expired``: the time
    allowed for draining is over.
    """

    listening: bool
    synced: bool
    stop_asked: bool
    drained: bool
    grace_expired: bool


def next_event(stage: str, conditions: InstanceConditions) -> str | None:
    """Return the first caused event that the stage accepts, or None."""
    event_conditions = {
        "stop-asked": conditions.stop_asked,
        "listening": conditions.listening,
        "synced": conditions.synced,
        "stale": not conditions.synced,
        "drained": conditions.drained,
        "time-up": conditions.grace_expired,
    }
    for event, holds in event_conditions.items():
        if holds and (stage, event) in INSTANCE_CHART.transitions:
            return event
    return None


def next_stage(stage: str, conditions: InstanceConditions) -> str:
    """Return the stage that is reached when no condition causes a further event."""
    for _ in INSTANCE_CHART.states:
        event = next_event(stage, conditions)
        if event is None:
            break
        stage = advance_state(INSTANCE_CHART, stage, event).unwrap()
    return stage
