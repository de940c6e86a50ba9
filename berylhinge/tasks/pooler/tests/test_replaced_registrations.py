from __future__ import annotations

from typing import Any

import msgspec
import pytest

from ....standins.metadata_store import wait_until
from ..registrations import Registration
from ..store_state import INSTANCES_PREFIX
from .conftest import Fleet


def known_incarnations(fleet: Fleet, name: str) -> list[int]:
    """Return the incarnation of an instance as every instance knows it."""
    return [pooler.view.members[name].incarnation for pooler in fleet.instances]


@pytest.mark.parametrize(
    "changes",
    [
        {"incarnation": 0},
        {"incarnation": 1},
        {"incarnation": 0, "leaving": True},
        {"incarnation": 0, "weight": 3.0},
    ],
    ids=["first-write", "former-process", "leaving", "other-capacity"],
)
def test_a_registration_that_is_carried_out_late_does_not_last(
    fleet: Fleet, changes: dict[str, Any]
) -> None:
    # Peers sent to a process that did not exist, so that each side counted rates alone.
    pooler = fleet.instances[1]
    name, incarnation = pooler.view.own_instance, pooler.registry.applier.incarnation
    key = INSTANCES_PREFIX + name
    assert known_incarnations(fleet, name) == [incarnation] * 2
    former = msgspec.convert(fleet.store.read(key), Registration)
    late = former._replace(**changes)
    fleet.store.put(key, late, lease=fleet.store.items[key]["lease"])
    revision = fleet.store.items[key]["revision"]
    wait_until(lambda: fleet.store.items[key]["revision"] > revision)
    wait_until(lambda: known_incarnations(fleet, name) == [incarnation] * 2)
    member = fleet.instances[0].view.members[name]
    assert not member.leaving
    assert member.weight == pooler.view.weight
    caller = fleet.caller("strict", instance=1)
    assert caller.ask("WRITE item x")[0].startswith("COMPLETE")


def test_the_own_registration_is_not_written_again(fleet: Fleet) -> None:
    pooler = fleet.instances[1]
    pooler.registry.registration.check_own_entry()
    assert not pooler.registry.registration.renewal_requested.is_set()
    pooler.registry.registration.announce_leaving()
    name = pooler.view.own_instance
    wait_until(lambda: fleet.instances[0].view.members[name].leaving)
    wait_until(lambda: pooler.view.members[name].leaving)
    assert not pooler.registry.registration.is_replaced()
