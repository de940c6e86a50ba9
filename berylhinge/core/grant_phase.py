"""Follow the grant chart from what a permit's state says."""

from __future__ import annotations

from typing import NamedTuple, TYPE_CHECKING

from .charts import advance, load_chart
from .permits import expires_at, is_held, PermitState

if TYPE_CHECKING:
    from ..types import Seconds

UNHELD, HELD, LAPSED, WITHDRAWN = "unheld", "held", "lapsed", "withdrawn"


class Phase(NamedTuple):
    """Name the chart's state, and the events that led there since the last look."""

    state: str = UNHELD
    events: tuple[str, ...] = ()


def follow(phase: Phase, permit: PermitState, now: Seconds) -> Phase:
    """Advance the chart by what changed; raise when the chart refuses the event."""
    event = _event(phase.state, permit, now)
    if event is None:
        return phase._replace(events=())
    chart = load_chart("grant")
    return Phase(advance(chart, phase.state, event).unwrap(), (event,))


def _event(state: str, permit: PermitState, now: Seconds) -> str | None:
    """Return the chart's event, or none when nothing changed."""
    if permit.withdrawn:
        return None if state == WITHDRAWN else "withdrawn"
    if is_held(permit, now):
        return None if state == HELD else "confirmed"
    if state == HELD and expires_at(permit) > float("-inf"):
        return "expired"
    if state in (HELD, LAPSED) and permit.me not in permit.roster.members:
        return "removed"
    return None
