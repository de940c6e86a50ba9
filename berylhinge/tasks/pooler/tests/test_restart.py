"""Load pattern: all instances start anew, and know each other's former incarnations."""

from __future__ import annotations

import gevent
import pytest

from ....core.pooler.starting_peers import STARTING_SECONDS
from ....standins.metadata_store import wait_until
from ...clock import now_seconds
from .. import registry
from ..instance import Pooler
from .conftest import Caller, Fleet

INSTANCES = 5
SERVED_LATENCY_SECONDS = 0.5


def restart_together(
    fleet: Fleet, monkeypatch: pytest.MonkeyPatch, *, returning: int
) -> None:
    """Stop all instances and start some anew, while the store is slow to tell it.

    The registrations of the former processes stay, since their leases last for 10 s, and
    a watch pauses as long as in a large fleet before it delivers more of the new ones.
    """
    while len(fleet.instances) < INSTANCES:
        fleet.add_instance()
    wait_until(
        lambda: all(len(pooler.view.members) == INSTANCES for pooler in fleet.instances)
    )
    monkeypatch.setattr(registry, "batch_seconds", lambda items, watches: 2.0)
    for pooler in fleet.instances:
        pooler.stop()
    fleet.instances = [
        Pooler(pooler.settings._replace(first_start=False))
        for pooler in fleet.instances[:returning]
    ]
    for number, pooler in enumerate(fleet.instances):
        gevent.spawn_later(0.03 * number, pooler.start)


def is_ready(pooler: Pooler) -> bool:
    statuses: list[str] = []
    pooler.answer_readiness({}, lambda status, headers: statuses.append(status))
    return statuses[0].startswith("200")


def write_at(pooler: Pooler) -> float:
    """Return how long an instance takes for a write, which must be served."""
    caller = Caller(pooler.settings.callers, "strict", "k1")
    started_at = now_seconds()
    assert caller.ask("WRITE item value")[0].startswith("COMPLETE ")
    return now_seconds() - started_at


def test_a_restarted_fleet_serves_before_the_store_tells_of_all_restarts(
    fleet: Fleet, monkeypatch: pytest.MonkeyPatch
) -> None:
    # Messages to former processes are dropped; peers were taken for dead and statements
    # failed or waited until the store had delivered the new registrations.
    restart_together(fleet, monkeypatch, returning=INSTANCES)
    wait_until(lambda: all(map(is_ready, fleet.instances)), STARTING_SECONDS)
    writes = [gevent.spawn(write_at, pooler) for pooler in fleet.instances]
    gevent.joinall(writes, raise_error=True)
    assert max(write.value for write in writes) < SERVED_LATENCY_SECONDS
    assert not any(pooler.view.suspects for pooler in fleet.instances)


@pytest.mark.parametrize("returning", [1, 3])
def test_an_instance_is_ready_although_some_do_not_come_back(
    fleet: Fleet, monkeypatch: pytest.MonkeyPatch, returning: int
) -> None:
    restart_together(fleet, monkeypatch, returning=returning)
    wait_until(lambda: all(map(is_ready, fleet.instances)), STARTING_SECONDS + 0.5)
    writes = [gevent.spawn(write_at, pooler) for pooler in fleet.instances]
    gevent.joinall(writes, raise_error=True)
    # Those that are gone are passed over after one probe.
    assert max(write.value for write in writes) < STARTING_SECONDS + 0.5


def test_a_restarted_instance_follows_the_store_and_not_a_relay_at_first(
    fleet: Fleet,
) -> None:
    fleet.first_start = False
    restarted = fleet.add_instance()
    relay = restarted.registry.relay
    assert relay is not None
    gevent.sleep(registry.RESTART_WATCH_SECONDS / 2)
    assert relay.current is None
    # Registrations reach it without any peer.
    other = fleet.add_instance()
    wait_until(lambda: other.view.own_instance in restarted.view.members, 1.5)
    assert relay.current is None
    wait_until(
        lambda: restarted.view.relays()[0] in (relay.current, "n2"),
        registry.RESTART_WATCH_SECONDS + 1.0,
    )
