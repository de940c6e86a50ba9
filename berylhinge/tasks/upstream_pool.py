"""Own the connections of one instance to one upstream."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING

import gevent
from gevent.event import AsyncResult

from .http_connection import ConnectionFailed, HttpConnection

if TYPE_CHECKING:
    import ssl

    from .http_server import Address

CONNECT_TIMEOUT_SECONDS = 1.0


class PoolBusy(Exception):
    """Report that no connection became free in time."""


class UpstreamPool:
    """Lend connections, at most ``allowance`` at a time."""

    def __init__(
        self,
        address: Address,
        *,
        allowance: int,
        headers: dict[str, str],
        connect_timeout_seconds: float = CONNECT_TIMEOUT_SECONDS,
        ssl_context: ssl.SSLContext | None = None,
    ) -> None:
        """Prepare without connecting."""
        self.address = address
        self.allowance = allowance
        self.headers = headers
        self.connect_timeout_seconds = connect_timeout_seconds
        self.ssl_context = ssl_context
        self.idle_connections: deque[HttpConnection] = deque()
        self.in_use_count = 0
        self.waiters: deque[AsyncResult] = deque()

    @property
    def available_count(self) -> int:
        """Return the unused part of the allowance, less the number of waiting users."""
        return self.allowance - self.in_use_count - len(self.waiters)

    def acquire(self, timeout_seconds: float) -> HttpConnection:
        """Return an open connection; raise PoolBusy or ConnectionFailed."""
        if self.in_use_count >= self.allowance:
            self.wait_for_capacity(timeout_seconds)
        else:
            self.in_use_count += 1
        while self.idle_connections:
            candidate = self.idle_connections.pop()
            if candidate.is_reusable():
                return candidate
            candidate.close()
        connection = HttpConnection(
            self.address, headers=self.headers, ssl_context=self.ssl_context
        )
        try:
            connection.open(min(timeout_seconds, self.connect_timeout_seconds))
        except BaseException:
            self.release_capacity()
            raise
        return connection

    def wait_for_capacity(self, timeout_seconds: float) -> None:
        """Wait until another user makes room; raise PoolBusy."""
        waiter = AsyncResult()
        self.waiters.append(waiter)
        try:
            waiter.get(timeout=timeout_seconds)
        except BaseException as error:
            if waiter in self.waiters:
                self.waiters.remove(waiter)
            elif waiter.ready():
                self.release_capacity()
            if isinstance(error, gevent.Timeout):
                raise PoolBusy(str(self.address)) from error
            raise

    def release_capacity(self) -> None:
        """Let the next waiter take a connection, or lower the number in use."""
        if self.waiters and self.in_use_count <= self.allowance:
            self.waiters.popleft().set(True)
            return
        self.in_use_count -= 1

    def release(self, connection: HttpConnection) -> None:
        """Take a connection back; keep it if it is open and within the allowance."""
        if connection.is_open and self.in_use_count <= self.allowance:
            self.idle_connections.append(connection)
        else:
            connection.close()
        self.release_capacity()

    def resize(self, allowance: int) -> None:
        """Change the allowance and close surplus idle connections at once."""
        self.allowance = allowance
        while (
            self.idle_connections
            and self.in_use_count + len(self.idle_connections) > allowance
        ):
            self.idle_connections.popleft().close()
        while self.waiters and self.in_use_count < allowance:
            self.in_use_count += 1
            self.waiters.popleft().set(True)

    def close(self) -> None:
        """Close every idle connection and lend no more."""
        self.resize(0)


__all__ = ["ConnectionFailed", "PoolBusy", "UpstreamPool"]
