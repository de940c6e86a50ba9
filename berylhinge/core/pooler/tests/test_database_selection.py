from __future__ import annotations

import pytest

from ....types import DatabaseRole, LogPoint
from ..catalogue import Consistency, Database
from ..database_selection import (
    DatabaseObservation,
    is_behind,
    read_order,
    ReadRequirement,
    UNOBSERVED,
)

NEVER = float("-inf")


def database(
    name: str, failure_domain: str, role: DatabaseRole = DatabaseRole.REPLICA
) -> Database:
    return Database(name, "s", "10.0.0.1:1", failure_domain, 2, role, False, 0)


PRIMARY = database("p", "x", DatabaseRole.PRIMARY)
NEAR, FAR = database("near", "y"), database("far", "z")
AT_FLOOR = DatabaseObservation(LogPoint(1, 50), 10.0, 0.0, NEVER, NEVER)
BEHIND = AT_FLOOR._replace(point=LogPoint(1, 10))
BOUNDED = ReadRequirement(Consistency.BOUNDED, LogPoint(1, 50), None, 1.5)
SESSION = ReadRequirement(Consistency.SESSION, LogPoint(1, 40), LogPoint(1, 60), 2.5)


@pytest.mark.parametrize(
    ("need", "near", "far", "expected"),
    [
        (BOUNDED, AT_FLOOR, AT_FLOOR, ["near", "far", "p"]),
        # One replica receives nothing for a while.
        (BOUNDED, BEHIND, AT_FLOOR, ["far", "p"]),
        # All replicas lag, so the primary carries the reads.
        (BOUNDED, BEHIND, BEHIND, ["p"]),
        # After a restart nothing is known; a lagging replica refuses the read.
        (BOUNDED, UNOBSERVED, UNOBSERVED, ["near", "far", "p"]),
        # A session reads its own write, which no replica has yet.
        (SESSION, AT_FLOOR, AT_FLOOR, ["p"]),
        # The nearest database has a long queue.
        (BOUNDED, AT_FLOOR._replace(wait_seconds=0.2), AT_FLOOR, ["far", "p", "near"]),
        (BOUNDED, AT_FLOOR._replace(lagging_until=11.0), AT_FLOOR, ["far", "p"]),
        (BOUNDED._replace(floor=None), AT_FLOOR, AT_FLOOR, ["p"]),
        (
            BOUNDED._replace(consistency=Consistency.PRIMARY),
            AT_FLOOR,
            AT_FLOOR,
            ["p"],
        ),
    ],
)
def test_read_order(
    need: ReadRequirement,
    near: DatabaseObservation,
    far: DatabaseObservation,
    expected: list[str],
) -> None:
    order = read_order(
        [PRIMARY, NEAR, FAR],
        {"near": near, "far": far, "p": AT_FLOOR},
        need,
        failure_domain="y",
        lag=lambda point: 5.0 if point == BEHIND.point else 0.0,
        now=10.0,
    )
    assert [entry.id for entry in order] == expected


@pytest.mark.parametrize(
    ("known", "age_of_position", "expected"),
    [
        (AT_FLOOR, 2.0, False),
        (AT_FLOOR, 2.4, False),
        (AT_FLOOR, 2.6, True),
        (AT_FLOOR, float("inf"), True),
        (UNOBSERVED, 0.0, True),
    ],
)
def test_a_replica_is_behind_by_its_lag_when_observed(
    known: DatabaseObservation, age_of_position: float, expected: bool
) -> None:
    # An old observation is no lag: the replica has gone on since.
    assert is_behind(known, lag=lambda point: age_of_position, now=12.0) == expected
