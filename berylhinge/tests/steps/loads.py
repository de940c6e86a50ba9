from __future__ import annotations

import secrets
import time
from typing import TYPE_CHECKING

import gevent
from pytest_bdd import parsers, then, when

from ...core.api_keys import grant_key
from ...core.configuration import GrantKey
from .calls import Caller, NETWORK_SECONDS, World
from .system import eventually, FAILOVER_SECONDS, IN_FORCE_SECONDS, POLL_SECONDS

if TYPE_CHECKING:
    from .system import System

LOAD_PAUSE_SECONDS = 0.01


def callers_on_every_instance(world: World, prefix: str, count: int) -> list:
    numbers = sorted(world.system.proxies)
    return [
        (world.caller(f"{prefix}{index}"), numbers[index % len(numbers)])
        for index in range(count)
    ]


@when(
    parsers.parse("{count:d} callers write {each:d} times each through every instance")
)
def write_much(world: World, count: int, each: int) -> None:
    for caller, number in callers_on_every_instance(world, "writer", count):
        world.start(write_times, caller, number, each)


def write_times(caller: Caller, number: int, each: int) -> None:
    for turn in range(each):
        caller.write(number, f"{caller.name}-{turn}")


@when(
    parsers.parse(
        "{count:d} callers commit {each:d} transactions of 2 writes each"
        " through every instance"
    )
)
def commit_much(world: World, count: int, each: int) -> None:
    for caller, number in callers_on_every_instance(world, "committer", count):
        world.start(commit_times, caller, number, each)


def commit_times(caller: Caller, number: int, each: int) -> None:
    for turn in range(each):
        if caller.begin(number).status == 200:
            caller.write_inside(f"pair-{caller.name}-{turn}")
            caller.write_inside(f"pair-{caller.name}-{turn}")
            caller.end("commit")


@then("each transaction is whole")
def check_pairs(world: World) -> None:
    cats = world.caller("reader").read(1).cats
    pairs = [cat for cat in cats if cat.startswith("pair-")]
    assert pairs
    assert all(pairs.count(cat) == 2 for cat in pairs)
    # The writer is one at a time, so a transaction's rows are neighbours.
    assert pairs[::2] == pairs[1::2]


@when(
    parsers.parse(
        "{count:d} callers write and read their own {each:d} times"
        " through every instance"
    )
)
def echo_much(world: World, count: int, each: int) -> None:
    for caller, number in callers_on_every_instance(world, "echo", count):
        world.start(echo_times, caller, number, each)


def echo_times(caller: Caller, number: int, each: int) -> None:
    for turn in range(each):
        cat = f"{caller.name}-{turn}"
        written = caller.write(number, cat)
        found = caller.read_one(number, cat)
        caller.world.echoes.append((cat, written, found))


@then("every answer belongs to its request")
def check_echoes(world: World) -> None:
    for result in world.results:
        assert result.body["request_id"] == result.request_id
    assert world.echoes
    for cat, written, found in world.echoes:
        if found.status != 200:
            continue
        assert found.cats in ([cat], [] if written.status != 200 else [cat])


@when("callers read and write until told otherwise")
def start_load(world: World) -> None:
    world.loading = True
    for caller, number in callers_on_every_instance(world, "load", 4):
        world.start(load, caller, number)
    eventually(lambda: len(world.results) > 8, FAILOVER_SECONDS, "the load runs")


def load(caller: Caller, number: int) -> None:
    while caller.world.loading:
        try:
            caller.write(number, caller.name)
            caller.read_one(number, caller.name)
        except ConnectionRefusedError:
            caller.world.gone.add(number)
            return
        gevent.sleep(LOAD_PAUSE_SECONDS)


def stop_load(world: World) -> None:
    world.loading = False
    world.wait_pending(NETWORK_SECONDS)


@then(parsers.parse("the leaving database gets no new work after {seconds:g} seconds"))
def check_no_work(world: World, seconds: float) -> None:
    service = world.led_before.service
    began_at = time.monotonic()
    eventually(
        lambda: time.monotonic() - max(service.counters.last_work_at, began_at) > 1.0,
        seconds + 1.0,
        "no new work arrives",
    )
    before = service.counters
    results = len(world.results)
    eventually(lambda: len(world.results) > results + 20, FAILOVER_SECONDS, "load")
    assert service.counters == before
    stop_load(world)


@then(parsers.parse("the instance has stopped within {seconds:g} seconds"))
def check_stopped(world: World, seconds: float) -> None:
    eventually(world.stopping.ready, seconds, "the instance stopped")
    world.stopping.get()
    eventually(lambda: world.gone, FAILOVER_SECONDS, "callers see it gone")
    stop_load(world)


@then("every call was answered or found the instance gone")
def check_answered_or_gone(world: World) -> None:
    refused = [one for one in world.results if one.status != 200]
    for result in refused:
        assert (result.reason, result.outcome) == ("instance-leaving", "not-run")


@when(parsers.parse("{count:d} changes of the configuration are accepted"))
def change_configuration(world: World, system: System, count: int) -> None:
    world.versions = {number: [] for number in system.proxies}
    world.watcher = gevent.spawn(watch_versions, world, system)
    for _ in range(count):
        granted = grant_key("kattevakt", secrets.token_bytes)
        system.apply(GrantKey(granted.record))


def watch_versions(world: World, system: System) -> None:
    while True:
        for number, proxy in system.proxies.items():
            world.versions[number].append(proxy.configuration.version)
        gevent.sleep(POLL_SECONDS)


@when("the configuration has reached one instance")
def await_one(system: System) -> None:
    version = system.configuration.version
    eventually(
        lambda: any(
            proxy.configuration.version >= version for proxy in system.proxies.values()
        ),
        IN_FORCE_SECONDS,
        "one instance has the configuration",
    )


@then("no instance ever went back to an older version")
def check_versions(world: World) -> None:
    world.watcher.kill()
    for versions in world.versions.values():
        assert versions
        assert versions == sorted(versions)
