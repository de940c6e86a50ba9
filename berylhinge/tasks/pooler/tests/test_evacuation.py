from __future__ import annotations

import time

import gevent
import pytest

from ....core.pooler.evacuation import Stage
from ....standins.metadata_store import wait_until
from .conftest import Caller, DECLARATIONS, Fleet
from .test_fleet import ask_until_done, code


def statements_at(fleet: Fleet, databases: set[str], after: int) -> list[str]:
    """Return the callers' statements that ran at databases after some others."""
    return [run.text for run in fleet.group.runs[after:] if run.database in databases]


def wait_for_stage(fleet: Fleet, zone: str, stage: Stage) -> None:
    wait_until(
        lambda: all(
            pooler.view.evacuations.stage_of_domain(zone) is stage
            for pooler in fleet.instances
        ),
        5.0,
    )


def test_an_evacuated_primary_moves_and_its_domain_gets_nothing_new(
    evacuating_fleet: Fleet,
) -> None:
    """Guards against callers cut off, and against work left in the domain."""
    fleet = evacuating_fleet
    former = fleet.group.members[fleet.group.primary]
    callers = [
        fleet.caller(name, instance=number)
        for name in ("strict", "aged", "own")
        for number in (0, 1)
    ]
    assert code(callers[0].ask("WRITE item before")) == ""
    ordered_at = time.monotonic()
    fleet.store.put(f"op/evacuate/{former.zone}", {})
    while time.monotonic() - ordered_at < 2.9:
        for caller in callers:
            assert code(ask_until_done(caller, "READ item", 1.0)) == ""
        assert code(ask_until_done(callers[0], "WRITE item during", 1.0)) == ""
        gevent.sleep(0.05)
    assert fleet.group.primary != former.id
    before = len(fleet.group.runs)
    for number in range(10):
        for caller in callers:
            assert code(caller.ask("READ item")) == ""
        assert code(callers[number % 2].ask(f"WRITE item v{number}")) == ""
    assert statements_at(fleet, {former.id}, before) == []
    fleet.store.delete(f"op/evacuate/{former.zone}")
    wait_for_stage(fleet, former.zone, Stage.RETURNING)
    wait_for_stage(fleet, former.zone, Stage.SERVING)


def test_without_a_successor_primary_work_is_refused_at_once(
    evacuating_fleet: Fleet,
) -> None:
    fleet = evacuating_fleet
    writer, holder_of_open = fleet.caller("strict"), fleet.caller("strict", instance=1)
    for zone in "xyz":
        fleet.store.put(f"op/evacuate/{zone}", b"null")
    wait_for_stage(fleet, "x", Stage.MOVING)
    # A transaction that is open goes on, but not past the bound.
    assert code(holder_of_open.ask("BEGIN")) == ""
    assert code(holder_of_open.ask("WRITE item lost")) == ""
    wait_for_stage(fleet, "z", Stage.EMPTY)
    before = len(fleet.group.runs)
    asked_at = time.monotonic()
    assert code(writer.ask("WRITE item x")) == "BUSY"
    assert time.monotonic() - asked_at < 0.5
    assert code(holder_of_open.ask("COMMIT")) == "ABORTED"
    assert statements_at(fleet, set(fleet.group.members), before) == []
    for zone in "xyz":
        fleet.store.delete(f"op/evacuate/{zone}")
    assert code(ask_until_done(writer, "WRITE item y", 3.0)) == ""


@pytest.mark.parametrize("is_history_lost", [False, True])
def test_an_instance_that_starts_during_an_evacuation_keeps_it(
    evacuating_fleet: Fleet, is_history_lost: bool
) -> None:
    """A stale first read may lack the order, which then counts from its writing on."""
    fleet = evacuating_fleet
    former = fleet.group.members[fleet.group.primary]
    fleet.store.hold_stale()
    fleet.store.put(f"op/evacuate/{former.zone}", {})
    wait_for_stage(fleet, former.zone, Stage.NO_NEW_WORK)
    if is_history_lost:
        fleet.store.forget_history()
    # Waits until the instance is confirmed, before which it serves nothing.
    started = fleet.add_instance()
    stage = started.view.evacuations.stage_of_domain(former.zone)
    assert stage >= Stage.NO_NEW_WORK
    before = len(fleet.group.runs)
    for name in ("strict", "aged", "own"):
        caller = Caller(started.settings.callers, name, "k1")
        assert code(ask_until_done(caller, "READ item", 2.0)) == ""
    assert statements_at(fleet, {former.id}, before) == []


