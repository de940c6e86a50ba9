"""Run a closed number of callers against base URLs and summarise latencies."""

from __future__ import annotations

import random
import time
import uuid
from typing import NamedTuple, TYPE_CHECKING

import gevent

from . import statements
from .client import Balancer, Request
from .records import Verdict
from .statistics import new_histogram, PERCENTILES, record_seconds
from .verify import create_tables

if TYPE_CHECKING:
    from collections.abc import Sequence

    from hdrh.histogram import HdrHistogram

SETUP_SECONDS = 10.0


class SteadyOptions(NamedTuple):
    """Hold what a steady run needs; a rate of 0 sends as fast as answers come."""

    callers: Sequence[str]
    route: str
    key: str
    count: int
    seconds: float
    write_share: float
    timeout_seconds: float
    rate_per_second: float
    seed: int


class SteadySummary(NamedTuple):
    """Count the answers and summarise latencies in milliseconds."""

    answered: int
    per_second: float
    refused: dict[str, int]
    reads: dict[str, float]
    writes: dict[str, float]


class Steady:
    """Own the counts of one steady run."""

    def __init__(self, options: SteadyOptions, balancer: Balancer) -> None:
        """Start at zero."""
        self.options = options
        self.balancer = balancer
        self.reads = new_histogram()
        self.writes = new_histogram()
        self.answered = 0
        self.refused: dict[str, int] = {}

    def run(self) -> SteadySummary:
        """Run all callers to the end."""
        options = self.options
        create_tables(
            self.balancer, options.route, options.key, within_seconds=SETUP_SECONDS
        )
        start = time.monotonic()
        end = start + options.seconds
        callers = [
            gevent.spawn(self.call_until, number, start, end)
            for number in range(options.count)
        ]
        gevent.joinall(callers, raise_error=True)
        elapsed = time.monotonic() - start
        return SteadySummary(
            self.answered,
            self.answered / elapsed,
            self.refused,
            summarise(self.reads),
            summarise(self.writes),
        )

    def call_until(self, number: int, start: float, end: float) -> None:
        """Send one caller's requests; a given rate fixes the intended times."""
        options = self.options
        rng = random.Random(f"{options.seed}/{number}")
        pace = options.count / options.rate_per_second if options.rate_per_second else 0
        intended = start + pace * rng.random()
        token = None
        while intended < end:
            ahead = intended - time.monotonic()
            if pace and ahead > 0:
                gevent.sleep(ahead)
            token = self.call_once(number, token, rng, intended)
            intended = intended + pace if pace else time.monotonic()

    def call_once(
        self, number: int, token: str | None, rng: random.Random, intended: float
    ) -> str | None:
        """Send one request and return the session's token."""
        options = self.options
        writes = rng.random() < options.write_share
        timeout = options.timeout_seconds
        row = f"steady-{number}"
        if writes:
            body = statements.write_body(
                statements.WRITE_ROW,
                [row, rng.randrange(2**31)],
                timeout_seconds=timeout,
                idempotent=True,
            )
        else:
            body = statements.read_body(
                statements.READ_ROW, [row], timeout_seconds=timeout
            )
        path = f"/v1/routes/{options.route}/statements"
        request = Request(path, body, options.key, token, uuid.uuid4().hex)
        answer = self.balancer.send(request, rng.random())
        if answer.verdict is Verdict.OK:
            self.answered += 1
            histogram = self.writes if writes else self.reads
            record_seconds(histogram, time.monotonic() - intended)
        else:
            self.refused[answer.reason] = self.refused.get(answer.reason, 0) + 1
        return answer.token or token


def run_steady(options: SteadyOptions) -> SteadySummary:
    """Run callers against base URLs."""
    balancer = Balancer(options.callers, (), timeout_seconds=options.timeout_seconds)
    try:
        return Steady(options, balancer).run()
    finally:
        balancer.close()


def summarise(histogram: HdrHistogram) -> dict[str, float]:
    """Return percentiles in milliseconds, none where nothing was recorded."""
    if not histogram.get_total_count():
        return {}
    summary = {
        f"p{share:g}_ms": histogram.get_value_at_percentile(share) / 1e3
        for share in PERCENTILES
    }
    return {"count": histogram.get_total_count(), **summary}
