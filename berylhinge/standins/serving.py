"""Serve typed JSON requests through the faults of a stand-in."""

from __future__ import annotations

import errno
import socket
from http import HTTPStatus
from typing import Any, NamedTuple, TYPE_CHECKING, TypedDict

import msgspec
from gevent import GreenletExit

from ..tasks.http_server import Address, NoDelayHandler, respond_json, start_server

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

    from gevent.pywsgi import WSGIHandler, WSGIServer

    from ..tasks.http_server import Environ, StartResponse, WsgiApp
    from .faults import FaultState

MAX_BODY_BYTES = 8_000_000
HANDLER = "berylhinge.handler"
PEER_HEADERS = ("HTTP_BERYLHINGE_INSTANCE", "HTTP_BERYLHINGE_UPSTREAM")
PEEK = socket.MSG_PEEK | socket.MSG_DONTWAIT


class Problem(TypedDict):
    """Refuse a request that no endpoint could take."""

    error: str
    message: str


class Reply(NamedTuple):
    """Hold an answer and what becomes of it and of the connection."""

    body: object
    status: int = 200
    close: bool = False
    drop: bool = False
    repeat: bool = False


class Endpoint(NamedTuple):
    """Bind a request type to the function that answers it."""

    request: Any
    answer: Callable[[Any, Environ], Reply]


class StandinHandler(NoDelayHandler):
    """Answer with one write, and vanish without an answer when told to."""

    repeat = False

    def get_environ(self) -> Environ:
        """Let the application reach its connection."""
        environ = super().get_environ()
        environ[HANDLER] = self
        return environ

    def is_gone(self) -> bool:
        """Tell whether the other side closed the connection."""
        try:
            return self.socket._sock.recv(1, PEEK) == b""
        except BlockingIOError:
            return False
        except OSError:
            return True

    def process_result(self) -> None:
        """Send head and body at once, twice where a repeat was asked for."""
        body = b"".join(self.result)
        self.headers_sent = True
        self.finalize_headers()
        lines = [b"HTTP/1.1 " + self.status]
        lines += [name + b": " + value for name, value in self.response_headers]
        data = b"\r\n".join([*lines, b"", body])
        self._sendall(data)
        if self.repeat:
            self.repeat = False
            self._sendall(data)

    def handle_error(self, kind: Any, value: Any, trace: Any) -> None:
        """Close without an answer when the listener is being stopped."""
        if issubclass(kind, GreenletExit):
            self.close_connection = True
            return
        super().handle_error(kind, value, trace)


def peer_of(environ: Environ) -> str:
    """Return the name that the other side sent, or an empty one."""
    return next((environ[name] for name in PEER_HEADERS if name in environ), "")


def read_body(environ: Environ) -> bytes:
    """Read the whole body; raise ValueError past MAX_BODY_BYTES."""
    length = int(environ.get("CONTENT_LENGTH") or 0)
    if length > MAX_BODY_BYTES:
        raise ValueError(f"got {length} bytes, expected at most {MAX_BODY_BYTES}")
    return environ["wsgi.input"].read()


def vanish() -> None:
    """Close the connection without an answer."""
    raise BrokenPipeError(errno.EPIPE, "the answer is dropped")


def problem(error: str, message: str, status: int) -> Reply:
    """Build a refusal of a request that no endpoint could take."""
    return Reply(Problem(error=error, message=message), status)


def dispatch(
    endpoints: Mapping[str, Endpoint],
    environ: Environ,
    faults: FaultState | None,
    refuse: Callable[[str, str, int], Reply],
) -> Reply:
    """Decode the request and answer it, or refuse it by ``refuse``."""
    endpoint = endpoints.get(environ["PATH_INFO"])
    if endpoint is None:
        return refuse("malformed", "the path is unknown", HTTPStatus.NOT_FOUND)
    try:
        body = read_body(environ) or b"{}"
        request = msgspec.json.decode(body, type=endpoint.request)
    except (msgspec.MsgspecError, ValueError, RecursionError) as error:
        return refuse("malformed", str(error), HTTPStatus.BAD_REQUEST)
    wait_path(faults, environ)
    return endpoint.answer(request, environ)


def json_app(
    endpoints: Mapping[str, Endpoint],
    faults: FaultState | None,
    *,
    refuse: Callable[[str, str, int], Reply] = problem,
) -> WsgiApp:
    """Build an application whose requests and answers pass the faults."""

    def app(environ: Environ, start_response: StartResponse) -> list[bytes]:
        handler = environ[HANDLER]
        reply = dispatch(endpoints, environ, faults, refuse)
        wait_path(faults, environ)
        if faults:
            faults.delay_answer()
        if reply.drop:
            vanish()
        handler.repeat = reply.repeat
        headers = [("Connection", "close")] if reply.close else []
        return respond_json(start_response, reply.status, reply.body, headers=headers)

    return app


def wait_path(faults: FaultState | None, environ: Environ) -> None:
    """Hold the message back while a pause or a partition lasts."""
    if faults is None:
        return
    if not faults.wait_path(peer_of(environ), environ[HANDLER].is_gone):
        vanish()


class Listener:
    """Own one listening socket that can be closed and opened again."""

    def __init__(
        self,
        address: Address,
        app: WsgiApp,
        *,
        handler_class: type[WSGIHandler] = StandinHandler,
    ) -> None:
        """Listen at once; port 0 picks a free port that is kept from then on."""
        self.app = app
        self.handler_class = handler_class
        self.server: WSGIServer | None = None
        self.address = address
        self.open()

    def open(self) -> None:
        """Listen, unless it does already."""
        if self.server is not None:
            return
        self.server = start_server(
            self.address, self.app, handler_class=self.handler_class
        )
        self.address = Address(self.address.host, self.server.server_port)

    def close(self) -> None:
        """Refuse new connections and drop the open ones without an answer."""
        server, self.server = self.server, None
        if server is not None:
            server.stop(timeout=0)