def test_the_last_known_state_holds_while_the_store_is_away(
    evacuating_fleet: Fleet,
) -> None:
    fleet = evacuating_fleet
    replica = next(
        member for member in fleet.group.members.values() if not member.leads
    )
    fleet.store.put(f"op/evacuate/{replica.zone}", {})
    wait_for_stage(fleet, replica.zone, Stage.MOVING)
    fleet.store.down = True
    wait_for_stage(fleet, replica.zone, Stage.EMPTY)
    fleet.store.down = False
    gevent.sleep(0.5)
    view = fleet.instances[0].view
    assert view.evacuations.stage_of_domain(replica.zone) is Stage.EMPTY


def test_an_order_that_a_restored_copy_lacks_holds_until_it_is_written_again(
    evacuating_fleet: Fleet,
) -> None:
    fleet = evacuating_fleet
    replica = next(
        member for member in fleet.group.members.values() if not member.leads
    )
    copy = fleet.store.make_copy()
    fleet.store.put(f"op/evacuate/{replica.zone}", {})
    wait_for_stage(fleet, replica.zone, Stage.EMPTY)
    fleet.store.restore(copy)
    restored_at, stages = time.monotonic(), set()
    is_written = False
    while time.monotonic() - restored_at < 4.0:
        if not is_written and time.monotonic() - restored_at > 1.5:
            fleet.store.put(f"op/evacuate/{replica.zone}", {})
            is_written = True
        for pooler in fleet.instances:
            stages.add(pooler.view.evacuations.stage_of_domain(replica.zone))
        gevent.sleep(0.05)
    assert stages == {Stage.EMPTY}


@pytest.mark.parametrize("value", [b"\xff\xfe", b"[" * 200_000])
def test_the_value_of_an_order_does_not_matter(
    evacuating_fleet: Fleet, value: bytes
) -> None:
    """Guards against an order that is ignored since its value cannot be decoded."""
    evacuating_fleet.store.put("op/evacuate/y", value)
    wait_until(
        lambda: all(
            pooler.view.evacuations.stage_of_domain("y") is not Stage.SERVING
            for pooler in evacuating_fleet.instances
        )
    )


@pytest.mark.parametrize("key", ["op/evacuate/nowhere", "op/evacuate/"])
def test_a_bad_order_stops_nothing(evacuating_fleet: Fleet, key: str) -> None:
    fleet = evacuating_fleet
    fleet.store.put(key, b"{}")
    fleet.declare({**DECLARATIONS, "version": 12})
    wait_until(
        lambda: all(
            pooler.view.declarations.version == 12 for pooler in fleet.instances
        )
    )
    gevent.sleep(0.3)
    assert code(fleet.caller("strict").ask("WRITE item x")) == ""
    stage = fleet.instances[0].view.evacuations.stage_of_domain("y")
    assert stage is Stage.SERVING


def test_without_the_feature_an_order_has_no_effect(fleet: Fleet) -> None:
    primary = fleet.group.primary
    fleet.store.put("op/evacuate/x", {})
    gevent.sleep(0.5)
    assert code(fleet.caller("strict").ask("WRITE item x")) == ""
    assert fleet.group.primary == primary
    assert not fleet.instances[0].view.evacuations.orders


def test_a_failed_database_of_an_evacuated_domain_is_not_probed(
    evacuating_fleet: Fleet,
) -> None:
    # Status requests after a failure went on until the database answered.
    fleet = evacuating_fleet
    replica = next(
        member for member in fleet.group.members.values() if not member.leads
    )
    reader = fleet.caller("aged")
    for _ in range(4):
        assert code(reader.ask("READ item")) == ""
    fleet.store.put(f"op/evacuate/{replica.zone}", {})
    wait_for_stage(fleet, replica.zone, Stage.MOVING)
    tasks = [
        task
        for pooler in fleet.instances
        if (task := pooler.held_databases.ensure_task(replica.id)) is not None
    ]
    replica.crash()
    for task in tasks:
        task.pool.close_idle()
        task.probe.start()
    wait_until(lambda: any(task.tracker.has_failed for task in tasks))
    wait_for_stage(fleet, replica.zone, Stage.EMPTY)
    gevent.sleep(0.5)
    before = next(fleet.group.connections)
    replica.restart()
    gevent.sleep(0.5)
    assert next(fleet.group.connections) == before + 1
    fleet.store.delete(f"op/evacuate/{replica.zone}")
    wait_until(lambda: not any(task.tracker.has_failed for task in tasks), 6.0)
