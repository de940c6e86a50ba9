"""Fault: the store comes back from an older copy and gives out revisions again."""

from __future__ import annotations

import time
from typing import Any

import gevent
import pytest

from ....core.pooler.leadership import LeadershipRecord
from ....core.pooler.store_eras import era_of, qualify, SETTLE_SECONDS
from ....platform.documents import DATABASES_PREFIX
from ....standins.metadata_store import StoreCopy, wait_until
from ....wire.pooling import StoreChangesRequest
from .. import instance_registration, store_relay
from ..instance import Pooler
from ..registry import MISSING_ENTRY_SECONDS
from ..store_state import (
    INSTANCES_PREFIX,
    PROMOTIONS_PREFIX,
    SECRET_KEY,
    SETTLED_ERA_KEY,
)
from .conftest import DECLARATIONS, Fleet

NEW_ROUTE = {"host": "added", "kind": "primary", "service": "s"}


def with_version(version: int, *routes: dict[str, Any]) -> dict[str, Any]:
    return {
        **DECLARATIONS,
        "version": version,
        "routes": [*DECLARATIONS["routes"], *routes],
    }


def are_in_force(fleet: Fleet, version: int) -> bool:
    return all(
        pooler.view.declarations.version == version for pooler in fleet.instances
    )


def restore_after(fleet: Fleet, changes: int) -> None:
    """Restore the store from a copy that lacks the newest changes."""
    copy = fleet.store.make_copy()
    for number in range(changes):
        fleet.declare(with_version(10 + number))
    wait_until(lambda: are_in_force(fleet, 9 + changes))
    restore(fleet, copy)


def restore(fleet: Fleet, copy: StoreCopy) -> None:
    """Let the store come back from a copy, and wait until all instances know."""
    fleet.store.down = True
    gevent.sleep(0.3)
    fleet.store.restore(copy)
    fleet.store.down = False
    wait_until(lambda: all(knows_era(pooler, 2) for pooler in fleet.instances))


def knows_era(pooler: Pooler, era: int) -> bool:
    return era_of(pooler.view.revision) == era


# Guards against: declarations that were written after the store came back from a copy
# never came into force, since their revision had been seen before.
@pytest.mark.parametrize("written_again", [0, 1, 2])
def test_declarations_at_a_reused_revision_come_into_force(
    fleet: Fleet, written_again: int
) -> None:
    restore_after(fleet, 2)
    for _ in range(written_again):
        fleet.declare(with_version(11))
    gevent.sleep(1.0)
    assert are_in_force(fleet, 11)
    fleet.declare(with_version(15, NEW_ROUTE))
    wait_until(lambda: are_in_force(fleet, 15), 3.0)
    assert fleet.caller("added", instance=1).started == "READY I -"


# Guards against: full reads without a pause while the store counts its revisions up to
# those that the instances know.
def test_a_restored_store_is_read_a_few_times_only(fleet: Fleet) -> None:
    restore_after(fleet, 2)
    gevent.sleep(1.5)
    for pooler in fleet.instances:
        assert pooler.metrics.counts["platform_calls_total"]["read-range", "200"] < 20


# Guards against: registrations of the copy were taken for those of new processes, so that
# instances refused each other's messages.
def test_links_go_on_after_a_restore(fleet: Fleet) -> None:
    def incarnations() -> list[dict[str, int]]:
        return [
            {name: member.incarnation for name, member in pooler.view.members.items()}
            for pooler in fleet.instances
        ]

    before = incarnations()
    restore(fleet, fleet.store.make_copy())
    assert incarnations() == before
    callers = [fleet.caller("strict", instance=number) for number in (0, 1)]
    for caller in callers:
        assert caller.ask("WRITE item v")[0].startswith("COMPLETE ")
    for pooler in fleet.instances:
        dropped = pooler.metrics.counts["peer_messages_total"]
        assert not dropped["stale-recipient",] and not dropped["stale-sender",]


