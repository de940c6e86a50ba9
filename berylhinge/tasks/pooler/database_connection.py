"""Own one stateful connection to a database."""

from __future__ import annotations

from contextlib import suppress
from typing import Any, TYPE_CHECKING

import gevent
from gevent import socket

from ...core.pooler.connection_pool import IdleConnection, plan_setup
from ...platform import line_protocol
from ...platform.line_framing import is_text, LineBuffer
from ..clock import now_seconds
from ..http_connection import ConnectionFailed
from ..http_server import parse_address

if TYPE_CHECKING:
    from ...core.pooler.catalogue import Database
    from ...core.pooler.statements import ErrorCode
    from ...platform.line_protocol import DatabaseAnswer
    from ...types import LogPoint, OrganisationId, Seconds
    from ...wire.pooling import ExecuteRequest

RECEIVE_BYTES = 65_536
CONNECT_TIMEOUT_SECONDS = 0.5


class ConnectRefused(Exception):
    """Report that a database did not accept a connection, and its error code if any."""

    def __init__(self, code: ErrorCode | None, detail: str, *, refused: bool) -> None:
        """Keep the reason; ``refused`` says that nothing listened at the address."""
        super().__init__(detail)
        self.code = code
        self.refused = refused


class DatabaseConnection:
    """Own one stateful connection, used for one organisation only."""

    def __init__(self, number: int, organisation: OrganisationId) -> None:
        """Prepare without connecting."""
        self.number = number
        self.organisation = organisation
        self.values: dict[str, str] = {}
        self.prepared: frozenset[str] = frozenset()
        self.idle_since = now_seconds()
        self.sock: Any = None
        self.lines = LineBuffer()
        self.pending: list[str] = []

    def describe_idle(self) -> IdleConnection:
        """Return the description by which the pool chooses a connection."""
        return IdleConnection(
            self.number, self.organisation, self.values, self.prepared, self.idle_since
        )

    def open(self, database: Database, timeout_seconds: Seconds) -> LogPoint | None:
        """Connect to exactly this database; raise ConnectRefused."""
        address = parse_address(database.address)
        line = line_protocol.start_line(
            database.service, self.organisation, database.id
        )
        try:
            with gevent.Timeout(timeout_seconds):
                self.sock = socket.create_connection(tuple(address))
                self.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
                self.sock.sendall(line)
                first = self.read_line()
        except gevent.Timeout as error:
            self.close()
            raise ConnectRefused(None, "no answer in time", refused=False) from error
        except (OSError, ValueError) as error:
            self.close()
            refused = isinstance(error, ConnectionRefusedError | ConnectionResetError)
            raise ConnectRefused(None, str(error), refused=refused) from error
        started = line_protocol.parse_start_answer(first)
        if started.code is not None:
            self.close()
            raise ConnectRefused(started.code, started.detail, refused=False)
        return started.point

    def exchange(
        self,
        request: str,
        text: str,
        timeout_seconds: Seconds,
        *,
        after: LogPoint | None = None,
    ) -> DatabaseAnswer:
        """Run one statement; close and raise ConnectionFailed without an answer."""
        if self.sock is None:
            raise ConnectionFailed("the connection is closed", sent=False)
        line = line_protocol.query_line(request, text, after)
        is_complete = False
        try:
            with gevent.Timeout(max(0.001, timeout_seconds)):
                self.sock.sendall(line)
                answer = self.read_answer()
            is_complete = True
        except gevent.Timeout as error:
            raise ConnectionFailed("the answer timed out", sent=True) from error
        except (OSError, ValueError) as error:
            raise ConnectionFailed(str(error) or "closed", sent=True) from error
        finally:
            if not is_complete:
                self.close()
        return answer

    def read_line(self) -> str:
        """Return the next line; raise OSError at the end of the stream, or ValueError."""
        while not self.pending:
            data = self.sock.recv(RECEIVE_BYTES)
            if not data:
                raise ConnectionResetError("the database closed the connection")
            self.pending = self.lines.feed(data)
        line = self.pending.pop(0)
        if not is_text(line):
            raise ValueError("got bytes that are not UTF-8, expected text")
        return line

    def read_answer(self) -> DatabaseAnswer:
        """Read up to the line that ends an answer."""
        received = [self.read_line()]
        while not line_protocol.ends_answer(received[-1]):
            received.append(self.read_line())
        return line_protocol.parse_answer(received)

    def restore_session(
        self, request: ExecuteRequest, timeout_seconds: Seconds
    ) -> None:
        """Replay a session's values and prepared names; raise ConnectionFailed."""
        steps = plan_setup(
            self.values,
            self.prepared,
            wanted_values=request.values,
            wanted_prepared=request.prepared,
        )
        if steps.reset:
            self.run_internal(line_protocol.RESET_TEXT, timeout_seconds)
            self.values, self.prepared = {}, frozenset()
        for name, value in steps.values:
            self.run_internal(line_protocol.set_text(name, value), timeout_seconds)
            self.values = {**self.values, name: value}
        for name, shape in steps.prepared:
            self.run_internal(line_protocol.prepare_text(name, shape), timeout_seconds)
            self.prepared |= {name}

    def run_internal(self, text: str, timeout_seconds: Seconds) -> DatabaseAnswer:
        """Run an internal statement; close and raise ConnectionFailed if it fails."""
        answer = self.exchange("", text, timeout_seconds)
        if answer.code is not None:
            self.close()
            detail = f"{answer.code} for {text.partition(' ')[0]}"
            raise ConnectionFailed(detail, sent=False)
        return answer

    def is_reusable(self) -> bool:
        """Return whether an idle connection is open and has no unexpected data."""
        if self.sock is None or self.pending:
            return False
        try:
            return not self.has_unread_data()
        except BlockingIOError:
            return True
        except OSError:
            return False

    def has_unread_data(self) -> bool:
        """Return whether data waits; raise BlockingIOError if nothing can be read."""
        self.sock._sock.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
        return True

    def abandon(self) -> None:
        """End the exchange under way as if the database had closed the connection."""
        if self.sock is not None:
            with suppress(OSError):
                self.sock.shutdown(socket.SHUT_RDWR)

    def close(self) -> None:
        """Close the connection; further calls do nothing."""
        sock, self.sock = self.sock, None
        if sock is not None:
            sock.close()
