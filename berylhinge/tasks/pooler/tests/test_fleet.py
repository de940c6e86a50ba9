from __future__ import annotations

import time

import gevent
import pytest

from ....standins.metadata_store import wait_until
from .. import peers, service_states
from .conftest import Caller, DECLARATIONS, Fleet


def code(answer: list[str]) -> str:
    return answer[0].split(" ")[1] if answer[0].startswith("ERROR") else ""


@pytest.mark.parametrize("name", ["strict", "aged", "own"])
@pytest.mark.parametrize("instance", [0, 1])
def test_a_session_reads_what_it_wrote(fleet: Fleet, name: str, instance: int) -> None:
    caller = fleet.caller(name, instance=instance)
    assert caller.started == "READY I -"
    for number in range(20):
        assert caller.ask(f"WRITE item v{number}")[0].startswith("COMPLETE ")
        if name != "aged":
            assert caller.ask("READ item")[0] == f"ROW v{number}"


def test_strict_reads_see_writes_acknowledged_by_another_instance(fleet: Fleet) -> None:
    writer, reader = fleet.caller("strict"), fleet.caller("strict", instance=1)
    for number in range(20):
        writer.ask(f"WRITE item v{number}")
        assert reader.ask("READ item")[0] == f"ROW v{number}"


def test_bounded_stale_reads_are_no_older_than_declared(fleet: Fleet) -> None:
    writer, reader = fleet.caller("strict"), fleet.caller("aged", instance=1)
    writer.ask("WRITE item old")
    for member in fleet.group.members.values():
        member.deaf = not member.leads
    writer.ask("WRITE item new")
    gevent.sleep(1.6)
    assert reader.ask("READ item")[0] == "ROW new"


def test_replicas_that_lagged_get_reads_again(fleet: Fleet) -> None:
    # No read goes to a replica whose known position is too old, and nothing else told
    # that it had caught up: the primary alone served all reads until a holder changed.
    writer = fleet.caller("strict")
    readers = [fleet.caller("aged", instance=number % 2) for number in range(4)]
    replicas = {
        member.id for member in fleet.group.members.values() if not member.leads
    }

    def read_and_write(seconds: float) -> set[str]:
        before, until = len(fleet.group.runs), time.monotonic() + seconds
        while time.monotonic() < until:
            assert code(writer.ask("WRITE item x")) == ""
            for reader in readers:
                assert code(reader.ask("READ item")) == ""
            gevent.sleep(0.05)
        return {run.database for run in fleet.group.runs[before:]}

    assert read_and_write(1.0) & replicas
    for name in replicas:
        fleet.group.members[name].deaf = True
    read_and_write(2.5)
    assert not read_and_write(0.5) & replicas
    for name in replicas:
        fleet.group.members[name].deaf = False
    read_and_write(2.5)
    assert read_and_write(0.5) & replicas


def test_transactions_are_isolated_and_see_their_own_writes(fleet: Fleet) -> None:
    first, second = fleet.caller("strict"), fleet.caller("strict", instance=1)
    assert first.ask("BEGIN") == ["COMPLETE -", "READY T -"]
    first.ask("WRITE item mine")
    assert code(second.ask("READ item")) == ""
    assert second.ask("READ item")[0].startswith("COMPLETE")
    assert first.ask("READ item")[0] == "ROW mine"
    assert first.ask("COMMIT")[0].startswith("COMPLETE ")
    assert second.ask("READ item")[0] == "ROW mine"


def test_a_disconnected_callers_transaction_is_rolled_back(fleet: Fleet) -> None:
    caller = fleet.caller("strict")
    caller.ask("BEGIN")
    caller.ask("WRITE item lost")
    caller.sock.close()
    caller.file.close()
    other = fleet.caller("strict")
    assert other.ask("READ item")[0].startswith("COMPLETE")
    wait_until(
        lambda: (
            not any(
                task.pinned_connections
                for pooler in fleet.instances
                for task in pooler.held_databases.tasks.values()
            )
        )
    )


def test_values_and_prepared_statements_stay_with_their_session(fleet: Fleet) -> None:
    first, second = fleet.caller("strict"), fleet.caller("strict")
    first.ask("SET zone one")
    first.ask("PREPARE s1 READ q1")
    second.ask("PREPARE s1 WRITE q1")
    assert code(second.ask("EXECUTE s1 item data")) == ""
    assert first.ask("EXECUTE s1 item")[0] == "ROW data"
    reads = [run for run in fleet.group.runs if " item" in run.text]
    assert [dict(run.values) for run in reads] == [{}, {"zone": "one"}]
    assert code(fleet.caller("strict").ask("EXECUTE s1 item")) == "NOSTMT"


