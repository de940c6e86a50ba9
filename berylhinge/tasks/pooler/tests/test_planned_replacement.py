from __future__ import annotations

from collections.abc import Callable, Iterator
from itertools import count

import gevent
import pytest

from ....core.pooler.leadership import RecordedLeader
from ....standins.metadata_store import wait_until
from ....standins.session_database import SessionDatabase
from .conftest import DECLARATIONS, Fleet

PROMOTE_SECONDS = 0.5


class Release:
    """Write through every instance while the primary announces that it leaves."""

    def __init__(self, fleet: Fleet) -> None:
        self.fleet, self.group = fleet, fleet.group
        self.acknowledged: list[str] = []
        self.orders: list[str] = []
        self.refuses = False
        self.numbers = count()
        self.jobs = [gevent.spawn(self.announce)]
        for instance in range(len(fleet.instances)):
            self.jobs += [gevent.spawn(self.write, instance) for _ in range(3)]

    def announce(self) -> None:
        while True:
            self.fleet.announce()
            gevent.sleep(0.05)

    def write(self, instance: int) -> None:
        caller = self.fleet.caller("strict", instance=instance)
        while True:
            item = f"item-{next(self.numbers)}"
            if caller.ask(f"WRITE {item} x")[0].startswith("COMPLETE"):
                self.acknowledged.append(item)
            gevent.sleep(0.01)

    def promote(self, name: str, trouble: Callable[[Release, str], None]) -> bool:
        self.orders.append(name)
        if len(self.orders) == 1:
            trouble(self, name)
            if self.refuses:
                return False
        return self.group.promote("s", name)

    def serves_again(self) -> bool:
        """Tell whether a write is served that was sent after this question."""
        so_far = len(self.acknowledged)
        until = gevent.spawn(gevent.sleep, 2.0)
        while len(self.acknowledged) < so_far + 5 and not until.ready():
            gevent.sleep(0.02)
        return len(self.acknowledged) >= so_far + 5

    def stop(self) -> None:
        gevent.killall(self.jobs)


@pytest.fixture(params=[True, False], ids=["commands-known", "commands-unknown"])
def release(request: pytest.FixtureRequest, fleet: Fleet) -> Iterator[Release]:
    service = {**DECLARATIONS["services"][0], "sync-replicas": 1}
    fleet.declare({**DECLARATIONS, "version": 4, "services": [service]})
    wait_until(
        lambda: all(pooler.view.declarations.version == 4 for pooler in fleet.instances)
    )
    fleet.group.synchronous_replicas = 1
    fleet.group.promote_seconds = PROMOTE_SECONDS
    for member in fleet.group.members.values():
        member.knows_commands = request.param
        member.statement_seconds = 0.002
    release = Release(fleet)
    yield release
    release.stop()


def member_of(release: Release, name: str) -> SessionDatabase:
    return release.group.members[name]


def turn_deaf_at_once(release: Release, name: str) -> None:
    member_of(release, name).deaf = True
    gevent.spawn_later(4.0, setattr, member_of(release, name), "deaf", False)


def turn_deaf_soon(release: Release, name: str) -> None:
    gevent.spawn_later(0.05, turn_deaf_at_once, release, name)


def refuse(release: Release, name: str) -> None:
    release.refuses = True


def do_nothing(release: Release, name: str) -> None:
    """Leave the promotion alone."""


@pytest.mark.parametrize(
    "trouble",
    [do_nothing, turn_deaf_at_once, turn_deaf_soon, refuse],
)
def test_commits_acknowledged_around_a_planned_replacement_are_kept(
    release: Release, trouble: Callable[[Release, str], None]
) -> None:
    # Commits acknowledged between the question for the logs and the moment at which the
    # successor leads were rolled back.
    fleet, group = release.fleet, release.group
    former = group.primary
    fleet.store.on_promotion = lambda service, name: release.promote(name, trouble)
    wait_until(lambda: len(release.acknowledged) >= 20)
    group.members[former].is_leaving = True
    wait_until(lambda: release.orders, 5.0)
    if release.refuses:
        assert release.serves_again()
    wait_until(lambda: group.primary != former, 10.0)
    assert release.serves_again()
    release.stop()
    held = {item for entry in group.log for item, _ in entry.writes}
    assert set(release.acknowledged) <= held


def test_a_promoter_whose_record_was_replaced_orders_nothing(
    release: Release, monkeypatch: pytest.MonkeyPatch
) -> None:
    # Two promoters acted: one that had waited for leases ordered another promotion
    # after a second one had replaced the primary, while commits went on.
    fleet, group = release.fleet, release.group
    former = group.primary
    slow, quick = (pooler.promotion_task for pooler in fleet.instances)
    orders: list[str] = []

    def promote(service: str, name: str) -> bool:
        orders.append(name)
        return group.promote(service, name)

    fleet.store.on_promotion = promote
    wait_until(lambda: len(release.acknowledged) >= 20)
    primary = slow.view.primary_of("s")
    basis = slow.records.newest_revision("s")
    end_other_leases = slow.notices.end_other_leases

    def be_overtaken(service: str, recorded: RecordedLeader, revision: int) -> None:
        end_other_leases(service, recorded, revision)
        wait_until(lambda: quick.records.newest_revision(service) == revision)
        quick.promote_replica(service, primary, revision)
        wait_until(lambda: group.primary != former)

    monkeypatch.setattr(slow.notices, "end_other_leases", be_overtaken)
    slow.promote_replica("s", primary, basis)
    assert len(orders) == 1
    assert release.serves_again()
