from __future__ import annotations

import time
from typing import Any

import gevent
import pytest

from ....core.pooler.failover import Verdict
from ....core.pooler.leadership import LEASE_SECONDS, RecordedLeader
from ....core.pooler.store_eras import revision_in_era
from ....standins.metadata_store import wait_until
from ....wire.pooling import ReachabilityResponse
from ...peer_frames import PeerLost
from ...peer_links import Links
from ..instance import Pooler
from ..status_requests import StatusRequests
from ..store_state import PROMOTIONS_PREFIX
from .conftest import Caller, Fleet
from .test_fleet import ask_until_done, code

UNREACHED = ReachabilityResponse(False, None)


def holder_of_primary(fleet: Fleet) -> Pooler:
    view = fleet.instances[0].view
    name = view.holders(view.databases[fleet.group.primary])[0]
    return next(
        pooler for pooler in fleet.instances if pooler.view.own_instance == name
    )


def cut_off(pooler: Pooler, fleet: Fleet, monkeypatch: pytest.MonkeyPatch) -> None:
    """Cut an instance off from its peers and the store, not from the databases."""
    for loop in pooler.registry.running_loops:
        loop.kill()
    links = [other.links for other in fleet.instances]
    calls = {id(link): link.call for link in links if link is not None}

    def call_unless_cut(
        links: Links, name: str, *arguments: Any, **options: Any
    ) -> Any:
        if pooler.view.own_instance == name or links is pooler.links:
            gevent.sleep(0.05)
            raise PeerLost(name, sent=False)
        return calls[id(links)](name, *arguments, **options)

    monkeypatch.setattr(Links, "call", call_unless_cut)


def start_replacing(promoter: Pooler) -> gevent.Greenlet:
    """Let an instance replace the primary, as when it judged that it must."""
    task = promoter.promotion_task
    task.services_in_progress.add("s")
    return gevent.spawn(task.check_and_promote, "s", Verdict.REPLACE)


def test_a_cut_off_holder_commits_nothing_at_a_deposed_primary(
    unfenced_fleet: Fleet, monkeypatch: pytest.MonkeyPatch
) -> None:
    fleet = unfenced_fleet
    old = fleet.group.primary
    holder = holder_of_primary(fleet)
    caller = Caller(holder.settings.callers, "strict", "k1")
    assert code(caller.ask("WRITE item before")) == ""
    cut_off(holder, fleet, monkeypatch)
    promoter = next(pooler for pooler in fleet.instances if pooler is not holder)
    promotion = start_replacing(promoter)
    codes = []
    deadline = time.monotonic() + 12.0
    while time.monotonic() < deadline:
        codes.append(code(caller.ask("WRITE item later")))
        if fleet.group.primary != old and codes[-1]:
            break
        gevent.sleep(0.02)
    promotion.join(1.0)
    assert fleet.group.primary != old
    assert fleet.group.stale_commits == []
    assert "" in codes
    # The other instances use the new primary.
    reader = Caller(promoter.settings.callers, "strict", "k1")
    assert code(ask_until_done(reader, "WRITE item after", 3.0)) == ""
    assert reader.ask("READ item")[0] == "ROW after"


# Guards against: a promoter that had waited out leases asked for its promotion, although
# another instance had recorded and made a later one meanwhile.
def test_a_promotion_that_another_one_overtook_is_given_up(
    unfenced_fleet: Fleet, monkeypatch: pytest.MonkeyPatch
) -> None:
    fleet = unfenced_fleet
    old, key = fleet.group.primary, PROMOTIONS_PREFIX + "s"
    cut_off(holder_of_primary(fleet), fleet, monkeypatch)
    promoter = next(p for p in fleet.instances if p is not holder_of_primary(fleet))
    promotion = start_replacing(promoter)
    wait_until(lambda: key in fleet.store.items)
    overtaken = fleet.store.items[key]["revision"]
    leader = next(name for name in fleet.group.members if name != old)
    fleet.store.put(key, RecordedLeader("n9", leader, (old,), True, era=1))
    promotion.join(LEASE_SECONDS + 2.0)
    assert promotion.ready()
    assert revision_in_era(fleet.store.fences.get("s", 0)) != overtaken


def test_a_crashed_primary_is_replaced_without_waiting_for_leases(
    unfenced_fleet: Fleet,
) -> None:
    fleet = unfenced_fleet
    caller = fleet.caller("strict")
    caller.ask("WRITE item before")
    gevent.sleep(0.1)
    lost = fleet.group.members[fleet.group.primary]
    started_at = time.monotonic()
    lost.crash()
    assert code(ask_until_done(caller, "WRITE item after", 6.0)) == ""
    assert time.monotonic() - started_at < LEASE_SECONDS
    assert fleet.group.primary != lost.id


