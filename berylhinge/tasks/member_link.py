"""Own one instance's connections to one member of a group."""

from __future__ import annotations

import time
from typing import Any, TYPE_CHECKING

import gevent
import msgspec
from gevent.event import Event

from ..wire.upstream import UpstreamStatus, WatchRequest
from .fair_semaphore import FairSemaphore
from .http_connection import ConnectionFailed, HttpConnection
from .http_server import parse_address
from .upstream_pool import PoolBusy, UpstreamPool

if TYPE_CHECKING:
    import ssl
    from collections.abc import Callable, Mapping

    from ..core.declarations import Upstream
    from ..types import OrganisationId

CONTROL_CONNECTION_LIMIT = 4
CONTROL_TIMEOUT_SECONDS = 0.3
WATCH_TIMEOUT_SECONDS = 0.2
WATCH_GRACE_SECONDS = 0.3
IDLE_WATCH_PAUSE_SECONDS = 0.02
RECONNECT_PAUSE_SECONDS = 0.05
INSTANCE_HEADER = "Berylhinge-Instance"
INITIAL_WATCH_REQUEST = WatchRequest(
    term=-1, log_term=-1, last=(0, 0), role="", timeout_seconds=0.0
)


class MemberLink:
    """Own the data pool, the control pool and the status watch of one upstream."""

    def __init__(
        self,
        upstream: Upstream,
        *,
        instance: str,
        allowance: int,
        max_queued: int,
        connect_seconds: float,
        weights: Mapping[OrganisationId, float],
        ssl_context: ssl.SSLContext | None = None,
    ) -> None:
        """Prepare without connecting."""
        headers = {INSTANCE_HEADER: instance}
        control_address = parse_address(upstream["control"])
        self.upstream = upstream
        self.data_pool = UpstreamPool(
            parse_address(upstream["data"]),
            allowance=allowance,
            headers=headers,
            connect_timeout_seconds=connect_seconds,
            ssl_context=ssl_context,
        )
        self.slot_semaphore = FairSemaphore(
            min(allowance, upstream["slots"]), max_queued, weights
        )
        self.control_pool = UpstreamPool(
            control_address, allowance=CONTROL_CONNECTION_LIMIT, headers=headers
        )
        self.watch_connection = HttpConnection(control_address, headers=headers)
        self.last_status: UpstreamStatus | None = None
        self.failing_since: float | None = None
        self.connection_refused = False
        self.last_answer_at = float("-inf")
        self.poll_now = Event()
        self.watcher: gevent.Greenlet | None = None

    @property
    def upstream_id(self) -> str:
        """Return the upstream's identifier."""
        return self.upstream["id"]

    @property
    def transaction_limit(self) -> int:
        """Return the number of connections that transactions may hold at once."""
        return max(1, self.data_pool.allowance - self.slot_semaphore.slots)

    def resize(self, allowance: int) -> None:
        """Apply a new number of connections to the upstream."""
        self.data_pool.resize(allowance)
        self.slot_semaphore.resize(min(allowance, self.upstream["slots"]))

    @property
    def is_reachable(self) -> bool:
        """Tell whether no connection has failed since the last answer."""
        return self.failing_since is None

    def call_control(
        self,
        path: str,
        message: object,
        answer_type: Any,
        timeout_seconds: float = CONTROL_TIMEOUT_SECONDS,
    ) -> Any:
        """Send a control request; return none when no valid answer came."""
        try:
            connection = self.control_pool.acquire(timeout_seconds)
        except PoolBusy:
            return None
        except ConnectionFailed as error:
            self.record_failure(error)
            return None
        try:
            reply = connection.call_json(path, message, timeout_seconds)
            if reply.status != 200:
                return None
            answer = msgspec.json.decode(reply.body, type=answer_type)
        except ConnectionFailed as error:
            self.record_failure(error)
            return None
        except msgspec.MsgspecError:
            connection.close()
            return None
        finally:
            self.control_pool.release(connection)
        self.record_success()
        return answer

    def record_failure(self, error: ConnectionFailed) -> None:
        """Record a failed connection and when the failures began."""
        if self.failing_since is None:
            self.failing_since = time.monotonic()
        self.connection_refused = error.connect_refused

    def record_success(self) -> None:
        """Record an answer, which ends a series of failures."""
        self.failing_since = None
        self.connection_refused = False
        self.last_answer_at = time.monotonic()

    def start(self, on_status: Callable[..., None], is_change_awaited: Any) -> None:
        """Watch the member's status in the background."""
        self.watcher = gevent.spawn(self.watch_status, on_status, is_change_awaited)

    def stop(self) -> None:
        """End the watch and close idle connections."""
        if self.watcher is not None:
            self.watcher.kill()
        self.watch_connection.close()
        self.control_pool.close()
        self.data_pool.close()

    def watch_status(
        self, on_status: Callable[..., None], is_change_awaited: Any
    ) -> None:
        """Report the status in each watch answer, or none on failure, until killed."""
        decoder = msgspec.json.Decoder(UpstreamStatus)
        while True:
            asked_at = time.monotonic()
            try:
                reply = self.watch_connection.call_json(
                    "/v1/watch",
                    self.next_watch_request(),
                    WATCH_TIMEOUT_SECONDS + WATCH_GRACE_SECONDS,
                )
                status = decoder.decode(reply.body)
            except (ConnectionFailed, msgspec.MsgspecError) as error:
                if isinstance(error, ConnectionFailed):
                    self.record_failure(error)
                self.watch_connection.close()
                on_status(self, None, asked_at)
                gevent.sleep(RECONNECT_PAUSE_SECONDS)
                continue
            self.last_status = status
            self.record_success()
            on_status(self, status, asked_at)
            if not is_change_awaited():
                self.poll_now.clear()
                self.poll_now.wait(IDLE_WATCH_PAUSE_SECONDS)

    def next_watch_request(self) -> WatchRequest:
        """Build a request for the first state that differs from the last received."""
        known = self.last_status or INITIAL_WATCH_REQUEST
        return WatchRequest(
            term=known["term"],
            log_term=known["log_term"],
            last=known["last"],
            role=known["role"],
            timeout_seconds=WATCH_TIMEOUT_SECONDS,
        )
