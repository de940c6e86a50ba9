from __future__ import annotations

from typing import Any

import pytest

from ....core.pooler import diverged_logs
from ....core.pooler.catalogue import Database
from ....core.pooler.floors import FloorProof, record_proof
from ....core.pooler.leadership import LeadershipRecord, RecordedLeader
from ....types import DatabaseRole, LogPoint, ReceivedPoint
from ....wire.pooling import ReachabilityResponse
from ...clock import now_seconds
from ..instance import Pooler
from .conftest import Fleet


def leave_only(
    pooler: Pooler, name: str, point: LogPoint, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Let a service look as if only one of its databases is reached."""

    def probe(database: Database, _timeout: float = 0.3) -> ReachabilityResponse:
        if database.id != name:
            return ReachabilityResponse(False, None)
        return ReachabilityResponse(True, ReceivedPoint(*point))

    monkeypatch.setattr(pooler.promotion_task.statuses, "probe_database", probe)


def promotions_of(fleet: Fleet, monkeypatch: pytest.MonkeyPatch) -> list[str]:
    asked: list[str] = []

    def promote(service: str, name: str) -> bool:
        asked.append(name)
        return True

    monkeypatch.setattr(fleet.store, "on_promotion", promote)
    return asked


@pytest.mark.parametrize(("wait_seconds", "expected"), [(10.0, []), (0.0, ["i-a"])])
def test_a_former_leader_is_not_promoted_while_its_successor_is_out_of_reach(
    fleet: Fleet,
    monkeypatch: pytest.MonkeyPatch,
    wait_seconds: float,
    expected: list[str],
) -> None:
    # Its commits that the first promotion had rolled back came back, and reads that had
    # been served meanwhile lacked them.
    monkeypatch.setattr(diverged_logs, "DIVERGED_LOG_WAIT_SECONDS", wait_seconds)
    pooler = fleet.instances[0]
    asked = promotions_of(fleet, monkeypatch)
    leave_only(pooler, "i-a", LogPoint(1, 75), monkeypatch)
    view = pooler.view
    for name, known in list(view.databases.items()):
        view.databases[name] = known._replace(role=DatabaseRole.REPLICA)
    recorded = RecordedLeader("n9", "i-b", ("i-a",), True)
    view.leadership["s"] = LeadershipRecord(recorded, 1, now_seconds(), 1)
    proof = FloorProof(now_seconds(), LogPoint(2, 77))
    record_proof(view.floors_of("s"), proof, now_seconds())
    pooler.promotion_task.promote_replica(
        "s", None, pooler.view.duty_revisions.get("s", 0)
    )
    assert asked == expected


@pytest.mark.parametrize("when", ["before", "while-it-is-recorded"])
def test_a_primary_that_returns_is_not_replaced(
    fleet: Fleet, monkeypatch: pytest.MonkeyPatch, when: str
) -> None:
    # Its announcement arrived while the promotion of another database was prepared.
    pooler = fleet.instances[0]
    asked = promotions_of(fleet, monkeypatch)
    leave_only(pooler, "i-b", LogPoint(1, 1), monkeypatch)
    primary = pooler.view.databases["i-a"]
    acquire = pooler.promotion_task.records.acquire_duty

    def acquire_late(*arguments: Any, basis: int) -> int | None:
        pooler.view.databases["i-a"] = primary
        return acquire(*arguments, basis=basis)

    if when != "before":
        away = primary._replace(role=DatabaseRole.REPLICA)
        pooler.view.databases["i-a"] = away
        monkeypatch.setattr(pooler.promotion_task.records, "acquire_duty", acquire_late)
    pooler.promotion_task.promote_replica(
        "s", None, pooler.view.duty_revisions.get("s", 0)
    )
    assert asked == []
    found = pooler.view.primary_of("s")
    assert found is not None
    assert found.id == "i-a"
