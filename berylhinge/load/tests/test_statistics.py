from __future__ import annotations

import random

import pytest

from ..allowance import judge
from ..records import Allowance, Operation, Verdict
from ..scenario import Kind
from ..statistics import compare_series, latencies, write_gap


def operation(
    *,
    sent: float,
    done: float | None = None,
    verdict: Verdict = Verdict.OK,
    reason: str = "",
    kind: Kind = Kind.WRITE,
    intended: float | None = None,
) -> Operation:
    end = sent + 0.01 if done is None else done
    due = sent if intended is None else intended
    admitted = int(verdict is Verdict.OK)
    return Operation(
        0, "o", "r", kind, "a", 1, due, sent, end, 0, verdict, reason, 200, None,
        admitted, True, "id", "",
    )  # fmt: skip


def refused(sent: float, reason: str) -> Operation:
    return operation(sent=sent, verdict=Verdict.NOT_RUN, reason=reason)


JUDGED = [
    ("all served", [operation(sent=n) for n in range(5)], (5, 5, 0, 0)),
    ("refused inside", [refused(0.0, "rate-exceeded")], (0, 1, 1, 1)),
    ("refused for the queue", [refused(0.0, "queue-full")], (0, 1, 1, 0)),
    (
        "refused over the rate",
        [operation(sent=0.0), operation(sent=0.1), refused(0.2, "rate-exceeded")],
        (2, 2, 0, 0),
    ),
    (
        "refused once refilled",
        [operation(sent=0.0), operation(sent=0.1), refused(1.5, "rate-exceeded")],
        (2, 3, 1, 1),
    ),
    (
        "each wrongful refusal spends the token it was due",
        [refused(0.0, "rate-exceeded") for _ in range(9)],
        (0, 2, 2, 2),
    ),
]


@pytest.mark.parametrize(
    ("operations", "expected"),
    [case[1:] for case in JUDGED],
    ids=[case[0] for case in JUDGED],
)
def test_judge(operations: list[Operation], expected: tuple[int, ...]) -> None:
    service = judge(operations, Allowance(1, 2))
    got = (service.served, service.due, service.wrongful, service.wrongful_rate)
    assert got == expected


GAPS = [
    ("steady", [1, 2, 3, 4], 2.0, 4.0, 1.0),
    ("gap after the fault", [1, 2, 5, 6], 2.5, 6.0, 3.0),
    ("gap before it is not counted", [1, 4, 5, 6], 5.0, 6.0, 1.0),
    ("never resumed", [1, 2], 2.5, 9.0, 7.0),
    ("nothing before", [5], 2.0, 6.0, None),
    ("nothing at all", [], 2.0, 6.0, None),
]


@pytest.mark.parametrize(
    ("done", "start", "end", "gap"),
    [case[1:] for case in GAPS],
    ids=[case[0] for case in GAPS],
)
def test_write_gap(
    done: list[float], start: float, end: float, gap: float | None
) -> None:
    operations = [operation(sent=at - 0.01, done=at) for at in done]
    operations.append(operation(sent=2.6, done=2.7, verdict=Verdict.UNKNOWN))
    operations.append(operation(sent=2.6, done=2.7, kind=Kind.READ))
    assert write_gap(operations, start=start, end=end) == gap


def test_latency_counts_from_the_intended_send() -> None:
    late = operation(intended=1.0, sent=3.0, done=3.5)
    histogram = latencies([late])
    assert histogram.get_max_value() == pytest.approx(2_500_000, rel=0.002)


@pytest.mark.parametrize(
    ("shift", "noise"), [(0.0, True), (5.0, False)], ids=["same", "shifted"]
)
def test_compare_tells_shifts_from_noise(shift: float, noise: bool) -> None:
    rng = random.Random(5)
    old = [rng.gauss(10, 1) for _ in range(30)]
    new = [rng.gauss(10 + shift, 1) for _ in range(30)]
    assert compare_series(old, new, seed=1).is_noise is noise
