from __future__ import annotations

import pytest

from ....types import DatabaseRole
from ..catalogue import (
    Database,
    may_take_work,
    NO_DECLARATIONS,
    scarce_services,
    Service,
)

DATABASE = Database("p", "s", "10.0.0.1:1", "x", 2, DatabaseRole.PRIMARY, False, 0)


@pytest.mark.parametrize(
    ("leaving", "since", "now", "expected"),
    [
        (False, None, 100.0, True),
        (True, 10.0, 11.0, True),
        # A primary leaves while the store is unreachable, so no replica is promoted.
        (True, 10.0, 15.5, False),
        (True, 10.0, 30.0, False),
        (True, None, 30.0, True),
    ],
)
def test_a_leaving_database_gets_no_work_near_its_time_limit(
    leaving: bool, since: float | None, now: float, expected: bool
) -> None:
    database = DATABASE._replace(leaving=leaving)
    assert may_take_work(database, since, 7.0, now) is expected


@pytest.mark.parametrize(
    ("organisations", "max_connections", "expected"),
    [(8, 16, frozenset()), (70, 70, frozenset()), (71, 70, frozenset({"s"}))],
)
def test_connections_are_scarce_only_where_organisations_outnumber_them(
    organisations: int, max_connections: int, expected: frozenset[str]
) -> None:
    """Guards deployments with room for every organisation against the fair queue."""
    declarations = NO_DECLARATIONS._replace(
        services={"s": Service("s", max_connections)},
        keys={f"k{number}": f"o{number // 2}" for number in range(2 * organisations)},
    )
    assert scarce_services(declarations) == expected
