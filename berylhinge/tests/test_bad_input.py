from __future__ import annotations

from typing import NamedTuple

import gevent
import msgspec
import pytest
from gevent import socket
from hypothesis import given, settings, strategies as st

from ..cli.dev import Client, ROUTE
from ..core.session_tokens import encode_session_token, SessionToken

STATEMENTS = f"/v1/routes/{ROUTE}/statements"
TRANSACTIONS = f"/v1/routes/{ROUTE}/transactions"
READ = b'{"statement": "SELECT 1", "access": "read"}'


class Bad(NamedTuple):
    name: str
    status: int
    reason: str
    body: bytes = READ
    path: str = STATEMENTS
    method: str = "POST"
    authorization: str | None = ""
    session: str | None = None


def body(text: str) -> bytes:
    return text.encode()


TOKEN = encode_session_token(SessionToken("orders", 1, 1))
FOREIGN = encode_session_token(SessionToken("elsewhere", 1, 1))
MALFORMED = "malformed-body"
TABLE = [
    Bad("empty", 400, MALFORMED, b""),
    Bad("not JSON", 400, MALFORMED, b"{"),
    Bad("not UTF-8", 400, MALFORMED, b'{"statement": "\xff", "access": "read"}'),
    Bad("a list", 400, MALFORMED, b"[]"),
    Bad("deep nesting", 400, MALFORMED, b"[" * 100_000),
    Bad("no access", 400, MALFORMED, b'{"statement": "SELECT 1"}'),
    Bad("wrong type", 400, MALFORMED, b'{"statement": 1, "access": "read"}'),
    Bad("wrong access", 400, MALFORMED, b'{"statement": "SELECT 1", "access": "r"}'),
    Bad(
        "unknown field",
        400,
        MALFORMED,
        b'{"statement": "SELECT 1", "access": "read", "idempotant": true}',
    ),
    Bad(
        "NaN",
        400,
        MALFORMED,
        b'{"statement": "SELECT 1", "access": "read", "timeout_seconds": NaN}',
    ),
    Bad(
        "infinite",
        400,
        MALFORMED,
        b'{"statement": "SELECT 1", "access": "read", "timeout_seconds": 1e999}',
    ),
    Bad(
        "negative timeout",
        400,
        MALFORMED,
        b'{"statement": "SELECT 1", "access": "read", "timeout_seconds": -1}',
    ),
    Bad(
        "negative age",
        400,
        MALFORMED,
        b'{"statement": "SELECT 1", "access": "read", "max_age_seconds": -0.1}',
    ),
    Bad(
        "nested parameter",
        400,
        MALFORMED,
        b'{"statement": "SELECT ?", "access": "read", "parameters": [[1]]}',
    ),
    Bad("oversized", 413, "body-too-large", b" " * 1_100_000),
    Bad("GET", 404, "unknown-path", b"", method="GET"),
    Bad("unknown path", 404, "unknown-path", path="/v2/nothing"),
    Bad("unknown action", 404, "unknown-path", path=f"{TRANSACTIONS}/x/explode"),
    Bad("unknown route", 404, "unknown-route", path="/v1/routes/none/statements"),
    Bad("no key", 401, "missing-key", authorization=None),
    Bad("no scheme", 401, "invalid-key", authorization="bh_demo_not-a-secret"),
    Bad("wrong key", 401, "invalid-key", authorization="Bearer bh_demo_wrong"),
    Bad("key of no form", 401, "invalid-key", authorization="Bearer nonsense"),
    Bad("truncated token", 400, "malformed-session", session=TOKEN[:-3]),
    Bad("no token at all", 400, "malformed-session", session="%%%"),
    Bad("foreign token", 400, "foreign-session", session=FOREIGN),
    Bad(
        "foreign transaction",
        404,
        "unknown-transaction",
        b"{}",
        path=f"{TRANSACTIONS}/instance-1.0123/commit",
    ),
    Bad(
        "bad SQL",
        422,
        "statement-failed",
        b'{"statement": "SELECT a FROM nowhere", "access": "read"}',
    ),
    Bad(
        "a write as a read",
        422,
        "statement-unsupported",
        b'{"statement": "CREATE TABLE sneaky (n)", "access": "read"}',
    ),
]


def send(demo, case: Bad) -> tuple[int, dict]:
    client = Client(demo.describe()["callers"][0])
    headers = {}
    if case.authorization is not None:
        headers["Authorization"] = case.authorization or f"Bearer {demo.key}"
    if case.session is not None:
        headers["Berylhinge-Session"] = case.session
    response = client.http.request(case.method, case.path, case.body, headers)
    content_type = response.get("Content-Type")
    answer = response.read()
    assert content_type == "application/problem+json", answer
    return response.status_code, msgspec.json.decode(answer)


def assert_still_serving(demo) -> None:
    client = Client(demo.describe()["callers"][0])
    good = {"statement": "SELECT 1", "access": "read"}
    assert client.call(STATEMENTS, good, key=demo.key)[0] == 200


@pytest.mark.parametrize("case", TABLE, ids=[case.name for case in TABLE])
def test_bad_input_is_refused_as_not_run(demo, case):
    status, problem = send(demo, case)
    assert (status, problem["reason"]) == (case.status, case.reason), problem
    assert problem["outcome"] == "not-run"
    assert problem["remedy"]
    assert_still_serving(demo)


def test_a_slow_body_is_refused_as_not_run(demo):
    proxy = demo.proxies[0]
    limit = proxy.callers_app.body_timeout_seconds
    proxy.callers_app.body_timeout_seconds = 0.1
    try:
        address = proxy.live_list.own_record["callers"].rpartition(":")
        sock = socket.create_connection((address[0], int(address[2])))
        head = f"POST {STATEMENTS} HTTP/1.1\r\nHost: x\r\nContent-Length: 50\r\n\r\n{{"
        sock.sendall(head.encode())
        with gevent.Timeout(10):
            answer = sock.recv(65_536)
        sock.close()
    finally:
        proxy.callers_app.body_timeout_seconds = limit
    assert b"body-too-slow" in answer
    assert b"not-run" in answer
    assert_still_serving(demo)


@settings(max_examples=60, derandomize=True, deadline=None)
@given(data=st.binary(max_size=300))
def test_random_bodies_never_fail_inside(demo, data):
    status, problem = send(demo, Bad("random", 0, "", data))
    assert 400 <= status < 500
    assert problem["outcome"] == "not-run"
