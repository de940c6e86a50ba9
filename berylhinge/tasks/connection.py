"""Own one HTTP connection to an upstream and tell what may have left it."""

from __future__ import annotations

import select
from typing import Any, NamedTuple, TYPE_CHECKING

import gevent
import gevent.ssl
import msgspec
from gevent import socket
from geventhttpclient.response import HTTPSocketResponse

if TYPE_CHECKING:
    import ssl

    from .http import Address

READ_BLOCK_BYTES = 16_384


class Reply(NamedTuple):
    """Hold one whole HTTP answer."""

    status: int
    body: bytes


class ConnectionFailed(Exception):
    """Report a failed exchange; ``sent`` is true once a byte may have left."""

    def __init__(self, message: str, *, sent: bool, refused: bool = False) -> None:
        """Keep what is known."""
        super().__init__(message)
        self.sent = sent
        self.refused = refused


class Connection:
    """Hold one TCP connection that only its owner uses."""

    def __init__(
        self,
        address: Address,
        *,
        headers: dict[str, str],
        ssl_context: ssl.SSLContext | None = None,
    ) -> None:
        """Prepare without connecting."""
        self.address = address
        self.ssl_context = ssl_context
        self.sock: Any = None
        fields = {"Host": str(address), "Content-Type": "application/json", **headers}
        self.head = "".join(f"{name}: {value}\r\n" for name, value in fields.items())

    @property
    def is_open(self) -> bool:
        """Tell whether the socket may be used."""
        return self.sock is not None

    def is_quiet(self) -> bool:
        """Tell whether an idle connection was neither closed nor written to."""
        if self.sock is None:
            return False
        poll = select.poll()
        poll.register(self.sock.fileno(), select.POLLIN)
        return not poll.poll(0)

    def open(self, timeout_seconds: float) -> None:
        """Connect; raise ConnectionFailed with sent false."""
        try:
            sock = socket.create_connection(
                (self.address.host, self.address.port), timeout=timeout_seconds
            )
            # The exchange has a timeout of its own, longer than that of connecting.
            sock.settimeout(None)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            if self.ssl_context is not None:
                sock = gevent.ssl.SSLSocket(
                    sock=sock, _context=self.ssl_context, server_hostname=None
                )
        except OSError as error:
            refused = isinstance(error, ConnectionRefusedError)
            raise ConnectionFailed(str(error), sent=False, refused=refused) from error
        self.sock = sock

    def exchange(
        self,
        path: str,
        body: bytes,
        timeout_seconds: float,
        *,
        method: str = "POST",
        headers: str = "",
    ) -> Reply:
        """Send one request and read its whole answer; close on any failure."""
        if self.sock is None:
            raise ConnectionFailed("the connection is closed", sent=False)
        request = (
            f"{method} {path} HTTP/1.1\r\n{self.head}{headers}"
            f"Content-Length: {len(body)}\r\n\r\n"
        ).encode("ascii") + body
        finished = False
        try:
            with gevent.Timeout(timeout_seconds):
                self.sock.sendall(request)
                response = HTTPSocketResponse(
                    self.sock, block_size=READ_BLOCK_BYTES, method=method
                )
                reply = Reply(response.status_code, bytes(response.read()))
            finished = response.should_keep_alive()
        except gevent.Timeout as error:
            raise ConnectionFailed("the answer timed out", sent=True) from error
        except Exception as error:
            raise ConnectionFailed(str(error) or "closed", sent=True) from error
        finally:
            if not finished:
                self.close()
        return reply

    def call(self, path: str, message: object, timeout_seconds: float) -> Reply:
        """Exchange one JSON message, connecting first where needed."""
        if self.sock is None:
            self.open(timeout_seconds)
        return self.exchange(path, msgspec.json.encode(message), timeout_seconds)

    def close(self) -> None:
        """Close; safe to repeat."""
        sock, self.sock = self.sock, None
        if sock is not None:
            sock.close()