@pytest.mark.parametrize(
    ("name", "key", "refusal"),
    [("strict", "k9", "NOAUTH"), ("none", "k1", "NODB"), ("strict", "", "NOAUTH")],
)
def test_sessions_are_refused_with_the_right_code(
    fleet: Fleet, name: str, key: str, refusal: str
) -> None:
    assert fleet.caller(name, key).started.split(" ")[1] == refusal


def test_a_withdrawn_key_is_refused_in_open_sessions(fleet: Fleet) -> None:
    caller = fleet.caller("strict")
    tenants = [{**DECLARATIONS["tenants"][0], "api-keys": ["k7"]}]
    fleet.declare({**DECLARATIONS, "version": 9, "tenants": tenants})
    wait_until(lambda: code(caller.ask("READ item")) == "NOAUTH", 3.0)
    assert fleet.caller("strict", "k7").started == "READY I -"


def test_keys_are_refused_during_a_long_store_outage(fleet: Fleet) -> None:
    caller = fleet.caller("strict")
    fleet.store.down = True
    codes = []
    deadline = time.monotonic() + 6.0
    while time.monotonic() < deadline:
        codes.append(code(caller.ask("READ item")))
        gevent.sleep(0.2)
    assert codes[0] == ""
    assert codes[-1] == "BUSY"
    fleet.store.down = False
    wait_until(lambda: code(caller.ask("READ item")) == "", 3.0)


def test_a_rate_covers_the_whole_fleet(fleet: Fleet) -> None:
    callers = [fleet.caller("strict", "k2", instance) for instance in (0, 1)]
    answers = [code(caller.ask("READ item")) for _ in range(6) for caller in callers]
    assert answers.count("") <= 5
    assert "BUSY" in answers


def ask_until_done(caller: Caller, text: str, seconds: float) -> list[str]:
    deadline = time.monotonic() + seconds
    while True:
        answer = caller.ask(text)
        if not code(answer) or time.monotonic() > deadline:
            return answer


@pytest.mark.parametrize("fault", ["crash", "silent"])
def test_a_lost_primary_is_replaced(fleet: Fleet, fault: str) -> None:
    caller = fleet.caller("strict", instance=1)
    caller.ask("WRITE item before")
    gevent.sleep(0.1)
    lost = fleet.group.members[fleet.group.primary]
    if fault == "crash":
        lost.crash()
    else:
        lost.silent = True
    answer = ask_until_done(caller, "WRITE item after", 5.0)
    assert answer[0].startswith("COMPLETE "), answer
    assert fleet.group.primary != lost.id
    assert caller.ask("READ item")[0] == "ROW after"


def test_a_leaving_primary_is_replaced(fleet: Fleet) -> None:
    leaving = fleet.group.members[fleet.group.primary]
    caller = fleet.caller("strict")
    fleet.store.put(f"servers/{leaving.id}", leaving.entry("draining"))
    wait_until(lambda: fleet.group.primary != leaving.id, 4.0)
    assert ask_until_done(caller, "WRITE item x", 3.0)[0].startswith("COMPLETE ")


def test_links_survive_a_second_registration(fleet: Fleet) -> None:
    # If peers restart their message sequences after a second registration, the
    # recipient's window drops those messages for good, as happened on scale-2.
    caller = fleet.caller("strict", instance=1)
    assert code(caller.ask("WRITE item one")) == ""
    first = fleet.instances[0]
    registration = first.registry.registration
    assert registration.lease is not None
    fleet.store.end_lease(registration.lease.number)
    wait_until(lambda: registration.own_key in fleet.store.items, 6.0)
    for instance in (0, 1):
        other = fleet.caller("strict", instance=instance)
        assert code(other.ask("WRITE item two")) == ""
    assert not any(pooler.view.suspects for pooler in fleet.instances)


def test_the_store_is_read_again_after_lost_history(fleet: Fleet) -> None:
    fleet.store.forget_history()
    fleet.declare({**DECLARATIONS, "version": 11})
    wait_until(
        lambda: all(
            pooler.view.declarations.version == 11 for pooler in fleet.instances
        )
    )


def test_a_malformed_statement_is_refused(fleet: Fleet) -> None:
    assert code(fleet.caller("strict").ask("DROP everything")) == "MALFORMED"


