"""Serve HTTP/1.1 with JSON bodies over gevent."""

from __future__ import annotations

import socket
from http import HTTPStatus
from typing import Any, NamedTuple, TYPE_CHECKING

import gevent
import msgspec
from gevent import pywsgi
from gevent.pool import Pool

if TYPE_CHECKING:
    import ssl
    from collections.abc import Callable, Iterable
    from typing import TypeAlias

    Environ: TypeAlias = dict[str, Any]
    StartResponse: TypeAlias = Callable[..., Any]
    WsgiApp: TypeAlias = Callable[[Environ, StartResponse], Iterable[bytes]]

JSON_CONTENT_TYPE = "application/json"
MAX_CONNECTIONS = 20_000
MAX_PORT = 65_535


class Address(NamedTuple):
    """Name a TCP endpoint by IP number and port."""

    host: str
    port: int

    def __str__(self) -> str:
        """Return host:port."""
        return f"{self.host}:{self.port}"


def parse_address(text: str) -> Address:
    """Parse host:port; raise ValueError for any other form."""
    host, _, port = text.rpartition(":")
    if not host or not port.isdigit() or int(port) > MAX_PORT:
        raise ValueError(f"got {text!r}, expected IP:PORT")
    return Address(host, int(port))


class NoDelayHandler(pywsgi.WSGIHandler):
    """Handle requests without Nagle's delay and without an access log."""

    def handle(self) -> None:
        """Set TCP_NODELAY before the first request."""
        self.socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        super().handle()

    def read_requestline(self) -> str:
        """Read the next request line, or end a connection that was idle too long."""
        with gevent.Timeout(self.server.idle_seconds, False):
            return str(super().read_requestline())
        return ""

    def log_request(self) -> None:
        """Write nothing; metrics count requests."""

    def log_error(self, msg: str, *args: object) -> None:
        """Write nothing; refusals are counted by the application."""


def start_server(
    address: Address,
    app: WsgiApp,
    *,
    handler_class: type[pywsgi.WSGIHandler] = NoDelayHandler,
    ssl_context: ssl.SSLContext | None = None,
    max_connections: int = MAX_CONNECTIONS,
    idle_seconds: float | None = None,
) -> pywsgi.WSGIServer:
    """Listen and serve in the background; port 0 picks a free port."""
    options = {"ssl_context": ssl_context} if ssl_context else {}
    server = pywsgi.WSGIServer(
        (address.host, address.port),
        app,
        handler_class=handler_class,
        spawn=Pool(max_connections),
        log=None,
        error_log=None,
        **options,
    )
    server.idle_seconds = idle_seconds
    server.start()
    return server


def server_address(server: pywsgi.WSGIServer) -> Address:
    """Return where the server listens."""
    return Address(server.server_host, server.server_port)


def respond(
    start_response: StartResponse,
    status: int,
    body: bytes,
    *,
    content_type: str = JSON_CONTENT_TYPE,
    headers: Iterable[tuple[str, str]] = (),
) -> list[bytes]:
    """Start a response and return its whole body."""
    status_line = f"{status} {HTTPStatus(status).phrase}"
    header_fields = [
        ("Content-Type", content_type),
        ("Content-Length", str(len(body))),
        *headers,
    ]
    start_response(status_line, header_fields)
    return [body]


def respond_json(
    start_response: StartResponse,
    status: int,
    value: object,
    *,
    headers: Iterable[tuple[str, str]] = (),
) -> list[bytes]:
    """Start a response and return its body, the value as JSON."""
    return respond(start_response, status, msgspec.json.encode(value), headers=headers)
