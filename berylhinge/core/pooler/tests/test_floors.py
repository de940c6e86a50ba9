from __future__ import annotations

import pytest

from ....types import LogPoint
from ..floors import (
    FloorHistory,
    FloorProof,
    lag_of,
    newest_proof,
    read_floor,
    record_proof,
)


def floors_of(*proofs: tuple[float, int, int]) -> FloorHistory:
    floors = FloorHistory()
    for asked_at, term, position in proofs:
        record_proof(floors, FloorProof(asked_at, LogPoint(term, position)), asked_at)
    return floors


@pytest.mark.parametrize(
    ("proofs", "arrived_at", "staleness", "expected"),
    [
        ([], 10.0, 1.5, None),
        ([(9.0, 1, 5)], 10.0, 1.5, LogPoint(1, 5)),
        ([(8.0, 1, 5)], 10.0, 1.5, None),
        ([(8.0, 1, 5), (9.0, 1, 7), (9.5, 1, 9)], 10.0, 1.5, LogPoint(1, 7)),
        # A proof exactly as old as allowed is too old, since clocks drift.
        ([(8.5, 1, 5)], 10.0, 1.5, None),
        ([(10.0, 1, 5)], 10.0, 0.0, LogPoint(1, 5)),
    ],
)
def test_floor_is_the_lowest_recent_enough_proof(
    proofs: list[tuple[float, int, int]],
    arrived_at: float,
    staleness: float,
    expected: LogPoint | None,
) -> None:
    assert read_floor(floors_of(*proofs), arrived_at, staleness) == expected


@pytest.mark.parametrize(
    ("proofs", "kept"),
    [
        # A deposed primary answers late: its term proves nothing any more.
        ([(9.0, 2, 5), (9.5, 1, 9)], LogPoint(2, 5)),
        # Answers that arrive out of order do not make the newest proof older.
        ([(9.5, 1, 9), (9.0, 1, 7)], LogPoint(1, 9)),
        ([(9.0, 1, 5), (9.2, 2, 6)], LogPoint(2, 6)),
    ],
)
def test_proofs_of_older_terms_or_questions_are_dropped(
    proofs: list[tuple[float, int, int]], kept: LogPoint
) -> None:
    proof = newest_proof(floors_of(*proofs))
    assert proof is not None
    assert proof.point == kept


@pytest.mark.parametrize(
    ("point", "lag"),
    [
        (LogPoint(1, 9), 0.5),
        (LogPoint(1, 8), 1.0),
        (LogPoint(1, 7), 1.0),
        (LogPoint(1, 1), float("inf")),
        (LogPoint(2, 1), 0.5),
    ],
)
def test_lag_is_the_age_of_the_newest_proof_reached(
    point: LogPoint, lag: float
) -> None:
    floors = floors_of((8.0, 1, 5), (9.0, 1, 7), (9.5, 1, 9))
    assert lag_of(floors, point, 10.0) == lag


def test_number_of_kept_proofs_is_bounded() -> None:
    floors = floors_of(*((second / 10, 1, second) for second in range(2_000)))
    assert len(floors.proofs) < 100
