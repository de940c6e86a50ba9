from __future__ import annotations

import random

import pytest

from ..checker import check, Promise
from ..records import Allowance, FinalState, Operation, Verdict
from ..scenario import Kind
from ..windows import excess

EMPTY = FinalState({}, {}, {}, None)
OK, NOT_RUN, UNKNOWN = Verdict.OK, Verdict.NOT_RUN, Verdict.UNKNOWN


def operation(
    kind: Kind,
    *,
    row: str = "a",
    version: int = 0,
    sent: float = 0.0,
    done: float = 0.1,
    verdict: Verdict = OK,
    seen: int | None = None,
    echoed: bool = True,
) -> Operation:
    return Operation(
        7, "org", "r", kind, row, version, sent, sent, done, 0, verdict, "", 200,
        seen, 0, echoed, "id-7", "",
    )  # fmt: skip


def write(version: int, verdict: Verdict = OK, done: float = 1.0) -> Operation:
    return operation(Kind.WRITE, version=version, verdict=verdict, done=done)


def read(kind: Kind, seen: int, sent: float) -> Operation:
    return operation(kind, seen=seen, sent=sent, done=sent + 0.1)


CASES = [
    ("own write", [write(3), read(Kind.READ, 3, 2.0)], {"a": 3}, {}, {}, []),
    ("later value", [write(3), read(Kind.READ, 4, 2.0)], {"a": 4}, {}, {}, []),
    ("overlapping", [write(3), read(Kind.READ, 2, 0.5)], {"a": 3}, {}, {}, []),
    ("stale own", [write(3), read(Kind.READ, 2, 2.0)], {"a": 3}, {}, {},
     [Promise.READ_YOUR_WRITES]),
    ("stale fresh", [write(3), read(Kind.FRESH, 2, 2.0)], {"a": 3}, {}, {},
     [Promise.FRESH_READ]),
    ("within age", [write(3), read(Kind.AGED, 2, 2.0)], {"a": 3}, {}, {}, []),
    ("past age", [write(3), read(Kind.AGED, 2, 6.1)], {"a": 3}, {}, {},
     [Promise.BOUNDED_AGE]),
    ("unknown write unseen", [write(3, UNKNOWN), read(Kind.READ, 0, 2.0)], {}, {}, {},
     []),
    ("denied write seen", [write(3, NOT_RUN), read(Kind.READ, 3, 2.0)], {}, {}, {},
     [Promise.TRUTHFUL_NOT_RUN]),
    ("denied write stays", [write(3, NOT_RUN)], {"a": 3}, {}, {},
     [Promise.TRUTHFUL_NOT_RUN]),
    ("lost write", [write(3)], {"a": 2}, {}, {}, [Promise.ACKNOWLEDGED_SURVIVES]),
    ("lost row", [write(3)], {}, {}, {}, [Promise.ACKNOWLEDGED_SURVIVES]),
    ("insert once", [operation(Kind.INSERT)], {}, {"a": 1}, {}, []),
    ("insert twice", [operation(Kind.INSERT)], {}, {"a": 2}, {},
     [Promise.AT_MOST_ONCE]),
    ("unknown twice", [operation(Kind.INSERT, verdict=UNKNOWN)], {}, {"a": 2}, {},
     [Promise.AT_MOST_ONCE]),
    ("unknown once", [operation(Kind.INSERT, verdict=UNKNOWN)], {}, {"a": 1}, {}, []),
    ("insert lost", [operation(Kind.INSERT)], {}, {}, {},
     [Promise.ACKNOWLEDGED_SURVIVES]),
    ("insert denied but there", [operation(Kind.INSERT, verdict=NOT_RUN)], {},
     {"a": 1}, {}, [Promise.TRUTHFUL_NOT_RUN]),
    ("whole pair", [operation(Kind.TRANSACTION)], {}, {}, {"a": 2}, []),
    ("torn pair", [operation(Kind.TRANSACTION, verdict=UNKNOWN)], {}, {}, {"a": 1},
     [Promise.WHOLE_TRANSACTION]),
    ("foreign answer", [operation(Kind.READ, seen=0, echoed=False)], {}, {}, {},
     [Promise.OWN_ANSWER]),
]  # fmt: skip


@pytest.mark.parametrize(
    ("operations", "versions", "inserts", "pairs", "broken"),
    [case[1:] for case in CASES],
    ids=[case[0] for case in CASES],
)
def test_check(
    operations: list[Operation],
    versions: dict[str, int],
    inserts: dict[str, int],
    pairs: dict[str, int],
    broken: list[Promise],
) -> None:
    final = FinalState(versions, inserts, pairs, None)
    found = check(
        operations, {"r": final}, {"org": Allowance(1, 1)}, max_age_seconds=5.0
    )
    assert [violation.promise for violation in found] == broken


def test_an_entry_that_stands_twice_in_the_log() -> None:
    final = FinalState({}, {"a": 1}, {}, {"id-7": 2})
    found = check([operation(Kind.INSERT)], {"r": final}, {}, max_age_seconds=1)
    assert [violation.promise for violation in found] == [Promise.AT_MOST_ONCE]


def test_over_admission_is_a_broken_promise() -> None:
    sent = [
        operation(Kind.READ, seen=0)._replace(admissions=1, sent=0.0, done=1.0)
        for _ in range(4)
    ]
    found = check(sent, {"r": EMPTY}, {"org": Allowance(1, 2)}, max_age_seconds=1)
    assert [violation.promise for violation in found] == [Promise.WITHIN_RATE]


def brute_excess(
    admissions: list[tuple[float, float, int]], allowance: Allowance
) -> float:
    worst = 0.0
    for start, _, _ in admissions:
        for _, end, _ in admissions:
            inside = sum(n for s, d, n in admissions if s >= start and d <= end)
            if end >= start:
                over = inside - allowance.rate * (end - start) - allowance.burst
                worst = max(worst, over)
    return worst


@pytest.mark.parametrize("seed", range(30))
def test_excess_agrees_with_every_window(seed: int) -> None:
    rng = random.Random(seed)
    admissions = []
    for _ in range(rng.randrange(1, 40)):
        sent = rng.choice([rng.random() * 5, float(rng.randrange(5))])
        admissions.append((sent, sent + rng.random(), rng.randrange(1, 4)))
    allowance = Allowance(rng.choice([0.5, 2.0, 8.0]), rng.choice([1.0, 5.0]))
    expected = brute_excess(admissions, allowance)
    assert excess(admissions, allowance) == pytest.approx(expected)
