from __future__ import annotations

import pytest
from returns.result import Failure, Success

from .. import failure_evidence, promotion
from ..state_charts import advance_state, load_state_chart, StateChart, UnhandledEvent

CHARTS = [load_state_chart(name) for name in ("promotion", "upstream")]


@pytest.mark.parametrize("chart", CHARTS, ids=lambda chart: chart.name)
def test_every_state_is_reachable(chart: StateChart) -> None:
    reached, added = {chart.initial}, True
    while added:
        targets = {
            target
            for (source, _), target in chart.transitions.items()
            if source in reached
        }
        added = not targets <= reached
        reached |= targets
    assert reached == set(chart.states)


@pytest.mark.parametrize("chart", CHARTS, ids=lambda chart: chart.name)
def test_unhandled_events_are_refused_by_name(chart: StateChart) -> None:
    for state in chart.states:
        for event in (*chart.events, "no-such-event"):
            result = advance_state(chart, state, event)
            if isinstance(result, Success):
                assert result.unwrap() in chart.states
                continue
            assert isinstance(result, Failure)
            refusal = result.failure()
            assert isinstance(refusal, UnhandledEvent)
            assert (refusal.state, refusal.event) == (state, event)
            assert f"got {event} in {state}" in str(refusal)


@pytest.mark.parametrize("chart", CHARTS, ids=lambda chart: chart.name)
def test_every_state_can_be_left(chart: StateChart) -> None:
    for state in chart.states:
        assert any(
            source == state and target != state
            for (source, _), target in chart.transitions.items()
        )


def test_state_machines_use_these_charts() -> None:
    assert promotion.CHART is CHARTS[0]
    assert failure_evidence.CHART is CHARTS[1]
    assert promotion.PromotionState("g", "i", ("a",), 0).stage == CHARTS[0].initial
