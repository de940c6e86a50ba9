"""Guard against weak instances that hold databases while strong ones hold none."""

from __future__ import annotations

from collections import Counter
from random import Random

import pytest

from ....types import DatabaseRole
from ...rendezvous import rank_nodes
from ..assignment import InstanceAssignment
from ..catalogue import Database
from ..placement import instance_weight, place_databases, placement_key

DOMAIN = {f"n{number}": "x" for number in range(14)}
# Two strong instances and twelve weak ones, as in a fleet of mixed machines.
MIXED = {name: 2.15 if name in ("n0", "n1") else 0.5 for name in DOMAIN}


def rank_all(databases: list[str], weights: dict[str, float]) -> dict[str, list[str]]:
    return {
        name: rank_nodes(weights, placement_key(name), weights=weights)
        for name in databases
    }


def database(name: str) -> Database:
    return Database(name, "s", "10.0.0.1:1", "x", 2, DatabaseRole.REPLICA, False, 0)


@pytest.mark.parametrize(
    ("cores", "mbps", "expected"),
    [(2.15, 100.0, 2.15), (0.516, 10.0, 0.5), (1.07, 1000.0, 1.07), (2.0, 5.0, 0.25)],
)
def test_the_scarcer_of_processor_and_link_limits_an_instance(
    cores: float, mbps: float, expected: float
) -> None:
    assert instance_weight(cores, mbps) == expected


@pytest.mark.parametrize("seed", range(20))
def test_no_instance_holds_several_databases_beyond_its_share(seed: int) -> None:
    databases = [f"d{seed}-{number}" for number in range(4)]
    placed = place_databases(rank_all(databases, MIXED), MIXED)
    counts = Counter(placed.values())
    assert sorted(placed) == databases
    assert all(count <= (3 if MIXED[name] > 1 else 1) for name, count in counts.items())


def test_databases_follow_capacity() -> None:
    counts: Counter[str] = Counter()
    for seed in range(200):
        databases = [f"d{seed}-{number}" for number in range(4)]
        counts.update(place_databases(rank_all(databases, MIXED), MIXED).values())
    strong = counts["n0"] + counts["n1"]
    share = 2 * 2.15 / sum(MIXED.values())
    assert abs(strong / 800 - share) < 0.06


@pytest.mark.parametrize("seed", range(20))
def test_the_order_of_offers_does_not_matter(seed: int) -> None:
    rng = Random(seed)
    databases = [f"d{number}" for number in range(9)]
    rankings = rank_all(databases, MIXED)
    shuffled = dict(rng.sample(list(rankings.items()), len(rankings)))
    assert place_databases(rankings, MIXED) == place_databases(shuffled, MIXED)


@pytest.mark.parametrize("lost", sorted(DOMAIN))
def test_the_loss_of_an_instance_moves_few_databases(lost: str) -> None:
    databases = [f"d{number}" for number in range(9)]
    before = place_databases(rank_all(databases, MIXED), MIXED)
    rest = {name: weight for name, weight in MIXED.items() if name != lost}
    after = place_databases(rank_all(databases, rest), rest)
    moved = [name for name in databases if before[name] != after[name]]
    was_held = [name for name in databases if before[name] == lost]
    assert set(was_held) <= set(moved)
    assert len(moved) <= len(was_held) + 2


@pytest.mark.parametrize("weight", [0.25, 1.0, 2.15])
def test_equal_instances_keep_the_order_without_weights(weight: float) -> None:
    plain, weighted = InstanceAssignment(), InstanceAssignment()
    plain.set_instances(DOMAIN, DOMAIN)
    databases = [database(f"d{number}") for number in range(9)]
    weighted.set_instances(
        DOMAIN, DOMAIN, weights=dict.fromkeys(DOMAIN, weight), databases=databases
    )
    for entry in databases:
        assert weighted.holders(entry) == plain.holders(entry)
    assert weighted.rate_owner("o") == plain.rate_owner("o")


def test_views_that_differ_name_every_usable_instance() -> None:
    assignment = InstanceAssignment()
    databases = [database(f"d{number}") for number in range(4)]
    usable = {name: "x" for name in DOMAIN if name != "n3"}
    assignment.set_instances(DOMAIN, usable, weights=MIXED, databases=databases[:2])
    for entry in databases:
        assert sorted(assignment.holders(entry)) == sorted(usable)


def test_a_changed_weight_ranks_anew() -> None:
    changed, fresh = InstanceAssignment(), InstanceAssignment()
    databases = [database(f"d{number}") for number in range(4)]
    changed.set_instances(DOMAIN, DOMAIN, weights=MIXED, databases=databases)
    _ = [changed.rate_owner(f"o{number}") for number in range(40)]
    heavier = {**MIXED, "n5": 2.15}
    for entry in (changed, fresh):
        entry.set_instances(DOMAIN, DOMAIN, weights=heavier, databases=databases)
    for number in range(40):
        assert changed.rate_owner(f"o{number}") == fresh.rate_owner(f"o{number}")
