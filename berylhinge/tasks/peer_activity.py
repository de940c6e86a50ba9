"""Know which peers have sent something lately, and which ones owe an answer."""

from __future__ import annotations

import time
from contextlib import contextmanager
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterator

    from ..types import InstanceId


class PeerActivity:
    """Own when each peer was heard and since when its answers are awaited."""

    def __init__(self) -> None:
        """Start with nothing heard."""
        self.last_received_at: dict[InstanceId, float] = {}
        self.awaited_since: dict[InstanceId, list[float]] = {}

    @contextmanager
    def awaiting_answer(self, instance: InstanceId) -> Iterator[None]:
        """Record for ``silent_seconds`` that an answer of a peer is awaited."""
        started_at = time.monotonic()
        start_times = self.awaited_since.setdefault(instance, [])
        start_times.append(started_at)
        try:
            yield
        finally:
            start_times.remove(started_at)

    def awaited_peers(self) -> list[InstanceId]:
        """Return the peers whose answers are awaited."""
        return [
            instance
            for instance, start_times in self.awaited_since.items()
            if start_times
        ]

    def heard_peers(self, seconds: float) -> set[InstanceId]:
        """Return the peers that sent a message within the last seconds."""
        since = time.monotonic() - seconds
        return {
            instance
            for instance, received_at in self.last_received_at.items()
            if received_at >= since
        }

    def silent_seconds(self, instance: InstanceId) -> float:
        """Return for how long a peer has sent nothing while answers are awaited."""
        start_times = self.awaited_since.get(instance)
        if (
            not start_times
            or self.last_received_at.get(instance, 0.0) >= start_times[0]
        ):
            return 0.0
        return time.monotonic() - start_times[0]
