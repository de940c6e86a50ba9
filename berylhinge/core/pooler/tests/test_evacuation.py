from __future__ import annotations

import pytest

from ....types import DatabaseRole
from ..catalogue import Database
from ..evacuation import (
    Evacuation,
    find_stage,
    is_move_due,
    is_service_stopped,
    may_start_move,
    Move,
    readable_databases,
    return_share,
    Stage,
    successors_of,
)

UNKNOWN_START = float("-inf")
ORDER = Evacuation(ordered_at=10.0, learned_at=11.0)
BACK = ORDER._replace(taken_back_at=30.0)
PRIMARY = Database("p", "s", "10.0.0.1:1", "x", 2, DatabaseRole.PRIMARY, False, 0, 5)
NEAR = PRIMARY._replace(id="n", role=DatabaseRole.REPLICA)
FAR = NEAR._replace(id="f", failure_domain="y")


@pytest.mark.parametrize(
    ("evacuation", "now", "expected"),
    [
        (None, 12.0, Stage.SERVING),
        (ORDER, 11.0, Stage.MOVING),
        # Nothing new may start while it could still arrive after the bound, at 15.
        (ORDER, 13.75, Stage.NO_NEW_WORK),
        (ORDER, 14.5, Stage.EMPTY),
        (ORDER, 1e6, Stage.EMPTY),
        # An instance that starts meanwhile does not get the whole time again.
        (Evacuation(UNKNOWN_START, 20.0), 20.0, Stage.EMPTY),
        (BACK, 30.0, Stage.RETURNING),
        (BACK, 33.9, Stage.RETURNING),
        (BACK, 34.0, Stage.SERVING),
        (Evacuation(UNKNOWN_START, 20.0, 21.0), 22.0, Stage.RETURNING),
    ],
)
def test_an_evacuation_takes_effect_before_its_bound(
    evacuation: Evacuation | None, now: float, expected: Stage
) -> None:
    assert find_stage(evacuation, 5.0, now) is expected


@pytest.mark.parametrize(
    ("evacuation", "now", "share"),
    [(None, 5.0, 1.0), (BACK, 30.0, 0.0), (BACK, 31.0, 0.25), (BACK, 40.0, 1.0)],
)
def test_reads_return_gradually(
    evacuation: Evacuation | None, now: float, share: float
) -> None:
    assert return_share(evacuation, now) == share


@pytest.mark.parametrize(
    ("databases", "evacuation", "draw", "now", "expected"),
    [
        ([PRIMARY, NEAR, FAR], None, 0.5, 11.0, "pnf"),
        # The primary serves until its successor leads.
        ([PRIMARY, NEAR, FAR], ORDER, 0.5, 11.0, "pf"),
        # Without a replica elsewhere, reads must not all fall on the primary at once.
        ([PRIMARY, NEAR], ORDER, 0.5, 11.0, "pn"),
        ([PRIMARY, NEAR], ORDER, 0.5, 14.0, ""),
        ([PRIMARY, NEAR, FAR], ORDER, 0.5, 14.0, "f"),
        # A surge after the evacuation would meet a database without connections.
        ([NEAR, FAR], BACK, 0.5, 31.0, "f"),
        ([NEAR, FAR], BACK, 0.2, 31.0, "nf"),
        ([NEAR], BACK, 0.5, 31.0, "n"),
    ],
)
def test_reads_leave_and_return(
    databases: list[Database],
    evacuation: Evacuation | None,
    draw: float,
    now: float,
    expected: str,
) -> None:
    known = {} if evacuation is None else {"x": evacuation}
    found = readable_databases(databases, known, limit=5.0, draw=draw, now=now)
    assert "".join(entry.id for entry in found) == expected


def test_no_evacuated_or_leaving_database_may_lead() -> None:
    entries = [PRIMARY, NEAR, FAR, FAR._replace(id="g", leaving=True)]
    assert successors_of(entries, ["x"]) == [FAR]
    assert successors_of(entries, ["x", "y"]) == []


@pytest.mark.parametrize(
    ("databases", "evacuated", "primary", "now", "expected"),
    [
        ([PRIMARY, NEAR], "x", "p", 11.0, False),
        ([PRIMARY, NEAR], "x", "p", 14.0, True),
        # A lost primary without a successor elsewhere is not waited for.
        ([NEAR], "x", None, 11.0, True),
        ([PRIMARY, NEAR, FAR], "x", "p", 14.0, False),
        ([PRIMARY, NEAR, FAR], "xy", "p", 14.0, True),
        # A failed primary without an evacuation is another matter.
        ([FAR], "x", None, 14.0, False),
        ([], "x", None, 14.0, False),
    ],
)
def test_primary_work_is_refused_only_where_waiting_cannot_help(
    databases: list[Database],
    evacuated: str,
    primary: str | None,
    now: float,
    expected: bool,
) -> None:
    known = dict.fromkeys(evacuated, ORDER)
    assert is_service_stopped(databases, primary, known, limit=5.0, now=now) is expected


@pytest.mark.parametrize(
    ("evacuated", "rank", "recorded_at", "now", "expected"),
    [
        ("x", 0, 0.0, 11.0, True),
        ("y", 0, 0.0, 11.0, False),
        # No move within the evacuated domains.
        ("xy", 0, 0.0, 11.0, False),
        # The second in line acts only after the first could have.
        ("x", 1, 0.0, 12.9, False),
        ("x", 1, 0.0, 13.0, True),
        ("x", 1, 12.0, 13.0, False),
        ("x", 2, 0.0, 13.0, False),
        ("x", 0, 0.0, 31.0, True),
    ],
)
def test_who_moves_a_primary(
    evacuated: str, rank: int, recorded_at: float, now: float, expected: bool
) -> None:
    due = is_move_due(
        PRIMARY,
        [PRIMARY, NEAR, FAR],
        dict.fromkeys(evacuated, ORDER),
        place_in_line=rank,
        promotion_seconds=2.0,
        recorded_at=recorded_at,
        now=now,
    )
    assert due is expected


def test_an_evacuation_taken_back_moves_nothing() -> None:
    assert not is_move_due(
        PRIMARY,
        [PRIMARY, FAR],
        {"x": BACK},
        place_in_line=0,
        promotion_seconds=2.0,
        recorded_at=0.0,
        now=31.0,
    )


def test_a_move_that_still_runs_is_not_overlapped() -> None:
    assert not may_start_move(
        "b", Move("a", 10.0), {}, is_last_under_way=True, is_last_running=True, now=12.0
    )


@pytest.mark.parametrize(
    ("service", "under_way", "now", "expected"),
    [
        ("b", True, 10.5, False),
        ("b", False, 10.5, True),
        # A move that does not come to an end does not stop the others.
        ("b", True, 11.0, True),
        ("a", False, 11.5, False),
        ("a", False, 12.0, True),
    ],
)
def test_one_service_is_moved_at_a_time(
    service: str, under_way: bool, now: float, expected: bool
) -> None:
    may_start = may_start_move(
        service, Move("a", 10.0), {"a": 10.0}, is_last_under_way=under_way, now=now
    )
    assert may_start is expected
