"""Count the data connections of a database and record what arrives on them."""

from __future__ import annotations

from collections import deque
from typing import Any, TYPE_CHECKING

import gevent

from .serving import StandinHandler

if TYPE_CHECKING:
    from collections.abc import Callable


RECORD_BYTES = 16_000_000


class DataConnection:
    """Hold what one caller's TCP connection owns."""

    def __init__(self, *, counted: bool) -> None:
        """Start without a transaction."""
        self.counted = counted
        self.paid = False
        self.transaction: Any = None


class ConnectionRegistry:
    """Admit at most ``limit`` connections and close their transactions."""

    def __init__(self, limit: int, *, on_close: Callable[[Any], None]) -> None:
        """Start empty."""
        self.limit = limit
        self.on_close = on_close
        self.open: set[DataConnection] = set()

    def admit(self) -> DataConnection:
        """Count a new connection, unless the limit is reached."""
        connection = DataConnection(counted=len(self.open) < self.limit)
        if connection.counted:
            self.open.add(connection)
        return connection

    def release(self, connection: DataConnection) -> None:
        """Forget a closed connection and end its transaction."""
        self.open.discard(connection)
        self.on_close(connection)


class Recorder:
    """Keep the newest bytes received, for searches."""

    def __init__(self, limit: int = RECORD_BYTES) -> None:
        """Start empty."""
        self.limit = limit
        self.chunks: deque[bytes] = deque()
        self.size = 0

    def add(self, data: bytes) -> None:
        """Keep a line or a body, dropping the oldest past the limit."""
        self.chunks.append(data)
        self.size += len(data)
        while self.size > self.limit:
            self.size -= len(self.chunks.popleft())

    def has(self, needle: bytes) -> bool:
        """Tell whether one line or body received holds the needle."""
        return any(needle in chunk for chunk in self.chunks)


class RecordedReader:
    """Pass reads on and record what they return."""

    def __init__(self, reader: Any, recorder: Recorder) -> None:
        """Wrap a buffered reader."""
        self.reader = reader
        self.recorder = recorder

    @property
    def closed(self) -> bool:
        """Tell whether the reader is closed."""
        return self.reader.closed

    def read(self, size: int = -1) -> bytes:
        """Read up to ``size`` bytes."""
        data = self.reader.read(size)
        self.recorder.add(data)
        return data

    def readline(self, size: int = -1) -> bytes:
        """Read one line."""
        data = self.reader.readline(size)
        self.recorder.add(data)
        return data

    def close(self) -> None:
        """Close the reader."""
        self.reader.close()


def data_handler(
    registry: ConnectionRegistry, recorder: Recorder
) -> type[StandinHandler]:
    """Build the handler class of one database's data listener."""

    class DataHandler(StandinHandler):
        """Bind each TCP connection to its place in the registry."""

        def handle(self) -> None:
            """Count the connection while it lasts."""
            self.rfile = RecordedReader(self.rfile, recorder)
            self.connection = registry.admit()
            try:
                super().handle()
            finally:
                registry.release(self.connection)

    return DataHandler


def pay_connect_cost(connection: DataConnection, seconds: float) -> None:
    """Let the first request on a connection wait for the connect cost."""
    if connection.paid:
        return
    connection.paid = True
    gevent.sleep(seconds)