# Guards against: a database or an instance that had left was in use again, from a copy in
# which it is still present; one that leaves was taken for one that stays.
@pytest.mark.parametrize("change", ["left", "leaving"])
def test_a_copy_does_not_bring_back_what_left(fleet: Fleet, change: str) -> None:
    gone = next(name for name in fleet.group.members if name != fleet.group.primary)
    other = INSTANCES_PREFIX + "n9"
    fleet.store.put(other, ["127.0.0.1:1", "x", False, 0, 1])
    wait_until(lambda: all("n9" in p.view.members for p in fleet.instances))
    copy = fleet.store.make_copy()
    if change == "left":
        fleet.store.delete(DATABASES_PREFIX + gone)
        fleet.store.delete(other)
        wait_until(
            lambda: all(
                gone not in p.view.databases and "n9" not in p.view.members
                for p in fleet.instances
            )
        )
    else:
        entry = fleet.group.members[gone].entry()
        leaving = {**entry, "state": "draining", "sequence": 9}
        fleet.store.put(DATABASES_PREFIX + gone, leaving)
        wait_until(lambda: all(p.view.databases[gone].leaving for p in fleet.instances))
    restore(fleet, copy)
    for pooler in fleet.instances:
        known = pooler.view.databases.get(gone)
        assert (
            known is None if change == "left" else known is not None and known.leaving
        )
        assert ("n9" in pooler.view.members) == (change == "leaving")


def promoted(fleet: Fleet) -> dict[str, LeadershipRecord]:
    """Lose the primary, and return the record of the promotion once it led to one."""
    old = fleet.group.primary
    fleet.group.members[old].crash()
    views = [pooler.view for pooler in fleet.instances]
    wait_until(lambda: all(view.leadership for view in views), 10.0)
    wait_until(lambda: fleet.group.primary != old)
    wait_until(lambda: all(view.primary_of("s") is not None for view in views))
    return dict(fleet.instances[0].view.leadership)


# Guards against: after a restore that lost the record of a promotion the former primary
# counted as the leader again.
def test_a_lost_record_of_a_promotion_is_written_again(fleet: Fleet) -> None:
    copy = fleet.store.make_copy()
    record = promoted(fleet)["s"]
    restore(fleet, copy)
    wait_until(lambda: PROMOTIONS_PREFIX + "s" in fleet.store.items)
    for pooler in fleet.instances:
        primary = pooler.view.primary_of("s")
        assert primary is not None and primary.id == record.recorded.leader
        assert pooler.view.leadership["s"].origin == record.origin
    joined = fleet.add_instance()
    assert joined.view.leadership["s"].origin == record.origin
    # The next promotion's token is greater than every one that was sent.
    fleet.group.members[fleet.group.primary].crash()
    wait_until(lambda: joined.view.leadership["s"].origin > record.origin, 10.0)
    # The record precedes the call.
    wait_until(lambda: fleet.store.fences["s"] > record.origin)


# Guards against: an older record of a copy replaced the newest known one.
def test_an_older_record_of_a_promotion_does_not_return(fleet: Fleet) -> None:
    promoted(fleet)
    copy = fleet.store.make_copy()
    fleet.announce()
    first = fleet.instances[0].view.leadership["s"].origin
    fleet.group.members[fleet.group.primary].crash()
    views = [pooler.view for pooler in fleet.instances]
    wait_until(lambda: all(v.leadership["s"].origin > first for v in views), 10.0)
    newest = views[0].leadership["s"]
    restore(fleet, copy)
    assert [view.leadership["s"].origin for view in views] == [newest.origin] * 2
    wait_until(lambda: views[0].stored_leaders.get("s") == newest.origin)


def without(copy: StoreCopy, prefix: str) -> StoreCopy:
    """Return a copy of the store that lacks some keys."""
    items = {
        key: item for key, item in copy.items.items() if not key.startswith(prefix)
    }
    return copy._replace(items=items, leases={})


