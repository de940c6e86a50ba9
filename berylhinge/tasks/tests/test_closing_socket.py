from __future__ import annotations

import gevent
from gevent import socket

from ..closing_socket import close_gracefully, LINGER_SECONDS


def connected_pair() -> tuple[socket.socket, socket.socket]:
    with socket.socket() as listener:
        listener.bind(("127.0.0.1", 0))
        listener.listen()
        near = socket.create_connection(listener.getsockname())
        far, _ = listener.accept()
    return near, far


def test_unread_bytes_do_not_cost_the_other_side_its_answer() -> None:
    # A close with unread bytes reset the connection, and the answer was lost.
    near, far = connected_pair()
    near.sendall(b"x" * 100_000)
    answer = b"answer" * 100_000
    sending = gevent.spawn(far.sendall, answer)
    gevent.sleep(0.05)
    closing = gevent.spawn(lambda: (sending.join(), close_gracefully(far)))
    found = b""
    while data := near.recv(65_536):
        found += data
    near.close()
    assert found == answer
    closing.join()


def test_a_side_that_never_closes_keeps_no_connection() -> None:
    near, far = connected_pair()
    with gevent.Timeout(LINGER_SECONDS * 3):
        close_gracefully(far)
    assert far.fileno() < 0
    near.close()


def test_a_connection_that_was_reset_is_closed() -> None:
    near, far = connected_pair()
    far.sendall(b"unread")
    near.close()
    close_gracefully(far)
    assert far.fileno() < 0
