from __future__ import annotations

from ..cli.dev import check_demo, Client, ROUTE

STATEMENTS = f"/v1/routes/{ROUTE}/statements"
TRANSACTIONS = f"/v1/routes/{ROUTE}/transactions"


def clients(demo):
    return [Client(base) for base in demo.describe()["callers"]]


def run(client, demo, statement, access="read", *, session=None, **extra):
    body = {"statement": statement, "access": access, **extra}
    status, answer, token = client.call(STATEMENTS, body, key=demo.key, session=session)
    assert status == 200, answer
    return answer, token


def test_the_demo_checks_itself(demo):
    assert check_demo(demo)


def test_a_session_reads_its_own_writes_on_any_instance(demo):
    callers = clients(demo)
    run(callers[0], demo, "CREATE TABLE own (n INTEGER)", "write")
    session = None
    for number in range(40):
        writer, reader = callers[number % 2], callers[(number + 1) % 2]
        insert = f"INSERT INTO own VALUES ({number})"
        _, session = run(writer, demo, insert, "write", session=session)
        answer, session = run(reader, demo, "SELECT max(n) FROM own", session=session)
        assert answer["rows"] == [[number]]


def test_a_read_without_a_token_sees_every_acknowledged_write(demo):
    callers = clients(demo)
    run(callers[0], demo, "CREATE TABLE seen (n INTEGER)", "write")
    for number in range(20):
        run(callers[0], demo, f"INSERT INTO seen VALUES ({number})", "write")
        answer, _ = run(callers[1], demo, "SELECT max(n) FROM seen")
        assert answer["rows"] == [[number]]


def test_a_transaction_commits_whole_through_the_other_instance(demo):
    first, second = clients(demo)
    run(first, demo, "CREATE TABLE swaps (n INTEGER)", "write")
    _, begun, session = first.call(TRANSACTIONS, {}, key=demo.key)
    base = f"{TRANSACTIONS}/{begun['transaction']}"
    for number in range(3):
        body = {"statement": f"INSERT INTO swaps VALUES ({number})"}
        status, answer, _ = second.call(f"{base}/statements", body, key=demo.key)
        assert status == 200, answer
    answer, _ = run(second, demo, "SELECT count(*) FROM swaps", session=session)
    assert answer["rows"] == [[0]]
    status, answer, session = second.call(f"{base}/commit", {}, key=demo.key)
    assert status == 200, answer
    answer, _ = run(first, demo, "SELECT count(*) FROM swaps", session=session)
    assert answer["rows"] == [[3]]


def test_a_rolled_back_transaction_leaves_nothing(demo):
    first, second = clients(demo)
    run(first, demo, "CREATE TABLE undone (n INTEGER)", "write")
    _, begun, _ = first.call(TRANSACTIONS, {}, key=demo.key)
    base = f"{TRANSACTIONS}/{begun['transaction']}"
    body = {"statement": "INSERT INTO undone VALUES (1)"}
    assert first.call(f"{base}/statements", body, key=demo.key)[0] == 200
    assert first.call(f"{base}/rollback", {}, key=demo.key)[0] == 200
    answer, _ = run(second, demo, "SELECT count(*) FROM undone")
    assert answer["rows"] == [[0]]
    status, problem, _ = second.call(f"{base}/commit", {}, key=demo.key)
    assert (status, problem["reason"]) == (404, "unknown-transaction")
