from __future__ import annotations

import time

import gevent
import pytest

from ....standins.metadata_store import wait_until
from ....standins.session_database import SessionDatabase
from .conftest import Caller, DECLARATIONS, Fleet
from .test_fleet import ask_until_done, code

PER_SECOND = 10
# With the tolerance of 1.5 times the limit and 5 requests.
MOST_IN_ONE_SECOND = 20
# Long enough for a successor to take over, wait for its allowance and be tried again.
LOAD_SECONDS = 8.0


def declare_limit(fleet: Fleet) -> None:
    service = {**DECLARATIONS["services"][0], "cold-per-s": PER_SECOND}
    services = [{**service, "cold-start-s": 30}]
    fleet.declare({**DECLARATIONS, "version": 5, "services": services})
    wait_until(
        lambda: all(pooler.view.declarations.version == 5 for pooler in fleet.instances)
    )


def read_until(caller: Caller, end_at: float, codes: list[str]) -> None:
    while time.monotonic() < end_at:
        codes.append(code(ask_until_done(caller, "READ item", 1.0)))
        gevent.sleep(0.02)


def most_in_one_second(fleet: Fleet, database: str, since: float) -> int:
    moments = [
        run.at
        for run in fleet.group.runs
        if run.database == database and run.at >= since
    ]
    return max(
        (sum(first <= at < first + 1.0 for at in moments) for first in moments),
        default=0,
    )


def choose_replica(fleet: Fleet) -> SessionDatabase:
    """Return the replica that reads prefer among equals."""
    return next(member for member in fleet.group.members.values() if not member.leads)


@pytest.mark.parametrize("does_holder_stop", [False, True])
def test_a_cold_replica_gets_few_reads_and_the_others_the_rest(
    fleet: Fleet, does_holder_stop: bool
) -> None:
    """Guards against an allowance that starts anew with each holder."""
    fleet.add_instance()
    wait_until(lambda: all(len(pooler.view.members) == 3 for pooler in fleet.instances))
    declare_limit(fleet)
    cold = choose_replica(fleet)
    cold.cold_left_ms = 60_000
    fleet.announce()
    wait_until(lambda: all(pooler.view.is_cold(cold.id) for pooler in fleet.instances))
    view = fleet.instances[0].view
    holder = next(
        pooler
        for pooler in fleet.instances
        if pooler.settings.instance == view.holders(view.databases[cold.id])[0]
    )
    others = [pooler for pooler in fleet.instances if pooler is not holder]
    since, codes = time.monotonic(), list[str]()
    jobs = [
        gevent.spawn(
            read_until,
            Caller(others[number % 2].settings.callers, "aged", "k1"),
            since + LOAD_SECONDS,
            codes,
        )
        for number in range(8)
    ]
    gevent.sleep(2.5)
    if does_holder_stop:
        holder.stop()
        fleet.instances.remove(holder)
    gevent.joinall(jobs)
    assert set(codes) == {""}
    assert 0 < most_in_one_second(fleet, cold.id, since) <= MOST_IN_ONE_SECOND
    last = [run.at for run in fleet.group.runs if run.database == cold.id][-1]
    assert last > since + LOAD_SECONDS - 1.0


def test_a_restarted_database_is_limited_before_it_announces_that_it_is_cold(
    fleet: Fleet,
) -> None:
    declare_limit(fleet)
    cold = choose_replica(fleet)
    codes = list[str]()
    callers = [fleet.caller("aged", instance=number % 2) for number in range(8)]
    load = [
        gevent.spawn(read_until, caller, time.monotonic() + LOAD_SECONDS, codes)
        for caller in callers
    ]
    gevent.sleep(0.5)
    cold.crash()
    gevent.sleep(1.0)
    restarted_at = time.monotonic()
    cold.restart()
    gevent.joinall(load)
    assert set(codes) == {""}
    assert most_in_one_second(fleet, cold.id, restarted_at) <= MOST_IN_ONE_SECOND


def test_a_cold_primary_is_used_within_its_limit(fleet: Fleet) -> None:
    """What only the primary can run waits or is refused, and is never cut off."""
    declare_limit(fleet)
    primary = fleet.group.members[fleet.group.primary]
    primary.cold_left_ms = 60_000
    fleet.announce()
    wait_until(
        lambda: all(pooler.view.is_cold(primary.id) for pooler in fleet.instances)
    )
    since = time.monotonic()
    caller = fleet.caller("strict")
    for text in ("BEGIN", *["WRITE item x"] * 15, "COMMIT"):
        assert code(caller.ask(text)) == "", text
    assert most_in_one_second(fleet, primary.id, since) <= PER_SECOND + 1
