from __future__ import annotations

from typing import Any

import gevent
import pytest

from ....core.pooler.statements import Effect, ErrorCode
from ....types import AccessMode, LogPoint
from ....wire.pooling import DatabaseStatesRequest, ExecuteRequest
from ...clock import now_seconds
from ..fleet_view import PEER_FAILOVER_SECONDS
from .conftest import Fleet

READ, WRITE = AccessMode.READ, AccessMode.WRITE


def execute_request(
    text: str, access: AccessMode, *, transaction: int = 0, begin: str = ""
) -> ExecuteRequest:
    return ExecuteRequest(
        database="i-a",
        organisation="big",
        request="q",
        text=text,
        access=access,
        after=None,
        transaction=transaction,
        begin_mode=begin,
        is_commit=text == "COMMIT",
        values={},
        prepared={},
        priority=1,
        latency_goal_seconds=1.0,
        give_up_seconds=1.0,
        idle_seconds=1.0,
    )


@pytest.mark.parametrize(
    ("late", "runs"),
    [
        (execute_request("READ a", READ, begin="plain"), False),
        (execute_request("READ a", READ, transaction=5, begin="plain"), False),
        (execute_request("WRITE a 1", WRITE, transaction=5, begin="plain"), False),
        (execute_request("WRITE a 1", WRITE), True),
    ],
)
@pytest.mark.parametrize("timing", ["in transit", "stalled", "resumed"])
def test_a_late_statement_runs_only_if_it_commits_by_itself(
    fleet: Fleet, late: ExecuteRequest, runs: bool, timing: str
) -> None:
    instance = fleet.instances[0]
    delay = {"in transit": PEER_FAILOVER_SECONDS, "stalled": 0.0, "resumed": 0.02}[
        timing
    ]
    if timing != "in transit":
        instance.view.last_tick_at = now_seconds() - PEER_FAILOVER_SECONDS
    if timing == "resumed":
        # Sent just before the process resumed, and read just after.
        instance.view.record_tick()
    done = instance.held_databases.run_statement("n1", late, delay)
    assert (done.result.effect is Effect.DONE) is runs
    assert (done.reason == "late") is not runs
    assert bool(fleet.group.runs) is runs


def test_a_late_statement_ends_its_transaction(fleet: Fleet) -> None:
    holding = fleet.instances[0].held_databases
    first = execute_request("WRITE a 1", WRITE, transaction=5, begin="plain")
    assert holding.run_statement("n1", first).result.effect is Effect.DONE
    done = holding.run_statement(
        "n1", execute_request("WRITE a 2", WRITE, transaction=5), PEER_FAILOVER_SECONDS
    )
    assert done.result.code is ErrorCode.ABORTED
    commit = holding.run_statement(
        "n1", execute_request("COMMIT", WRITE, transaction=5)
    )
    assert commit.result.effect is Effect.NONE
    assert fleet.group.log == []


def test_a_stall_inside_a_transaction_closes_its_connection(fleet: Fleet) -> None:
    instance = fleet.instances[0]
    first = execute_request("WRITE a 1", WRITE, transaction=5, begin="plain")
    instance.held_databases.run_statement("n1", first)
    instance.view.last_tick_at = now_seconds() - PEER_FAILOVER_SECONDS
    done = instance.held_databases.run_statement(
        "n1", execute_request("READ a", READ, transaction=5)
    )
    assert done.reason == "late"
    task = instance.held_databases.tasks["i-a"]
    assert not task.pinned_connections
    assert not task.pool.idle


@pytest.mark.parametrize("stalled", [False, True])
def test_an_instance_that_stalled_suspects_no_peer(fleet: Fleet, stalled: bool) -> None:
    first, second = fleet.instances
    assert second.links is not None and second.links.reader is not None
    second.links.reader.kill()
    name = second.settings.instance
    if stalled:
        gevent.spawn_later(
            0.1, lambda: setattr(first.view, "resumed_at", now_seconds())
        )
    first.peer_monitor.spawn_probe(name).join()
    assert first.view.is_suspect(name) is not stalled


def test_a_stall_between_begin_and_the_first_statement(
    fleet: Fleet, monkeypatch: pytest.MonkeyPatch
) -> None:
    instance = fleet.instances[0]
    task = instance.held_databases.ensure_task("i-a")
    assert task is not None
    begin = task.begin_transaction

    def begin_and_stall(*arguments: Any) -> None:
        begin(*arguments)
        instance.view.last_tick_at = now_seconds() - PEER_FAILOVER_SECONDS

    monkeypatch.setattr(task, "begin_transaction", begin_and_stall)
    first = execute_request("WRITE a 1", WRITE, transaction=5, begin="plain")
    assert instance.held_databases.run_statement("n1", first).reason == "late"
    assert fleet.group.runs == []
    assert not task.pool.idle


def test_a_former_holder_does_not_take_its_last_sight_for_the_present(
    fleet: Fleet,
) -> None:
    # After a partition every instance had been the holder of many databases. Each kept
    # what it had last seen of their replicas, reported it as new, and sent no reads there.
    replica = fleet.instances[0].view.databases["i-b"]
    name = fleet.instances[0].view.holders(replica)[0]
    former = next(found for found in fleet.instances if found.settings.instance != name)
    task = former.held_databases.ensure_task("i-b")
    assert task is not None
    task.tracker.point = LogPoint(1, 1)
    former.view.record_observation(
        replica,
        LogPoint(1, 9),
        wait_seconds=0.0,
        leadership_proof=None,
        asked_at=now_seconds(),
    )
    former.held_databases.tend()
    assert former.view.observations["i-b"].point == LogPoint(1, 9)
    report = former.held_databases.report_databases("n", DatabaseStatesRequest())
    points = {state.database: state.point for state in report.states}
    assert points.get("i-b", LogPoint(1, 9)) == LogPoint(1, 9)


def test_an_instance_that_is_taken_for_the_holder_looks_at_the_database(
    fleet: Fleet,
) -> None:
    # Behind a partition peers passed over a holder that this instance still took for
    # reachable. Nobody looked at the replica, so its position was not known to anyone.
    fleet.caller("strict").ask("WRITE item v1")
    replica = fleet.instances[0].view.databases["i-b"]
    name = fleet.instances[0].view.holders(replica)[0]
    asked = next(found for found in fleet.instances if found.settings.instance != name)
    request = DatabaseStatesRequest(("s",), ("i-b",))
    holding = asked.held_databases
    until = now_seconds() + 3.0
    points: dict[str, LogPoint | None] = {}
    while points.get("i-b") != LogPoint(1, 1) and now_seconds() < until:
        states = holding.report_databases("n", request).states
        points = {state.database: state.point for state in states}
        gevent.sleep(0.1)
    assert points["i-b"] == LogPoint(1, 1)
    assert holding.tasks["i-b"].tracker.answer_age_seconds < 1.0
