from __future__ import annotations

from collections.abc import Callable

import gevent
import pytest

from ....platform.line_protocol import DatabaseAnswer
from ....standins.metadata_store import wait_until
from ....standins.session_database import SessionDatabase
from ....types import LogPoint
from ..database_tracker import DatabaseTracker
from .conftest import DECLARATIONS, Fleet

APPLY_SECONDS = 8.0


def apply_late(full: SessionDatabase) -> None:
    """Leave what it receives from now on unapplied."""
    full.apply_seconds = APPLY_SECONDS


def answer_late(full: SessionDatabase) -> None:
    """Answer a status later than any other database."""
    full.status_seconds = 0.7


def be_busy(full: SessionDatabase) -> None:
    """Have no slot for the first requests of a status."""
    full.busy_statuses = 10


def be_silent(full: SessionDatabase) -> None:
    """Answer nothing for a while after the primary's end."""
    full.silent = True
    gevent.spawn_later(2.0, setattr, full, "silent", False)


def leave(full: SessionDatabase) -> None:
    """Announce that it leaves."""
    full.is_leaving = True


def accept_no_more(full: SessionDatabase) -> None:
    """Refuse every connection beyond those that are open."""
    full.max_connections = len(full.sockets)


@pytest.mark.parametrize(
    "trouble",
    [apply_late, answer_late, be_busy, be_silent, leave, accept_no_more],
)
def test_the_replica_that_received_the_acknowledged_commits_is_promoted(
    fleet: Fleet, trouble: Callable[[SessionDatabase], None]
) -> None:
    # The replica that had applied most, or answered first, was promoted without them.
    service = {**DECLARATIONS["services"][0], "sync-replicas": 1}
    fleet.declare({**DECLARATIONS, "version": 4, "services": [service]})
    wait_until(
        lambda: all(pooler.view.declarations.version == 4 for pooler in fleet.instances)
    )
    fleet.group.synchronous_replicas = 1
    primary = fleet.group.members[fleet.group.primary]
    full, deaf = (member for member in fleet.group.members.values() if not member.leads)
    caller = fleet.caller("strict")
    caller.ask("WRITE item first")
    reader = fleet.caller("aged")
    wait_until(lambda: reader.ask("READ item") and full.sockets)
    deaf.deaf = True
    trouble(full)
    fleet.announce()
    acknowledged = [
        number
        for number in range(8)
        if caller.ask(f"WRITE item-{number} x")[0].startswith("COMPLETE")
    ]
    assert acknowledged == list(range(8))
    primary.crash()
    fleet.store.delete(f"servers/{primary.id}")
    wait_until(lambda: fleet.group.primary != primary.id, 10.0)
    held = {item for entry in fleet.group.log for item, _ in entry.writes}
    assert {f"item-{number}" for number in acknowledged} <= held
    assert fleet.group.primary == full.id


def test_what_a_replica_has_received_is_not_what_reads_see() -> None:
    # A read went to a replica that had received its position and not applied it.
    tracker = DatabaseTracker()
    status = DatabaseAnswer(None, "", ("replica 3 3.9 0 0 0 1",), "-", "I", None)
    tracker.record_status(status, 0.0, may_lead=False)
    assert tracker.point is None
    tracker.record_status(status._replace(point=LogPoint(3, 4)), 0.0, may_lead=False)
    assert tracker.point == LogPoint(3, 4)
