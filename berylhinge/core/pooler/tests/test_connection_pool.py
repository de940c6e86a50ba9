from __future__ import annotations

import pytest

from ....types import AccessMode
from ..connection_pool import (
    choose_connection,
    expired_connections,
    IdleConnection,
    instance_connection_limit,
    OpenNew,
    plan_setup,
    UseIdle,
    WaitForIdle,
)
from ..statements import PreparedStatement

READ_SHAPE = PreparedStatement(AccessMode.READ, "q1")


def idle(
    number: int, organisation: str, since: float = 0.0, **values: str
) -> IdleConnection:
    return IdleConnection(number, organisation, values, frozenset(), since)


@pytest.mark.parametrize(
    ("entries", "held", "expected"),
    [
        ([], 0, OpenNew(None)),
        ([], 4, WaitForIdle()),
        ([idle(1, "a")], 4, UseIdle(1)),
        # Matching values save a reset. Of equals, the newest is least likely to be
        # closed.
        ([idle(1, "a", 5.0), idle(2, "a", 1.0, zone="x")], 4, UseIdle(2)),
        ([idle(1, "b"), idle(2, "c")], 2, OpenNew(None)),
        # A full pool evicts from the organisation with the most idle connections.
        ([idle(1, "b", 1.0), idle(2, "c", 2.0), idle(3, "c", 3.0)], 4, OpenNew(2)),
    ],
)
def test_choose(entries: list[IdleConnection], held: int, expected: object) -> None:
    found = choose_connection(entries, "a", {"zone": "x"}, held=held, limit=4)
    assert found == expected


@pytest.mark.parametrize(
    ("values", "prepared", "wanted", "reset", "steps"),
    [
        ({}, frozenset(), {}, False, ()),
        ({"a": "1"}, frozenset(), {"a": "1"}, False, ()),
        ({"a": "1"}, frozenset(), {"a": "2"}, False, (("a", "2"),)),
        # A value of the previous session must not be visible to the next one.
        ({"a": "1"}, frozenset(), {"b": "2"}, True, (("b", "2"),)),
        ({"a": "1"}, frozenset(), {}, True, ()),
    ],
)
def test_connection_has_exactly_the_sessions_values(
    values: dict[str, str],
    prepared: frozenset[str],
    wanted: dict[str, str],
    reset: bool,
    steps: tuple[tuple[str, str], ...],
) -> None:
    found = plan_setup(values, prepared, wanted_values=wanted, wanted_prepared={})
    assert (found.reset, found.values) == (reset, steps)


@pytest.mark.parametrize(
    ("prepared", "values", "expected"),
    [
        (frozenset(), {}, (("r1", READ_SHAPE),)),
        (frozenset({"r1"}), {}, ()),
        # A reset drops prepared names, so they are prepared again.
        (frozenset({"r1"}), {"old": "1"}, (("r1", READ_SHAPE),)),
    ],
)
def test_names_are_prepared_once(
    prepared: frozenset[str], values: dict[str, str], expected: object
) -> None:
    found = plan_setup(
        values, prepared, wanted_values={}, wanted_prepared={"r1": READ_SHAPE}
    )
    assert found.prepared == expected


@pytest.mark.parametrize(
    ("max_connections", "organisations", "expected"),
    [(16, 8, 10), (16, 2, 8), (16, 80, 12), (58, 84, 43), (1, 8, 1)],
)
def test_instance_limit_leaves_connections_for_the_next_holder(
    max_connections: int, organisations: int, expected: int
) -> None:
    assert instance_connection_limit(max_connections, organisations) == expected


def test_a_former_holder_soon_closes_its_connections() -> None:
    entries = [idle(1, "a", 0.0)]
    assert expired_connections(entries, is_holder=True, now=10.0) == []
    assert expired_connections(entries, is_holder=False, now=10.0) == [1]
