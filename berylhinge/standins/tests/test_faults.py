from __future__ import annotations

import gevent
import pytest

from ...tasks.http_connection import ConnectionFailed
from ..faults import FaultsRequest, FaultState
from ..group import start_group
from ..statements import LEAVING_GRACE_SECONDS
from .helpers import call, Caller, cats_of, eventually, INSERT, TABLE

SHORT_SECONDS = 0.1


@pytest.fixture
def group():
    group = start_group(["a", "b", "c"])
    yield group
    group.stop()


@pytest.fixture
def primary(group):
    primary = group.databases[0]
    assert Caller(primary.data).write(TABLE).status == 200
    return primary


def set_faults(standin, **faults):
    answer = call(standin.fault_address, "/v1/faults", faults)
    assert answer.status == 200
    return answer.body


@pytest.mark.parametrize(
    "faults",
    [
        {"partition": ["a", "i1"]},
        {"slow_seconds": 0.5},
        {"drop_answers": 2},
        {"drop_read_answers": 1},
        {"repeat_answers": 1},
        {"mislabel_answers": 1},
        {"lag_seconds": 3.0},
        {"leaving": True},
        {"down": True},
    ],
    ids=lambda faults: next(iter(faults)),
)
def test_a_fault_is_reported_until_changed(group, faults):
    before = set_faults(group.databases[1])
    assert set_faults(group.databases[1], **faults) == {**before, **faults}
    reset = {name: before[name] for name in faults}
    assert set_faults(group.databases[1], **reset) == before


@pytest.mark.parametrize(
    ("partition", "peer", "cut"),
    [([], "i1", False), (["i1"], "i1", True), (["i1"], "i2", False), (["*"], "", True)],
)
def test_a_partition_names_those_it_cuts(partition, peer, cut):
    faults = FaultState()
    faults.update(FaultsRequest(partition=partition))
    assert faults.is_cut(peer) is cut


def test_a_partitioned_instance_gets_no_answer_and_others_do(primary):
    set_faults(primary, partition=["i1"])
    with pytest.raises(ConnectionFailed) as failed:
        Caller(primary.data, "i1").call("/v1/statement", {}, seconds=SHORT_SECONDS)
    assert failed.value.may_have_sent
    assert Caller(primary.data, "i2").read().status == 200
    eventually(lambda: len(primary.registry.open) <= 2)


@pytest.mark.parametrize("fault", ["partition", "pause"])
def test_what_was_held_back_arrives_late(primary, fault):
    caller = Caller(primary.data, "i1")
    caller.read()
    hold = {"partition": ["i1"]} if fault == "partition" else {"pause_seconds": 30}
    set_faults(primary, **hold)
    late = gevent.spawn(caller.write, INSERT, "Miso")
    eventually(lambda: primary.recorder.has(b"Miso"))
    assert cats_of(primary) == []
    set_faults(primary, partition=[], pause_seconds=0)
    assert late.get(timeout=5).status == 200
    assert cats_of(primary) == ["Miso"]


def test_a_pause_holds_control_and_heartbeats_too(group, primary):
    replica = group.databases[1]
    set_faults(primary, pause_seconds=30)
    with pytest.raises(ConnectionFailed):
        Caller(primary.control).call("/v1/status", seconds=SHORT_SECONDS)
    eventually(lambda: replica.member.status()["primary_silence_seconds"] > 0.2)
    assert primary.member.leads
    set_faults(primary, pause_seconds=0)
    eventually(lambda: replica.member.status()["primary_silence_seconds"] < 0.1)


@pytest.mark.parametrize(
    ("fault", "access", "kept"),
    [("drop_answers", "write", ["Miso"]), ("drop_read_answers", "read", [])],
)
def test_a_dropped_answer_was_applied(primary, fault, access, kept):
    set_faults(primary, **{fault: 1})
    caller = Caller(primary.data)
    with pytest.raises(ConnectionFailed) as failed:
        if access == "write":
            caller.write(INSERT, "Miso")
        else:
            caller.read()
    assert failed.value.may_have_sent
    assert cats_of(primary) == kept
    assert Caller(primary.data).write(INSERT, "Tofu").status == 200


def test_a_repeated_answer_comes_twice_on_the_connection(primary):
    set_faults(primary, repeat_answers=1)
    caller = Caller(primary.data)
    caller.connection.open(1.0)
    sock = caller.connection.sock
    once = caller.connection
    body = b'{"request_id":"x","access":"read","statement":"SELECT 1","parameters":[]}'
    head = (
        f"POST /v1/statement HTTP/1.1\r\n{once.header_text}Content-Length: {len(body)}"
    )
    sock.sendall(head.encode() + b"\r\n\r\n" + body)
    data = b""
    while data.count(b'"request_id":"x"') < 2:
        more = sock.recv(4096)
        assert more
        data += more


def test_a_mislabelled_answer_names_another_request(primary):
    set_faults(primary, mislabel_answers=1)
    caller = Caller(primary.data)
    assert caller.read().body["request_id"].endswith("-mislabelled")
    assert not caller.read().body["request_id"].endswith("-mislabelled")


def test_a_lagging_replica_hears_heartbeats_but_gets_no_entries(group, primary):
    replica = group.databases[1]
    eventually(lambda: replica.member.state.log == primary.member.state.log)
    set_faults(replica, lag_seconds=30.0)
    Caller(primary.data).write(INSERT, "Miso")
    eventually(lambda: cats_of(group.databases[2]) == ["Miso"])
    heard_at = replica.member.heard_at
    eventually(lambda: replica.member.heard_at > heard_at)
    assert cats_of(replica) == []
    set_faults(replica, lag_seconds=0.1)
    eventually(lambda: cats_of(replica) == ["Miso"])


@pytest.mark.parametrize("where", ["data", "control"])
def test_a_database_that_is_down_refuses_and_comes_back_as_replica(primary, where):
    caller = Caller(primary.data)
    caller.write(INSERT, "Miso")
    set_faults(primary, down=True)
    with pytest.raises(ConnectionFailed):
        caller.read()
    with pytest.raises(ConnectionFailed) as failed:
        call(getattr(primary, where), "/v1/status")
    assert failed.value.connect_refused
    set_faults(primary, down=False)
    status = call(primary.control, "/v1/status").body
    assert (status["role"], status["last"]) == ("replica", [1, 3])
    assert Caller(primary.data).read().cats == ["Miso"]


def test_a_leaving_database_takes_no_new_work_after_its_grace(primary):
    caller = Caller(primary.data)
    caller.transact("begin")
    assert call(primary.control, "/v1/leaving", {"leaving": True}).body["leaving"]
    other = Caller(primary.data)
    assert other.read().status == 200
    primary.service.leaving_at -= LEAVING_GRACE_SECONDS
    assert other.read().error == "leaving"
    assert caller.read().status == 200
    work = call(primary.fault_address, "/v1/work").body
    assert (work["reads"], work["refused_leaving"]) == (2, 1)
    call(primary.control, "/v1/leaving", {"leaving": False})
    assert other.read().status == 200


@pytest.mark.parametrize(("needle", "found"), [("Miso", True), ("secret", False)])
def test_received_bytes_are_searchable(primary, needle, found):
    Caller(primary.data).write(INSERT, "Miso")
    answer = call(primary.fault_address, "/v1/received", {"needle": needle})
    assert answer.body["found"] is found
