"""Close a connection without losing what was written to it."""

from __future__ import annotations

from contextlib import suppress
from typing import Any

import gevent
from gevent import socket

RECEIVE_BYTES = 65_536
# How long the other side has to close its half. It needs a round trip, and one that has
# gone away must not keep a descriptor.
LINGER_SECONDS = 0.2


def close_gracefully(sock: Any) -> None:
    """Close a connection after the other side has read everything.

    A socket that is closed with unread bytes resets its connection, and the other side
    may lose answers that it has not read yet (RFC 1122, section 4.2.2.13).
    """
    with suppress(OSError), gevent.Timeout(LINGER_SECONDS, False):
        sock.shutdown(socket.SHUT_WR)
        while sock.recv(RECEIVE_BYTES):
            pass
    sock.close()
