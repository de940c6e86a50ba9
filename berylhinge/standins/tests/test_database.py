from __future__ import annotations

import gevent
import pytest

from ...tasks.http_connection import ConnectionFailed
from .. import connections
from ..database import start_database
from ..faults import FaultsRequest
from ..group import start_group
from ..statements import Costs
from .helpers import call, Caller, cats_of, eventually, INSERT, TABLE

NAMES = ["a", "b", "c"]


@pytest.fixture
def group():
    group = start_group(NAMES, connections=3, costs=Costs(busy_seconds=0.05))
    yield group
    group.stop()


@pytest.fixture
def caller(group):
    caller = Caller(group.databases[0].data)
    assert caller.write(TABLE).status == 200
    yield caller
    caller.close()


def fence(database, term, promoter="p"):
    message = {"term": term, "promoter": promoter}
    return call(database.control, "/v1/fence", message).body


def promote(group, name, term):
    for database in group.databases:
        fence(database, term)
    message = {"term": term, "promoter": "p", "members": group.members}
    return call(group.get(name).control, "/v1/promote", message).body


def same_logs(group):
    logs = [database.member.state.log for database in group.databases]
    return all(log == logs[0] for log in logs)


def test_a_write_reaches_every_replica_with_its_request(group, caller):
    answer = caller.write(INSERT, "Miso")
    assert answer.body["written"] == answer.body["last"] == [1, 3]
    eventually(lambda: all(cats_of(item) == ["Miso"] for item in group.databases))
    for database in group.databases:
        status = call(database.control, "/v1/status").body
        assert (status["term"], status["log_term"]) == (1, 1)
        assert status["last"] == [1, 3]
        ledger = call(database.fault_address, "/v1/ledger").body["entries"]
        assert ledger[-1]["request_id"] == answer.body["request_id"]


def test_a_late_replica_has_rows_once_it_has_the_table(group):
    late = group.databases[2]
    late.update_faults(FaultsRequest(lag_seconds=0.2))
    caller = Caller(group.databases[0].data)
    assert caller.write(TABLE).status == 200
    caller.write(INSERT, "Miso")
    assert cats_of(late) is None
    eventually(lambda: cats_of(late) == ["Miso"])


def test_a_replica_answers_reads_and_refuses_writes(group, caller):
    caller.write(INSERT, "Miso")
    replica = Caller(group.databases[1].data)
    # The replica has no table until it has received the statement that creates it.
    eventually(
        lambda: (answer := replica.read()).status == 200 and answer.cats == ["Miso"]
    )
    refused = replica.write(INSERT, "Tofu")
    assert (refused.error, refused.body["ran"]) == ("not-primary", False)


@pytest.mark.parametrize(
    ("statement", "parameters", "term", "error"),
    [
        (INSERT, ["Miso"], 0, "superseded"),
        (INSERT, ["Miso"], 2, "not-primary"),
        (INSERT, ["Miso"], None, "not-primary"),
        (INSERT, [], 1, "sql-error"),
        ("INSERT INTO visits (cat) VALUES (random())", [], 1, "unsupported"),
        ("COMMIT", [], 1, "unsupported"),
    ],
)
def test_a_refused_write_leaves_no_entry(
    group, caller, statement, parameters, term, error
):
    answer = caller.write(statement, *parameters, term=term)
    assert (answer.status, answer.error) == (409, error)
    assert answer.body["ran"] is False
    assert answer.body["term"] == 1
    assert len(group.databases[0].member.state.log) == 2
    assert caller.read().cats == []


@pytest.mark.parametrize(
    ("path", "message", "status"),
    [
        ("/v1/statement", {"request_id": "r"}, 400),
        ("/v1/statement", {"request_id": 1}, 400),
        ("/v1/begin", [], 400),
        ("/v1/nothing", {}, 404),
    ],
)
def test_a_malformed_request_is_refused(group, path, message, status):
    answer = call(group.databases[0].data, path, message or [])
    assert (answer.status, answer.error) == (status, "malformed")


def test_a_commit_writes_one_entry(group, caller):
    assert caller.transact("begin", term=1).status == 200
    assert caller.write(INSERT, "Miso").body.get("written") is None
    assert caller.write(INSERT, "Tofu").status == 200
    assert caller.read().cats == ["Miso", "Tofu"]
    other = Caller(group.databases[0].data)
    assert other.read().cats == []
    committed = caller.transact("commit")
    assert committed.body["written"] == [1, 3]
    assert other.read().cats == ["Miso", "Tofu"]
    eventually(lambda: cats_of(group.databases[2]) == ["Miso", "Tofu"])


@pytest.mark.parametrize("end", ["rollback", "close", "fence", "down"])
def test_an_ended_transaction_leaves_nothing(group, caller, end):
    database = group.databases[0]
    caller.transact("begin", term=1)
    caller.write(INSERT, "Miso")
    if end == "rollback":
        assert caller.transact("rollback").status == 200
    elif end == "close":
        caller.close()
    elif end == "fence":
        assert fence(database, 2)["status"]["role"] == "replica"
        assert caller.write(INSERT, "Tofu").error == "superseded"
        assert caller.transact("commit").error == "superseded"
        assert caller.transact("rollback").status == 200
    else:
        database.update_faults(FaultsRequest(down=True))
        database.update_faults(FaultsRequest(down=False))
    eventually(lambda: database.member.transaction is None)
    assert cats_of(database) == []
    term = database.member.state.term + 1
    assert promote(group, "a", term)["promoted"]
    fresh = Caller(database.data)
    assert fresh.write(INSERT, "Miso", term=term).status == 200


