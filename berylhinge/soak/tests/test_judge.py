from __future__ import annotations

import pytest

from ...standins.database_group import Entry, Run
from ..history import Observed, Operation, Outcome, Span, Step
from ..judge import judge, MOST_COLD_RUNS, Seen
from ..world import EVACUATION_MS

DONE, NOT_KEPT, UNKNOWN = Outcome.DONE, Outcome.NOT_KEPT, Outcome.UNKNOWN


def step(
    request: str,
    text: str,
    sent_at: float,
    ended_at: float,
    outcome: Outcome = DONE,
    rows: tuple[str, ...] = (),
) -> Step:
    return Step(request, text, sent_at, ended_at, outcome, rows)


def write(
    data: str, ended_at: float, outcome: Outcome = DONE, session: int = 1
) -> Operation:
    told = step(f"w-{data}", f"WRITE i {data}", ended_at - 0.1, ended_at, outcome)
    kept = outcome is not NOT_KEPT
    writes = (("i", data),)
    return Operation((told,), writes, outcome, kept, False, session, "strict", "o")


def read(
    shown: str | None, sent_at: float, route: str = "strict", session: int = 2
) -> Operation:
    rows = () if shown is None else (shown,)
    told = step(f"r-{sent_at}", "READ i", sent_at, sent_at + 0.1, DONE, rows)
    return Operation((told,), (), DONE, False, False, session, route, "o")


def transaction(*requests: str, writes: tuple[tuple[str, str], ...] = ()) -> Operation:
    steps = tuple(step(request, "READ i", 1.0, 1.1) for request in requests)
    return Operation(steps, writes, NOT_KEPT, False, True, 1, "strict", "o")


def ran(
    request: str, text: str = "READ i", connection: int = 1, organisation: str = "o"
) -> Run:
    return Run("d", connection, organisation, request, text, (), 1.0)


def log(*data: str) -> list[Entry]:
    return [Entry(1, [("i", one)]) for one in data]


def promises(
    operations: list[Operation],
    *,
    kept: list[Entry] | None = None,
    lost: list[Entry] | None = None,
    runs: list[Run] | None = None,
    withdrawn: dict[str, float] | None = None,
    probes: dict[str, bool] | None = None,
    evacuations: tuple[Span, ...] = (),
    cold: tuple[Span, ...] = (),
    is_durable: bool = False,
) -> list[str]:
    observed = Observed(
        tuple(operations), withdrawn or {}, probes or {}, evacuations, cold
    )
    seen = Seen(kept or [], lost or [], runs or [], is_durable)
    found = judge(observed, seen)
    return [violation.promise for violation in found]


@pytest.mark.parametrize(
    ("operation", "kept", "lost", "expected"),
    [
        (write("a", 1.0), ["a"], [], []),
        (write("a", 1.0), [], ["a"], []),
        (write("a", 1.0), [], [], ["kept"]),
        (write("a", 1.0), ["a", "a"], [], ["at most once"]),
        (write("a", 1.0, UNKNOWN), [], [], []),
        (write("a", 1.0, UNKNOWN), ["a"], [], []),
        (write("a", 1.0, NOT_KEPT), [], [], []),
        (write("a", 1.0, NOT_KEPT), ["a"], [], ["not run is true"]),
        (transaction("b", writes=(("i", "a"),)), ["a"], [], ["not run is true"]),
    ],
)
def test_writes(
    operation: Operation, kept: list[str], lost: list[str], expected: list[str]
) -> None:
    found = promises([operation], kept=log(*kept), lost=log(*lost))
    assert found == expected


@pytest.mark.parametrize(
    ("outcome", "lost", "expected"),
    [
        (DONE, ["a"], ["kept"]),
        (DONE, ["b"], ["kept"]),
        (UNKNOWN, ["a"], []),
        (NOT_KEPT, ["a"], []),
    ],
)
def test_durable_writes_outlive_promotions(
    outcome: Outcome, lost: list[str], expected: list[str]
) -> None:
    operation = write("a", 1.0, outcome)
    assert promises([operation], lost=log(*lost), is_durable=True) == expected


