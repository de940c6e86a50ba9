from __future__ import annotations

from collections.abc import Iterator
from typing import Any

import gevent
import msgspec
import pytest
from gevent import pywsgi

from ..http import Address, respond, server_address, start_server
from ..platform import PlatformClient, StoreErrorKind

ANSWER = b'{"value": "x", "revision": 3, "swapped": true}'
# Port 9 of the loopback (discard) has no listener, so that it refuses.
CLOSED = Address("127.0.0.1", 9)


class FakePlatform:
    """Answer each path as told and keep what was asked."""

    def __init__(self) -> None:
        self.status = 200
        self.body = ANSWER
        self.delay_seconds = 0.0
        self.asked: list[tuple[str, Any]] = []
        self.server = start_server(Address("127.0.0.1", 0), self.answer)
        self.address = server_address(self.server)

    def answer(self, environ: dict[str, Any], start_response: Any) -> list[bytes]:
        body = environ["wsgi.input"].read()
        self.asked.append((environ["PATH_INFO"], msgspec.json.decode(body)))
        gevent.sleep(self.delay_seconds)
        return respond(start_response, self.status, self.body)


@pytest.fixture
def fake() -> Iterator[FakePlatform]:
    platform = FakePlatform()
    yield platform
    platform.server.stop()


def client_of(*addresses: Address) -> tuple[PlatformClient, list[str]]:
    counted: list[str] = []
    client = PlatformClient(addresses, timeout_seconds=0.2, on_call=counted.append)
    return client, counted


def swap(client: PlatformClient) -> Any:
    return client.swap("k", "v", expected_revision=2)


def get(client: PlatformClient) -> Any:
    return client.get("k")


def test_calls_reuse_one_connection(fake: FakePlatform) -> None:
    client, counted = client_of(fake.address)
    assert get(client).unwrap() == {"value": "x", "revision": 3}
    assert swap(client).unwrap()["swapped"] is True
    assert [len(idle) for idle in client.idle.values()] == [1]
    assert counted == ["ok", "ok"]
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
def test_a_failed_swap_tells_what_is_known(
    fake: FakePlatform,
    status: int,
    body: bytes,
    delay_seconds: float,
    kind: StoreErrorKind,
) -> None:
    fake.status, fake.body, fake.delay_seconds = status, body, delay_seconds
    client, _ = client_of(fake.address, CLOSED)
    error = swap(client).failure()
    assert error.kind is kind
    assert error.remedy


def test_a_swap_that_never_left_goes_to_the_next_address(fake: FakePlatform) -> None:
    client, counted = client_of(CLOSED, fake.address)
    assert swap(client).unwrap()["swapped"] is True
    assert counted == ["not-applied", "ok"]
    assert swap(client).unwrap()["swapped"] is True
    assert counted == ["not-applied", "ok", "ok"]


def test_a_swap_whose_answer_was_lost_is_not_sent_again(fake: FakePlatform) -> None:
    other = FakePlatform()
    fake.delay_seconds = 1.0
    client, _ = client_of(fake.address, other.address)
    assert swap(client).failure().kind is StoreErrorKind.UNKNOWN
    assert other.asked == []
    other.server.stop()


def test_a_read_whose_answer_was_lost_goes_to_the_next_address(
    fake: FakePlatform,
) -> None:
    other = FakePlatform()
    fake.delay_seconds = 1.0
    client, _ = client_of(fake.address, other.address)
    assert get(client).unwrap()["revision"] == 3
    other.server.stop()


def test_a_connection_that_the_service_closed_is_not_used() -> None:
    first = FakePlatform()
    client, counted = client_of(first.address)
    assert swap(client).unwrap()["swapped"] is True
    (connection,) = client.idle[first.address]
    peer = connection.sock.getsockname()
    first.server.stop()
    for handler in list(first.server.pool):
        handler.kill()
    second = start_server(first.address, first.answer)
    assert swap(client).unwrap()["swapped"] is True
    assert counted == ["ok", "ok"]
    (connection,) = client.idle[first.address]
    assert connection.sock.getsockname() != peer
    second.stop()


def test_no_address_answers() -> None:
    client, _ = client_of(CLOSED)
    assert get(client).failure().kind is StoreErrorKind.NOT_APPLIED


def test_a_connection_lost_in_mid_answer_is_not_reused(fake: FakePlatform) -> None:
    class Rude(pywsgi.WSGIHandler):
        def handle_one_response(self) -> None:
            self.socket.close()

    rude = start_server(Address("127.0.0.1", 0), fake.answer, handler_class=Rude)
    client, _ = client_of(server_address(rude))
    assert swap(client).failure().kind is StoreErrorKind.UNKNOWN
    assert all(not idle for idle in client.idle.values())
    rude.stop()
