from __future__ import annotations

from collections import Counter
from random import Random

import pytest

from ....types import DatabaseRole
from ..catalogue import Database
from ..database_load import BelievedLoad, DatabaseLoad, LoadMeter
from ..load_balancing import Candidate, order_databases

NOW = 100.0


def database(name: str, role: DatabaseRole = DatabaseRole.REPLICA) -> Database:
    return Database(name, "s", "10.0.0.1:1", name, 4, role, False, 0)


def candidate(
    name: str,
    load: DatabaseLoad | None,
    *,
    age: float = 0.5,
    is_near: bool = False,
    is_shared: bool = True,
    sent_since: int = 0,
    is_set_aside: bool = False,
    is_avoided: bool = False,
) -> Candidate:
    role = DatabaseRole.PRIMARY if name == "p" else DatabaseRole.REPLICA
    believed = (
        None if load is None else BelievedLoad(load, NOW - age, sent_since, is_shared)
    )
    return Candidate(
        database(name, role), believed, name == "p", is_near, is_avoided, is_set_aside
    )


def first_shares(*candidates: Candidate, choices: int = 4000) -> dict[str, float]:
    rng = Random("first-shares")
    counts = Counter(
        order_databases(candidates, NOW, rng)[0].id for _ in range(choices)
    )
    return {
        entry.database.id: counts[entry.database.id] / choices for entry in candidates
    }


BUSY = DatabaseLoad(4, 4, 4, 20_000, 85)
QUEUED = DatabaseLoad(20, 4, 4, 20_000, 85)
IDLE = DatabaseLoad(0, 0, 4, 20_000, 85)
CALM = DatabaseLoad(0, 1, 4, 20_000, 40)


def test_choosers_with_the_same_stale_report_do_not_all_take_one_database() -> None:
    """Guards against databases that are overloaded in turns while others are idle."""
    fresh = first_shares(
        *(
            candidate(name, load, age=0.0)
            for name, load in zip("abc", (IDLE, QUEUED, QUEUED), strict=True)
        )
    )
    stale = first_shares(
        *(
            candidate(name, load, age=0.75)
            for name, load in zip("abc", (IDLE, QUEUED, QUEUED), strict=True)
        )
    )
    unshared = first_shares(
        *(
            candidate(name, load, age=0.75, is_shared=False)
            for name, load in zip("abc", (IDLE, QUEUED, QUEUED), strict=True)
        )
    )
    assert 0.5 < fresh["a"] < 0.8
    assert stale["a"] < unshared["a"] < fresh["a"]
    assert 0.33 < stale["a"] < 0.42


@pytest.mark.parametrize(
    ("own_percent", "low", "high"), [(0, 0.25, 0.34), (50, 0.1, 0.2), (85, 0.0, 0.03)]
)
def test_reads_leave_a_primary_to_its_own_work(
    own_percent: int, low: float, high: float
) -> None:
    """Guards against reads that delay writes at a primary with no room beside them."""
    own = DatabaseLoad(0, 3, 4, 20_000, 85, own_percent)
    shares = first_shares(
        candidate("p", own), candidate("a", BUSY), candidate("b", BUSY)
    )
    assert low <= shares["p"] <= high


def test_a_slow_database_gets_less_than_its_capacity() -> None:
    slow = DatabaseLoad(2, 4, 4, 160_000, 85)
    shares = first_shares(
        candidate("a", slow), candidate("b", BUSY), candidate("c", BUSY)
    )
    assert shares["a"] < 0.06


@pytest.mark.parametrize(("load", "low", "high"), [(CALM, 0.95, 1.0), (BUSY, 0.3, 0.4)])
def test_reads_stay_near_while_waits_are_alike(
    load: DatabaseLoad, low: float, high: float
) -> None:
    """Guards against traffic between failure domains that saves nobody time."""
    shares = first_shares(
        candidate("a", load, is_near=True), candidate("b", load), candidate("c", load)
    )
    assert low <= shares["a"] <= high


def test_what_was_sent_since_the_report_counts() -> None:
    shares = first_shares(
        candidate("a", BUSY, age=0.0, sent_since=20),
        candidate("b", BUSY, age=0.0),
        candidate("c", BUSY, age=0.0),
    )
    assert shares["a"] < 0.1


@pytest.mark.parametrize("age", [3.0, 30.0, 3_000.0])
def test_a_very_old_report_does_not_hide_the_queues_of_the_others(age: float) -> None:
    # The oldest report decided how much all queues counted: for next to nothing.
    shares = first_shares(
        candidate("a", IDLE, age=0.0),
        candidate("b", QUEUED, age=0.0),
        candidate("c", BUSY, age=age),
    )
    assert shares["a"] > 4 * shares["b"]


def test_a_database_set_aside_is_tried_again_by_a_few_and_stays_a_last_resort() -> None:
    """Guards against a database that never returns, and against reads without any."""
    aside = candidate("a", IDLE, is_set_aside=True)
    shares = first_shares(aside, candidate("b", BUSY), candidate("c", BUSY))
    assert 0.01 < shares["a"] < 0.03
    only = order_databases([aside], NOW, Random(1))
    assert [entry.id for entry in only] == ["a"]


def test_every_database_is_tried_before_one_that_does_not_answer() -> None:
    rng = Random(3)
    orders = [
        order_databases(
            [
                candidate("a", IDLE, is_avoided=True),
                candidate("b", None),
                candidate("c", BUSY),
            ],
            NOW,
            rng,
        )
        for _ in range(50)
    ]
    assert {order[-1].id for order in orders} == {"a"}
    assert {len(order) for order in orders} == {3}


def test_a_meter_reports_the_slots_in_use_and_the_primary_s_own_work() -> None:
    meter = LoadMeter()
    now = 0.0
    for number in range(400):
        now += 0.01
        meter.record_run(0.02, needs_primary=number % 2 == 0)
        meter.measure(2, 0, 4, now)
    load = meter.report(2, 0, 4)
    assert load.busy_percent == pytest.approx(50, abs=2)
    assert load.own_percent == pytest.approx(25, abs=3)
    assert load.run_microseconds == pytest.approx(20_000, rel=0.01)