# Guards against: registrations that a restore lost came back with the next renewal, after
# peers had dropped the instances.
def test_registrations_are_back_before_they_are_dropped(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(instance_registration, "LEASE_RENEWAL_SECONDS", 60.0)
    fleet = Fleet()
    try:
        for _ in range(2):
            fleet.add_instance()
        views = [pooler.view for pooler in fleet.instances]
        wait_until(lambda: all(len(view.members) == 2 for view in views))
        restore(fleet, without(fleet.store.make_copy(), INSTANCES_PREFIX))
        names = [f"{INSTANCES_PREFIX}n{number}" for number in range(2)]
        wait_until(
            lambda: all(name in fleet.store.items for name in names),
            MISSING_ENTRY_SECONDS,
        )
        gevent.sleep(MISSING_ENTRY_SECONDS)
        assert [len(view.members) for view in views] == [2, 2]
    finally:
        fleet.close()


# Guards against: after a restore that lost the shared secret an instance that started
# created another one, and could not talk to those that kept the former.
@pytest.mark.parametrize("is_replaced", [False, True])
def test_a_lost_secret_does_not_split_the_fleet(
    fleet: Fleet, is_replaced: bool
) -> None:
    copy = without(fleet.store.make_copy(), SECRET_KEY)
    former = fleet.instances[0].registry.applier.secrets[0]
    fleet.store.down = True
    gevent.sleep(0.3)
    fleet.store.restore(copy)
    if is_replaced:
        fleet.store.put(SECRET_KEY, b"another")
    fleet.store.down = False
    wait_until(lambda: SECRET_KEY in fleet.store.items, 3.0)
    joined = fleet.add_instance()
    expected = b"another" if is_replaced else former
    assert joined.registry.applier.secrets[0] == expected
    wait_until(
        lambda: all(
            pooler.registry.applier.secrets[0] == expected for pooler in fleet.instances
        )
    )
    counters = [p.metrics.counts["peer_messages_total"] for p in fleet.instances]
    gevent.sleep(0.2)
    before = [counts["unauthenticated",] for counts in counters]
    for number in range(3):
        caller = fleet.caller("strict", instance=number)
        assert caller.ask("WRITE item v")[0].startswith("COMPLETE ")
    assert [counts["unauthenticated",] for counts in counters] == before


# Guards against: an instance that started after a restore used a withdrawn key, since the
# copy was taken before the withdrawal.
@pytest.mark.parametrize("is_settled", [False, True])
def test_an_instance_that_starts_after_a_restore_uses_no_withdrawn_key(
    fleet: Fleet, is_settled: bool
) -> None:
    fleet.first_start = False
    copy = fleet.store.make_copy()
    tenants = [
        {**tenant, "api-keys": ["k9"]} if tenant["name"] == "small" else tenant
        for tenant in DECLARATIONS["tenants"]
    ]
    withdrawn = {**with_version(12), "tenants": tenants}
    fleet.declare(withdrawn)
    wait_until(lambda: are_in_force(fleet, 12))
    restore(fleet, copy)
    joining = gevent.spawn(fleet.add_instance)
    gevent.sleep(1.5)
    fleet.declare(withdrawn)
    joined = joining.get(timeout=5.0)
    assert joined.view.declarations.version == 12
    assert fleet.caller("strict", "k2", instance=2).started.startswith("ERROR")
    if is_settled:
        # Later starts do not wait.
        wait_until(lambda: fleet.store.read(SETTLED_ERA_KEY) == 2)
        started_at = time.monotonic()
        fleet.add_instance()
        assert time.monotonic() - started_at < SETTLE_SECONDS / 2


# Guards against: relays in the new era had no answer for instances in the former one, each
# of which then waited for its turn to read the whole store.
def test_a_relay_passes_on_a_restored_store(fleet: Fleet) -> None:
    former = fleet.instances[0].view.revision
    restore(fleet, fleet.store.make_copy())
    relay = fleet.instances[0].registry.relay
    assert relay is not None
    view = fleet.instances[0].view
    # Instances register again in the new era, at moments of their own.
    wait_until(lambda: view.revision == qualify(2, fleet.store.revision))
    answer = relay.answer_changes("n9", StoreChangesRequest(former))
    assert answer.is_whole
    items = relay.decode_changes(answer)
    assert items is not None
    assert {item.key: item.revision for item in items} == {
        key: qualify(2, item["revision"]) for key, item in fleet.store.items.items()
    }


def test_all_instances_follow_a_restored_store_without_calls_of_their_own(
    fleet: Fleet, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(store_relay, "own_call_interval", lambda instances: 60.0)
    fleet.add_instance()
    copy = fleet.store.make_copy()
    fleet.store.down = True
    # Longer than an outdated relay is asked.
    gevent.sleep(2.5)
    fleet.store.restore(copy)
    fleet.store.down = False
    wait_until(lambda: all(knows_era(p, 2) for p in fleet.instances), 4.0)
    fleet.declare(with_version(12))
    wait_until(lambda: are_in_force(fleet, 12), 3.0)
