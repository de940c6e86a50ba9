from __future__ import annotations

import pytest

from ....types import DatabaseRole
from ..catalogue import Consistency, Database, NO_DECLARATIONS, Route
from ..homes import has_no_home, home_holders, Homes, homes_of

REGIONS = {"n1": "north", "n2": "north", "s1": "south"}


def make_database(name: str, domain: str, role: DatabaseRole) -> Database:
    return Database(name, "s", "", domain, 4, role, False, 0)


LEADER = make_database("p", "s1", DatabaseRole.PRIMARY)
REPLICA = make_database("r", "n1", DatabaseRole.REPLICA)
BOTH = {"p": LEADER, "r": REPLICA}


@pytest.mark.parametrize(
    ("route_homes", "organisation_homes", "included"),
    [
        ([], [], ["n1", "s1", "other"]),
        (["north"], [], ["n1"]),
        ([], ["south"], ["s1"]),
        (["north", "south"], ["south"], ["s1"]),
        (["north"], ["south"], []),
    ],
    ids=["anywhere", "route", "organisation", "both", "contradicting"],
)
def test_homes_of_route_and_organisation_both_bind(
    route_homes: list[str], organisation_homes: list[str], included: list[str]
) -> None:
    route = Route(
        "r", "s", Consistency.BOUNDED, 1, 1, 1, 0, True, homes=frozenset(route_homes)
    )
    declarations = NO_DECLARATIONS._replace(homes={"o": frozenset(organisation_homes)})
    homes = homes_of(declarations, route, "o", REGIONS)
    domains = ["n1", "s1", "other"]
    assert [domain for domain in domains if homes.includes(domain)] == included


@pytest.mark.parametrize(
    ("regions", "leader", "reads_replicas", "expected"),
    [
        (["north"], LEADER, False, True),
        (["north"], LEADER, True, False),
        (["south"], LEADER, False, False),
        (["north"], None, False, False),
        ([], LEADER, True, True),
        (None, LEADER, False, False),
    ],
)
def test_a_statement_without_a_database_at_home_is_known(
    regions: list[str] | None,
    leader: Database | None,
    reads_replicas: bool,
    expected: bool,
) -> None:
    # It would wait until its deadline; while a primary is looked for, it is worth it.
    homes = Homes(None if regions is None else frozenset(regions), REGIONS)
    found = has_no_home(BOTH, "s", leader, homes, reads_replicas=reads_replicas)
    assert found == expected


def test_the_body_goes_to_no_instance_outside_its_homes() -> None:
    domains = {"a": "s1", "b": "n1", "own": "s1", "c": "unknown"}
    homes = Homes(frozenset({"north"}), REGIONS)
    assert home_holders(["a", "b", "own", "c"], homes, domains, "own") == ["b", "own"]
