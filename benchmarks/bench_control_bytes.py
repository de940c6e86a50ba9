"""Measure what idle instances send each other, over real sockets.

Prints ``name value unit`` lines; the instances run in one process, for ten seconds.
"""

from __future__ import annotations

import sys
import time
from collections import Counter
from typing import TYPE_CHECKING

import gevent

from berylhinge.cli.dev import start_demo

if TYPE_CHECKING:
    from berylhinge.cli.dev import Demo

INSTANCES = 7
SETTLE_SECONDS = 5.0
MEASURED_SECONDS = 10.0


def totals(demo: Demo, name: str) -> Counter[str]:
    """Sum one counter over the instances, by event."""
    found: Counter[str] = Counter()
    for proxy in demo.proxies:
        for (event,), value in proxy.metrics.counts[name].items():
            found[event] += value
    return found


def main() -> None:
    """Print bytes and messages a second and instance, by event."""
    count = int(sys.argv[1]) if len(sys.argv) > 1 else INSTANCES
    demo = start_demo((0,) * count)
    gevent.sleep(SETTLE_SECONDS)
    units = {"peer_bytes_total": "B/s", "peer_messages_total": "messages/s"}
    before = {name: totals(demo, name) for name in units}
    started = time.monotonic()
    gevent.sleep(MEASURED_SECONDS)
    seconds = time.monotonic() - started
    for name, unit in units.items():
        after = totals(demo, name)
        for event in sorted(after):
            rate = (after[event] - before[name][event]) / seconds / count
            print(f"control_{event}_{count} {rate:.1f} {unit}/instance", flush=True)
    demo.stop()


if __name__ == "__main__":
    main()
