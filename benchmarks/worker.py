"""Send one request over and over from a process of its own, and print a summary.

Takes a JSON ``Task`` as its argument and prints a JSON ``Outcome``.
"""

from __future__ import annotations

import sys
import time
from collections import Counter
from typing import Any, TypedDict

import gevent
import msgspec
from geventhttpclient import HTTPClient

from berylhinge.load.statistics import new_histogram, record_seconds

NETWORK_SECONDS = 10.0


class Task(TypedDict):
    """Describe the request; a rate of 0 sends as fast as answers come."""

    base: str
    path: str
    body: dict[str, Any]
    headers: dict[str, str]
    connections: int
    seconds: float
    rate_per_second: float


class Outcome(TypedDict):
    """Count the answers; latencies run from the intended sends."""

    answered: int
    failed: dict[str, int]
    seconds: float
    histogram: str


class Worker:
    """Own the connections and the counts of one task."""

    def __init__(self, task: Task) -> None:
        """Start at zero."""
        self.task = task
        self.histogram = new_histogram()
        self.answered = 0
        self.failed: Counter[str] = Counter()
        self.data = msgspec.json.encode(task["body"])

    def run(self) -> Outcome:
        """Send until the time is over."""
        start = time.monotonic()
        end = start + self.task["seconds"]
        loops = [
            gevent.spawn(self.send_until, number, start, end)
            for number in range(self.task["connections"])
        ]
        gevent.joinall(loops, raise_error=True)
        return Outcome(
            answered=self.answered,
            failed=dict(self.failed),
            seconds=time.monotonic() - start,
            histogram=self.histogram.encode().decode(),
        )

    def send_until(self, number: int, start: float, end: float) -> None:
        """Send over one connection at evenly spaced intended times."""
        task = self.task
        client = HTTPClient.from_url(task["base"], network_timeout=NETWORK_SECONDS)
        rate = task["rate_per_second"]
        pace = task["connections"] / rate if rate else 0.0
        intended = start + pace * number / task["connections"]
        while intended < end:
            ahead = intended - time.monotonic()
            if ahead > 0:
                gevent.sleep(ahead)
            response = client.request("POST", task["path"], self.data, task["headers"])
            data = response.read()
            if response.status_code == 200:
                self.answered += 1
                record_seconds(self.histogram, time.monotonic() - intended)
            else:
                answer = msgspec.json.decode(data)
                reason = answer.get("reason") or answer.get("error", "unnamed")
                self.failed[reason] += 1
            intended = intended + pace if pace else time.monotonic()


def main() -> None:
    task = msgspec.json.decode(sys.argv[1], type=Task)
    print(msgspec.json.encode(Worker(task).run()).decode())


if __name__ == "__main__":
    main()
