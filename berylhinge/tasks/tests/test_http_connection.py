from __future__ import annotations

import gevent
import gevent.socket
import pytest

from ..http_connection import ConnectionFailed, HttpConnection
from ..http_server import Address, respond_json, server_address, start_server
from ..upstream_pool import UpstreamPool


@pytest.fixture
def slow_server():
    def app(environ, start_response):
        gevent.sleep(float(environ["PATH_INFO"].strip("/")))
        return respond_json(start_response, 200, {})

    server = start_server(Address("127.0.0.1", 0), app)
    yield server_address(server)
    server.stop()


def test_an_exchange_may_outlast_the_connect_timeout(slow_server):
    connection = HttpConnection(slow_server, headers={})
    connection.open(0.05)
    assert connection.exchange("/0.2", b"{}", 5.0).status == 200
    assert connection.is_open


def test_a_timed_out_exchange_closes_the_connection_and_counts_as_sent(slow_server):
    connection = HttpConnection(slow_server, headers={})
    connection.open(1.0)
    with pytest.raises(ConnectionFailed) as failure:
        connection.exchange("/5", b"{}", 0.05)
    assert failure.value.may_have_sent
    assert not connection.is_open


def test_a_refused_connection_counts_as_not_sent():
    connection = HttpConnection(Address("127.0.0.1", 1), headers={})
    with pytest.raises(ConnectionFailed) as failure:
        connection.open(1.0)
    assert not failure.value.may_have_sent
    assert failure.value.connect_refused


def test_a_cancelled_exchange_closes_the_connection(slow_server):
    connection = HttpConnection(slow_server, headers={})
    connection.open(1.0)
    exchanging = gevent.spawn(connection.exchange, "/5", b"{}", 5.0)
    gevent.sleep(0)
    gevent.sleep(0.01)
    exchanging.kill()
    assert not connection.is_open


def test_the_pool_replaces_an_idle_connection_that_the_server_closed():
    listener = gevent.socket.socket()
    listener.bind(("127.0.0.1", 0))
    listener.listen()
    address = Address(*listener.getsockname())
    pool = UpstreamPool(address, allowance=1, headers={})
    first = pool.acquire(1.0)
    accepted, _ = listener.accept()
    pool.release(first)
    assert pool.acquire(1.0) is first
    pool.release(first)
    accepted.close()
    gevent.sleep(0.01)
    second = pool.acquire(1.0)
    assert second is not first
    assert second.is_reusable()
    assert not first.is_open
    listener.close()
