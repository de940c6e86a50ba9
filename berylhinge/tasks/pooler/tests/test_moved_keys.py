from __future__ import annotations

from typing import Any

import gevent
import pytest

from ....standins.metadata_store import wait_until
from ....types import AccessMode
from .conftest import Caller, DECLARATIONS, Fleet
from .test_held_databases import execute_request

KEYS = {"big": ["k1"], "small": ["k2"]}
MOVED = {"big": [], "small": ["k2", "k1"]}


def declare_keys(fleet: Fleet, version: int, keys: dict[str, list[str]]) -> None:
    """Declare who holds each key; return once every instance knows it."""
    tenants = [
        {**tenant, "api-keys": keys[tenant["name"]], "rate-per-s": 500, "burst": 500}
        for tenant in DECLARATIONS["tenants"]
    ]
    limits: dict[str, Any] = {"tx-idle-ms": 3000}
    changed = {"version": version, "tenants": tenants, "limits": limits}
    fleet.declare({**DECLARATIONS, **changed})
    wait_until(
        lambda: all(
            pooler.view.declarations.version == version for pooler in fleet.instances
        )
    )


def start_transaction(fleet: Fleet, instance: int) -> Caller:
    declare_keys(fleet, 4, KEYS)
    caller = fleet.caller("strict", instance=instance)
    caller.ask("BEGIN")
    assert caller.ask("WRITE item first")[-1].startswith("READY T")
    return caller


def count_runs(fleet: Fleet, organisation: str) -> int:
    return sum(run.organisation == organisation for run in fleet.group.runs)


@pytest.mark.parametrize("instance", [0, 1])
@pytest.mark.parametrize(
    "text",
    ["READ item", "WRITE item second", "COMMIT"],
    ids=["read", "write", "commit"],
)
def test_an_open_transaction_ends_when_its_key_moves_to_another_organisation(
    fleet: Fleet, instance: int, text: str
) -> None:
    # Its statements and its commit went on for the organisation that had lost the key.
    caller = start_transaction(fleet, instance)
    declare_keys(fleet, 5, MOVED)
    runs = count_runs(fleet, "big")
    assert caller.ask(text)[0].startswith("ERROR ABORTED")
    if text != "COMMIT":
        assert caller.ask("ROLLBACK")[-1].startswith("READY I")
    assert not any(entry.writes for entry in fleet.group.log)
    # The next transaction is one of the new holder.
    for following in ("BEGIN", "WRITE item third", "COMMIT"):
        assert caller.ask(following)[0].startswith("COMPLETE")
    assert count_runs(fleet, "big") == runs
    assert count_runs(fleet, "small") == 2
    assert caller.ask("READ item")[0] == "ROW third"


@pytest.mark.parametrize("instance", [0, 1])
@pytest.mark.parametrize(
    "declared", [[KEYS], [MOVED, KEYS]], ids=["repeated", "moved-and-back"]
)
def test_a_transaction_goes_on_if_its_organisation_holds_the_key_at_its_statement(
    fleet: Fleet, instance: int, declared: list[dict[str, list[str]]]
) -> None:
    caller = start_transaction(fleet, instance)
    for version, keys in enumerate(declared, start=5):
        declare_keys(fleet, version, keys)
    assert caller.ask("COMMIT")[0].startswith("COMPLETE")
    assert count_runs(fleet, "small") == 0


def test_a_statement_that_waits_is_not_sent_after_its_key_moved(fleet: Fleet) -> None:
    # Each further attempt would run for the organisation that had lost the key.
    declare_keys(fleet, 4, KEYS)
    caller = fleet.caller("strict")
    caller.ask("WRITE item first")
    primary = fleet.group.members[fleet.group.primary]
    fleet.group.primary = ""
    fleet.announce()
    wait_until(
        lambda: all(pooler.view.primary_of("s") is None for pooler in fleet.instances)
    )
    caller.send("WRITE item second")
    gevent.sleep(0.1)
    declare_keys(fleet, 5, MOVED)
    assert caller.read_answer()[0].startswith("ERROR BUSY")
    fleet.group.primary = primary.id
    fleet.announce()
    assert count_runs(fleet, "big") == 1


def test_a_holder_gives_a_transaction_to_no_other_organisation(fleet: Fleet) -> None:
    # An instance that knows a newer configuration names another organisation.
    start_transaction(fleet, 0)
    task, key = next(
        (task, key)
        for pooler in fleet.instances
        for task in pooler.held_databases.tasks.values()
        for key in task.pinned_connections
    )
    request = execute_request("READ item", AccessMode.READ, transaction=key[1])
    request = request._replace(database=task.database.id, organisation="small")
    done = task.run_statement(key[0], request, 0.0)
    assert done.reason == "key-moved"
    assert done.result.transaction_ended
    assert count_runs(fleet, "small") == 0
    assert not task.pinned_connections
