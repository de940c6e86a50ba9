"""Measure what idle callers cost one instance."""

from __future__ import annotations

import gevent
from gevent import socket
from geventhttpclient.response import HTTPParseError, HTTPSocketResponse

from .fleet import Fleet
from .probes import print_figure, small_scenario

CALLERS = 6_000
SETTLE_SECONDS = 2.0
IDLE_SECONDS = 5.0
CONNECT_SECONDS = 10.0
REQUEST = (
    b"POST /v1/routes/none/statements HTTP/1.1\r\nHost: bench\r\n"
    b"Content-Length: 2\r\n\r\n{}"
)


def main() -> None:
    fleet = Fleet(small_scenario(instances=1))
    callers: list[socket.socket] = []
    try:
        fleet.start()
        instance = fleet.instances[0]
        before = instance.process.usage()
        callers = [connect(instance.callers) for _ in range(CALLERS)]
        gevent.sleep(SETTLE_SECONDS)
        held = instance.process.usage()
        gevent.sleep(IDLE_SECONDS)
        later = instance.process.usage()
        answered = sum(ask(caller) for caller in callers)
        grown = held.resident_bytes - before.resident_bytes
        spent = later.processor_seconds - held.processor_seconds
        print_figure("idle_callers_held", answered, "callers")
        print_figure("memory_per_idle_caller", grown / CALLERS / 1024, "KiB")
        print_figure("resident_without_callers", before.resident_bytes / 2**20, "MiB")
        print_figure("resident_with_callers", held.resident_bytes / 2**20, "MiB")
        print_figure("processor_while_idle", 100 * spent / IDLE_SECONDS, "% of a core")
    finally:
        for caller in callers:
            caller.close()
        fleet.stop()


def connect(port: int) -> socket.socket:
    """Connect one caller and have one request answered."""
    caller = socket.create_connection(("127.0.0.1", port), timeout=CONNECT_SECONDS)
    ask(caller)
    return caller


def ask(caller: socket.socket) -> bool:
    """Tell whether the instance answers on a kept connection."""
    try:
        caller.sendall(REQUEST)
        return HTTPSocketResponse(caller).read().startswith(b"{")
    except (OSError, HTTPParseError):
        return False


if __name__ == "__main__":
    main()
