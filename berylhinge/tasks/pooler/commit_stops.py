"""Keep which commits are under way, and which promoters were told that none is."""

from __future__ import annotations

from collections import Counter
from contextlib import contextmanager
from typing import TYPE_CHECKING

from ..broadcast import Broadcast
from ..clock import now_seconds

if TYPE_CHECKING:
    from collections.abc import Iterator

# How long a promoter waits for the answers of commits under way, less than a notice may
# take; a commit that is answered later has an unknown outcome.
COMMIT_GRACE_SECONDS = 0.15


class CommitStops:
    """Own the commits under way at the primaries that this instance holds."""

    def __init__(self) -> None:
        """Start without commits and without a stop."""
        self.under_way: Counter[str] = Counter()
        self.confirmed_origins: dict[str, int] = {}
        self.ended = Broadcast()

    @contextmanager
    def count_commit(self, service: str) -> Iterator[None]:
        """Count a commit as under way until its answer is there."""
        self.under_way[service] += 1
        try:
            yield
        finally:
            self.under_way[service] -= 1
            if not self.under_way[service]:
                self.ended.notify()

    def await_commits(self, service: str, origin: int) -> None:
        """Wait briefly for commits under way; acknowledge none of the rest.

        No commit that was sent under a record before ``origin`` is acknowledged after
        the return.
        """
        until = now_seconds() + COMMIT_GRACE_SECONDS
        while self.under_way[service] and now_seconds() < until:
            self.ended.wait(until - now_seconds())
        known = self.confirmed_origins.get(service, 0)
        self.confirmed_origins[service] = max(known, origin)

    def confirmed_origin(self, service: str) -> int:
        """Return the origin of the newest record that was confirmed to a promoter."""
        return self.confirmed_origins.get(service, 0)
