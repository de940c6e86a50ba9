from __future__ import annotations

import gevent
import gevent.socket
import pytest

from ..connection import Connection, ConnectionFailed
from ..http import Address, respond_json, server_address, start_server
from ..pool import Pool


@pytest.fixture
def slow_server():
    def app(environ, start_response):
        gevent.sleep(float(environ["PATH_INFO"].strip("/")))
        return respond_json(start_response, 200, {})

    server = start_server(Address("127.0.0.1", 0), app)
    yield server_address(server)
    server.stop()


def test_an_exchange_may_outlast_the_timeout_of_connecting(slow_server):
    connection = Connection(slow_server, headers={})
    connection.open(0.05)
    assert connection.exchange("/0.2", b"{}", 5.0).status == 200
    assert connection.is_open


def test_a_late_answer_closes_the_connection_and_may_have_run(slow_server):
    connection = Connection(slow_server, headers={})
    connection.open(1.0)
    with pytest.raises(ConnectionFailed) as failure:
        connection.exchange("/5", b"{}", 0.05)
    assert failure.value.sent
    assert not connection.is_open


def test_a_refused_connection_sent_nothing():
    connection = Connection(Address("127.0.0.1", 1), headers={})
    with pytest.raises(ConnectionFailed) as failure:
        connection.open(1.0)
    assert not failure.value.sent
    assert failure.value.refused


def test_a_cancelled_exchange_closes_the_connection(slow_server):
    connection = Connection(slow_server, headers={})
    connection.open(1.0)
    waiting = gevent.spawn(connection.exchange, "/5", b"{}", 5.0)
    gevent.sleep(0)
    gevent.sleep(0.01)
    waiting.kill()
    assert not connection.is_open


def test_an_idle_connection_that_was_closed_is_replaced_before_use():
    listener = gevent.socket.socket()
    listener.bind(("127.0.0.1", 0))
    listener.listen()
    address = Address(*listener.getsockname())
    pool = Pool(address, allowance=1, headers={})
    first = pool.lease(1.0)
    accepted, _ = listener.accept()
    pool.give_back(first)
    assert pool.lease(1.0) is first
    pool.give_back(first)
    accepted.close()
    gevent.sleep(0.01)
    second = pool.lease(1.0)
    assert second is not first
    assert second.is_quiet()
    assert not first.is_open
    listener.close()
