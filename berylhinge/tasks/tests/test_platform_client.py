from __future__ import annotations

from collections.abc import Iterator
from typing import Any

import gevent
import msgspec
import pytest
from gevent import pywsgi

from ..http_server import Address, respond, server_address, start_server
from ..platform_client import PlatformClient, StoreErrorKind

ANSWER = b'{"value": "x", "revision": 3, "swapped": true}'
# Port 9 (discard) on the loopback has no listener, so connections are refused.
UNREACHABLE = Address("127.0.0.1", 9)


class FakePlatform:
    """Answer every path with the set response and record the requests."""

    def __init__(self) -> None:
        self.status = 200
        self.body = ANSWER
        self.delay_seconds = 0.0
        self.requests: list[tuple[str, Any]] = []
        self.server = start_server(Address("127.0.0.1", 0), self.answer)
        self.address = server_address(self.server)

    def answer(self, environ: dict[str, Any], start_response: Any) -> list[bytes]:
        body = environ["wsgi.input"].read()
        self.requests.append((environ["PATH_INFO"], msgspec.json.decode(body)))
        gevent.sleep(self.delay_seconds)
        return respond(start_response, self.status, self.body)


@pytest.fixture
def fake() -> Iterator[FakePlatform]:
    platform = FakePlatform()
    yield platform
    platform.server.stop()


def make_client(*addresses: Address) -> tuple[PlatformClient, list[str]]:
    outcomes: list[str] = []
    client = PlatformClient(addresses, timeout_seconds=0.2, on_call=outcomes.append)
    return client, outcomes


def swap(client: PlatformClient) -> Any:
    return client.swap("k", "v", expected_revision=2)


def get(client: PlatformClient) -> Any:
    return client.get("k")


def test_calls_reuse_one_connection(fake: FakePlatform) -> None:
    client, outcomes = make_client(fake.address)
    assert get(client).unwrap() == {"value": "x", "revision": 3}
    assert swap(client).unwrap()["swapped"] is True
    assert [len(idle) for idle in client.idle_connections.values()] == [1]
    assert outcomes == ["ok", "ok"]
    client.close()


@pytest.mark.parametrize(
    "status, body, delay_seconds, kind",
    [
        (503, b"", 0.0, StoreErrorKind.OVERLOADED),
        (429, b"", 0.0, StoreErrorKind.OVERLOADED),
        (500, b"", 0.0, StoreErrorKind.UNKNOWN),
        (400, b"no", 0.0, StoreErrorKind.MALFORMED),
        (200, b"{", 0.0, StoreErrorKind.UNKNOWN),
        (200, b'{"swapped": 1}', 0.0, StoreErrorKind.UNKNOWN),
        (200, ANSWER, 1.0, StoreErrorKind.UNKNOWN),
    ],
)
def test_a_failed_swap_reports_its_error_kind(
    fake: FakePlatform,
    status: int,
    body: bytes,
    delay_seconds: float,
    kind: StoreErrorKind,
) -> None:
    fake.status, fake.body, fake.delay_seconds = status, body, delay_seconds
    client, _ = make_client(fake.address, UNREACHABLE)
    error = swap(client).failure()
    assert error.kind is kind
    assert error.remedy


def test_a_swap_that_was_not_sent_goes_to_the_next_address(fake: FakePlatform) -> None:
    client, outcomes = make_client(UNREACHABLE, fake.address)
    assert swap(client).unwrap()["swapped"] is True
    assert outcomes == ["not-applied", "ok"]
    assert swap(client).unwrap()["swapped"] is True
    assert outcomes == ["not-applied", "ok", "ok"]


def test_a_swap_whose_answer_was_lost_is_not_sent_again(fake: FakePlatform) -> None:
    other = FakePlatform()
    fake.delay_seconds = 1.0
    client, _ = make_client(fake.address, other.address)
    assert swap(client).failure().kind is StoreErrorKind.UNKNOWN
    assert other.requests == []
    other.server.stop()


def test_a_read_whose_answer_was_lost_goes_to_the_next_address(
    fake: FakePlatform,
) -> None:
    other = FakePlatform()
    fake.delay_seconds = 1.0
    client, _ = make_client(fake.address, other.address)
    assert get(client).unwrap()["revision"] == 3
    other.server.stop()


def test_a_connection_that_the_service_closed_is_not_used() -> None:
    first = FakePlatform()
    client, outcomes = make_client(first.address)
    assert swap(client).unwrap()["swapped"] is True
    (connection,) = client.idle_connections[first.address]
    peer = connection.sock.getsockname()
    first.server.stop()
    for handler in list(first.server.pool):
        handler.kill()
    second = start_server(first.address, first.answer)
    assert swap(client).unwrap()["swapped"] is True
    assert outcomes == ["ok", "ok"]
    (connection,) = client.idle_connections[first.address]
    assert connection.sock.getsockname() != peer
    second.stop()


def test_no_reachable_address_means_not_applied() -> None:
    client, _ = make_client(UNREACHABLE)
    assert get(client).failure().kind is StoreErrorKind.NOT_APPLIED


def test_a_connection_closed_before_the_answer_is_not_reused(
    fake: FakePlatform,
) -> None:
    class ClosingHandler(pywsgi.WSGIHandler):
        def handle_one_response(self) -> None:
            self.socket.close()

    closing_server = start_server(
        Address("127.0.0.1", 0), fake.answer, handler_class=ClosingHandler
    )
    client, _ = make_client(server_address(closing_server))
    assert swap(client).failure().kind is StoreErrorKind.UNKNOWN
    assert all(not idle for idle in client.idle_connections.values())
    closing_server.stop()
