from __future__ import annotations

import time

import gevent
import pytest

from ....core.pooler.slot_claims import OVER_SHARE, SlotRefusal
from ....types import AccessMode
from ....wire.pooling import ExecuteResponse
from .conftest import Fleet
from .test_held_databases import execute_request
from .test_log_lines import Entry, log_lines, schema_faults

__all__ = ["log_lines"]

READ = AccessMode.READ


@pytest.fixture
def fair_fleet(fleet: Fleet) -> Fleet:
    for instance in fleet.instances:
        instance.view.slot_sharing.is_agreed = True
        instance.held_databases.tasks.clear()
    return fleet


def test_more_callers_than_slots_are_served_or_refused_with_a_hint(
    log_lines: list[Entry], fair_fleet: Fleet
) -> None:
    """Guards against lost wake-ups between the queue and those that wait in it."""
    instance = fair_fleet.instances[0]
    request = execute_request("READ a", READ, begin="plain")
    found: list[ExecuteResponse] = []
    short = request._replace(give_up_seconds=0.001)
    jobs = [
        gevent.spawn(
            lambda each: found.append(
                instance.held_databases.run_statement("n1", each)
            ),
            short if number % 4 == 0 else request,
        )
        for number in range(60)
    ]
    gevent.joinall(jobs, timeout=5.0)
    assert len(found) == 60
    assert sum(not done.reason for done in found) >= 45
    refused = [done for done in found if done.reason]
    assert {done.reason for done in refused} <= {"no-room", "over-share", "late"}
    assert all(done.result.retry_after_seconds > 0.0 for done in refused)
    lines = [line for line in log_lines if "got no slot" in line["message_type"]]
    assert lines
    assert schema_faults(lines) == []
    slots = instance.held_databases.tasks["i-a"].slots
    assert slots.queue.running == 0
    assert not slots.slot_waiters
    instance.held_databases.update_gauges()
    text = instance.metrics.render()[0].decode()
    assert 'berylhinge_slot_waiting{database="i-a",priority="1"} 0' in text
    assert "berylhinge_slot_refusals_total" in text


def test_idle_transactions_are_bounded(fair_fleet: Fleet) -> None:
    """Guards against one organisation's idle callers taking all connections."""
    instance = fair_fleet.instances[0]
    begin = execute_request("READ a", READ, begin="plain")
    reasons = []
    for number in range(1, 60):
        begin = begin._replace(transaction=number)
        done = instance.held_databases.run_statement("n1", begin)
        reasons.append(done.reason)
    task = instance.held_databases.tasks["i-a"]
    limit = task.pool.connection_limit
    assert reasons.index("transactions-full") == max(1, limit // 4)
    assert len(task.pinned_connections) == max(1, limit // 4)
    assert not task.slots.queue.running


def test_transactions_that_begin_together_are_bounded(fair_fleet: Fleet) -> None:
    # Each was checked on arrival, when none of the others had begun its transaction.
    instance = fair_fleet.instances[0]
    begin = execute_request("READ a", READ, begin="plain")
    jobs = [
        gevent.spawn(
            instance.held_databases.run_statement,
            "n1",
            begin._replace(transaction=number),
        )
        for number in range(1, 60)
    ]
    gevent.joinall(jobs, timeout=5.0)
    task = instance.held_databases.tasks["i-a"]
    most = max(1, task.pool.connection_limit // 4)
    assert len(task.pinned_connections) == most
    assert sum(job.value.reason == "transactions-full" for job in jobs) == 59 - most
    assert not task.opening


def test_a_refusal_for_room_is_not_held_back_by_a_database_out_of_reach(
    fair_fleet: Fleet, monkeypatch: pytest.MonkeyPatch
) -> None:
    # The last attempt's reason made the statement wait for its deadline.
    caller = fair_fleet.caller("aged")
    caller.ask("READ a")
    refusal = SlotRefusal(OVER_SHARE, "no room", 0.2)
    answers: list[SlotRefusal | None] = [refusal]
    for instance in fair_fleet.instances:
        for database in ("i-a", "i-b", "i-c"):
            task = instance.held_databases.ensure_task(database)
            assert task is not None
            monkeypatch.setattr(
                task.slots,
                "wait_for_slot",
                lambda *_: answers.pop() if answers else None,
            )
    asked_at = time.monotonic()
    answer = caller.ask("READ a")
    assert answer[0].startswith("ERROR BUSY"), answer
    assert "retry after 200 ms" in answer[0]
    assert time.monotonic() - asked_at < 0.5


@pytest.mark.parametrize(
    ("route", "text", "most_attempts"),
    [("strict", "WRITE a 1", 1), ("strict", "READ a", 1), ("aged", "READ a", 3)],
)
def test_a_refusal_for_lack_of_room_is_returned_at_once(
    fair_fleet: Fleet,
    monkeypatch: pytest.MonkeyPatch,
    route: str,
    text: str,
    most_attempts: int,
) -> None:
    """Guards against a refusal that is retried until the caller's deadline."""
    refusal = SlotRefusal(OVER_SHARE, "no room", 0.2)
    caller = fair_fleet.caller(route)
    caller.ask(text)
    attempts: list[str] = []
    for instance in fair_fleet.instances:
        for database in ("i-a", "i-b", "i-c"):
            task = instance.held_databases.ensure_task(database)
            assert task is not None

            def refuse(*_: object, database: str = database) -> SlotRefusal:
                attempts.append(database)
                return refusal

            monkeypatch.setattr(task.slots, "wait_for_slot", refuse)
    answer = caller.ask(text)
    assert answer[0].startswith("ERROR BUSY"), answer
    assert "retry after 200 ms" in answer[0]
    assert len(set(attempts)) == len(attempts)
    assert 1 <= len(attempts) <= most_attempts
