from __future__ import annotations

import copy
import time

import pytest

from ....standins.metadata_store import wait_until
from .conftest import DECLARATIONS, Fleet
from .test_fleet import code


def declare_homes(fleet: Fleet, section: str, homes: list[str]) -> None:
    """Limit all routes or tenants to home regions, and wait until this is in force."""
    document = copy.deepcopy(DECLARATIONS)
    document["version"] = fleet.instances[0].view.declarations.version + 1
    for entry in document[section]:
        entry["home-regions"] = homes
    fleet.declare(document)
    wait_until(
        lambda: all(
            pooler.view.declarations.version == document["version"]
            for pooler in fleet.instances
        )
    )


@pytest.mark.parametrize("section", ["routes", "tenants"])
def test_statements_stay_in_their_home_regions(
    two_region_fleet: Fleet, section: str
) -> None:
    """Guards against statements that are retried or balanced out of their homes."""
    fleet = two_region_fleet
    primary = fleet.group.members[fleet.group.primary]
    away = {name for name, found in fleet.group.members.items() if found.zone != "x"}
    callers = [
        fleet.caller(name, instance=number)
        for name in ("strict", "aged", "own")
        for number in (0, 1)
    ]
    assert primary.zone == "x"
    declare_homes(fleet, section, ["north"])
    for number in range(10):
        assert code(callers[0].ask(f"WRITE item v{number}")) == ""
        for caller in callers:
            assert code(caller.ask("READ item")) == ""
    assert not away & {run.database for run in fleet.group.runs}
    declare_homes(fleet, section, ["south"])
    before = len(fleet.group.runs)
    for _ in range(10):
        assert code(callers[2].ask("READ item")) == ""
    runs = [run for run in fleet.group.runs[before:] if "READ" in run.text]
    assert len(runs) == 10
    assert {run.database for run in runs} <= away


def test_what_has_no_database_at_home_is_refused_at_once(
    two_region_fleet: Fleet,
) -> None:
    fleet = two_region_fleet
    writer, transaction = fleet.caller("strict"), fleet.caller("strict", instance=1)
    assert code(transaction.ask("BEGIN")) == ""
    assert code(transaction.ask("WRITE item lost")) == ""
    declare_homes(fleet, "routes", ["south"])
    before = len(fleet.group.runs)
    asked_at = time.monotonic()
    assert code(writer.ask("WRITE item away")) == "BUSY"
    assert time.monotonic() - asked_at < 0.5
    assert code(transaction.ask("WRITE item more")) == "ABORTED"
    assert [run.text for run in fleet.group.runs[before:] if "WRITE" in run.text] == []
    declare_homes(fleet, "routes", ["north"])
    assert code(writer.ask("WRITE item home")) == ""
    assert code(fleet.caller("aged").ask("READ item")) == ""
