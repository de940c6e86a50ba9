from __future__ import annotations

from random import Random
from typing import Any

import pytest

from ....core.pooler.catalogue import Consistency, Database
from ....core.pooler.database_load import BelievedLoad, DatabaseLoad
from ....core.pooler.database_selection import DatabaseObservation, ReadRequirement
from ....platform.terms import Features, NO_FEATURES
from ....standins.metadata_store import wait_until
from ....types import DatabaseRole, LogPoint
from ....wire.pooling import DatabaseState
from ...clock import now_seconds
from ...metrics import Metrics
from ..fleet_view import FleetView
from ..router import Router
from .conftest import Fleet

BALANCING = Features(balances_reads=True)
NEVER = float("-inf")
NEED = ReadRequirement(Consistency.BOUNDED, LogPoint(1, 50), None, 1.5)


class ListLog:
    """Collect log lines."""

    def __init__(self) -> None:
        self.lines: list[dict[str, Any]] = []

    def info(self, text: str, **fields: Any) -> None:
        self.lines.append({"text": text, **fields})


def router_of(features: Features) -> Router:
    view = FleetView(
        "n0", "x", trust_seconds=4.5, leaving_seconds=7.0, features=features
    )
    for name, domain in (("p", "z"), ("a", "x"), ("b", "y")):
        role = DatabaseRole.PRIMARY if name == "p" else DatabaseRole.REPLICA
        view.databases[name] = Database(name, "s", "", domain, 4, role, False, 0)
    unused: Any = None
    return Router(
        view,
        unused,
        unused,
        await_proof=unused,
        await_peer=unused,
        metrics=Metrics(),
        log=ListLog(),  # type: ignore[arg-type]
    )


def former_cost(
    database: Database, known: DatabaseObservation, now: float
) -> tuple[float, str]:
    """Return the cost as it was before reads were balanced."""
    far = 0.015 if database.failure_domain != "x" else 0.0
    primary = 0.003 if database.role is DatabaseRole.PRIMARY else 0.0
    avoided = max(0.0, known.avoided_until - now)
    return known.wait_seconds + far + primary + avoided, database.id


def test_without_the_switch_the_order_of_reads_is_as_before() -> None:
    """Guards deployments that did not ask for balancing, also against load reports."""
    router, rng = router_of(NO_FEATURES), Random("former-order")
    for _ in range(300):
        now = 100.0
        for name in router.view.databases:
            router.view.observations[name] = DatabaseObservation(
                LogPoint(1, 60),
                now - rng.random(),
                rng.choice((0.0, 0.0, 0.004, 0.02, rng.random() / 10)),
                NEVER,
                now + rng.choice((-1.0, 0.01, 0.4)),
            )
            load = DatabaseLoad(rng.randrange(9), 4, 4, 20_000, 90, 0, 60, 0, 9)
            router.view.loads[name] = BelievedLoad(load, now)
        expected = sorted(
            router.view.databases.values(),
            key=lambda entry: former_cost(
                entry, router.view.observations[entry.id], now
            ),
        )
        assert router.chooser.order_reads("s", "o", NEED, now) == expected


def test_a_grey_database_is_set_aside_once_and_returns() -> None:
    router = router_of(BALANCING)
    now = now_seconds()

    def report(failed_percent: int) -> None:
        for name in router.view.databases:
            failed = failed_percent if name == "a" else 0
            load = DatabaseLoad(0, 1, 4, 20_000, 40, 0, failed, 0, 5)
            router.view.loads[name] = BelievedLoad(load, now)

    report(40)
    first = []
    for step in range(100):
        order = router.chooser.order_reads("s", "o", NEED, now + step * 0.01)
        assert len(order) == 3
        first.append(order[0].id)
    # The near database would get nearly all reads.
    assert first.count("a") <= 8
    report(0)
    back = [
        router.chooser.order_reads("s", "o", NEED, now + 3.0)[0].id for _ in range(100)
    ]
    assert back.count("a") >= 80
    lines = router.log.lines  # type: ignore[attr-defined]
    assert [(line["database"], line["reason"]) for line in lines] == [
        ("a", "failed"),
        ("a", ""),
    ]
    counts = router.metrics.counts["databases_set_aside_total"]
    assert counts == {("failed",): 1, ("returned",): 1}


def test_a_report_replaces_what_was_sent_before_it() -> None:
    router = router_of(BALANCING)
    database = router.view.databases["a"]
    load = DatabaseLoad(3, 4, 4, 20_000, 90)
    for sent in range(3):
        router.read_balancer.record_sent(database)
        state = DatabaseState("a", None, 0.0, None, True, 0.0, load)
        if sent == 1:
            router.view.record_observations((state,), now_seconds())
    believed = router.read_balancer.believed_load("a")
    assert believed == BelievedLoad(load, believed.observed_at, 1)  # type: ignore[union-attr]


@pytest.mark.parametrize("is_enabled", [True, False])
def test_load_travels_on_answers_where_reads_are_balanced(
    fleet: Fleet, is_enabled: bool
) -> None:
    if is_enabled:
        for pooler in fleet.instances:
            pooler.view.features = BALANCING
            for task in pooler.held_databases.tasks.values():
                task.meter.enabled = True
    caller = fleet.caller("aged")

    def is_known_everywhere() -> bool:
        assert caller.ask("READ item")[0].startswith("COMPLETE")
        return all(len(pooler.view.loads) == 3 for pooler in fleet.instances)

    if not is_enabled:
        for _ in range(5):
            assert not is_known_everywhere()
        assert not any(pooler.view.loads for pooler in fleet.instances)
        return
    wait_until(is_known_everywhere)
    metrics = fleet.instances[0].metrics
    fleet.instances[0].router.read_balancer.set_gauges()
    text = metrics.render()[0].decode()
    assert "berylhinge_database_busy_share" in text
    assert "berylhinge_service_load_spread" in text
