"""Take one instance out of service without interrupting a request."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

import gevent

if TYPE_CHECKING:
    from gevent.pywsgi import WSGIServer

    from .proxy import Proxy

MIN_DRAIN_SECONDS = 3.0
DRAIN_POLL_SECONDS = 0.05
RETURN_UNITS_TIMEOUT_SECONDS = 2.0
CLOSE_TIMEOUT_SECONDS = 1.0


def begin_leaving(proxy: Proxy) -> None:
    """Announce leaving; answers then ask callers to reconnect elsewhere."""
    if proxy.callers_app.is_leaving:
        return
    proxy.log.info("The instance is leaving.")
    proxy.callers_app.is_leaving = True
    proxy.live_list.announce_leaving()
    proxy.membership.announce_leaving()
    proxy.on_instances_changed()


def shut_down(proxy: Proxy) -> None:
    """Announce leaving, serve until idle or the deadline, and return rate units."""
    begin_leaving(proxy)
    deadline = time.monotonic() + proxy.settings.limits.drain_seconds
    min_drain_until = time.monotonic() + MIN_DRAIN_SECONDS
    while time.monotonic() < deadline:
        is_idle = (
            not proxy.callers_app.active_requests
            and not proxy.transactions.open_transactions
        )
        if is_idle and time.monotonic() >= min_drain_until:
            break
        gevent.sleep(DRAIN_POLL_SECONDS)
    proxy.callers_app.is_refusing = True
    proxy.fleet.return_units(time.monotonic() + RETURN_UNITS_TIMEOUT_SECONDS)
    close_caller_connections(proxy)
    proxy.log.info("The instance stopped.")


def close_listener(server: WSGIServer) -> None:
    """Accept the connections that already wait, then close the listener."""
    server.stop_accepting()
    while (accepted := server.do_read()) is not None:
        server.do_handle(*accepted)
    server.close()


def close_caller_connections(proxy: Proxy) -> None:
    """Close the listener and wait, for a limited time, until open connections end.

    A request on an open connection is refused, and the answer asks to close it.
    """
    close_listener(proxy.caller_server)
    deadline = time.monotonic() + CLOSE_TIMEOUT_SECONDS
    while time.monotonic() < deadline and len(proxy.caller_server.pool):
        gevent.sleep(DRAIN_POLL_SECONDS)