def test_pipelined_statements_are_answered_in_order(fleet: Fleet) -> None:
    caller = fleet.caller("strict")
    for text in ("WRITE item a", "READ item", "WRITE item b", "READ item"):
        caller.send(text)
    answers = [caller.read_answer() for _ in range(4)]
    assert [answer[0] for answer in answers[1::2]] == ["ROW a", "ROW b"]


@pytest.mark.parametrize("name", ["aged", "own"])
def test_the_first_read_after_an_idle_time_goes_to_a_replica(
    fleet: Fleet, name: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The first reads of a large fleet arrive together and would load the primary."""
    # In a large fleet most instances are not in line for the duty.
    monkeypatch.setattr(peers, "STANDBY_COUNT", 0)
    primary = fleet.group.members[fleet.group.primary]
    database = fleet.instances[0].view.databases[primary.id]
    holder = fleet.instances[0].view.holders(database)[0]
    other = next(
        number
        for number, pooler in enumerate(fleet.instances)
        if pooler.settings.instance != holder
    )
    caller = fleet.caller(name, instance=other)
    gevent.sleep(2.5)
    before = len(fleet.group.runs)
    caller.ask("READ item")
    ran = fleet.group.runs[before:]
    assert [run.database == primary.id for run in ran] == [False]


@pytest.mark.parametrize(
    "key", ["servers/odd", "op/config", "berylhinge/instances/odd", "other/odd"]
)
@pytest.mark.parametrize(
    "value", [b'{"x":' + b"[" * 200_000, b"\xff\xfe", b"", b"null"]
)
def test_no_value_in_the_store_stops_an_instance_from_following_it(
    fleet: Fleet, key: str, value: bytes
) -> None:
    fleet.store.put(key, value)
    fleet.declare({**DECLARATIONS, "version": 12})
    wait_until(
        lambda: all(
            pooler.view.declarations.version == 12 for pooler in fleet.instances
        )
    )
    gevent.sleep(0.2)
    assert code(fleet.caller("strict").ask("READ item")) == ""


@pytest.mark.parametrize("name", ["aged", "own"])
def test_first_reads_in_a_large_fleet_ask_the_relay_and_not_the_holder(
    fleet: Fleet, name: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Load pattern: many instances that each read every service now and then."""
    fleet.add_instance()
    wait_until(lambda: all(len(pooler.view.members) == 3 for pooler in fleet.instances))
    monkeypatch.setattr(peers, "STANDBY_COUNT", 0)
    monkeypatch.setattr(service_states, "MIN_RELAYED_INSTANCES", 0)
    view = fleet.instances[0].view
    primary = view.databases[fleet.group.primary]
    relay, holder = view.relays()[0], view.holders(primary)[0]
    reader = next(
        pooler
        for pooler in fleet.instances
        if pooler.view.own_instance not in (relay, holder)
    )
    gevent.sleep(2.5)
    asked: list[str] = []
    probe = reader.peer_monitor.probe_peer

    def record_probe(peer: str) -> None:
        asked.append(peer)
        probe(peer)

    monkeypatch.setattr(reader.peer_monitor, "probe_peer", record_probe)
    before = len(fleet.group.runs)
    caller = Caller(reader.settings.callers, name, "k1")
    for _ in range(5):
        assert code(caller.ask("READ item")) == ""
        gevent.sleep(0.3)
    ran = {run.database for run in fleet.group.runs[before:]}
    assert primary.id not in ran
    assert holder not in asked or holder == relay


@pytest.mark.parametrize("is_history_lost", [False, True])
def test_a_restarted_instance_uses_nothing_that_left_before_a_stale_read(
    fleet: Fleet, is_history_lost: bool
) -> None:
    gone = next(name for name in fleet.group.members if name != fleet.group.primary)
    fleet.store.hold_stale()
    tenants = [{**DECLARATIONS["tenants"][0], "api-keys": ["k7"]}]
    fleet.declare({**DECLARATIONS, "version": 9, "tenants": tenants})
    fleet.store.delete(f"servers/{gone}")
    if is_history_lost:
        fleet.store.forget_history()
    # Waits until the instance is confirmed, before which it serves nothing.
    restarted = fleet.add_instance()
    assert gone not in restarted.view.databases
    assert restarted.view.declarations.version == 9
    for key, started in [("k1", "ERROR NOAUTH"), ("k7", "READY I -")]:
        caller = Caller(restarted.settings.callers, "strict", key)
        assert caller.started.startswith(started)
