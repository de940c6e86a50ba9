"""Limit and count the calls to the platform."""

from __future__ import annotations

from typing import TypedDict


class CallCounts(TypedDict):
    """Count calls since the start; ``waiting`` is the watches held now."""

    reads: int
    writes: int
    watches: int
    refused: int
    waiting: int


class Bucket:
    """Refill tokens at a rate up to one second's worth; ``now`` is monotonic."""

    def __init__(self, rate: float) -> None:
        """Start full."""
        self.rate = rate
        self.tokens = rate
        self.filled_at: float | None = None

    def take(self, now: float) -> bool:
        """Take one token, if there is one."""
        since = now if self.filled_at is None else self.filled_at
        self.filled_at = now
        self.tokens = min(self.rate, self.tokens + (now - since) * self.rate)
        if self.tokens < 1:
            return False
        self.tokens -= 1
        return True


class CallBudget:
    """Hold the buckets for reads and writes and the counters."""

    def __init__(self, *, reads_per_second: float, writes_per_second: float) -> None:
        """Start full, with nothing counted."""
        self.reads = Bucket(reads_per_second)
        self.writes = Bucket(writes_per_second)
        self.counts = CallCounts(reads=0, writes=0, watches=0, refused=0, waiting=0)

    def admit_read(self, now: float, *, watch: bool = False) -> bool:
        """Count a read or a watch, or refuse it."""
        return self.admit(self.reads, "watches" if watch else "reads", now)

    def admit_write(self, now: float) -> bool:
        """Count a write, or refuse it."""
        return self.admit(self.writes, "writes", now)

    def admit(self, bucket: Bucket, name: str, now: float) -> bool:
        """Take a token and count the call."""
        admitted = bucket.take(now)
        name = name if admitted else "refused"
        self.counts[name] += 1  # type: ignore[literal-required]
        return admitted
