from __future__ import annotations

import pytest

from ....types import DatabaseRole
from ..catalogue import Database, may_take_work

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
