"""Compute latency histograms, write gaps and comparisons."""

from __future__ import annotations

import random
from typing import NamedTuple, TYPE_CHECKING

from hdrh.histogram import HdrHistogram

from .records import Verdict
from .scenario import WRITES

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence

    from .records import Operation

LOWEST_MICROSECONDS = 1
HIGHEST_MICROSECONDS = 60_000_000
SIGNIFICANT_FIGURES = 3
PERCENTILES = (50.0, 90.0, 99.0, 99.9)
RESAMPLES = 2_000
BLOCK_BUCKETS = 3
TAIL_SHARE = 0.025


class Comparison(NamedTuple):
    """Compare two series: the difference of means and its 95% interval."""

    old: float
    new: float
    low: float
    high: float

    @property
    def is_noise(self) -> bool:
        """Tell whether the interval holds zero."""
        return self.low <= 0 <= self.high


def new_histogram() -> HdrHistogram:
    """Return an empty histogram of microseconds."""
    return HdrHistogram(LOWEST_MICROSECONDS, HIGHEST_MICROSECONDS, SIGNIFICANT_FIGURES)


def record_seconds(histogram: HdrHistogram, seconds: float) -> None:
    """Record one latency, clipped to the histogram's bounds."""
    value = int(seconds * 1e6)
    bounded = min(HIGHEST_MICROSECONDS, max(LOWEST_MICROSECONDS, value))
    histogram.record_value(bounded)


def latencies(operations: Iterable[Operation]) -> HdrHistogram:
    """Return the latencies of answered operations from their intended sends."""
    histogram = new_histogram()
    for operation in operations:
        if operation.verdict is Verdict.OK:
            record_seconds(histogram, operation.done - operation.intended)
    return histogram


def write_gap(
    operations: Iterable[Operation], *, start: float, end: float
) -> float | None:
    """Return the longest time without an acknowledged write, in seconds.

    Only silences that reach into the window from start to end count; None where
    no write was acknowledged before it.
    """
    done = sorted(
        operation.done
        for operation in operations
        if operation.kind in WRITES and operation.verdict is Verdict.OK
    )
    if not done or done[0] > start:
        return None
    silences = zip(done, [*done[1:], max(end, done[-1])], strict=True)
    return max(
        (
            after - before
            for before, after in silences
            if after > start and before < end
        ),
        default=0.0,
    )


def compare_series(
    old: Sequence[float], new: Sequence[float], *, seed: int
) -> Comparison:
    """Bootstrap the difference of means by moving blocks, new less old.

    Kuensch 1989, The jackknife and the bootstrap for general stationary
    observations; blocks keep the dependence between neighbouring buckets.
    """
    rng = random.Random(seed)
    differences = sorted(
        mean(resample(new, rng)) - mean(resample(old, rng)) for _ in range(RESAMPLES)
    )
    cut = int(RESAMPLES * TAIL_SHARE)
    low, high = differences[cut], differences[-1 - cut]
    return Comparison(mean(old), mean(new), low, high)


def resample(series: Sequence[float], rng: random.Random) -> list[float]:
    """Draw blocks with replacement until the series' length is reached."""
    block = min(BLOCK_BUCKETS, len(series))
    drawn: list[float] = []
    while len(drawn) < len(series):
        start = rng.randrange(len(series) - block + 1)
        drawn += series[start : start + block]
    return drawn[: len(series)]


def mean(series: Sequence[float]) -> float:
    """Return the mean, 0 of nothing."""
    return sum(series) / len(series) if series else 0.0
