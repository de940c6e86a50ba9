from __future__ import annotations

from types import SimpleNamespace
from typing import Any

import gevent
import pytest

from ....core.pooler.catalogue import Database
from ....core.pooler.database_selection import UNOBSERVED
from ....core.pooler.floors import FloorProof, record_proof
from ....standins.metadata_store import wait_until
from ....types import DatabaseRole, LogPoint
from ....wire.pooling import LeadershipProof
from ...clock import now_seconds
from .. import service_states
from ..fleet_view import FleetView
from ..instance import Pooler
from ..peers import PeerMonitor
from .conftest import Fleet


def instance_without_databases(fleet: Fleet) -> Pooler:
    """Return an instance that holds no database and has to ask for their states."""
    holders = {
        fleet.instances[0].view.holders(database)[0]
        for database in fleet.instances[0].view.databases.values()
    }
    while all(found.settings.instance in holders for found in fleet.instances):
        fleet.add_instance()
        wait_until(
            lambda: all(
                len(found.view.members) == len(fleet.instances)
                for found in fleet.instances
            )
        )
        holders = {
            fleet.instances[0].view.holders(database)[0]
            for database in fleet.instances[0].view.databases.values()
        }
    return next(
        found for found in fleet.instances if found.settings.instance not in holders
    )


@pytest.mark.parametrize("min_relayed", [24, 2], ids=["holders", "relay"])
def test_replicas_are_asked_about_while_the_primary_answers(
    fleet: Fleet, monkeypatch: pytest.MonkeyPatch, min_relayed: int
) -> None:
    # The primary served all reads, and its answers were news enough not to ask anybody.
    # So nothing told that the replicas had caught up, until the instance was restarted.
    monkeypatch.setattr(service_states, "MIN_RELAYED_INSTANCES", min_relayed)
    instance = instance_without_databases(fleet)
    view = instance.view
    fleet.caller("strict").ask("WRITE item v1")
    primary = view.databases[fleet.group.primary]
    replicas = [found for found in view.databases if found != primary.id]
    for name in replicas:
        view.observations.pop(name, None)
    until = now_seconds() + 4.0
    while now_seconds() < until and not all(
        name in view.observations and view.observations[name].point is not None
        for name in replicas
    ):
        view.read_demand.expect("s")
        view.record_observation(
            primary,
            LogPoint(1, 1),
            wait_seconds=0.0,
            leadership_proof=LeadershipProof(LogPoint(1, 1), 0.0),
            asked_at=now_seconds(),
        )
        gevent.sleep(0.05)
    assert {view.observations[name].point for name in replicas} == {LogPoint(1, 1)}


@pytest.mark.parametrize(
    ("position", "observed", "asked", "expected"),
    [
        (9, 0.9, 9.0, False),
        (9, 1.1, 9.0, True),
        (9, 1.1, 0.9, False),
        (1, 0.2, 9.0, False),
        (1, 0.4, 9.0, True),
        (1, 0.4, 0.2, False),
    ],
    ids=["new", "old", "asked", "behind", "behind-old", "behind-asked"],
)
def test_a_replica_that_was_behind_is_asked_about_sooner(
    position: int, observed: float, asked: float, expected: bool
) -> None:
    # After a lag had ended, four instances in a row each waited a second to ask.
    links: Any = SimpleNamespace(register_call=lambda *_: None)
    log: Any = None
    view = FleetView("n0", "x", trust_seconds=4.5, leaving_seconds=7.0)
    monitor = PeerMonitor(view, links, log)
    view.read_demand.expect("s")
    now = now_seconds()
    replica = Database("r", "s", "", "x", 2, DatabaseRole.REPLICA, False, 0)
    view.databases["r"] = replica
    for age, reached in ((3.0, 1), (1.2, 9)):
        proof = FloorProof(now - age, LogPoint(1, reached))
        record_proof(view.floors_of("s"), proof, now)
    view.observations["r"] = UNOBSERVED._replace(
        point=LogPoint(1, position), observed_at=now - observed
    )
    assert monitor.misses_replicas("s", now - asked, now) == expected
