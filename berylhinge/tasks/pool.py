"""Own the connections of one instance to one upstream."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING

import gevent
from gevent.event import AsyncResult

from .connection import Connection, ConnectionFailed

if TYPE_CHECKING:
    import ssl

    from .http import Address

CONNECT_SECONDS = 1.0


class PoolBusy(Exception):
    """Report that no connection became free in time."""


class Pool:
    """Lend connections, at most ``allowance`` at a time."""

    def __init__(
        self,
        address: Address,
        *,
        allowance: int,
        headers: dict[str, str],
        connect_timeout_seconds: float = CONNECT_SECONDS,
        ssl_context: ssl.SSLContext | None = None,
    ) -> None:
        """Prepare without connecting."""
        self.address = address
        self.allowance = allowance
        self.headers = headers
        self.connect_seconds = connect_timeout_seconds
        self.ssl_context = ssl_context
        self.idle: deque[Connection] = deque()
        self.leased = 0
        self.waiting: deque[AsyncResult] = deque()

    @property
    def free(self) -> int:
        """Return the unused part of the allowance, less the number of waiting users."""
        return self.allowance - self.leased - len(self.waiting)

    def lease(self, timeout_seconds: float) -> Connection:
        """Return an open connection; raise PoolBusy or ConnectionFailed."""
        if self.leased >= self.allowance:
            self.wait_for_turn(timeout_seconds)
        else:
            self.leased += 1
        while self.idle:
            candidate = self.idle.pop()
            if candidate.is_quiet():
                return candidate
            candidate.close()
        connection = Connection(
            self.address, headers=self.headers, ssl_context=self.ssl_context
        )
        try:
            connection.open(min(timeout_seconds, self.connect_seconds))
        except BaseException:
            self.pass_turn()
            raise
        return connection

    def wait_for_turn(self, timeout_seconds: float) -> None:
        """Wait until another user makes room; raise PoolBusy."""
        waiter = AsyncResult()
        self.waiting.append(waiter)
        try:
            waiter.get(timeout=timeout_seconds)
        except BaseException as error:
            if waiter in self.waiting:
                self.waiting.remove(waiter)
            elif waiter.ready():
                self.pass_turn()
            if isinstance(error, gevent.Timeout):
                raise PoolBusy(str(self.address)) from error
            raise

    def pass_turn(self) -> None:
        """Let the next waiter take a connection, or lower the number in use."""
        if self.waiting and self.leased <= self.allowance:
            self.waiting.popleft().set(True)
            return
        self.leased -= 1

    def give_back(self, connection: Connection) -> None:
        """Take a connection back; keep it if it is open and within the allowance."""
        if connection.is_open and self.leased <= self.allowance:
            self.idle.append(connection)
        else:
            connection.close()
        self.pass_turn()

    def resize(self, allowance: int) -> None:
        """Change the allowance and close surplus idle connections at once."""
        self.allowance = allowance
        while self.idle and self.leased + len(self.idle) > allowance:
            self.idle.popleft().close()
        while self.waiting and self.leased < allowance:
            self.leased += 1
            self.waiting.popleft().set(True)

    def close(self) -> None:
        """Close every idle connection and lend no more."""
        self.resize(0)


__all__ = ["ConnectionFailed", "Pool", "PoolBusy"]