@pytest.mark.parametrize("step", ["begin", "write"])
def test_the_writer_is_one_at_a_time(group, caller, step):
    caller.transact("begin", term=1)
    other = Caller(group.databases[0].data)
    if step == "begin":
        refused = other.transact("begin", term=1)
    else:
        refused = other.write(INSERT, "Miso")
    assert (refused.error, refused.body["ran"]) == ("busy", False)
    caller.transact("commit")
    assert other.write(INSERT, "Miso").status == 200


@pytest.mark.parametrize(
    ("step", "error"), [("commit", "no-transaction"), ("begin", "malformed")]
)
def test_a_step_out_of_order_is_refused(caller, step, error):
    if step == "begin":
        caller.transact("begin")
    assert caller.transact(step).error == error


def test_a_transaction_without_a_term_only_reads(caller):
    caller.transact("begin")
    assert caller.read().status == 200
    assert caller.write(INSERT, "Miso").error == "unsupported"
    assert caller.transact("commit").status == 200


def test_connections_over_the_limit_are_refused_and_closed(group, caller):
    callers = [Caller(group.databases[0].data) for _ in range(2)]
    assert [item.read().status for item in callers] == [200, 200]
    extra = Caller(group.databases[0].data)
    refused = extra.read()
    assert (refused.status, refused.error) == (503, "too-many-connections")
    assert refused.body["ran"] is False
    assert not extra.connection.is_open
    callers[0].close()
    eventually(lambda: Caller(group.databases[0].data).read().status == 200)
    status = call(group.databases[0].control, "/v1/status").body
    assert status["connection_limit"] == 3


def test_only_the_first_request_pays_the_connect_cost(monkeypatch):
    paid = []
    monkeypatch.setattr(connections.gevent, "sleep", paid.append)
    database = start_database("a", costs=Costs(connect_seconds=0.012))
    caller = Caller(database.data)
    for _ in range(3):
        caller.read("SELECT 1")
    assert paid == [0.012]
    monkeypatch.undo()
    database.stop()


def test_statements_beyond_the_slots_wait_and_then_are_refused():
    database = start_database("a", slots=1, costs=Costs(busy_seconds=0.01))
    database.service.slots.acquire()
    refused = Caller(database.data).read("SELECT 1")
    assert (refused.error, refused.body["ran"]) == ("busy", False)
    database.service.slots.release()
    assert Caller(database.data).read("SELECT 1").status == 200
    database.stop()


def test_a_new_primary_undoes_what_only_the_old_one_has(group, caller):
    old = group.databases[0]
    caller.write(INSERT, "Miso")
    eventually(lambda: same_logs(group))
    old.update_faults(FaultsRequest(partition=["b", "c", "p"]))
    lost = caller.write(INSERT, "Lost")
    assert lost.status == 200
    for database in group.databases[1:]:
        assert fence(database, 2)["granted"]
    message = {"term": 2, "promoter": "p", "members": group.members}
    assert call(group.get("b").control, "/v1/promote", message).body["promoted"]
    assert Caller(group.get("b").data).write(INSERT, "Tofu", term=2).status == 200
    assert cats_of(old) == ["Lost", "Miso"]
    old.update_faults(FaultsRequest(partition=[]))
    eventually(lambda: cats_of(old) == ["Miso", "Tofu"])
    assert same_logs(group)
    assert old.member.state.log_term == 2
    assert caller.write(INSERT, "Again").error == "superseded"


def test_a_watch_returns_on_the_next_change(group, caller):
    database = group.databases[0]
    status = call(database.control, "/v1/status").body
    message = {name: status[name] for name in ("term", "log_term", "last", "role")}
    message["timeout_seconds"] = 30
    watch = gevent.spawn(call, database.control, "/v1/watch", message)
    gevent.sleep(0)
    caller.write(INSERT, "Miso")
    assert watch.get(timeout=5).body["last"] == [1, 3]
    message["timeout_seconds"] = 0
    assert call(database.control, "/v1/watch", message).body["last"] == [1, 3]


@pytest.mark.parametrize(("term", "quiesced"), [(1, True), (2, False)])
def test_a_quiesced_primary_takes_no_new_writes(group, caller, term, quiesced):
    message = {"term": term, "seconds": 30}
    status = call(group.databases[0].control, "/v1/quiesce", message).body
    assert status["quiesced"] is quiesced
    assert caller.write(INSERT, "Miso").error == ("quiesced" if quiesced else None)
    assert caller.read().status == 200


@pytest.mark.parametrize(("position", "term"), [(0, 0), (1, 1), (2, 1), (3, None)])
def test_an_entry_tells_its_term(group, caller, position, term):
    answer = call(group.databases[0].control, "/v1/entry", {"position": position})
    assert answer.body["entry_term"] == term


def test_a_stopped_database_refuses_connections(group):
    database = group.databases[1]
    database.kill()
    for address in (database.data, database.control, database.fault_address):
        with pytest.raises(ConnectionFailed) as failed:
            call(address, "/v1/status")
        assert failed.value.connect_refused
