from __future__ import annotations

import random
from pathlib import Path

import pytest

from ..scenario import decode_scenario, Scenario
from ..schedule import arrivals, BATCH_SECONDS, plan

SCENARIOS = Path(__file__).parents[1] / "scenarios"


def scenario(name: str) -> Scenario:
    return decode_scenario((SCENARIOS / f"{name}.json").read_bytes())


def test_plan_repeats_by_seed_and_is_ordered() -> None:
    first = plan(scenario("kattevakt-calm"))
    assert first == plan(scenario("kattevakt-calm"))
    assert first != plan(scenario("kattevakt-calm") | {"seed": 99})
    assert [send.at for send in first] == sorted(send.at for send in first)
    assert [send.index for send in first] == list(range(len(first)))


@pytest.mark.parametrize("name", ["kattevakt-calm", "agency-noisy-organisation"])
def test_plan_offers_the_declared_rates(name: str) -> None:
    one = scenario(name) | {"seconds": 200}
    sends = plan(one)
    for entry in one["organisations"]:
        surged = sum(
            (surge["factor"] - 1) * (surge["to_seconds"] - surge["from_seconds"])
            for surge in entry.get("surges", [])
        )
        expected = entry["offered_per_second"] * (200 + surged)
        count = sum(send.organisation == entry["organisation"] for send in sends)
        assert abs(count - expected) < 5 * expected**0.5 + 2


def test_skew_sends_to_the_first_instance() -> None:
    one = scenario("kattevakt-calm")
    skewed = one["organisations"][1]["organisation"]
    sends = [send for send in plan(one) if send.organisation == skewed]
    share = sum(send.roam < 0 for send in sends) / len(sends)
    assert 0.4 < share < 0.6


@pytest.mark.parametrize(
    ("shape", "step"), [("uniform", 0.1), ("batches", BATCH_SECONDS)]
)
def test_shapes(shape: str, step: float) -> None:
    entry = scenario("kattevakt-calm")["organisations"][0] | {
        "shape": shape,
        "offered_per_second": 10.0,
    }
    times = list(arrivals(entry, 10.0, random.Random(1)))
    assert 99 <= len(times) <= 100
    assert all(abs(at / step - round(at / step)) < 1e-6 for at in times)