def test_a_deposed_primary_that_still_announces_itself_is_not_used(
    unfenced_fleet: Fleet,
) -> None:
    fleet = unfenced_fleet
    old = fleet.group.members[fleet.group.primary]
    fleet.store.put(f"servers/{old.id}", old.entry("draining"))
    wait_until(lambda: fleet.group.primary != old.id, 6.0)
    # Its entry lapses and comes back while it still takes itself for the primary.
    fleet.store.delete(f"servers/{old.id}")
    wait_until(
        lambda: all(old.id not in pooler.view.databases for pooler in fleet.instances),
        6.0,
    )
    fleet.store.put(f"servers/{old.id}", old.entry())
    wait_until(
        lambda: all(old.id in pooler.view.databases for pooler in fleet.instances)
    )
    caller = fleet.caller("strict", instance=2)
    assert code(ask_until_done(caller, "WRITE item after", 3.0)) == ""
    assert fleet.group.stale_commits == []


def test_a_refused_promotion_gives_the_lead_back(
    unfenced_fleet: Fleet, monkeypatch: pytest.MonkeyPatch
) -> None:
    fleet = unfenced_fleet
    fleet.store.on_promotion = lambda service, name: False
    primary = fleet.group.primary
    start_replacing(fleet.instances[0]).join()
    caller = fleet.caller("strict", instance=1)
    assert code(ask_until_done(caller, "WRITE item after", 3.0)) == ""
    assert fleet.group.primary == primary


def test_an_instance_that_no_peer_answers_promotes_nothing(
    unfenced_fleet: Fleet, monkeypatch: pytest.MonkeyPatch
) -> None:
    fleet = unfenced_fleet
    primary = fleet.group.primary
    alone = fleet.instances[0]
    monkeypatch.setattr(
        StatusRequests,
        "probe_database",
        lambda _requests, _database, _timeout=0.3: UNREACHED,
    )
    assert alone.promotion_task.may_replace(alone.view.databases[primary])
    cut_off(alone, fleet, monkeypatch)
    assert not alone.promotion_task.may_replace(alone.view.databases[primary])


@pytest.mark.parametrize("promotions_fenced", [True, False])
def test_the_next_leader_serves_before_it_announces_itself(
    promotions_fenced: bool,
) -> None:
    """Load pattern: callers of a lost primary, whose successor announces itself late."""
    fleet = Fleet(promotions_fenced=promotions_fenced)
    try:
        fleet.add_instance()
        fleet.add_instance()
        caller = fleet.caller("strict")
        assert code(caller.ask("WRITE item before")) == ""
        gevent.sleep(0.1)
        # The announcement of the new role does not arrive while this runs.
        fleet.store.on_promotion = fleet.group.promote
        lost = fleet.group.members[fleet.group.primary]
        lost.crash()
        assert code(ask_until_done(caller, "WRITE item after", 6.0)) == ""
        assert code(ask_until_done(caller, "READ item", 2.0)) == ""
        assert fleet.group.primary != lost.id
    finally:
        fleet.close()


# Guards against: the former primary, whose log is the longest, was recorded as next leader
# while a lost promoter's order for a replica was under way, and served until its effect.
def test_no_write_runs_at_a_former_primary_while_a_promotion_is_under_way(
    unfenced_fleet: Fleet,
) -> None:
    fleet = unfenced_fleet
    group, old = fleet.group, fleet.group.primary
    caller = fleet.caller("strict")
    others = [name for name in group.members if name != old]
    for name in others:
        group.members[name].deaf = True
    assert code(caller.ask("WRITE item before")) == ""
    # The lost promoter is not registered, so that its record is not left time.
    recorded = RecordedLeader("n9", others[0], (old,), True, era=1)
    fleet.store.put(PROMOTIONS_PREFIX + "s", recorded)
    wait_until(lambda: all("s" in pooler.view.leadership for pooler in fleet.instances))
    # Orders take 2 s; what the instances ask for meanwhile takes effect after that.
    gevent.spawn_later(2.0, fleet.promote, "s", others[0])
    fleet.store.on_promotion = lambda service, name: bool(
        gevent.spawn_later(2.0, fleet.promote, service, name)
    )
    written: list[tuple[str, str]] = []
    deadline = time.monotonic() + 5.0
    while time.monotonic() < deadline:
        text = f"later-{len(written)}"
        if code(caller.ask(f"WRITE item {text}")) == "":
            written.append(("item", text))
        gevent.sleep(0.05)
    undone = {write for entry in group.rolled_back for write in entry.writes}
    assert not undone.intersection(written)
    assert written
    assert group.primary == others[0]
    assert group.stale_commits == []
