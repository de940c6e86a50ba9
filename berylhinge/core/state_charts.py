"""Load state charts and compute the state that follows an event."""

from __future__ import annotations

from functools import cache
from importlib.resources import files
from typing import NamedTuple

from returns.result import Failure, Result, Success
from sismic.io import import_from_yaml
from sismic.model import CompoundState


class UnhandledEvent(NamedTuple):
    """Describe an event that a state does not handle and list those it handles."""

    chart: str
    state: str
    event: str
    expected: tuple[str, ...]

    def __str__(self) -> str:
        """Return the one-line message."""
        handled = ", ".join(self.expected)
        return f"{self.chart}: got {self.event} in {self.state}, expected {handled}"


class StateChart(NamedTuple):
    """Represent a flat state chart as a transition table."""

    name: str
    initial: str
    states: tuple[str, ...]
    events: tuple[str, ...]
    transitions: dict[tuple[str, str], str]


def parse_state_chart(text: str) -> StateChart:
    """Parse a YAML chart that has one level of states and no code."""
    model = import_from_yaml(text)
    root = model.state_for(model.root)
    assert isinstance(root, CompoundState)
    states = tuple(name for name in model.states if name != model.root)
    targets = {
        (transition.source, str(transition.event)): str(transition.target)
        for transition in model.transitions
    }
    events = tuple(sorted({event for _, event in targets}))
    return StateChart(model.name, str(root.initial), states, events, targets)


@cache
def load_state_chart(name: str) -> StateChart:
    """Load one of the package's charts by its file name without suffix."""
    source = files(__package__).joinpath("..", "charts", f"{name}.yaml")
    return parse_state_chart(source.read_text(encoding="utf-8"))


def advance_state(
    chart: StateChart, state: str, event: str
) -> Result[str, UnhandledEvent]:
    """Return the state after an event, or a refusal that lists the handled events."""
    target = chart.transitions.get((state, event))
    if target is None:
        handled = tuple(name for source, name in chart.transitions if source == state)
        return Failure(UnhandledEvent(chart.name, state, event, handled))
    return Success(target)
