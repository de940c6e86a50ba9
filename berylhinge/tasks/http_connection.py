"""Own one HTTP connection and report whether a failed request may have been sent."""

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
    from collections.abc import Mapping

    from .http_server import Address

READ_BLOCK_BYTES = 16_384


class HttpReply(NamedTuple):
    """Represent a complete HTTP response; names of headers match in any case."""

    status: int
    body: bytes
    headers: Mapping[str, Any]


class ConnectionFailed(Exception):
    """Report a failed exchange, and whether a byte of it may have been sent."""

    def __init__(self, message: str, *, sent: bool, refused: bool = False) -> None:
        """Store how far the exchange came and whether connecting was refused."""
        super().__init__(message)
        self.may_have_sent = sent
        self.connect_refused = refused


class HttpConnection:
    """Represent one persistent HTTP/1.1 connection with one user at a time."""

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
        self.header_text = "".join(
            f"{name}: {value}\r\n" for name, value in fields.items()
        )

    @property
    def is_open(self) -> bool:
        """Tell whether the socket may be used."""
        return self.sock is not None

    def is_reusable(self) -> bool:
        """Tell whether the server neither closed the idle connection nor sent data."""
        if self.sock is None:
            return False
        poll = select.poll()
        poll.register(self.sock.fileno(), select.POLLIN)
        return not poll.poll(0)

    def open(self, timeout_seconds: float) -> None:
        """Connect; raise ConnectionFailed, with nothing sent."""
        try:
            sock = socket.create_connection(
                (self.address.host, self.address.port), timeout=timeout_seconds
            )
            # Exchanges have their own timeout, longer than the connect timeout.
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
    ) -> HttpReply:
        """Send a request and read the whole response; close on failure."""
        if self.sock is None:
            raise ConnectionFailed("the connection is closed", sent=False)
        request = (
            f"{method} {path} HTTP/1.1\r\n{self.header_text}{headers}"
            f"Content-Length: {len(body)}\r\n\r\n"
        ).encode("ascii") + body
        finished = False
        try:
            with gevent.Timeout(timeout_seconds):
                self.sock.sendall(request)
                response = HTTPSocketResponse(
                    self.sock, block_size=READ_BLOCK_BYTES, method=method
                )
                body = bytes(response.read())
                reply = HttpReply(response.status_code, body, response.info())
            finished = response.should_keep_alive()
        except gevent.Timeout as error:
            raise ConnectionFailed("the answer timed out", sent=True) from error
        except Exception as error:
            raise ConnectionFailed(str(error) or "closed", sent=True) from error
        finally:
            if not finished:
                self.close()
        return reply

    def call_json(
        self, path: str, message: object, timeout_seconds: float
    ) -> HttpReply:
        """Send a JSON request and read the response, connecting first if needed."""
        if self.sock is None:
            self.open(timeout_seconds)
        return self.exchange(path, msgspec.json.encode(message), timeout_seconds)

    def close(self) -> None:
        """Close the connection if it is open."""
        sock, self.sock = self.sock, None
        if sock is not None:
            sock.close()
