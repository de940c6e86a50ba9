from __future__ import annotations

from collections.abc import Sequence

import pytest

from ..history import Span
from ..schedule import (
    Fault,
    ON_DATABASES,
    ON_FEATURES,
    ON_INSTANCES,
    ON_STORE,
    plan,
    QUIET_SECONDS,
    shrink,
    undisturbed_span,
)

INSTANCES, DATABASES = ("n0", "n1"), ("d0", "d1")


def planned(seed: int, *, has_features: bool = False) -> list[Fault]:
    return plan(
        seed,
        seconds=30.0,
        instances=INSTANCES,
        databases=DATABASES,
        has_features=has_features,
    )


def test_a_seed_is_its_faults() -> None:
    assert planned(3) == planned(3)
    assert planned(3) != planned(4)


@pytest.mark.parametrize("seed", range(20))
def test_faults_lie_within_the_run(seed: int) -> None:
    faults = planned(seed)
    assert faults
    assert all(QUIET_SECONDS <= fault.at <= fault.ends_at <= 30.0 for fault in faults)
    assert [fault.at for fault in faults] == sorted(fault.at for fault in faults)


@pytest.mark.parametrize(("has_features", "more"), [(False, ()), (True, ON_FEATURES)])
def test_every_kind_comes(has_features: bool, more: tuple[str, ...]) -> None:
    drawn = [planned(seed, has_features=has_features) for seed in range(40)]
    kinds = {fault.kind for faults in drawn for fault in faults}
    assert kinds == {*ON_INSTANCES, *ON_DATABASES, *ON_STORE, *more}


def test_some_faults_overlap() -> None:
    one = planned(1)
    pairs = zip(one, one[1:], strict=False)
    assert any(first.ends_at > second.at for first, second in pairs)


@pytest.mark.parametrize("needed", [[0], [3, 9], [2, 3, 4], [11]])
def test_shrinking_leaves_what_is_needed(needed: list[int]) -> None:
    faults = [Fault("kill", f"n{number}", float(number), 1.0) for number in range(12)]
    wanted = [faults[number] for number in needed]

    def fails(part: Sequence[Fault]) -> bool:
        return all(fault in part for fault in wanted)

    assert shrink(faults, fails) == wanted


@pytest.mark.parametrize(
    ("fault", "expected"),
    [
        (Fault("pause", "n0", 5.0, 1.0), Span("d", 102.0, 105.0)),
        (Fault("down", "store", 0.0, 0.5), None),
        (Fault("down", "store", -2.0, 1.0), Span("d", 102.0, 109.0)),
        (Fault("kill", "n0", 5.0, 1.0), Span("d", 102.0, 109.0)),
    ],
    ids=["harmed-meanwhile", "not-caught-up", "caught-up", "in-touch"],
)
def test_a_span_lasts_while_instances_are_in_touch(
    fault: Fault, expected: Span | None
) -> None:
    assert undisturbed_span(Span("d", 102.0, 109.0), [fault], 100.0) == expected
