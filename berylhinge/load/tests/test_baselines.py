from __future__ import annotations

from pathlib import Path

import pytest

from ..baselines import fared, first_come, lease_gap_seconds, static_shares
from ..records import Allowance, Operation, Verdict
from ..scenario import decode_scenario, Kind

SCENARIO = Path(__file__).parents[1] / "scenarios" / "kattevakt-calm.json"
ALLOWANCES = {"o": Allowance(7.0, 14.0)}


def operation(sent: float, instance: int = 0, route: str = "rota-east") -> Operation:
    return Operation(
        0, "o", route, Kind.READ, "a", 0, sent, sent, sent, instance, Verdict.OK, "",
        200, 0, 1, True, "id", "",
    )  # fmt: skip


@pytest.mark.parametrize(
    ("instances", "wrongful"),
    [([0] * 10, 8), (list(range(7)), 0)],
    ids=["skew", "even"],
)
def test_static_shares_refuse_what_arrives_skewed(
    instances: list[int], wrongful: int
) -> None:
    sent = [operation(0.0, instance) for instance in instances]
    replayed = static_shares(sent, ALLOWANCES, 7)
    assert fared(replayed, ALLOWANCES, frozenset()).wrongful == wrongful


def test_first_come_refuses_what_a_full_queue_makes_late() -> None:
    scenario = decode_scenario(SCENARIO.read_bytes())
    size = scenario["fleet"]
    servers = size["slots"] * size["upstreams_per_group"]
    capacity = servers * scenario["timeout_seconds"] / size["statement_seconds"]
    sent = [operation(0.0) for _ in range(int(capacity) + 100)]
    replayed = first_come(sent, scenario, limited=True)
    refused = sum(one.verdict is Verdict.NOT_RUN for one in replayed)
    assert refused == pytest.approx(100, abs=servers)


def test_a_lease_gap_lies_between_the_last_renewals_and_the_store() -> None:
    assert 6.6 < lease_gap_seconds(seed=1) < 10.0
    assert lease_gap_seconds(seed=1, store_down_seconds=60.0) == 60.0
