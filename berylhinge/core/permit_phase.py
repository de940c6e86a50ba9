"""Advance the grant chart by the state of a permit."""

from __future__ import annotations

from typing import NamedTuple, TYPE_CHECKING

from .permits import expires_at, is_held, PermitState
from .state_charts import advance_state, load_state_chart

if TYPE_CHECKING:
    from ..types import Seconds

UNHELD, HELD, LAPSED, WITHDRAWN = "unheld", "held", "lapsed", "withdrawn"


class GrantPhase(NamedTuple):
    """Represent the chart's state, and the events of the latest call that led there."""

    state: str = UNHELD
    events: tuple[str, ...] = ()


def advance_phase(phase: GrantPhase, permit: PermitState, now: Seconds) -> GrantPhase:
    """Advance the chart by the permit's change; raise if it refuses the event."""
    event = _find_event(phase.state, permit, now)
    if event is None:
        return phase._replace(events=())
    chart = load_state_chart("grant")
    return GrantPhase(advance_state(chart, phase.state, event).unwrap(), (event,))


def _find_event(state: str, permit: PermitState, now: Seconds) -> str | None:
    """Return the chart's event, or none if the permit's state has not changed."""
    if permit.withdrawn:
        return None if state == WITHDRAWN else "withdrawn"
    if is_held(permit, now):
        return None if state == HELD else "confirmed"
    if state == HELD and expires_at(permit) > float("-inf"):
        return "expired"
    if state in (HELD, LAPSED) and permit.me not in permit.roster.members:
        return "removed"
    return None