@pytest.mark.parametrize(
    ("operation", "expected"),
    [
        (read("b", 3.0), []),
        (read("a", 3.0), ["fresh"]),
        (read(None, 3.0), ["fresh", "fresh"]),
        (read("a", 1.9), []),
        (read("a", 3.0, "aged"), []),
        (read("a", 3.6, "aged"), ["fresh"]),
        (read("a", 3.0, "own"), []),
        (read("a", 3.0, "own", session=1), ["fresh"]),
        (read("a", 4.6, "own"), ["fresh"]),
        (read("rolled", 9.0), []),
        (read("nothing", 3.0, "aged"), ["rows", "fresh"]),
    ],
)
def test_reads(operation: Operation, expected: list[str]) -> None:
    written = [write("a", 1.0), write("b", 2.0)]
    found = promises([*written, operation], kept=log("a", "b"), lost=log("rolled"))
    assert found == expected


@pytest.mark.parametrize(
    ("run", "expected"),
    [
        (ran("r-3.0"), []),
        (ran("unknown"), ["asked"]),
        (ran("r-3.0", "READ j"), ["asked"]),
        (ran("r-3.0", organisation="other"), ["asked"]),
        (ran("r-3.0")._replace(values=(("zone", "1"),)), ["values"]),
    ],
)
def test_runs(run: Run, expected: list[str]) -> None:
    assert promises([read(None, 3.0)], runs=[run]) == expected


@pytest.mark.parametrize(
    ("withdrawn_at", "expected"), [(-3.0, ["keys"]), (-1.9, []), (9.0, [])]
)
def test_withdrawn_keys(withdrawn_at: float, expected: list[str]) -> None:
    withdrawn = {"o": withdrawn_at}
    found = promises([read(None, 3.0)], runs=[ran("r-3.0")], withdrawn=withdrawn)
    assert found == expected


@pytest.mark.parametrize(
    ("runs", "expected"),
    [
        ([ran("a"), ran("b")], []),
        ([ran("a"), ran("b", connection=2)], ["pinned"]),
        ([ran("a"), ran("r-3.0"), ran("b")], ["pinned"]),
        ([ran("a"), ran("r-3.0", connection=2), ran("b")], []),
        ([ran("r-3.0"), ran("a"), ran("b")], []),
    ],
)
def test_transactions(runs: list[Run], expected: list[str]) -> None:
    assert promises([transaction("a", "b"), read(None, 3.0)], runs=runs) == expected


def test_an_instance_that_serves_nothing() -> None:
    assert promises([], probes={"n0": True, "n1": False}) == ["recovers"]


@pytest.mark.parametrize(
    ("database", "seconds_after", "expected"),
    [
        ("d", -0.1, []),
        ("d", 0.1, ["evacuated"]),
        ("other", 0.1, []),
        ("d", 5.1, []),
    ],
    ids=["within-the-bound", "after-it", "elsewhere", "taken-back"],
)
def test_evacuations(database: str, seconds_after: float, expected: list[str]) -> None:
    empty_at = 1.0 + EVACUATION_MS / 1000
    run = ran("r-3.0")._replace(database=database, at=empty_at + seconds_after)
    spans = (Span("d", 1.0, empty_at + 5.0),)
    assert promises([read(None, 3.0)], runs=[run], evacuations=spans) == expected


@pytest.mark.parametrize(
    ("count", "within_seconds", "expected"),
    [
        (MOST_COLD_RUNS, 0.5, []),
        (MOST_COLD_RUNS + 1, 0.5, ["cold"]),
        (MOST_COLD_RUNS + 1, 1.5, []),
    ],
)
def test_cold_databases(count: int, within_seconds: float, expected: list[str]) -> None:
    pause = within_seconds / (count - 1)
    runs = [ran("r-3.0")._replace(at=2.0 + number * pause) for number in range(count)]
    spans = (Span("d", 1.0, 9.0),)
    assert promises([read(None, 3.0)], runs=runs, cold=spans) == expected
