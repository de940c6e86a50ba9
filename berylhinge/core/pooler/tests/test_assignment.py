from __future__ import annotations

from random import Random

import pytest

from ....types import DatabaseRole
from ...rendezvous import rank_nodes
from ..assignment import CONFIRMER_KEY, InstanceAssignment
from ..catalogue import Database

FAILURE_DOMAINS = {f"n{number}": "xyz"[number % 3] for number in range(30)}


def database(name: str, failure_domain: str) -> Database:
    return Database(
        name, "s", "10.0.0.1:1", failure_domain, 2, DatabaseRole.REPLICA, False, 0
    )


def new_assignment(registered: list[str], usable: dict[str, str]) -> InstanceAssignment:
    found = InstanceAssignment()
    found.set_instances(registered, usable)
    return found


def test_instances_in_a_databases_failure_domain_hold_it_first() -> None:
    found = new_assignment(list(FAILURE_DOMAINS), FAILURE_DOMAINS).holders(
        database("d", "y")
    )
    assert {FAILURE_DOMAINS[name] for name in found[:10]} == {"y"}
    assert sorted(found) == sorted(FAILURE_DOMAINS)


@pytest.mark.parametrize("seed", range(5))
def test_successive_changes_give_the_same_result_as_a_new_assignment(seed: int) -> None:
    rng = Random(seed)
    changed = InstanceAssignment()
    databases = [database(f"d{number}", "xyz"[number % 3]) for number in range(4)]
    registered: set[str] = set()
    for _ in range(40):
        name = rng.choice(list(FAILURE_DOMAINS))
        registered ^= {name}
        usable = {
            name: FAILURE_DOMAINS[name]
            for name in registered | {"n0"}
            if name == "n0" or rng.random() < 0.8
        }
        changed.set_instances(registered, usable)
        fresh = new_assignment(sorted(registered), usable)
        for entry in databases:
            assert changed.holders(entry) == fresh.holders(entry)
        assert changed.rate_owner("o") == rank_nodes(usable, "rate/o")[0]
        assert changed.confirmer() == rank_nodes(usable, CONFIRMER_KEY)[0]


def test_an_unusable_instance_regains_its_rank_when_usable_again() -> None:
    found = new_assignment(list(FAILURE_DOMAINS), FAILURE_DOMAINS)
    entry = database("d", "x")
    first, second, *_ = found.holders(entry)
    rest = {
        name: failure_domain
        for name, failure_domain in FAILURE_DOMAINS.items()
        if name != first
    }
    found.set_instances(FAILURE_DOMAINS, rest)
    assert found.holders(entry)[0] == second
    found.set_instances(FAILURE_DOMAINS, FAILURE_DOMAINS)
    assert found.holders(entry)[0] == first


def test_holders_follow_a_change_of_the_databases_failure_domain() -> None:
    found = new_assignment(list(FAILURE_DOMAINS), FAILURE_DOMAINS)
    assert FAILURE_DOMAINS[found.holders(database("d", "x"))[0]] == "x"
    assert FAILURE_DOMAINS[found.holders(database("d", "y"))[0]] == "y"


def test_the_only_instance_holds_and_counts_everything() -> None:
    found = new_assignment([], {"me": "x"})
    assert found.holders(database("d", "y")) == ["me"]
    assert found.rate_owner("o") == found.confirmer() == "me"


def test_instances_agree_on_the_rate_owner() -> None:
    names = ["a", "b", "c"]
    one = new_assignment(names, dict.fromkeys(names, "x"))
    other = new_assignment(names[::-1], dict.fromkeys(names[::-1], "x"))
    assert one.rate_owner("o") == other.rate_owner("o")


def test_holders_do_not_depend_on_the_order_of_instances() -> None:
    failure_domains = {"a": "x", "b": "y", "c": "x", "d": "z"}
    order = new_assignment([], failure_domains).holders(database("p", "x"))
    assert set(order[:2]) == {"a", "c"}
    reordered = dict(reversed(failure_domains.items()))
    assert order == new_assignment([], reordered).holders(database("p", "x"))


def test_loss_of_an_instance_moves_only_databases_that_it_held() -> None:
    before, after = (
        new_assignment([], dict.fromkeys(names, "x")) for names in ("abcde", "bcde")
    )
    for number in range(40):
        entry = database(str(number), "x")
        first = before.holders(entry)[0]
        assert first == "a" or after.holders(entry)[0] == first
